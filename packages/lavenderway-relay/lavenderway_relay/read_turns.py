"""Lets connections whose input takes long to parse read in turn.

Designed for bodies in very small chunks, and for connections that send faster than they
can be served. Parsing a chunk of one byte takes as long as parsing a large one, so that
one read of such a body could take as long as hundreds of ordinary requests.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import asyncio

# Largest read of a connection, unless it reads a body of announced length.
READ_BYTES = 16_384
LARGE_READ_BYTES = 262_144
TURNS_PER_ROUND = 2  # the event loop serves all other events between two rounds


class Reader(Protocol):
    """Reads input of a connection."""

    def take_turn(self) -> None:
        """Parse input that was left, and read on."""


class ReadTurns:
    """Turns of the connections of one server, in the order in which they asked.

    Args:
        loop: The event loop.

    Attributes:
        loop: The event loop.

    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self._readers: deque[Reader] = deque()
        self._scheduled = False

    def __len__(self) -> int:
        """Return the number of connections that wait for their turn."""
        return len(self._readers)

    def add(self, reader: Reader) -> None:
        """Let a connection read on after all that wait already."""
        self._readers.append(reader)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self.loop.call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        for _ in range(min(TURNS_PER_ROUND, len(self._readers))):
            self._readers.popleft().take_turn()
        if self._readers:
            self._schedule()
