"""Tells the nodes of a failure domain how much each workspace asks for.

Designed for shortages in which each node has the callers of few workspaces: it alone
cannot tell a large workspace from a small one. While a service is short, the nodes tell
their demands to the reader of their failure domain with the question that they ask it
every second anyway, and get the sum with its reply. Only the largest demands are told.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lavenderway_core.ids import WorkspaceId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderway_core.ids import HostId

Demands = dict[WorkspaceId, float]

# Time constant of the demand; a workspace that begins to send more shows within it.
DEMAND_TIME_S = 2.0
MAX_TOLD_WORKSPACES = 32
MAX_DECODED_WORKSPACES = 1_024
REPORT_MAX_AGE_S = 3.0  # nodes tell their demands every second
NEGLIGIBLE_PER_S = 0.01
MAX_PER_S = 1e9


class DecayingDemand:
    """Requests per second of each workspace, by recent arrivals at this node."""

    def __init__(self) -> None:
        self._counts: dict[WorkspaceId, tuple[float, float]] = {}
        self._pruned_at = float("-inf")

    def record(self, workspace: WorkspaceId, now: float) -> None:
        """Count a request."""
        count, counted_at = self._counts.get(workspace, (0.0, now))
        decay = math.exp(min(0.0, counted_at - now) / DEMAND_TIME_S)
        self._counts[workspace] = (count * decay + 1.0, max(now, counted_at))
        if now - self._pruned_at > DEMAND_TIME_S:
            self._pruned_at = now
            self._counts = {
                each: self._counts[each]
                for each in self._counts
                if self.per_s(each, now) >= NEGLIGIBLE_PER_S
            }

    def per_s(self, workspace: WorkspaceId, now: float) -> float:
        """Return the requests per second of a workspace."""
        count, counted_at = self._counts.get(workspace, (0.0, now))
        decay = math.exp(min(0.0, counted_at - now) / DEMAND_TIME_S)
        return count * decay / DEMAND_TIME_S

    def largest(self, now: float) -> Demands:
        """Return the largest demands, in requests per second."""
        demands = {each: self.per_s(each, now) for each in self._counts}
        names = sorted(demands, key=demands.__getitem__)[-MAX_TOLD_WORKSPACES:]
        return {name: round(demands[name], 2) for name in names}


class DemandReports:
    """Demands that other nodes have told, and their sum."""

    def __init__(self) -> None:
        self._reports: dict[HostId, tuple[float, Demands]] = {}

    def record(self, host: HostId, demands: Demands, now: float) -> None:
        """Record the demands of a host, which replace those it told before."""
        self._reports[host] = (now, demands)

    def sum(self, now: float, *, excluded: HostId | None = None) -> Demands:
        """Return the sum of the recent reports, in requests per second.

        Args:
            now: Current monotonic time in seconds.
            excluded: Host whose report is left out.

        """
        self._reports = {
            host: report
            for host, report in self._reports.items()
            if now - report[0] <= REPORT_MAX_AGE_S
        }
        total: Demands = {}
        for host, (_, demands) in self._reports.items():
            if host != excluded:
                for workspace, per_s in demands.items():
                    total[workspace] = total.get(workspace, 0.0) + per_s
        return total


def decode_demands(value: object) -> Demands | None:
    """Decode the demands in a message of another node, which may have none.

    Raises:
        ValueError: They are not finite numbers of requests per second, by workspace.

    """
    if value is None:
        return None
    if not isinstance(value, dict) or len(value) > MAX_DECODED_WORKSPACES:
        raise ValueError(f"demands: expected an object, got {value!r:.40}")
    demands: Demands = {}
    for name, per_s in value.items():
        if (
            not isinstance(per_s, int | float)
            or isinstance(per_s, bool)
            or not 0.0 <= per_s <= MAX_PER_S
        ):
            raise ValueError(
                f"demands.{name:.40}: expected a number, got {per_s!r:.40}"
            )
        demands[WorkspaceId(name)] = float(per_s)
    return demands


def encode_demands(demands: Mapping[WorkspaceId, float]) -> dict[str, float]:
    """Return demands as JSON-compatible values."""
    return {str(name): round(per_s, 2) for name, per_s in demands.items()}
