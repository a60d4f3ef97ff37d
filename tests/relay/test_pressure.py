"""Tests of the level that an upstream under pressure publishes."""

import random
import unittest

from lavenderway_core.ids import HostId, RouteId, ServiceId
from lavenderway_relay.admission import RootAdmission
from lavenderway_relay.pressure import TICK_S, PressureLevel

CLASSES = 3


class LevelOfAnUpstream(unittest.TestCase):
    """The level falls while there is too much work, and rises after."""

    def test_stays_full_without_a_queue(self) -> None:
        level = PressureLevel(classes=CLASSES, now=0.0)
        for tick in range(1, 50):
            level.record_arrival(1.5, tick * TICK_S)
            level.record_start(0.0)
            level.tick(tick * TICK_S, load=0.8, mean_s=0.02)
        self.assertEqual(CLASSES, level.level)
        self.assertFalse(level.told(5.0))

    def test_cuts_the_least_important_first(self) -> None:
        level = PressureLevel(classes=CLASSES, now=0.0)
        for index in range(300):
            level.record_arrival(index / 100, 0.4)
            level.record_start(0.2)
        level.tick(0.5, load=1.25, mean_s=0.02)
        self.assertAlmostEqual(2.4, level.level, delta=0.05)
        self.assertTrue(level.told(0.6))

    def test_rises_when_the_queue_is_gone(self) -> None:
        level = PressureLevel(classes=CLASSES, now=0.0)
        level.record_arrival(0.5, 0.4)
        level.record_refusal()
        level.tick(0.5, load=2.0, mean_s=0.02)
        self.assertLess(level.level, 1.0)
        for tick in range(100):
            level.tick(0.6 + tick * TICK_S, load=0.5, mean_s=0.02)
        self.assertEqual(CLASSES, level.level)

    def test_follows_a_configuration_with_more_classes(self) -> None:
        level = PressureLevel(classes=CLASSES, now=0.0)
        level.resize(5)
        self.assertEqual(5, level.level)


class OverloadOfADeepService(unittest.TestCase):
    """Twice the load a deep service can bear: what callers get, by importance.

    Plays roots whose calls take the slots of one service. Roots are admitted by the
    level that the service published a tick before.
    """

    def play(self, *, roots_per_tick: int, slots_per_tick: float) -> list[float]:
        """Return the part of the roots of each class that was served in the end."""
        draw = random.Random(7)
        level = PressureLevel(classes=CLASSES, now=0.0)
        admission = RootAdmission()
        deep, route = ServiceId("deep"), RouteId("r")
        admission.learn_tree(route, ServiceId("front"), {deep: 1.0})
        backlog = 0.0
        asked, served = [0] * CLASSES, [0] * CLASSES
        for tick in range(1, 400):
            now = tick * TICK_S
            admission.learn_level(deep, HostId("h"), level.level, now)
            for _ in range(roots_per_tick):
                position = draw.random() * CLASSES
                verdict = admission.judge(
                    route, ServiceId("front"), position, now, jitter=0.5
                )
                counted = tick > 100
                asked[int(position)] += counted
                if verdict.limiting is None:
                    served[int(position)] += counted
                    level.record_arrival(position, now)
                    level.record_start(backlog / slots_per_tick * TICK_S)
                    backlog += 1.0
            load = backlog / slots_per_tick
            backlog = max(0.0, backlog - slots_per_tick)
            level.tick(now, load=load, mean_s=0.02)
        return [part / whole for part, whole in zip(served, asked, strict=True)]

    def test_the_most_important_are_shed_last(self) -> None:
        shares = self.play(roots_per_tick=120, slots_per_tick=60.0)
        self.assertGreaterEqual(shares[0], 0.95)
        self.assertLess(shares[2], 0.2)

    def test_the_slots_are_used(self) -> None:
        shares = self.play(roots_per_tick=120, slots_per_tick=60.0)
        used = sum(shares) / CLASSES * 120 / 60
        self.assertGreaterEqual(used, 0.85)

    def test_nothing_is_refused_with_room(self) -> None:
        shares = self.play(roots_per_tick=50, slots_per_tick=60.0)
        self.assertEqual([1.0, 1.0, 1.0], shares)


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

    def test_the_caller_is_told_when_to_come_back(self) -> None:
        self.admission.learn_tree(RouteId("tree"), self.front, {self.deep: 4.0})
        verdict = self.admission.judge(
            RouteId("tree"), self.front, 1.7, 0.0, jitter=0.5
        )
        self.assertGreater(verdict.retry_after_s, 0.0)
