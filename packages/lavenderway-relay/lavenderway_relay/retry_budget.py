"""Limits retries with a budget per service that grows with the requests sent.

A node runs on each host beside one upstream, and keeps one budget for each service that
it sends requests to. The balance starts at zero and is counted in expected runs: each
request adds a fraction of a run, up to a capacity, and each retry subtracts the runs
that it is expected to cause. A root request comes from a caller outside the fleet; a
call is made by an upstream while it runs another request.

Designed for services whose upstreams reject or fail so many requests that the budget of
the fleet covers only a few of the retries wanted. A retry that completes a root request
is worth more than a retry of a call: a call tree succeeds only if all of its calls do,
so a retry of one call is wasted if another call fails. Retries of calls therefore leave
a reserve for root requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderway_core.ids import ServiceId

# Share of the fleet's ratio that a request adds to the balance; the rest is not added,
# as a margin for the calls made by retried requests.
RATIO_FRACTION = 0.75
# Share of the fleet's slack that is divided evenly among the nodes, which may all spend
# their balances at the same time.
SLACK_FRACTION = 0.5
# Expected runs that the retry of a call must leave in the balance; less than the retry
# of a root request costs.
CALL_RESERVE = 0.7
# With less, a node could never retry a call, not even at a cost of 1.0; with just this,
# it never retries a call that costs more. In a large fleet this exceeds the node's part
# of the slack, so that all nodes together may exceed the slack.
MIN_CAPACITY = 1.0 + CALL_RESERVE


class RetryBudget:
    """Retry budget of one node for one service.

    Args:
        ratio: Expected runs due to retries that each request allows, for the whole
            fleet.
        slack: Expected runs due to retries that are allowed in excess of the ratio in
            any period of time, for the whole fleet.
        hosts: Number of hosts, and thus of nodes, that share the slack.

    """

    def __init__(self, *, ratio: float, slack: float, hosts: int) -> None:
        self._parameters = (ratio, slack, hosts)  # kept only to detect a change
        self._balance = 0.0
        self._deposit_per_request = ratio * RATIO_FRACTION
        self._capacity = _capacity(slack, hosts)

    def resize(self, *, ratio: float, slack: float, hosts: int) -> None:
        """Apply a change of the settings or of the number of hosts."""
        if self._parameters == (ratio, slack, hosts):
            return
        self._parameters = (ratio, slack, hosts)
        self._deposit_per_request = ratio * RATIO_FRACTION
        self._capacity = _capacity(slack, hosts)
        self._balance = min(self._balance, self._capacity)

    def deposit(self) -> None:
        """Add the share of a run that one request for the service allows.

        Called once per request, before its first attempt.
        """
        self._balance = min(self._capacity, self._balance + self._deposit_per_request)

    def try_withdraw(self, *, call: bool, cost: float = 1.0) -> bool:
        """Withdraw the cost of a retry if the balance allows it; return whether it did.

        Args:
            call: Whether the request to retry is a call; False for a root request.
            cost: Expected runs due to the retry: its own and those of its calls.

        """
        if self._balance < cost + (CALL_RESERVE if call else 0.0):
            return False
        self._balance -= cost
        return True


class RetryBudgets:
    """Retry budgets of one node, by service."""

    def __init__(self) -> None:
        self._budgets: dict[ServiceId, RetryBudget] = {}

    def get(
        self, service: ServiceId, *, ratio: float, slack: float, hosts: int
    ) -> RetryBudget:
        """Return the budget of a service, resized to the present settings.

        Args:
            service: Service that the requests go to.
            ratio: As for `RetryBudget`, like the next two.
            slack: Retries allowed in excess of the ratio.
            hosts: Number of hosts that share the slack.

        """
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(ratio=ratio, slack=slack, hosts=hosts)
            self._budgets[service] = budget
        else:
            budget.resize(ratio=ratio, slack=slack, hosts=hosts)
        return budget


def _capacity(slack: float, hosts: int) -> float:
    """Return the largest balance of one node, in expected runs."""
    return max(MIN_CAPACITY, slack * SLACK_FRACTION / max(1, hosts))
