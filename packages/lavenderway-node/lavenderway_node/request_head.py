"""Parses and validates the head of a caller's request."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import unquote

from lavenderway_core.configuration_store import digest_secret
from lavenderway_core.context import Context, verify_context
from lavenderway_core.identification import RequestHead
from lavenderway_core.importance import Importance
from lavenderway_core.refusal import Reason, Refusal

from lavenderway_node.headers import target_contains_key

if TYPE_CHECKING:
    from aiohttp import web
    from lavenderway_core.ids import RootId

BEARER_PREFIX = "bearer "
MAX_TIMEOUT_DIGITS = 9
REPEATED_SLASHES = re.compile("//+")


class ParsedHead(NamedTuple):
    """Parsed head of a request.

    Attributes:
        head: Parts of the head that select the workspace and the route.
        key: Key of the caller, which must not be forwarded; empty without one.

    """

    head: RequestHead
    key: str


def parse_head(
    request: web.BaseRequest, root: RootId, fleet_secrets: tuple[bytes, ...]
) -> ParsedHead | Refusal:
    """Parse the head of a request.

    Args:
        request: The caller's request.
        root: ID to use if this is a root request.
        fleet_secrets: Fleet secrets that verify the request context.

    Returns:
        The parsed head, or the refusal of a malformed one.

    """
    key = _parse_key(request)
    if isinstance(key, Refusal):
        return key
    if target_contains_key(request.raw_path, key):
        return _build_bad_request("The key must come in the Authorization field only.")
    path = _parse_path(request)
    if isinstance(path, Refusal):
        return path
    timeout_ms = _parse_timeout(request)
    if isinstance(timeout_ms, Refusal):
        return timeout_ms
    importance = _parse_importance(request)
    if isinstance(importance, Refusal):
        return importance
    head = RequestHead(
        method=request.method,
        path=path,
        root=root,
        key_digest=digest_secret(key) if key else None,
        context=_parse_context(request, fleet_secrets),
        importance=importance,
        timeout_ms=timeout_ms,
        idempotency_key=request.headers.get("Idempotency-Key"),
    )
    return ParsedHead(head, key)


def _parse_key(request: web.BaseRequest) -> str | Refusal:
    values = request.headers.getall("Authorization", [])
    if not values:
        return ""
    if len(values) > 1:
        return _build_bad_request("The Authorization field came more than once.")
    value = values[0]
    if not value.lower().startswith(BEARER_PREFIX):
        return ""
    return value[len(BEARER_PREFIX) :].strip()


def _parse_path(request: web.BaseRequest) -> str | Refusal:
    """Return the decoded path that is matched against routes.

    Upstreams may resolve dot segments and repeated slashes. Without these checks, a
    path could be authorized for one route and resolve to the path of another.
    """
    raw = request.raw_path.partition("?")[0]
    if not raw.startswith("/"):
        return _build_bad_request("The request target is not a path.")
    path = REPEATED_SLASHES.sub("/", unquote(raw))
    if any(segment in (".", "..") for segment in path.split("/")):
        return _build_bad_request("The path contains a dot segment.")
    return path


def _parse_timeout(request: web.BaseRequest) -> int | Refusal | None:
    text = request.headers.get("Lavenderway-Timeout-Ms")
    if text is None:
        return None
    if not text.isdecimal() or len(text) > MAX_TIMEOUT_DIGITS:
        return _build_bad_request(
            "Lavenderway-Timeout-Ms is not a number of milliseconds."
        )
    return int(text)


def _parse_importance(request: web.BaseRequest) -> Importance | Refusal | None:
    text = request.headers.get("Lavenderway-Importance")
    if text is None:
        return None
    importance = Importance.parse(text)
    if importance is None:
        names = ", ".join(member.label for member in Importance)
        return _build_bad_request(f"Lavenderway-Importance is not one of {names}.")
    return importance


def _parse_context(
    request: web.BaseRequest, fleet_secrets: tuple[bytes, ...]
) -> Context | None:
    text = request.headers.get("Lavenderway-Context")
    return None if text is None else verify_context(text, fleet_secrets)


def _build_bad_request(detail: str) -> Refusal:
    return Refusal(Reason.BAD_REQUEST, detail=detail)
