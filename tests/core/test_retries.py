"""Tests of the bounds on retries."""

from __future__ import annotations

import unittest

from lavenderway_core.identification import ROOT_RETRIES
from lavenderway_core.retries import MAX_ATTEMPTS, RetryBudget, split_retries

MAX_DEPTH = 8
FAN_OUT = 3


def worst_runs(depth: int, retries: int, fan_out: int) -> list[int]:
    """Return executions by level when every attempt runs and then is lost.

    Level 0 is the call itself, the last one that of the leaves.
    """
    kept, passed = split_retries(retries)
    extra = min(kept, MAX_ATTEMPTS - 1)
    levels = [1 + extra] + [0] * (depth - 1)
    if depth == 1:
        return levels
    first = worst_runs(depth - 1, passed, fan_out)
    again = worst_runs(depth - 1, 0, fan_out)
    for level in range(1, depth):
        levels[level] = fan_out * (first[level - 1] + extra * again[level - 1])
    return levels


class RetrySplitTest(unittest.TestCase):
    """Executions of one root request, whatever fails."""

    def test_every_retry_is_given_to_one_place(self) -> None:
        for retries in range(20):
            kept, passed = split_retries(retries)
            self.assertEqual(retries, kept + passed)
            self.assertGreaterEqual(min(kept, passed), 0)

    def test_runs_do_not_multiply_with_depth(self) -> None:
        for depth in range(1, MAX_DEPTH + 1):
            levels = worst_runs(depth, ROOT_RETRIES, 1)
            for runs in levels:
                self.assertLessEqual(runs, 1 + ROOT_RETRIES)

    def test_fan_out_adds_no_more_than_its_own_calls(self) -> None:
        levels = worst_runs(MAX_DEPTH, ROOT_RETRIES, FAN_OUT)
        for level, runs in enumerate(levels):
            self.assertLessEqual(runs, (1 + ROOT_RETRIES) * FAN_OUT**level)


class RetryBudgetTest(unittest.TestCase):
    """The budget of one node."""

    def test_bound_over_time(self) -> None:
        budget = RetryBudget(now=0.0)
        taken = sum(budget.take(step / 100) for step in range(1000))
        self.assertLessEqual(taken, 12)
        self.assertGreaterEqual(taken, 10)

    def test_successes_earn_a_tenth(self) -> None:
        budget = RetryBudget(now=0.0)
        while budget.take(0.0):
            pass
        for _ in range(100):
            budget.record_success()
        taken = sum(budget.take(0.0) for _ in range(100))
        self.assertIn(taken, (9, 10))
