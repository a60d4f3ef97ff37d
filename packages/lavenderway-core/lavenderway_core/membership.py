"""Membership records of hosts and their upstreams, replicated by gossip.

Only a host itself changes its record, and raises the sequence each time; a restart
raises the incarnation. Other hosts may only declare it suspect or dead, which the host
refutes with a higher sequence, as in SWIM (Das, Gupta, Motivala, 2002).
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

DIGEST_BUCKET_COUNT = 64
DIGEST_HASH_MASK = 0xFFFFFFFF


class HostState(IntEnum):
    """State of a host; at equal incarnation and sequence the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class UpstreamState(IntEnum):
    """State of an upstream, as announced by the node on its host."""

    READY = 0
    DRAINING = 1


class UpstreamRecord(NamedTuple):
    """Upstream that runs on a host."""

    upstream: UpstreamId
    service: ServiceId
    state: UpstreamState


class HostRecord(NamedTuple):
    """Membership record of a host.

    Attributes:
        address: IP address and port on which the host listens for peers.
        incarnation: Number that rises with each start of the node.
        sequence: Number that the host raises with each change of its record.
        held_workspaces: Workspaces of which the host holds an allotment.

    """

    host: HostId
    failure_domain: FailureDomainId
    address: str
    incarnation: Incarnation
    sequence: int
    state: HostState
    upstreams: tuple[UpstreamRecord, ...]
    held_workspaces: tuple[WorkspaceId, ...]

    @property
    def version(self) -> tuple[int, int, int]:
        """Sort key of the records of one host; the newest is the highest."""
        return (self.incarnation, self.sequence, self.state)

    @property
    def is_member(self) -> bool:
        """Whether the host is a member of the fleet, neither leaving nor dead."""
        return self.state in (HostState.ALIVE, HostState.SUSPECT)


class Membership:
    """Records of all hosts, with a digest for anti-entropy.

    The results of queries are cached until a record changes.

    Args:
        own: Initial record of this node's host.

    """

    def __init__(self, *, own: HostRecord) -> None:
        self.host = own.host
        self.records: dict[HostId, HostRecord] = {}
        self.host_set_version = 0
        self._buckets = [0] * DIGEST_BUCKET_COUNT
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
        """Hash of the records in each bucket of hosts."""
        return tuple(self._buckets)

    def update_own(self, **changes: object) -> HostRecord:
        """Change fields of this host's record, raise its sequence and return it."""
        own = self.own
        record = own._replace(sequence=own.sequence + 1, **changes)  # type: ignore[arg-type]
        self._store(record)
        return record

    def merge(self, record: HostRecord) -> bool:
        """Store a record if it is newer than the stored one.

        A newer record of this node's own host comes from another node or an earlier
        start. It is refuted: this node's record is given a higher version.

        Returns:
            Whether a record changed.

        """
        if record.host == self.host:
            return self._refute(record)
        known = self.records.get(record.host)
        if known is not None and known.version >= record.version:
            return False
        self._store(record)
        return True

    def declare_state(self, host: HostId, state: HostState) -> HostRecord | None:
        """Declare another host suspect or dead.

        Returns:
            The changed record, or None if nothing changed.

        """
        known = self.records.get(host)
        if known is None or host == self.host or known.state >= state:
            return None
        record = known._replace(state=state)
        self._store(record)
        return record

    def remove(self, host: HostId) -> None:
        """Remove the record of a host."""
        record = self.records.pop(host)
        self.host_set_version += 1
        self._toggle_in_digest(record)
        self._invalidate_caches()

    def candidates(self, service: ServiceId) -> list[Candidate]:
        """Return the upstreams of `service` that accept new requests."""
        found = self._candidates.get(service)
        if found is None:
            found = self._candidates[service] = list(self._find_candidates(service))
        return found

    def lenders(self, workspace: WorkspaceId) -> list[HostRecord]:
        """Return the members that hold an allotment of `workspace`."""
        found = self._lenders.get(workspace)
        if found is None:
            found = [
                record
                for record in self.records.values()
                if record.is_member and workspace in record.held_workspaces
            ]
            self._lenders[workspace] = found
        return found

    def peers(self) -> list[HostRecord]:
        """Return the members other than this host."""
        return [
            record
            for record in self.records.values()
            if record.is_member and record.host != self.host
        ]

    def domains(self) -> set[FailureDomainId]:
        """Return the failure domains that have at least one member."""
        if self._domains is None:
            records = self.records.values()
            self._domains = {r.failure_domain for r in records if r.is_member}
        return self._domains

    def records_in_buckets(self, buckets: Iterable[int]) -> list[HostRecord]:
        """Return the records of hosts in the given digest buckets."""
        wanted = set(buckets)
        if not wanted:
            return []
        return [r for r in self.records.values() if compute_bucket(r.host) in wanted]

    def differing_buckets(self, digest: tuple[int, ...]) -> list[int]:
        """Return the digest buckets whose hash differs from that in `digest`."""
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
        known = self.records.get(record.host)
        if known is not None:
            self._toggle_in_digest(known)
        if known is None or known.state is not record.state:
            self.host_set_version += 1
        self.records[record.host] = record
        self._toggle_in_digest(record)
        self._invalidate_caches()

    def _toggle_in_digest(self, record: HostRecord) -> None:
        text = f"{record.host}|{record.version}"
        self._buckets[compute_bucket(record.host)] ^= (
            xxh64_intdigest(text.encode()) & DIGEST_HASH_MASK
        )

    def _invalidate_caches(self) -> None:
        self._candidates.clear()
        self._lenders.clear()
        self._domains = None

    def _find_candidates(self, service: ServiceId) -> Iterator[Candidate]:
        for record in self.records.values():
            if not record.is_member:
                continue
            for upstream in record.upstreams:
                if upstream.service == service and not upstream.state:
                    yield Candidate(
                        record.host, record.failure_domain, service, upstream.upstream
                    )


def compute_bucket(host: HostId) -> int:
    """Return the digest bucket of a host."""
    return xxh64_intdigest(host.encode()) % DIGEST_BUCKET_COUNT


def rendezvous_score(key: str, host: HostId) -> int:
    """Return the score of `host` for `key` in rendezvous hashing."""
    return xxh64_intdigest(f"{key}|{host}".encode())
