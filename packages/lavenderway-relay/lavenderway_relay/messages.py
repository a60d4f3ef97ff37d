"""HTTP/1.1 messages as values, and their bytes."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.header_fields import HOP_BY_HOP

if TYPE_CHECKING:
    from collections.abc import Iterable

    Headers = list[tuple[bytes, bytes]]

# What a node sets anew on each connection
NOT_FORWARDED = HOP_BY_HOP | {b"content-length", b"expect"}
BODYLESS = frozenset({204, 304})  # statuses whose responses have no body
_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
_USUAL_CONNECTION = frozenset({b"close", b"keep-alive"})  # name no header


class Request(NamedTuple):
    """A whole request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return _find(self.headers, name)


class Response(NamedTuple):
    """A whole response; header names are in lower case.

    Attributes:
        reusable: Whether the connection may carry another request.

    """

    status: int
    headers: Headers
    body: bytes
    reusable: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return _find(self.headers, name)


def _find(headers: Headers, name: bytes) -> bytes | None:
    for key, value in headers:
        if key == name:
            return value
    return None


def encode_request(request: Request) -> bytes:
    """Return the bytes of a request whose body has a length."""
    lines = [b"%b %b HTTP/1.1" % (request.method, request.target)]
    lines += [b"%b: %b" % header for header in request.headers]
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d" % len(request.body))
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + request.body


def encode_response(response: Response, *, close: bool) -> bytes:
    """Return the bytes of a response whose body has a length."""
    reason = _REASONS.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b" % (response.status, reason)]
    lines += [b"%b: %b" % header for header in response.headers]
    if response.status not in BODYLESS:
        lines.append(b"content-length: %d" % len(response.body))
    if close:
        lines.append(b"connection: close")
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + response.body


def strip_headers(
    headers: Iterable[tuple[bytes, bytes]], stripped: frozenset[bytes] = NOT_FORWARDED
) -> Headers:
    """Return the headers that are passed on.

    Args:
        headers: All headers of a message.
        stripped: Names that are left out, those of one connection among them.

    """
    kept = []
    connection = b""
    for header in headers:
        if header[0] not in stripped:
            kept.append(header)
        elif header[0] == b"connection":
            connection += b"," + header[1]
    if not connection or connection[1:].lower() in _USUAL_CONNECTION:
        return kept
    named = {part.strip().lower() for part in connection.split(b",")}
    return [header for header in kept if header[0] not in named]
