"""Follows tables of the store, across failures and returns from an older copy."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lavenderway_relay.confirmation import CONFIRM_INTERVAL_S, CONFIRM_TIMEOUT_S
from lavenderway_relay.store import (
    HistoryLostError,
    OutcomeUnknownError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_relay.revision import Revision
    from lavenderway_relay.state import NodeState
    from lavenderway_relay.store import Snapshot, Store
    from lavenderway_relay.view_age import View

FEED_LONG_POLL_S = 25.0  # the store allows at most 30 s
VERIFYING_POLL_S = 0.001  # answered at once, if only to learn the era or the version
WAIT_PRECISION = 0.9  # the store's clock and this one may differ a little
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0  # bounds how late a recovered store is noticed
# Longest time for which a feed leaves it to another one to look for the recovery of the
# store, in case only calls of that feed fail.
MAX_LEADER_WAIT_S = 5.0

STORE_FAILURES = (StoreUnavailableError, OutcomeUnknownError)


class StoreEra:
    """The store's present era, by the responses received.

    Args:
        on_restored: Called with the eras before and after when a new one is seen.

    Attributes:
        current: The newest era seen; None before the first response.

    """

    def __init__(self, *, on_restored: Callable[[int, int], None]) -> None:
        self.current: int | None = None
        self._on_restored = on_restored

    def observe(self, era: int) -> None:
        """Record the era of a response.

        Raises:
            OutcomeUnknownError: The response is of an older era, so that what it
                reports may have been lost since.

        """
        before = self.current
        if before is not None and era < before:
            raise OutcomeUnknownError(
                f"expected a response of era {before}, got one of era {era}"
            )
        self.current = era
        if before is not None and era > before:
            self._on_restored(before, era)


class TableFeed:
    """Reads a table and follows its changes.

    Args:
        table: Name of the table.
        view: The view that the table's rows make up.
        handle_snapshot: Called with each snapshot.
        coalesce_delay_s: Returns the pause after changes, so that one call reads those
            made meanwhile, in seconds.
        state: State of the node.
        store: Client of the platform's table service.
        era: The store's present era.
        loop: The event loop.
        random: Returns a random number in [0, 1).
        leader: Feed that looks for the recovery of the store on behalf of this one;
            None for a feed that looks itself.

    Attributes:
        healthy: Whether the last call succeeded; None before the first.
        reading_for_peers: Whether to poll for `CONFIRM_INTERVAL_S` instead of
            `FEED_LONG_POLL_S`, so that each response confirms the view for the peers
            that ask this node.
        on_demand: Whether to call the store only when told to confirm the view; other
            nodes tell of changes then.
        on_confirmed: Called after each response that confirms the view.
        position: Revision up to which the table has been read; None before.

    """

    def __init__(
        self,
        *,
        table: str,
        view: View,
        handle_snapshot: Callable[[Snapshot], None],
        coalesce_delay_s: Callable[[], float],
        state: NodeState,
        store: Store,
        era: StoreEra,
        loop: asyncio.AbstractEventLoop,
        random: Callable[[], float],
        leader: TableFeed | None = None,
    ) -> None:
        self._table = table
        self._view = view
        self._handle_snapshot = handle_snapshot
        self._coalesce_delay_s = coalesce_delay_s
        self._state = state
        self._store = store
        self._era = era
        self._loop = loop
        self._random = random
        self._leader = leader
        self._recovered = asyncio.Event()
        self.on_confirmed: Callable[[], None] = lambda: None
        self.position: Revision | None = None
        self._current_at = float("-inf")  # time up to which the last response counts
        self.reading_for_peers = False
        self.on_demand = False
        self._verifying = False
        self._verification_requested = asyncio.Event()
        self._poll_timeout: asyncio.Timeout | None = None
        self.healthy: bool | None = None

    def confirm(self) -> None:
        """Confirm the view by a short poll, unless calls are being retried anyway."""
        if self.healthy is not False:
            self.verify()

    def verify(self) -> None:
        """End a pending long poll or pause, and learn the newest state at once.

        The response to the pending poll may have been lost, or the store may have
        returned from an older copy.
        """
        self._verifying = True
        self._verification_requested.set()
        if self._poll_timeout is not None and not self._poll_timeout.expired():
            self._poll_timeout.reschedule(self._loop.time())

    async def run(self) -> None:
        """Follow the table until cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                snapshot = await self._read()
                if snapshot is None:
                    continue
                self._handle(snapshot)
                self._state.view_ages.confirm(self._view, self._current_at)
                self.on_confirmed()
                backoff_s = MIN_BACKOFF_S
                self._update_health(None)
                if snapshot.rows:
                    await self._pause()
                await self._wait_for_demand()
            except HistoryLostError:
                self._state.log.state(
                    "feed.reread", self._loop.time(), table=self._table
                )
                self.position = None
            except Exception as error:  # the loop must survive any store response
                if not isinstance(error, STORE_FAILURES):
                    self._state.log.state(
                        "sync.fault", self._loop.time(), error=repr(error)
                    )
                    self.position = None
                # The store may return from an older copy. A long poll from a version
                # that it then gives out again would miss the changes up to there.
                self._verifying = True
                self._update_health(error)
                await self._wait_for_recovery(backoff_s * (0.5 + self._random()))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _wait_for_recovery(self, backoff_s: float) -> None:
        """Wait until the store may have recovered."""
        if self._leader is None or self._leader.healthy is not False:
            await asyncio.sleep(backoff_s)
            return
        try:
            async with asyncio.timeout(MAX_LEADER_WAIT_S):
                await self._leader.wait_until_recovered()
        except TimeoutError:
            pass

    async def wait_until_recovered(self) -> None:
        """Wait until the next call after a failure has succeeded."""
        await self._recovered.wait()

    async def _pause(self) -> None:
        """Let further changes accumulate, unless the view is to be verified."""
        self._verification_requested.clear()
        if self._verifying:
            return
        try:
            async with asyncio.timeout(self._coalesce_delay_s()):
                await self._verification_requested.wait()
        except TimeoutError:
            pass

    async def _wait_for_demand(self) -> None:
        """Wait until the view is to be confirmed, if the store is called on demand."""
        while self.on_demand and not self._verifying:
            self._verification_requested.clear()
            await self._verification_requested.wait()

    async def _read(self) -> Snapshot | None:
        """Return the whole table or its next changes; None to call again at once."""
        verifying, self._verifying = self._verifying, False
        self._current_at = self._loop.time()
        position = self.position
        if position is not None and position.era != self._era.current:
            position = None
        if position is None:
            snapshot = await self._store.read_table(self._table)
        else:
            polled = await self._poll(position.version, verifying=verifying)
            if polled is None:
                return None
            snapshot = polled
        self._era.observe(snapshot.revision.era)
        if position is not None and snapshot.revision.era != position.era:
            return None  # the version belongs to another history of the table
        return snapshot

    async def _poll(self, after: int, *, verifying: bool) -> Snapshot | None:
        """Return the changes after a version; None if the poll was ended early.

        Raises:
            OutcomeUnknownError: A short poll got no response in time.

        """
        short = verifying or self.reading_for_peers
        wait_s = (
            VERIFYING_POLL_S
            if verifying
            else CONFIRM_INTERVAL_S
            if short
            else FEED_LONG_POLL_S
        )
        expires_at = self._loop.time() + wait_s + CONFIRM_TIMEOUT_S if short else None
        try:
            async with asyncio.timeout_at(expires_at) as self._poll_timeout:
                snapshot = await self._store.follow(self._table, after, wait_s)
        except TimeoutError:
            if expires_at is not None and self._loop.time() >= expires_at:
                raise OutcomeUnknownError(
                    f"no response to a poll of {wait_s:g} s in {CONFIRM_TIMEOUT_S:g} s"
                ) from None
            return None
        finally:
            self._poll_timeout = None
        if not snapshot.rows:
            # Nothing has changed for the whole wait, if the store has waited.
            waited_s = WAIT_PRECISION * wait_s
            if self._loop.time() - self._current_at >= waited_s:
                self._current_at += waited_s
        return snapshot

    def _handle(self, snapshot: Snapshot) -> None:
        for error_text in snapshot.errors:
            self._state.log.state(
                "row.unreadable",
                self._loop.time(),
                table=self._table,
                error=error_text,
            )
        self._handle_snapshot(snapshot)
        self.position = snapshot.revision

    def _update_health(self, error: Exception | None) -> None:
        healthy = error is None
        if self.healthy is healthy:
            return
        self.healthy = healthy
        if healthy:
            self._recovered.set()
        else:
            self._recovered.clear()
        event = "store.regained" if healthy else "store.lost"
        self._state.log.state(
            event,
            self._loop.time(),
            table=self._table,
            error=str(error) if error else None,
        )
