"""HTTP/1.1 server: its listener, and what its connections share."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lavenderway_relay._sockets import bind_socket
from lavenderway_relay.connection_places import choose_ended
from lavenderway_relay.memory_ledger import MemoryLedger
from lavenderway_relay.model import Limits
from lavenderway_relay.pending_requests import RequestTally
from lavenderway_relay.read_turns import LARGE_READ_BYTES, ReadTurns
from lavenderway_relay.server_connection import READ_DELAY_S, ServerConnection

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Coroutine
    from typing import Any

    from lavenderway_relay.messages import Request, Response
    from lavenderway_relay.model import Address

FIRST_REQUEST_DELAY_S = 0.2  # a new connection's first request arrives within this time
# Longest time for which a request that finds no memory is not read.
MEMORY_WAIT_S = 1.0


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
        ledger: Counts the memory of requests and responses; None for no limit.
        log_pressed: Called with the reason and the bytes held when a request or
            connection is ended for want of memory or descriptors.

    Attributes:
        connections: The open connections.
        idle: Idle connections, as keys, in the order in which they became idle. New
            ones are added if their first request takes long.
        tally: Number of pending requests of all connections.
        turns: Turns of the connections whose input takes long to parse.
        read_buffer: Receives what is read; the connections share it.
        unread: Connections whose clients have not read their responses, as keys.
        max_connections: Number of connections above which idle ones are closed, the
            longest idle first, and then those with the least progress.
        acceptance_limit: Number of connections above which new ones are aborted.
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
        ledger: MemoryLedger | None = None,
        log_pressed: Callable[[str, int], None] = lambda _reason, _bytes: None,
    ) -> None:
        self.loop = loop
        self.serve = serve
        self.refuse = refuse
        self.limits = limits
        self.unacknowledged_timeout_ms = unacknowledged_timeout_ms
        self.ledger = ledger or MemoryLedger()
        self.ledger.on_room.append(self._schedule_admission)
        self.log_pressed = log_pressed
        self.tally = RequestTally()
        self.turns = ReadTurns(loop=loop)
        self.read_buffer = memoryview(bytearray(LARGE_READ_BYTES))
        self.unread: dict[ServerConnection, None] = {}
        self._waiting: dict[ServerConnection, float] = {}
        self._admission_scheduled = False
        self.connections: set[ServerConnection] = set()
        self.idle: dict[ServerConnection, None] = {}
        self.max_connections = math.inf
        self.acceptance_limit = math.inf
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

    def add(self, connection: ServerConnection) -> None:
        """Add a new connection, or abort it if there are far too many."""
        self.connections.add(connection)
        self.close_surplus()
        if len(self.connections) > self.acceptance_limit:
            self.log_pressed("connections", 0)
            self.connections.discard(connection)
            connection.abort()

    def close_surplus(self) -> None:
        """Close connections if there are too many, the longest idle ones first.

        Callers that open a connection for each retry, and keep the former ones, would
        otherwise use up the descriptors of the process.
        """
        while len(self.connections) > self.max_connections and self.idle:
            connection = next(iter(self.idle))
            del self.idle[connection]
            if connection.has_unread_response:
                connection.watch_place(self.ledger.clock.now)
            else:
                connection.close_when_idle()
                self.connections.discard(connection)
        surplus = len(self.connections) - self.max_connections
        if surplus > 0:
            self._end_slowest(math.ceil(surplus))

    def _end_slowest(self, count: int) -> None:
        """End the clients that make the least progress, as far as they give way."""
        claims = [claim for each in self.connections if (claim := each.claim)]
        for claim in choose_ended(claims, count, self.ledger.clock.now):
            claim.connection.end_for_place()

    def _watch_places(self) -> None:
        """Measure who reads, while there are too many connections."""
        if len(self.connections) > self.max_connections:
            for connection in tuple(self.connections):
                connection.watch_place(self.ledger.clock.now)
            self.close_surplus()

    def forget(self, connection: ServerConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)
        self.unread.pop(connection, None)
        self._waiting.pop(connection, None)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for memory."""
        return len(self._waiting)

    def wait_for_memory(self, connection: ServerConnection) -> None:
        """Let a connection read on once there is memory, or refuse its request."""
        self._waiting[connection] = self.loop.time() + MEMORY_WAIT_S

    def check_pressure(self, now: float) -> None:
        """Refuse requests that found no memory in time, and note who reads."""
        self.ledger.clock.advance(now)
        self._watch_places()
        for connection in tuple(self.unread):
            connection.record_reading()
        for connection, refuse_at in tuple(self._waiting.items()):
            if now >= refuse_at:
                del self._waiting[connection]
                if not connection.resume_with_memory():
                    connection.refuse_for_memory()

    def _schedule_admission(self) -> None:
        if self._waiting and not self._admission_scheduled:
            self._admission_scheduled = True
            self.loop.call_soon(self._admit_waiting)

    def _admit_waiting(self) -> None:
        """Let those that wait for memory read on, in the order of their arrival."""
        self._admission_scheduled = False
        for connection in tuple(self._waiting):
            if not connection.resume_with_memory():
                return
            self._waiting.pop(connection, None)

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
