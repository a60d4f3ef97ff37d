"""Keeps each workspace within its rate and burst over all hosts together.

Every host earns an equal part of each rate, and holds an equal part of each burst. A
host that runs short asks others for tokens. A token is taken from the lender before it
is sent, so a lost message loses tokens and never makes any. No host has to be reachable
for the bound to hold: what the hosts earn adds up to the rate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.bucket import TokenBucket
from lavenderway_core.ids import WorkspaceId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lavenderway_relay.model import Workspace

LOW_MARK_S = 0.15  # of the local demand; below it tokens are asked for ahead of need
LOAN_S = 0.5  # of the local demand; what one loan should last
RESERVE_S = 0.3  # of the lender's own demand; what it keeps
MIN_LOAN = 0.2  # tokens; a host may hold less than one for a small workspace
MIN_WISH = 1.0  # tokens, for the request at hand
DEMAND_GAIN = 0.3  # weight of the newest tick in the demand
PAUSE_S = 0.1  # between two rounds of asking that brought nothing


class Wish(NamedTuple):
    """Tokens that this host would borrow."""

    workspace: WorkspaceId
    amount: float


class _Allowance:
    """Tokens of one workspace on this host."""

    __slots__ = ("asked", "borrowed", "bucket", "demand_per_s", "pause_until")

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = bucket
        self.borrowed = 0.0  # apart from the bucket, whose size is the own part
        self.asked = 0
        self.demand_per_s = 0.0
        self.pause_until = 0.0


class QuotaShares:
    """This host's part of every workspace's rate and burst.

    Args:
        extra_burst: Tokens added to the burst of each workspace, over all hosts, for
            what is bound up in loans and parts of a token.

    """

    def __init__(self, *, extra_burst: float = 0.0) -> None:
        self.extra_burst = extra_burst
        self._allowances: dict[WorkspaceId, _Allowance] = {}
        self._last_tick = 0.0

    def resize(
        self, workspaces: Iterable[Workspace], *, part: float, now: float
    ) -> None:
        """Follow the configuration and the number of hosts.

        Args:
            workspaces: The workspaces in force.
            part: Part of each rate and burst that this host holds, 0 to 1.
            now: Present time in seconds.

        """
        limited = {w.id: w for w in workspaces if w.rate_per_s > 0}
        for gone in self._allowances.keys() - limited.keys():
            del self._allowances[gone]
        for workspace in limited.values():
            rate_per_s = workspace.rate_per_s * part
            burst = (workspace.burst + self.extra_burst) * part
            known = self._allowances.get(workspace.id)
            if known is None:
                bucket = TokenBucket(rate_per_s=rate_per_s, burst=burst, now=now)
                self._allowances[workspace.id] = _Allowance(bucket)
            else:
                known.bucket.resize(rate_per_s=rate_per_s, burst=burst, now=now)

    def take(self, workspace: WorkspaceId, now: float) -> bool:
        """Take one token; a workspace without a limit needs none."""
        allowance = self._allowances.get(workspace)
        if allowance is None:
            return True
        allowance.asked += 1
        from_bucket = max(0.0, 1.0 - allowance.borrowed)
        if from_bucket and not allowance.bucket.take(from_bucket, now):
            return False
        allowance.borrowed -= 1.0 - from_bucket
        return True

    def give_back(self, workspace: WorkspaceId) -> None:
        """Return the token of a request that reached no upstream."""
        allowance = self._allowances.get(workspace)
        if allowance is not None:
            allowance.borrowed += 1.0

    def retry_after(self, workspace: WorkspaceId, now: float) -> float:
        """Return when a token is likely to be there, in seconds."""
        allowance = self._allowances.get(workspace)
        if allowance is None or allowance.bucket.rate_per_s <= 0:
            return 1.0
        return allowance.bucket.wait_for(1.0, now)

    def lend(self, workspace: WorkspaceId, amount: float, now: float) -> float:
        """Take tokens for another host out of this host's part; return how many."""
        allowance = self._allowances.get(workspace)
        if allowance is None:
            return 0.0
        bucket = allowance.bucket
        bucket.refill(now)
        held = bucket.tokens + allowance.borrowed
        spare = held - RESERVE_S * allowance.demand_per_s
        granted = min(amount, spare)
        if granted < MIN_LOAN:
            return 0.0
        from_borrowed = min(granted, allowance.borrowed)
        allowance.borrowed -= from_borrowed
        bucket.tokens -= granted - from_borrowed
        return granted

    def receive(self, workspace: WorkspaceId, amount: float) -> None:
        """Take in tokens that another host has lent."""
        allowance = self._allowances.get(workspace)
        if allowance is not None:
            allowance.borrowed += amount

    def wish(self, workspace: WorkspaceId, now: float) -> Wish | None:
        """Return what to borrow for a request that found no token."""
        allowance = self._allowances.get(workspace)
        if allowance is None or now < allowance.pause_until:
            return None
        return Wish(workspace, max(MIN_WISH, allowance.demand_per_s * LOAN_S))

    def pause(self, workspace: WorkspaceId, now: float) -> None:
        """Ask for nothing for a while after a round that brought nothing."""
        allowance = self._allowances.get(workspace)
        if allowance is not None:
            allowance.pause_until = now + PAUSE_S

    def tick(self, now: float) -> list[Wish]:
        """Measure the demand; return what to borrow ahead of need."""
        elapsed = now - self._last_tick
        self._last_tick = now
        wishes = []
        for workspace, allowance in self._allowances.items():
            if elapsed > 0:
                seen_per_s = allowance.asked / elapsed
                change = DEMAND_GAIN * (seen_per_s - allowance.demand_per_s)
                allowance.demand_per_s += change
            allowance.asked = 0
            bucket = allowance.bucket
            bucket.refill(now)
            demand = allowance.demand_per_s
            outruns = demand > bucket.rate_per_s
            held = bucket.tokens + allowance.borrowed
            if outruns and held < max(1.0, LOW_MARK_S * demand):
                wish = self.wish(workspace, now)
                if wish is not None:
                    wishes.append(wish)
        return wishes
