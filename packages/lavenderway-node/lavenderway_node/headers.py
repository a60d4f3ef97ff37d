"""Which header fields pass between callers and upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import unquote

from lavenderway_core.header_fields import HOP_BY_HOP

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lavenderway_node.frames import Headers

OWN_PREFIX = b"lavenderway-"
_DROPPED_FROM_CALLERS = HOP_BY_HOP | {b"authorization", b"content-length", b"expect"}
_DROPPED_FROM_UPSTREAMS = HOP_BY_HOP


def filter_request(headers: Iterable[tuple[bytes, bytes]], secret: str) -> Headers:
    """Return the fields of a caller's request that reach the upstream.

    Args:
        headers: Fields as received.
        secret: Key of the caller; fields that contain it are dropped. May be empty.

    """
    fields = list(headers)
    dropped = _DROPPED_FROM_CALLERS | _named_by_connection(fields)
    hidden = secret.encode("utf-8", "surrogateescape")
    return tuple(
        (name, value)
        for name, value in fields
        if (low := name.lower()) not in dropped
        and not low.startswith(OWN_PREFIX)
        and not (hidden and (hidden in value or hidden in name))
    )


def filter_answer(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the fields of an upstream's answer that reach the caller."""
    fields = list(headers)
    dropped = _DROPPED_FROM_UPSTREAMS | _named_by_connection(fields)
    return tuple(
        (name, value)
        for name, value in fields
        if (low := name.lower()) not in dropped and not low.startswith(OWN_PREFIX)
    )


def target_holds(target: str, secret: str) -> bool:
    """Tell whether a request target contains a caller's key, encoded or not."""
    if not secret:
        return False
    once = unquote(target)
    return secret in target or secret in once or secret in unquote(once)


def decode_fields(headers: Headers) -> list[tuple[str, str]]:
    """Return fields as text that encodes back to the same bytes."""
    return [
        (name.decode("utf-8", "surrogateescape"), _decode(value))
        for name, value in headers
    ]


def _decode(value: bytes) -> str:
    return value.decode("utf-8", "surrogateescape")


def _named_by_connection(fields: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    return frozenset(
        option.strip().lower()
        for name, value in fields
        if name.lower() == b"connection"
        for option in value.split(b",")
    )
