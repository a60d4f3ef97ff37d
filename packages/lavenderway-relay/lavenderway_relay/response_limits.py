"""Limits on responses, which protect the process from servers that send without end."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

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
    """Limits the bytes of incomplete responses that a process holds.

    Complete responses that no connection has taken yet are counted in the ledger alone.

    Args:
        max_bytes: Maximum number of bytes held.
        ledger: Counts these bytes among all that the process holds; None for none.

    Attributes:
        held_bytes: Number of bytes held at present.

    """

    def __init__(
        self, *, max_bytes: int = MAX_HELD_BYTES, ledger: MemoryLedger | None = None
    ) -> None:
        self._max_bytes = max_bytes
        self._ledger = ledger or MemoryLedger()
        self._account = Account(holder=self, purpose=Purpose.UPSTREAM, now=0.0)
        self._complete = Account(holder=self, purpose=Purpose.RESPONSE, now=0.0)
        self._complete.may_give_way = False
        self._held_by: dict[ResponseHolder, int] = {}
        self.held_bytes = 0

    def resize(self, max_bytes: int) -> None:
        """Change the maximum; if more is held, the largest responses fail at once."""
        self._max_bytes = max_bytes
        while self.held_bytes > self._max_bytes:
            self._fail_largest()

    def add(self, holder: ResponseHolder, byte_count: int) -> None:
        """Count received bytes; above the maximum, fail the largest response.

        Many responses exceed the maximum only together. Failing the largest one
        spares those of servers that are not at fault.

        Args:
            holder: The response.
            byte_count: Number of bytes received.

        """
        self._held_by[holder] = self._held_by.get(holder, 0) + byte_count
        self.held_bytes += byte_count
        while self.held_bytes > self._max_bytes:
            self._fail_largest()
        self._count()

    def release(self, holder: ResponseHolder) -> None:
        """Stop counting the bytes of a response that is complete or has failed."""
        released_bytes = self._held_by.pop(holder, 0)
        if released_bytes:
            self.held_bytes -= released_bytes
            self._count()

    def count_complete(self, byte_count: int) -> None:
        """Count a complete response; beyond the maximum of the ledger, others give way.

        Args:
            byte_count: Memory of the response.

        """
        now = self._ledger.clock.now
        self._ledger.set(self._complete, self._complete.held_bytes + byte_count, now)

    def release_complete(self, byte_count: int) -> None:
        """Stop counting a complete response."""
        self._ledger.set(self._complete, self._complete.held_bytes - byte_count, 0.0)

    def give_way(self, account: Account) -> None:
        """Fail the largest response, as the process holds too much in all."""
        if self._held_by:
            self._fail_largest()
        account.may_give_way = bool(self._held_by)

    def _fail_largest(self) -> None:
        largest = max(self._held_by, key=self._held_by.__getitem__)
        self.release(largest)
        largest.exceed_limit(ResponseLimit.MEMORY)

    def _count(self) -> None:
        now = self._ledger.clock.now
        self._account.may_give_way = bool(self._held_by)
        # Upstreams are not clients that could stall; their responses have deadlines.
        self._account.record_progress(self._account.held_bytes, now)
        memory_bytes = int(self.held_bytes * BUFFER_GROWTH)
        self._ledger.set(self._account, memory_bytes, now)
