"""Bounds on retries: a budget per node and a share of the root's retries."""

from __future__ import annotations

MAX_ATTEMPTS = 3
RETRY_RATIO = 0.1
MIN_RETRIES_PER_S = 1.0
MAX_BALANCE = 50.0


class RetryBudget:
    """Allows retries as a fraction of requests, with a small constant rate.

    Args:
        now: Present time in seconds.
        ratio: Retries earned by each request.
        min_per_s: Retries earned in each second without any request.
        max_balance: Retries that can be saved up.

    """

    __slots__ = ("_balance", "_max_balance", "_min_per_s", "_ratio", "_updated")

    def __init__(
        self,
        *,
        now: float,
        ratio: float = RETRY_RATIO,
        min_per_s: float = MIN_RETRIES_PER_S,
        max_balance: float = MAX_BALANCE,
    ) -> None:
        self._balance = min_per_s
        self._updated = now
        self._ratio = ratio
        self._min_per_s = min_per_s
        self._max_balance = max_balance

    def record_success(self) -> None:
        """Earn a fraction of a retry."""
        self._balance = min(self._max_balance, self._balance + self._ratio)

    def take(self, now: float, *, cost: float = 1.0) -> bool:
        """Take retries; return whether the budget allows them.

        Args:
            now: Present time in seconds.
            cost: Executions that the retry leads to.

        """
        elapsed = max(0.0, now - self._updated)
        self._updated = now
        earned = elapsed * self._min_per_s
        self._balance = min(self._max_balance, self._balance + earned)
        if self._balance < cost:
            return False
        self._balance -= cost
        return True


def split_retries(retries: int) -> tuple[int, int]:
    """Split the retries left into those kept here and those passed down.

    Every retry is given to exactly one place, so the executions of one call in the
    tree of a root request number at most 1 plus the root's retries, at any depth.
    """
    kept = (retries + 1) // 2
    return kept, retries - kept
