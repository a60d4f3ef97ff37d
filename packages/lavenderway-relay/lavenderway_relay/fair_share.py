"""Places root requests in their importance class so that a cut is fair.

Designed for workspaces that compete for too little room, of which some send many times
what others do. Root requests at or above an admission level are refused. The position
of a request is its importance class plus a place in [0, 1). Each request draws a point
of the demand of its own workspace, and its place is the part of recent requests whose
points are lower. Whatever the level, the requests below it are then divided among the
workspaces by max-min fairness: each gets its demand or one common amount.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from lavenderway_relay.workspace_demand import (
    REPORT_MAX_AGE_S,
    DecayingDemand,
    Demands,
)

if TYPE_CHECKING:
    from lavenderway_core.ids import WorkspaceId

COMPARED_REQUESTS = 128  # of each class; a place is known to one part in so many
MAX_PLACE = 0.9999  # the next importance class begins at 1


class FairShare:
    """Demand of the workspaces, and the places of the requests of this node.

    Attributes:
        own: Demand of the callers of this node.

    """

    def __init__(self) -> None:
        self.own = DecayingDemand()
        self._known: Demands = {}
        self._known_at = float("-inf")
        self._recent: dict[int, deque[tuple[float, WorkspaceId]]] = {}

    def record_others(self, demands: Demands, now: float) -> None:
        """Record the demands at the other nodes of the failure domain.

        Until the next record, they and those of this node at present count for all
        requests. If the requests of this node counted as they arrive, a request would
        be compared with others whose workspaces have just sent one.
        """
        self._known = dict(demands)
        self._known_at = now
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
        """Count a root request and return its place in its class.

        Args:
            workspace: Workspace of the caller; None keeps the place at `draw`.
            importance_class: Rank of the request, 0 for the most important.
            draw: Number in [0, 1) that stays the same when the request is repeated
                with its ID.
            now: Current monotonic time in seconds.
            short: Whether a service lacks room; otherwise nothing is cut, and the
                place is `draw`.

        Returns:
            The place, in [0, 1); the highest ones are refused first.

        """
        if workspace is None:
            return draw
        recent = self._recent.get(importance_class)
        if recent is None:
            recent = self._recent[importance_class] = deque(maxlen=COMPARED_REQUESTS)
        place = self._compare(workspace, draw, recent, now) if short else draw
        self.own.record(workspace, now)
        recent.append((draw, workspace))
        return min(MAX_PLACE, place)

    def admitted_part(
        self, workspace: WorkspaceId, importance_class: int, cutoff: float, now: float
    ) -> float:
        """Return the part of a workspace's requests that is below a cutoff; only reads.

        Args:
            workspace: Workspace of the caller.
            importance_class: Rank of the requests, 0 for the most important.
            cutoff: Place in the class from which on requests are refused.
            now: Current monotonic time in seconds.

        """
        recent = self._recent.get(importance_class, deque())
        draws = [
            (index + 0.5) / COMPARED_REQUESTS for index in range(COMPARED_REQUESTS)
        ]
        places = (self._compare(workspace, draw, recent, now) for draw in draws)
        return sum(place < cutoff for place in places) / COMPARED_REQUESTS

    def _compare(
        self,
        workspace: WorkspaceId,
        draw: float,
        recent: deque[tuple[float, WorkspaceId]],
        now: float,
    ) -> float:
        """Return the part of the recent requests whose points are lower.

        All points are computed from the present demands, so the place is spread evenly
        over [0, 1) however well the demands are known.
        """
        demands = {each: self._demand(each, now) for _, each in recent}
        point = draw * self._demand(workspace, now)
        # The low digits of the draw do not depend on how many points are lower.
        tie_break = draw * 65_536 % 1.0
        below = 0.0
        for other_draw, other in recent:
            other_point = other_draw * demands[other]
            if other_point < point:
                below += 1.0
            elif other_point == point:
                below += tie_break
        return (below + tie_break) / (len(recent) + 1)

    def _demand(self, workspace: WorkspaceId, now: float) -> float:
        if now - self._known_at <= REPORT_MAX_AGE_S:
            return self._known.get(workspace, 0.0)
        return self.own.per_s(workspace, now)
