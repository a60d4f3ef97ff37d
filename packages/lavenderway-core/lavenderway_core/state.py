"""Mutable state of a node, which only the handlers of the reducer change."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.allotments import Allotment, AllotmentId, Share
from lavenderway_core.balancer import LoadBalancer
from lavenderway_core.configuration_store import ConfigurationStore
from lavenderway_core.ids import (
    HostId,
)
from lavenderway_core.lifecycle import NodeLifecycle
from lavenderway_core.membership import HostRecord, HostState, Membership
from lavenderway_core.resources import WorkspaceSpec
from lavenderway_core.retries import RetryBudget

if TYPE_CHECKING:
    from lavenderway_core.admission import Admission, RunningJob
    from lavenderway_core.borrowing import Borrowing
    from lavenderway_core.events import JobSpec
    from lavenderway_core.identification import Call
    from lavenderway_core.ids import (
        ExchangeId,
        FailureDomainId,
        Incarnation,
        JobId,
        Revision,
        ServiceId,
        UpstreamId,
        WorkspaceId,
    )
    from lavenderway_core.messages import StatusReply


class ExchangePhase(Enum):
    """Phase of a caller's request on its entry node."""

    WAITING_FOR_TOKEN = "waiting-for-token"
    ATTEMPTING = "attempting"
    RESPONDING = "answering"


@dataclass(slots=True, kw_only=True)
class Exchange:
    """A caller's request on its entry node.

    Attributes:
        own_retries: Retries that this node may spend on further attempts.
        nested_retries: Retries passed down the call chain with the first attempt.
        tried_upstreams: Upstreams to which an attempt was sent.
        may_have_run: Whether an abandoned attempt may have been executed.
        cancel_at: Time in seconds at which the exchange is aborted because its key was
            deleted, or None.

    """

    call: Call
    fingerprint: str
    phase: ExchangePhase
    own_retries: int
    nested_retries: int
    attempts: int = 0
    job: JobId | None = None
    upstream: UpstreamId | None = None
    peer: HostId | None = None
    tried_upstreams: list[UpstreamId] = field(default_factory=list)
    may_have_run: bool = False
    cancel_at: float | None = None


class JobPhase(Enum):
    """Phase of an attempt on the node that executes it."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    RUNNING = "running"


@dataclass(slots=True, kw_only=True)
class Job:
    """An attempt on the node of the upstream's host.

    Attributes:
        number: Number by which nested calls refer to this job as their parent job.
        running: Admission record of the job while it runs, or None.
        nested_calls: Number of nested calls in progress. A nested call is one that the
            upstream makes while it handles this job.
        nested_since: Time in seconds since which nested calls have been in progress
            without a gap.
        nested_s: Seconds spent so far with nested calls in progress.
        claim_version: Version of the claimed row.
        nested_overload: Whether a nested call was refused because of overload.

    """

    spec: JobSpec
    number: ExchangeId
    deadline: float
    phase: JobPhase
    arrived_at: float
    running: RunningJob | None = None
    nested_calls: int = 0
    nested_since: float = 0.0
    nested_s: float = 0.0
    claim_version: int | None = None
    nested_overload: bool = False


@dataclass(slots=True, kw_only=True)
class LocalUpstream:
    """An upstream of this host.

    Attributes:
        renewed_at: Time in seconds of the last announcement.
        announced_draining: Whether the upstream is draining by its own announcement,
            because it has left or because its announcements have stopped.

    """

    upstream: UpstreamId
    service: ServiceId
    address: str
    renewed_at: float
    announced_draining: bool
    admission: Admission


@dataclass(slots=True, kw_only=True)
class GossipState:
    """State of gossip and failure detection.

    Attributes:
        transmits_left: Number of times left to send each changed record, by host.
        failed_probes: Consecutive probes without a reply, by host.
        suspect_since: Time in seconds at which each suspect host became suspect.
        non_member_since: Time in seconds at which each host that is leaving or dead was
            first seen in such a state.
        seeds: Addresses of peers through which the node joins the fleet.

    """

    next_round_at: float = 0.0
    rounds: int = 0
    transmits_left: Counter[HostId] = field(default_factory=Counter)
    failed_probes: Counter[HostId] = field(default_factory=Counter)
    suspect_since: dict[HostId, float] = field(default_factory=dict)
    non_member_since: dict[HostId, float] = field(default_factory=dict)
    seeds: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True)
class ConfigState:
    """State of reading and confirming the configuration.

    Attributes:
        poll_in_flight: Whether a read of the table is in progress.
        applied_revisions: Revision applied by each host that reports to this node.
        domain_statuses: Last status of each failure domain and the time of its arrival.
        status_updates_until: Time in seconds until which status is requested.

    """

    next_poll_at: float = 0.0
    poll_in_flight: bool = False
    next_report_at: float = 0.0
    applied_revisions: dict[HostId, Revision] = field(default_factory=dict)
    domain_statuses: dict[FailureDomainId, tuple[StatusReply, float]] = field(
        default_factory=dict
    )
    status_updates_until: float = float("-inf")
    next_status_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class RowObservation:
    """Version of an allotment row, and the time at which this node first saw it."""

    version: int
    first_seen_at: float


class PendingLease(NamedTuple):
    """Allotment row that a transaction in progress writes.

    Attributes:
        held_before_restart: Whether an earlier incarnation of this host held the row.
        starts_full: Whether the bucket starts with its whole burst.

    """

    allotment_id: AllotmentId
    share: Share
    held_before_restart: bool
    starts_full: bool


class Placement(NamedTuple):
    """Assignment of a workspace's allotments to hosts of this failure domain.

    Attributes:
        version: Version of the set of hosts from which it was computed.
        workspace: Specification from which it was computed.
        total: Number of allotments in all failure domains.
        holders: Host that should hold each allotment, or None if no host is alive.

    """

    version: int
    workspace: WorkspaceSpec
    total: int
    holders: dict[AllotmentId, HostId | None]

    def allotments_of(self, host: HostId) -> list[AllotmentId]:
        """Return the allotments assigned to a host."""
        return [
            allotment_id
            for allotment_id, holder in self.holders.items()
            if holder == host
        ]


@dataclass(slots=True, kw_only=True)
class LeasingState:
    """State of acquiring and renewing allotments.

    Attributes:
        observations: When each row was first seen at its version, by row key.
        next_attempt_at: Earliest time in seconds of the next attempt, by workspace.
        in_flight: Workspaces with a read or transaction in progress.
        pending: Rows that the transaction in progress writes, by workspace.
        placements: Cached assignments, by workspace.

    """

    observations: dict[str, RowObservation] = field(default_factory=dict)
    next_attempt_at: dict[WorkspaceId, float] = field(default_factory=dict)
    in_flight: set[WorkspaceId] = field(default_factory=set)
    pending: dict[WorkspaceId, list[PendingLease]] = field(default_factory=dict)
    placements: dict[WorkspaceId, Placement] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class NodeState:
    """Complete state of a node: configuration, membership and work in progress."""

    host: HostId
    failure_domain: FailureDomainId
    address: str
    incarnation: Incarnation
    random: Random
    lifecycle: NodeLifecycle
    configuration_store: ConfigurationStore
    members: Membership
    load_balancer: LoadBalancer
    retry_budget: RetryBudget
    exchanges: dict[ExchangeId, Exchange] = field(default_factory=dict)
    jobs: dict[JobId, Job] = field(default_factory=dict)
    jobs_by_number: dict[ExchangeId, JobId] = field(default_factory=dict)
    next_job_number: int = 1
    upstreams: dict[UpstreamId, LocalUpstream] = field(default_factory=dict)
    allotments: dict[AllotmentId, Allotment] = field(default_factory=dict)
    allotments_by_workspace: dict[WorkspaceId, list[Allotment]] = field(
        default_factory=dict
    )
    borrowings: dict[WorkspaceId, Borrowing] = field(default_factory=dict)
    next_loan_number: int = 1
    next_control_number: int = 1
    gossip: GossipState = field(default_factory=GossipState)
    config: ConfigState = field(default_factory=ConfigState)
    leasing: LeasingState = field(default_factory=LeasingState)

    def allocate_control_number(self) -> int:
        """Return an unused number for a control request."""
        self.next_control_number += 1
        return self.next_control_number


def create_state(
    *,
    host: HostId,
    failure_domain: FailureDomainId,
    address: str,
    incarnation: Incarnation,
    seed: int,
    seeds: tuple[str, ...],
    now: float,
) -> NodeState:
    """Return the initial state of a node.

    Args:
        host: Host of the node.
        failure_domain: Failure domain of the host.
        address: IP address and port on which the node listens for peers.
        incarnation: Number higher than that of any earlier start on this host.
        seed: Seed of the node's random number generator.
        seeds: Addresses of peers to contact first.
        now: Current time in seconds.

    """
    random = Random(seed)
    own = HostRecord(
        host, failure_domain, address, incarnation, 1, HostState.ALIVE, (), ()
    )
    return NodeState(
        host=host,
        failure_domain=failure_domain,
        address=address,
        incarnation=incarnation,
        random=random,
        lifecycle=NodeLifecycle(),
        configuration_store=ConfigurationStore(),
        members=Membership(own=own),
        load_balancer=LoadBalancer(
            host=host, failure_domain=failure_domain, random=random
        ),
        retry_budget=RetryBudget(now=now),
        gossip=GossipState(seeds=seeds),
    )
