"""Reads what a caller's request says about itself, and checks its form."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import unquote

from lavenderway_core.context import Context, verify_context
from lavenderway_core.directory import digest_secret
from lavenderway_core.identification import RequestHead
from lavenderway_core.importance import Importance
from lavenderway_core.refusal import Reason, Refusal

from lavenderway_node.headers import target_holds

if TYPE_CHECKING:
    from aiohttp import web
    from lavenderway_core.ids import RootId

BEARER = "bearer "
MAX_TIMEOUT_DIGITS = 9
REPEATED_SLASHES = re.compile("//+")


class ParsedHead(NamedTuple):
    """Head of a request with the caller's key, which goes no further."""

    head: RequestHead
    secret: str


def parse_head(
    request: web.BaseRequest, root: RootId, secrets: tuple[bytes, ...]
) -> ParsedHead | Refusal:
    """Read the head of a request.

    Args:
        request: The caller's request.
        root: Id to use if this is a root request.
        secrets: Fleet secrets by which contexts are verified.

    """
    secret = _read_key(request)
    if isinstance(secret, Refusal):
        return secret
    if target_holds(request.raw_path, secret):
        return _bad("The key must come in the Authorization field only.")
    path = _read_path(request)
    if isinstance(path, Refusal):
        return path
    timeout_ms = _read_timeout(request)
    if isinstance(timeout_ms, Refusal):
        return timeout_ms
    importance = _read_importance(request)
    if isinstance(importance, Refusal):
        return importance
    head = RequestHead(
        method=request.method,
        path=path,
        root=root,
        key_digest=digest_secret(secret) if secret else None,
        context=_read_context(request, secrets),
        importance=importance,
        timeout_ms=timeout_ms,
        idempotency_key=request.headers.get("Idempotency-Key"),
    )
    return ParsedHead(head, secret)


def _read_key(request: web.BaseRequest) -> str | Refusal:
    values = request.headers.getall("Authorization", [])
    if not values:
        return ""
    if len(values) > 1:
        return _bad("The Authorization field came more than once.")
    value = values[0]
    if not value.lower().startswith(BEARER):
        return ""
    return value[len(BEARER) :].strip()


def _read_path(request: web.BaseRequest) -> str | Refusal:
    """Return the decoded path by which routes are matched.

    Upstreams may resolve dot segments and repeated slashes; a path that names another
    route after that must not pass as this one.
    """
    raw = request.raw_path.partition("?")[0]
    if not raw.startswith("/"):
        return _bad("The request target is not a path.")
    path = REPEATED_SLASHES.sub("/", unquote(raw))
    if any(segment in (".", "..") for segment in path.split("/")):
        return _bad("The path contains a dot segment.")
    return path


def _read_timeout(request: web.BaseRequest) -> int | Refusal | None:
    text = request.headers.get("Lavenderway-Timeout-Ms")
    if text is None:
        return None
    if not text.isdecimal() or len(text) > MAX_TIMEOUT_DIGITS:
        return _bad("Lavenderway-Timeout-Ms is not a number of milliseconds.")
    return int(text)


def _read_importance(request: web.BaseRequest) -> Importance | Refusal | None:
    text = request.headers.get("Lavenderway-Importance")
    if text is None:
        return None
    importance = Importance.parse(text)
    if importance is None:
        names = ", ".join(member.label for member in Importance)
        return _bad(f"Lavenderway-Importance is not one of {names}.")
    return importance


def _read_context(
    request: web.BaseRequest, secrets: tuple[bytes, ...]
) -> Context | None:
    text = request.headers.get("Lavenderway-Context")
    return None if text is None else verify_context(text, secrets)


def _bad(detail: str) -> Refusal:
    return Refusal(Reason.BAD_REQUEST, detail=detail)
