"""Tests of the level that an upstream under pressure publishes."""

import random
import unittest

from lavenderway_core.ids import HostId, RouteId, ServiceId
from lavenderway_relay.admission import RootAdmission
from lavenderway_relay.pressure import TICK_S, PressureLevel

CLASSES = 3


class LevelOfAnUpstream(unittest.TestCase):
    """The level falls while there is too much work, and rises after."""

    def play(
        self, level: PressureLevel, *, rate: int, start: float, end: float
    ) -> None:
        """Have `rate` requests a second arrive evenly over all positions.

        Ten slots bear 100 of them in a tick.
        """
        queue = 0
        steps = round((end - start) / TICK_S)
        for step in range(steps):
            now = start + (step + 1) * TICK_S
            for index in range(int(rate * TICK_S)):
                part = index / (rate * TICK_S)
                position = CLASSES * ((part * 37) % 1.0)
                if position < level.level:
                    level.record_arrival(position, now - TICK_S * (1.0 - part))
                    queue += 1
            queue = max(0, queue - 100)
            level.tick(now, waiting=queue, limit=10, mean_s=0.01)

    def test_stays_full_without_excess(self) -> None:
        level = PressureLevel(classes=CLASSES, now=0.0)
        self.play(level, rate=900, start=0.0, end=5.0)
        self.assertEqual(CLASSES, level.level)
        self.assertFalse(level.told(5.0))

    def test_falls_to_what_the_slots_bear(self) -> None:
        level = PressureLevel(classes=CLASSES, now=0.0)
        self.play(level, rate=2000, start=0.0, end=5.0)
        self.assertAlmostEqual(CLASSES / 2, level.level, delta=0.15)
        self.assertTrue(level.told(5.0))

    def test_rises_when_the_excess_is_gone(self) -> None:
        level = PressureLevel(classes=CLASSES, now=0.0)
        self.play(level, rate=2000, start=0.0, end=5.0)
        self.play(level, rate=900, start=5.0, end=8.0)
        self.assertEqual(CLASSES, level.level)

    def test_a_high_estimate_without_a_queue_sheds_nothing(self) -> None:
        level = PressureLevel(classes=CLASSES, now=0.0)
        for index in range(100):
            level.record_arrival(index / 100, 0.4)
        level.tick(0.5, waiting=0, limit=10, mean_s=0.5)
        self.assertEqual(CLASSES, level.level)

    def test_a_queue_counts_as_work(self) -> None:
        level = PressureLevel(classes=CLASSES, now=0.0)
        for index in range(100):
            level.record_arrival(index / 100, 0.4)
        level.tick(0.5, waiting=600, limit=10, mean_s=0.01)
        self.assertLess(level.level, CLASSES)

    def test_follows_a_configuration_with_more_classes(self) -> None:
        level = PressureLevel(classes=CLASSES, now=0.0)
        level.resize(5)
        self.assertEqual(5, level.level)


class OverloadOfADeepService(unittest.TestCase):
    """A deep service with too few slots: what callers get, by importance.

    Plays roots whose calls arrive at the service up to half a second later, as the
    calls of a tree do. Roots are admitted by the level told a tick before.
    """

    SLOTS = 16
    MEAN_S = 0.016
    CALLS = 8  # of each root
    TICKS = 400

    def play(self, roots_per_s: int) -> tuple[list[float], float, float]:
        """Return the part admitted of each class, the use and the longest queue."""
        draw = random.Random(7)
        level = PressureLevel(classes=CLASSES, now=0.0)
        admission = RootAdmission()
        deep, route, front = ServiceId("deep"), RouteId("r"), ServiceId("front")
        admission.learn_tree(route, front, {deep: 8.0})
        capacity = self.SLOTS / self.MEAN_S * TICK_S
        arriving: list[list[float]] = [[] for _ in range(self.TICKS + 10)]
        queue, used, longest = 0.0, 0.0, 0.0
        asked, admitted = [0] * CLASSES, [0] * CLASSES
        for tick in range(1, self.TICKS):
            now = tick * TICK_S
            admission.learn_level(deep, HostId("h"), level.level, now)
            for _ in range(int(roots_per_s * TICK_S)):
                position = draw.random() * CLASSES
                verdict = admission.judge(route, front, position, now, jitter=0.5)
                asked[int(position)] += 1
                if verdict.limiting is None:
                    admitted[int(position)] += 1
                    for call in range(self.CALLS):
                        arriving[tick + call * 5 // self.CALLS].append(position)
            count = len(arriving[tick])
            for index, position in enumerate(arriving[tick]):
                level.record_arrival(position, now - TICK_S * (1.0 - index / count))
            queue += len(arriving[tick])
            used += min(queue, capacity) / capacity / self.TICKS
            queue = max(0.0, queue - capacity)
            longest = max(longest, queue) if tick > 50 else 0.0
            level.tick(now, waiting=int(queue), limit=self.SLOTS, mean_s=self.MEAN_S)
        parts = [part / whole for part, whole in zip(admitted, asked, strict=True)]
        return parts, used, longest / capacity * TICK_S

    def test_twice_the_load(self) -> None:
        parts, used, longest_s = self.play(roots_per_s=250)
        self.assertGreaterEqual(parts[0], 0.98)
        self.assertLess(parts[2], 0.1)
        self.assertGreaterEqual(used, 0.88)
        self.assertLessEqual(longest_s, 0.3)

    def test_a_little_too_much(self) -> None:
        parts, used, longest_s = self.play(roots_per_s=140)
        self.assertGreaterEqual(parts[1], 0.98)
        self.assertGreaterEqual(parts[2], 0.5)
        self.assertGreaterEqual(used, 0.88)
        self.assertLessEqual(longest_s, 0.3)

    def test_nothing_is_refused_with_room(self) -> None:
        parts, _, _ = self.play(roots_per_s=110)
        self.assertEqual([1.0, 1.0, 1.0], parts)


class RootsByTheirTree(unittest.TestCase):
    """A root is refused for a service that its calls need, and for no other."""

    def setUp(self) -> None:
        self.admission = RootAdmission()
        self.front, self.deep = ServiceId("front"), ServiceId("deep")
        self.admission.learn_level(self.deep, HostId("h"), 1.5, 0.0)

    def judge(self, route: str, position: float, now: float = 0.0) -> ServiceId | None:
        verdict = self.admission.judge(
            RouteId(route), self.front, position, now, jitter=0.5
        )
        return verdict.limiting

    def test_names_the_service_without_room(self) -> None:
        self.admission.learn_tree(RouteId("tree"), self.front, {self.deep: 4.0})
        self.assertEqual(self.deep, self.judge("tree", 1.7))
        self.assertIsNone(self.judge("tree", 1.3))

    def test_a_route_that_does_not_reach_it_is_admitted(self) -> None:
        self.admission.learn_tree(RouteId("leaf"), self.front, {})
        self.assertIsNone(self.judge("leaf", 2.9))

    def test_an_old_level_says_nothing(self) -> None:
        self.admission.learn_tree(RouteId("tree"), self.front, {self.deep: 4.0})
        self.assertIsNone(self.judge("tree", 1.7, now=10.0))

    def test_a_slow_host_says_little_about_its_service(self) -> None:
        self.admission.learn_tree(RouteId("tree"), self.front, {self.deep: 4.0})
        for name, level, weight in (("h", 0.5, 50.0), ("i", 3.0, 600.0)):
            self.admission.learn_level(
                self.deep, HostId(name), level, 0.0, weight=weight
            )
        self.assertIsNone(self.judge("tree", 2.7))

    def test_the_caller_is_told_when_to_come_back(self) -> None:
        self.admission.learn_tree(RouteId("tree"), self.front, {self.deep: 4.0})
        verdict = self.admission.judge(
            RouteId("tree"), self.front, 1.7, 0.0, jitter=0.5
        )
        self.assertGreater(verdict.retry_after_s, 0.0)
