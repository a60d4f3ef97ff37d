"""Hosts of the fleet and their upstreams, as spread by gossip.

Each host alone writes its record and raises its sequence; a restart raises the
incarnation. Others may only declare a record suspect or dead, which its host refutes
with a higher sequence, as in SWIM (Das, Gupta, Motivala, 2002).
"""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

from xxhash import xxh64_intdigest

from lavenderway_core.balancer import Candidate
from lavenderway_core.ids import (
    FailureDomainId,
    HostId,
    Incarnation,
    ServiceId,
    UpstreamId,
    WorkspaceId,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

BUCKET_COUNT = 64
BUCKET_MASK = 0xFFFFFFFF


class HostState(IntEnum):
    """State of a host; a higher value wins at the same sequence."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class UpstreamState(IntEnum):
    """State of an upstream, as its own node tells it."""

    READY = 0
    DRAINING = 1


class UpstreamRecord(NamedTuple):
    """An upstream of a host."""

    upstream: UpstreamId
    service: ServiceId
    state: UpstreamState


class HostRecord(NamedTuple):
    """What a host says of itself.

    Attributes:
        address: IP address and port of the host's listener for peers.
        incarnation: Raised by each start of the node.
        sequence: Raised by the host with each change of its record.
        holds: Workspaces for which the host holds an allotment.

    """

    host: HostId
    failure_domain: FailureDomainId
    address: str
    incarnation: Incarnation
    sequence: int
    state: HostState
    upstreams: tuple[UpstreamRecord, ...]
    holds: tuple[WorkspaceId, ...]

    @property
    def version(self) -> tuple[int, int, int]:
        """Order of records of one host."""
        return (self.incarnation, self.sequence, self.state)

    @property
    def reachable(self) -> bool:
        """Whether the host takes part in the fleet."""
        return self.state in (HostState.ALIVE, HostState.SUSPECT)


class Membership:
    """Records of all hosts, with a digest for anti-entropy.

    Args:
        own: First record of this node's host.

    """

    def __init__(self, *, own: HostRecord) -> None:
        self.host = own.host
        self.records: dict[HostId, HostRecord] = {}
        self.host_set_version = 0
        self._buckets = [0] * BUCKET_COUNT
        self._candidates: dict[ServiceId, list[Candidate]] = {}
        self._lenders: dict[WorkspaceId, list[HostRecord]] = {}
        self._domains: set[FailureDomainId] | None = None
        self._store(own)

    @property
    def own(self) -> HostRecord:
        """Record of this node's host."""
        return self.records[self.host]

    @property
    def digest(self) -> tuple[int, ...]:
        """Hashes of the records, by bucket of hosts."""
        return tuple(self._buckets)

    def update_own(self, **changes: object) -> HostRecord:
        """Change the own record and raise its sequence; return it."""
        own = self.own
        record = own._replace(sequence=own.sequence + 1, **changes)  # type: ignore[arg-type]
        self._store(record)
        return record

    def merge(self, record: HostRecord) -> bool:
        """Take in a record if it is newer; return whether it was.

        A record that declares this node's own host other than it is gets refuted: the
        own record is raised above it.
        """
        if record.host == self.host:
            return self._refute(record)
        held = self.records.get(record.host)
        if held is not None and held.version >= record.version:
            return False
        self._store(record)
        return True

    def declare(self, host: HostId, state: HostState) -> HostRecord | None:
        """Declare another host suspect or dead; return the record if it changed."""
        held = self.records.get(host)
        if held is None or host == self.host or held.state >= state:
            return None
        record = held._replace(state=state)
        self._store(record)
        return record

    def remove(self, host: HostId) -> None:
        """Forget a host that has been dead for long."""
        record = self.records.pop(host)
        self.host_set_version += 1
        self._toggle(record)
        self._changed()

    def candidates(self, service: ServiceId) -> list[Candidate]:
        """Return the upstreams of `service` that take new work."""
        found = self._candidates.get(service)
        if found is None:
            found = self._candidates[service] = list(self._find_candidates(service))
        return found

    def lenders(self, workspace: WorkspaceId) -> list[HostRecord]:
        """Return the hosts that hold an allotment of `workspace`."""
        found = self._lenders.get(workspace)
        if found is None:
            found = [
                record
                for record in self.records.values()
                if record.reachable and workspace in record.holds
            ]
            self._lenders[workspace] = found
        return found

    def peers(self) -> list[HostRecord]:
        """Return the other hosts that take part."""
        return [
            record
            for record in self.records.values()
            if record.reachable and record.host != self.host
        ]

    def domains(self) -> set[FailureDomainId]:
        """Return the failure domains that have hosts taking part."""
        if self._domains is None:
            records = self.records.values()
            self._domains = {r.failure_domain for r in records if r.reachable}
        return self._domains

    def in_buckets(self, buckets: Iterable[int]) -> list[HostRecord]:
        """Return the records that belong to `buckets`."""
        wanted = set(buckets)
        if not wanted:
            return []
        return [r for r in self.records.values() if bucket_of(r.host) in wanted]

    def differing_buckets(self, digest: tuple[int, ...]) -> list[int]:
        """Return the buckets whose hash differs from that in `digest`."""
        pairs = zip(self._buckets, digest, strict=False)
        return [index for index, (own, other) in enumerate(pairs) if own != other]

    def _refute(self, record: HostRecord) -> bool:
        own = self.own
        if record.version <= own.version:
            return False
        incarnation = own.incarnation
        if record.incarnation > incarnation:
            incarnation = Incarnation(record.incarnation + 1)
        sequence = max(own.sequence, record.sequence) + 1
        self._store(own._replace(incarnation=incarnation, sequence=sequence))
        return True

    def _store(self, record: HostRecord) -> None:
        held = self.records.get(record.host)
        if held is not None:
            self._toggle(held)
        if held is None or held.state is not record.state:
            self.host_set_version += 1
        self.records[record.host] = record
        self._toggle(record)
        self._changed()

    def _toggle(self, record: HostRecord) -> None:
        text = f"{record.host}|{record.version}"
        self._buckets[bucket_of(record.host)] ^= (
            xxh64_intdigest(text.encode()) & BUCKET_MASK
        )

    def _changed(self) -> None:
        self._candidates.clear()
        self._lenders.clear()
        self._domains = None

    def _find_candidates(self, service: ServiceId) -> Iterator[Candidate]:
        for record in self.records.values():
            if not record.reachable:
                continue
            for upstream in record.upstreams:
                if upstream.service == service and not upstream.state:
                    yield Candidate(
                        record.host, record.failure_domain, service, upstream.upstream
                    )


def bucket_of(host: HostId) -> int:
    """Return the digest bucket of a host."""
    return xxh64_intdigest(host.encode()) % BUCKET_COUNT


def rendezvous_score(key: str, host: HostId) -> int:
    """Return the weight of `host` for `key` in highest-random-weight hashing."""
    return xxh64_intdigest(f"{key}|{host}".encode())
