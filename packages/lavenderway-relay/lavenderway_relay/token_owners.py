"""Selects the hosts that keep the tokens of each workspace, by rendezvous hashing.

Designed for many workspaces whose callers are spread thinly over many hosts. If every
host kept an equal part of the tokens, each part would be below one token, and requests
would be refused although the workspace is far below its rate. Each workspace therefore
has one token owner per failure domain: few enough for tokens to accumulate, reachable
with one request, and available when failure domains are partitioned from each other.

Every node computes the token owners from the host records it has. A host that joins or
leaves the fleet changes the token owners of only few workspaces.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh32_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lavenderway_core.ids import FailureDomainId, HostId, WorkspaceId

    from lavenderway_relay.model import HostRecord


class TokenOwnerMap:
    """Token owners of all workspaces, for a fixed set of hosts.

    Args:
        members: Records of the hosts that may keep tokens.

    Attributes:
        host_count: Number of hosts that may keep tokens.

    """

    def __init__(self, *, members: Iterable[HostRecord] = ()) -> None:
        self._hosts_by_domain: dict[FailureDomainId, list[HostId]] = {}
        for record in members:
            self._hosts_by_domain.setdefault(record.failure_domain, []).append(
                record.host
            )
        for hosts in self._hosts_by_domain.values():
            hosts.sort()
        self._owners_by_workspace: dict[WorkspaceId, dict[FailureDomainId, HostId]] = {}
        self.host_count = sum(len(hosts) for hosts in self._hosts_by_domain.values())

    def has_hosts(self, members: Iterable[HostRecord]) -> bool:
        """Return whether the map was built from exactly these hosts."""
        return TokenOwnerMap(members=members)._hosts_by_domain == self._hosts_by_domain

    def owners_of(
        self, workspace: WorkspaceId, *, nearest: FailureDomainId
    ) -> list[HostId]:
        """Return the token owners of a workspace.

        Args:
            workspace: Workspace to look up.
            nearest: Failure domain whose token owner is returned first.

        """
        owners = self._owners_by_domain(workspace)
        others = (host for domain, host in owners.items() if domain != nearest)
        return [*([owners[nearest]] if nearest in owners else []), *others]

    def fraction_of(self, workspace: WorkspaceId, host: HostId) -> float:
        """Return the fraction of a workspace's rate and burst that a host keeps."""
        owners = self._owners_by_domain(workspace)
        return 1.0 / len(owners) if host in owners.values() else 0.0

    def _owners_by_domain(
        self, workspace: WorkspaceId
    ) -> dict[FailureDomainId, HostId]:
        owners = self._owners_by_workspace.get(workspace)
        if owners is None:
            owners = self._owners_by_workspace[workspace] = {
                domain: max(hosts, key=lambda host: _rendezvous_weight(workspace, host))
                for domain, hosts in self._hosts_by_domain.items()
            }
        return owners


def _rendezvous_weight(workspace: WorkspaceId, host: HostId) -> int:
    return xxh32_intdigest(f"{workspace}\n{host}".encode())
