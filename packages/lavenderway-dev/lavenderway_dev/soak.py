"""Soak test of real node processes under random faults.

Runs nodes as processes on loopback, with a fault-injecting proxy on each link, clients
with persistent connections and stand-ins for the platform. Injects faults generated
from a seed and checks invariants on what clients and upstreams observed.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import random
import shutil
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from lavenderway_relay.model import Address
from lavenderway_relay.pools import ConnectionPool
from lavenderway_relay.sync import HOSTS_TABLE

from lavenderway_dev.loop_stalls import StallRecorder
from lavenderway_dev.notice_checks import LEAVING_HEADER, LIMIT_HEADER, Arrival
from lavenderway_dev.odd_rows import ODD_ROWS
from lavenderway_dev.relay_config import make_config, make_route
from lavenderway_dev.relay_fleet import (
    LOOPBACK,
    STOP_GRACE_S,
    RelayFleet,
    RelayHostPlan,
)
from lavenderway_dev.server_standin import (
    CALLING_SERVER,
    Call,
    CallResult,
    Server,
    ServerPlan,
)
from lavenderway_dev.soak_checks import (
    Execution,
    Finding,
    Invariant,
    Observations,
    RunEnd,
    Stop,
)
from lavenderway_dev.soak_clients import (
    API_KEYS,
    BASE_HOSTS,
    BIG_BODY_BYTES,
    LONG_RUN_S,
    SLOW_RUN_S,
    Clients,
    Workload,
)
from lavenderway_dev.soak_faults import (
    Event,
    EventKind,
    generate_events,
    generate_notices,
    generate_view_events,
)
from lavenderway_dev.soak_link import LinkFault, LinkProxy
from lavenderway_dev.soak_memory import find_held_memory
from lavenderway_dev.soak_pressing import choose_pressures, press_on_hosts
from lavenderway_dev.soak_seeds import list_failed_seeds
from lavenderway_dev.store_standin import allocate_port

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import Any

    from lavenderway_relay.messages import Request

    from lavenderway_dev.relay_fleet import RelayHost

ZONES = ("east", "west", "north")
SERVICES = ("front", "back")
SERVER_SLOTS = 16
RESTART_DELAY_S = 0.3  # until the supervisor restarts a node that has ended
RESTART_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02
UPSTREAM_DRAIN_S = 2.5  # an upstream keeps serving after it announces draining
RECOVERY_TIMEOUT_S = 15.0
STORE_RESTORE_S = 0.5  # until the store has an older state, and until it is rewritten
CONFIG_APPLY_TIME_S = 2.0
NAMED_LIMITS_PER_S = (4.0, 40.0)
MAX_NAMED_LIMIT_S = 3.0  # until the next one
RECOVERY_STREAK = 20  # consecutive served requests after which a host has recovered
RECOVERY_PAUSE_S = 0.01
MAX_PRINTED_FINDINGS = 10  # per seed and invariant
WORKSPACE_LIMITS = {"small": (20.0, 10.0)}
TENANTS: dict[str, dict[str, Any]] = {
    name: {"api-keys": [key], "rate-per-s": 0, "burst": 0}
    for name, key in API_KEYS.items()
}
TENANTS["small"].update({"rate-per-s": 20, "burst": 10})
ROUTES = {
    "front": make_route("/front/", "front", public=False),
    "order": make_route("/order/", "back", kind="unsafe", public=False),
    "back": make_route("/back/", "back"),
    "big": make_route("/big/", "back"),
    "long": make_route("/long/", "back", timeout="6000ms", target="3000ms"),
}
SHORT_TIMEOUTS = ("1500ms", "3000ms")
LONG_TIMEOUTS = ("5000ms", "6000ms")
IDLE_TIMEOUTS = ("1000ms", "15000ms")
SERVICES_BY_PREFIX = {
    "/front/": frozenset({"front"}),
    "/order/": frozenset({"back"}),
    "/back/": frozenset({"back"}),
    "/big/": frozenset({"back"}),
    "/long/": frozenset({"back"}),
    "/new/": frozenset({"back"}),
}
# Exit codes of a node that received a signal before it could handle it.
EARLY_SIGNAL_EXIT_CODES = (-signal.SIGTERM, -signal.SIGHUP)

_HANDLERS: dict[EventKind, Callable[[Soak, Event], Awaitable[None]]] = {}


def _register_handler(
    kind: EventKind,
) -> Callable[[Callable[[Soak, Event], Awaitable[None]]], Any]:
    """Return a decorator that registers the handler of an event kind."""

    def register(handler: Callable[[Soak, Event], Awaitable[None]]) -> Any:
        _HANDLERS[kind] = handler
        return handler

    return register


class SoakFleet(RelayFleet):
    """A fleet with a fault-injecting proxy on each link.

    Attributes:
        links: Proxies of each host, by the event kind that injects faults into them.

    """

    def __init__(self, plans: list[RelayHostPlan], *, config: dict[str, Any]) -> None:
        super().__init__(plans, config=config)
        self.links: dict[str, dict[EventKind, LinkProxy]] = {}

    async def prepare(self, host: RelayHost) -> None:
        """Start proxies on the links of a host and advertise their addresses."""
        advertised = [Address(LOOPBACK, allocate_port()) for _ in range(3)]
        host.advertised_store, host.advertised_peers, host.advertised_app = advertised
        host.server = host.create_server(host.server.name)
        self.links[host.plan.name] = {
            EventKind.STORE_LINK: LinkProxy(
                address=advertised[0], target=host.store_address
            ),
            EventKind.PEERS_LINK: LinkProxy(address=advertised[1], target=host.peers),
            EventKind.UPSTREAM_LINK: LinkProxy(address=advertised[2], target=host.app),
        }
        for link in self.links[host.plan.name].values():
            await link.start()

    def list_links(self) -> list[LinkProxy]:
        """Return the proxies of all hosts."""
        return [link for links in self.links.values() for link in links.values()]


def build_host_plans(count: int) -> list[RelayHostPlan]:
    """Return host plans spread over the zones, half of them for each service."""
    calls = {"/front/": [Call(authority="app.example", path="/back/call", times=2)]}
    servers = {
        "front": ServerPlan(service="front", slots=SERVER_SLOTS, calls=calls),
        "back": ServerPlan(
            service="back",
            slots=SERVER_SLOTS,
            service_times_s={
                "/back/slow": SLOW_RUN_S,
                "/order/slow": SLOW_RUN_S,
                "/long/x": LONG_RUN_S,
            },
            padding_bytes={"/big/x": BIG_BODY_BYTES},
        ),
    }
    return [
        RelayHostPlan(
            name=f"h{index}",
            zone=ZONES[index % len(ZONES)],
            server=servers[SERVICES[index // len(ZONES) % 2]],
        )
        for index in range(count)
    ]


class Soak:
    """One soak run.

    Args:
        seed: Seed of the random number generator; odd seeds inject planned operations
            only.
        seconds: Length of the period in which series of events start, in seconds.
        hosts: Number of hosts.
        notices: Whether upstreams name limits and departures in their responses.
        views: Whether the store falls silent to hosts, also to pending calls, another
            writer leaves odd rows, and from a seed on callers without limits press.

    """

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        hosts: int,
        notices: bool = False,
        views: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.notice_rng = random.Random(f"notices {seed}")
        self.view_rng = random.Random(f"views {seed}")
        self._has_notices = notices
        self._has_views = views
        self._pressures = choose_pressures(seed) if views else ()
        self.planned_only = seed % 2 == 1
        self.observations = Observations()
        self.fleet = SoakFleet(
            build_host_plans(hosts), config=make_config(1, ROUTES, TENANTS)
        )
        self.loop = asyncio.get_running_loop()
        self._stall_recorder = StallRecorder(loop=self.loop)
        self.observations.stalls = self._stall_recorder.stalls
        self._clients: Clients
        self._seconds = seconds
        self._config_versions = itertools.count(2)
        self._incarnation_numbers = itertools.count(1)
        self._stopping: set[asyncio.subprocess.Process] = set()

    async def run(self, keep_logs: Path | None = None) -> list[Finding]:
        """Run the soak; return the violated invariants.

        Args:
            keep_logs: Folder for the nodes' logs and the events if there are findings;
                None discards them.

        """
        async with self.fleet:
            hosts = self.fleet.hosts
            for host in hosts.values():
                self.observe_server(host)
            zones = [[n for n in hosts if hosts[n].plan.zone == z] for z in ZONES]
            events = generate_events(
                self.rng, zones, seconds=self._seconds, planned_only=self.planned_only
            )
            if self._has_notices:
                events += generate_notices(self.notice_rng, list(hosts))
            if self._has_views:
                events += generate_view_events(self.view_rng, list(hosts))
            self._clients = Clients(
                fleet=self.fleet, observations=self.observations, rng=self.rng
            )
            supervisors = [
                asyncio.create_task(self._supervise(host)) for host in hosts.values()
            ]
            if self._pressures:
                pressing = press_on_hosts(hosts, self.view_rng, self._pressures)
                supervisors.append(asyncio.create_task(pressing))
            self._stall_recorder.start()
            self._clients.start()
            await asyncio.gather(*(self._run_event(event) for event in events))
            self._clear_faults()
            await self._wait_for_stopping_nodes()
            await self._check_recovery()
            await self._check_configuration()
            await self._clients.stop()
            self._stall_recorder.stop()
            for task in supervisors:
                task.cancel()
            await asyncio.gather(*supervisors, return_exceptions=True)
            findings = self.observations.check(
                services=SERVICES_BY_PREFIX,
                rates=WORKSPACE_LIMITS,
                planned_only=self.planned_only,
            )
            findings += await find_held_memory(hosts.values())
            if findings and keep_logs is not None:
                keep_logs.mkdir(parents=True, exist_ok=True)
                for host in hosts.values():
                    shutil.copy(host.log_path, keep_logs)
                lines = [f"{event}\n" for event in events]
                lines += [f"{f.invariant.value}: {f.detail}\n" for f in findings]
                (keep_logs / "soak.txt").write_text("".join(lines), encoding="utf-8")
            for link in self.fleet.list_links():
                link.stop()
        return findings

    def observe_server(self, host: RelayHost) -> None:
        """Record the executions and calls of the present server of a host."""
        observations = self.observations
        server = host.server
        observations.upstream_hosts[server.name] = host.plan.name

        def record_end(server: Server, request: Request, completed: bool) -> None:
            run = _get_request_id(request), server.name
            observations.run_ends[run] = RunEnd(self.loop.time(), completed)

        def record_call(_: Server, call: CallResult) -> None:
            self._clients.record_call(host.plan.name, call)

        server.on_arrival = self._record_arrival
        server.on_run = self._record_execution
        server.on_end = record_end
        server.on_call = record_call

    def _record_arrival(self, server: Server, request: Request) -> None:
        now = self.loop.time()
        calling = request.header(CALLING_SERVER)
        if calling is not None:
            host = self.observations.upstream_hosts[calling.decode()]
            arrival = Arrival(host, now, now)
        else:
            sent = self.observations.sent[_get_request_id(request)]
            arrival = Arrival(sent.host, now, sent.sent_at)
        self.observations.notices.record_arrival(server.name, arrival)

    def name_limit(self, host: RelayHost, per_s: float | None) -> None:
        """Let the server of a host name a limit from now on, or none."""
        server = host.server
        server.notices = [each for each in server.notices if each[0] != LIMIT_HEADER]
        if per_s is not None:
            server.notices.append((LIMIT_HEADER, b"%.2f" % per_s))
        self.observations.notices.record_named(server.name, per_s, self.loop.time())

    def record_interruption(self, hosts: list[str], started_at: float) -> None:
        """Record that hosts were restarted, frozen or cut off until now."""
        for host in hosts:
            self.observations.notices.record_interruption(
                host, started_at, self.loop.time()
            )

    def _record_execution(self, server: Server, request: Request) -> None:
        names = {name for name, _ in request.headers}
        workspace = request.header(b"lavenderway-tenant")
        run = Execution(
            _get_request_id(request),
            server.plan.service,
            server.name,
            self.loop.time(),
            workspace.decode() if workspace else None,
            b"authorization" in names,
        )
        self.observations.executions.append(run)

    async def _supervise(self, host: RelayHost) -> None:
        """Restart a node whenever it has ended; check how it ended."""
        while True:
            code = await host.wait()
            has_been_stopped = host.process in self._stopping
            expected = (*EARLY_SIGNAL_EXIT_CODES, -signal.SIGKILL)
            if code not in expected and not (code == 0 and has_been_stopped):
                detail = f"{host.plan.name}: exit code {code}"
                self.observations.record_violation(Invariant.KEPT_RUNNING, detail)
            ended_at = self.loop.time()
            await asyncio.sleep(RESTART_DELAY_S)
            await host.start_node()
            self.record_interruption([host.plan.name], ended_at)

    async def replace_server(self, host: RelayHost) -> None:
        """Stop the server of a host and start another one at its address."""
        self.observations.upstreams_stopped_at[host.server.name] = self.loop.time()
        host.server.stop()
        host.server = host.create_server(
            f"i-{host.plan.name}-{next(self._incarnation_numbers)}"
        )
        self.observe_server(host)
        await host.server.start()

    async def send_signal(self, host: RelayHost, number: signal.Signals) -> None:
        """Send a signal to the node of a host unless the node has ended.

        A node that gets SIGTERM is killed if it has not ended after its grace period.
        """
        process = host.process
        if process is None or process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            host.signal(number)
        if number is signal.SIGTERM and process not in self._stopping:
            self._stopping.add(process)
            self.observations.stops.append(Stop(host.plan.name, self.loop.time()))
            self.loop.call_later(STOP_GRACE_S, self._end_grace_period, host, process)

    def _end_grace_period(
        self, host: RelayHost, process: asyncio.subprocess.Process
    ) -> None:
        if host.process is not process or process.returncode is not None:
            return
        if self.planned_only:
            self.observations.record_violation(
                Invariant.EXITED_IN_TIME,
                f"{host.plan.name}: still running {STOP_GRACE_S} s after SIGTERM",
            )
        with contextlib.suppress(ProcessLookupError):
            host.signal(signal.SIGKILL)

    async def _wait_for_stopping_nodes(self) -> None:
        """Wait until all nodes that received SIGTERM have ended."""
        for process in self._stopping:
            await process.wait()

    async def wait_for_restart(self, host: RelayHost) -> bool:
        """Wait for the next process of a host; return whether it has started."""
        process = host.process
        try:
            async with asyncio.timeout(RESTART_TIMEOUT_S):
                while host.process is process:
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            return False
        return True

    async def _run_event(self, event: Event) -> None:
        await asyncio.sleep(event.at)
        await _HANDLERS[event.kind](self, event)

    def _clear_faults(self) -> None:
        if self._has_notices:
            for host in self.fleet.hosts.values():
                self.name_limit(host, None)
        for link in self.fleet.list_links():
            link.fault = LinkFault.NONE
        for host in self.fleet.hosts.values():
            host.faults.refuse_with = 0
            host.faults.silent = False
            host.faults.delay_s = 0.0
            host.faults.responses_to_lose = 0

    async def _check_recovery(self) -> None:
        """Check that every host serves consecutive requests again in time."""
        hosts = list(self.fleet.hosts)
        for first in range(0, len(hosts), BASE_HOSTS):
            batch = hosts[first : first + BASE_HOSTS]
            await asyncio.gather(*(self._check_host_recovery(host) for host in batch))

    async def _check_host_recovery(self, host: str) -> None:
        pool = ConnectionPool(loop=self.loop, connect_timeout_s=1.0)
        streak = 0
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                while streak < RECOVERY_STREAK:
                    workload = self.rng.choice(
                        [Workload("/front/y", "large"), Workload("/back/x")]
                    )
                    served = await self._clients.request(host, workload, pool=pool)
                    streak = streak + 1 if served == 200 else 0
                    await asyncio.sleep(RECOVERY_PAUSE_S)
        except TimeoutError:
            self.observations.record_violation(
                Invariant.RECOVERED,
                f"{host}: only {streak} consecutive requests served",
            )
        pool.close()

    async def _check_configuration(self) -> None:
        """Check that a removed key and an added route take effect on every host."""
        pool = ConnectionPool(loop=self.loop, connect_timeout_s=1.0)
        routes = {**ROUTES, "new": make_route("/new/", "back")}
        tenants = {name: TENANTS[name] for name in ("small", "large")}
        self.fleet.configure(make_config(next(self._config_versions), routes, tenants))
        await asyncio.sleep(CONFIG_APPLY_TIME_S)
        new, former = Workload("/new/x"), Workload("/front/x", "former")
        for host in self.fleet.hosts:
            added = await self._clients.request(host, new, pool=pool)
            withdrawn = await self._clients.request(host, former, pool=pool)
            if added == 404 or withdrawn != 401:
                detail = f"{host}: added route {added}, removed key {withdrawn}"
                self.observations.record_violation(Invariant.CONFIGURED, detail)
        pool.close()

    def configure_randomly(self) -> None:
        """Write a configuration with random timeouts, keys and an added route."""
        version = next(self._config_versions)
        routes = {**ROUTES, f"r{version}": make_route(f"/r{version}/", "back")}
        for name, route in routes.items():
            choices = LONG_TIMEOUTS if name == "long" else SHORT_TIMEOUTS
            routes[name] = {**route, "timeout": self.rng.choice(choices)}
        tenants = dict(TENANTS)
        if self.rng.random() < 0.5:
            del tenants["former"]
        config = make_config(version, routes, tenants)
        config["limits"]["idle-timeout"] = self.rng.choice(IDLE_TIMEOUTS)
        self.fleet.configure(config)


def _get_request_id(request: Request) -> str:
    return (request.header(b"lavenderway-attempt-id") or b"").decode()


@_register_handler(EventKind.STOP)
async def _stop_node(soak: Soak, event: Event) -> None:
    await soak.send_signal(soak.fleet.hosts[event.host], signal.SIGTERM)


@_register_handler(EventKind.STOP_TWICE)
async def _stop_node_twice(soak: Soak, event: Event) -> None:
    await _stop_and_signal(soak, event, signal.SIGTERM)


@_register_handler(EventKind.STOP_AND_RELOAD)
async def _reload_stopping_node(soak: Soak, event: Event) -> None:
    await _stop_and_signal(soak, event, signal.SIGHUP)


@_register_handler(EventKind.STOP_AND_KILL)
async def _kill_stopping_node(soak: Soak, event: Event) -> None:
    await _stop_and_signal(soak, event, signal.SIGKILL)


async def _stop_and_signal(soak: Soak, event: Event, number: signal.Signals) -> None:
    """Send another signal to a process that is stopping."""
    host = soak.fleet.hosts[event.host]
    process = host.process
    await soak.send_signal(host, signal.SIGTERM)
    await asyncio.sleep(event.duration_s)
    if host.process is process:
        await soak.send_signal(host, number)


@_register_handler(EventKind.STOP_AND_PAUSE)
async def _pause_stopping_node(soak: Soak, event: Event) -> None:
    await soak.send_signal(soak.fleet.hosts[event.host], signal.SIGTERM)
    await asyncio.sleep(event.duration_s / 2)
    await _pause_node(soak, event)


@_register_handler(EventKind.STOP_AFTER_START)
async def _stop_started_node(soak: Soak, event: Event) -> None:
    """Stop a node, and stop it again while it starts."""
    host = soak.fleet.hosts[event.host]
    await soak.send_signal(host, signal.SIGTERM)
    if await soak.wait_for_restart(host):
        await asyncio.sleep(event.duration_s / 4)
        await soak.send_signal(host, signal.SIGTERM)


@_register_handler(EventKind.RELOAD_AFTER_START)
async def _reload_started_node(soak: Soak, event: Event) -> None:
    """Stop a node, and reload it as soon as it accepts connections again."""
    host = soak.fleet.hosts[event.host]
    await soak.send_signal(host, signal.SIGTERM)
    if await soak.wait_for_restart(host):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RESTART_TIMEOUT_S):
                while not await _accepts_connections(host.callers):
                    await asyncio.sleep(POLL_INTERVAL_S)
        await soak.send_signal(host, signal.SIGHUP)


async def _accepts_connections(address: Address) -> bool:
    try:
        _, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    writer.close()
    return True


@_register_handler(EventKind.KILL)
async def _kill_node(soak: Soak, event: Event) -> None:
    await soak.send_signal(soak.fleet.hosts[event.host], signal.SIGKILL)


@_register_handler(EventKind.RELOAD)
async def _reload_node(soak: Soak, event: Event) -> None:
    await soak.send_signal(soak.fleet.hosts[event.host], signal.SIGHUP)


@_register_handler(EventKind.PAUSE)
async def _pause_node(soak: Soak, event: Event) -> None:
    host = soak.fleet.hosts[event.host]
    process = host.process
    started = soak.loop.time()
    await soak.send_signal(host, signal.SIGSTOP)
    await asyncio.sleep(event.duration_s)
    if host.process is process:
        await soak.send_signal(host, signal.SIGCONT)
    soak.record_interruption([event.host], started)


@_register_handler(EventKind.CONFIGURE)
async def _configure(soak: Soak, event: Event) -> None:
    soak.configure_randomly()


@_register_handler(EventKind.LEAVE)
async def _replace_upstream(soak: Soak, event: Event) -> None:
    """Drain and deregister an upstream, then start another one at its address."""
    host = soak.fleet.hosts[event.host]
    leaving = host.server
    if leaving.state != "ready":
        return
    if await leaving.leave() == 200:
        soak.observations.drained_at[leaving.name] = soak.loop.time()
    await asyncio.sleep(UPSTREAM_DRAIN_S)
    await leaving.deregister()
    await soak.replace_server(host)


@_register_handler(EventKind.LEAVE_AND_STOP)
async def _replace_upstream_and_stop(soak: Soak, event: Event) -> None:
    """Stop a node while its upstream drains."""
    leave = asyncio.create_task(_replace_upstream(soak, event))
    await asyncio.sleep(event.duration_s)
    await soak.send_signal(soak.fleet.hosts[event.host], signal.SIGTERM)
    await leave


@_register_handler(EventKind.STORE_REFUSES)
async def _refuse_store_calls(soak: Soak, event: Event) -> None:
    faults = soak.fleet.hosts[event.host].faults
    faults.refuse_with = 503
    await asyncio.sleep(event.duration_s)
    faults.refuse_with = 0


@_register_handler(EventKind.STORE_SLOW)
async def _slow_store(soak: Soak, event: Event) -> None:
    faults = soak.fleet.hosts[event.host].faults
    faults.delay_s = 0.3
    await asyncio.sleep(event.duration_s)
    faults.delay_s = 0.0


@_register_handler(EventKind.STORE_LOSES_RESPONSES)
async def _lose_responses(soak: Soak, event: Event) -> None:
    soak.fleet.hosts[event.host].faults.responses_to_lose += 2


@_register_handler(EventKind.STORE_COMPACTS)
async def _compact_history(soak: Soak, event: Event) -> None:
    soak.fleet.store.compact()


@_register_handler(EventKind.STORE_RESTORES)
async def _restore_store(soak: Soak, event: Event) -> None:
    """Make the store unavailable for a moment and restore an older copy of it.

    The operator then writes its configuration again.
    """
    copy = soak.fleet.store.save_copy()
    await asyncio.sleep(event.duration_s)
    for host in soak.fleet.hosts.values():
        host.faults.refuse_with = 503
    await asyncio.sleep(STORE_RESTORE_S)
    soak.fleet.store.restore(copy)
    for host in soak.fleet.hosts.values():
        host.faults.refuse_with = 0
    await asyncio.sleep(STORE_RESTORE_S)
    soak.fleet.configure(soak.fleet.config)


@_register_handler(EventKind.STORE_LINK)
@_register_handler(EventKind.PEERS_LINK)
@_register_handler(EventKind.UPSTREAM_LINK)
async def _inject_link_fault(soak: Soak, event: Event) -> None:
    link = soak.fleet.links[event.host][event.kind]
    started = soak.loop.time()
    link.delay_s = event.duration_s / 10
    link.fault = event.link
    if event.link is LinkFault.RESET:
        link.reset_connections()
    await asyncio.sleep(event.duration_s)
    link.fault = LinkFault.NONE
    if event.kind is EventKind.UPSTREAM_LINK:
        # Requests of all hosts bunch up behind the link.
        soak.record_interruption(list(soak.fleet.hosts), started)
    elif event.kind is EventKind.PEERS_LINK:
        soak.record_interruption([event.host], started)


@_register_handler(EventKind.NAME_LIMITS)
async def _name_limits(soak: Soak, event: Event) -> None:
    """Name limits that rise and fall, sometimes malformed, until they end."""
    rng = soak.notice_rng
    host = soak.fleet.hosts[event.host]
    until = soak.loop.time() + event.duration_s
    while soak.loop.time() < until:
        soak.name_limit(host, rng.uniform(*NAMED_LIMITS_PER_S))
        await asyncio.sleep(rng.uniform(0.2, MAX_NAMED_LIMIT_S))
        if rng.random() < 0.2:
            host.server.notices = [(LIMIT_HEADER, b"nan"), (LIMIT_HEADER, b"0")]
            await asyncio.sleep(rng.uniform(0.05, 0.3))
    soak.name_limit(host, None)


@_register_handler(EventKind.SAY_LEAVING)
async def _say_leaving(soak: Soak, event: Event) -> None:
    """Replace an upstream that says only in its responses that it leaves."""
    host = soak.fleet.hosts[event.host]
    server = host.server
    server.notices.append((LEAVING_HEADER, b"1"))
    await asyncio.sleep(event.duration_s)
    if host.server is server and server.state == "ready":
        await soak.replace_server(host)


@_register_handler(EventKind.STORE_SILENT)
async def _silence_store(soak: Soak, event: Event) -> None:
    """Give a host no response, also to the calls that are pending."""
    faults = soak.fleet.hosts[event.host].faults
    faults.silent = True
    await asyncio.sleep(event.duration_s)
    faults.silent = False


@_register_handler(EventKind.ODD_ROWS)
async def _write_odd_rows(soak: Soak, event: Event) -> None:
    """Leave rows of another writer among those of the hosts."""
    for index, row in enumerate(ODD_ROWS):
        soak.fleet.store.put(HOSTS_TABLE, f"odd-{index}", row)


async def run_soak(
    *,
    seed: int,
    seconds: float = 8.0,
    hosts: int = 6,
    keep_logs: Path | None = None,
    notices: bool = False,
    views: bool = False,
) -> list[Finding]:
    """Run the soak of one seed; return the violated invariants."""
    soak = Soak(seed=seed, seconds=seconds, hosts=hosts, notices=notices, views=views)
    return await soak.run(keep_logs)


def _select_findings(findings: list[Finding]) -> list[Finding]:
    """Return the first findings of each invariant."""
    found = [[f for f in findings if f.invariant is each] for each in Invariant]
    return [finding for each in found for finding in each[:MAX_PRINTED_FINDINGS]]


def main() -> int:
    """Run the soaks selected on the command line; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--failed", action="store_true", help="run the seeds of former failures instead"
    )
    parser.add_argument(
        "--seconds", type=float, default=8.0, help="period in which faults start"
    )
    parser.add_argument(
        "--notices",
        action="store_true",
        help="let upstreams name limits and departures in their responses",
    )
    parser.add_argument(
        "--views",
        action="store_true",
        help="let the store fall silent to hosts, and another writer leave rows",
    )
    parser.add_argument("--hosts", type=int, default=6, help="number of hosts")
    parser.add_argument(
        "--logs", type=Path, default=None, help="folder for the logs of failed runs"
    )
    arguments = parser.parse_args()
    # Either signal must end the nodes as well; background jobs ignore SIGINT.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    failed = 0
    seeds = range(arguments.seed, arguments.seed + arguments.count)
    for seed in list_failed_seeds() if arguments.failed else seeds:
        logs = arguments.logs / str(seed) if arguments.logs is not None else None
        findings = asyncio.run(
            run_soak(
                seed=seed,
                seconds=arguments.seconds,
                hosts=arguments.hosts,
                keep_logs=logs,
                notices=arguments.notices,
                views=arguments.views,
            )
        )
        failed += bool(findings)
        print(f"seed {seed}: {len(findings)} findings", flush=True)
        for finding in _select_findings(findings):
            print(f"  {finding.invariant.value}: {finding.detail}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
