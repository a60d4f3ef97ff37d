"""Data types for the configuration, the settings, hosts and upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.ids import (
    ServiceId,
)

from lavenderway_relay.revision import NO_REVISION, Revision

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderway_core.ids import (
        FailureDomainId,
        HostId,
        RouteId,
        UpstreamId,
        WorkspaceId,
    )


class Address(NamedTuple):
    """An IPv4 address and port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the address as `ip:port`."""
        return f"{self.ip}:{self.port}"


class ServiceWeight(NamedTuple):
    """Weight of one service among those that share a route's requests."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Routing rule for the requests of one authority and path prefix.

    Attributes:
        id: Name of the route.
        authority: Value of the request's Host header, in lower case.
        prefix: Path prefix; begins and ends with a slash.
        idempotent: Whether a request may be executed more than once.
        timeout_s: Longest time until a caller gets a response, in seconds.
        target_latency_s: Target latency, in seconds; a later response has less value.
        priority: Rank among the routes; 0 is the most important.
        service_weights: Services that share the requests, with their weights; at least
            one.
        max_attempts: Maximum number of attempts in which an upstream may have executed
            the request.
        public: Whether requests are accepted without a key.

    """

    id: RouteId
    authority: str
    prefix: bytes
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    priority: int
    service_weights: tuple[ServiceWeight, ...]
    max_attempts: int
    public: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """Priority and rate limit of a workspace, which apply to the whole fleet.

    Attributes:
        id: Name of the workspace.
        priority: Rank that takes precedence over the route's; 0 is the most
            important. None counts as 0.
        rate_per_s: Requests per second; 0 means no limit.
        burst: Number of requests accepted at once, in excess of the rate.

    """

    id: WorkspaceId
    priority: int | None
    rate_per_s: float
    burst: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Size limits and timeouts of a listener.

    Attributes:
        head_bytes: Maximum size of a request head, in bytes.
        body_bytes: Maximum size of a request body, in bytes.
        head_timeout_s: Longest time for a request head to arrive, in seconds.
        idle_timeout_s: Time after which an idle connection is closed, in seconds.

    """

    head_bytes: int = 16_384
    body_bytes: int = 1_048_576
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 30.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One version of the configuration that the operators have set.

    Attributes:
        version: Version number; a higher one is newer.
        routes: All routes.
        workspaces: All workspaces, by name.
        workspace_of_key: Workspace that each key belongs to.
        limits: Size limits and timeouts for requests of callers.
        cold_per_s: Requests per second that each upstream of a service takes while it
            is cold, by service; a service that is not named does not warm up.

    """

    version: int
    routes: tuple[Route, ...]
    workspaces: Mapping[WorkspaceId, Workspace]
    workspace_of_key: Mapping[bytes, WorkspaceId]
    limits: Limits = field(default_factory=Limits)
    cold_per_s: Mapping[ServiceId, float] = field(default_factory=dict)


class UpstreamStatus(Enum):
    """Lifecycle status that an upstream announces."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, kw_only=True, slots=True)
class Upstream:
    """An upstream, as last announced.

    An incarnation is one run of the upstream process.

    Attributes:
        id: ID that the upstream announces; a new incarnation may reuse it.
        service: Service that the upstream belongs to.
        address: Address for requests; reachable from its own host only.
        slots: Number of requests that the upstream executes concurrently.
        status: Lifecycle status, as last announced.
        started_ms: Wall-clock start of the incarnation, in milliseconds.
        sequence: Sequence number of the announcement within the incarnation.

    """

    id: UpstreamId
    service: ServiceId
    address: Address
    slots: int
    status: UpstreamStatus
    started_ms: int
    sequence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HostRecord:
    """Record of one host, stored and shared with the whole fleet.

    Attributes:
        host: Name of the host.
        address: Address on which the host's node accepts requests of peers.
        failure_domain: Failure domain of the host.
        serving: False once the host's node has been told to stop.
        upstream: The upstream on the host; None if none has been announced.
        started_ms: Wall-clock start of the node process, in milliseconds.
        joined: Whether the hosts that may own tokens without this one know it.
        revision: Version of the stored row, and the store's era when the record was
            built. A row of an older copy thus has an older revision than the rows
            that the store lost, which are still known to other nodes.

    """

    host: HostId
    address: Address
    failure_domain: FailureDomainId
    serving: bool
    upstream: Upstream | None
    started_ms: int = 0
    joined: bool = False
    revision: Revision = NO_REVISION

    @property
    def retired(self) -> bool:
        """Whether the host has left the fleet: its node and upstream have stopped.

        A node that stops while its upstream stays is expected to restart.
        """
        gone = self.upstream is None or self.upstream.status is UpstreamStatus.GONE
        return gone and not self.serving

    def is_restart_of(self, known: HostRecord) -> bool:
        """Return whether the host's node has restarted, or its upstream was replaced.

        An upstream that was added or removed counts as replaced.

        Args:
            known: Record of the host held so far.

        """
        if self.started_ms != known.started_ms:
            return True
        if self.upstream is None or known.upstream is None:
            return self.upstream is not known.upstream
        return self.upstream.id != known.upstream.id


@dataclass(frozen=True, kw_only=True, slots=True)
class Listeners:
    """Addresses that the node listens on.

    Attributes:
        callers: For requests of local callers and of the upstream on this host.
        peers: For requests of other nodes.
        readiness: For readiness checks and metrics collectors.
        announcements: For announcements of the upstream on this host.
        advertised: Address at which other nodes reach `peers`; None if it is the
            same.

    """

    callers: Address
    peers: Address
    readiness: Address
    announcements: Address
    advertised: Address | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """Settings of one node process.

    Attributes:
        host: Name of the host.
        failure_domain: Failure domain of the host.
        service: Service of the upstream on this host.
        upstream_address: Address of the upstream on this host.
        listeners: Addresses that the node listens on.
        store_address: Address of the store.
        shutdown_grace_s: Time from the stop signal until the process is killed, in
            seconds.
        announcement_interval_s: Expected time between two announcements, in seconds.
        extra_burst: Requests that a workspace may send in excess of its rate and
            burst, in any period of time and over all hosts.
        retry_budget_ratio: Retry budget of the fleet, as retries per request.
        retry_budget_slack: Retries that the fleet may send in excess of that ratio, in
            any period of time.
        memory_bytes: Memory limit of the process, in bytes; None if it is not known.
        max_sockets: Limit on the open sockets of the process; None if it is not known.
        learns_capacity: Whether to learn how many requests the upstream takes well.
        divides_shortages: Whether a shortage is divided fairly among the workspaces.

    """

    host: HostId
    failure_domain: FailureDomainId
    service: ServiceId
    upstream_address: Address
    listeners: Listeners
    store_address: Address
    shutdown_grace_s: float
    announcement_interval_s: float
    extra_burst: float = 0.0
    retry_budget_ratio: float = 0.05
    retry_budget_slack: float = 0.0
    memory_bytes: int | None = None
    max_sockets: int | None = None
    learns_capacity: bool = False
    divides_shortages: bool = True
