"""Tests of the admission level of an overloaded upstream and of root admission."""

import random
import unittest

from lavenderway_core.ids import HostId, RouteId, ServiceId
from lavenderway_relay.admission import RootAdmission
from lavenderway_relay.admission_level import LEVEL_UPDATE_INTERVAL_S, AdmissionLevel

CLASSES = 3


class AdmissionLevelControl(unittest.TestCase):
    """The level falls under overload and recovers afterwards."""

    def simulate(
        self, level: AdmissionLevel, *, arrivals_per_s: int, start: float, end: float
    ) -> None:
        """Simulate arrivals spread evenly over all positions.

        Ten slots serve 100 requests per tick.

        Args:
            level: Level under test.
            arrivals_per_s: Arrival rate.
            start: Start of the simulation in seconds.
            end: End of the simulation in seconds.

        """
        queue = 0
        steps = round((end - start) / LEVEL_UPDATE_INTERVAL_S)
        for step in range(steps):
            now = start + (step + 1) * LEVEL_UPDATE_INTERVAL_S
            for index in range(int(arrivals_per_s * LEVEL_UPDATE_INTERVAL_S)):
                fraction = index / (arrivals_per_s * LEVEL_UPDATE_INTERVAL_S)
                position = CLASSES * ((fraction * 37) % 1.0)
                if position < level.level:
                    level.record_arrival(
                        position, now - LEVEL_UPDATE_INTERVAL_S * (1.0 - fraction)
                    )
                    queue += 1
            queue = max(0, queue - 100)
            level.tick(now, waiting=queue, limit=10, mean_s=0.01)

    def test_level_stays_full_below_capacity(self) -> None:
        level = AdmissionLevel(classes=CLASSES, now=0.0)
        self.simulate(level, arrivals_per_s=900, start=0.0, end=5.0)
        self.assertEqual(CLASSES, level.level)
        self.assertFalse(level.should_publish(5.0))

    def test_level_falls_to_the_capacity(self) -> None:
        level = AdmissionLevel(classes=CLASSES, now=0.0)
        self.simulate(level, arrivals_per_s=2000, start=0.0, end=5.0)
        self.assertAlmostEqual(CLASSES / 2, level.level, delta=0.15)
        self.assertTrue(level.should_publish(5.0))

    def test_level_recovers_after_overload(self) -> None:
        level = AdmissionLevel(classes=CLASSES, now=0.0)
        self.simulate(level, arrivals_per_s=2000, start=0.0, end=5.0)
        self.simulate(level, arrivals_per_s=900, start=5.0, end=8.0)
        self.assertEqual(CLASSES, level.level)

    def test_high_load_estimate_without_queue_sheds_nothing(self) -> None:
        level = AdmissionLevel(classes=CLASSES, now=0.0)
        for index in range(100):
            level.record_arrival(index / 100, 0.4)
        level.tick(0.5, waiting=0, limit=10, mean_s=0.5)
        self.assertEqual(CLASSES, level.level)

    def test_queue_counts_as_load(self) -> None:
        level = AdmissionLevel(classes=CLASSES, now=0.0)
        for index in range(100):
            level.record_arrival(index / 100, 0.4)
        level.tick(0.5, waiting=600, limit=10, mean_s=0.01)
        self.assertLess(level.level, CLASSES)

    def test_class_count_can_grow(self) -> None:
        level = AdmissionLevel(classes=CLASSES, now=0.0)
        level.set_class_count(5)
        self.assertEqual(5, level.level)


class OverloadedDeepService(unittest.TestCase):
    """Overload of a service deep in the call tree, by importance class.

    Simulates root requests whose calls arrive at the service up to half a second
    later. Root requests are admitted by the level of the previous tick, so the
    controller acts with a delay.
    """

    SLOTS = 16
    MEAN_S = 0.016
    CALLS_PER_ROOT = 8
    TICKS = 400

    def simulate(self, roots_per_s: int) -> tuple[list[float], float, float]:
        """Simulate the service at a rate of root requests.

        Returns:
            The admitted fraction of each class, the utilization of the slots, and the
                longest queue after the first five seconds, as a drain time in seconds.

        """
        rng = random.Random(7)
        level = AdmissionLevel(classes=CLASSES, now=0.0)
        admission = RootAdmission()
        deep, route, front = ServiceId("deep"), RouteId("r"), ServiceId("front")
        admission.update_call_tree(route, front, {deep: 8.0})
        capacity = self.SLOTS / self.MEAN_S * LEVEL_UPDATE_INTERVAL_S
        arriving: list[list[float]] = [[] for _ in range(self.TICKS + 10)]
        queue, utilization, longest_queue = 0.0, 0.0, 0.0
        offered, admitted = [0] * CLASSES, [0] * CLASSES
        for tick in range(1, self.TICKS):
            now = tick * LEVEL_UPDATE_INTERVAL_S
            admission.update_level(deep, HostId("h"), level.level, now)
            for _ in range(int(roots_per_s * LEVEL_UPDATE_INTERVAL_S)):
                position = rng.random() * CLASSES
                decision = admission.decide(route, front, position, now, jitter=0.5)
                offered[int(position)] += 1
                if decision.limiting_service is None:
                    admitted[int(position)] += 1
                    for call in range(self.CALLS_PER_ROOT):
                        arriving[tick + call * 5 // self.CALLS_PER_ROOT].append(
                            position
                        )
            count = len(arriving[tick])
            for index, position in enumerate(arriving[tick]):
                level.record_arrival(
                    position, now - LEVEL_UPDATE_INTERVAL_S * (1.0 - index / count)
                )
            queue += len(arriving[tick])
            utilization += min(queue, capacity) / capacity / self.TICKS
            queue = max(0.0, queue - capacity)
            longest_queue = max(longest_queue, queue) if tick > 50 else 0.0
            level.tick(now, waiting=int(queue), limit=self.SLOTS, mean_s=self.MEAN_S)
        admitted_fractions = [
            started / total for started, total in zip(admitted, offered, strict=True)
        ]
        return (
            admitted_fractions,
            utilization,
            longest_queue / capacity * LEVEL_UPDATE_INTERVAL_S,
        )

    def test_double_overload(self) -> None:
        admitted_fractions, utilization, longest_queue_s = self.simulate(
            roots_per_s=250
        )
        self.assertGreaterEqual(admitted_fractions[0], 0.98)
        self.assertLess(admitted_fractions[2], 0.1)
        self.assertGreaterEqual(utilization, 0.88)
        self.assertLessEqual(longest_queue_s, 0.3)

    def test_slight_overload(self) -> None:
        admitted_fractions, utilization, longest_queue_s = self.simulate(
            roots_per_s=140
        )
        self.assertGreaterEqual(admitted_fractions[1], 0.98)
        self.assertGreaterEqual(admitted_fractions[2], 0.5)
        self.assertGreaterEqual(utilization, 0.88)
        self.assertLessEqual(longest_queue_s, 0.3)

    def test_nothing_is_shed_below_capacity(self) -> None:
        admitted_fractions, _, _ = self.simulate(roots_per_s=110)
        self.assertEqual([1.0, 1.0, 1.0], admitted_fractions)


class RootAdmissionByCallTree(unittest.TestCase):
    """A root request is refused only if its call tree needs an overloaded service."""

    def setUp(self) -> None:
        self.admission = RootAdmission()
        self.front, self.deep = ServiceId("front"), ServiceId("deep")
        self.admission.update_level(self.deep, HostId("h"), 1.5, 0.0)

    def decide(self, route: str, position: float, now: float = 0.0) -> ServiceId | None:
        decision = self.admission.decide(
            RouteId(route), self.front, position, now, jitter=0.5
        )
        return decision.limiting_service

    def test_refusal_names_the_limiting_service(self) -> None:
        self.admission.update_call_tree(RouteId("tree"), self.front, {self.deep: 4.0})
        self.assertEqual(self.deep, self.decide("tree", 1.7))
        self.assertIsNone(self.decide("tree", 1.3))

    def test_route_without_the_limiting_service_is_admitted(self) -> None:
        self.admission.update_call_tree(RouteId("leaf"), self.front, {})
        self.assertIsNone(self.decide("leaf", 2.9))

    def test_expired_level_is_ignored(self) -> None:
        self.admission.update_call_tree(RouteId("tree"), self.front, {self.deep: 4.0})
        self.assertIsNone(self.decide("tree", 1.7, now=10.0))

    def test_slow_host_has_little_weight(self) -> None:
        self.admission.update_call_tree(RouteId("tree"), self.front, {self.deep: 4.0})
        for name, level, weight in (("h", 0.5, 50.0), ("i", 3.0, 600.0)):
            self.admission.update_level(
                self.deep, HostId(name), level, 0.0, weight=weight
            )
        self.assertIsNone(self.decide("tree", 2.7))

    def test_refusal_advises_a_retry_delay(self) -> None:
        self.admission.update_call_tree(RouteId("tree"), self.front, {self.deep: 4.0})
        decision = self.admission.decide(
            RouteId("tree"), self.front, 1.7, 0.0, jitter=0.5
        )
        self.assertGreater(decision.retry_after_s, 0.0)


class LevelOfManyHosts(unittest.TestCase):
    """The level of a service of many hosts follows its hosts with little delay."""

    def test_mean_is_computed_anew_soon(self) -> None:
        admission = RootAdmission()
        service = ServiceId("s")
        for index in range(41):
            admission.update_level(service, HostId(f"h-{index}"), 1.0, 0.0)
        self.assertEqual(1.0, admission.service_level(service, 0.0))
        for index in range(41):
            admission.update_level(service, HostId(f"h-{index}"), 0.5, 0.01)
        self.assertEqual(0.5, admission.service_level(service, 0.06))
        self.assertIsNone(admission.service_level(service, 10.0))
