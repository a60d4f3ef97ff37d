"""Compares ways to divide a shortage among workspaces, on the same played loads.

80 workspaces of skewed sizes, one of which sends six times its usual, ask 25 entry
nodes for more than a service takes. A level follows the load as that of an upstream
does: a part of the difference is corrected in each step. `worst` is the lowest part of
its max-min fair share that a group of ten workspaces gets, `accepted` the requests
accepted relative to the capacity, and `swing` the largest part by which five seconds
in a row differ from it. The first `SETTLING_S` do not count.
"""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_relay.fair_share import FairShare
from lavenderway_relay.workspace_demand import DecayingDemand, Demands

from lavenderway_dev.bench_registry import benchmark
from lavenderway_dev.played_workspaces import (
    HOT,
    HOT_FACTOR,
    PlacePolicy,
    PlayedWorkspaces,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_core.ids import WorkspaceId

SEEDS = 3
CAPACITIES = (0.2, 0.4, 0.7)  # of the demand
SETTLING_S, DURATION_S = 5.0, 60.0
STEP_S = 0.25
CORRECTION = 0.3
SWING_STEPS = 20


class HashedPlaces:
    """The place is the hash of the request, so all lose the same part."""

    def __init__(self) -> None:
        self.own = DecayingDemand()

    def record_others(self, demands: Demands, now: float) -> None:
        """Know nothing of other nodes."""

    def place(
        self,
        workspace: WorkspaceId | None,
        importance_class: int,
        draw: float,
        now: float,
        *,
        short: bool,
    ) -> float:
        """Return the draw."""
        return draw


class OwnCallers(FairShare):
    """The chosen way, without what other nodes tell."""

    def record_others(self, demands: Demands, now: float) -> None:
        """Know nothing of other nodes."""


class WaterLine(HashedPlaces):
    """The part of the known demands that lies below the request's point."""

    def __init__(self) -> None:
        super().__init__()
        self._known: Demands = {}

    def record_others(self, demands: Demands, now: float) -> None:
        """Add the demands at other nodes to those of this one."""
        self._known = dict(demands)
        for workspace, per_s in self.own.largest(now).items():
            self._known[workspace] = self._known.get(workspace, 0.0) + per_s

    def place(
        self,
        workspace: WorkspaceId | None,
        importance_class: int,
        draw: float,
        now: float,
        *,
        short: bool,
    ) -> float:
        """Return the place by the demands alone, without comparing requests."""
        assert workspace is not None
        self.own.record(workspace, now)
        point = draw * self._known.get(workspace, 0.0)
        total = sum(self._known.values())
        if not total:
            return draw
        return sum(min(each, point) for each in self._known.values()) / total


POLICIES: dict[str, Callable[[], PlacePolicy]] = {
    "hash of the request": HashedPlaces,
    "own callers only": OwnCallers,
    "water line of the demands": WaterLine,
    "comparison with recent requests": FairShare,
}


class Result(NamedTuple):
    """What callers got."""

    worst: float
    accepted: float
    swing: float
    cost_us: float


def play(make_policy: Callable[[], PlacePolicy], capacity: float, seed: int) -> Result:
    """Let a level follow the capacity; return what was accepted."""
    played = PlayedWorkspaces(make_policy=make_policy, seed=seed)
    played.rates[HOT] *= HOT_FACTOR
    demand_per_s = sum(played.rates.values())
    level = 1.0
    accepted: Counter[WorkspaceId] = Counter()
    sent: Counter[WorkspaceId] = Counter()
    steps: list[int] = []
    started = time.perf_counter()
    requests = 0
    while played.now < SETTLING_S + DURATION_S:
        taken = played.play(STEP_S, level=level)
        requests += played.sent.total()
        error = capacity - taken.total() / (demand_per_s * STEP_S)
        level = min(1.0, max(0.0, level + CORRECTION * error))
        if played.now > SETTLING_S:
            accepted += taken
            sent += played.sent
            steps.append(taken.total())
    cost_us = (time.perf_counter() - started) / requests * 1e6
    played.sent = sent
    part = accepted.total() / sent.total()
    expected = SWING_STEPS * capacity * demand_per_s * STEP_S
    sums = (sum(steps[i : i + SWING_STEPS]) for i in range(len(steps) - SWING_STEPS))
    return Result(
        played.find_worst_share(accepted, capacity),
        part / capacity,
        max(abs(each / expected - 1.0) for each in sums),
        cost_us,
    )


@benchmark("shares")
def compare_shares() -> None:
    """Print a table of all ways and capacities, each the worst of the seeds."""
    print("| places by | capacity | worst | accepted | swing | us a request |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name, make_policy in POLICIES.items():
        for capacity in CAPACITIES:
            results = [play(make_policy, capacity, seed) for seed in range(SEEDS)]
            worst = min(each.worst for each in results)
            accepted = min(each.accepted for each in results)
            swing = max(each.swing for each in results)
            cost_us = min(each.cost_us for each in results)
            print(
                f"| {name} | {capacity} | {worst:.2f} | {accepted:.2f} | {swing:.2f} |"
                f" {cost_us:.0f} |",
                flush=True,
            )
