"""Tests of the adaptive concurrency limit against a queueing model of an upstream."""

from __future__ import annotations

import heapq
import unittest
from random import Random

from lavenderway_core.ids import RouteId
from lavenderway_core.limiter import INITIAL_LIMIT, LatencySample, Limiter

SLOTS = 20
SERVICE_S = 0.02
NESTED_S = 0.1
ROUTE = RouteId("r")


class SimulatedUpstream:
    """Upstream with slots and a queue, under closed-loop load at the limit.

    Args:
        seed: Seed of the service times.
        nested_s: Time that each request waits for nested calls, in seconds.

    """

    def __init__(self, *, seed: int, nested_s: float = 0.0) -> None:
        self.limiter = Limiter(now=0.0)
        self.service_s = SERVICE_S
        self.demand = 10_000
        self.now = 0.0
        self._random = Random(seed)
        self._nested_s = nested_s
        self._slots = [0.0] * SLOTS
        self._running: list[tuple[float, float, float, int]] = []

    def run(self, until: float) -> list[float]:
        """Advance the time to `until`; return the limit after each response."""
        limits = []
        self._fill()
        while self._running and self._running[0][0] <= until:
            ends, started, own_s, in_flight = heapq.heappop(self._running)
            self.now = ends
            sample = LatencySample(ROUTE, started, ends - started, own_s, in_flight)
            self.limiter.record_latency(sample, ends)
            limits.append(self.limiter.limit)
            self._fill()
        self.now = until
        return limits

    def _fill(self) -> None:
        allowed = min(int(self.limiter.limit), self.demand)
        while len(self._running) < max(1, allowed):
            self._start()

    def _start(self) -> None:
        own_s = self.service_s * self._random.uniform(0.7, 1.3)
        begins = max(self.now, heapq.heappop(self._slots))
        ends = begins + own_s + self._nested_s
        heapq.heappush(self._slots, ends)
        queued_s = begins - self.now
        entry = (ends, self.now, queued_s + own_s, len(self._running) + 1)
        heapq.heappush(self._running, entry)


class LimiterTest(unittest.TestCase):
    """The limit converges to the slots of the upstream and stays there."""

    def assert_limits_near_slots(self, limits: list[float]) -> None:
        """Check that the limits keep all slots busy without much queueing."""
        mean = sum(limits) / len(limits)
        self.assertGreaterEqual(mean, SLOTS * 0.95)
        self.assertLessEqual(mean, SLOTS * 1.6)
        self.assertGreaterEqual(min(limits), SLOTS * 0.6)

    def test_limit_converges_to_the_slots(self) -> None:
        for seed in range(5):
            upstream = SimulatedUpstream(seed=seed)
            upstream.run(8.0)
            self.assert_limits_near_slots(upstream.run(20.0))

    def test_nested_calls_do_not_distort_the_limit(self) -> None:
        for seed in range(5):
            upstream = SimulatedUpstream(seed=seed, nested_s=NESTED_S)
            upstream.run(15.0)
            self.assert_limits_near_slots(upstream.run(40.0))

    def test_slower_service_keeps_its_limit(self) -> None:
        # A baseline measured while requests queue hides the queue. The limit then
        # stayed at 1.6 times the slots after the service had become fast again.
        for seed in range(5):
            upstream = SimulatedUpstream(seed=seed)
            upstream.run(10.0)
            upstream.service_s = SERVICE_S * 10
            upstream.run(20.0)
            self.assert_limits_near_slots(upstream.run(40.0))
            upstream.service_s = SERVICE_S
            upstream.run(42.0)
            self.assert_limits_near_slots(upstream.run(52.0))

    def test_unused_limit_does_not_grow(self) -> None:
        upstream = SimulatedUpstream(seed=1)
        upstream.demand = 3
        upstream.run(20.0)
        self.assertEqual(INITIAL_LIMIT, upstream.limiter.limit)

    def test_rejections_by_the_upstream_cut_the_limit(self) -> None:
        limiter = Limiter(now=0.0)
        for number in range(100):
            limiter.record_overload(number * 0.02)
        self.assertLess(limiter.limit, INITIAL_LIMIT / 2)
