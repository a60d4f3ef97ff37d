"""Nodes in memory, for simulations: the relay's handlers without connections.

A delay stands for the network, and a sleep for the work of an upstream.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from lavenderway_core.ids import (
    FailureDomainId,
    HostId,
    RouteId,
    ServiceId,
    UpstreamId,
    WorkspaceId,
)
from lavenderway_platform.header_names import PLATFORM_HEADER_NAMES
from lavenderway_relay.announcements import LocalUpstream
from lavenderway_relay.caller_handler import UNKNOWN_RESULT, CallerRequestHandler
from lavenderway_relay.load_balancer import LoadBalancer
from lavenderway_relay.logs import LogStream
from lavenderway_relay.messages import Request, Response
from lavenderway_relay.model import (
    Address,
    Configuration,
    HostRecord,
    Listeners,
    NodeSettings,
    Route,
    ServiceWeight,
    Upstream,
    UpstreamStatus,
    Workspace,
)
from lavenderway_relay.node import PEER_UNACKNOWLEDGED_TIMEOUT_MS
from lavenderway_relay.peer_client import QUERY_TIMEOUT_S, TOKENS_TARGET, PeerClient
from lavenderway_relay.pools import ConnectError, ConnectionBrokenError
from lavenderway_relay.quota import WorkspaceTokens
from lavenderway_relay.state import NodeState
from lavenderway_relay.upstream_runner import UpstreamRunner

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from lavenderway_platform.deployment_file import (
        Deployment,
        HostPlan,
        KindPlan,
        ServicePlan,
    )
    from lavenderway_relay.concurrency import SlotRequest
    from lavenderway_relay.hops import HopRequest, UpstreamResult

    from lavenderway_dev.load_simulation import LoadSimulation

AUTHORITY = "app.example"
ANY_ADDRESS = Address("127.0.0.1", 1)
RETRY_BUDGET_RATIO = 0.05
RETRY_BUDGET_SLACK = 24.0
BURST_S = 1.0  # burst of a workspace, as seconds of its rate


class SimulatedServer:
    """Upstream of a host, which takes the place of the connections to it.

    A run holds a slot until its calls have ended. Requests beyond the slots wait in
    order of arrival, and are rejected when the queue is full.

    Args:
        simulation: The simulation.
        plan: Its service.
        time_factor: Factor of all run times.

    Attributes:
        node: Node beside the upstream.
        slowdown: Further factor of the run times, which disturbances change.
        down: Whether the upstream accepts no connections.
        rejected_share: Share of the requests that it rejects.
        lost_share: Share of the responses that it loses.
        breaks_off: Whether the connection of a lost response breaks; otherwise the
            response never arrives.

    """

    node: SimulatedNode

    def __init__(
        self, *, simulation: LoadSimulation, plan: ServicePlan, time_factor: float
    ) -> None:
        self.slowdown = 1.0
        self.down = False
        self.rejected_share = 0.0
        self.lost_share = 0.0
        self.breaks_off = False
        self._simulation = simulation
        self._slots = asyncio.Semaphore(plan.slots)
        self._max_waiting = plan.queue
        self._waiting = 0
        self._time_factor = time_factor
        self._call_numbers = itertools.count(1)

    async def exchange(
        self, _address: Address, _data: bytes, *, expected_id: bytes, **_options: float
    ) -> Response:
        """Run a request, like `ConnectionPool.exchange`."""
        if self.down:
            raise ConnectError("the upstream is down")
        names = PLATFORM_HEADER_NAMES
        headers = [(names.request_id, expected_id), (names.signature, b"simulated")]
        is_full = self._slots.locked() and self._waiting >= self._max_waiting
        if is_full or self._simulation.random.random() < self.rejected_share:
            return Response(503, [*headers, (names.not_executed, b"1")], b"")
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            completed = await self._run(expected_id)
        finally:
            self._slots.release()
        if self._simulation.random.random() < self.lost_share:
            if self.breaks_off:
                raise ConnectionBrokenError("connection reset")
            await asyncio.sleep(math.inf)
        return Response(200 if completed else 500, headers, b"")

    async def _run(self, request_id: bytes) -> bool:
        """Run a request in a slot; return whether its calls have succeeded."""
        kind = self._simulation.begin_run(request_id)
        run_s = self._simulation.draw_run_time(kind.run_times)
        await asyncio.sleep(run_s * self._time_factor * self.slowdown)
        return await self._make_calls(kind, request_id)

    async def _make_calls(self, kind: KindPlan, request_id: bytes) -> bool:
        """Make the calls of a run; return whether all have succeeded."""
        for call in kind.calls:
            if self._simulation.random.random() >= call.share:
                continue
            called = self._simulation.deployment.kinds[call.kind]
            if call.parallel:
                results = await asyncio.gather(
                    *(self._call(called, request_id) for _ in range(call.times))
                )
                if not all(results):
                    return False
                continue
            for _ in range(call.times):
                if not await self._call(called, request_id):
                    return False
        return True

    async def _call(self, kind: KindPlan, parent_id: bytes) -> bool:
        call_id = b"%b.%x" % (parent_id, next(self._call_numbers))
        response = await self._simulation.send(self.node, kind, call_id, workspace=None)
        return response.status == 200

    def close(self) -> None:
        """Do nothing; there are no connections."""

    def close_idle(self, now: float) -> None:
        """Do nothing; there are no connections."""


class SimulatedRunner(UpstreamRunner):
    """Runner whose upstream is simulated.

    Args:
        state: State of the node.
        loop: The event loop.
        server: The upstream.
        record_wait: Called with the time that a request waited for its slot.

    """

    def __init__(
        self,
        *,
        state: NodeState,
        loop: asyncio.AbstractEventLoop,
        server: SimulatedServer,
        record_wait: Callable[[float], None],
    ) -> None:
        self._server = server
        self._record_wait = record_wait
        super().__init__(state=state, loop=loop)

    def _open_pool(self) -> Any:
        return self._server

    async def _wait_for_slot(self, slot_request: SlotRequest, now: float) -> bool:
        started = await super()._wait_for_slot(slot_request, now)
        if started:
            self._record_wait(self._loop.time() - now)
        return started

    @property
    def has_free_slot(self) -> bool:
        """Whether a request would start at once."""
        limiter = self._limiter
        return limiter.running < limiter.concurrency and not limiter.waiting


class SimulatedPeerClient(PeerClient):
    """Client for the other nodes that calls them after a delay."""

    simulation: LoadSimulation

    async def send(
        self, record: HostRecord, request: Request, hop_request: HopRequest
    ) -> UpstreamResult:
        """Run a request at the upstream of a host."""
        if record.host == self._state.settings.host:
            return await super().send(record, request, hop_request)
        if self.simulation.is_cut(self._state.settings.failure_domain, record):
            return await self._lose(record)
        node = self.simulation.nodes[record.host]
        delay_s = self._delay_s(record)
        await asyncio.sleep(delay_s)
        result = await node.runner.run(request, hop_request)
        await asyncio.sleep(delay_s)
        return result

    async def query(
        self, record: HostRecord, target: bytes, payload: dict[str, Any]
    ) -> dict[str, Any] | None:
        """Send a query to another node."""
        if self.simulation.is_cut(self._state.settings.failure_domain, record):
            await asyncio.sleep(QUERY_TIMEOUT_S)
            self._mark_unreachable(record, TimeoutError())
            return None
        delay_s = self._delay_s(record)
        await asyncio.sleep(delay_s)
        reply: dict[str, Any] = {}
        if target == TOKENS_TARGET:
            quota = self.simulation.nodes[record.host].state.quota
            now = self._loop.time()
            reply["granted"] = quota.lend(payload["workspace"], payload["amount"], now)
        await asyncio.sleep(delay_s)
        return reply

    async def _lose(self, record: HostRecord) -> UpstreamResult:
        """Return the result of a request whose packets are dropped."""
        await asyncio.sleep(PEER_UNACKNOWLEDGED_TIMEOUT_MS / 1e3)
        self._mark_unreachable(record, TimeoutError())
        return UNKNOWN_RESULT

    def _delay_s(self, record: HostRecord) -> float:
        deployment = self.simulation.deployment
        if record.failure_domain == self._state.settings.failure_domain:
            return deployment.own_domain_delay_s
        return deployment.other_domain_delay_s


@dataclass(kw_only=True)
class SimulatedNode:
    """A node and the upstream beside it."""

    host: HostId
    plan: HostPlan
    state: NodeState
    runner: SimulatedRunner
    handler: CallerRequestHandler
    peer_client: SimulatedPeerClient
    server: SimulatedServer


def create_node(
    *,
    simulation: LoadSimulation,
    host: HostId,
    plan: HostPlan,
    server: SimulatedServer,
    record_wait: Callable[[float], None],
    log: int,
) -> SimulatedNode:
    """Create a node and put it beside an upstream.

    Args:
        simulation: The simulation.
        host: Host of the node.
        plan: Failure domain and service of the host.
        server: The upstream.
        record_wait: Called with the time that a request waited for its slot.
        log: Descriptor of the node's log.

    """
    loop, random = asyncio.get_running_loop(), simulation.random
    listeners = Listeners(
        callers=ANY_ADDRESS,
        peers=ANY_ADDRESS,
        readiness=ANY_ADDRESS,
        announcements=ANY_ADDRESS,
    )
    settings = NodeSettings(
        host=host,
        failure_domain=FailureDomainId(plan.failure_domain),
        service=ServiceId(plan.service),
        upstream_address=ANY_ADDRESS,
        listeners=listeners,
        store_address=ANY_ADDRESS,
        shutdown_grace_s=6.0,
        announcement_interval_s=3600.0,  # none is repeated here
        retry_budget_ratio=RETRY_BUDGET_RATIO,
        retry_budget_slack=RETRY_BUDGET_SLACK,
    )
    state = NodeState(
        settings=settings,
        header_names=PLATFORM_HEADER_NAMES,
        log=LogStream(host=host, descriptor=log),
        load_balancer=LoadBalancer(
            host=host,
            failure_domain=settings.failure_domain,
            random=random.random,
        ),
        local_upstream=LocalUpstream(interval_s=settings.announcement_interval_s),
        quota=WorkspaceTokens(),
    )
    runner = SimulatedRunner(
        state=state, loop=loop, server=server, record_wait=record_wait
    )
    peer_client = SimulatedPeerClient(
        state=state,
        upstream_runner=runner,
        loop=loop,
        random=random.random,
    )
    peer_client.simulation = simulation
    handler = CallerRequestHandler(
        state=state,
        peer_client=peer_client,
        loop=loop,
        random=random.random,
    )
    node = SimulatedNode(
        host=host,
        plan=plan,
        state=state,
        runner=runner,
        handler=handler,
        peer_client=peer_client,
        server=server,
    )
    server.node = node
    return node


def make_upstream(node: SimulatedNode, slots: int) -> Upstream:
    """Return the upstream of a node, as it announces itself."""
    return Upstream(
        id=UpstreamId(f"u-{node.host}"),
        service=ServiceId(node.plan.service),
        address=ANY_ADDRESS,
        slots=slots,
        status=UpstreamStatus.READY,
        started_ms=0,
        sequence=0,
    )


def make_record(node: SimulatedNode, upstream: Upstream) -> HostRecord:
    """Return the record of a host."""
    return HostRecord(
        host=node.host,
        address=ANY_ADDRESS,
        failure_domain=node.state.settings.failure_domain,
        serving=True,
        upstream=upstream,
    )


def make_configuration(
    deployment: Deployment, per_s: float, weights: Mapping[str, float]
) -> Configuration:
    """Return the configuration of a deployment.

    Args:
        deployment: The deployment.
        per_s: Requests per second that all workspaces usually send.
        weights: Shares of the workspaces, relative to each other.

    """
    routes = [
        Route(
            id=RouteId(kind.name),
            authority=AUTHORITY,
            prefix=f"/{kind.name}/".encode(),
            idempotent=kind.idempotent,
            timeout_s=kind.deadline_s,
            target_latency_s=kind.target_s,
            priority=kind.importance,
            service_weights=(ServiceWeight(ServiceId(kind.service), 1.0),),
            max_attempts=kind.retries + 1,
            public=True,
        )
        for kind in deployment.kinds.values()
    ]
    total = sum(weights.values())
    workspaces = {}
    for name, weight in weights.items():
        rate_per_s = deployment.quota_factor * per_s * weight / total
        workspaces[WorkspaceId(name)] = Workspace(
            id=WorkspaceId(name),
            priority=None,
            rate_per_s=rate_per_s,
            burst=rate_per_s * BURST_S,
        )
    return Configuration(
        version=1,
        routes=tuple(routes),
        workspaces=workspaces,
        workspace_of_key={name.encode(): name for name in workspaces},
    )
