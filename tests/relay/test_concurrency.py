"""Tests of the concurrency limiter in front of an upstream."""

import heapq
import itertools
import random
import unittest
from typing import Any

from lavenderway_relay.concurrency import (
    CALL_WAIT_RUN_TIMES,
    MIN_CALL_WAIT_S,
    ConcurrencyLimiter,
    SlotDecision,
    SlotRequest,
)


def make_slot_request(
    start_by: float, *, expires_at: float = 100.0, call: bool = False
) -> SlotRequest:
    return SlotRequest(start_by=start_by, expires_at=expires_at, call=call)


RUN_S = 0.02
SLOTS = 16
CALLS_PER_ROOT = 8  # made one after the other


class Root:
    """Root request whose upstream calls the limited service."""

    def __init__(self, *, started_at: float) -> None:
        self.target_at = started_at + 1.2
        self.calls_left = CALLS_PER_ROOT


class CallTreeSimulation:
    """Simulation of random root requests that call one service with 16 slots.

    Starts and completions of root requests are counted in the second half of a run.

    Args:
        roots_per_s: Arrival rate of root requests.
        target_s: Latency target of a call; None to use the target of its root.

    """

    def __init__(self, *, roots_per_s: float, target_s: float | None = None) -> None:
        self.started_roots = 0
        self.max_waiting = 0
        self.completed = 0
        self._rng = random.Random(4)
        self._roots_per_s = roots_per_s
        self._target_s = target_s
        self._limiter = ConcurrencyLimiter(slots=SLOTS, now=0.0)
        self._event_order = itertools.count()
        self._events: list[tuple[float, int, str, Any]] = []
        self._roots: dict[SlotRequest, Root] = {}

    def run(self, seconds: float) -> float:
        """Simulate arrivals; return the root requests completed on time per second."""
        now = 0.0
        while now < seconds:
            now += self._rng.expovariate(self._roots_per_s)
            self.started_roots += seconds / 2 < now <= seconds
            self._push(now, "root", Root(started_at=now))
        while self._events and self._events[0][0] <= seconds:
            now, _, kind, item = heapq.heappop(self._events)
            if kind == "root":
                self._call(item, now)
            elif kind == "expire":
                self._limiter.cancel(item)
            else:
                self._end(item, now, is_counted=seconds / 2 < now)
            while (started := self._limiter.start_next(now)) is not None:
                self._push(now + RUN_S, "end", started)
        return self.completed / (seconds / 2)

    def _push(self, at: float, kind: str, item: Any) -> None:
        heapq.heappush(self._events, (at, next(self._event_order), kind, item))

    def _call(self, root: Root, now: float) -> None:
        target_at = root.target_at
        if self._target_s is not None:
            target_at = min(target_at, now + self._target_s)
        expires_at = now + 0.7 - RUN_S
        slot_request = make_slot_request(
            target_at - RUN_S, expires_at=expires_at, call=True
        )
        self._roots[slot_request] = root
        decision = self._limiter.submit(slot_request, now)
        self.max_waiting = max(self.max_waiting, self._limiter.waiting)
        if decision is SlotDecision.START:
            self._push(now + RUN_S, "end", slot_request)
        elif decision is SlotDecision.WAIT:
            self._push(expires_at, "expire", slot_request)

    def _end(self, slot_request: SlotRequest, now: float, *, is_counted: bool) -> None:
        self._limiter.release(RUN_S)
        root = self._roots.pop(slot_request)
        root.calls_left -= 1
        if root.calls_left:
            self._call(root, now)
        elif is_counted and now <= root.target_at:
            self.completed += 1


class CallTreeOverload(unittest.TestCase):
    """Under overload, the oldest root requests complete instead of all being late."""

    capacity_per_s = SLOTS / RUN_S / CALLS_PER_ROOT

    def test_roots_complete_under_overload(self) -> None:
        for load in (1.2, 1.5, 2.0):
            with self.subTest(load):
                simulation = CallTreeSimulation(roots_per_s=load * self.capacity_per_s)
                self.assertGreater(simulation.run(10.0), 0.8 * self.capacity_per_s)

    def test_queue_of_calls_stays_short(self) -> None:
        simulation = CallTreeSimulation(roots_per_s=2.0 * self.capacity_per_s)
        simulation.run(10.0)
        wait_run_times = max(CALL_WAIT_RUN_TIMES, MIN_CALL_WAIT_S / RUN_S)
        self.assertLess(simulation.max_waiting, 2 * wait_run_times * SLOTS)

    def test_all_roots_complete_below_capacity(self) -> None:
        simulation = CallTreeSimulation(roots_per_s=0.8 * self.capacity_per_s)
        simulation.run(10.0)
        self.assertGreater(simulation.completed, 0.95 * simulation.started_roots)


class ConcurrencyLimit(unittest.TestCase):
    """No more requests run than the upstream has slots."""

    def test_starts_up_to_the_limit(self) -> None:
        limiter = ConcurrencyLimiter(slots=2, now=0.0)
        decisions = [limiter.submit(make_slot_request(10.0), 0.0) for _ in range(3)]
        self.assertEqual(
            [SlotDecision.START, SlotDecision.START, SlotDecision.WAIT], decisions
        )

    def test_free_slot_goes_to_the_queued_request(self) -> None:
        limiter = ConcurrencyLimiter(slots=1, now=0.0)
        limiter.submit(make_slot_request(10.0), 0.0)
        waiting = make_slot_request(10.0)
        limiter.submit(waiting, 0.0)
        self.assertIsNone(limiter.start_next(0.0))
        limiter.release(0.1)
        self.assertIs(waiting, limiter.start_next(0.1))
        self.assertEqual(1, limiter.running)

    def test_withdrawn_request_is_skipped(self) -> None:
        limiter = ConcurrencyLimiter(slots=1, now=0.0)
        limiter.submit(make_slot_request(10.0), 0.0)
        first, second = make_slot_request(1.0), make_slot_request(2.0)
        limiter.submit(first, 0.0)
        limiter.submit(second, 0.0)
        limiter.cancel(first)
        limiter.release(None)
        self.assertIs(second, limiter.start_next(0.5))
        self.assertEqual(0, limiter.waiting)

    def test_limit_drops_on_rejection_and_recovers(self) -> None:
        limiter = ConcurrencyLimiter(slots=20, now=0.0)
        for _ in range(20):
            limiter.submit(make_slot_request(10.0), 0.0)
        limiter.record_rejection(0.0)
        self.assertEqual(18, limiter.limit)
        limiter.start_next(10.0)
        self.assertEqual(20, limiter.limit)

    def test_rejection_with_free_slots_keeps_the_limit(self) -> None:
        limiter = ConcurrencyLimiter(slots=20, now=0.0)
        for _ in range(5):
            limiter.submit(make_slot_request(10.0), 0.0)
            limiter.record_rejection(0.0)
        self.assertEqual(20, limiter.limit)

    def test_lower_slot_count_applies_at_once(self) -> None:
        limiter = ConcurrencyLimiter(slots=20, now=0.0)
        limiter.slots = 5
        self.assertEqual(5, limiter.limit)

    def test_load_independent_rejections_keep_most_slots(self) -> None:
        rng = random.Random(2)
        limiter = ConcurrencyLimiter(slots=40, now=0.0)
        for step in range(2000):
            now = step * 0.002
            while (
                limiter.submit(make_slot_request(now + 10.0), now) is SlotDecision.START
            ):
                pass
            if rng.random() < 0.5:
                limiter.record_rejection(now)
            limiter.release(0.05)
            while limiter.start_next(now) is not None:
                pass
        self.assertGreater(limiter.limit, 40 / 2)


class QueueOrder(unittest.TestCase):
    """Queued requests start in the order of their `start_by`."""

    def setUp(self) -> None:
        self.limiter = ConcurrencyLimiter(slots=1, now=0.0)
        self.limiter.submit(make_slot_request(10.0), 0.0)

    def test_earliest_start_by_goes_first(self) -> None:
        slot_requests = [
            make_slot_request(3.0),
            make_slot_request(1.0),
            make_slot_request(2.0),
        ]
        for slot_request in slot_requests:
            self.limiter.submit(slot_request, 0.0)
        order = []
        for _ in slot_requests:
            self.limiter.release(None)
            started = self.limiter.start_next(0.5)
            assert started is not None
            order.append(started.start_by)
        self.assertEqual([1.0, 2.0, 3.0], order)

    def test_late_request_starts_after_timely_ones(self) -> None:
        late, timely = make_slot_request(1.0), make_slot_request(5.0)
        self.limiter.submit(late, 0.0)
        self.limiter.submit(timely, 0.0)
        self.limiter.release(None)
        self.assertIs(timely, self.limiter.start_next(2.0))
        self.limiter.release(None)
        self.assertIs(late, self.limiter.start_next(2.0))

    def test_expired_request_is_not_started(self) -> None:
        self.limiter.submit(make_slot_request(1.0, expires_at=1.5), 0.0)
        self.limiter.release(None)
        self.assertIsNone(self.limiter.start_next(2.0))

    def test_request_that_would_start_late_is_refused(self) -> None:
        for _ in range(3):
            self.limiter.submit(make_slot_request(10.0), 0.0)
        self.assertEqual(
            SlotDecision.REFUSE, self.limiter.submit(make_slot_request(0.01), 0.0)
        )

    def test_call_may_wait_past_its_target(self) -> None:
        for _ in range(3):
            self.limiter.submit(make_slot_request(10.0), 0.0)
        call = make_slot_request(0.01, expires_at=5.0, call=True)
        self.assertEqual(SlotDecision.WAIT, self.limiter.submit(call, 0.0))
