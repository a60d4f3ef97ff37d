"""Input of one connection: when it is read, and how much of it is parsed at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderway_relay.read_turns import READ_BYTES

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from lavenderway_relay.read_turns import ReadTurns
    from lavenderway_relay.request_parser import RequestParser

# Parsed at once, so that a connection stops soon after it may not read on.
SLICE_BYTES = 4_096
# A read of a chunked body that is not larger waits for no turn.
FREE_READ_BYTES = 1_024


class ConnectionInput:
    """Reads a connection, and passes the input on for parsing.

    Args:
        parser: Parser of the connection.
        parse: Parses a part of the input.
        turns: Turns of the connections of the server.

    Attributes:
        discarding: Whether further input is read, but not parsed.
        paused: Whether the connection is not read.

    """

    __slots__ = (
        "_held",
        "_parse",
        "_parser",
        "_transport",
        "_turns",
        "_unparsed",
        "_waits_for_turn",
        "discarding",
        "paused",
    )

    def __init__(
        self,
        *,
        parser: RequestParser,
        parse: Callable[[bytes | memoryview], None],
        turns: ReadTurns,
    ) -> None:
        self._parser = parser
        self._parse = parse
        self._turns = turns
        self._transport: asyncio.Transport
        self._unparsed = b""
        self._held = False
        self._waits_for_turn = False
        self.discarding = False
        self.paused = False

    def start(self, transport: asyncio.Transport) -> None:
        """Begin to read a transport."""
        self._transport = transport

    def choose_buffer(self, buffer: memoryview) -> memoryview:
        """Return the part of a buffer that the next read may fill."""
        if self._parser.expected_body_bytes > READ_BYTES:
            return buffer
        return buffer[:READ_BYTES]

    def receive(self, data: bytes | memoryview) -> None:
        """Parse input that has been read."""
        if self.discarding:
            return
        if self._unparsed:
            self._unparsed += data
            return
        self._feed(data)
        size = len(data)
        if size > FREE_READ_BYTES and self._is_costly(size):
            self._ask_for_turn()
            self._update()

    def is_head_late(self, now: float, timeout_s: float) -> bool:
        """Return whether a request head takes longer than a timeout to arrive."""
        since = self._parser.message_since
        return since is not None and not self.paused and now - since > timeout_s

    def hold(self, held: bool) -> bool:
        """Stop reading and parsing, or go on; return whether it was stopped before."""
        goes_on = self._held and not held
        self._held = held
        if self._unparsed and not held:
            self._ask_for_turn()
        self._update()
        return goes_on

    def discard(self) -> None:
        """Discard the input that is left, and all that follows."""
        self.discarding = True
        self._unparsed = b""

    def take_turn(self) -> None:
        """Parse input that was left, and read on."""
        self._waits_for_turn = False
        if self._unparsed and not self._held:
            data = self._unparsed
            self._unparsed = b""
            self._feed(data)
        self._update()

    def _feed(self, data: bytes | memoryview) -> None:
        size = len(data)
        if size <= SLICE_BYTES:
            self._parse(data)
            return
        start = 0
        while start < size and not self.discarding:
            if self._held:
                self._unparsed = bytes(data[start:])
                return
            end = start + max(SLICE_BYTES, self._parser.expected_body_bytes)
            self._parse(data[start:end])
            start = end

    def _is_costly(self, size: int) -> bool:
        """Return whether input like that of the last read takes long to parse."""
        if self._parser.expected_body_bytes:
            return False
        return size >= READ_BYTES or self._parser.in_body

    def _ask_for_turn(self) -> None:
        if not self._waits_for_turn:
            self._waits_for_turn = True
            self._turns.add(self)

    def _update(self) -> None:
        waits = self._waits_for_turn or bool(self._unparsed)
        pause = self._held or (waits and not self.discarding)
        if pause is self.paused or self._transport.is_closing():
            return
        self.paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            if self._parser.message_since is not None:
                self._parser.message_since = self._turns.loop.time()
            self._transport.resume_reading()
