"""Writes responses to a connection no faster than its client reads them.

Designed for many clients that read long responses slowly. A transport keeps each
buffer until its last byte is written, and does not tell what it keeps. Long bodies are
therefore handed over in copied pieces, so that the memory of the rest is known and is
freed at once when the connection ends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderway_relay._sockets import LingeringClose, count_unacknowledged_bytes
from lavenderway_relay.messages import SHARED_BODY_BYTES

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable

PIECE_BYTES = 65_536


class ResponseWriter:
    """The responses that a client has not read.

    Args:
        transport: Transport of the connection.

    Attributes:
        paused: Whether the transport has asked to pause writing.

    """

    __slots__ = ("_ends", "_lingering", "_offset", "_parts", "_transport", "paused")

    def __init__(self, *, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._parts: list[bytes | bytearray] = []  # an empty deque takes 0.6 KB
        self._offset = 0
        self._ends = False
        self._lingering: LingeringClose | None = None
        self.paused = False

    @property
    def unwritten_bytes(self) -> int:
        """Bytes that the socket has not taken."""
        return self._transport.get_write_buffer_size() + self.queued_bytes

    @property
    def queued_bytes(self) -> int:
        """Bytes that have not been handed to the transport."""
        return sum(map(len, self._parts)) - self._offset

    @property
    def unread_bytes(self) -> int:
        """Bytes that the client has not received."""
        return count_unacknowledged_bytes(self._transport) + self.queued_bytes

    @property
    def held_bytes(self) -> int:
        """Memory of the responses that are not written completely."""
        return self._transport.get_write_buffer_size() + sum(map(len, self._parts))

    def write(self, parts: Iterable[bytes | bytearray]) -> None:
        """Write the parts of responses behind all earlier ones."""
        small: list[bytes | bytearray] = []
        for part in parts:
            if len(part) <= SHARED_BODY_BYTES:
                small.append(part)
                continue
            if small:
                self._parts.append(b"".join(small))
                small = []
            self._parts.append(part)
        if small:
            self._parts.append(b"".join(small))
        self.resume()

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """End the stream after all responses, and close once the client has them."""
        self._ends = True
        self.resume()
        self._lingering = LingeringClose(
            transport=self._transport,
            loop=loop,
            has_unread_response=lambda: self.unread_bytes > 0,
        )

    def resume(self) -> None:
        """Write as much as the transport takes."""
        transport = self._transport
        while self._parts and not self.paused and not transport.is_closing():
            part = self._parts[0]
            end = self._offset + PIECE_BYTES
            if len(part) <= PIECE_BYTES:
                piece = part
            else:
                piece = bytes(memoryview(part)[self._offset : end])
            if end >= len(part):
                del self._parts[0]
                self._offset = 0
            else:
                self._offset = end
            transport.write(piece)
        if self._ends and not self._parts and not transport.is_closing():
            self._ends = False
            try:
                transport.write_eof()
            except OSError:  # reset by the client, which the event loop reports later
                transport.abort()

    def drop(self) -> None:
        """Free what has not been handed over, as the connection ends."""
        self._parts.clear()
        self._offset = 0
        if self._lingering is not None:
            self._lingering.cancel()
