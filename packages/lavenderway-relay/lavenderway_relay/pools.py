"""Kept connections, by address."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lavenderway_relay._sockets import UNACKNOWLEDGED_TIMEOUT_MS
from lavenderway_relay.client import ClientConnection, ConnectionBrokenError

if TYPE_CHECKING:
    from lavenderway_relay.messages import Response
    from lavenderway_relay.model import Address

MAX_IDLE_PER_ADDRESS = 64
MAX_IDLE_S = 10.0  # below the idle time-out of any listener of the fleet
KEEP_ALIVE_MARGIN_S = 0.5  # the peer's clock starts earlier and its close may cross


class ConnectError(Exception):
    """No connection could be made, so nothing was sent."""


class ConnectionPool:
    """Opens connections, and keeps the idle ones.

    Args:
        loop: The event loop.
        connect_timeout_s: Longest time to open a connection, in seconds.
        unacknowledged_timeout_ms: Time after which a peer that acknowledges nothing
            counts as lost, in milliseconds.
        echo_header: Header in which the peers repeat a request's id.

    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_s: float,
        unacknowledged_timeout_ms: int = UNACKNOWLEDGED_TIMEOUT_MS,
        echo_header: bytes | None = None,
    ) -> None:
        self._loop = loop
        self._unacknowledged_timeout_ms = unacknowledged_timeout_ms
        self._connect_timeout_s = connect_timeout_s
        self._echo_header = echo_header
        self._idle: dict[Address, list[ClientConnection]] = {}

    async def exchange(
        self,
        address: Address,
        data: bytes,
        *,
        echo: bytes | None = None,
        max_idle_s: float = MAX_IDLE_S,
    ) -> Response:
        """Send one encoded request and return its response.

        Args:
            address: Where to send it.
            data: The encoded request.
            echo: Id that the response must repeat, if it repeats one.
            max_idle_s: Longest time that a kept connection may have been idle.

        Raises:
            ConnectError: Nothing was sent.
            ConnectionBrokenError: The request may have been received.

        """
        connection = self._take(address, max_idle_s)
        if connection is None:
            connection = await self._connect(address)
        response = await connection.exchange(data, echo=echo)
        if response.reusable and not connection.broken:
            self._keep(address, connection)
        else:
            connection.abort()
        return response

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle):
            self.drop(address)

    def drop(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def close_idle(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        for address, connections in tuple(self._idle.items()):
            kept = []
            for connection in connections:
                if not connection.broken and _usable(connection, now, MAX_IDLE_S):
                    kept.append(connection)
                elif not connection.broken:
                    connection.abort()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def _take(self, address: Address, max_idle_s: float) -> ClientConnection | None:
        connections = self._idle.get(address)
        now = self._loop.time()
        while connections:
            connection = connections.pop()
            if connection.broken:
                continue
            if _usable(connection, now, max_idle_s):
                return connection
            connection.abort()
        return None

    def _keep(self, address: Address, connection: ClientConnection) -> None:
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
                        echo_header=self._echo_header,
                        unacknowledged_timeout_ms=self._unacknowledged_timeout_ms,
                    ),
                    address.ip,
                    address.port,
                )
        except (OSError, TimeoutError) as error:
            raise ConnectError(f"cannot connect to {address}: {error}") from error
        return connection


def _usable(connection: ClientConnection, now: float, max_idle_s: float) -> bool:
    allowed = max_idle_s
    if connection.keep_alive_s is not None:
        allowed = min(allowed, connection.keep_alive_s - KEEP_ALIVE_MARGIN_S)
    return now - connection.idle_since <= allowed


__all__ = ["ConnectError", "ConnectionBrokenError", "ConnectionPool"]
