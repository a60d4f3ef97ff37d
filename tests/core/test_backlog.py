"""Tests of the queue in front of an upstream."""

from __future__ import annotations

import unittest
from collections import Counter

from lavenderway_core.backlog import Backlog, Waiting
from lavenderway_core.ids import ExchangeId, HostId, Incarnation, JobId, WorkspaceId
from lavenderway_core.importance import Importance


def waiting(
    number: int,
    workspace: str = "a",
    importance: Importance = Importance.NORMAL,
    weight: float = 1.0,
    rank: int = 0,
) -> Waiting:
    """Return a waiting job."""
    job = JobId(HostId("h"), Incarnation(1), ExchangeId(number), 1)
    return Waiting(job, WorkspaceId(workspace), importance, weight, rank, True, 0.0)


class BacklogTest(unittest.TestCase):
    """Order of service and of shedding."""

    def test_importance_first(self) -> None:
        backlog = Backlog()
        for number, importance in enumerate(reversed(Importance)):
            backlog.push(waiting(number, importance=importance))
        order = [backlog.pop() for _ in Importance]
        self.assertEqual(list(Importance), [each.importance for each in order if each])

    def test_fair_by_weight(self) -> None:
        backlog = Backlog()
        for number in range(300):
            backlog.push(waiting(number, "small", weight=1.0))
            backlog.push(waiting(1000 + number, "large", weight=2.0))
        served = [backlog.pop() for _ in range(90)]
        shares = Counter(each.workspace for each in served if each)
        self.assertEqual({"small": 30, "large": 60}, dict(shares))

    def test_flood_of_one_workspace_is_shed_for_another(self) -> None:
        backlog = Backlog()
        for number in range(10):
            backlog.push(waiting(number, "flood", rank=number))
        victim = backlog.shed_for(waiting(99, "crew", rank=10_000))
        self.assertEqual(("flood", 9), (victim.workspace, victim.rank))
        self.assertEqual(9, len(backlog))

    def test_newcomer_of_the_flood_is_shed_by_rank(self) -> None:
        backlog = Backlog()
        for number in range(10):
            backlog.push(waiting(number, "flood", rank=number))
        newcomer = waiting(99, "flood", rank=20)
        self.assertIs(newcomer, backlog.shed_for(newcomer))

    def test_less_important_is_shed_first(self) -> None:
        backlog = Backlog()
        backlog.push(waiting(1, importance=Importance.LOW))
        backlog.push(waiting(2, importance=Importance.HIGH))
        victim = backlog.shed_for(waiting(3, importance=Importance.CRITICAL))
        self.assertIs(Importance.LOW, victim.importance)
        newcomer = waiting(4, importance=Importance.LOW)
        self.assertIs(newcomer, backlog.shed_for(newcomer))

    def test_remove(self) -> None:
        backlog = Backlog()
        job = waiting(1)
        backlog.push(job)
        self.assertEqual(job, backlog.remove(job.job))
        self.assertIsNone(backlog.remove(job.job))
        self.assertIsNone(backlog.pop())
