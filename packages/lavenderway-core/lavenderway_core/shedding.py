"""Load shedding on arrival: by importance, then fairly between workspaces.

The admission level consists of a margin, which is an importance class, and a cutoff
per workspace. It applies to root requests only, at the first service that they reach.
Requests more important than the margin are admitted, less important ones are refused.
At the margin a request is admitted if its rank, a hash of the root request's ID, lies
below the cutoff of its workspace. Thanks to the hash, all hosts rank a request and its
retries alike. The cutoffs give each workspace its max-min fair share of the rate that
the upstream sustains.

The level is updated once per window towards a target rate. If the share of admitted
requests that failed because of overload, here or at nested calls, exceeds a tolerance,
the target is lowered by that share; otherwise it is raised. The two-part level and the
feedback per window follow DAGOR (Zhou et al., "Overload Control for Scaling WeChat
Microservices", 2018), which does not distinguish workspaces.
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
MIN_WINDOW_REQUESTS = 4
MAX_FAILED_RATIO = 0.1  # failed divided by completed requests
RAISE_RATIO = 0.06  # of the target, doubled with each further window without overload
MAX_RAISE_RATIO = 1.0
FULL_UTILIZATION = 1.0  # at or above, the target is raised by RAISE_RATIO only
SPARE_UTILIZATION = 0.7  # below, the target is raised by SPARE_RAISE_RATIO
SPARE_RAISE_RATIO = 2.0
RAISE_PER_S_PER_S = 2.0  # requests per second, added to the target every second
THROUGHPUT_EWMA_WEIGHT = 0.5
MAX_LOWERING_RATIO = 0.5
DEMAND_EWMA_WEIGHT = 0.4
# Factor per window for classes less important than the margin. Entry nodes already
# refuse them, so their demand cannot be observed here.
UNOBSERVED_DEMAND_DECAY = 0.98
MIN_CUTOFF = 0.02  # below, too few requests are admitted to estimate the demand
ADMIT_ALL_MARGIN = len(Importance)
RANK_RANGE = 1 << 32

PerWorkspace = dict["WorkspaceId | None", float]


def rank_root(root: str) -> float:
    """Return the rank of a root request in the shedding order.

    Ranks are uniform in [0, 1); higher ones are shed first.
    """
    return (xxh64_intdigest(root.encode()) % RANK_RANGE) / RANK_RANGE


class AdmissionLevel:
    """Admission level of one upstream.

    Args:
        now: Current time in seconds.

    """

    def __init__(self, *, now: float) -> None:
        self.margin = ADMIT_ALL_MARGIN
        self.cutoffs: PerWorkspace = {}
        self._window_start = now
        self._target_per_s = 0.0
        self._completed_per_s = 0.0
        self._completed = 0
        self._failed = 0
        self._last_lowered_at = float("-inf")
        self._windows_without_overload = 0
        self._utilization = FULL_UTILIZATION
        self._admitted: list[Counter[WorkspaceId | None]] = [
            Counter() for _ in Importance
        ]
        self._demand: list[PerWorkspace] = [{} for _ in Importance]
        self._weights: PerWorkspace = {}

    def admits(
        self, importance: Importance, workspace: WorkspaceId | None, rank: float
    ) -> bool:
        """Return whether the current level admits a request."""
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
        """Record an arriving request; only admitted ones count towards the demand."""
        self._weights[workspace] = weight
        if admitted:
            self._admitted[importance][workspace] += 1

    def record_success(self) -> None:
        """Count a request that got a complete response."""
        self._completed += 1

    def record_failure(self, arrived_at: float) -> None:
        """Count a request that was admitted and then failed because of overload.

        Requests that arrived before the target was last lowered are ignored: they were
        admitted at a level that has since been corrected.

        Args:
            arrived_at: Time at which the request arrived, in seconds.

        """
        if arrived_at >= self._last_lowered_at:
            self._failed += 1

    def cutoff_for(self, workspace: WorkspaceId | None) -> float:
        """Return the lowest rank that is refused at the margin, for a workspace."""
        return self.cutoffs.get(workspace, 1.0)

    def roll_window(self, now: float, utilization: float = 1.0) -> bool:
        """Update the level at the end of a window.

        A window lasts `WINDOW_S`. With too few results it is extended to at most
        `MAX_WINDOW_S`, unless there is spare capacity.

        Args:
            now: Current time in seconds.
            utilization: Utilization of the concurrency limits, here and at nested
                calls.

        Returns:
            Whether a window ended.

        """
        elapsed_s = now - self._window_start
        may_end = (
            self._completed + self._failed >= MIN_WINDOW_REQUESTS
            or elapsed_s > MAX_WINDOW_S
        )
        may_end = may_end or utilization < SPARE_UTILIZATION
        if elapsed_s < WINDOW_S or not may_end:
            return False
        self._utilization = utilization
        self._update_demand(elapsed_s)
        completed_per_s = self._completed / elapsed_s
        self._completed_per_s += (
            completed_per_s - self._completed_per_s
        ) * THROUGHPUT_EWMA_WEIGHT
        overloaded = self._failed > max(1.0, self._completed * MAX_FAILED_RATIO)
        if overloaded or self.margin < ADMIT_ALL_MARGIN:
            self._target_per_s = self._next_target(
                elapsed_s, now, overloaded=overloaded
            )
            self._set_level(self._target_per_s)
        self._window_start = now
        self._completed = 0
        self._failed = 0
        for admitted in self._admitted:
            admitted.clear()
        return True

    def _next_target(self, elapsed_s: float, now: float, *, overloaded: bool) -> float:
        """Return the target for the next window, in requests per second.

        The first overloaded window sets the target to the measured throughput.
        """
        if not overloaded:
            ratio = self._raise_ratio()
            self._windows_without_overload += 1
            base_per_s = max(self._target_per_s, self._completed_per_s)
            return base_per_s * (1 + ratio) + RAISE_PER_S_PER_S * elapsed_s
        self._windows_without_overload = 0
        self._last_lowered_at = now
        if self.margin == ADMIT_ALL_MARGIN:
            return max(1.0, self._completed_per_s)
        failed_ratio = self._failed / (self._failed + self._completed)
        return max(
            1.0, self._target_per_s * (1 - min(MAX_LOWERING_RATIO, failed_ratio))
        )

    def _raise_ratio(self) -> float:
        """Return the relative increase of the target after a window without overload.

        While the concurrency limits are fully used the increase stays small, since
        requests admitted in excess fail only after several services have worked on
        them. With spare capacity it is large, for a fast recovery.
        """
        if self._utilization < SPARE_UTILIZATION:
            return SPARE_RAISE_RATIO
        if self._utilization >= FULL_UTILIZATION:
            return RAISE_RATIO
        return min(MAX_RAISE_RATIO, RAISE_RATIO * 2.0**self._windows_without_overload)

    def _update_demand(self, elapsed_s: float) -> None:
        for importance in Importance:
            demand = self._demand[importance]
            if importance > self.margin:
                for workspace in demand:
                    demand[workspace] *= UNOBSERVED_DEMAND_DECAY
                continue
            admitted = self._admitted[importance]
            for workspace in {*demand, *admitted}:
                admitted_ratio = 1.0
                if importance == self.margin:
                    admitted_ratio = self.cutoffs.get(workspace, 1.0)
                if admitted_ratio < MIN_CUTOFF:
                    continue
                rate_per_s = admitted[workspace] / elapsed_s / admitted_ratio
                previous = demand.get(workspace, rate_per_s)
                demand[workspace] = (
                    previous + (rate_per_s - previous) * DEMAND_EWMA_WEIGHT
                )

    def _set_level(self, target_per_s: float) -> None:
        remaining_per_s = target_per_s
        for importance in Importance:
            demand = self._demand[importance]
            total = sum(demand.values())
            if total > remaining_per_s:
                self.margin = importance
                self.cutoffs = self._cutoffs_for(demand, remaining_per_s)
                return
            remaining_per_s -= total
        self.margin = ADMIT_ALL_MARGIN
        self.cutoffs = {}

    def _cutoffs_for(self, demand: PerWorkspace, capacity: float) -> PerWorkspace:
        shares = max_min_fair_shares(demand, self._weights, capacity)
        return {
            workspace: shares[workspace] / rate_per_s if rate_per_s > 0 else 1.0
            for workspace, rate_per_s in demand.items()
        }


def max_min_fair_shares(
    demand: PerWorkspace, weights: PerWorkspace, capacity: float
) -> PerWorkspace:
    """Return the weighted max-min fair shares of a capacity.

    Args:
        demand: Demand of each workspace, in requests per second.
        weights: Weight of each workspace; missing ones have weight 1.
        capacity: Rate to divide, in requests per second.

    """
    shares: PerWorkspace = {}
    ordered = sorted(demand, key=lambda each: demand[each] / weights.get(each, 1.0))
    total_weight = sum(weights.get(each, 1.0) for each in ordered)
    for workspace in ordered:
        weight = weights.get(workspace, 1.0)
        share = min(demand[workspace], max(0.0, capacity) * weight / total_weight)
        shares[workspace] = share
        capacity -= share
        total_weight -= weight
    return shares
