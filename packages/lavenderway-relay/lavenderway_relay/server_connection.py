"""One connection of a client to the HTTP server, based on the parser of `httptools`.

Implemented as an asyncio protocol rather than on a web framework, so that each request
is parsed once and each response written once. Bodies are buffered whole; the memory
that they take is counted in the server's ledger.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

from lavenderway_relay._sockets import set_unacknowledged_timeout
from lavenderway_relay.connection_input import ConnectionInput
from lavenderway_relay.connection_memory import ConnectionMemory
from lavenderway_relay.connection_places import Claim, UnreadPlace, update_place
from lavenderway_relay.messages import Request, encode_response_parts
from lavenderway_relay.pending_requests import PendingRequests
from lavenderway_relay.request_parser import RefusedInputError, RequestParser
from lavenderway_relay.response_writer import ResponseWriter

if TYPE_CHECKING:
    from lavenderway_relay.memory_ledger import Account
    from lavenderway_relay.pending_requests import PendingRequest
    from lavenderway_relay.request_reader import RequestReader
    from lavenderway_relay.server import HttpServer

READ_DELAY_S = 0.001  # any positive delay lets the loop read the socket


class ServerConnection(asyncio.BufferedProtocol):
    """One connection of a client; responds to pipelined requests in order.

    Args:
        server: The server that accepted the connection.

    Attributes:
        closing: Whether the connection is closed or about to close.
        idle_since: When the connection was made or last written to, in event loop
            seconds.

    """

    __slots__ = (
        "_input",
        "_keep_alive",
        "_memory",
        "_parser",
        "_pending",
        "_place",
        "_server",
        "_transport",
        "_waits_for_memory",
        "_writer",
        "closing",
        "idle_since",
    )

    def __init__(self, *, server: HttpServer) -> None:
        self._server = server
        self._parser = RequestParser(
            handler=self, limits=server.limits, get_time=server.loop.time
        )
        self._pending = PendingRequests(tally=server.tally)
        self._input = ConnectionInput(
            parser=self._parser, parse=self._parse, turns=server.turns
        )
        self._transport: asyncio.Transport
        self._writer: ResponseWriter
        self._memory = ConnectionMemory(
            holder=self,
            ledger=server.ledger,
            parser=self._parser,
            pending=self._pending,
        )
        self._waits_for_memory = False
        self._keep_alive = True
        self._place: UnreadPlace | None = None
        self.closing = False
        self.idle_since = server.loop.time()

    @property
    def busy(self) -> bool:
        """Whether a request is being read or processed."""
        return bool(self._pending) or self._parser.reader is not None

    @property
    def claim(self) -> Claim | None:
        """Claim to the connection; None while it is idle or a request is served."""
        if self._parser.reader is not None and self._memory.requests is not None:
            return Claim(self, self._memory.requests, unfinished=True)
        if self._place is None or self.busy:
            return None
        return Claim(self, self._place.pace, unfinished=False)

    @property
    def unwritten_bytes(self) -> int:
        """Number of response bytes that the client has not taken yet."""
        return self._writer.unwritten_bytes

    @property
    def has_unread_response(self) -> bool:
        """Whether the client has not received all written responses yet."""
        return self._writer.unread_bytes > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        self._transport = cast("asyncio.Transport", transport)
        self._input.start(self._transport)
        self._writer = ResponseWriter(transport=self._transport)
        timeout_ms = self._server.unacknowledged_timeout_ms
        if timeout_ms is not None:
            set_unacknowledged_timeout(transport, timeout_ms)
        self._server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the connection's pending requests."""
        self._server.forget(self)
        self._cancel_pending()
        self._input.discard()
        self._parser.drop_unfinished()
        self._writer.drop()
        self._memory.close()

    def eof_received(self) -> bool:
        """Treat a half-close as a disconnect: cancel pending requests and close."""
        self._cancel_pending()
        return False

    def _cancel_pending(self) -> None:
        self.closing = True
        self._pending.cancel()

    def pause_writing(self) -> None:
        """Stop reading requests while the client does not read its responses."""
        self._writer.paused = True
        self._server.unread[self] = None
        self._memory.count_responses(self._writer)
        self._update_reading()

    def resume_writing(self) -> None:
        """Write the rest of the responses, or resume reading requests."""
        # asyncio's transport must not be written to from within this callback: if that
        # fails, it reports the loss of the connection twice.
        self._server.loop.call_soon(self._write_rest)

    def _write_rest(self) -> None:
        self._writer.paused = False
        self._writer.resume()
        if not self._writer.paused:
            self._server.unread.pop(self, None)
            self._memory.count_responses(self._writer)
            self._update_reading()

    def record_reading(self) -> None:
        """Record how much of its responses the client has taken since the last call."""
        if self._writer.paused:
            self._memory.record_reading(self._writer)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        del sizehint
        return self._input.choose_buffer(self._server.read_buffer)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what has been read into the buffer."""
        self._input.receive(self._server.read_buffer[:nbytes])

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, if the event loop uses no buffer."""
        self._input.receive(data)

    def _parse(self, data: bytes | memoryview) -> None:
        try:
            progress_bytes = self._parser.feed(data)
        except RefusedInputError as error:
            if not self._input.discarding:
                self._refuse(error.status)
            return
        if self._parser.reader is not None:
            self._reserve(progress_bytes)

    def begin_request(self) -> None:
        """Count the connection as busy."""
        self._server.idle.pop(self, None)

    def complete_head(self, reader: RequestReader) -> None:
        """Respond to `Expect: 100-continue` if there is memory for the body."""
        if reader.expects_continue:
            self._reserve(0)
            self._send_continue()

    def complete_request(
        self, reader: RequestReader, method: bytes, *, keep_alive: bool
    ) -> None:
        """Start processing a request."""
        self._waits_for_memory = False
        if not keep_alive:
            self._keep_alive = False
            self._input.discard()
        pending = self._pending.add()
        held_bytes = reader.held_bytes
        pending.request_bytes = self._pending.measure(held_bytes)
        if not self._memory.count_requests():
            pending.request_bytes = 0
            self._memory.count_requests()
            self._server.log_pressed("no_memory", held_bytes)
            pending.response = self._server.refuse(HTTPStatus.SERVICE_UNAVAILABLE)
            self._flush()
            return
        pending.request = reader.build(method)
        self._start_requests()
        self._update_reading()

    def _start_requests(self) -> None:
        for pending, request in self._pending.take_startable():
            coroutine = self._respond(pending, request)
            pending.task = self._server.loop.create_task(coroutine)

    def _reserve(self, progress_bytes: int) -> None:
        """Reserve memory for the request being read; without any, stop reading.

        Args:
            progress_bytes: Bytes of the request that have just arrived.

        """
        if self._memory.requests is None:
            self._server.close_surplus()
        self._memory.record_receiving(progress_bytes)
        if self._memory.count_requests() or self._waits_for_memory:
            return
        if self._memory.count_requests(waiting=True):
            self._waits_for_memory = True
            self._server.wait_for_memory(self)
            self._update_reading()
        else:
            self.refuse_for_memory()

    def resume_with_memory(self) -> bool:
        """Read on if there is memory by now; return whether there is."""
        if not self._waits_for_memory or self._parser.reader is None:
            return True
        if not self._memory.count_requests():
            return False
        self._waits_for_memory = False
        self._send_continue()
        self._update_reading()
        return True

    def refuse_for_memory(self) -> None:
        """Refuse the request being read, which found no memory."""
        self._server.log_pressed("no_memory", self._parser.held_bytes)
        self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)

    def give_way(self, account: Account) -> None:
        """End what the client does not go on with, to free its memory."""
        if account is self._memory.responses:
            self._server.log_pressed("unread_response", account.held_bytes)
            self.abort()
        else:
            self._server.log_pressed("unfinished_request", account.held_bytes)
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def watch_place(self, now: float) -> None:
        """Measure the client if the connection is kept for unread responses alone."""
        was_unread = self._place is not None
        unread_bytes = 0 if self.busy else self._writer.unread_bytes
        self._place = update_place(self._place, unread_bytes, now)
        if was_unread and not unread_bytes and not (self.busy or self.closing):
            self._server.idle.setdefault(self)

    def end_for_place(self) -> None:
        """End the connection, to free its descriptor at once."""
        self._server.log_pressed("connections", 0)
        self._server.connections.discard(self)
        if self._parser.reader is None:
            self.abort()
            return
        self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        if not self._pending and not self._writer.held_bytes:
            self._transport.close()

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
        """Return whether a request head takes longer than a timeout to arrive."""
        return not self.closing and self._input.is_head_late(now, timeout_s)

    def is_idle(self, now: float, timeout_s: float) -> bool:
        """Return whether the connection has been idle for longer than a timeout."""
        return not self.busy and not self.closing and now - self.idle_since > timeout_s

    def refuse_late_head(self) -> None:
        """Close the connection after the responses to earlier requests."""
        if self._pending or self.has_unread_response:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.abort()

    def take_no_more(self) -> None:
        """Discard further input; close after the responses to what has been read."""
        self._input.discard()
        self._drop_unfinished()
        self.close_when_idle()

    def abort(self) -> None:
        """Abort the connection without writing pending responses."""
        self._cancel_pending()
        self._writer.drop()
        self._transport.abort()
        # The event loop reports the end later, when others would have given way too.
        self._memory.close()

    async def _respond(self, pending: PendingRequest, request: Request) -> None:
        if self._server.may_be_lagging():
            # Lets the event loop process a disconnect first, which cancels this task.
            await asyncio.sleep(READ_DELAY_S)
        pending.response = await self._server.serve(request)
        if not pending.response.reusable:
            self.take_no_more()
        self._flush()
        if pending.request_bytes:
            pending.request_bytes = 0
            self._memory.count_requests()
        if self._pending or self._writer.paused or self._memory.holds_responses:
            self._memory.count_responses(self._writer)
        self._send_continue()

    def _send_continue(self) -> None:
        """Send `100 Continue` if the client waits for it and no response is due."""
        reader = self._parser.reader
        if reader is None or not reader.expects_continue or not reader.in_body:
            return
        if not self._pending and not self.closing and not self._waits_for_memory:
            reader.expects_continue = False
            self._writer.write([b"HTTP/1.1 100 Continue\r\n\r\n"])

    def _flush(self) -> None:
        parts: list[bytes | bytearray] = []
        close = False
        while not close and (response := self._pending.take_response()) is not None:
            last = not self._pending and self._parser.reader is None
            close = last and (self._server.stopping or not self._keep_alive)
            parts += encode_response_parts(response, close=close)
        if not parts or self.closing:
            return
        if not close:
            self.idle_since = self._server.loop.time()
            if not self.busy:
                self._server.idle[self] = None
        self._start_requests()
        self.record_reading()
        self._writer.write(parts)
        if close:
            self._close()
        else:
            self._update_reading()

    def _refuse(self, status: int) -> None:
        """Refuse the input, discard the rest and close after the last response."""
        self._input.discard()
        self._keep_alive = False
        self._drop_unfinished()
        self._pending.add().response = self._server.refuse(status)
        self._flush()

    def _drop_unfinished(self) -> None:
        """Free what has been read of an incomplete request."""
        self._waits_for_memory = False
        if self._parser.drop_unfinished():
            self._memory.count_requests()

    def _close(self) -> None:
        """Close the connection once the client has received its responses.

        Sends an end of stream, then reads and discards input until the client closes.
        Closing a socket with unread input resets the connection, and the reset would
        discard the part of a response that the client has not received.
        """
        self.closing = True
        self._input.discard()
        if not self._transport.is_closing():
            self._writer.close(self._server.loop)
            self._update_reading()

    def _update_reading(self) -> None:
        held = self._writer.paused or self._waits_for_memory or self._pending.full
        if self._input.hold(held and not self.closing):
            self._memory.restart_receiving()
