"""Retry budgets: one per node, and one per root request, shared by its nested calls.

Independent retries at each service would multiply the executions of a call with the
depth of the call graph, and amplify an overload.
"""

from __future__ import annotations

MAX_ATTEMPTS = 3
RETRIES_PER_SUCCESS = 0.1
MIN_RETRIES_PER_S = 1.0
MAX_SAVED_RETRIES = 50.0


class RetryBudget:
    """Retry budget of a node, in proportion to its successful requests.

    Retries are also earned at a small constant rate, so that a node with little
    traffic can retry at all.

    Args:
        now: Current time in seconds.
        per_success: Retries earned by each successful request.
        min_per_s: Retries earned per second, independent of requests.
        max_balance: Maximum number of retries that can be saved up.

    """

    __slots__ = (
        "_balance",
        "_max_balance",
        "_min_per_s",
        "_per_success",
        "_updated_at",
    )

    def __init__(
        self,
        *,
        now: float,
        per_success: float = RETRIES_PER_SUCCESS,
        min_per_s: float = MIN_RETRIES_PER_S,
        max_balance: float = MAX_SAVED_RETRIES,
    ) -> None:
        self._balance = min_per_s
        self._updated_at = now
        self._per_success = per_success
        self._min_per_s = min_per_s
        self._max_balance = max_balance

    def record_success(self) -> None:
        """Credit the budget for a successful request."""
        self._balance = min(self._max_balance, self._balance + self._per_success)

    def try_withdraw(self, now: float, *, cost: float = 1.0) -> bool:
        """Withdraw the cost of a retry if the budget covers it.

        Args:
            now: Current time in seconds.
            cost: Number of executions that the retry causes.

        Returns:
            Whether the retry is allowed.

        """
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        earned = elapsed_s * self._min_per_s
        self._balance = min(self._max_balance, self._balance + earned)
        if self._balance < cost:
            return False
        self._balance -= cost
        return True


def split_retries(retries: int) -> tuple[int, int]:
    """Split the remaining retries of a request between this node and nested calls.

    Each retry is assigned to exactly one service. Whatever the depth of the call
    graph, a call in it is thus executed at most `1 + r` times, where `r` is the number
    of retries of the root request.

    Args:
        retries: Retries that the request still has.

    Returns:
        Retries that this node may use, and retries passed on to nested calls.

    """
    kept = (retries + 1) // 2
    return kept, retries - kept
