"""Refusals that the system gives in place of an upstream's answer."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Outcome(Enum):
    """What a refusal says about the execution of the request."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Cause of a refusal, with its HTTP status and title."""

    NO_KEY = ("no-key", 401, "A valid key is required")
    KEY_UNCONFIRMED = ("key-unconfirmed", 503, "The key cannot be confirmed here")
    WRONG_WORKSPACE = ("wrong-workspace", 403, "The route is not of this workspace")
    NO_ROUTE = ("no-route", 404, "No route matches the path")
    METHOD = ("method-not-allowed", 405, "The method is not allowed on this route")
    BAD_REQUEST = ("bad-request", 400, "The request is malformed")
    CONFLICT = ("in-progress", 409, "A request with this idempotency key was started")
    TOO_LARGE = ("too-large", 413, "The body is over the limit of the route")
    HEAD_TOO_LARGE = ("head-too-large", 431, "The head is over the limit")
    KEY_REUSED = ("key-reused", 422, "The idempotency key came with another request")
    OVER_RATE = ("over-rate", 429, "The workspace is over its rate")
    SHED = ("shed", 503, "The service is overloaded")
    DRAINING = ("draining", 503, "The host is draining")
    NO_UPSTREAM = ("no-upstream", 503, "No upstream of the service is available")
    UNCONFIGURED = ("unconfigured", 503, "The node has no configuration yet")
    TABLE_UNAVAILABLE = (
        "table-unavailable",
        503,
        "The platform's table is unavailable",
    )
    LINK_LOST = ("link-lost", 503, "The connection was lost after the hand-over")
    DEADLINE = ("deadline", 504, "The deadline passed")

    def __init__(self, label: str, status: int, title: str) -> None:
        self.label = label
        self.status = status
        self.title = title


class Refusal(NamedTuple):
    """Final answer of the system itself to one request.

    Attributes:
        reason: Cause of the refusal.
        outcome: Whether the request may have run.
        retry_after_s: Seconds after which a retry can help; None if none can.
        detail: Sentence for the caller.

    """

    reason: Reason
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None
    detail: str = ""


REASONS_BY_LABEL = {reason.label: reason for reason in Reason}
