"""Tests of the level of shedding."""

from __future__ import annotations

import unittest
from collections import Counter
from random import Random

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from lavenderway_core.ids import WorkspaceId
from lavenderway_core.importance import Importance
from lavenderway_core.shedding import NOTHING_SHED, ShedLevel, rank_root, share_fairly

CAPACITY_PER_S = 100.0
STEP_S = 0.01
A, B = WorkspaceId("a"), WorkspaceId("b")


class Model:
    """An upstream that answers up to its capacity and fails what is over it."""

    def __init__(self, *, seed: int) -> None:
        self.level = ShedLevel(now=0.0)
        self.now = 0.0
        self.served: Counter[tuple[WorkspaceId, Importance]] = Counter()
        self.sent: Counter[tuple[WorkspaceId, Importance]] = Counter()
        self._random = Random(seed)
        self._credit = 0.0

    def run(
        self, until: float, demand: dict[tuple[WorkspaceId, Importance], float]
    ) -> None:
        """Send demand, in requests per second, until a time."""
        self.served.clear()
        self.sent.clear()
        while self.now < until:
            self.now += STEP_S
            self._credit = min(10.0, self._credit + CAPACITY_PER_S * STEP_S)
            for (workspace, importance), rate in demand.items():
                if self._random.random() < rate * STEP_S:
                    self._send(workspace, importance)
            self.level.roll(self.now)

    def _send(self, workspace: WorkspaceId, importance: Importance) -> None:
        self.sent[workspace, importance] += 1
        rank = self._random.random()
        admitted = self.level.admits(importance, workspace, rank)
        self.level.record_arrival(importance, workspace, 1.0, admitted=admitted)
        if not admitted:
            return
        if self._credit >= 1:
            self._credit -= 1
            self.served[workspace, importance] += 1
            self.level.record_success()
        else:
            self.level.record_failure(self.now)


class ShedLevelTest(unittest.TestCase):
    """What the level lets through."""

    def test_nothing_is_shed_below_capacity(self) -> None:
        model = Model(seed=1)
        model.run(20.0, {(A, Importance.LOW): 70.0})
        self.assertEqual(NOTHING_SHED, model.level.margin)
        self.assertGreaterEqual(
            sum(model.served.values()), 0.98 * sum(model.sent.values())
        )

    def test_throughput_stays_near_capacity(self) -> None:
        model = Model(seed=2)
        demand = {(A, Importance.NORMAL): 100.0, (B, Importance.NORMAL): 100.0}
        model.run(10.0, demand)
        model.run(30.0, demand)
        self.assertGreaterEqual(sum(model.served.values()), 0.9 * CAPACITY_PER_S * 20)

    def test_critical_requests_are_all_served(self) -> None:
        model = Model(seed=3)
        demand = {(A, Importance.CRITICAL): 40.0, (B, Importance.LOW): 400.0}
        model.run(10.0, demand)
        model.run(30.0, demand)
        critical = model.served[A, Importance.CRITICAL]
        self.assertGreaterEqual(critical, 0.95 * model.sent[A, Importance.CRITICAL])

    def test_flood_does_not_starve_a_small_workspace(self) -> None:
        model = Model(seed=4)
        demand = {(A, Importance.NORMAL): 30.0, (B, Importance.NORMAL): 600.0}
        model.run(10.0, demand)
        model.run(30.0, demand)
        small = model.served[A, Importance.NORMAL]
        self.assertGreaterEqual(small, 0.85 * model.sent[A, Importance.NORMAL])

    def test_opens_again_after_the_overload(self) -> None:
        model = Model(seed=5)
        model.run(10.0, {(A, Importance.NORMAL): 400.0})
        model.run(13.0, {(A, Importance.NORMAL): 70.0})
        self.assertEqual(NOTHING_SHED, model.level.margin)

    def test_one_root_has_one_rank(self) -> None:
        self.assertEqual(rank_root("h.1.2"), rank_root("h.1.2"))
        ranks = [rank_root(f"h.1.{number:x}") for number in range(4000)]
        self.assertAlmostEqual(0.5, sum(ranks) / len(ranks), delta=0.03)


class FairShareTest(unittest.TestCase):
    """Weighted max-min fairness."""

    def test_small_demand_is_met_in_full(self) -> None:
        shares = share_fairly({A: 10.0, B: 500.0}, {}, 100.0)
        self.assertEqual({A: 10.0, B: 90.0}, shares)

    def test_weights(self) -> None:
        shares = share_fairly({A: 500.0, B: 500.0}, {A: 3.0}, 100.0)
        self.assertEqual({A: 75.0, B: 25.0}, shares)

    @seed(20261203)
    @settings(max_examples=200, deadline=None, database=None)
    @given(
        st.dictionaries(st.sampled_from("abcdefgh"), st.floats(0.0, 100.0), min_size=1),
        st.floats(0.0, 300.0),
    )
    def test_shares_fit_demand_and_capacity(
        self, given_demand: dict[str, float], capacity: float
    ) -> None:
        demand: dict[WorkspaceId | None, float] = {
            WorkspaceId(name): rate for name, rate in given_demand.items()
        }
        shares = share_fairly(demand, {}, capacity)
        total = min(capacity, sum(demand.values()))
        self.assertAlmostEqual(total, sum(shares.values()), places=6)
        least = min(
            (shares[w] for w in demand if shares[w] < demand[w] - 1e-9), default=None
        )
        for workspace, share in shares.items():
            self.assertLessEqual(share, demand[workspace] + 1e-9)
            if least is not None:
                self.assertLessEqual(share, least + 1e-6)
