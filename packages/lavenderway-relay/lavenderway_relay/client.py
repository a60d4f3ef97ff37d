"""HTTP/1.1 client connections, based on the parser of `httptools`.

Used for other nodes, the upstream and the store. Responses are buffered whole, so that
a truncated response is never passed on as a complete one. A response that exceeds a
limit fails, and its connection is aborted.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

import httptools

from lavenderway_relay._sockets import (
    UNACKNOWLEDGED_TIMEOUT_MS,
    abort_with_reset,
    enable_dead_peer_detection,
    has_pending_error,
    set_unacknowledged_timeout,
)
from lavenderway_relay.memory_ledger import BUFFER_GROWTH
from lavenderway_relay.messages import BODYLESS_STATUSES, SHARED_BODY_BYTES, Response
from lavenderway_relay.response_limits import (
    DEFAULT_LIMITS,
    CountedMemory,
    ResponseBudget,
    ResponseLimit,
)

if TYPE_CHECKING:
    from lavenderway_relay.messages import Headers
    from lavenderway_relay.response_limits import ResponseLimits

# After a larger read, the connection is not read again before the other tasks have run.
# uvloop would read up to 32 times in a row.
LARGE_READ_BYTES = 65_536
VALID_STATUSES = range(100, 600)  # RFC 9110, 15: others are treated as an error
MIN_FINAL_STATUS = 200  # lower status codes mark interim responses
MIN_ERROR_STATUS = 400
MAX_FAILED_IDS = 64  # per connection; it is then closed, to bound its memory
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


class ConnectionBrokenError(Exception):
    """The connection ended or sent invalid data before a complete response."""


class ResponseLimitError(ConnectionBrokenError):
    """The response exceeded a limit.

    Args:
        limit: The exceeded limit.

    """

    def __init__(self, limit: ResponseLimit) -> None:
        super().__init__(f"the response exceeded its {limit.value.replace('_', ' ')}")
        self.limit = limit


class ClientConnection(asyncio.Protocol):
    """One connection to a node, an upstream or the store; one request at a time.

    Args:
        loop: The event loop.
        id_header: Header in which the server repeats the ID of the request; None if
            it does not. A response with another ID is discarded.
        unacknowledged_timeout_ms: Time after which a server that acknowledges no sent
            data is treated as lost, in milliseconds.
        reads_late: Whether the server may read a long body late.
        limits: Limits on each response.
        budget: Limits the bytes that all connections of the process hold; None for
            a budget of this connection alone.

    Attributes:
        broken: Whether the connection cannot carry another request.
        failed_ids: IDs of requests that got an error status on this connection. A
            late copy of such a response would pass for that to a repeat.
        idle_since: When the connection became idle, in event loop seconds; set by
            the connection pool.
        keep_alive_s: Idle timeout that the server states in `Keep-Alive`, in seconds;
            None if it states none.

    """

    __slots__ = (
        "_announced_bytes",
        "_body",
        "_body_bytes",
        "_budget",
        "_ends_at_eof",
        "_expected_id",
        "_framed",
        "_head_only",
        "_headers",
        "_id_header",
        "_limits",
        "_loop",
        "_max_body_bytes",
        "_parser",
        "_reads_late",
        "_received_bytes",
        "_skipped_responses",
        "_status",
        "_transport",
        "_unacknowledged_timeout_ms",
        "_waiter",
        "_waits_for_memory",
        "broken",
        "failed_ids",
        "idle_since",
        "keep_alive_s",
    )

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        id_header: bytes | None = None,
        unacknowledged_timeout_ms: int = UNACKNOWLEDGED_TIMEOUT_MS,
        reads_late: bool = False,
        limits: ResponseLimits = DEFAULT_LIMITS,
        budget: ResponseBudget | None = None,
    ) -> None:
        self._loop = loop
        self._id_header = id_header
        self._unacknowledged_timeout_ms = unacknowledged_timeout_ms
        self._reads_late = reads_late
        self._expected_id: bytes | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport
        self._waiter: asyncio.Future[Response] | None = None
        self._headers: Headers = []
        self._body = bytearray()
        self._limits = limits
        self._budget = budget or ResponseBudget()
        self._max_body_bytes = limits.body_bytes
        self._received_bytes = 0
        self._body_bytes = 0
        self._announced_bytes = 0
        self._skipped_responses = 0
        self._status = 0
        self._head_only = False
        self._framed = False
        self._ends_at_eof = False
        self._waits_for_memory = False
        self.broken = False
        self.failed_ids: set[bytes] = set()
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable dead peer detection."""
        self._transport = cast("asyncio.Transport", transport)
        enable_dead_peer_detection(transport, self._unacknowledged_timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress."""
        self.broken = True
        self._fail(
            ConnectionBrokenError("connection lost" if exc is None else str(exc))
        )
        # The parser refers to this object. Without the cycle, what the parser has
        # received of a head is freed at once.
        del self._parser

    def eof_received(self) -> bool:
        """Complete a response whose body is delimited by the end of the stream."""
        self.broken = True
        if self._ends_at_eof and not has_pending_error(self._transport):
            if self._is_for_other_request():
                # It has swallowed what may have been the response to the request.
                self._fail(ConnectionBrokenError("response to another request"))
            else:
                self._finish(reusable=False)
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort if no request is in progress."""
        if self._waiter is None:
            self.abort()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._break(
                ConnectionBrokenError(f"expected an HTTP/1.1 response: {error}")
            )
            return
        if self._waiter is not None:
            self._check_incomplete_response(len(data))

    def _check_incomplete_response(self, byte_count: int) -> None:
        """Check the size of the framing and count the bytes of the last read."""
        framing_bytes = self._received_bytes - self._body_bytes
        if framing_bytes > self._limits.framing_bytes + self._body_bytes:
            self.exceed_limit(ResponseLimit.FRAMING)
            return
        if not self._budget.add(self, byte_count, self._loop.time()):
            self._waits_for_memory = True
        if self._transport.is_closing():
            return
        if self._waits_for_memory:
            self._transport.pause_reading()
        elif byte_count >= LARGE_READ_BYTES:
            self._transport.pause_reading()
            self._loop.call_soon(self._resume_reading)

    def read_on(self) -> None:
        """Read on, as there is memory for the response now."""
        self._waits_for_memory = False
        self._resume_reading()

    def _resume_reading(self) -> None:
        if not self._waits_for_memory and not self._transport.is_closing():
            self._transport.resume_reading()

    async def exchange(
        self,
        data: bytes | list[bytes | bytearray],
        *,
        expected_id: bytes | None = None,
        max_body_bytes: int | None = None,
    ) -> Response:
        """Send one encoded request and return its complete response.

        Args:
            data: The encoded request, whole or in parts.
            expected_id: ID that the response must repeat if it has the ID header; None
                accepts any response.
            max_body_bytes: Maximum size of the response body, in bytes; None for that
                of the connection's limits.

        Raises:
            ResponseLimitError: The response exceeded a limit.
            ConnectionBrokenError: No complete response was received. The request may
                have been executed.

        """
        if self.broken:
            raise ConnectionBrokenError("connection lost before the request was sent")
        self._expected_id = expected_id
        parts = [data] if isinstance(data, bytes) else data
        self._head_only = parts[0].startswith(b"HEAD ")
        self._max_body_bytes = (
            self._limits.body_bytes if max_body_bytes is None else max_body_bytes
        )
        self._received_bytes = 0
        self._body_bytes = 0
        self._skipped_responses = 0
        if self._reads_late and sum(map(len, parts)) > SHARED_BODY_BYTES:
            # The kernel counts a closed receive window too. The deadline is left.
            set_unacknowledged_timeout(self._transport, 0)
            self.broken = True  # later requests need the limit
        waiter: asyncio.Future[Response] = self._loop.create_future()
        self._waiter = waiter
        for part in parts:
            self._transport.write(part)
        try:
            return await waiter
        except asyncio.CancelledError:
            self.abort()
            raise

    def abort(self) -> None:
        """Abort the connection with a TCP reset."""
        self.broken = True
        self._drop_response()
        abort_with_reset(self._transport)

    def exceed_limit(self, limit: ResponseLimit) -> None:
        """Fail the request in progress and abort the connection."""
        self._break(ResponseLimitError(limit))

    def on_message_begin(self) -> None:
        """Reset the parse state; a response to no request breaks the connection."""
        if self._waiter is None or self._waiter.done():
            self.broken = True
        self._headers = []
        self._body = bytearray()
        self._announced_bytes = 0
        self._framed = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lower-case name, and read framing and keep-alive."""
        name = name.lower()
        self._headers.append((name, value))
        if len(self._headers) > self._limits.headers:
            self._stop_parsing(ResponseLimit.HEADERS)
        if name in _FRAMING_HEADERS:
            self._framed = True
            if name == b"content-length" and value.isdigit():
                self._announced_bytes = int(value)
        elif name == b"keep-alive":
            self.keep_alive_s = _parse_keep_alive(value)

    def on_headers_complete(self) -> None:
        """Determine how the end of the body is marked, and check its stated size."""
        self._status = self._parser.get_status_code()
        if self._status not in VALID_STATUSES:
            error = f"expected a status from 100 to 599, got {self._status}"
            self._break(ConnectionBrokenError(error))
            raise httptools.HttpParserError(error)
        if self._status < MIN_FINAL_STATUS:
            return
        self._ends_at_eof = not self._framed and (self._status not in BODYLESS_STATUSES)
        if self._head_only:
            self._finish(reusable=False)
        elif self._announced_bytes > self._max_body_bytes:
            self._stop_parsing(ResponseLimit.BODY)
        elif self._announced_bytes > SHARED_BODY_BYTES:
            byte_count = int(self._announced_bytes * BUFFER_GROWTH)
            self._budget.reserve(self, byte_count, self._loop.time())

    def on_body(self, body: bytes) -> None:
        """Append a fragment of the body, up to the size limit."""
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes:
            self._stop_parsing(ResponseLimit.BODY)
        self._body += body

    def _stop_parsing(self, limit: ResponseLimit) -> None:
        """Fail the response and make the parser skip the rest of the read bytes."""
        self.exceed_limit(limit)
        raise httptools.HttpParserError(limit.value)

    def on_message_complete(self) -> None:
        """Deliver a final response unless it is for another request."""
        if self._status < MIN_FINAL_STATUS or self._is_for_other_request():
            self._budget.release(self)
            self._skipped_responses += 1
            if self._skipped_responses > self._limits.skipped_responses:
                self._stop_parsing(ResponseLimit.SKIPPED)
            return
        self._finish(reusable=self._parser.should_keep_alive())

    def _is_for_other_request(self) -> bool:
        if self._expected_id is None:
            return False
        for name, value in self._headers:
            if name == self._id_header:
                return value != self._expected_id
        return False

    def _finish(self, *, reusable: bool) -> None:
        """Deliver the response; end reuse if part of the request is still unsent."""
        self._ends_at_eof = False
        waiter = self._waiter
        if waiter is None or waiter.done():
            return
        unsent = self._transport.get_write_buffer_size() > 0
        self._waiter = None
        if self._status >= MIN_ERROR_STATUS and self._expected_id is not None:
            self.failed_ids.add(self._expected_id)
            reusable = reusable and len(self.failed_ids) < MAX_FAILED_IDS
        if unsent or not reusable:
            self.broken = True
        body: bytes | bytearray = self._body
        headers = self._headers
        memory = None
        if len(body) <= SHARED_BODY_BYTES:
            body = bytes(body)
        self._drop_response()
        if isinstance(body, bytearray):
            byte_count = int(len(body) * BUFFER_GROWTH)
            memory = CountedMemory(budget=self._budget, byte_count=byte_count)
        response = Response(
            self._status, headers, body, reusable and not unsent, memory
        )
        waiter.set_result(response)

    def _break(self, error: ConnectionBrokenError) -> None:
        """Fail the request in progress with an error and abort the connection."""
        self._fail(error)
        self.abort()

    def _fail(self, error: ConnectionBrokenError) -> None:
        self._drop_response()
        waiter = self._waiter
        self._waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)

    def _drop_response(self) -> None:
        """Free what this connection holds of a response."""
        self._waits_for_memory = False
        self._headers = []
        self._body = bytearray()
        self._budget.release(self)


def _parse_keep_alive(value: bytes) -> float | None:
    """Return the idle timeout in a `Keep-Alive` header, in seconds."""
    for part in value.split(b","):
        key, _, text = part.strip().partition(b"=")
        if key.lower() == b"timeout" and text.isdigit():
            return float(text)
    return None
