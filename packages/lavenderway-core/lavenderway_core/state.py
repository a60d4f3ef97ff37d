"""State of a node, which only the reducer changes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.allotments import Allotment, AllotmentId, Share
from lavenderway_core.balancer import Balancer
from lavenderway_core.directory import Directory
from lavenderway_core.ids import (
    HostId,
)
from lavenderway_core.lifecycle import NodeLifecycle
from lavenderway_core.membership import HostRecord, HostState, Membership
from lavenderway_core.resources import WorkspaceSpec
from lavenderway_core.retries import RetryBudget

if TYPE_CHECKING:
    from lavenderway_core.admission import Admission, Running
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
    """Phase of a caller's request at its entry node."""

    WAITING_FOR_TOKEN = "waiting-for-token"
    ATTEMPTING = "attempting"
    ANSWERING = "answering"


@dataclass(slots=True, kw_only=True)
class Exchange:
    """A caller's request at its entry node.

    Attributes:
        kept_retries: Retries that this node may use to repeat an execution.
        passed_retries: Retries that go down the chain with the first attempt.
        may_have_run: Whether an attempt that was given up may have been executed.

    """

    call: Call
    fingerprint: str
    phase: ExchangePhase
    kept_retries: int
    passed_retries: int
    attempts: int = 0
    job: JobId | None = None
    upstream: UpstreamId | None = None
    peer: HostId | None = None
    tried: list[UpstreamId] = field(default_factory=list)
    may_have_run: bool = False
    cut_at: float | None = None


class JobPhase(Enum):
    """Phase of an attempt at the node that runs it."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    RUNNING = "running"


@dataclass(slots=True, kw_only=True)
class Job:
    """An attempt at the node of the upstream's host.

    Attributes:
        number: Number that the context carries as parent.
        nested: Calls of the upstream that this job waits for at present.
        nested_since: Time at which the first of them began, in seconds.
        nested_s: Time spent waiting for such calls so far.
        claim_version: Version of the claimed row.
        overloaded_below: Whether a call of the upstream was refused by overload.

    """

    spec: JobSpec
    number: ExchangeId
    deadline: float
    phase: JobPhase
    arrived: float
    begun: Running | None = None
    nested: int = 0
    nested_since: float = 0.0
    nested_s: float = 0.0
    claim_version: int | None = None
    overloaded_below: bool = False


@dataclass(slots=True, kw_only=True)
class LocalUpstream:
    """An upstream of this host.

    Attributes:
        renewed_at: Time of the last announcement, in seconds.
        draining: Whether the upstream itself or an operator drains it.

    """

    upstream: UpstreamId
    service: ServiceId
    address: str
    renewed_at: float
    announced_draining: bool
    admission: Admission


@dataclass(slots=True, kw_only=True)
class GossipState:
    """Progress of gossip and failure detection.

    Attributes:
        rumours: Times that each changed record is still to be passed on.
        strikes: Probes without a reply, by host.
        suspect_since: Time of suspicion, by host, in seconds.

    """

    next_round: float = 0.0
    rounds: int = 0
    rumours: Counter[HostId] = field(default_factory=Counter)
    strikes: Counter[HostId] = field(default_factory=Counter)
    suspect_since: dict[HostId, float] = field(default_factory=dict)
    ended_since: dict[HostId, float] = field(default_factory=dict)
    seeds: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True)
class ConfigState:
    """Progress of reading and confirming the configuration.

    Attributes:
        applied: Revision in force on the hosts that report here.
        domains: Last status of each failure domain with the time it came.
        status_wanted_until: Time until which status is asked for, in seconds.

    """

    next_poll: float = 0.0
    reading: bool = False
    next_report: float = 0.0
    applied: dict[HostId, Revision] = field(default_factory=dict)
    domains: dict[FailureDomainId, tuple[StatusReply, float]] = field(
        default_factory=dict
    )
    status_wanted_until: float = float("-inf")
    next_status: float = 0.0


@dataclass(slots=True, kw_only=True)
class Observation:
    """When a row of another holder was first seen at its present version."""

    version: int
    since: float


class PendingLease(NamedTuple):
    """A row that a transaction under way sets.

    Attributes:
        own_before: Whether the row was held by an earlier start of this host.
        starts_full: Whether the bucket begins with its whole burst.

    """

    place: AllotmentId
    share: Share
    own_before: bool
    starts_full: bool


class Placement(NamedTuple):
    """Holders of a workspace's allotments in this failure domain.

    Attributes:
        version: Version of the set of hosts from which it was worked out.
        workspace: Specification from which it was worked out.
        total: Number of allotments in all failure domains.

    """

    version: int
    workspace: WorkspaceSpec
    total: int
    holders: dict[AllotmentId, HostId | None]

    def places_of(self, host: HostId) -> list[AllotmentId]:
        """Return the allotments that a host should hold."""
        return [place for place, holder in self.holders.items() if holder == host]


@dataclass(slots=True, kw_only=True)
class LeasingState:
    """Progress of acquiring and renewing allotments."""

    observed: dict[str, Observation] = field(default_factory=dict)
    next_try: dict[WorkspaceId, float] = field(default_factory=dict)
    busy: set[WorkspaceId] = field(default_factory=set)
    pending: dict[WorkspaceId, list[PendingLease]] = field(default_factory=dict)
    placements: dict[WorkspaceId, Placement] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class NodeState:
    """Everything that a node knows and has under way."""

    host: HostId
    failure_domain: FailureDomainId
    address: str
    incarnation: Incarnation
    random: Random
    lifecycle: NodeLifecycle
    directory: Directory
    members: Membership
    balancer: Balancer
    retry_budget: RetryBudget
    exchanges: dict[ExchangeId, Exchange] = field(default_factory=dict)
    jobs: dict[JobId, Job] = field(default_factory=dict)
    jobs_by_number: dict[ExchangeId, JobId] = field(default_factory=dict)
    next_job: int = 1
    upstreams: dict[UpstreamId, LocalUpstream] = field(default_factory=dict)
    allotments: dict[AllotmentId, Allotment] = field(default_factory=dict)
    allotments_by_workspace: dict[WorkspaceId, list[Allotment]] = field(
        default_factory=dict
    )
    borrowings: dict[WorkspaceId, Borrowing] = field(default_factory=dict)
    next_loan: int = 1
    next_control: int = 1
    gossip: GossipState = field(default_factory=GossipState)
    config: ConfigState = field(default_factory=ConfigState)
    leasing: LeasingState = field(default_factory=LeasingState)

    def take_control_number(self) -> int:
        """Return a number for a control request."""
        self.next_control += 1
        return self.next_control


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
    """Return the state of a node that has just started.

    Args:
        host: Host of the node.
        failure_domain: Failure domain of the host.
        address: IP address and port of the listener for peers.
        incarnation: Higher than that of any earlier start on this host.
        seed: Seed of the node's random choices.
        seeds: Addresses of peers to ask first.
        now: Present time in seconds.

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
        directory=Directory(),
        members=Membership(own=own),
        balancer=Balancer(host=host, failure_domain=failure_domain, random=random),
        retry_budget=RetryBudget(now=now),
        gossip=GossipState(seeds=seeds),
    )
