"""Accounts for the bytes that a process holds for its callers, peers and upstreams.

Designed for many clients at once that send large bodies, most of which stop short of
their end, or that ask for long responses and hardly read them. Each of them is within
the limits of a single request; together they exceed the memory of the process. A body
gets its whole room before it is read, so that whatever has been given room can end.
When there is none, clients that make no progress give way.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from lavenderway_relay.pace import Pace, PaceClock

if TYPE_CHECKING:
    from collections.abc import Callable

PROCESS_BYTES = 40_000_000  # of an idle process with its modules and connections
# Part of the remaining memory that may be held; allocator and event loop add the rest.
HELD_FRACTION = 0.8
MIN_HELD_BYTES = 8_000_000  # with less, a node could hardly forward anything
BUFFER_GROWTH = 1.125  # a growing buffer allocates up to this multiple of its length
SMALL_BYTES = 8_192  # a message of this size is not counted if it arrives whole
SMALL_RESERVE_FRACTION = 0.1  # part of the maximum that only small messages may take
# Part of the maximum that requests waiting for room leave free.
WAITING_RESERVE_FRACTION = 0.05
# Part of the maximum that large requests leave to responses that wait, at most.
MAX_AWAITED_FRACTION = 0.25
SEARCH_PAUSE_S = 0.05  # between two searches for stalled clients that found none


class Purpose(Enum):
    """What held bytes are held for; the values are labels of metrics."""

    REQUEST = "request"
    RESPONSE = "response"
    UPSTREAM = "upstream"


class Holder(Protocol):
    """Holds bytes that are counted in a ledger."""

    def give_way(self, account: Account) -> None:
        """Free bytes of the account, and count at once what remains."""


class Account(Pace):
    """Bytes that one holder has taken, and its progress.

    Args:
        holder: Frees the bytes when they are needed elsewhere.
        purpose: What the bytes are held for.
        now: Time of the ledger's clock in seconds.

    Attributes:
        held_bytes: Bytes taken at present.
        may_give_way: Whether the holder can be made to free them. False while a
            request is being run.

    """

    __slots__ = ("held_bytes", "holder", "may_give_way", "purpose")

    def __init__(self, *, holder: Holder, purpose: Purpose, now: float) -> None:
        super().__init__(now=now)
        self.holder = holder
        self.purpose = purpose
        self.held_bytes = 0
        self.may_give_way = True


class MemoryLedger:
    """All bytes that one process holds.

    Args:
        max_bytes: Bytes that may be held; infinite without a limit.

    Attributes:
        awaited_bytes: Bytes that responses wait for. Large requests leave them room, as
            the work for a response is done.
        clock: Time by which clients are measured.
        on_room: Called when bytes have been freed.

    """

    def __init__(self, *, max_bytes: float = math.inf) -> None:
        self._max_bytes = max_bytes
        self._accounts: set[Account] = set()
        self._held_by_purpose = dict.fromkeys(Purpose, 0)
        self._search_at = -math.inf
        self.awaited_bytes = 0
        self.clock = PaceClock()
        self.on_room: list[Callable[[], None]] = []

    @property
    def max_bytes(self) -> float:
        """Bytes that may be held; infinite without a limit."""
        return self._max_bytes

    @property
    def held_bytes(self) -> int:
        """Bytes held at present."""
        return sum(self._held_by_purpose.values())

    def held_for(self, purpose: Purpose) -> int:
        """Return the bytes held for a purpose."""
        return self._held_by_purpose[purpose]

    def try_set(
        self, account: Account, byte_count: int, now: float, *, waiting: bool = False
    ) -> bool:
        """Change the bytes of an account if there is room, and return whether it is.

        Stalled clients give way first.

        Args:
            account: The account.
            byte_count: Bytes that it is to hold.
            now: Time of the ledger's clock in seconds.
            waiting: Whether the account only keeps what it holds until there is room.

        """
        if byte_count <= account.held_bytes:
            self._set(account, byte_count)
            return True
        limit = self._limit(account, byte_count)
        if waiting:
            limit = max(limit, self._max_bytes * (1.0 - WAITING_RESERVE_FRACTION))
        if not self._has_room(account, byte_count, limit) and now >= self._search_at:
            while not self._has_room(account, byte_count, limit):
                stalled = self._find_stalled(account, now)
                if stalled is None:
                    self._search_at = now + SEARCH_PAUSE_S
                    break
                self._press(stalled)
        if not self._has_room(account, byte_count, limit):
            return False
        self._set(account, byte_count)
        return True

    def set(self, account: Account, byte_count: int, now: float) -> None:
        """Change the bytes of an account; beyond the maximum, others give way.

        If no client is stalled, the one with the least progress gives way. That may be
        the changed one itself.

        Args:
            account: The account.
            byte_count: Bytes that it holds already.
            now: Time of the ledger's clock in seconds.

        """
        grows = byte_count > account.held_bytes
        self._set(account, byte_count)
        if grows:
            self._reduce(now, wanting=account)

    def record(self, account: Account, byte_count: int) -> None:
        """Change the bytes of an account whose holder stops growing by itself."""
        self._set(account, byte_count)

    def resize(self, max_bytes: float, now: float) -> None:
        """Change the maximum; if more is held, clients give way at once.

        Args:
            max_bytes: Bytes that may be held; infinite without a limit.
            now: Time of the ledger's clock in seconds.

        """
        self._max_bytes = max_bytes
        self._reduce(now)
        for callback in self.on_room:
            callback()

    def close(self, account: Account) -> None:
        """Give back all bytes of an account."""
        self._set(account, 0)

    def _limit(self, account: Account, byte_count: int) -> float:
        if byte_count <= SMALL_BYTES:
            return self._max_bytes
        limit = self._max_bytes * (1.0 - SMALL_RESERVE_FRACTION)
        if account.purpose is Purpose.REQUEST:
            limit -= min(self.awaited_bytes, limit * MAX_AWAITED_FRACTION)
        return limit

    def _has_room(self, account: Account, byte_count: int, limit: float) -> bool:
        return self.held_bytes - account.held_bytes + byte_count <= limit

    def _set(self, account: Account, byte_count: int) -> None:
        change = byte_count - account.held_bytes
        account.held_bytes = byte_count
        self._held_by_purpose[account.purpose] += change
        if byte_count:
            self._accounts.add(account)
        else:
            self._accounts.discard(account)
        if change < 0:
            for callback in self.on_room:
                callback()

    def _reduce(self, now: float, *, wanting: Account | None = None) -> None:
        """Let accounts give way, one at a time, until the maximum is not exceeded."""
        while self.held_bytes > self._max_bytes:
            pressed = self._find_stalled(wanting, now) or self._find_slowest(wanting)
            if pressed is None:
                return
            self._press(pressed)

    def _press(self, account: Account) -> None:
        account.may_give_way = False
        account.holder.give_way(account)

    def _find_stalled(self, wanting: Account | None, now: float) -> Account | None:
        """Return the stalled account that has held the most for the longest."""
        return max(
            (
                account
                for account in self._accounts
                if account is not wanting
                and account.may_give_way
                and account.stalled_s(now) > 0.0
            ),
            key=lambda account: account.held_bytes * account.stalled_s(now),
            default=None,
        )

    def _find_slowest(self, wanting: Account | None) -> Account | None:
        """Return the account that may give way and has the least progress.

        Of several that are alike, the one that holds the most, but not the one that
        wants the room.
        """
        return min(
            (account for account in self._accounts if account.may_give_way),
            key=lambda account: (
                account.on_pace_until,
                account is wanting,
                -account.held_bytes,
            ),
            default=None,
        )


def compute_max_held_bytes(memory_bytes: int) -> int:
    """Return the bytes that a process with a memory limit may hold."""
    free_bytes = memory_bytes - PROCESS_BYTES
    return max(MIN_HELD_BYTES, int(free_bytes * HELD_FRACTION))
