"""Limits on responses, which protect the process from servers that send without end."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol

from lavenderway_relay.memory_ledger import (
    BUFFER_GROWTH,
    Account,
    MemoryLedger,
    Purpose,
)

MAX_FRAMING_BYTES = 65_536  # far above any response head
MAX_HEADERS = 1_000
MAX_SKIPPED_RESPONSES = 100
MAX_BODY_BYTES = 67_108_864  # far above any response body
MAX_HELD_BYTES = 50_000_000  # of a process whose memory limit is not known
# The rest is for complete responses that clients have not read, and for requests.
HELD_FRACTION = 0.25
# Announced bytes of a process whose memory limit is not known; three of the largest.
MAX_RESERVED_BYTES = 240_000_000
# Longest time for which a response that finds no memory is not read. Shorter than that
# after which a peer treats a connection that is not read as lost.
MEMORY_WAIT_S = 1.0
READ_BYTES = 262_144  # most that the event loop reads at once


class ResponseLimit(Enum):
    """Limit that a response has exceeded."""

    FRAMING = "framing_limit"
    HEADERS = "headers_limit"
    SKIPPED = "skipped_responses_limit"
    BODY = "body_limit"
    MEMORY = "memory_limit"


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseLimits:
    """Limits on everything that a server sends in response to one request.

    Interim responses and discarded responses to other requests count as well.

    Attributes:
        framing_bytes: Maximum size of all that is not part of a body, in bytes: status
            lines, headers, chunk sizes and extensions, trailers. Another byte is
            allowed for each byte of the body, for the framing of small chunks.
        headers: Maximum number of headers and trailers.
        skipped_responses: Maximum number of interim responses and of discarded
            responses to other requests.
        body_bytes: Maximum size of the body, in bytes.

    """

    framing_bytes: int = MAX_FRAMING_BYTES
    headers: int = MAX_HEADERS
    skipped_responses: int = MAX_SKIPPED_RESPONSES
    body_bytes: int = MAX_BODY_BYTES


DEFAULT_LIMITS = ResponseLimits()


class ResponseHolder(Protocol):
    """Holds the received part of a response."""

    def exceed_limit(self, limit: ResponseLimit) -> None:
        """Fail the response, and free what has been received of it."""

    def read_on(self) -> None:
        """Read on, as there is memory for the response now."""


class _Wait(NamedTuple):
    """A response that waits for memory.

    Attributes:
        byte_count: Bytes to reserve; 0 for a response of unknown length.
        fail_at: When it fails without memory, in event loop seconds.

    """

    byte_count: int
    fail_at: float


class CountedMemory:
    """Memory of a complete response, counted until it is freed or released.

    A response passes through several tasks before it is written to a client, and any of
    them may be cancelled. This object goes with the response, so no way is missed.

    Args:
        budget: Counts the memory.
        byte_count: Memory of the response.

    """

    __slots__ = ("_budget", "_byte_count")

    def __init__(self, *, budget: ResponseBudget, byte_count: int) -> None:
        self._budget: ResponseBudget | None = budget
        self._byte_count = byte_count
        budget.count_complete(byte_count)

    def release(self) -> None:
        """Stop counting the memory; whoever holds it counts it from now on."""
        if self._budget is not None:
            self._budget.release_complete(self._byte_count)
            self._budget = None

    def __del__(self) -> None:
        """Stop counting the memory."""
        self.release()


class ResponseBudget:
    """Memory of incomplete responses.

    A long response of announced length gets its whole memory before it is read. Without
    any it waits, so that no client that reads another response at a good pace has to be
    ended for it. The others are counted as they arrive, and are limited in sum.

    Complete responses that no connection has taken yet are counted in the ledger alone.

    Args:
        max_bytes: Maximum number of bytes held of responses without a reservation.
        ledger: Counts these bytes among all that the process holds; None for none.

    Attributes:
        held_bytes: Number of bytes held at present without a reservation.

    """

    def __init__(
        self, *, max_bytes: int = MAX_HELD_BYTES, ledger: MemoryLedger | None = None
    ) -> None:
        self._max_bytes = max_bytes
        self._max_reserved_bytes: float = MAX_RESERVED_BYTES
        self._ledger = ledger or MemoryLedger()
        self._ledger.on_room.append(self._schedule_admission)
        self._account = Account(holder=self, purpose=Purpose.UPSTREAM, now=0.0)
        self._reserved = Account(holder=self, purpose=Purpose.UPSTREAM, now=0.0)
        self._reserved.may_give_way = False
        self._complete = Account(holder=self, purpose=Purpose.RESPONSE, now=0.0)
        self._complete.may_give_way = False
        self._held_by: dict[ResponseHolder, int] = {}
        self._reserved_by: dict[ResponseHolder, int] = {}
        self._waiting: dict[ResponseHolder, _Wait] = {}
        self._admission_scheduled = False
        self.held_bytes = 0

    @property
    def waiting(self) -> int:
        """Number of responses that wait for memory."""
        return len(self._waiting)

    def resize(self, max_bytes: int, *, max_reserved_bytes: float = math.inf) -> None:
        """Change the maximum; if more is held, the largest responses fail at once.

        Args:
            max_bytes: Maximum number of bytes held without a reservation.
            max_reserved_bytes: Maximum number of bytes reserved; infinite if the
                ledger has a maximum.

        """
        self._max_bytes = max_bytes
        self._max_reserved_bytes = max_reserved_bytes
        while self.held_bytes > self._max_bytes:
            self._fail_largest()

    def reserve(self, holder: ResponseHolder, byte_count: int, now: float) -> bool:
        """Reserve the memory of a response, or let it wait; return whether it has any.

        Args:
            holder: The response.
            byte_count: Memory of the whole response.
            now: Event loop time, in seconds.

        """
        if self._try_reserve(holder, byte_count):
            return True
        self._wait(holder, byte_count, now)
        return False

    def add(self, holder: ResponseHolder, byte_count: int, now: float) -> bool:
        """Count received bytes; above the maximum, fail the largest response.

        Many responses exceed the maximum only together. Failing the largest one
        spares those of servers that are not at fault.

        Args:
            holder: The response.
            byte_count: Number of bytes received.
            now: Event loop time, in seconds.

        Returns:
            Whether to read on. If not, the holder is told when to.

        """
        if holder in self._reserved_by:
            return True
        self._held_by[holder] = self._held_by.get(holder, 0) + byte_count
        self.held_bytes += byte_count
        while self.held_bytes > self._max_bytes:
            self._fail_largest()
        has_room = self._count()
        if holder in self._waiting or holder not in self._held_by:
            return False
        if not has_room:
            self._wait(holder, 0, now)
        return has_room

    def check(self, now: float) -> None:
        """Let responses read on that find memory, and fail those that waited long."""
        for holder, wait in tuple(self._waiting.items()):
            if self._waiting.get(holder) is not wait:
                continue
            if self._try_admit(holder, wait):
                holder.read_on()
            elif now >= wait.fail_at:
                self.release(holder)
                holder.exceed_limit(ResponseLimit.MEMORY)

    def release(self, holder: ResponseHolder) -> None:
        """Stop counting the bytes of a response that is complete or has failed."""
        self._end_wait(holder)
        reserved_bytes = self._reserved_by.pop(holder, 0)
        if reserved_bytes:
            self._change(self._reserved, -reserved_bytes)
        released_bytes = self._held_by.pop(holder, 0)
        if released_bytes:
            self.held_bytes -= released_bytes
            self._count()

    def count_complete(self, byte_count: int) -> None:
        """Count a complete response; beyond the maximum of the ledger, others give way.

        Args:
            byte_count: Memory of the response.

        """
        self._change(self._complete, byte_count)

    def release_complete(self, byte_count: int) -> None:
        """Stop counting a complete response."""
        self._change(self._complete, -byte_count)

    def give_way(self, account: Account) -> None:
        """Fail the largest response, as the process holds too much in all."""
        if self._held_by:
            self._fail_largest()
        account.may_give_way = bool(self._held_by)

    def _change(self, account: Account, byte_count: int) -> None:
        now = self._ledger.clock.now
        self._ledger.set(account, account.held_bytes + byte_count, now)

    def _try_reserve(self, holder: ResponseHolder, byte_count: int) -> bool:
        reserved_bytes = self._reserved.held_bytes + byte_count
        now = self._ledger.clock.now
        if reserved_bytes > self._max_reserved_bytes or not self._ledger.try_set(
            self._reserved, reserved_bytes, now
        ):
            return False
        self.release(holder)
        self._reserved_by[holder] = byte_count
        return True

    def _try_admit(self, holder: ResponseHolder, wait: _Wait) -> bool:
        if wait.byte_count:
            return self._try_reserve(holder, wait.byte_count)
        account = self._account
        held_bytes = account.held_bytes
        now = self._ledger.clock.now
        if not self._ledger.try_set(account, held_bytes + READ_BYTES, now):
            return False
        self._ledger.record(account, held_bytes)
        self._end_wait(holder)
        return True

    def _wait(self, holder: ResponseHolder, byte_count: int, now: float) -> None:
        self._waiting[holder] = _Wait(byte_count, now + MEMORY_WAIT_S)
        self._ledger.awaited_bytes += byte_count

    def _end_wait(self, holder: ResponseHolder) -> None:
        wait = self._waiting.pop(holder, None)
        if wait is not None:
            self._ledger.awaited_bytes -= wait.byte_count

    def _schedule_admission(self) -> None:
        if self._waiting and not self._admission_scheduled:
            self._admission_scheduled = True
            asyncio.get_running_loop().call_soon(self._admit_waiting)

    def _admit_waiting(self) -> None:
        """Let those that wait for memory read on, in the order of their arrival."""
        self._admission_scheduled = False
        for holder, wait in tuple(self._waiting.items()):
            if self._waiting.get(holder) is not wait:
                continue
            if not self._try_admit(holder, wait):
                return
            holder.read_on()

    def _fail_largest(self) -> None:
        largest = max(self._held_by, key=self._held_by.__getitem__)
        self.release(largest)
        largest.exceed_limit(ResponseLimit.MEMORY)

    def _count(self) -> bool:
        """Count what is held without a reservation; return whether there is room."""
        now = self._ledger.clock.now
        self._account.may_give_way = bool(self._held_by)
        # Upstreams are not clients that could stall; their responses have deadlines.
        self._account.restart(now)
        memory_bytes = int(self.held_bytes * BUFFER_GROWTH)
        if self._ledger.try_set(self._account, memory_bytes, now):
            return True
        self._ledger.record(self._account, memory_bytes)
        return False
