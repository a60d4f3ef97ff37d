"""Plays the load of a day on the deciding and handling code of the relay, in memory.

Each host has the `CallerRequestHandler` and the `UpstreamRunner` of a real node, in
virtual time; a delay stands for the network, and a sleep for the work of an upstream.
There are no connections, no parsing and no store, and processor time costs nothing. So
a policy can be judged on many seeded days, and a change of it traced to what callers
get.

Callers repeat a refused request after the delay that the refusal states, as often as
its kind allows; a request counts once, by its last result.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import os
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lavenderway_core.ids import HostId
from lavenderway_platform.header_names import PLATFORM_HEADER_NAMES
from lavenderway_relay.admission_level import LEVEL_UPDATE_INTERVAL_S
from lavenderway_relay.messages import Request, Response
from lavenderway_relay.view_age import View

from lavenderway_dev.day_results import DayResult, Result
from lavenderway_dev.disturbances import find_start
from lavenderway_dev.simulated_nodes import (
    AUTHORITY,
    SimulatedNode,
    SimulatedServer,
    create_node,
    make_configuration,
    make_record,
    make_upstream,
)
from lavenderway_dev.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    import random as random_module
    from collections.abc import Callable

    from lavenderway_platform.deployment_file import (
        ArrivalPlan,
        DayPlan,
        Deployment,
        Disturbance,
        KindPlan,
        RunTimes,
    )
    from lavenderway_relay.model import HostRecord

    from lavenderway_dev.disturbances import Start

WINDOW_S = 1.0
# Share of the requests of a window that must be served for it to count as recovered.
RECOVERED_SHARE = 0.9
DEFAULT_SHARE = 0.15  # of the upstreams of a service


@dataclass(kw_only=True)
class Policy:
    """A way to decide, which a registered function makes from the one in force.

    Attributes:
        slots: Returns the slots that an upstream announces.
        prepare: Changes a node before the day.

    """

    slots: Callable[[int], int] = lambda slots: slots
    prepare: Callable[[SimulatedNode], None] = lambda _: None


class LoadSimulation:
    """One seeded day.

    Args:
        deployment: The deployment.
        day: Load and disturbances.
        policy: How the nodes decide.
        random: Source of all random numbers.

    Attributes:
        nodes: The nodes, by host.

    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        day: DayPlan,
        policy: Policy,
        random: random_module.Random,
    ) -> None:
        self.deployment = deployment
        self.random = random
        self.nodes: dict[HostId, SimulatedNode] = {}
        self._day = day
        self._policy = policy
        self._result = DayResult()
        self._kinds_by_id: dict[bytes, KindPlan] = {}
        self._runs_by_root: Counter[bytes] = Counter()
        self._served: Counter[int] = Counter()  # by window
        self._sent: Counter[int] = Counter()
        self._possible_worth = 0.0
        self._request_numbers = itertools.count(1)
        self._load_factor = 1.0
        self._hot_workspace: tuple[str, float] | None = None
        self._abuse: tuple[float, float] = (0.0, 0.0)  # share and further requests
        self._cut_domains: set[str] = set()
        self._started_at = 0.0
        names = [f"w{rank}" for rank in range(1, deployment.workspaces + 1)]
        # The sizes of workspaces follow Zipf's law.
        self._workspaces = {
            name: 1.0 / rank for rank, name in enumerate(names, start=1)
        }
        self._reached = {
            name: _find_reached_services(deployment, name) for name in deployment.kinds
        }

    def run(self) -> DayResult:
        """Play the day and return its results."""
        loop = VirtualLoop(random=self.random)
        log = os.open(os.devnull, os.O_WRONLY)
        try:
            loop.run_until_complete(self._play(loop, log))
        finally:
            loop.close()
            os.close(log)
        return self._result

    async def _play(self, loop: VirtualLoop, log: int) -> None:
        self._loop = loop
        self._started_at = loop.time()
        self._create_nodes(log)
        ticking = loop.create_task(self._tick())
        async with asyncio.TaskGroup() as tasks:
            for arrivals in self._day.arrivals:
                tasks.create_task(self._send_requests(arrivals, tasks))
            for each in self._day.disturbances:
                start = find_start(each)
                if start is not None and each.at_s < self._day.length_s:
                    tasks.create_task(self._disturb(each, start))
        # Probes and loans of the nodes are still in progress.
        remaining = asyncio.all_tasks() - {asyncio.current_task()}
        for task in remaining | {ticking}:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)
        self._summarize()

    def _create_nodes(self, log: int) -> None:
        usual_per_s = sum(each.per_s for each in self._day.arrivals)
        configuration = make_configuration(
            self.deployment, usual_per_s, self._workspaces
        )
        indexes: Counter[str] = Counter()
        for number, plan in enumerate(self.deployment.hosts):
            host = HostId(f"h{number}")
            service = self.deployment.services[plan.service]
            factors = service.time_factors
            server = SimulatedServer(
                simulation=self,
                plan=service,
                time_factor=factors[indexes[plan.service] % len(factors)],
            )
            indexes[plan.service] += 1
            self.nodes[host] = create_node(
                simulation=self,
                host=host,
                plan=plan,
                server=server,
                record_wait=self._result.queue_times_s[plan.service].append,
                log=log,
            )
        upstreams = {
            node.host: make_upstream(
                node,
                self._policy.slots(self.deployment.services[node.plan.service].slots),
            )
            for node in self.nodes.values()
        }
        records = [
            make_record(node, upstreams[node.host]) for node in self.nodes.values()
        ]
        now = self._loop.time()
        for node in self.nodes.values():
            node.state.host_registry.merge(records)
            node.state.view_ages.confirm(View.HOSTS, math.inf)
            node.state.token_role.restore()
            node.state.apply_configuration(configuration, b"", now)
            node.state.update_token_owners(now)
            node.state.local_upstream.announce(upstreams[node.host], now)
            node.runner.apply_announcement()
            self._policy.prepare(node)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(LEVEL_UPDATE_INTERVAL_S)
            now = self._loop.time()
            for node in self.nodes.values():
                node.runner.tick(now)
                node.peer_client.tick(now)
                for loan in node.state.quota.tick(now):
                    node.state.tasks.start(node.peer_client.borrow(loan), self._loop)

    async def _send_requests(
        self, arrivals: ArrivalPlan, tasks: asyncio.TaskGroup
    ) -> None:
        entries = [
            node
            for node in self.nodes.values()
            if node.plan.failure_domain == arrivals.failure_domain
        ]
        names = list(arrivals.weights)
        weights = list(arrivals.weights.values())
        while (elapsed_s := self._elapsed_s) < self._day.length_s:
            phase = elapsed_s / arrivals.period_s + arrivals.phase
            wave = 1.0 + arrivals.swing * math.sin(2 * math.pi * phase)
            workspaces = self._weigh_workspaces()
            heat = sum(workspaces.values()) / sum(self._workspaces.values())
            per_s = arrivals.per_s * wave * self._load_factor * heat
            await asyncio.sleep(self.random.expovariate(per_s))
            kind = self.deployment.kinds[self.random.choices(names, weights)[0]]
            workspace = self.random.choices(
                list(workspaces), list(workspaces.values())
            )[0]
            entry = self.random.choice(entries)
            tasks.create_task(self._request(entry, kind, workspace))

    def _weigh_workspaces(self) -> dict[str, float]:
        """Return the present requests of the workspaces, relative to each other."""
        weights = dict(self._workspaces)
        if self._hot_workspace is not None:
            name, factor = self._hot_workspace
            weights[name] *= factor
        return weights

    @property
    def _elapsed_s(self) -> float:
        return self._loop.time() - self._started_at

    async def _request(
        self, entry: SimulatedNode, kind: KindPlan, workspace: str
    ) -> None:
        """Send a request of a caller, and repeat it if it is refused."""
        sent_at_s = self._elapsed_s
        abuse_share, abuse_repeats = self._abuse
        is_abusive = self.random.random() < abuse_share
        max_tries = 1 + kind.retries + round(abuse_repeats) * is_abusive
        tries = 0
        wrongly = False
        request_ids = []
        while True:
            tries += 1
            request_id = b"%x" % next(self._request_numbers)
            request_ids.append(request_id)
            started = self._loop.time()
            delay_s = self.deployment.caller_delay_s
            await asyncio.sleep(delay_s)
            response = await self.send(entry, kind, request_id, workspace=workspace)
            await asyncio.sleep(delay_s)
            elapsed_s = self._loop.time() - started
            result = _classify(response, elapsed_s, kind)
            wrongly = result is Result.REFUSED and self._has_room(kind)
            is_refused = result in (Result.REFUSED, Result.OVER_RATE)
            if not is_refused or tries >= max_tries:
                break
            if not is_abusive:
                await asyncio.sleep(float(response.header(b"retry-after") or b"1"))
        runs = sum(self._runs_by_root.pop(each, 0) for each in request_ids)
        self._record(kind, workspace, entry, result, wrongly, runs, sent_at_s)

    async def send(
        self,
        node: SimulatedNode,
        kind: KindPlan,
        request_id: bytes,
        *,
        workspace: str | None,
    ) -> Response:
        """Send a request to a node; return the response.

        Args:
            node: The node.
            kind: Kind of the request.
            request_id: ID of the request.
            workspace: Workspace of the caller; None for a call.

        """
        names = PLATFORM_HEADER_NAMES
        headers = [
            (b"host", AUTHORITY.encode()),
            (names.request_id, request_id),
            (names.deadline_ms, b"%d" % int(kind.deadline_s * 1e3)),
        ]
        if workspace is not None:
            headers.append((b"authorization", b"Bearer " + workspace.encode()))
        method = b"GET" if kind.idempotent else b"POST"
        request = Request(method, f"/{kind.name}/x".encode(), headers, b"")
        self._kinds_by_id[request_id] = kind
        try:
            return await node.handler.serve(request)
        finally:
            del self._kinds_by_id[request_id]

    def begin_run(self, request_id: bytes) -> KindPlan:
        """Count a run of a request; return its kind."""
        self._result.runs += 1
        self._runs_by_root[request_id.partition(b".")[0]] += 1
        return self._kinds_by_id[request_id]

    def draw_run_time(self, run_times: RunTimes) -> float:
        """Return a random run time, in seconds."""
        spread = run_times.spread
        run_s = run_times.mean_s * self.random.lognormvariate(-(spread**2) / 2, spread)
        if self.random.random() < run_times.tail_share:
            run_s *= run_times.tail_factor
        return min(run_s, run_times.max_s)

    def _has_room(self, kind: KindPlan) -> bool:
        """Return whether each service that a request needs has a free slot."""
        free = {
            node.plan.service
            for node in self.nodes.values()
            if not node.server.down and node.runner.has_free_slot
        }
        return self._reached[kind.name] <= free

    def _record(
        self,
        kind: KindPlan,
        workspace: str,
        entry: SimulatedNode,
        result: Result,
        wrongly: bool,
        runs: int,
        sent_at_s: float,
    ) -> None:
        day = self._result
        for tally in (
            day.kinds[kind.name],
            day.workspaces[workspace],
            day.domains[entry.plan.failure_domain],
        ):
            tally.results[result] += 1
            tally.wrongly_refused += wrongly
        self._possible_worth += kind.worth
        window = int(sent_at_s / WINDOW_S)
        self._sent[window] += 1
        if result is Result.IN_TIME:
            day.worth += kind.worth
            self._served[window] += 1
        elif result is Result.LATE:
            day.worth += kind.late_worth
            self._served[window] += 1
        else:
            day.wasted_runs += runs

    def _summarize(self) -> None:
        self._result.worth /= max(self._possible_worth, 1e-9)
        ends = [
            each.at_s + each.duration_s
            for each in self._day.disturbances
            if find_start(each) is not None
        ]
        last = max([end for end in ends if end < self._day.length_s], default=0.0)
        self._result.recovery_s = next(
            (
                max(0.0, window * WINDOW_S - last)
                for window in sorted(self._sent)
                if (window + 1) * WINDOW_S > last
                and self._served[window] >= RECOVERED_SHARE * self._sent[window]
            ),
            math.inf,
        )

    async def _disturb(self, disturbance: Disturbance, start: Start) -> None:
        await asyncio.sleep(disturbance.at_s)
        undo = start(self, disturbance)
        left_s = self._day.length_s - self._elapsed_s
        await asyncio.sleep(max(0.0, min(disturbance.duration_s, left_s)))
        undo()

    def select_servers(self, disturbance: Disturbance) -> list[SimulatedServer]:
        """Return the upstreams that a disturbance affects, of one service."""
        service = disturbance.service or self.random.choice(
            sorted(self.deployment.services)
        )
        servers = [
            node.server for node in self.nodes.values() if node.plan.service == service
        ]
        share = DEFAULT_SHARE if disturbance.share is None else disturbance.share
        if "all" in disturbance.options:
            share = 1.0
        return self.random.sample(servers, max(1, round(share * len(servers))))

    def is_cut(self, domain: str, record: HostRecord) -> bool:
        """Return whether nothing of a failure domain reaches a host."""
        other = record.failure_domain
        return domain != other and not self._cut_domains.isdisjoint((domain, other))

    def cut_domain(self, disturbance: Disturbance) -> Callable[[], None]:
        """Cut a failure domain off from the others; return what ends that."""
        domains = sorted({host.failure_domain for host in self.deployment.hosts})
        domain = disturbance.failure_domain or self.random.choice(domains)
        self._cut_domains.add(domain)
        return lambda: self._cut_domains.discard(domain)

    def change_load(self, factor: float) -> None:
        """Multiply the rate of all callers."""
        self._load_factor *= factor

    def heat_workspace(self, factor: float | None) -> None:
        """Let one workspace send more than usual, or as usual again."""
        name = self.random.choice(list(self._workspaces))
        self._hot_workspace = None if factor is None else (name, factor)

    def repeat_requests(self, share: float, repeats: float) -> None:
        """Let a share of the callers repeat refused requests more often, at once."""
        self._abuse = (share, repeats)


def _find_reached_services(deployment: Deployment, kind_name: str) -> set[str]:
    """Return the services that run requests of a kind and their calls."""
    kind = deployment.kinds[kind_name]
    reached = {kind.service}
    for call in kind.calls:
        reached |= _find_reached_services(deployment, call.kind)
    return reached


def _classify(response: Response, elapsed_s: float, kind: KindPlan) -> Result:
    if response.status == 200:
        if elapsed_s <= kind.target_s:
            return Result.IN_TIME
        return Result.LATE if elapsed_s <= kind.deadline_s else Result.FAILED
    return {429: Result.OVER_RATE, 503: Result.REFUSED}.get(
        response.status, Result.FAILED
    )
