"""Synchronizes the node's state with the store and with its peers.

The change feeds of the store deliver the configuration and the host records. A node
that cannot use the store pulls both from a peer instead, and so does a node that learns
from a response that a peer has newer state than its own.

The store may return from an older copy and lose what it has acknowledged. Every node
then writes its own record again, and keeps the lost records of other hosts until those
hosts have done so. A node that restarts meanwhile asks its peers for its own record.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from lavenderway_core.ids import FailureDomainId

from lavenderway_relay.confirmation import (
    CONFIRM_INTERVAL_S,
    MAX_PEER_AGE_S,
    select_confirmers,
)
from lavenderway_relay.evacuation import decode_evacuations
from lavenderway_relay.feeds import (
    MAX_BACKOFF_S,
    MIN_BACKOFF_S,
    STORE_FAILURES,
    StoreEra,
    TableFeed,
)
from lavenderway_relay.model import HostRecord
from lavenderway_relay.owner_join import TokenOwnerJoin
from lavenderway_relay.peer_client import (
    RECORD_TARGET,
    STATE_TARGET,
)
from lavenderway_relay.records import (
    RecordFormatError,
    decode_record,
    decode_records,
    encode_record,
)
from lavenderway_relay.revision import (
    NO_REVISION,
    Revision,
    decode_revision,
    encode_revision,
)
from lavenderway_relay.store import ABSENT, ConflictError, OutcomeUnknownError
from lavenderway_relay.view_age import View, decode_ages
from lavenderway_relay.workspace_demand import decode_demands, encode_demands

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_relay.model import Configuration
    from lavenderway_relay.peer_client import PeerClient
    from lavenderway_relay.state import NodeState
    from lavenderway_relay.store import Snapshot, Store, StoredRow
    from lavenderway_relay.upstream_runner import UpstreamRunner

HOSTS_TABLE = "lavenderway-hosts"
PEER_PULL_INTERVAL_S = 0.3  # used while the store is unavailable
PEER_PULL_DELAY_S = 0.15  # the feed usually delivers the change within this time
# Time in which hosts write the records again that the store has lost.
RESTORE_TIME_S = 3.0
MAX_CONFIRMING_PEERS = 8  # nodes that a restarted node asks for its own record
# Pause after a change of the configuration, so that one call reads the changes made
# meanwhile.
CONFIG_COALESCE_DELAY_S = 0.05
# Calls of all nodes together that read changes of the hosts; each change ends the long
# polls of all of them.
HOST_FEED_CALLS_PER_S = 33.0
MIN_HOSTS_COALESCE_DELAY_S = 2.0
# Bounds how late a host that no peer has mentioned gets its first requests.
MAX_HOSTS_COALESCE_DELAY_S = 6.0


def hosts_coalesce_delay_s(hosts: int) -> float:
    """Return the pause of a node after it has read changes of the hosts, in seconds.

    Designed for fleets in which hosts change all the time, such as in a release. The
    calls to the store of all nodes together stay within `HOST_FEED_CALLS_PER_S` until
    the pause is at its maximum. Changes that are not read yet do no harm: the node
    beside an upstream refuses the requests that the upstream must not get, and the
    responses of peers show that newer state exists.

    Args:
        hosts: Number of hosts of the fleet.

    """
    delay_s = hosts / HOST_FEED_CALLS_PER_S
    return min(MAX_HOSTS_COALESCE_DELAY_S, max(MIN_HOSTS_COALESCE_DELAY_S, delay_s))


class ConfigurationFormatError(Exception):
    """A configuration document cannot be decoded."""


class StateSync:
    """Background tasks that synchronize a node's state.

    Args:
        state: State of the node.
        store: Client of the platform's table service.
        peer_client: Client for the other nodes.
        upstream_runner: Runs requests at the upstream of this host.
        loop: The event loop.
        random: Returns a random number in [0, 1).
        decode_configuration: Decodes a configuration document; raises
            `ConfigurationFormatError` if it cannot.
        config_table: Store table that holds the configuration.
        config_key: Key of the configuration's row in that table.
        evacuation_key_prefix: Prefix of the keys of evacuated failure domains in that
            table; the rest of a key is the name of the failure domain.

    Attributes:
        restored: Set once the record that this host stored earlier has been read.

    """

    def __init__(
        self,
        *,
        state: NodeState,
        store: Store,
        peer_client: PeerClient,
        upstream_runner: UpstreamRunner,
        loop: asyncio.AbstractEventLoop,
        random: Callable[[], float],
        decode_configuration: Callable[[bytes], Configuration],
        config_table: str,
        config_key: str,
        evacuation_key_prefix: str,
    ) -> None:
        self._state = state
        self._store = store
        self._store_era = StoreEra(on_restored=self._handle_restored_store)
        self._peer_client = peer_client
        self._upstream_runner = upstream_runner
        self._loop = loop
        self._random = random
        self._decode_configuration = decode_configuration
        self._config_key = config_key
        self._evacuation_key_prefix = evacuation_key_prefix
        self._config_feed = self._make_feed(
            config_table,
            View.CONFIGURATION,
            self._handle_configuration_rows,
            lambda: CONFIG_COALESCE_DELAY_S,
        )
        self._hosts_feed = self._make_feed(
            HOSTS_TABLE,
            View.HOSTS,
            self._handle_host_rows,
            lambda: hosts_coalesce_delay_s(state.token_owners.host_count),
            leader=self._config_feed,
        )
        self._feeds = [self._config_feed, self._hosts_feed]
        self._config_feed.on_confirmed = self._confirm_hosts_by_version
        self._evacuated = False  # this host, as applied last
        self._own_row = NO_REVISION  # era and version of the stored row
        self._restore_task: asyncio.Task[None] | None = None
        self._owner_join = TokenOwnerJoin(
            state=state,
            peer_client=peer_client,
            loop=loop,
            random=random,
            confirm_hosts=self._hosts_feed.confirm,
        )
        self.restored = asyncio.Event()
        self._own_record_changed = asyncio.Event()
        self._own_record_stored = asyncio.Event()
        self._pull_scheduled = False
        self._tasks: list[asyncio.Task[None]] = []
        peer_client.on_newer_state = self._schedule_pull

    def _make_feed(
        self,
        table: str,
        view: View,
        handle_snapshot: Callable[[Snapshot], None],
        coalesce_delay_s: Callable[[], float],
        leader: TableFeed | None = None,
    ) -> TableFeed:
        return TableFeed(
            table=table,
            view=view,
            handle_snapshot=handle_snapshot,
            coalesce_delay_s=coalesce_delay_s,
            state=self._state,
            store=self._store,
            era=self._store_era,
            loop=self._loop,
            random=self._random,
            leader=leader,
        )

    def start(self) -> None:
        """Start reading the feeds, writing the own record and pulling from peers."""
        for coroutine in (
            *(feed.run() for feed in self._feeds),
            self._write_own_record(),
            self._pull_while_store_unavailable(),
            self._confirm_views(),
            self._join_token_owners(),
        ):
            self._tasks.append(self._state.tasks.start(coroutine, self._loop))

    def stop(self) -> None:
        """Cancel the background tasks."""
        for task in self._tasks:
            task.cancel()

    def publish(self) -> None:
        """Schedule a write of this host's record to the store."""
        if self.build_own_record().retired:
            # Others own this host's tokens as soon as they see the record.
            self._state.token_role.release()
            self._state.update_quota(self._loop.time())
        self._own_record_stored.clear()
        self._own_record_changed.set()

    @property
    def published(self) -> bool:
        """Whether this host's record is stored as it is now."""
        return self._own_record_stored.is_set()

    async def wait_until_published(self, timeout_s: float) -> bool:
        """Wait until this host's record is stored.

        Args:
            timeout_s: Longest time to wait, in seconds.

        Returns:
            Whether the record was stored in time.

        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._own_record_stored.wait()
        return self.published

    def build_own_record(self) -> HostRecord:
        """Return this host's record, built from the present state of the node."""
        settings = self._state.settings
        listeners = settings.listeners
        return HostRecord(
            host=settings.host,
            address=listeners.advertised or listeners.peers,
            failure_domain=settings.failure_domain,
            serving=self._state.serving,
            upstream=self._state.local_upstream.current,
            started_ms=self._state.started_ms,
            joined=self._state.token_role.joined,
            revision=Revision(self._store_era.current or 0, self._own_row.version),
        )

    def _handle_restored_store(self, before: int, era: int) -> None:
        self._state.log.state(
            "store.restored", self._loop.time(), before=before, era=era
        )
        self._state.view_ages.suspend(self._loop.time() + RESTORE_TIME_S)
        self._verify_era()

    def _verify_era(self) -> None:
        for feed in self._feeds:
            feed.verify()

    def _log_unexpected_error(self, error: Exception) -> None:
        self._state.log.state("sync.fault", self._loop.time(), error=repr(error))

    def _handle_configuration_rows(self, snapshot: Snapshot) -> None:
        for row in snapshot.rows:
            if row.key == self._config_key and row.value is not None:
                self._apply_document(row.value, "store")
        prefix = self._evacuation_key_prefix
        changes = {
            FailureDomainId(row.key.removeprefix(prefix)): row.value is not None
            for row in snapshot.rows
            if row.key.startswith(prefix)
        }
        if self._state.evacuations.apply(
            changes, snapshot.revision, complete=snapshot.complete
        ):
            self._apply_evacuations("store")

    def _apply_evacuations(self, source: str) -> None:
        """Stop or resume sending requests to the upstreams of failure domains."""
        state = self._state
        now = self._loop.time()
        domains = state.evacuations.domains
        was_evacuated = self._evacuated
        self._evacuated = state.evacuated
        state.host_registry.evacuate(domains)
        if state.evacuated is not was_evacuated:
            self._upstream_runner.apply_evacuation()
        state.log.state(
            "evacuation.changed", now, domains=sorted(domains), source=source
        )
        known = {each.failure_domain for each in state.host_registry.members()}
        if unknown := sorted(domains - known):
            state.log.state("evacuation.unknown_domain", now, domains=unknown)

    def _apply_document(self, document: bytes, source: str) -> None:
        now = self._loop.time()
        previous_version = self._state.config_version
        try:
            configuration = self._decode_configuration(document)
        except ConfigurationFormatError as error:
            self._state.log.state("config.unreadable", now, error=str(error))
            return
        if self._state.apply_configuration(configuration, document, now):
            self._state.log.state(
                "config.in_force",
                now,
                version=configuration.version,
                before=previous_version,
                routes=len(configuration.routes),
                classes=self._state.class_count,
                source=source,
            )

    def _handle_host_rows(self, snapshot: Snapshot) -> None:
        era = snapshot.revision.era
        decoded = [self._decode_host_row(row, era) for row in snapshot.rows]
        records = [record for record in decoded if record is not None]
        self._merge_records(records, snapshot.revision, "store")
        self._check_own_row(snapshot, records)
        if self._restore_task is None:
            self._restore_task = self._state.tasks.start(
                self._restore_own_record(), self._loop
            )
            self._tasks.append(self._restore_task)

    def _decode_host_row(self, row: StoredRow, era: int) -> HostRecord | None:
        if row.value is None:
            return None
        try:
            record = decode_record(row.value, row.version)
            if record.host != row.key:
                raise RecordFormatError(
                    f"host: expected the key of the row, got {record.host}"
                )
            if record.revision.era > era:
                raise RecordFormatError(
                    f"era: expected at most {era}, got {record.revision.era}"
                )
        except RecordFormatError as error:
            self._state.log.state(
                "host.unreadable", self._loop.time(), key=row.key, error=str(error)
            )
            return None
        return record

    def _check_own_row(self, snapshot: Snapshot, records: list[HostRecord]) -> None:
        """Publish this host's record if the stored row is missing or differs.

        The store may have lost the row, or applied an earlier write late.
        """
        host = self._state.settings.host
        row = next((row for row in snapshot.rows if row.key == host), None)
        if row is None and not snapshot.complete:
            return
        seen_at = snapshot.revision
        if row is not None:
            seen_at = seen_at._replace(version=row.version)
        if seen_at <= self._own_row:
            return  # older than a write that has been acknowledged since
        deleted = row is None or row.value is None
        self._own_row = seen_at._replace(version=ABSENT) if deleted else seen_at
        if not self.restored.is_set():
            return
        stored = next((record for record in records if record.host == host), None)
        published = self._state.host_registry.find(host) is not None
        if published and stored != self.build_own_record():
            self.publish()

    def _merge_records(
        self, records: list[HostRecord], revision: Revision, source: str
    ) -> None:
        """Merge records into the host registry.

        Args:
            records: The records to merge.
            revision: Store revision up to which all changes are merged afterwards;
                `NO_REVISION` if this is not known.
            source: Origin of the records, for the log.

        """
        state = self._state
        now = self._loop.time()
        for record in records:
            known = state.host_registry.find(record.host)
            if known is not None and record.is_restart_of(known):
                state.load_balancer.reset_host(record.host)
        changed = state.host_registry.merge(records)
        state.host_registry.advance_revision(revision)
        for record in changed:
            upstream = record.upstream
            state.log.state(
                "host.learned",
                now,
                peer=record.host,
                serving=record.serving,
                upstream=upstream.id if upstream else None,
                status=upstream.status if upstream else None,
                revision=encode_revision(record.revision),
                source=source,
            )
        if changed:
            state.update_token_owners(now)

    async def _restore_own_record(self) -> None:
        """Restore the upstream from the record stored before this node restarted.

        A record of an older era may lack changes that the store has lost, so the peers
        are asked for a newer one. Publishes the record if the stored one is outdated.
        """
        try:
            record = self._find_own_record()
            era = record.revision.era if record is not None else 0
            if era != self._store_era.current:
                await self._pull_own_record()
                record = self._find_own_record()
            if record is not None:
                self._restore_upstream(record)
                self._restore_token_role(record)
                if self.build_own_record() != record:
                    self.publish()
        finally:
            self.restored.set()

    def _find_own_record(self) -> HostRecord | None:
        return self._state.host_registry.find(self._state.settings.host)

    def _restore_upstream(self, record: HostRecord) -> None:
        upstream = record.upstream
        if (
            upstream is not None
            and upstream.address != self._state.settings.upstream_address
        ):
            upstream = None
        self._state.local_upstream.restore(
            upstream, confirmed=record.revision.era == self._store_era.current
        )
        self._upstream_runner.apply_announcement()

    def _restore_token_role(self, record: HostRecord) -> None:
        """Resume the role of this host's earlier process, if others still know it."""
        if (
            record.joined
            and not record.retired
            and record.revision.era == self._store_era.current
        ):
            self._state.token_role.restore()
            self._state.update_quota(self._loop.time())

    async def _join_token_owners(self) -> None:
        """Make this host own its tokens, and publish that."""
        await self.restored.wait()
        await self._owner_join.run()
        self.publish()

    def learn_member(self, record: HostRecord) -> None:
        """Merge the record of a host that joins the fleet."""
        self._merge_records([record], NO_REVISION, record.host)

    async def _pull_own_record(self) -> None:
        """Merge the newest record of this host that several peers know."""
        host = self._state.settings.host
        peers = self._state.host_registry.peers(host)
        while len(peers) > MAX_CONFIRMING_PEERS:
            peers.pop(int(self._random() * len(peers)))
        queries = (
            self._peer_client.query(peer, RECORD_TARGET, {"host": host})
            for peer in peers
        )
        for reply in await asyncio.gather(*queries):
            try:
                records = decode_records(reply.get("hosts", [])) if reply else []
            except RecordFormatError as error:
                self._log_malformed_reply(error)
                continue
            self._merge_records(records, NO_REVISION, "peer")

    async def _write_own_record(self) -> None:
        await self.restored.wait()
        backoff_s = MIN_BACKOFF_S
        while True:
            await self._own_record_changed.wait()
            self._own_record_changed.clear()
            if not self._state.local_upstream.confirmed:
                continue  # the next announcement publishes the record
            try:
                await self._store_own_record(self.build_own_record())
                backoff_s = MIN_BACKOFF_S
            except Exception as error:  # the write is retried until it succeeds
                if not isinstance(error, STORE_FAILURES):
                    self._log_unexpected_error(error)
                self._own_record_changed.set()
                self._state.log.state(
                    "host.not_stored", self._loop.time(), error=str(error)
                )
                await asyncio.sleep(backoff_s * (0.5 + self._random()))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _store_own_record(self, record: HostRecord) -> None:
        """Write this host's record; schedule another write if it has to be repeated."""
        value = encode_record(record)
        expected = record.revision.version
        try:
            written = await self._store.write(HOSTS_TABLE, record.host, value, expected)
        except ConflictError as error:
            self._resolve_conflict(error, expected)
            return
        self._store_era.observe(written.era)
        self._own_row = written
        self._merge_records([decode_record(value, written.version)], NO_REVISION, "own")
        if not self._state.token_role.joined:
            self._hosts_feed.confirm()  # joining needs all records stored before
        if written.era != record.revision.era:
            self._own_record_changed.set()  # a row names the era that it is written in
        if not self._own_record_changed.is_set():
            self._own_record_stored.set()

    def _resolve_conflict(self, error: ConflictError, expected: int) -> None:
        """Schedule another write, which expects the version that the row has.

        A conflict arises when an earlier write of this node was applied late, or when
        the store has returned from an older copy.

        Raises:
            OutcomeUnknownError: The conflict does not tell another version.

        """
        self._store_era.observe(error.era)
        row = error.row
        version = ABSENT if row is None or row.value is None else row.version
        if version == expected:
            raise OutcomeUnknownError(f"unexplained conflict at version {expected}")
        self._own_row = Revision(error.era, version)
        self._own_record_changed.set()

    def _schedule_pull(self, record: HostRecord) -> None:
        if not self._pull_scheduled:
            self._pull_scheduled = True
            self._state.tasks.start(self._pull_after_delay(record), self._loop)

    async def _pull_after_delay(self, record: HostRecord) -> None:
        state = self._state
        version, revision = state.config_version, state.host_registry.revision
        try:
            await asyncio.sleep(PEER_PULL_DELAY_S)
            if (state.config_version, state.host_registry.revision) == (
                version,
                revision,
            ):
                await self._pull(record)
        finally:
            self._pull_scheduled = False

    async def _pull_while_store_unavailable(self) -> None:
        while True:
            await asyncio.sleep(PEER_PULL_INTERVAL_S * (0.75 + self._random() / 2))
            if all(feed.healthy for feed in self._feeds):
                continue
            peers = self._state.host_registry.peers(self._state.settings.host)
            if peers:
                await self._pull(peers[int(self._random() * len(peers))])

    async def _confirm_views(self) -> None:
        """Confirm the views at regular intervals, so that lost changes are noticed."""
        while True:
            await asyncio.sleep(CONFIRM_INTERVAL_S * (0.9 + self._random() / 5))
            try:
                await self._confirm_once()
            except Exception as error:  # later confirmations must still be made
                self._log_unexpected_error(error)

    async def _confirm_once(self) -> None:
        """Confirm the views by a peer, or by the store if none has a young one."""
        state = self._state
        confirmers = select_confirmers(
            state.host_registry.peers(state.settings.host),
            own=state.settings,
            is_reachable=state.load_balancer.is_reachable,
            draw=self._random(),
        )
        is_reader = not confirmers
        if is_reader and not self._config_feed.reading_for_peers:
            self._config_feed.confirm()
        self._config_feed.reading_for_peers = is_reader
        # The confirmations deliver the changes of the hosts as well.
        if is_reader and self._hosts_feed.on_demand:
            self._hosts_feed.confirm()
        self._hosts_feed.on_demand = not is_reader
        if is_reader:
            return
        for record in confirmers:
            await self._pull(record)
            if state.view_ages.oldest_s(self._loop.time()) <= MAX_PEER_AGE_S:
                return
        for feed in self._feeds:
            feed.confirm()

    def _confirm_hosts_by_version(self) -> None:
        """Confirm the host registry by the version that the other feed has read.

        All tables share one version counter. A call is needed only if it has advanced
        past the version up to which the hosts have been read.
        """
        newest, known = self._config_feed.position, self._hosts_feed.position
        if newest is None or known is None:
            return
        if known >= newest:
            confirmed_at = self._state.view_ages.confirmed_at(View.CONFIGURATION)
            self._state.view_ages.confirm(View.HOSTS, confirmed_at)
        elif self._config_feed.reading_for_peers:
            self._hosts_feed.confirm()

    async def _pull(self, record: HostRecord) -> None:
        state = self._state
        payload: dict[str, Any] = {
            "config": state.config_version,
            "revision": encode_revision(state.host_registry.revision),
        }
        asked_at = self._loop.time()
        if state.divides_shortage(asked_at):
            payload["host"] = state.settings.host
            payload["demands"] = encode_demands(state.fair_share.own.largest(asked_at))
        reply = await self._peer_client.query(record, STATE_TARGET, payload)
        if reply is None:
            return
        try:
            records = decode_records(reply.get("hosts", []))
            revision = decode_revision(reply.get("revision", 0))
            self._merge_records(records, revision, record.host)
            document = reply.get("document")
            if isinstance(document, str):
                self._apply_document(document.encode(), record.host)
            evacuations = decode_evacuations(reply.get("evacuations"))
            if evacuations is not None and state.evacuations.adopt(*evacuations):
                self._apply_evacuations(record.host)
            demands = decode_demands(reply.get("demands"))
            if demands is not None:
                state.fair_share.record_others(demands, asked_at)
            for view, age_s in decode_ages(reply.get("ages")).items():
                state.view_ages.confirm(view, asked_at - age_s)
        except (RecordFormatError, TypeError, ValueError) as error:
            self._log_malformed_reply(error)
            return
        if revision.era > (self._store_era.current or 0):
            self._verify_era()
        own_record = self._find_own_record()
        if own_record is not None and not state.local_upstream.confirmed:
            self._restore_upstream(own_record)
            self.publish()

    def _log_malformed_reply(self, error: Exception) -> None:
        self._state.log.failure("peer.malformed", self._loop.time(), error=str(error))
