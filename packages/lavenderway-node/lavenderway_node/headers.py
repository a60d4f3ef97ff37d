"""Filters the header fields forwarded between callers and upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import unquote

from lavenderway_core.header_fields import HOP_BY_HOP

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lavenderway_node.frames import Headers

RESERVED_PREFIX = b"lavenderway-"
_DROPPED_FROM_CALLERS = HOP_BY_HOP | {b"authorization", b"content-length", b"expect"}
_DROPPED_FROM_UPSTREAMS = HOP_BY_HOP


def filter_request(headers: Iterable[tuple[bytes, bytes]], key: str) -> Headers:
    """Return the fields of a caller's request that are forwarded to the upstream.

    Args:
        headers: Fields as received.
        key: Key of the caller; fields that contain it are removed. May be empty.

    """
    fields = list(headers)
    dropped = _DROPPED_FROM_CALLERS | _parse_connection_options(fields)
    key_bytes = key.encode("utf-8", "surrogateescape")
    return tuple(
        (name, value)
        for name, value in fields
        if (lower_name := name.lower()) not in dropped
        and not lower_name.startswith(RESERVED_PREFIX)
        and not (key_bytes and (key_bytes in value or key_bytes in name))
    )


def filter_response(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the fields of an upstream's response that are forwarded to the caller."""
    fields = list(headers)
    dropped = _DROPPED_FROM_UPSTREAMS | _parse_connection_options(fields)
    return tuple(
        (name, value)
        for name, value in fields
        if (lower_name := name.lower()) not in dropped
        and not lower_name.startswith(RESERVED_PREFIX)
    )


def target_contains_key(target: str, key: str) -> bool:
    """Return whether a request target contains a key, percent-encoded or not.

    A key that was percent-encoded twice is found as well.
    """
    if not key:
        return False
    decoded = unquote(target)
    return key in target or key in decoded or key in unquote(decoded)


def decode_fields(headers: Headers) -> list[tuple[str, str]]:
    """Decode header fields to text from which the same bytes can be encoded."""
    return [
        (name.decode("utf-8", "surrogateescape"), _decode_value(value))
        for name, value in headers
    ]


def _decode_value(value: bytes) -> str:
    return value.decode("utf-8", "surrogateescape")


def _parse_connection_options(
    fields: Iterable[tuple[bytes, bytes]],
) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, value in fields
        if name.lower() == b"connection"
        for token in value.split(b",")
    )
