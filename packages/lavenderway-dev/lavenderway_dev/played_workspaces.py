"""Plays workspaces that compete at the entry nodes of one failure domain."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING, Protocol

from lavenderway_core.ids import HostId, WorkspaceId
from lavenderway_relay.workspace_demand import DecayingDemand, DemandReports, Demands

if TYPE_CHECKING:
    from collections.abc import Callable

HOSTS = 25  # of one failure domain
EXCHANGE_INTERVAL_S = 1.0
WORKSPACES = [WorkspaceId(f"w{index}") for index in range(80)]
RATE_PER_S = 400.0
HOT = WORKSPACES[5]
HOT_FACTOR = 6.0
GROUP_SIZE = 10


class PlacePolicy(Protocol):
    """Places root requests in their class at one node."""

    own: DecayingDemand

    def record_others(self, demands: Demands, now: float) -> None:
        """Record the demands at the other nodes."""

    def place(
        self,
        workspace: WorkspaceId | None,
        importance_class: int,
        draw: float,
        now: float,
        *,
        short: bool,
    ) -> float:
        """Return the place of a request."""


def make_rates(rng: random.Random) -> dict[WorkspaceId, float]:
    """Return skewed demands in requests per second: a few workspaces are large."""
    weights = {each: 1.0 / (rank + 3) for rank, each in enumerate(WORKSPACES)}
    total = sum(weights.values())
    rates = {each: RATE_PER_S * weight / total for each, weight in weights.items()}
    names = list(rates)
    rng.shuffle(names)
    return dict(zip(names, rates.values(), strict=True))


def divide_max_min(
    rates: dict[WorkspaceId, float], capacity: float
) -> dict[WorkspaceId, float]:
    """Return the max-min fair division of a capacity."""
    shares: dict[WorkspaceId, float] = {}
    left = capacity
    for count, (workspace, rate) in enumerate(
        sorted(rates.items(), key=lambda item: item[1])
    ):
        shares[workspace] = min(rate, left / (len(rates) - count))
        left -= shares[workspace]
    return shares


class PlayedWorkspaces:
    """Workspaces of skewed sizes that send to random nodes.

    Args:
        make_policy: Returns the policy of one node.
        seed: Seed of the sizes and arrivals.

    Attributes:
        rates: Requests per second of each workspace; may be changed.
        sent: Requests sent in the last period, by workspace.

    """

    def __init__(self, *, make_policy: Callable[[], PlacePolicy], seed: int) -> None:
        self.rng = random.Random(seed)
        self.rates = make_rates(self.rng)
        self.hosts = [make_policy() for _ in range(HOSTS)]
        self.now = 0.0
        self.sent: Counter[WorkspaceId] = Counter()
        self._exchange_at = 0.0

    def _exchange(self) -> None:
        """Let all hosts learn the demands at the others, as from their reader."""
        self._exchange_at = self.now + EXCHANGE_INTERVAL_S
        reports = DemandReports()
        for index, host in enumerate(self.hosts):
            reports.record(HostId(str(index)), host.own.largest(self.now), self.now)
        for index, host in enumerate(self.hosts):
            others = reports.sum(self.now, excluded=HostId(str(index)))
            host.record_others(others, self.now)

    def play(self, seconds: float, *, level: float) -> Counter[WorkspaceId]:
        """Send requests to all hosts; return those below the level, by workspace."""
        names, rates = list(self.rates), list(self.rates.values())
        accepted: Counter[WorkspaceId] = Counter()
        self.sent = Counter()
        end = self.now + seconds
        while self.now < end:
            self.now += self.rng.expovariate(sum(rates))
            (workspace,) = self.rng.choices(names, rates)
            if self.now >= self._exchange_at:
                self._exchange()
            self.sent[workspace] += 1
            host = self.rng.choice(self.hosts)
            draw = self.rng.random()
            if host.place(workspace, 1, draw, self.now, short=True) < level:
                accepted[workspace] += 1
        return accepted

    def find_worst_share(self, accepted: Counter[WorkspaceId], level: float) -> float:
        """Return the lowest part of its fair share that a group of workspaces got.

        The share is that of what was sent in the last period. The smallest workspaces
        send a few requests in it, so `GROUP_SIZE` of them are counted together.
        """
        sent = {each: float(self.sent[each]) for each in WORKSPACES}
        shares = divide_max_min(sent, level * sum(sent.values()))
        ordered = sorted(shares, key=shares.__getitem__)
        return min(
            sum(accepted[each] for each in group) / sum(shares[each] for each in group)
            for first in range(0, len(ordered), GROUP_SIZE)
            if (group := ordered[first : first + GROUP_SIZE])
        )
