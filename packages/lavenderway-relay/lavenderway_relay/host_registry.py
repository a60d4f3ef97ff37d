"""Holds the node's view of the hosts of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderway_relay.model import UpstreamStatus
from lavenderway_relay.revision import NO_REVISION

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lavenderway_core.ids import FailureDomainId, HostId, ServiceId

    from lavenderway_relay.model import HostRecord
    from lavenderway_relay.revision import Revision


class HostRegistry:
    """Records of all hosts, each at the newest revision received.

    Records may arrive in any order, from the store and from peers. A record that the
    store has lost by returning from an older copy is kept until its host writes again.

    Attributes:
        revision: Store revision up to which all changes have been merged.

    """

    def __init__(self) -> None:
        self.revision = NO_REVISION
        self._hosts: dict[HostId, HostRecord] = {}
        self._by_service: dict[ServiceId, list[HostRecord]] = {}
        # Start of the newest upstream of a host that is known to be leaving, from its
        # responses; the record of the host may follow later.
        self._leaving_ms: dict[HostId, int] = {}
        self._evacuated: frozenset[FailureDomainId] = frozenset()

    def merge(self, records: Iterable[HostRecord]) -> list[HostRecord]:
        """Merge records and return those that were newer than the stored ones."""
        changed = []
        for record in records:
            known = self._hosts.get(record.host)
            if known is None or record.revision > known.revision:
                self._hosts[record.host] = record
                changed.append(record)
        if changed:
            self._rebuild_index()
        return changed

    def record_leaving(self, host: HostId, started_ms: int) -> bool:
        """Stop offering an upstream of a host that says it is leaving.

        Lasts until the host's record names an upstream that started later.

        Returns:
            Whether it was not known before.

        """
        if self._leaving_ms.get(host, -1) >= started_ms:
            return False
        self._leaving_ms[host] = started_ms
        self._rebuild_index()
        return True

    def evacuate(self, domains: frozenset[FailureDomainId]) -> None:
        """Offer no upstreams of the failure domains, but those of all others."""
        self._evacuated = domains
        self._rebuild_index()

    def advance_revision(self, revision: Revision) -> None:
        """Record that all changes up to a store revision have been merged."""
        self.revision = max(self.revision, revision)

    def find(self, host: HostId) -> HostRecord | None:
        """Return the record of a host, or None if there is none."""
        return self._hosts.get(host)

    def hosts_of(self, service: ServiceId) -> list[HostRecord]:
        """Return the serving hosts whose upstream takes requests for a service."""
        return self._by_service.get(service, [])

    def peers(self, own: HostId) -> list[HostRecord]:
        """Return the hosts other than `own` whose nodes are serving."""
        return [r for r in self._hosts.values() if r.serving and r.host != own]

    def changed_since(self, revision: Revision) -> list[HostRecord]:
        """Return the records that changed after a store revision."""
        return [r for r in self._hosts.values() if r.revision > revision]

    def members(self) -> list[HostRecord]:
        """Return the hosts that belong to the fleet, whether serving or not."""
        return [record for record in self._hosts.values() if not record.retired]

    def _rebuild_index(self) -> None:
        self._by_service = {}
        for record in self._hosts.values():
            upstream = record.upstream
            if upstream is None or not record.serving:
                continue
            if record.failure_domain in self._evacuated:
                continue
            if upstream.started_ms <= self._leaving_ms.get(record.host, -1):
                continue
            if upstream.status is UpstreamStatus.READY:
                self._by_service.setdefault(upstream.service, []).append(record)
