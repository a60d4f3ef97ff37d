"""Tests of tracking the local upstream by its announcements."""

import unittest
from dataclasses import replace

from lavenderway_core.ids import ServiceId, UpstreamId
from lavenderway_relay.announcements import AnnouncementEffect, LocalUpstream
from lavenderway_relay.model import Address, Upstream, UpstreamStatus

READY_UPSTREAM = Upstream(
    id=UpstreamId("i-1"),
    service=ServiceId("archive"),
    address=Address("10.0.0.1", 80),
    slots=10,
    status=UpstreamStatus.READY,
    started_ms=1000,
    sequence=5,
)


class AnnouncementOrdering(unittest.TestCase):
    """Announcements that arrive late or out of order are ignored."""

    def setUp(self) -> None:
        self.local_upstream = LocalUpstream(interval_s=1.0)
        self.local_upstream.announce(READY_UPSTREAM, 0.0)

    def test_repeated_announcement_changes_nothing(self) -> None:
        effect = self.local_upstream.announce(replace(READY_UPSTREAM, sequence=6), 1.0)
        self.assertEqual(AnnouncementEffect.REPEATED, effect)

    def test_same_sequence_number_is_outdated(self) -> None:
        self.assertEqual(
            AnnouncementEffect.OUTDATED,
            self.local_upstream.announce(READY_UPSTREAM, 1.0),
        )

    def test_ready_after_leaving_is_outdated(self) -> None:
        leaving = replace(READY_UPSTREAM, sequence=7, status=UpstreamStatus.LEAVING)
        self.assertEqual(
            AnnouncementEffect.CHANGED, self.local_upstream.announce(leaving, 1.0)
        )
        ready = replace(READY_UPSTREAM, sequence=8)
        self.assertEqual(
            AnnouncementEffect.OUTDATED, self.local_upstream.announce(ready, 1.1)
        )

    def test_older_incarnation_is_outdated(self) -> None:
        second = replace(
            READY_UPSTREAM, id=UpstreamId("i-2"), started_ms=2000, sequence=1
        )
        self.assertEqual(
            AnnouncementEffect.CHANGED, self.local_upstream.announce(second, 1.0)
        )
        late = replace(READY_UPSTREAM, sequence=9)
        self.assertEqual(
            AnnouncementEffect.OUTDATED, self.local_upstream.announce(late, 1.1)
        )

    def test_later_start_under_same_id_is_new_incarnation(self) -> None:
        again = replace(READY_UPSTREAM, started_ms=3000, sequence=1)
        self.assertEqual(
            AnnouncementEffect.CHANGED, self.local_upstream.announce(again, 1.0)
        )
        self.assertEqual(again, self.local_upstream.current)


class Departures(unittest.TestCase):
    """An incarnation that has departed cannot become ready again."""

    def setUp(self) -> None:
        self.local_upstream = LocalUpstream(interval_s=1.0)

    def test_announcement_after_departure_is_outdated(self) -> None:
        self.local_upstream.announce(READY_UPSTREAM, 0.0)
        self.assertEqual(
            AnnouncementEffect.CHANGED,
            self.local_upstream.deregister(READY_UPSTREAM.id, 1000),
        )
        late = replace(READY_UPSTREAM, sequence=6)
        self.assertEqual(
            AnnouncementEffect.OUTDATED, self.local_upstream.announce(late, 1.0)
        )

    def test_announcement_after_early_departure_is_outdated(self) -> None:
        self.local_upstream.deregister(READY_UPSTREAM.id, 1000)
        self.assertEqual(
            AnnouncementEffect.OUTDATED,
            self.local_upstream.announce(READY_UPSTREAM, 1.0),
        )

    def test_departure_of_other_incarnation_is_outdated(self) -> None:
        self.local_upstream.announce(READY_UPSTREAM, 0.0)
        self.assertEqual(
            AnnouncementEffect.OUTDATED,
            self.local_upstream.deregister(READY_UPSTREAM.id, 500),
        )
        self.assertEqual(
            AnnouncementEffect.OUTDATED,
            self.local_upstream.deregister(UpstreamId("x"), 1),
        )
        self.assertEqual(READY_UPSTREAM, self.local_upstream.current)

    def test_stored_departure_holds_after_restart(self) -> None:
        self.local_upstream.restore(replace(READY_UPSTREAM, status=UpstreamStatus.GONE))
        late = replace(READY_UPSTREAM, sequence=6)
        self.assertEqual(
            AnnouncementEffect.OUTDATED, self.local_upstream.announce(late, 1.0)
        )

    def test_departure_before_the_stored_state_is_read(self) -> None:
        for started_ms in (None, 1000):
            with self.subTest(started_ms=started_ms):
                local_upstream = LocalUpstream(interval_s=1.0)
                local_upstream.deregister(READY_UPSTREAM.id, started_ms)
                local_upstream.restore(READY_UPSTREAM)
                assert local_upstream.current is not None
                self.assertIs(UpstreamStatus.GONE, local_upstream.current.status)


class UnconfirmedUpstream(unittest.TestCase):
    """A ready upstream from an older copy of the store has to announce itself."""

    def setUp(self) -> None:
        self.local_upstream = LocalUpstream(interval_s=1.0)
        self.local_upstream.restore(READY_UPSTREAM, confirmed=False)

    def test_silent_until_the_next_announcement(self) -> None:
        self.assertTrue(self.local_upstream.silent)
        effect = self.local_upstream.announce(replace(READY_UPSTREAM, sequence=6), 1.0)
        self.assertEqual(AnnouncementEffect.CHANGED, effect)
        self.assertFalse(self.local_upstream.silent)
        self.assertTrue(self.local_upstream.confirmed)

    def test_delayed_announcement_is_outdated(self) -> None:
        self.assertEqual(
            AnnouncementEffect.OUTDATED,
            self.local_upstream.announce(READY_UPSTREAM, 1.0),
        )
        self.assertFalse(self.local_upstream.confirmed)

    def test_newer_departure_is_confirmed(self) -> None:
        leaving = replace(READY_UPSTREAM, sequence=7, status=UpstreamStatus.LEAVING)
        self.local_upstream.restore(leaving, confirmed=False)
        self.assertEqual(leaving, self.local_upstream.current)
        self.assertTrue(self.local_upstream.confirmed)

    def test_departure_is_confirmed(self) -> None:
        self.local_upstream.deregister(READY_UPSTREAM.id, None)
        self.assertTrue(self.local_upstream.confirmed)

    def test_later_announcement_is_kept(self) -> None:
        newer = replace(READY_UPSTREAM, sequence=6)
        self.local_upstream.announce(newer, 1.0)
        self.local_upstream.restore(READY_UPSTREAM, confirmed=False)
        self.assertEqual(newer, self.local_upstream.current)
        self.assertTrue(self.local_upstream.confirmed)


class SilentUpstream(unittest.TestCase):
    """An upstream that stops announcing is silent until its next announcement."""

    def test_silence_is_reported_once_and_ends_with_announcement(self) -> None:
        local_upstream = LocalUpstream(interval_s=1.0)
        local_upstream.announce(READY_UPSTREAM, 0.0)
        self.assertFalse(local_upstream.check_silence(3.0))
        self.assertTrue(local_upstream.check_silence(4.5))
        self.assertFalse(local_upstream.check_silence(5.0))
        effect = local_upstream.announce(replace(READY_UPSTREAM, sequence=6), 6.0)
        self.assertEqual(AnnouncementEffect.CHANGED, effect)
        self.assertFalse(local_upstream.silent)

    def test_leaving_upstream_stays_leaving_after_silence(self) -> None:
        local_upstream = LocalUpstream(interval_s=1.0)
        local_upstream.announce(
            replace(READY_UPSTREAM, status=UpstreamStatus.LEAVING), 0.0
        )
        local_upstream.check_silence(10.0)
        late = replace(READY_UPSTREAM, sequence=6)
        self.assertEqual(
            AnnouncementEffect.OUTDATED, local_upstream.announce(late, 11.0)
        )
