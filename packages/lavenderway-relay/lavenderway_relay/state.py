"""In-memory state of one node, shared by its components."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lavenderway_relay.admission import RootAdmission
from lavenderway_relay.evacuation import Evacuations
from lavenderway_relay.fair_share import FairShare
from lavenderway_relay.host_registry import HostRegistry
from lavenderway_relay.memory_ledger import MemoryLedger, compute_max_held_bytes
from lavenderway_relay.metrics import Metrics
from lavenderway_relay.model import Limits, UpstreamStatus
from lavenderway_relay.response_limits import (
    HELD_FRACTION,
    MAX_HELD_BYTES,
    MAX_RESERVED_BYTES,
    ResponseBudget,
)
from lavenderway_relay.routing import RouteTable, WeightedRoundRobin
from lavenderway_relay.running_requests import RunningRequests
from lavenderway_relay.tasks import BackgroundTasks
from lavenderway_relay.token_owners import TokenOwnerMap
from lavenderway_relay.token_role import LEASE_S, TokenRole
from lavenderway_relay.view_age import View, ViewAges
from lavenderway_relay.workspace_demand import DemandReports

if TYPE_CHECKING:
    from lavenderway_core.ids import HostId

    from lavenderway_relay.announcements import LocalUpstream
    from lavenderway_relay.header_names import HeaderNames
    from lavenderway_relay.load_balancer import LoadBalancer
    from lavenderway_relay.logs import LogStream
    from lavenderway_relay.model import Configuration, NodeSettings
    from lavenderway_relay.quota import WorkspaceTokens
    from lavenderway_relay.upstream_notices import UpstreamNotice

DEFAULT_CLASS_COUNT = 4  # importance classes before a configuration is loaded


@dataclass(kw_only=True)
class NodeState:
    """State of one node, read by all components; each field is assigned by only one.

    Attributes:
        settings: Settings of the node.
        header_names: Header names used by callers and upstreams.
        log: Structured log of the node.
        load_balancer: Reachability and load of all hosts, used to choose among them.
        local_upstream: The upstream on this host, as last announced.
        quota: Rate limit tokens that this host holds, for all workspaces.
        metrics: Counters, gauges and histograms of the node.
        admission: Admission control for root requests, which enter the call graph here.
        fair_share: Demand of the workspaces, which divides what is left in a shortage.
        demand_reports: Demands that other nodes have told this one.
        running_requests: Requests that the local upstream is running, by request ID.
        host_registry: Records of all hosts of the fleet.
        evacuations: The evacuated failure domains.
        view_ages: Ages of the configuration and of the host registry.
        service_round_robin: Counters that distribute the requests of each route over
            its services by weight.
        token_owners: The hosts that hold the token buckets of each workspace.
        route_table: The active configuration, indexed for lookups; None until the
            first one is loaded.
        document: The active configuration as stored, in encoded form; empty until the
            first one is loaded.
        serving: False once the node has been told to stop.
        exit_at: Event loop time by which the root requests that the node still takes
            must end, in seconds. Set once its callers have had time to move to other
            nodes; infinite before.
        complete_at: Event loop time at which the node breaks off what is unfinished, in
            seconds; set together with `exit_at`. Calls of running requests are taken
            as long as they end before it.
        started_ms: Wall-clock start of the process, in milliseconds.
        lag_s: Delay of the event loop's timers, in seconds.
        token_role: The share of its tokens that this host may issue.
        tasks: Background tasks of the node.
        ledger: Counts the memory of all requests and responses.
        response_budget: Limits the bytes of incomplete responses that the node holds.
        upstream_notices: What the upstreams of other hosts say of themselves, by host;
            hosts whose upstream says nothing are left out.

    """

    settings: NodeSettings
    header_names: HeaderNames
    log: LogStream
    load_balancer: LoadBalancer
    local_upstream: LocalUpstream
    quota: WorkspaceTokens
    metrics: Metrics = field(default_factory=Metrics)
    admission: RootAdmission = field(default_factory=RootAdmission)
    fair_share: FairShare = field(default_factory=FairShare)
    demand_reports: DemandReports = field(default_factory=DemandReports)
    running_requests: RunningRequests = field(default_factory=RunningRequests)
    host_registry: HostRegistry = field(default_factory=HostRegistry)
    evacuations: Evacuations = field(default_factory=Evacuations)
    view_ages: ViewAges = field(default_factory=ViewAges)
    service_round_robin: WeightedRoundRobin = field(default_factory=WeightedRoundRobin)
    token_owners: TokenOwnerMap = field(default_factory=TokenOwnerMap)
    route_table: RouteTable | None = None
    document: bytes = b""
    serving: bool = True
    exit_at: float = math.inf
    complete_at: float = math.inf
    started_ms: int = 0
    lag_s: float = 0.0
    upstream_notices: dict[HostId, UpstreamNotice] = field(default_factory=dict)
    token_role: TokenRole = field(init=False)
    _lease_expired: bool = False  # as logged last
    tasks: BackgroundTasks = field(init=False)
    ledger: MemoryLedger = field(init=False)
    response_budget: ResponseBudget = field(init=False)

    def __post_init__(self) -> None:
        """Create the components that depend on the log or the settings."""
        self.tasks = BackgroundTasks(log=self.log)
        self.token_role = TokenRole(
            host=self.settings.host, failure_domain=self.settings.failure_domain
        )
        self.ledger = MemoryLedger()
        self.response_budget = ResponseBudget(ledger=self.ledger)
        self.apply_memory_limit()

    def divides_shortage(self, now: float) -> bool:
        """Return whether a service lacks room that is to be divided fairly.

        A configuration that limits no workspace does not ask for it.
        """
        return (
            self.settings.divides_shortages
            and self.route_table is not None
            and self.route_table.limits_workspaces
            and self.admission.is_short(now)
        )

    def apply_settings(self, settings: NodeSettings, now: float) -> None:
        """Apply settings that have been read again."""
        self.settings = settings
        self.apply_memory_limit()
        self.quota.extra_burst = settings.extra_burst
        self.update_quota(now)

    def apply_memory_limit(self) -> None:
        """Bound what the process holds by the memory limit in the settings."""
        memory_bytes = self.settings.memory_bytes
        now = self.ledger.clock.now
        if memory_bytes is None:
            self.ledger.resize(math.inf, now)
            self.response_budget.resize(
                MAX_HELD_BYTES, max_reserved_bytes=MAX_RESERVED_BYTES
            )
        else:
            self.ledger.resize(compute_max_held_bytes(memory_bytes), now)
            self.response_budget.resize(int(memory_bytes * HELD_FRACTION))

    @property
    def config_version(self) -> int:
        """Version of the active configuration; 0 if none is loaded."""
        return 0 if self.route_table is None else self.route_table.configuration.version

    @property
    def ready(self) -> bool:
        """Whether callers should send new requests to this node."""
        return self.serving and self.route_table is not None

    @property
    def class_count(self) -> int:
        """Number of importance classes."""
        return (
            DEFAULT_CLASS_COUNT
            if self.route_table is None
            else self.route_table.class_count
        )

    @property
    def limits(self) -> Limits:
        """Size limits and timeouts for requests of callers."""
        return (
            Limits()
            if self.route_table is None
            else self.route_table.configuration.limits
        )

    @property
    def evacuated(self) -> bool:
        """Whether the failure domain of this host is evacuated."""
        return self.settings.failure_domain in self.evacuations.domains

    @property
    def cold_per_s(self) -> float | None:
        """Requests per second that the upstream on this host takes while it is cold."""
        upstream = self.local_upstream.current
        if self.route_table is None or upstream is None:
            return None
        return self.route_table.configuration.cold_per_s.get(upstream.service)

    @property
    def accepts_requests(self) -> bool:
        """Whether the upstream on this host accepts requests."""
        upstream = self.local_upstream.current
        if upstream is None or self.local_upstream.silent or self.evacuated:
            return False
        return upstream.status is UpstreamStatus.READY

    def apply_configuration(
        self, configuration: Configuration, document: bytes, now: float
    ) -> bool:
        """Activate a configuration if it is newer than the active one.

        A node never returns to an older version.

        Args:
            configuration: The decoded configuration.
            document: The same configuration as stored, in encoded form.
            now: Event loop time, in seconds.

        Returns:
            Whether the configuration was activated.

        """
        if configuration.version <= self.config_version:
            return False
        self.route_table = RouteTable(configuration=configuration)
        self.document = document
        self.update_quota(now)
        return True

    def update_token_owners(self, now: float) -> None:
        """Rebuild the token owner map if the hosts of the fleet have changed."""
        members = self.host_registry.members()
        if not self.token_owners.has_hosts(members):
            self.token_owners = TokenOwnerMap(members=members)
            self.log.state("keepers.changed", now, hosts=self.token_owners.host_count)
            self.update_quota(now)

    def update_quota(self, now: float) -> None:
        """Resize the token buckets for the present configuration, owners and share."""
        if self.route_table is None:
            return
        host = self.settings.host
        share = self.token_role.share(self.host_registry.members(), now)
        self.quota.resize(
            self.route_table.configuration.workspaces.values(),
            fraction_of=lambda workspace: (
                share * self.token_owners.fraction_of(workspace, host)
            ),
            now=now,
            lease_until=self._lease_until,
        )

    def renew_lease(self, now: float) -> None:
        """Extend the lease of the token buckets to the last confirmation of the hosts.

        A lease that has run out is renewed only by a later confirmation.
        """
        if math.isinf(self._lease_until):
            return  # nothing was confirmed yet
        if self.quota.lease_expired and now < self._lease_until:
            self.update_quota(now)
        else:
            self.quota.extend_lease(self._lease_until)
        if self.quota.lease_expired is not self._lease_expired:
            self._lease_expired = self.quota.lease_expired
            event = "keeper.lease_expired" if self._lease_expired else "keeper.renewed"
            age_s = self.view_ages.age_s(View.HOSTS, now)
            self.log.state(event, now, age_ms=round(age_s * 1e3))

    @property
    def _lease_until(self) -> float:
        return self.view_ages.confirmed_at(View.HOSTS) + LEASE_S
