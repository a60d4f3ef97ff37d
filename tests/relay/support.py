"""A scripted store, and the state of a node without listeners."""

import asyncio

from lavenderway_core.ids import FailureDomainId, HostId, ServiceId
from lavenderway_platform.header_names import PLATFORM_HEADER_NAMES
from lavenderway_relay.announcements import LocalUpstream
from lavenderway_relay.load_balancer import LoadBalancer
from lavenderway_relay.logs import LogStream
from lavenderway_relay.model import Address, Listeners, NodeSettings
from lavenderway_relay.quota import WorkspaceTokens
from lavenderway_relay.revision import Revision
from lavenderway_relay.state import NodeState
from lavenderway_relay.store import (
    ABSENT,
    ConflictError,
    HistoryLostError,
    Snapshot,
    StoredRow,
    StoreUnavailableError,
)

ANY_ADDRESS = Address("10.0.0.1", 80)
OWN_HOST = HostId("own")


def make_state(*, log: int) -> NodeState:
    """Return the state of a node that knows no configuration and no hosts."""
    settings = NodeSettings(
        host=OWN_HOST,
        failure_domain=FailureDomainId("east"),
        service=ServiceId("archive"),
        upstream_address=ANY_ADDRESS,
        listeners=Listeners(
            callers=ANY_ADDRESS,
            peers=ANY_ADDRESS,
            readiness=ANY_ADDRESS,
            announcements=ANY_ADDRESS,
        ),
        store_address=ANY_ADDRESS,
        shutdown_grace_s=5.0,
        announcement_interval_s=1.0,
    )
    return NodeState(
        settings=settings,
        header_names=PLATFORM_HEADER_NAMES,
        log=LogStream(host=OWN_HOST, descriptor=log),
        load_balancer=LoadBalancer(
            host=OWN_HOST,
            failure_domain=settings.failure_domain,
            random=lambda: 0.5,
        ),
        local_upstream=LocalUpstream(interval_s=1.0),
        quota=WorkspaceTokens(),
        started_ms=5000,
    )


class ScriptedStore:
    """Store in memory that can fail, and return from an older copy.

    Attributes:
        revision: Revision of the last write.
        conflicts: Whether every write conflicts without telling the row.
        calls: Number of calls received.
        writes: Number of rows written by `write`.

    """

    def __init__(self) -> None:
        self.revision = Revision(0, 0)
        self._error: Exception | None = None
        self.conflicts = False
        self.calls = 0
        self.writes = 0
        self._rows: dict[tuple[str, str], StoredRow] = {}
        self._changed = asyncio.Event()
        self._silent = False

    def put(self, table: str, key: str, value: bytes, *, wake: bool = True) -> None:
        self.revision = self.revision._replace(version=self.revision.version + 1)
        self._rows[table, key] = StoredRow(key, self.revision.version, value)
        if wake:
            self._wake()

    def fail(self, error: Exception | None) -> None:
        """Let pending and later calls raise an error; None to serve calls again."""
        self._error = error
        self._wake()

    def silence(self) -> None:
        """Never respond to pending and later calls, until `respond`."""
        self._silent = True
        self._wake()

    def respond(self) -> None:
        """Respond to later calls again; the responses to earlier ones stay lost."""
        self._silent = False

    def find(self, table: str, key: str) -> StoredRow | None:
        return self._rows.get((table, key))

    def save_copy(self) -> tuple[int, dict[tuple[str, str], StoredRow]]:
        return self.revision.version, self._rows.copy()

    def restore(
        self,
        copy: tuple[int, dict[tuple[str, str], StoredRow]],
        *,
        wake: bool = True,
    ) -> None:
        version, rows = copy
        self.revision = Revision(self.revision.era + 1, version)
        self._rows = rows.copy()
        if wake:
            self._wake()

    async def read_table(self, table: str) -> Snapshot:
        await self._check_call()
        return Snapshot(self._changes(table, 0), self.revision, [], complete=True)

    async def follow(self, table: str, after: int, wait_s: float) -> Snapshot:
        await self._check_call()
        if after > self.revision.version:
            raise HistoryLostError(table)
        era = self.revision.era
        try:
            async with asyncio.timeout(wait_s):
                while not self._changes(table, after):
                    await self._changed.wait()
                    await self._check_call()
                    if era != self.revision.era:
                        raise StoreUnavailableError("the store was restored")
        except TimeoutError:
            pass
        rows = self._changes(table, after)
        return Snapshot(rows, self.revision, [], complete=False)

    async def write(
        self, table: str, key: str, value: bytes, expected: int
    ) -> Revision:
        await self._check_call()
        if self.conflicts:
            raise ConflictError(None, self.revision.era)
        row = self.find(table, key)
        if expected != (ABSENT if row is None else row.version):
            raise ConflictError(row, self.revision.era)
        self.writes += 1
        self.put(table, key, value)
        return self.revision

    async def _check_call(self) -> None:
        self.calls += 1
        await asyncio.sleep(0)
        if self._silent:
            await asyncio.Event().wait()
        if self._error is not None:
            raise self._error

    def _changes(self, table: str, after: int) -> list[StoredRow]:
        rows = [row for (name, _), row in self._rows.items() if name == table]
        return [row for row in rows if row.version > after]

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
