"""Tests of following a table of the store."""

import asyncio
import os
import unittest

from lavenderway_relay.feeds import StoreEra, TableFeed
from lavenderway_relay.revision import Revision
from lavenderway_relay.store import OutcomeUnknownError, Snapshot, StoreUnavailableError
from lavenderway_relay.sync import hosts_coalesce_delay_s
from lavenderway_relay.view_age import View

from tests.relay.support import ScriptedStore, make_state

TABLE = "t"


class TableFeedCase(unittest.IsolatedAsyncioTestCase):
    """A feed of one table of a scripted store."""

    coalesce_delay_s = 0.0

    async def asyncSetUp(self) -> None:
        self.log = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, self.log)
        self.store = ScriptedStore()
        self.restored: list[tuple[int, int]] = []
        self.era = StoreEra(on_restored=self.handle_restored_store)
        self.values: dict[str, bytes | None] = {}
        self.feed = TableFeed(
            table=TABLE,
            view=View.CONFIGURATION,
            handle_snapshot=self.handle_snapshot,
            coalesce_delay_s=lambda: self.coalesce_delay_s,
            state=make_state(log=self.log),
            store=self.store,
            era=self.era,
            loop=asyncio.get_running_loop(),
            random=lambda: 0.0,
        )
        self.store.put(TABLE, "first", b"1")
        task = asyncio.create_task(self.feed.run())
        self.addCleanup(task.cancel)
        await self.wait_for_value("first", b"1")

    def handle_snapshot(self, snapshot: Snapshot) -> None:
        self.values |= {row.key: row.value for row in snapshot.rows}

    def handle_restored_store(self, before: int, era: int) -> None:
        self.restored.append((before, era))
        self.feed.verify()

    async def wait_for_value(self, key: str, value: bytes) -> None:
        async with asyncio.timeout(1.0):
            while self.values.get(key) != value:
                await asyncio.sleep(0.005)


class RestoredTables(TableFeedCase):
    """No change of a new era is missed, though versions are given out again."""

    async def restore(self) -> None:
        """Return to the first version, and write another row at the second one."""
        copy = self.store.save_copy()
        self.store.put(TABLE, "lost", b"2")
        await self.wait_for_value("lost", b"2")
        self.store.fail(StoreUnavailableError("down"))
        await asyncio.sleep(0.02)
        self.store.restore(copy)
        self.store.put(TABLE, "again", b"3")

    async def test_change_at_a_reused_version_after_an_outage(self) -> None:
        await self.restore()
        self.store.fail(None)
        await self.wait_for_value("again", b"3")
        self.assertEqual([(0, 1)], self.restored)

    async def test_era_seen_elsewhere_ends_a_long_poll(self) -> None:
        copy = self.store.save_copy()
        await asyncio.sleep(0.02)
        self.store.restore(copy, wake=False)
        self.store.put(TABLE, "first", b"2", wake=False)
        await asyncio.sleep(0.02)
        self.assertEqual(b"1", self.values["first"])
        self.era.observe(1)
        await self.wait_for_value("first", b"2")

    async def test_changes_after_the_restore_are_followed(self) -> None:
        await self.restore()
        self.store.fail(None)
        await self.wait_for_value("again", b"3")
        self.store.put(TABLE, "later", b"4")
        await self.wait_for_value("later", b"4")

    async def test_response_of_an_older_era_is_a_failure(self) -> None:
        """It is retried with a back-off, not at once."""
        self.era.observe(1)
        calls = self.store.calls
        await asyncio.sleep(0.2)
        self.assertIs(False, self.feed.healthy)
        self.assertLessEqual(self.store.calls - calls, 6)


class CoalescedChanges(TableFeedCase):
    """A feed reads the changes made during its pause by one call."""

    coalesce_delay_s = 0.5

    async def test_changes_in_succession_cost_one_call(self) -> None:
        calls = self.store.calls
        for number in range(20):
            self.store.put(TABLE, "first", b"%d" % number)
            await asyncio.sleep(0.01)
        await self.wait_for_value("first", b"19")
        self.assertLessEqual(self.store.calls - calls, 2)

    async def test_new_era_ends_the_pause(self) -> None:
        copy = self.store.save_copy()
        self.store.restore(copy)
        self.store.put(TABLE, "first", b"2")
        self.era.observe(1)
        await asyncio.sleep(0.1)
        self.assertEqual(b"2", self.values["first"])


class HostsCoalesceDelay(unittest.TestCase):
    """All nodes together make a bounded number of calls while hosts change."""

    def test_delay_grows_with_the_fleet_within_bounds(self) -> None:
        for hosts, delay_s in ((0, 2.0), (14, 2.0), (99, 3.0), (195, 5.9), (710, 6.0)):
            self.assertAlmostEqual(delay_s, hosts_coalesce_delay_s(hosts), 1)


class FeedsDuringAnOutage(TableFeedCase):
    """One feed looks for the recovery of the store, and the other waits for it."""

    async def test_outage_costs_the_calls_of_one_feed(self) -> None:
        follower = TableFeed(
            table="other",
            view=View.HOSTS,
            handle_snapshot=self.handle_snapshot,
            coalesce_delay_s=lambda: 0.0,
            state=make_state(log=self.log),
            store=self.store,
            era=self.era,
            loop=asyncio.get_running_loop(),
            random=lambda: 0.0,
            leader=self.feed,
        )
        task = asyncio.create_task(follower.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.05)
        self.store.fail(StoreUnavailableError("down"))
        await asyncio.sleep(0.1)
        calls = self.store.calls
        await asyncio.sleep(1.0)
        self.assertLessEqual(self.store.calls - calls, 5)
        self.assertIs(False, follower.healthy)
        self.store.put("other", "second", b"2")
        self.store.fail(None)
        await self.wait_for_value("second", b"2")


class ObservedEras(unittest.TestCase):
    """A new era is reported once, and an older one is refused."""

    def test_first_era_is_not_a_restore(self) -> None:
        restored: list[Revision] = []
        era = StoreEra(on_restored=lambda *eras: restored.append(Revision(*eras)))
        era.observe(3)
        era.observe(3)
        self.assertEqual([], restored)
        era.observe(4)
        era.observe(4)
        self.assertEqual([(3, 4)], restored)
        with self.assertRaises(OutcomeUnknownError):
            era.observe(3)
        self.assertEqual(4, era.current)
