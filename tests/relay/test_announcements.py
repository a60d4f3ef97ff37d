"""Tests of the upstream on the node's own host."""

import unittest
from dataclasses import replace

from lavenderway_core.ids import ServiceId, UpstreamId
from lavenderway_relay.announcements import OwnUpstream, Reading
from lavenderway_relay.model import Address, Upstream, UpstreamStatus

FIRST = Upstream(
    id=UpstreamId("i-1"),
    service=ServiceId("archive"),
    address=Address("10.0.0.1", 80),
    slots=10,
    status=UpstreamStatus.READY,
    born_ms=1000,
    sequence=5,
)


class AnnouncementOrder(unittest.TestCase):
    """Late announcements change nothing that holds."""

    def setUp(self) -> None:
        self.own = OwnUpstream(interval_s=1.0)
        self.own.announce(FIRST, 0.0)

    def test_a_repeated_one_changes_nothing(self) -> None:
        reading = self.own.announce(replace(FIRST, sequence=6), 1.0)
        self.assertEqual(Reading.REPEATED, reading)

    def test_an_overtaken_one_is_outdated(self) -> None:
        self.assertEqual(Reading.OUTDATED, self.own.announce(FIRST, 1.0))

    def test_ready_after_leaving_is_outdated(self) -> None:
        leaving = replace(FIRST, sequence=7, status=UpstreamStatus.LEAVING)
        self.assertEqual(Reading.CHANGED, self.own.announce(leaving, 1.0))
        ready = replace(FIRST, sequence=8)
        self.assertEqual(Reading.OUTDATED, self.own.announce(ready, 1.1))

    def test_a_former_incarnation_is_outdated(self) -> None:
        second = replace(FIRST, id=UpstreamId("i-2"), born_ms=2000, sequence=1)
        self.assertEqual(Reading.CHANGED, self.own.announce(second, 1.0))
        late = replace(FIRST, sequence=9)
        self.assertEqual(Reading.OUTDATED, self.own.announce(late, 1.1))

    def test_the_same_id_born_again_counts_anew(self) -> None:
        again = replace(FIRST, born_ms=3000, sequence=1)
        self.assertEqual(Reading.CHANGED, self.own.announce(again, 1.0))
        self.assertEqual(again, self.own.current)


class Departures(unittest.TestCase):
    """An incarnation that has left does not come back."""

    def setUp(self) -> None:
        self.own = OwnUpstream(interval_s=1.0)

    def test_a_late_announcement_after_the_departure(self) -> None:
        self.own.announce(FIRST, 0.0)
        self.assertEqual(Reading.CHANGED, self.own.deregister(FIRST.id, 1000))
        late = replace(FIRST, sequence=6)
        self.assertEqual(Reading.OUTDATED, self.own.announce(late, 1.0))

    def test_a_departure_heard_before_any_announcement(self) -> None:
        self.own.deregister(FIRST.id, 1000)
        self.assertEqual(Reading.OUTDATED, self.own.announce(FIRST, 1.0))

    def test_a_departure_of_a_former_incarnation(self) -> None:
        self.own.announce(FIRST, 0.0)
        self.assertEqual(Reading.OUTDATED, self.own.deregister(FIRST.id, 500))
        self.assertEqual(Reading.OUTDATED, self.own.deregister(UpstreamId("x"), 1))
        self.assertEqual(FIRST, self.own.current)

    def test_a_stored_departure_holds_after_a_restart(self) -> None:
        self.own.restore(replace(FIRST, status=UpstreamStatus.GONE))
        late = replace(FIRST, sequence=6)
        self.assertEqual(Reading.OUTDATED, self.own.announce(late, 1.0))


class Silence(unittest.TestCase):
    """An upstream that is silent for too long counts as gone until it is heard."""

    def test_lapses_once_and_comes_back(self) -> None:
        own = OwnUpstream(interval_s=1.0)
        own.announce(FIRST, 0.0)
        self.assertFalse(own.lapse(3.0))
        self.assertTrue(own.lapse(4.5))
        self.assertFalse(own.lapse(5.0))
        reading = own.announce(replace(FIRST, sequence=6), 6.0)
        self.assertEqual(Reading.CHANGED, reading)
        self.assertFalse(own.silent)

    def test_a_leaving_one_still_leaves_after_silence(self) -> None:
        own = OwnUpstream(interval_s=1.0)
        own.announce(replace(FIRST, status=UpstreamStatus.LEAVING), 0.0)
        own.lapse(10.0)
        late = replace(FIRST, sequence=6)
        self.assertEqual(Reading.OUTDATED, own.announce(late, 11.0))
