"""Represents HTTP/1.1 messages and encodes them."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.header_fields import HOP_BY_HOP

from lavenderway_relay.response_limits import CountedMemory

if TYPE_CHECKING:
    from collections.abc import Iterable

    Headers = list[tuple[bytes, bytes]]

# Headers that apply to a single connection; a node sets its own on each.
NOT_FORWARDED_HEADERS = HOP_BY_HOP | {b"content-length", b"expect"}
BODYLESS_STATUSES = frozenset({204, 304})
_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
# A larger body is written from the buffer into which it was read.
SHARED_BODY_BYTES = 65_536
_STANDARD_CONNECTION_OPTIONS = frozenset({b"close", b"keep-alive"})  # not header names


class Request(NamedTuple):
    """A complete request; header names are in lower case.

    Attributes:
        body: The body, which is not changed any more even if its type allows that.

    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None if it is absent."""
        return _find(self.headers, name)


class Response(NamedTuple):
    """A complete response; header names are in lower case.

    Attributes:
        body: The body, which is not changed any more even if its type allows that.
        reusable: Whether the connection may carry another request.
        memory: Counts a large body from an upstream or peer; None for others.

    """

    status: int
    headers: Headers
    body: bytes | bytearray
    reusable: bool = True
    memory: CountedMemory | None = None

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None if it is absent."""
        return _find(self.headers, name)


def _find(headers: Headers, name: bytes) -> bytes | None:
    for key, value in headers:
        if key == name:
            return value
    return None


def encode_request(request: Request) -> bytes:
    """Return the bytes of a request, with a Content-Length for its body."""
    return b"".join(encode_request_parts(request))


def encode_request_parts(request: Request) -> list[bytes | bytearray]:
    """Return the bytes of a request in parts; a large body is a part of its own."""
    lines = [b"%b %b HTTP/1.1" % (request.method, request.target)]
    lines += [b"%b: %b" % header for header in request.headers]
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d" % len(request.body))
    lines.append(b"\r\n")
    return _join_small(b"\r\n".join(lines), request.body)


def encode_response(response: Response, *, close: bool) -> bytes:
    """Return the bytes of a response, with a Content-Length for its body.

    Args:
        response: The response.
        close: Whether to announce that the connection closes afterwards.

    """
    return b"".join(encode_response_parts(response, close=close))


def encode_response_parts(
    response: Response, *, close: bool
) -> list[bytes | bytearray]:
    """Return the bytes of a response in parts; a large body is a part of its own."""
    reason = _REASON_PHRASES.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b" % (response.status, reason)]
    lines += [b"%b: %b" % header for header in response.headers]
    if response.status not in BODYLESS_STATUSES:
        lines.append(b"content-length: %d" % len(response.body))
    if close:
        lines.append(b"connection: close")
    lines.append(b"\r\n")
    return _join_small(b"\r\n".join(lines), response.body)


def _join_small(head: bytes, body: bytes | bytearray) -> list[bytes | bytearray]:
    if len(body) > SHARED_BODY_BYTES:
        return [head, body]
    return [head + body]


def strip_headers(
    headers: Iterable[tuple[bytes, bytes]],
    removed: frozenset[bytes] = NOT_FORWARDED_HEADERS,
) -> Headers:
    """Return the headers to forward.

    Headers named in a `Connection` header are removed as well.

    Args:
        headers: All headers of a message.
        removed: Names of the headers to remove; must include `connection`.

    """
    forwarded = []
    connection = b""
    for header in headers:
        if header[0] not in removed:
            forwarded.append(header)
        elif header[0] == b"connection":
            connection += b"," + header[1]
    if not connection or connection[1:].lower() in _STANDARD_CONNECTION_OPTIONS:
        return forwarded
    connection_headers = {part.strip().lower() for part in connection.split(b",")}
    return [header for header in forwarded if header[0] not in connection_headers]
