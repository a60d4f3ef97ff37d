"""Placement of rate allotments on the hosts of a failure domain.

An allotment is a part of a workspace's rate. Rendezvous hashing gives all nodes with
the same membership the same placement, so a node can find a lender of tokens before
the lender's announcement has reached it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderway_core.allotments import AllotmentId, allotment_ids
from lavenderway_core.membership import HostState, rendezvous_score
from lavenderway_core.state import Placement

if TYPE_CHECKING:
    from lavenderway_core.ids import HostId
    from lavenderway_core.resources import WorkspaceSpec
    from lavenderway_core.state import NodeState


def place_allotments(state: NodeState, workspace: WorkspaceSpec) -> Placement:
    """Return the placement of a workspace's allotments in this failure domain.

    The result is cached until the set of hosts or the workspace changes.
    """
    version = state.members.host_set_version
    cached = state.leasing.placements.get(workspace.name)
    if cached and cached.version == version and cached.workspace == workspace:
        return cached
    allotments = allotment_ids(workspace, state.members.domains())
    hosts = _alive_hosts(state)
    local_allotments = [
        each for each in allotments if each.failure_domain == state.failure_domain
    ]
    holders = {
        allotment: _choose_holder(allotment, hosts) for allotment in local_allotments
    }
    placement = Placement(version, workspace, len(allotments), holders)
    state.leasing.placements[workspace.name] = placement
    return placement


def _alive_hosts(state: NodeState) -> list[HostId]:
    return [
        record.host
        for record in state.members.records.values()
        if record.failure_domain == state.failure_domain
        and record.state is HostState.ALIVE
    ]


def _choose_holder(allotment: AllotmentId, hosts: list[HostId]) -> HostId | None:
    row_key = allotment.row_key
    return max(hosts, key=lambda host: rendezvous_score(row_key, host), default=None)
