"""HTTP/1.1 server, based on the parser of `httptools`.

Implemented as an asyncio protocol rather than on a web framework, so that each request
is parsed once and each response written once. Bodies are buffered whole.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

import httptools

from lavenderway_relay._sockets import (
    bind_socket,
    count_unacknowledged_bytes,
    set_unacknowledged_timeout,
)
from lavenderway_relay.messages import Request, encode_response
from lavenderway_relay.model import Limits

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from lavenderway_relay.messages import Headers, Response
    from lavenderway_relay.model import Address

MAX_PIPELINED_REQUESTS = 64  # per connection; reading pauses at this number
READ_DELAY_S = 0.001  # any positive delay lets the loop read the socket
LINGER_TIMEOUT_S = 1.0  # for the client to close after its last response
HEADER_OVERHEAD_BYTES = 4  # colon, space, CR and LF
FIRST_REQUEST_DELAY_S = 0.2  # a new connection's first request arrives within this time
# Allowed for the sizes and extensions of chunks; one byte in a chunk needs 5 of them.
MAX_FRAMING_PER_BODY_BYTE = 16


class _PendingRequest:
    """A request, or a refused input, whose response is not written yet."""

    __slots__ = ("response", "task")

    def __init__(self) -> None:
        self.response: Response | None = None
        self.task: asyncio.Task[None] | None = None


class ServerConnection(asyncio.Protocol):
    """One connection of a client; responds to pipelined requests in order.

    Args:
        server: The server that accepted the connection.

    Attributes:
        closing: Whether the connection is closed or about to close.
        idle_since: When the connection was made or last written to, in event loop
            seconds.
        message_since: When the request head being read began, or reading resumed, in
            event loop seconds; None if no head is being read.

    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_discarding",
        "_expects_continue",
        "_framing_bytes",
        "_head_bytes",
        "_headers",
        "_in_message",
        "_keep_alive",
        "_linger_timer",
        "_message_completed",
        "_parser",
        "_partial_head_bytes",
        "_pending",
        "_reading_paused",
        "_refusal_status",
        "_server",
        "_target",
        "_transport",
        "_writing_paused",
        "closing",
        "idle_since",
        "message_since",
    )

    def __init__(self, *, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[_PendingRequest] = deque()
        self._transport: asyncio.Transport
        self._headers: Headers = []
        self._target = b""
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._framing_bytes = 0
        self._head_bytes = 0
        self._partial_head_bytes = 0
        self._expects_continue = False
        self._in_message = False
        self._keep_alive = True
        self._linger_timer: asyncio.TimerHandle | None = None
        self._message_completed = False
        self._reading_paused = False
        self._writing_paused = False
        self._discarding = False
        self._refusal_status = 0
        self.closing = False
        self.idle_since = server.loop.time()
        self.message_since: float | None = None

    @property
    def busy(self) -> bool:
        """Whether a request is being read or processed."""
        return bool(self._pending) or self._in_message

    @property
    def reading_head(self) -> bool:
        """Whether a request head has been received in part."""
        return self.message_since is not None

    @property
    def unwritten_bytes(self) -> int:
        """Number of response bytes that the client has not taken yet."""
        return self._transport.get_write_buffer_size()

    @property
    def has_unread_response(self) -> bool:
        """Whether the client has not received all written responses yet."""
        return bool(count_unacknowledged_bytes(self._transport))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        self._transport = cast("asyncio.Transport", transport)
        timeout_ms = self._server.unacknowledged_timeout_ms
        if timeout_ms is not None:
            set_unacknowledged_timeout(transport, timeout_ms)
        self._server.connections.add(self)
        self._server.close_surplus()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the connection's pending requests."""
        self._server.connections.discard(self)
        self._server.idle.pop(self, None)
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._cancel_pending()

    def eof_received(self) -> bool:
        """Treat a half-close as a disconnect: cancel pending requests and close."""
        self._cancel_pending()
        return False

    def _cancel_pending(self) -> None:
        self.closing = True
        for pending in self._pending:
            if pending.task is not None:
                pending.task.cancel()
        self._pending.clear()

    def pause_writing(self) -> None:
        """Stop reading requests while the client does not read its responses."""
        self._writing_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Resume reading requests."""
        self._writing_paused = False
        self._update_reading()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._discarding:
            return
        self._message_completed = False
        try:
            self._feed(data)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            if not self._discarding:
                self._refuse(self._refusal_status or HTTPStatus.BAD_REQUEST)
        else:
            # Behind a complete request, the length of the begun head is not known.
            if self.message_since is not None and not self._message_completed:
                self._check_partial_head_size(len(data))

    def _feed(self, data: bytes) -> None:
        """Parse received bytes, and check the size of the framing of a body."""
        headers, body_bytes = self._headers, self._body_bytes
        reads_body = self._in_message and not self.reading_head
        self._parser.feed_data(data)
        if not reads_body or not self._in_message or self._headers is not headers:
            return
        self._framing_bytes += len(data) - (self._body_bytes - body_bytes)
        allowed_bytes = self._body_bytes * MAX_FRAMING_PER_BODY_BYTE
        if self._framing_bytes > self._server.limits().head_bytes + allowed_bytes:
            self._stop_parsing(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _check_partial_head_size(self, byte_count: int) -> None:
        """Refuse a head that exceeds the size limit before it is complete."""
        self._partial_head_bytes += byte_count
        if self._partial_head_bytes > self._server.limits().head_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Reset the parse state for a new request."""
        self._headers = []
        self._target = b""
        self._body = []
        self._body_bytes = 0
        self._framing_bytes = 0
        self._head_bytes = 0
        self._partial_head_bytes = 0
        self._expects_continue = False
        self._in_message = True
        self._server.idle.pop(self, None)
        self.message_since = self._server.loop.time()

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lower-case name."""
        name = name.lower()
        self._headers.append((name, value))
        self._head_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if name == b"expect":
            self._expects_continue = True

    def on_headers_complete(self) -> None:
        """Check the size of the head, and respond to `Expect: 100-continue`."""
        self.message_since = None
        size = self._head_bytes + len(self._target)
        if size > self._server.limits().head_bytes:
            self._stop_parsing(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        self._send_continue()

    def on_body(self, body: bytes) -> None:
        """Append a fragment of the body, up to the size limit."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits().body_bytes:
            self._stop_parsing(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Start processing the complete request."""
        self._in_message = False
        self._message_completed = True
        if not self._parser.should_keep_alive():
            self._keep_alive = False
            self._discarding = True
        body = b"".join(self._body)
        method = self._parser.get_method()
        request = Request(method, self._target, self._headers, body)
        pending = _PendingRequest()
        self._pending.append(pending)
        coroutine = self._respond(pending, request)
        pending.task = self._server.loop.create_task(coroutine)
        self._update_reading()

    def close_when_idle(self) -> None:
        """Close now if no request is in progress, else after the last response."""
        self._keep_alive = False
        if self.busy or self.closing:
            return
        if self.has_unread_response:
            self._close()
        else:
            self.closing = True
            self._transport.close()

    def is_head_late(self, now: float, timeout_s: float) -> bool:
        """Return whether the client takes too long to send a request head.

        Args:
            now: Event loop time, in seconds.
            timeout_s: Longest time for a head to arrive, in seconds.

        """
        since = self.message_since
        if since is None or self.closing or self._reading_paused:
            return False
        return now - since > timeout_s

    def is_idle(self, now: float, timeout_s: float) -> bool:
        """Return whether no request has been in progress for longer than a timeout.

        Args:
            now: Event loop time, in seconds.
            timeout_s: Idle timeout, in seconds.

        """
        return not self.busy and not self.closing and now - self.idle_since > timeout_s

    def refuse_late_head(self) -> None:
        """Close the connection after the responses to earlier requests."""
        if self._pending or self.has_unread_response:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.abort()

    def take_no_more(self) -> None:
        """Discard further input; close after the responses to what has been read."""
        self._discarding = True
        self._in_message = False
        self.message_since = None
        self.close_when_idle()

    def abort(self) -> None:
        """Abort the connection without writing pending responses."""
        self.closing = True
        self._transport.abort()

    async def _respond(self, pending: _PendingRequest, request: Request) -> None:
        if self._server.may_be_lagging():
            # The client may have disconnected since it sent the request. The delay lets
            # the event loop process the disconnect first, which cancels this task.
            await asyncio.sleep(READ_DELAY_S)
        pending.response = await self._server.serve(request)
        if not pending.response.reusable:
            self.take_no_more()
        self._flush()
        self._send_continue()

    def _send_continue(self) -> None:
        """Send `100 Continue` if the client waits for it and no response is due."""
        if not self._expects_continue or self._pending or self.closing:
            return
        if self._in_message and not self.reading_head:
            self._expects_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _flush(self) -> None:
        pieces = []
        while self._pending and self._pending[0].response is not None:
            response = self._pending.popleft().response
            assert response is not None
            last = not self._pending and not self._in_message
            close = last and (self._server.stopping or not self._keep_alive)
            pieces.append(encode_response(response, close=close))
            if close:
                self._transport.write(b"".join(pieces))
                self._close()
                return
        if pieces and not self.closing:
            self.idle_since = self._server.loop.time()
            if not self.busy:
                self._server.idle[self] = None
            self._transport.write(b"".join(pieces))
            self._update_reading()

    def _stop_parsing(self, status: HTTPStatus) -> None:
        """Make the parser stop, so that the input is refused with a status code."""
        self._refusal_status = status
        raise httptools.HttpParserError(status.phrase)

    def _refuse(self, status: int) -> None:
        """Refuse the input, discard the rest and close after the last response."""
        self._discarding = True
        self._keep_alive = False
        self._in_message = False
        self.message_since = None
        pending = _PendingRequest()
        pending.response = self._server.refuse(status)
        self._pending.append(pending)
        self._flush()

    def _close(self) -> None:
        """Close the connection once the client has received its responses.

        Sends an end of stream, then reads and discards input until the client closes.
        Closing a socket with unread input resets the connection, and the reset would
        discard the part of a response that the client has not received.
        """
        self.closing = True
        self._discarding = True
        if not self._transport.is_closing():
            self._transport.write_eof()
            self._update_reading()
            self._linger()

    def _linger(self) -> None:
        self._linger_timer = self._server.loop.call_later(
            LINGER_TIMEOUT_S, self._finish_lingering
        )

    def _finish_lingering(self) -> None:
        if self.has_unread_response:
            self._linger()
        else:
            self._transport.close()

    def _update_reading(self) -> None:
        pause = not self.closing and (
            self._writing_paused or len(self._pending) >= MAX_PIPELINED_REQUESTS
        )
        if pause is self._reading_paused or self._transport.is_closing():
            return
        self._reading_paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            if self.message_since is not None:
                self.message_since = self._server.loop.time()
            self._transport.resume_reading()


class HttpServer:
    """One listener and the settings that its connections share.

    Args:
        loop: The event loop.
        serve: Returns the response to one request.
        refuse: Returns the response to input that is malformed or exceeds a limit,
            given the status code to use.
        limits: Returns the present size limits and timeouts.
        unacknowledged_timeout_ms: Time after which a client that takes no more of its
            responses is treated as lost, in milliseconds. The kernel also ends the
            connection of a client that reads slowly, as it counts the time from the
            first moment at which the receive window closes. None for no limit.

    Attributes:
        connections: The open connections.
        idle: Idle connections, as keys, in the order in which they became idle. New
            ones are added if their first request takes long.
        max_connections: Number of connections above which idle ones are closed, the
            longest idle first.
        stopping: Whether each connection closes after the response to its last
            pending request.
        lagging: Whether the event loop reads requests long after they arrived.
        next_tick_deadline: Event loop time by which the node's next tick must have
            run, in seconds. If it has passed, the event loop was blocked, and
            `lagging` is out of date.

    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        serve: Callable[[Request], Coroutine[Any, Any, Response]],
        refuse: Callable[[int], Response],
        limits: Callable[[], Limits] = Limits,
        unacknowledged_timeout_ms: int | None = None,
    ) -> None:
        self.loop = loop
        self.serve = serve
        self.refuse = refuse
        self.limits = limits
        self.unacknowledged_timeout_ms = unacknowledged_timeout_ms
        self.connections: set[ServerConnection] = set()
        self.idle: dict[ServerConnection, None] = {}
        self.max_connections = math.inf
        self.stopping = False
        self.lagging = False
        self.next_tick_deadline = math.inf
        self._idle_timeout_s = 0.0
        self._idle_timeout_confirmed_at = 0.0
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Start accepting connections."""
        self._server = await self.loop.create_server(
            lambda: ServerConnection(server=self),
            sock=bind_socket(address.ip, address.port),
            backlog=2048,
        )

    def close_surplus(self) -> None:
        """Close the longest idle connections if there are too many connections.

        Callers that open a connection for each retry, and keep the former ones, would
        otherwise use up the descriptors of the process.
        """
        while len(self.connections) > self.max_connections and self.idle:
            connection = next(iter(self.idle))
            del self.idle[connection]
            if not connection.has_unread_response:
                connection.close_when_idle()
                self.connections.discard(connection)

    def close_idle(self, now: float) -> None:
        """Close connections that are idle or whose request head takes too long.

        Input that has arrived is read first, as the event loop may not have run for
        some time, for example because the process was suspended.
        """
        head_timeout_s = self.limits().head_timeout_s
        idle_timeout_s = self._update_idle_timeout(now)
        overdue: list[ServerConnection] = []
        unused: list[ServerConnection] = []
        for connection in self.connections:
            if connection.is_head_late(now, head_timeout_s):
                overdue.append(connection)
            elif connection.is_idle(now, idle_timeout_s):
                if connection.has_unread_response:
                    connection.idle_since = now
                else:
                    overdue.append(connection)
            elif connection not in self.idle and connection.is_idle(
                now, FIRST_REQUEST_DELAY_S
            ):
                unused.append(connection)
        for connection in sorted(unused, key=lambda each: each.idle_since):
            self.idle[connection] = None
        if overdue:
            self.loop.call_later(READ_DELAY_S, self._close_overdue, overdue, now)
        self.close_surplus()

    def _close_overdue(self, connections: list[ServerConnection], now: float) -> None:
        head_timeout_s = self.limits().head_timeout_s
        for connection in connections:
            if connection.is_head_late(now, head_timeout_s):
                connection.refuse_late_head()
            elif connection.is_idle(now, self._idle_timeout_s):
                connection.close_when_idle()

    def _update_idle_timeout(self, now: float) -> float:
        """Return the idle timeout in force.

        A lowered limit takes effect after the time of the older one, by which the
        clients that know only that have used or left their idle connections.
        """
        limit_s = self.limits().idle_timeout_s
        unchanged_s = now - self._idle_timeout_confirmed_at
        if limit_s >= self._idle_timeout_s or unchanged_s > self._idle_timeout_s:
            self._idle_timeout_s = limit_s
            self._idle_timeout_confirmed_at = now
        return self._idle_timeout_s

    def may_be_lagging(self) -> bool:
        """Return whether requests may be read long after they arrived."""
        return self.lagging or self.loop.time() > self.next_tick_deadline

    def stop(self) -> None:
        """Close each connection after the response to its last pending request."""
        self.stopping = True

    def close_when_idle(self, now: float) -> None:
        """Close idle connections now and the others after their last response.

        New connections stay open until their first request.
        """
        for connection in tuple(self.connections):
            if connection.busy or now - connection.idle_since > FIRST_REQUEST_DELAY_S:
                connection.close_when_idle()

    @property
    def busy(self) -> bool:
        """Whether a request is being read or processed on any connection."""
        return any(connection.busy for connection in self.connections)

    @property
    def has_unread_response(self) -> bool:
        """Whether a client has not received all written responses yet."""
        return any(connection.has_unread_response for connection in self.connections)

    @property
    def unwritten_bytes(self) -> int:
        """Number of response bytes that the clients have not taken yet."""
        return sum(connection.unwritten_bytes for connection in self.connections)

    def stop_accepting(self) -> None:
        """Stop accepting connections; open ones still serve requests."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Stop accepting connections and requests; pending ones get their responses."""
        self.stop_accepting()
        for connection in tuple(self.connections):
            connection.take_no_more()
