"""Bounds on retries: a budget per node and a share of the root's retries."""

from __future__ import annotations

MAX_ATTEMPTS = 3
RETRY_RATIO = 0.1
MIN_RETRIES_PER_S = 1.0
MAX_BALANCE = 50.0


class RetryBudget:
    """Allows retries as a fraction of successes, with a small constant rate.

    Args:
        now: Present time in seconds.

    """

    __slots__ = ("_balance", "_updated")

    def __init__(self, *, now: float) -> None:
        self._balance = MIN_RETRIES_PER_S
        self._updated = now

    def record_success(self) -> None:
        """Earn a fraction of a retry."""
        self._balance = min(MAX_BALANCE, self._balance + RETRY_RATIO)

    def take(self, now: float) -> bool:
        """Take one retry; return whether the budget allows it."""
        elapsed = max(0.0, now - self._updated)
        self._updated = now
        earned = elapsed * MIN_RETRIES_PER_S
        self._balance = min(MAX_BALANCE, self._balance + earned)
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def split_retries(retries: int) -> tuple[int, int]:
    """Split the retries left into those kept here and those passed down.

    Every retry is given to exactly one place, so the executions of one call in the
    tree of a root request number at most 1 plus the root's retries, at any depth.
    """
    kept = (retries + 1) // 2
    return kept, retries - kept
