"""Tests of load shedding by the admission level."""

from __future__ import annotations

import unittest
from collections import Counter
from random import Random

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from lavenderway_core.ids import WorkspaceId
from lavenderway_core.importance import Importance
from lavenderway_core.shedding import (
    ADMIT_ALL_MARGIN,
    AdmissionLevel,
    max_min_fair_shares,
    rank_root,
)

CAPACITY_PER_S = 100.0
STEP_S = 0.01
A, B = WorkspaceId("a"), WorkspaceId("b")


class SimulatedUpstream:
    """Upstream that serves requests up to its capacity and fails the excess."""

    def __init__(self, *, seed: int) -> None:
        self.level = AdmissionLevel(now=0.0)
        self.now = 0.0
        self.served: Counter[tuple[WorkspaceId, Importance]] = Counter()
        self.sent: Counter[tuple[WorkspaceId, Importance]] = Counter()
        self._random = Random(seed)
        self._credit = 0.0

    def run(
        self, until: float, demand: dict[tuple[WorkspaceId, Importance], float]
    ) -> None:
        """Send requests until a time, at the given rates per second."""
        self.served.clear()
        self.sent.clear()
        while self.now < until:
            self.now += STEP_S
            self._credit = min(10.0, self._credit + CAPACITY_PER_S * STEP_S)
            for (workspace, importance), rate in demand.items():
                if self._random.random() < rate * STEP_S:
                    self._send(workspace, importance)
            self.level.roll_window(self.now)

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


class AdmissionLevelTest(unittest.TestCase):
    """Admission of requests below and above the capacity."""

    def test_no_shedding_below_capacity(self) -> None:
        upstream = SimulatedUpstream(seed=1)
        upstream.run(20.0, {(A, Importance.LOW): 70.0})
        self.assertEqual(ADMIT_ALL_MARGIN, upstream.level.margin)
        self.assertGreaterEqual(
            sum(upstream.served.values()), 0.98 * sum(upstream.sent.values())
        )

    def test_goodput_stays_near_capacity_under_overload(self) -> None:
        upstream = SimulatedUpstream(seed=2)
        demand = {(A, Importance.NORMAL): 100.0, (B, Importance.NORMAL): 100.0}
        upstream.run(10.0, demand)
        upstream.run(30.0, demand)
        self.assertGreaterEqual(
            sum(upstream.served.values()), 0.9 * CAPACITY_PER_S * 20
        )

    def test_critical_requests_are_served_under_overload(self) -> None:
        upstream = SimulatedUpstream(seed=3)
        demand = {(A, Importance.CRITICAL): 40.0, (B, Importance.LOW): 400.0}
        upstream.run(10.0, demand)
        upstream.run(30.0, demand)
        critical = upstream.served[A, Importance.CRITICAL]
        self.assertGreaterEqual(critical, 0.95 * upstream.sent[A, Importance.CRITICAL])

    def test_flooding_workspace_does_not_starve_a_small_one(self) -> None:
        upstream = SimulatedUpstream(seed=4)
        demand = {(A, Importance.NORMAL): 30.0, (B, Importance.NORMAL): 600.0}
        upstream.run(10.0, demand)
        upstream.run(30.0, demand)
        small = upstream.served[A, Importance.NORMAL]
        self.assertGreaterEqual(small, 0.85 * upstream.sent[A, Importance.NORMAL])

    def test_shedding_stops_after_the_overload(self) -> None:
        upstream = SimulatedUpstream(seed=5)
        upstream.run(10.0, {(A, Importance.NORMAL): 400.0})
        upstream.run(13.0, {(A, Importance.NORMAL): 70.0})
        self.assertEqual(ADMIT_ALL_MARGIN, upstream.level.margin)

    def test_rank_is_deterministic_and_uniform(self) -> None:
        self.assertEqual(rank_root("h.1.2"), rank_root("h.1.2"))
        ranks = [rank_root(f"h.1.{number:x}") for number in range(4000)]
        self.assertAlmostEqual(0.5, sum(ranks) / len(ranks), delta=0.03)


class MaxMinFairSharesTest(unittest.TestCase):
    """Weighted max-min fair shares of a capacity."""

    def test_demand_below_the_fair_share_is_met_in_full(self) -> None:
        shares = max_min_fair_shares({A: 10.0, B: 500.0}, {}, 100.0)
        self.assertEqual({A: 10.0, B: 90.0}, shares)

    def test_shares_are_proportional_to_weights(self) -> None:
        shares = max_min_fair_shares({A: 500.0, B: 500.0}, {A: 3.0}, 100.0)
        self.assertEqual({A: 75.0, B: 25.0}, shares)

    @seed(20261203)
    @settings(max_examples=200, deadline=None, database=None)
    @given(
        st.dictionaries(st.sampled_from("abcdefgh"), st.floats(0.0, 100.0), min_size=1),
        st.floats(0.0, 300.0),
    )
    def test_shares_are_max_min_fair(
        self, given_demand: dict[str, float], capacity: float
    ) -> None:
        demand: dict[WorkspaceId | None, float] = {
            WorkspaceId(name): rate for name, rate in given_demand.items()
        }
        shares = max_min_fair_shares(demand, {}, capacity)
        total = min(capacity, sum(demand.values()))
        self.assertAlmostEqual(total, sum(shares.values()), places=6)
        smallest_unmet = min(
            (shares[w] for w in demand if shares[w] < demand[w] - 1e-9), default=None
        )
        for workspace, share in shares.items():
            self.assertLessEqual(share, demand[workspace] + 1e-9)
            if smallest_unmet is not None:
                self.assertLessEqual(share, smallest_unmet + 1e-6)
