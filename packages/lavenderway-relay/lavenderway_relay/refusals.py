"""Builds the error responses of the node as problem details (RFC 9457)."""

from __future__ import annotations

from enum import Enum
from http import HTTPStatus
from typing import NamedTuple

import orjson

from lavenderway_relay.messages import Response

OUTCOME_HEADER = b"lavenderway-outcome"


class Refusal(Enum):
    """Reason why the node itself responds instead of an upstream."""

    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    TOO_SLOW = "too-slow"
    NO_KEY = "no-key"
    NO_ROUTE = "no-route"
    OVER_RATE = "over-rate"
    SHED = "shed"
    NO_ROOM = "no-room"
    NO_MEMORY = "no-memory"
    NO_UPSTREAM = "no-upstream"
    NO_CONFIGURATION = "no-configuration"
    STOPPING = "stopping"
    NOT_STORED = "not-stored"
    EXPIRED = "expired"
    TIMED_OUT = "timed-out"
    INTERRUPTED = "interrupted"
    UNKNOWN = "unknown"
    FAULT = "fault"


class _ResponseTemplate(NamedTuple):
    status: HTTPStatus
    not_run: bool
    detail: str


_RESPONSE_TEMPLATES = {
    Refusal.MALFORMED: _ResponseTemplate(
        HTTPStatus.BAD_REQUEST, True, "The request cannot be read."
    ),
    Refusal.TOO_LARGE: _ResponseTemplate(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE, True, "The request is too large."
    ),
    Refusal.TOO_SLOW: _ResponseTemplate(
        HTTPStatus.REQUEST_TIMEOUT, True, "The request took too long to arrive."
    ),
    Refusal.NO_KEY: _ResponseTemplate(
        HTTPStatus.UNAUTHORIZED, True, "The route needs a key that is in force."
    ),
    Refusal.NO_ROUTE: _ResponseTemplate(
        HTTPStatus.NOT_FOUND, True, "No route matches the host and path."
    ),
    Refusal.OVER_RATE: _ResponseTemplate(
        HTTPStatus.TOO_MANY_REQUESTS, True, "The workspace is over its rate."
    ),
    Refusal.SHED: _ResponseTemplate(
        HTTPStatus.SERVICE_UNAVAILABLE, True, "A service it needs is overloaded."
    ),
    Refusal.NO_ROOM: _ResponseTemplate(
        HTTPStatus.SERVICE_UNAVAILABLE, True, "No upstream has room in time."
    ),
    Refusal.NO_MEMORY: _ResponseTemplate(
        HTTPStatus.SERVICE_UNAVAILABLE, True, "The node holds too many large requests."
    ),
    Refusal.NO_UPSTREAM: _ResponseTemplate(
        HTTPStatus.SERVICE_UNAVAILABLE, True, "No upstream can be reached."
    ),
    Refusal.NO_CONFIGURATION: _ResponseTemplate(
        HTTPStatus.SERVICE_UNAVAILABLE, True, "The node knows no configuration yet."
    ),
    Refusal.STOPPING: _ResponseTemplate(
        HTTPStatus.SERVICE_UNAVAILABLE, True, "The node is shutting down."
    ),
    Refusal.NOT_STORED: _ResponseTemplate(
        HTTPStatus.SERVICE_UNAVAILABLE, True, "The store did not confirm the change."
    ),
    Refusal.EXPIRED: _ResponseTemplate(
        HTTPStatus.SERVICE_UNAVAILABLE, True, "The time is up and it has not run."
    ),
    Refusal.TIMED_OUT: _ResponseTemplate(
        HTTPStatus.GATEWAY_TIMEOUT, False, "The upstream did not answer in time."
    ),
    Refusal.INTERRUPTED: _ResponseTemplate(
        HTTPStatus.BAD_GATEWAY, False, "The node stopped before the upstream answered."
    ),
    Refusal.UNKNOWN: _ResponseTemplate(
        HTTPStatus.BAD_GATEWAY, False, "The upstream gave no usable answer."
    ),
    Refusal.FAULT: _ResponseTemplate(
        HTTPStatus.BAD_GATEWAY, False, "The node failed to handle the request."
    ),
}

_REASONS_BY_STATUS: dict[int, Refusal] = {
    HTTPStatus.BAD_REQUEST: Refusal.MALFORMED,
    HTTPStatus.REQUEST_TIMEOUT: Refusal.TOO_SLOW,
    HTTPStatus.SERVICE_UNAVAILABLE: Refusal.NO_MEMORY,
}
NO_MEMORY_RETRY_AFTER_S = 1.0  # a large body is forwarded and answered within this time


def refuse(
    reason: Refusal,
    *,
    retry_after_s: float | None = None,
    status: int | None = None,
) -> Response:
    """Return the error response for a refused request.

    Args:
        reason: Why the request is refused.
        retry_after_s: Delay after which the caller may retry, in seconds; None to
            omit the `Retry-After` header.
        status: Status code to use instead of the reason's default.

    """
    template = _RESPONSE_TEMPLATES[reason]
    status_code = template.status if status is None else status
    problem = {"title": reason.value, "status": status_code, "detail": template.detail}
    headers = [
        (b"content-type", b"application/problem+json"),
        (OUTCOME_HEADER, b"not-run" if template.not_run else b"unknown"),
    ]
    if retry_after_s is not None:
        headers.append((b"retry-after", b"%.2f" % retry_after_s))
    return Response(status_code, headers, orjson.dumps(problem))


def refuse_malformed_input(status: int) -> Response:
    """Return the error response to input that cannot be read or finds no memory.

    Args:
        status: Status code that the HTTP server chose.

    """
    reason = _REASONS_BY_STATUS.get(status, Refusal.TOO_LARGE)
    retry_after_s = NO_MEMORY_RETRY_AFTER_S if reason is Refusal.NO_MEMORY else None
    return refuse(reason, status=status, retry_after_s=retry_after_s)
