"""Limits retries with a budget per service that grows with the requests sent.

Designed for services whose upstreams reject or fail so many requests that the budget of
the fleet covers only a few of the retries wanted. A retry that completes a root request
is worth more than a retry of a call, because a call tree succeeds only if all of its
calls do. Retries of calls therefore leave a reserve for root requests.
"""

from __future__ import annotations

# Share of the fleet's ratio that a request adds to the balance; the rest covers the
# calls made by retried requests.
RATIO_FRACTION = 0.75
# Share of the fleet's slack that is divided among the nodes, which may all spend their
# balances at the same time.
SLACK_FRACTION = 0.5
CALL_RESERVE = 0.7  # part of the balance that only root requests may spend
MIN_CAPACITY = 1.0 + CALL_RESERVE  # with less, a node could never retry a call


class RetryBudget:
    """Retry budget of one node for one service.

    Args:
        ratio: Retries per request, across the fleet.
        slack: Retries beyond the ratio in any window, across the fleet.
        hosts: Number of hosts that share the slack.

    """

    def __init__(self, *, ratio: float, slack: float, hosts: int) -> None:
        self._parameters = (ratio, slack, hosts)
        self._balance = 0.0
        self._ratio = ratio * RATIO_FRACTION
        self._capacity = _capacity(slack, hosts)

    def resize(self, *, ratio: float, slack: float, hosts: int) -> None:
        """Apply a change of the settings or of the number of hosts."""
        if self._parameters == (ratio, slack, hosts):
            return
        self._parameters = (ratio, slack, hosts)
        self._ratio = ratio * RATIO_FRACTION
        self._capacity = _capacity(slack, hosts)
        self._balance = min(self._balance, self._capacity)

    def deposit(self) -> None:
        """Add the retries that one request for the service allows."""
        self._balance = min(self._capacity, self._balance + self._ratio)

    def try_withdraw(self, *, call: bool, cost: float = 1.0) -> bool:
        """Withdraw a retry if the balance allows it; return whether it did.

        Args:
            call: Whether the request to retry is a call of a running request.
            cost: Expected runs due to the retry: its own and those of its calls.

        """
        if self._balance < cost + (CALL_RESERVE if call else 0.0):
            return False
        self._balance -= cost
        return True


def _capacity(slack: float, hosts: int) -> float:
    return max(MIN_CAPACITY, slack * SLACK_FRACTION / max(1, hosts))
