"""HTTP/1.1 client for load generation: pre-encoded requests, pooled connections.

It supports only responses with a `Content-Length`. Its low cost per request keeps the
load generator from dominating the measurements.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

HEAD_END = b"\r\n\r\n"


class RawResponse(NamedTuple):
    """Response to a request; `status` is 0 if the connection broke or timed out."""

    status: int
    head: bytes


class _Connection(asyncio.Protocol):
    """One persistent connection."""

    def __init__(self) -> None:
        self.closed = False
        self._buffer = b""
        self._waiter: asyncio.Future[RawResponse] | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def send(self, data: bytes) -> asyncio.Future[RawResponse]:
        """Send an encoded request; return the future of its response."""
        assert self._transport is not None
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        return self._waiter

    def close(self) -> None:
        """Close the connection."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Buffer bytes and complete the response; called by asyncio."""
        self._buffer += data
        end = self._buffer.find(HEAD_END)
        if end < 0:
            return
        head = self._buffer[:end]
        length = _content_length(head)
        if len(self._buffer) < end + len(HEAD_END) + length:
            return
        self._buffer = b""
        if b"\r\nconnection: close" in head.lower():
            self.closed = True
        self._resolve(RawResponse(int(head[9:12]), head))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request; called by asyncio."""
        self.closed = True
        self._resolve(RawResponse(0, b""))

    def _resolve(self, response: RawResponse) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(response)


class RawClient:
    """Client of one port on loopback.

    Args:
        port: Port to connect to.

    """

    def __init__(self, *, port: int) -> None:
        self._port = port
        self._idle: list[_Connection] = []

    async def request(self, data: bytes, timeout_s: float) -> RawResponse:
        """Send an encoded request; return its response, with status 0 on a failure."""
        connection = await self._acquire_connection()
        if connection is None:
            return RawResponse(0, b"")
        try:
            response = await asyncio.wait_for(connection.send(data), timeout_s)
        except (TimeoutError, asyncio.CancelledError) as error:
            connection.close()
            if isinstance(error, asyncio.CancelledError):
                raise
            return RawResponse(0, b"")
        if not connection.closed:
            self._idle.append(connection)
        return response

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.close()

    async def _acquire_connection(self) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed:
                return connection
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                _Connection, "127.0.0.1", self._port
            )
        except OSError:
            return None
        return connection


def build_request(
    path: str, *, fields: dict[str, str] | None = None, method: str = "GET"
) -> bytes:
    """Encode a request without a body."""
    lines = [f"{method} {path} HTTP/1.1", "Host: bench"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def read_field(head: bytes, name: bytes) -> bytes:
    """Return the value of a header field of a response; empty if it is absent."""
    lowered = head.lower()
    at = lowered.find(b"\r\n" + name.lower() + b":")
    if at < 0:
        return b""
    start = at + len(name) + 3
    end = head.find(b"\r\n", start)
    return head[start : end if end >= 0 else None].strip()


def _content_length(head: bytes) -> int:
    value = read_field(head, b"Content-Length")
    return int(value) if value.isdigit() else 0
