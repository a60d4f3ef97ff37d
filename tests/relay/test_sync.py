"""Tests of keeping this host's record in a store that returns from an older copy."""

import asyncio
import os
import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast

import orjson
from lavenderway_core.ids import FailureDomainId, HostId, ServiceId, UpstreamId
from lavenderway_relay.confirmation import MAX_PEER_AGE_S
from lavenderway_relay.model import Configuration, HostRecord, Upstream, UpstreamStatus
from lavenderway_relay.peer_client import RECORD_TARGET, PeerClient
from lavenderway_relay.records import decode_record, encode_record, encode_records
from lavenderway_relay.revision import NO_REVISION, Revision
from lavenderway_relay.store import OutcomeUnknownError
from lavenderway_relay.sync import (
    HOSTS_TABLE,
    ConfigurationFormatError,
    StateSync,
)
from lavenderway_relay.upstream_runner import UpstreamRunner
from lavenderway_relay.view_age import View

from tests.relay.support import ANY_ADDRESS, OWN_HOST, ScriptedStore, make_state
from tests.relay.test_host_registry import make_record

READY = Upstream(
    id=UpstreamId("i-own"),
    service=ServiceId("archive"),
    address=ANY_ADDRESS,
    slots=10,
    status=UpstreamStatus.READY,
    started_ms=1000,
    sequence=5,
)
LEAVING = replace(READY, status=UpstreamStatus.LEAVING, sequence=9)
PEER = make_record("peer")


def make_own_record(
    upstream: Upstream, revision: Revision = NO_REVISION, *, started_ms: int = 4000
) -> HostRecord:
    """Return a record of the own host, by default of an earlier process."""
    return HostRecord(
        host=OWN_HOST,
        address=ANY_ADDRESS,
        failure_domain=FailureDomainId("east"),
        serving=True,
        upstream=upstream,
        started_ms=started_ms,
        revision=revision,
    )


def reject_document(document: bytes) -> Configuration:
    raise ConfigurationFormatError(document)


class ScriptedPeerClient:
    """Peer that knows records of the own host."""

    def __init__(self) -> None:
        self.on_newer_state: Callable[[HostRecord], None] = lambda _: None
        self.records: list[HostRecord] = []
        self.queries: list[bytes] = []

    async def query(
        self, record: HostRecord, target: bytes, payload: dict[str, Any]
    ) -> dict[str, Any]:
        assert (record.host, payload["host"]) == (PEER.host, OWN_HOST)
        self.queries.append(target)
        return {"hosts": encode_records(self.records)}


class StateSyncCase(unittest.IsolatedAsyncioTestCase):
    """A node without listeners, a scripted store and a scripted peer."""

    decode_configuration = staticmethod(reject_document)

    async def asyncSetUp(self) -> None:
        log = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, log)
        self.state = make_state(log=log)
        self.store = ScriptedStore()
        self.peer_client = ScriptedPeerClient()
        loop = asyncio.get_running_loop()
        self.sync = StateSync(
            state=self.state,
            store=self.store,
            peer_client=cast(PeerClient, self.peer_client),
            upstream_runner=UpstreamRunner(state=self.state, loop=loop),
            loop=loop,
            random=lambda: 0.0,
            decode_configuration=self.decode_configuration,
            config_table="op",
            config_key="config",
            evacuation_key_prefix="evacuate/",
        )
        self.addCleanup(self.sync.stop)

    def put_record(self, record: HostRecord) -> None:
        self.store.put(HOSTS_TABLE, record.host, encode_record(record))

    def find_stored(self) -> HostRecord | None:
        row = self.store.find(HOSTS_TABLE, OWN_HOST)
        if row is None or row.value is None:
            return None
        return decode_record(row.value, row.version)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(4.0):  # longer than the pause after a change
            while not condition():
                await asyncio.sleep(0.01)

    async def start(self) -> None:
        self.sync.start()
        await self.wait_until(lambda: self.sync.restored.is_set())

    async def announce(self, upstream: Upstream) -> None:
        """Announce the upstream and wait until its record is stored."""
        self.state.local_upstream.announce(upstream, 0.0)
        self.sync.publish()
        self.assertTrue(await self.sync.wait_until_published(4.0))


class PublishedAgain(StateSyncCase):
    """A running node's record is stored again if the store has lost it."""

    async def test_row_missing_from_the_copy(self) -> None:
        copy = self.store.save_copy()
        await self.start()
        await self.announce(LEAVING)
        self.store.restore(copy)
        await self.wait_until(lambda: self.find_stored() is not None)
        stored = self.find_stored()
        assert stored is not None
        self.assertEqual(LEAVING, stored.upstream)
        self.assertEqual(1, stored.revision.era)

    async def test_older_row_in_the_copy(self) -> None:
        await self.start()
        await self.announce(READY)
        copy = self.store.save_copy()
        await self.announce(LEAVING)
        self.store.restore(copy)
        expected = make_own_record(LEAVING, Revision(1, 2), started_ms=5000)
        await self.wait_until(lambda: self.find_stored() == expected)
        self.assertEqual(expected, self.state.host_registry.find(OWN_HOST))

    async def test_write_before_the_new_era_is_seen(self) -> None:
        """The write meets a row of the copy, and is acknowledged for the new era."""
        await self.start()
        await self.announce(READY)
        copy = self.store.save_copy()
        await self.announce(replace(READY, sequence=6, slots=20))
        self.store.restore(copy, wake=False)
        await self.announce(LEAVING)
        stored = self.find_stored()
        assert stored is not None
        self.assertEqual((LEAVING, 1), (stored.upstream, stored.revision.era))

    async def test_write_of_the_older_era_that_succeeds_is_repeated(self) -> None:
        await self.start()
        await self.announce(READY)
        self.store.restore(self.store.save_copy(), wake=False)
        await self.announce(LEAVING)
        stored = self.find_stored()
        assert stored is not None
        self.assertEqual((LEAVING, 1), (stored.upstream, stored.revision.era))

    async def test_earlier_write_applied_late(self) -> None:
        await self.start()
        await self.announce(LEAVING)
        self.put_record(make_own_record(READY, started_ms=5000))
        await self.wait_until(lambda: self.store.writes == 2)
        stored = self.find_stored()
        assert stored is not None
        self.assertEqual(LEAVING, stored.upstream)

    async def test_row_that_names_a_later_era_is_ignored(self) -> None:
        self.put_record(replace(PEER, revision=Revision(7, 0)))
        self.put_record(make_own_record(LEAVING, Revision(7, 0)))
        await self.start()
        await self.announce(READY)
        self.assertIsNone(self.state.host_registry.find(PEER.host))
        stored = self.find_stored()
        assert stored is not None
        self.assertEqual((READY, 0), (stored.upstream, stored.revision.era))

    async def test_unchanged_row_is_not_written_again(self) -> None:
        await self.start()
        await self.announce(READY)
        await asyncio.sleep(0.1)
        self.store.put(HOSTS_TABLE, PEER.host, encode_record(PEER))
        await self.wait_until(lambda: bool(self.state.host_registry.find(PEER.host)))
        self.assertEqual(1, self.store.writes)

    async def test_conflict_that_tells_no_other_version_is_not_retried_at_once(
        self,
    ) -> None:
        await self.start()
        self.store.conflicts = True
        self.state.local_upstream.announce(READY, 0.0)
        calls = self.store.calls
        self.sync.publish()
        await asyncio.sleep(0.3)
        self.assertLessEqual(self.store.calls - calls, 6)

    async def test_acknowledgement_of_an_older_era_is_not_kept(self) -> None:
        await self.start()
        self.sync._store_era.observe(1)
        with self.assertRaises(OutcomeUnknownError):
            await self.sync._store_own_record(make_own_record(READY))
        self.assertFalse(await self.sync.wait_until_published(0.01))


class RestartedNodes(StateSyncCase):
    """A node that restarts with a row of an older era doesn't rely on it."""

    def restore_store(self, *records: HostRecord) -> None:
        for record in records:
            self.put_record(record)
        self.store.restore(self.store.save_copy())

    async def test_ready_upstream_has_to_announce_itself(self) -> None:
        self.restore_store(make_own_record(READY))
        await self.start()
        await asyncio.sleep(0.05)
        self.assertEqual(READY, self.state.local_upstream.current)
        self.assertFalse(self.state.accepts_requests)
        self.sync.publish()
        await asyncio.sleep(0.05)
        self.assertEqual(0, self.store.writes)
        await self.announce(replace(READY, sequence=6))
        self.assertTrue(self.state.accepts_requests)

    async def test_departure_known_to_a_peer(self) -> None:
        self.restore_store(make_own_record(READY), PEER)
        self.peer_client.records = [make_own_record(LEAVING, Revision(0, 7))]
        await self.start()
        self.assertEqual([RECORD_TARGET], self.peer_client.queries)
        self.assertEqual(LEAVING, self.state.local_upstream.current)
        self.assertTrue(await self.sync.wait_until_published(1.0))
        stored = self.find_stored()
        assert stored is not None
        self.assertEqual((LEAVING, 1), (stored.upstream, stored.revision.era))

    async def test_delayed_announcement_before_the_store_is_read(self) -> None:
        self.put_record(make_own_record(LEAVING))
        self.state.local_upstream.announce(replace(READY, sequence=6), 0.0)
        await self.start()
        self.assertEqual(LEAVING, self.state.local_upstream.current)

    async def test_row_of_the_present_era_is_relied_on(self) -> None:
        self.restore_store(PEER)
        self.put_record(make_own_record(READY, Revision(1, 0)))
        await self.start()
        self.assertTrue(self.state.accepts_requests)
        self.assertEqual([], self.peer_client.queries)


class OddRows(StateSyncCase):
    """Rows of another writer among the host records stop nothing."""

    async def test_rows_beside_valid_ones_can_be_passed_on(self) -> None:
        await self.start()
        odd = encode_record(replace(PEER, host=HostId("odd")))
        for index, row in enumerate(
            (
                b"[" * 100_000,
                b'{"a":' * 5_000,
                odd.replace(b'"slots":10', b'"slots":%s' % (b"9" * 20)),
                odd.replace(b'"slots":10', b'"slots":1e999'),
                odd.replace(b'"started":0', b'"started":1e300'),
                odd.replace(b"10.0.0.1:81", b"10.0.0.1:99999"),
            )
        ):
            key = "odd" if index else "nested"
            self.store.put(HOSTS_TABLE, key, row)
        self.put_record(PEER)
        registry = self.state.host_registry
        await self.wait_until(lambda: registry.find(PEER.host) is not None)
        records = registry.changed_since(NO_REVISION)
        self.assertEqual([PEER.host], [record.host for record in records])
        orjson.dumps(encode_records(records))
        self.assertIs(True, self.sync._hosts_feed.healthy)

    async def test_each_odd_row_alone_is_passed_over(self) -> None:
        await self.start()
        odd = encode_record(replace(PEER, host=HostId("odd")))
        for number in (b"9" * 20, b"1e300"):
            self.store.put(
                HOSTS_TABLE, "odd", odd.replace(b'"slots":10', b'"slots":' + number)
            )
            self.sync._hosts_feed.verify()
            await asyncio.sleep(0.05)
            orjson.dumps(encode_records(self.state.host_registry.members()))


CONFIG_KEY = "config"


def decode_version(document: bytes) -> Configuration:
    """Return an empty configuration whose document is its version."""
    return Configuration(
        version=int(document), routes=(), workspaces={}, workspace_of_key={}
    )


class LostLongPolls(StateSyncCase):
    """A change whose notification the store has lost is noticed soon."""

    decode_configuration = staticmethod(decode_version)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.put("op", CONFIG_KEY, b"1")
        await self.start()
        await self.wait_until(lambda: self.state.config_version == 1)
        await asyncio.sleep(0.05)  # the next polls are pending

    async def test_configuration_is_seen_soon_after_a_silence(self) -> None:
        """No peer shows this node the newer version."""
        self.store.silence()
        await asyncio.sleep(0.5)
        self.store.put("op", CONFIG_KEY, b"2")
        self.store.respond()
        async with asyncio.timeout(3.0):
            while self.state.config_version < 2:
                await asyncio.sleep(0.01)

    async def test_hosts_are_seen_soon_after_a_silence(self) -> None:
        self.store.silence()
        await asyncio.sleep(0.5)
        self.put_record(PEER)
        self.store.respond()
        async with asyncio.timeout(5.0):
            while self.state.host_registry.find(PEER.host) is None:
                await asyncio.sleep(0.01)

    async def test_silent_polls_do_not_count_as_confirmations(self) -> None:
        self.store.silence()
        silent_since = asyncio.get_running_loop().time()
        await asyncio.sleep(2.5)
        for view in View:
            self.assertLessEqual(self.state.view_ages.confirmed_at(view), silent_since)

    async def test_one_poll_a_second_confirms_both_views(self) -> None:
        """The peers that ask this node never have to ask the store."""
        await asyncio.sleep(2.5)
        calls = self.store.calls
        ages_s = []
        for _ in range(60):
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            ages_s.append(self.state.view_ages.oldest_s(now))
        self.assertLessEqual(self.store.calls - calls, 4)
        self.assertLessEqual(max(ages_s), MAX_PEER_AGE_S)
