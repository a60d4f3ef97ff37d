"""HTTP/1.1 connections on both sides, on the parser of `httptools`.

Plain protocol callbacks in place of a framework: one hop of a request is parsed once
and written once. Bodies are held whole, so that an answer that ends early is never
passed on as a complete one.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple, cast

import httptools

from lavenderway_relay.model import Limits

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable
    from typing import Any

    from lavenderway_relay.model import Address

    Headers = list[tuple[bytes, bytes]]

MAX_PIPELINED = 64  # requests of one connection that may wait; further ones wait unread
UNACKNOWLEDGED_TIMEOUT_MS = 1_500  # a silent peer is noticed well inside a request
KEEPALIVE_IDLE_S = 1  # probes start soon, since a cut connection sends no reset
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
LAG_CHECK_S = 0.001  # any time over zero lets the event loop read once more
HEADER_OVERHEAD_BYTES = 4  # colon, space and line end of a header
MAX_ANSWER_BYTES = 67_108_864  # far over any answer; bounds a runaway upstream

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
_NO_LINGER = struct.pack("ii", 1, 0)
_USUAL_CONNECTION = frozenset({b"close", b"keep-alive"})  # name no header
_FRAMING = frozenset({b"content-length", b"transfer-encoding"})
_BODYLESS = frozenset({204, 304})


class Request(NamedTuple):
    """A whole request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


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
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ConnectionBrokenError(Exception):
    """The connection ended, or sent what is no response, before a whole response."""


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
    if response.status not in _BODYLESS:
        lines.append(b"content-length: %d" % len(response.body))
    if close:
        lines.append(b"connection: close")
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + response.body


def strip_headers(
    headers: Iterable[tuple[bytes, bytes]], stripped: frozenset[bytes] = HOP_BY_HOP
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


def detect_silence(
    transport: asyncio.BaseTransport,
    unacknowledged_timeout_ms: int = UNACKNOWLEDGED_TIMEOUT_MS,
) -> None:
    """Make the kernel notice a peer that no longer answers."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, unacknowledged_timeout_ms)


class _Pending:
    """A request of a server connection that waits for its response."""

    __slots__ = ("response", "task")

    def __init__(self) -> None:
        self.response: Response | None = None
        self.task: asyncio.Task[None] | None = None


class ServerConnection(asyncio.Protocol):
    """One connection of a caller; answers pipelined requests in order.

    Args:
        serve: Answers one request; cancelled when the caller is gone.
        server: What the connections of one listener share.

    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_discarding",
        "_expects",
        "_fails_with",
        "_head_bytes",
        "_headers",
        "_in_message",
        "_keep_alive",
        "_open_bytes",
        "_parser",
        "_paused",
        "_pending",
        "_server",
        "_target",
        "_transport",
        "_write_paused",
        "closing",
        "idle_since",
        "message_since",
    )

    def __init__(self, *, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[_Pending] = deque()
        self._transport: asyncio.Transport
        self._headers: Headers = []
        self._target = b""
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._open_bytes = 0
        self._expects = False
        self._in_message = False
        self._keep_alive = True
        self._paused = False
        self._write_paused = False
        self._discarding = False
        self._fails_with = 0
        self.closing = False
        self.idle_since = server.loop.time()
        self.message_since: float | None = None

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered."""
        return bool(self._pending) or self._in_message

    @property
    def reading_head(self) -> bool:
        """Whether a request's head has begun and not ended."""
        return self.message_since is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection into the listener's set."""
        self._transport = cast("asyncio.Transport", transport)
        detect_silence(transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what the caller no longer waits for."""
        self._server.connections.discard(self)
        self._abandon()

    def eof_received(self) -> bool:
        """Close: a caller that stops sending is gone."""
        self._abandon()
        return False

    def _abandon(self) -> None:
        self.closing = True
        for pending in self._pending:
            if pending.task is not None:
                pending.task.cancel()
        self._pending.clear()

    def pause_writing(self) -> None:
        """Stop reading while the caller does not read its responses."""
        self._write_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Go on reading."""
        self._write_paused = False
        self._update_reading()

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        if self._discarding:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self._fail(self._fails_with or HTTPStatus.BAD_REQUEST)
        else:
            if self.message_since is not None:
                self._bound_open_head(len(data))

    def _bound_open_head(self, arrived: int) -> None:
        """Refuse a head that is too large before it has ended."""
        self._open_bytes += arrived
        if self._open_bytes > self._server.limits().head_bytes:
            self._fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Start a request."""
        self._headers = []
        self._target = b""
        self._body = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._open_bytes = 0
        self._expects = False
        self._in_message = True
        self.message_since = self._server.loop.time()

    def on_url(self, url: bytes) -> None:
        """Take a piece of the request's target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        name = name.lower()
        self._headers.append((name, value))
        self._head_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if name == b"expect":
            self._expects = True

    def on_headers_complete(self) -> None:
        """Check the head's size, and let a caller that asks send its body."""
        self.message_since = None
        size = self._head_bytes + len(self._target)
        if size > self._server.limits().head_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if self._expects and not self._pending:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits().body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Start to answer the request."""
        self._in_message = False
        if not self._parser.should_keep_alive():
            self._keep_alive = False
        body = b"".join(self._body)
        method = self._parser.get_method()
        request = Request(method, self._target, self._headers, body)
        pending = _Pending()
        self._pending.append(pending)
        answer = self._answer(pending, request)
        pending.task = self._server.loop.create_task(answer)
        self._update_reading()

    def close_when_idle(self) -> None:
        """Close now if no request is open; else with the last response."""
        self._keep_alive = False
        if not self.busy:
            self._close()

    def abort(self) -> None:
        """End the connection at once."""
        self._transport.abort()

    async def _answer(self, pending: _Pending, request: Request) -> None:
        if self._server.lagging:
            # The caller may have left since; its end is read before this goes on.
            await asyncio.sleep(LAG_CHECK_S)
        pending.response = await self._server.serve(request)
        self._flush()

    def _flush(self) -> None:
        pieces = []
        while self._pending and self._pending[0].response is not None:
            response = self._pending.popleft().response
            assert response is not None
            last = not self._pending and not self._in_message
            stopping = self._server.stopping and last
            close = (not self._keep_alive and last) or stopping
            pieces.append(encode_response(response, close=close))
            if close:
                self._transport.write(b"".join(pieces))
                self._close()
                return
        if pieces and not self.closing:
            self.idle_since = self._server.loop.time()
            self._transport.write(b"".join(pieces))
            self._update_reading()

    def _reject(self, status: HTTPStatus) -> None:
        self._fails_with = status
        raise httptools.HttpParserError(status.phrase)

    def _fail(self, status: int) -> None:
        self._discarding = True
        self._keep_alive = False
        self._in_message = False
        self.message_since = None
        pending = _Pending()
        pending.response = self._server.refuse(status)
        self._pending.append(pending)
        self._flush()

    def _close(self) -> None:
        self.closing = True
        self._transport.close()

    def _update_reading(self) -> None:
        pause = self._write_paused or len(self._pending) >= MAX_PIPELINED
        if pause is self._paused or self._transport.is_closing():
            return
        self._paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()


class HttpServer:
    """What the connections of one listener share.

    Args:
        loop: The event loop.
        serve: Answers one request.
        refuse: Makes the response to bytes that are no acceptable request.
        limits: Returns the limits in force.

    Attributes:
        lagging: Whether the event loop reads requests long after they have arrived.

    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        serve: Callable[[Request], Coroutine[Any, Any, Response]],
        refuse: Callable[[int], Response],
        limits: Callable[[], Limits] = Limits,
    ) -> None:
        self.loop = loop
        self.serve = serve
        self.refuse = refuse
        self.limits = limits
        self.connections: set[ServerConnection] = set()
        self.stopping = False
        self.lagging = False
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Start to accept connections."""
        self._server = await self.loop.create_server(
            lambda: ServerConnection(server=self),
            address.ip,
            address.port,
            backlog=2048,
        )

    def close_idle(self, now: float) -> None:
        """Close connections that are idle or slow beyond the limits."""
        limits = self.limits()
        for connection in tuple(self.connections):
            since = connection.message_since
            if since is not None and now - since > limits.head_timeout_s:
                connection.abort()
            elif (
                not connection.busy
                and now - connection.idle_since > limits.idle_timeout_s
            ):
                connection.close_when_idle()

    def stop(self) -> None:
        """Close each connection with its next response."""
        self.stopping = True

    def close_quiet(self) -> None:
        """Close the connections that have no open request."""
        for connection in tuple(self.connections):
            connection.close_when_idle()

    @property
    def busy(self) -> bool:
        """Whether a request is open on any connection."""
        return any(connection.busy for connection in self.connections)

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()


class ClientConnection(asyncio.Protocol):
    """One connection to a peer, an upstream or the store; one request at a time.

    Args:
        echo_header: Header in which the peer repeats the request's id; None if it
            has none. A response with another id is discarded.
        unacknowledged_timeout_ms: Time after which a peer that acknowledges nothing
            counts as lost, in milliseconds.

    """

    __slots__ = (
        "_body",
        "_echo",
        "_echo_header",
        "_ends_with_connection",
        "_framed",
        "_head_only",
        "_headers",
        "_parser",
        "_size",
        "_status",
        "_transport",
        "_unacknowledged_timeout_ms",
        "_waiter",
        "broken",
        "idle_since",
        "keep_alive_s",
    )

    def __init__(
        self,
        *,
        echo_header: bytes | None = None,
        unacknowledged_timeout_ms: int = UNACKNOWLEDGED_TIMEOUT_MS,
    ) -> None:
        self._echo_header = echo_header
        self._unacknowledged_timeout_ms = unacknowledged_timeout_ms
        self._echo: bytes | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport
        self._waiter: asyncio.Future[Response] | None = None
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._size = 0
        self._status = 0
        self._head_only = False
        self._framed = False
        self._ends_with_connection = False
        self.broken = False
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the connection."""
        self._transport = cast("asyncio.Transport", transport)
        detect_silence(transport, self._unacknowledged_timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request in progress."""
        self.broken = True
        self._fail("connection lost" if exc is None else str(exc))

    def eof_received(self) -> bool:
        """Complete a response that ends with its connection."""
        self.broken = True
        if self._ends_with_connection and not self._was_reset():
            self._finish(reusable=False)
        return False

    def _was_reset(self) -> bool:
        """Return whether what looks like the end of the stream is a reset.

        libuv reports an end of stream for a hang-up that follows data without reading
        on to the error; the socket still holds it.
        """
        sock = self._transport.get_extra_info("socket")
        return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived; bytes that nobody asked for end the connection."""
        if self._waiter is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.broken = True
            self._fail(f"not a response: {error}")
            self._transport.abort()

    async def exchange(self, data: bytes, *, echo: bytes | None = None) -> Response:
        """Send one encoded request and return its whole response.

        Raises:
            ConnectionBrokenError: The response did not come whole; whether the
                request has run is unknown.

        """
        if self.broken:
            raise ConnectionBrokenError("connection lost before the request")
        self._echo = echo
        self._head_only = data.startswith(b"HEAD ")
        waiter: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self._waiter = waiter
        self._transport.write(data)
        try:
            return await waiter
        except asyncio.CancelledError:
            self.abort()
            raise

    def abort(self) -> None:
        """End the connection at once, with a reset.

        A reset also takes back what the network has not delivered yet: a request
        that is held up by a partition does not arrive after it was given up.
        """
        self.broken = True
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self._transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self._transport.abort()

    def on_message_begin(self) -> None:
        """Start a response."""
        if self._waiter is None or self._waiter.done():
            self.broken = True
        self._headers = []
        self._body = []
        self._size = 0
        self._framed = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        name = name.lower()
        self._headers.append((name, value))
        if name in _FRAMING:
            self._framed = True
        elif name == b"keep-alive":
            self.keep_alive_s = _parse_keep_alive(value)

    def on_headers_complete(self) -> None:
        """Find out how the body ends."""
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        self._ends_with_connection = not self._framed and (
            self._status not in _BODYLESS
        )
        if self._head_only:
            self._finish(reusable=False)

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        self._size += len(body)
        if self._size > MAX_ANSWER_BYTES:
            raise httptools.HttpParserError("response is too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand over a whole response, unless it belongs to another request."""
        if self._status < 200:
            return
        if self._answers_another():
            return
        self._finish(reusable=self._parser.should_keep_alive())

    def _answers_another(self) -> bool:
        if self._echo is None:
            return False
        for name, value in self._headers:
            if name == self._echo_header:
                return value != self._echo
        return False

    def _finish(self, *, reusable: bool) -> None:
        self._ends_with_connection = False
        waiter = self._waiter
        if waiter is None or waiter.done():
            return
        unsent = self._transport.get_write_buffer_size() > 0
        self._waiter = None
        if unsent or not reusable:
            self.broken = True
        response = Response(
            self._status,
            self._headers,
            b"".join(self._body),
            reusable and not unsent,
        )
        waiter.set_result(response)

    def _fail(self, reason: str) -> None:
        waiter = self._waiter
        self._waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_exception(ConnectionBrokenError(reason))


def _parse_keep_alive(value: bytes) -> float | None:
    """Return the idle time-out that a `Keep-Alive` header states, in seconds."""
    for part in value.split(b","):
        key, _, text = part.strip().partition(b"=")
        if key.lower() == b"timeout" and text.isdigit():
            return float(text)
    return None
