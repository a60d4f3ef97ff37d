"""Tests of the retry budgets."""

from __future__ import annotations

import unittest

from lavenderway_core.identification import ROOT_RETRIES
from lavenderway_core.retries import MAX_ATTEMPTS, RetryBudget, split_retries

MAX_DEPTH = 8
FAN_OUT = 3


def worst_case_executions(depth: int, retries: int, fan_out: int) -> list[int]:
    """Return the executions by level if all attempts run and all responses are lost.

    Level 0 is the call itself, the last level holds the leaves of its call graph.
    """
    kept, passed = split_retries(retries)
    extra = min(kept, MAX_ATTEMPTS - 1)
    levels = [1 + extra] + [0] * (depth - 1)
    if depth == 1:
        return levels
    first_attempt = worst_case_executions(depth - 1, passed, fan_out)
    later_attempt = worst_case_executions(depth - 1, 0, fan_out)
    for level in range(1, depth):
        levels[level] = fan_out * (
            first_attempt[level - 1] + extra * later_attempt[level - 1]
        )
    return levels


class RetrySplitTest(unittest.TestCase):
    """Bounds on the executions that one root request causes."""

    def test_split_neither_loses_nor_duplicates_retries(self) -> None:
        for retries in range(20):
            kept, passed = split_retries(retries)
            self.assertEqual(retries, kept + passed)
            self.assertGreaterEqual(min(kept, passed), 0)

    def test_executions_do_not_grow_with_depth(self) -> None:
        for depth in range(1, MAX_DEPTH + 1):
            levels = worst_case_executions(depth, ROOT_RETRIES, 1)
            for executions in levels:
                self.assertLessEqual(executions, 1 + ROOT_RETRIES)

    def test_executions_grow_only_with_fan_out(self) -> None:
        levels = worst_case_executions(MAX_DEPTH, ROOT_RETRIES, FAN_OUT)
        for level, executions in enumerate(levels):
            self.assertLessEqual(executions, (1 + ROOT_RETRIES) * FAN_OUT**level)


class RetryBudgetTest(unittest.TestCase):
    """Bounds of the retry budget of one node."""

    def test_retries_without_requests_are_limited_to_the_constant_rate(self) -> None:
        budget = RetryBudget(now=0.0)
        taken = sum(budget.try_withdraw(step / 100) for step in range(1000))
        self.assertLessEqual(taken, 12)
        self.assertGreaterEqual(taken, 10)

    def test_ten_successes_earn_one_retry(self) -> None:
        budget = RetryBudget(now=0.0)
        while budget.try_withdraw(0.0):
            pass
        for _ in range(100):
            budget.record_success()
        taken = sum(budget.try_withdraw(0.0) for _ in range(100))
        self.assertIn(taken, (9, 10))
