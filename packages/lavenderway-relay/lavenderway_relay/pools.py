"""Connection pools, which keep idle client connections by address."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_relay._sockets import UNACKNOWLEDGED_TIMEOUT_MS
from lavenderway_relay.client import (
    ClientConnection,
    ConnectionBrokenError,
    ResponseLimitError,
)
from lavenderway_relay.response_limits import DEFAULT_LIMITS, ResponseBudget

if TYPE_CHECKING:
    from lavenderway_relay.messages import Response
    from lavenderway_relay.model import Address
    from lavenderway_relay.response_limits import ResponseLimits

MAX_IDLE_PER_ADDRESS = 64
MAX_IDLE_S = 10.0  # below the idle timeout of every listener of the fleet
# The server's timer starts earlier, and its close may cross a request.
KEEP_ALIVE_MARGIN_S = 0.5
IDLE_LIMIT_BACKOFF = 0.5  # new limit, as a share of the broken connection's idle time
MIN_IDLE_BEFORE_BREAK_S = 0.05  # breaks after a shorter idle time are ignored
IDLE_LIMIT_LIFETIME_S = 10.0  # longer idle times are tried again afterwards


class _IdleLimit(NamedTuple):
    """Temporary limit on the idle time of connections to one address."""

    idle_s: float
    expires_at: float


class ConnectError(Exception):
    """No connection could be established, so nothing was sent."""


class ConnectionPool:
    """Pool of client connections, reused while they are idle.

    Args:
        loop: The event loop.
        connect_timeout_s: Longest time to open a connection, in seconds.
        unacknowledged_timeout_ms: Time after which a server that acknowledges no sent
            data is treated as lost, in milliseconds.
        reads_late: Whether servers may read a long body late.
        id_header: Header in which servers repeat the ID of a request; None if they
            do not.
        limits: Limits on each response.
        budget: Limits the bytes that all connections of the process hold; None for
            a budget of this pool alone.

    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_s: float,
        unacknowledged_timeout_ms: int = UNACKNOWLEDGED_TIMEOUT_MS,
        reads_late: bool = False,
        id_header: bytes | None = None,
        limits: ResponseLimits = DEFAULT_LIMITS,
        budget: ResponseBudget | None = None,
    ) -> None:
        self._loop = loop
        self._unacknowledged_timeout_ms = unacknowledged_timeout_ms
        self._reads_late = reads_late
        self._connect_timeout_s = connect_timeout_s
        self._id_header = id_header
        self._limits = limits
        self._budget = budget or ResponseBudget()
        self._idle: dict[Address, list[ClientConnection]] = {}
        self._idle_limits: dict[Address, _IdleLimit] = {}

    async def exchange(
        self,
        address: Address,
        data: bytes | list[bytes | bytearray],
        *,
        expected_id: bytes | None = None,
        max_idle_s: float = MAX_IDLE_S,
        max_body_bytes: int | None = None,
    ) -> Response:
        """Send one encoded request and return its response.

        Args:
            address: Where to send it.
            data: The encoded request, whole or in parts.
            expected_id: ID that the response must repeat if it has the ID header; None
                accepts any response.
            max_idle_s: Longest time for which a reused connection may have been
                idle, in seconds.
            max_body_bytes: Maximum size of the response body, in bytes; None for that
                of the pool's limits.

        Raises:
            ConnectError: No connection could be established; nothing was sent.
            ResponseLimitError: The response exceeded a limit. The request may have
                been executed.
            ConnectionBrokenError: No complete response was received. The request may
                have been executed.

        """
        connection = self._acquire(address, max_idle_s, expected_id)
        if connection is None:
            connection = await self._connect(address)
            idle_s = 0.0
        else:
            idle_s = self._loop.time() - connection.idle_since
        try:
            response = await connection.exchange(
                data, expected_id=expected_id, max_body_bytes=max_body_bytes
            )
        except ResponseLimitError:
            raise
        except ConnectionBrokenError:
            self._lower_idle_limit(address, idle_s)
            raise
        if response.reusable and not connection.broken:
            self._release(address, connection)
        else:
            connection.abort()
        return response

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle):
            self.close_address(address)

    def close_address(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def close_idle(self, now: float) -> None:
        """Close connections that have been idle for longer than allowed."""
        for address, connections in tuple(self._idle.items()):
            kept = []
            for connection in connections:
                if not connection.broken and _is_usable(connection, now, MAX_IDLE_S):
                    kept.append(connection)
                elif not connection.broken:
                    connection.abort()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def _lower_idle_limit(self, address: Address, idle_s: float) -> None:
        """Lower the idle limit of an address after a connection broke.

        A server that silently drops idle connections would otherwise break the next
        request on each pooled connection.

        Args:
            address: Address of the server.
            idle_s: Idle time of the connection before its last request, in seconds.

        """
        if idle_s >= MIN_IDLE_BEFORE_BREAK_S:
            expires_at = self._loop.time() + IDLE_LIMIT_LIFETIME_S
            self._idle_limits[address] = _IdleLimit(
                idle_s * IDLE_LIMIT_BACKOFF, expires_at
            )

    def _apply_idle_limit(
        self, address: Address, max_idle_s: float, now: float
    ) -> float:
        limit = self._idle_limits.get(address)
        if limit is None:
            return max_idle_s
        if now >= limit.expires_at:
            del self._idle_limits[address]
            return max_idle_s
        return min(max_idle_s, limit.idle_s)

    def _acquire(
        self, address: Address, max_idle_s: float, request_id: bytes | None
    ) -> ClientConnection | None:
        """Remove and return the newest idle connection that is usable for a request."""
        connections = self._idle.get(address, [])
        now = self._loop.time()
        max_idle_s = self._apply_idle_limit(address, max_idle_s, now)
        for index in reversed(range(len(connections))):
            connection = connections[index]
            if connection.broken:
                del connections[index]
            elif not _is_usable(connection, now, max_idle_s):
                del connections[index]
                connection.abort()
            elif request_id not in connection.failed_ids:
                return connections.pop(index)
        return None

    def _release(self, address: Address, connection: ClientConnection) -> None:
        connections = self._idle.setdefault(address, [])
        if len(connections) >= MAX_IDLE_PER_ADDRESS:
            connection.abort()
            return
        connection.idle_since = self._loop.time()
        connections.append(connection)

    async def _connect(self, address: Address) -> ClientConnection:
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await self._loop.create_connection(
                    lambda: ClientConnection(
                        loop=self._loop,
                        id_header=self._id_header,
                        unacknowledged_timeout_ms=self._unacknowledged_timeout_ms,
                        reads_late=self._reads_late,
                        limits=self._limits,
                        budget=self._budget,
                    ),
                    address.ip,
                    address.port,
                )
        except (OSError, TimeoutError) as error:
            raise ConnectError(f"failed to connect to {address}: {error}") from error
        return connection


def _is_usable(connection: ClientConnection, now: float, max_idle_s: float) -> bool:
    limit_s = max_idle_s
    if connection.keep_alive_s is not None:
        limit_s = min(limit_s, connection.keep_alive_s - KEEP_ALIVE_MARGIN_S)
    return now - connection.idle_since <= limit_s


__all__ = [
    "ConnectError",
    "ConnectionBrokenError",
    "ConnectionPool",
    "ResponseLimitError",
]
