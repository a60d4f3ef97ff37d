"""Which requests an overloaded upstream refuses on arrival.

The level is a margin importance and, within it, a cutoff for each workspace. It applies
to root requests, at the first service that they reach. Requests more important than the
margin are admitted, less important ones refused. At the margin a request is admitted
when the hash of its root request lies below the cutoff of its workspace, so that a
retry meets the same fate at each host. Cutoffs follow from max-min fair shares of what
the upstream gets done.

A window in which requests failed after admission, here or at calls further down, lowers
the target by their part; a clean one raises it a little. The
compound level and the feedback per window follow DAGOR (Zhou et al., "Overload Control
for Scaling WeChat Microservices", 2018), which has no workspaces.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from lavenderway_core.importance import Importance

if TYPE_CHECKING:
    from lavenderway_core.ids import WorkspaceId

WINDOW_S = 0.25
MAX_WINDOW_S = 0.5
MIN_EVENTS = 4
MAX_FAILED_RATIO = 0.1
RAISE_STEP = 0.06  # part of the target, doubled with each clean window in a row
MAX_RAISE_STEP = 1.0
FULL_PRESSURE = 1.0  # from it on every raise is a small one
SPARE_PRESSURE = 0.7  # below it there is room for far more
SPARE_STEP = 2.0
RAISE_PER_S = 2.0
DONE_GAIN = 0.5
MAX_CUT = 0.5
DEMAND_GAIN = 0.4
HIDDEN_DECAY = 0.98  # per window, of a demand that is refused elsewhere already
MIN_CUTOFF = 0.02
NOTHING_SHED = len(Importance)
RANK_RANGE = 1 << 32

Demand = dict["WorkspaceId | None", float]


def rank_root(root: str) -> float:
    """Return the place of a root request in the order of shedding, from 0 to 1."""
    return (xxh64_intdigest(root.encode()) % RANK_RANGE) / RANK_RANGE


class ShedLevel:
    """Level of one upstream.

    Args:
        now: Present time in seconds.

    """

    def __init__(self, *, now: float) -> None:
        self.margin = NOTHING_SHED
        self.cutoffs: Demand = {}
        self._window_starts = now
        self._target_per_s = 0.0
        self._done_per_s = 0.0
        self._done = 0
        self._failed = 0
        self._cut_at = float("-inf")
        self._clean = 0
        self._pressure = FULL_PRESSURE
        self._seen: list[Counter[WorkspaceId | None]] = [Counter() for _ in Importance]
        self._demand: list[Demand] = [{} for _ in Importance]
        self._weights: Demand = {}

    def admits(
        self, importance: Importance, workspace: WorkspaceId | None, rank: float
    ) -> bool:
        """Tell whether a request is admitted at the present level."""
        if importance != self.margin:
            return importance < self.margin
        return rank < self.cutoffs.get(workspace, 1.0)

    def record_arrival(
        self,
        importance: Importance,
        workspace: WorkspaceId | None,
        weight: float,
        *,
        admitted: bool,
    ) -> None:
        """Count a request."""
        self._weights[workspace] = weight
        if admitted:
            self._seen[importance][workspace] += 1

    def record_success(self) -> None:
        """Count a whole answer."""
        self._done += 1

    def record_failure(self, arrived: float) -> None:
        """Count a request that was admitted and failed by overload.

        One that arrived before the last cut says nothing about the level since then.
        """
        if arrived >= self._cut_at:
            self._failed += 1

    def cutoff_for(self, workspace: WorkspaceId | None) -> float:
        """Return the cutoff of a workspace at the margin."""
        return self.cutoffs.get(workspace, 1.0)

    def roll(self, now: float, pressure: float = 1.0) -> bool:
        """Close the window if it has lasted long enough, and set the next level.

        Args:
            now: Present time in seconds.
            pressure: Use of the limits here and further down.

        Returns:
            Whether the window was closed.

        """
        elapsed_s = now - self._window_starts
        enough = self._done + self._failed >= MIN_EVENTS or elapsed_s > MAX_WINDOW_S
        enough = enough or pressure < SPARE_PRESSURE
        if elapsed_s < WINDOW_S or not enough:
            return False
        self._pressure = pressure
        self._update_demand(elapsed_s)
        done_per_s = self._done / elapsed_s
        self._done_per_s += (done_per_s - self._done_per_s) * DONE_GAIN
        overloaded = self._failed > max(1.0, self._done * MAX_FAILED_RATIO)
        if overloaded or self.margin < NOTHING_SHED:
            self._target_per_s = self._next_target(
                elapsed_s, now, overloaded=overloaded
            )
            self._set_level(self._target_per_s)
        self._window_starts = now
        self._done = 0
        self._failed = 0
        for seen in self._seen:
            seen.clear()
        return True

    def _next_target(self, elapsed_s: float, now: float, *, overloaded: bool) -> float:
        """Return the requests per second to admit next."""
        if not overloaded:
            step = self._raise_step()
            self._clean += 1
            base = max(self._target_per_s, self._done_per_s)
            return base * (1 + step) + RAISE_PER_S * elapsed_s
        self._clean = 0
        self._cut_at = now
        if self.margin == NOTHING_SHED:
            return max(1.0, self._done_per_s)
        failed = self._failed / (self._failed + self._done)
        return max(1.0, self._target_per_s * (1 - min(MAX_CUT, failed)))

    def _raise_step(self) -> float:
        """Return by which part of the target to raise it after a clean window."""
        if self._pressure < SPARE_PRESSURE:
            return SPARE_STEP
        if self._pressure >= FULL_PRESSURE:
            return RAISE_STEP
        return min(MAX_RAISE_STEP, RAISE_STEP * 2.0**self._clean)

    def _update_demand(self, elapsed_s: float) -> None:
        for importance in Importance:
            demand = self._demand[importance]
            if importance > self.margin:
                for workspace in demand:
                    demand[workspace] *= HIDDEN_DECAY
                continue
            seen = self._seen[importance]
            for workspace in {*demand, *seen}:
                visible = 1.0
                if importance == self.margin:
                    visible = self.cutoffs.get(workspace, 1.0)
                if visible < MIN_CUTOFF:
                    continue
                rate = seen[workspace] / elapsed_s / visible
                held = demand.get(workspace, rate)
                demand[workspace] = held + (rate - held) * DEMAND_GAIN

    def _set_level(self, target: float) -> None:
        left = target
        for importance in Importance:
            demand = self._demand[importance]
            total = sum(demand.values())
            if total > left:
                self.margin = importance
                self.cutoffs = self._cut(demand, left)
                return
            left -= total
        self.margin = NOTHING_SHED
        self.cutoffs = {}

    def _cut(self, demand: Demand, capacity: float) -> Demand:
        shares = share_fairly(demand, self._weights, capacity)
        return {
            workspace: shares[workspace] / rate if rate > 0 else 1.0
            for workspace, rate in demand.items()
        }


def share_fairly(demand: Demand, weights: Demand, capacity: float) -> Demand:
    """Return the weighted max-min fair parts of a capacity.

    Args:
        demand: Requests per second of each workspace.
        weights: Weights; 1 for a workspace that is not named.
        capacity: Requests per second to share.

    """
    shares: Demand = {}
    left = sorted(demand, key=lambda each: demand[each] / weights.get(each, 1.0))
    total = sum(weights.get(each, 1.0) for each in left)
    for workspace in left:
        weight = weights.get(workspace, 1.0)
        share = min(demand[workspace], max(0.0, capacity) * weight / total)
        shares[workspace] = share
        capacity -= share
        total -= weight
    return shares
