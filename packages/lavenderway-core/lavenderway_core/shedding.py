"""Load shedding on arrival: by importance, then fairly between workspaces.

A *root request* is one that is not a nested call of another request. The node on the
host of each upstream keeps an admission level for it, which applies to the root
requests that arrive there but not to nested calls. Replies carry the level to *entry
nodes*, which choose an upstream for a request and refuse it if all candidates would.

The admission level consists of a margin, which is an importance class, and a cutoff per
workspace. Classes more important than the margin (lower numbers) are admitted, less
important ones are refused. At the margin a request is admitted if its rank, a hash of
the root request's ID, lies below the cutoff of its workspace. Thanks to the hash, all
hosts rank a request and its retries alike. The cutoffs give each workspace its weighted
max-min fair share of what the more important classes leave of the target rate; the
division is fair only within the class at the margin.

The level is updated once per window towards a target rate. A window is overloaded if
requests that failed because of overload after they were admitted, here or at nested
calls, exceed a ratio to the successful ones and are more than one. Requests that end
otherwise, such as by a lost connection, count as neither. If everything was admitted,
the target then becomes the smoothed throughput; otherwise it is lowered by the failed
fraction, within a bound. Either way it stays at one request per second or more. A
window without overload raises the target, unless everything is admitted already.

The two-part level and the feedback per window follow DAGOR (Zhou et al., "Overload
Control for Scaling WeChat Microservices", 2018), which does not distinguish workspaces.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from lavenderway_core.importance import Importance

if TYPE_CHECKING:
    from lavenderway_core.ids import WorkspaceId

WINDOW_S = 0.25  # minimum
MAX_WINDOW_S = 0.5  # beyond this age a window ends with any number of results
MIN_WINDOW_REQUESTS = 4  # successful and failed ones
# Failed divided by successful requests. One failure alone never makes an overload.
MAX_FAILED_RATIO = 0.1
# Increase in relation to the target, or to the smoothed throughput if that is higher.
# Between SPARE_UTILIZATION and FULL_UTILIZATION it doubles with each further window
# without overload.
RAISE_RATIO = 0.06
MAX_DOUBLED_RAISE_RATIO = 1.0
FULL_UTILIZATION = 1.0  # at or above, the target is raised by RAISE_RATIO only
# Below, the target is raised by SPARE_RAISE_RATIO, and windows end with few results.
SPARE_UTILIZATION = 0.7
SPARE_RAISE_RATIO = 2.0  # the target triples
RAISE_PER_S_PER_S = 2.0  # requests per second, added to each raise per second of window
THROUGHPUT_EWMA_WEIGHT = 0.5  # of the newest window
MAX_LOWERING_RATIO = 0.5  # of the target, per window
DEMAND_EWMA_WEIGHT = 0.4  # of the newest window
# Factor per window for classes less important than the margin. Entry nodes may already
# refuse them, so their demand cannot be observed here.
UNOBSERVED_DEMAND_DECAY = 0.98
# Below, too few requests are admitted to estimate the demand, and the last estimate is
# kept.
MIN_OBSERVABLE_CUTOFF = 0.02
ADMIT_ALL_MARGIN = len(Importance)  # above all classes; 0 is the most important one
RANK_RANGE = 1 << 32

PerWorkspace = dict["WorkspaceId | None", float]


def rank_root(root_id: str) -> float:
    """Return the rank of a root request in the shedding order.

    Ranks are uniform in [0, 1); higher ones are shed first.
    """
    return (xxh64_intdigest(root_id.encode()) % RANK_RANGE) / RANK_RANGE


class AdmissionLevel:
    """Admission level of one upstream.

    Args:
        now: Current time in seconds.

    Attributes:
        margin: Number of the importance class at which the cutoffs decide;
            `ADMIT_ALL_MARGIN` if all classes are admitted.
        cutoffs: Fraction of the ranks at the margin that is admitted, in [0, 1], by
            workspace; None stands for requests without a workspace. A workspace
            without an entry is admitted in full.

    """

    def __init__(self, *, now: float) -> None:
        self.margin = ADMIT_ALL_MARGIN
        self.cutoffs: PerWorkspace = {}
        self._window_start = now
        self._target_per_s = 0.0
        self._smoothed_throughput_per_s = 0.0
        self._succeeded = 0
        self._failed = 0
        self._last_overloaded_at = float("-inf")
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
        """Record a root request that arrives, admitted or not.

        The demand is estimated as the rate of admitted requests divided by the cutoff,
        so refused ones do not count towards it. Entry nodes that apply a lower cutoff
        make the estimate too low.

        Args:
            importance: Importance class.
            workspace: Workspace of the request; None if it has none.
            weight: Weight of the workspace, above 0, to which its fair share is
                proportional. The latest one applies.
            admitted: Whether `admits` returned true.

        """
        self._weights[workspace] = weight
        if admitted:
            self._admitted[importance][workspace] += 1

    def record_success(self) -> None:
        """Count a root request as successful.

        It got a complete response, and none of its nested calls was refused because of
        overload.
        """
        self._succeeded += 1

    def record_failure(self, arrived_at: float) -> None:
        """Count a root request that was admitted and then failed because of overload.

        Requests that arrived before the end of the last overloaded window are ignored:
        they were admitted at a level that has since been corrected.

        Args:
            arrived_at: Time at which the request arrived at this node, in seconds.

        """
        if arrived_at >= self._last_overloaded_at:
            self._failed += 1

    def cutoff_for(self, workspace: WorkspaceId | None) -> float:
        """Return the rank from which on a workspace is refused at the margin.

        1.0 refuses none.
        """
        return self.cutoffs.get(workspace, 1.0)

    def roll_window(self, now: float, utilization: float = 1.0) -> bool:
        """Update the level at the end of a window.

        A window lasts `WINDOW_S`. With too few results it is extended until
        `MAX_WINDOW_S` have passed, unless the utilization is below `SPARE_UTILIZATION`.
        It ends at the first call after that time.

        Args:
            now: Current time in seconds.
            utilization: Running and queued requests divided by the concurrency limit,
                here or at nested calls, whichever is higher; may exceed 1.

        Returns:
            Whether a window ended.

        """
        elapsed_s = now - self._window_start
        may_end = (
            self._succeeded + self._failed >= MIN_WINDOW_REQUESTS
            or elapsed_s > MAX_WINDOW_S
        )
        may_end = may_end or utilization < SPARE_UTILIZATION
        if elapsed_s < WINDOW_S or not may_end:
            return False
        self._utilization = utilization
        self._update_demand(elapsed_s)
        throughput_per_s = self._succeeded / elapsed_s
        self._smoothed_throughput_per_s += (
            throughput_per_s - self._smoothed_throughput_per_s
        ) * THROUGHPUT_EWMA_WEIGHT
        overloaded = self._failed > max(1.0, self._succeeded * MAX_FAILED_RATIO)
        if overloaded or self.margin < ADMIT_ALL_MARGIN:
            self._target_per_s = self._next_target(
                elapsed_s, now, overloaded=overloaded
            )
            self._set_level(self._target_per_s)
        self._window_start = now
        self._succeeded = 0
        self._failed = 0
        for admitted in self._admitted:
            admitted.clear()
        return True

    def _next_target(self, elapsed_s: float, now: float, *, overloaded: bool) -> float:
        """Return the target for the next window, in requests per second.

        A window that is overloaded while all classes are admitted sets the target to
        the smoothed throughput, whose moving average starts at 0.
        """
        if not overloaded:
            ratio = self._raise_ratio()
            self._windows_without_overload += 1
            base_per_s = max(self._target_per_s, self._smoothed_throughput_per_s)
            return base_per_s * (1 + ratio) + RAISE_PER_S_PER_S * elapsed_s
        self._windows_without_overload = 0
        self._last_overloaded_at = now
        if self.margin == ADMIT_ALL_MARGIN:
            return max(1.0, self._smoothed_throughput_per_s)
        failed_ratio = self._failed / (self._failed + self._succeeded)
        return max(
            1.0, self._target_per_s * (1 - min(MAX_LOWERING_RATIO, failed_ratio))
        )

    def _raise_ratio(self) -> float:
        """Return the relative increase of the target after a window without overload.

        While the concurrency limits are fully used the increase stays small, since
        requests admitted in excess fail only after several services have worked on
        them. With spare capacity it is large, for a fast recovery. Between the two it
        doubles with each further window without overload, up to a maximum. Windows of
        any utilization count, but not those in which everything was admitted.
        """
        if self._utilization < SPARE_UTILIZATION:
            return SPARE_RAISE_RATIO
        if self._utilization >= FULL_UTILIZATION:
            return RAISE_RATIO
        return min(
            MAX_DOUBLED_RAISE_RATIO, RAISE_RATIO * 2.0**self._windows_without_overload
        )

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
                if admitted_ratio < MIN_OBSERVABLE_CUTOFF:
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

    def _cutoffs_for(self, demand: PerWorkspace, capacity_per_s: float) -> PerWorkspace:
        shares = max_min_fair_shares(demand, self._weights, capacity_per_s)
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
