"""Tests of retry budgets against upstreams that reject requests."""

import random
import unittest
from collections import Counter

from lavenderway_relay.retry_budget import RATIO_FRACTION, RetryBudget

RATIO = 0.2
SLACK = 50.0
HOSTS = 14
CALLS_PER_TREE = 5


def make_budgets(hosts: int = HOSTS) -> list[RetryBudget]:
    return [RetryBudget(ratio=RATIO, slack=SLACK, hosts=hosts) for _ in range(hosts)]


class RetrySimulation:
    """Single requests and call trees sent to a service that rejects at random."""

    def __init__(
        self, *, success_probability: float, budgets: list[RetryBudget]
    ) -> None:
        self.rng = random.Random(11)
        self.success_probability = success_probability
        self.budgets = budgets
        self.requests = 0
        self.arrivals = 0
        self.served: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()

    def send(self, *, call: bool) -> bool:
        budget = self.rng.choice(self.budgets)
        budget.deposit()
        self.requests += 1
        for _ in range(4):
            self.arrivals += 1
            if self.rng.random() < self.success_probability:
                return True
            if not budget.try_withdraw(call=call):
                return False
        return False

    def run(self, count: int) -> None:
        for _ in range(count):
            self.sent["root"] += 1
            self.served["root"] += self.send(call=False)
            self.sent["tree"] += 1
            self.served["tree"] += all(
                self.send(call=True) for _ in range(CALLS_PER_TREE)
            )

    def success_ratio(self, kind: str) -> float:
        return self.served[kind] / self.sent[kind]


class RejectingUpstreams(unittest.TestCase):
    """A service whose upstreams reject requests at random."""

    def test_root_requests_get_most_retries(self) -> None:
        success_probability = 0.45
        simulation = RetrySimulation(
            success_probability=success_probability, budgets=make_budgets()
        )
        simulation.run(5000)
        retries_per_root = (
            RATIO * RATIO_FRACTION * simulation.requests / simulation.sent["root"]
        )
        # Success ratio of root requests if they got all retries.
        best_ratio = success_probability + retries_per_root * success_probability
        self.assertGreater(simulation.success_ratio("root"), 0.9 * best_ratio)
        self.assertLessEqual(
            simulation.arrivals - simulation.requests,
            RATIO * simulation.requests + SLACK,
        )

    def test_rare_failures_are_retried(self) -> None:
        simulation = RetrySimulation(success_probability=0.95, budgets=make_budgets())
        simulation.run(3000)
        self.assertGreater(simulation.success_ratio("root"), 0.99)
        self.assertGreater(simulation.success_ratio("tree"), 0.9)


class FleetWideBound(unittest.TestCase):
    """The retries of all nodes together stay within the fleet's bound."""

    def test_balances_of_all_nodes_fit_the_slack(self) -> None:
        for hosts in (3, 14, 35):
            budgets = make_budgets(hosts)
            withdrawn = 0
            for budget in budgets:
                for _ in range(1000):
                    budget.deposit()
                while budget.try_withdraw(call=False):
                    withdrawn += 1
            self.assertLessEqual(withdrawn, SLACK)

    def test_larger_fleet_lowers_the_balance(self) -> None:
        (budget,) = make_budgets(1)
        for _ in range(1000):
            budget.deposit()
        budget.resize(ratio=RATIO, slack=SLACK, hosts=50)
        withdrawn = 0
        while budget.try_withdraw(call=False):
            withdrawn += 1
        self.assertEqual(1, withdrawn)
