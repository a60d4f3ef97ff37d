"""TCP proxy on loopback that injects delays, losses and resets into a link."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import Enum
from typing import TYPE_CHECKING, cast

if TYPE_CHECKING:
    from lavenderway_relay.model import Address

_ZERO_LINGER = struct.pack("ii", 1, 0)


class LinkFault(Enum):
    """Faults of a link."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"  # each connection is reset when it next receives bytes
    FORWARD_CUT = "forward-cut"  # bytes to the target are dropped
    BACKWARD_CUT = "backward-cut"  # bytes from the target are dropped
    SILENT = "silent"  # bytes in both directions are dropped


class _ProxyConnection(asyncio.Protocol):
    """One of the two connections that a proxied connection consists of.

    Args:
        link: Proxy that the connection belongs to.
        forward: Whether this is the connection to the client, not to the target.

    Attributes:
        peer: The other connection; None until it is created.

    """

    def __init__(self, *, link: LinkProxy, forward: bool) -> None:
        self._link = link
        self._forward = forward
        self._is_dropping = False  # after a loss, later bytes would corrupt the stream
        self._send_at = 0.0
        self._unsent: list[bytes] = []
        self.peer: _ProxyConnection | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.Transport", transport)
        self._link.connections.add(self)
        if self._forward:
            asyncio.get_running_loop().create_task(self._connect())
        elif self.peer is not None:
            self.peer.flush_unsent()

    async def _connect(self) -> None:
        other = _ProxyConnection(link=self._link, forward=False)
        other.peer = self
        self.peer = other
        try:
            loop = asyncio.get_running_loop()
            await loop.create_connection(lambda: other, *self._link.target)
        except OSError:
            self.reset()

    def flush_unsent(self) -> None:
        """Relay the bytes that arrived before the other connection was open."""
        unsent, self._unsent = self._unsent, []
        for data in unsent:
            self._relay(data)

    def data_received(self, data: bytes) -> None:
        fault = self._link.fault
        cut = LinkFault.FORWARD_CUT if self._forward else LinkFault.BACKWARD_CUT
        if fault is LinkFault.RESET:
            self.reset()
        elif fault in (cut, LinkFault.SILENT) or self._is_dropping:
            self._is_dropping = True
        elif self.peer is None or self.peer.transport is None:
            self._unsent.append(data)
        else:
            self._relay(data)

    def _relay(self, data: bytes) -> None:
        assert self.peer is not None
        loop = asyncio.get_running_loop()
        delay_s = self._link.delay_s if self._link.fault is LinkFault.DELAY else 0.0
        self._send_at = max(self._send_at, loop.time() + delay_s)
        if self._send_at <= loop.time():
            self.peer.write(data)
        else:
            loop.call_at(self._send_at, self.peer.write, data)

    def write(self, data: bytes) -> None:
        """Write bytes to this connection unless it is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._link.connections.discard(self)
        peer = self.peer
        if peer is None or peer.transport is None or self._is_dropping:
            return
        delay_s = max(0.0, self._send_at - asyncio.get_running_loop().time())
        end = peer.transport.close if exc is None else peer.reset
        asyncio.get_running_loop().call_later(delay_s, end)

    def reset(self) -> None:
        """Close both connections with a TCP reset."""
        for side in (self, self.peer):
            if side is None or side.transport is None or side.transport.is_closing():
                continue
            sock = side.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
            side.transport.abort()


class LinkProxy:
    """A TCP proxy between an address and its target.

    Args:
        address: Address to listen on.
        target: Address to relay connections to.

    Attributes:
        fault: Fault in effect.
        delay_s: Delay of all bytes while `fault` is `LinkFault.DELAY`, in seconds.

    """

    def __init__(self, *, address: Address, target: Address) -> None:
        self.address = address
        self.target = target
        self.fault = LinkFault.NONE
        self.delay_s = 0.0
        self.connections: set[_ProxyConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _ProxyConnection(link=self, forward=True), *self.address
        )

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for side in tuple(self.connections):
            side.reset()

    def stop(self) -> None:
        """Stop listening and reset all open connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
