"""Server stand-in that sends bytes without end in place of a response."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderway_relay.model import Address

MAX_SENT_BYTES = 32_000_000  # a test fails before a faulty client fills the memory


class EndlessServer:
    """Raw server that repeats one piece until the client closes.

    Args:
        prefix: Bytes sent first.
        piece: Bytes sent repeatedly after the prefix; empty to send no more.
        interval_s: Pause between two pieces, in seconds.
        reads_request: Whether to wait for a request before sending.
        max_bytes: Number of bytes, over all connections, after which it only waits
            for the client to close.

    Attributes:
        request_heads: Heads of the received requests.
        connections: Number of accepted connections.
        closed: Number of connections that the client has closed.
        sent_bytes: Number of bytes accepted by the transports.

    """

    def __init__(
        self,
        *,
        prefix: bytes,
        piece: bytes,
        interval_s: float = 0.0,
        reads_request: bool = True,
        max_bytes: int = MAX_SENT_BYTES,
    ) -> None:
        self._prefix = prefix
        self._piece = piece
        self._interval_s = interval_s
        self._reads_request = reads_request
        self._max_bytes = max_bytes
        self.request_heads: list[bytes] = []
        self.connections = 0
        self.closed = 0
        self.sent_bytes = 0

    async def start(self, address: Address) -> asyncio.Server:
        """Start listening."""
        return await asyncio.start_server(self._send, *address)

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        # The end of a test cancels this task while the client is still connected.
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            if self._reads_request:
                self.request_heads.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(self._prefix)
            await writer.drain()
            while self._piece and self.sent_bytes < self._max_bytes:
                writer.write(self._piece)
                await writer.drain()
                self.sent_bytes += len(self._piece)
                await asyncio.sleep(self._interval_s)
            await reader.read()
        self.closed += 1
        writer.close()
