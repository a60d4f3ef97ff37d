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

from lavenderway_relay.messages import Request, encode_request
from lavenderway_relay.model import Address
from lavenderway_relay.pools import ConnectError, ConnectionBrokenError, ConnectionPool

from lavenderway_dev.relay_fleet import (
    LOOPBACK,
    RelayFleet,
    RelayHostPlan,
    make_config,
    make_route,
)
from lavenderway_dev.server_standin import Call, Server, ServerPlan
from lavenderway_dev.soak_checks import (
    ClientRequest,
    Execution,
    Finding,
    Invariant,
    Observations,
)
from lavenderway_dev.soak_faults import Event, EventKind, generate_events
from lavenderway_dev.soak_link import LinkFault, LinkProxy
from lavenderway_dev.store_standin import allocate_port

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import Any

    from lavenderway_dev.relay_fleet import RelayHost

ZONES = ("east", "west", "north")
SERVICES = ("front", "back")
CLIENTS_PER_HOST = 3
CLIENT_MEAN_PAUSE_S = 0.08  # between two requests of a client
DEADLINE_MS = 2000
CLIENT_TIMEOUT_S = 3.0  # longer than the deadline of a request
RESTART_DELAY_S = 0.3  # until the supervisor restarts a node that has ended
UPSTREAM_DRAIN_S = 2.5  # an upstream keeps serving after it announces draining
RECOVERY_TIMEOUT_S = 15.0
CONFIG_APPLY_TIME_S = 2.0
RECOVERY_STREAK = 20  # consecutive served requests after which a host has recovered
WORKSPACE_LIMITS = {"small": (20.0, 10.0)}
API_KEYS = {"small": "key-small", "large": "key-large", "former": "key-former"}
TENANTS: dict[str, dict[str, Any]] = {
    name: {"api-keys": [key], "rate-per-s": 0, "burst": 0}
    for name, key in API_KEYS.items()
}
TENANTS["small"].update({"rate-per-s": 20, "burst": 10})
ROUTES = {
    "front": make_route("/front/", "front", public=False),
    "order": make_route("/order/", "back", kind="unsafe", public=False),
    "back": make_route("/back/", "back"),
}
SERVICES_BY_PREFIX = {
    "/front/": frozenset({"front"}),
    "/order/": frozenset({"back"}),
    "/back/": frozenset({"back"}),
    "/new/": frozenset({"back"}),
}

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
        "front": ServerPlan(service="front", slots=10, calls=calls),
        "back": ServerPlan(service="back", slots=10),
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
        seed: Seed of the random number generator; seeds divisible by three inject
            planned operations only.
        seconds: Length of the period in which faults start, in seconds.
        hosts: Number of hosts.

    """

    def __init__(self, *, seed: int, seconds: float, hosts: int) -> None:
        self.rng = random.Random(seed)
        self.planned_only = seed % 3 == 0
        self.observations = Observations()
        self.fleet = SoakFleet(
            build_host_plans(hosts), config=make_config(1, ROUTES, TENANTS)
        )
        self._seconds = seconds
        self._config_versions = itertools.count(2)
        self._request_numbers = itertools.count(1)
        self._incarnation_numbers = itertools.count(1)
        self._is_ending = False
        self._loop = asyncio.get_running_loop()

    async def run(self, keep_logs: Path | None = None) -> list[Finding]:
        """Run the soak; return the violated invariants.

        Args:
            keep_logs: Folder for the nodes' logs and the events if there are findings;
                None discards them.

        """
        async with self.fleet:
            for host in self.fleet.hosts.values():
                host.server.on_run = self._record_execution
            names = list(self.fleet.hosts)
            events = generate_events(
                self.rng, names, seconds=self._seconds, planned_only=self.planned_only
            )
            supervisors = [
                asyncio.create_task(self._supervise(host))
                for host in self.fleet.hosts.values()
            ]
            clients = [
                asyncio.create_task(self._run_client(host))
                for host in names
                for _ in range(CLIENTS_PER_HOST)
            ]
            await asyncio.gather(*(self._run_event(event) for event in events))
            self._clear_faults()
            await self._check_recovery()
            await self._check_configuration()
            self._is_ending = True
            await asyncio.gather(*clients)
            for task in supervisors:
                task.cancel()
            findings = self.observations.check(
                services=SERVICES_BY_PREFIX,
                rates=WORKSPACE_LIMITS,
                planned_only=self.planned_only,
            )
            if findings and keep_logs is not None:
                keep_logs.mkdir(parents=True, exist_ok=True)
                for host in self.fleet.hosts.values():
                    shutil.copy(host.log_path, keep_logs)
                lines = [f"{event}\n" for event in events]
                lines += [f"{f.invariant.value}: {f.detail}\n" for f in findings]
                (keep_logs / "soak.txt").write_text("".join(lines), encoding="utf-8")
            for link in self.fleet.list_links():
                link.stop()
        return findings

    def _record_execution(self, server: Server, request: Request) -> None:
        names = {name for name, _ in request.headers}
        workspace = request.header(b"lavenderway-tenant")
        run = Execution(
            (request.header(b"lavenderway-attempt-id") or b"").decode(),
            server.plan.service,
            server.name,
            self._loop.time(),
            workspace.decode() if workspace else None,
            b"authorization" in names,
        )
        self.observations.executions.append(run)

    async def _supervise(self, host: RelayHost) -> None:
        while True:
            await host.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            await host.start_node()

    async def _run_client(self, host: str) -> None:
        pool = ConnectionPool(loop=self._loop, connect_timeout_s=1.0)
        while not self._is_ending:
            await asyncio.sleep(self.rng.expovariate(1 / CLIENT_MEAN_PAUSE_S))
            path, workspace = self.rng.choice(
                [
                    ("/front/x", "small"),
                    ("/front/y", "large"),
                    ("/order/x", "large"),
                    ("/back/x", None),
                ]
            )
            await self.request(host, path, workspace, pool=pool)
        pool.close()

    async def request(
        self, host: str, path: str, workspace: str | None, *, pool: ConnectionPool
    ) -> int | None:
        """Send one client request; return its status, None without a response."""
        at_most_once = path.startswith("/order/")
        sent = ClientRequest(
            id=f"{next(self._request_numbers):016x}",
            path=path,
            workspace=workspace,
            at_most_once=at_most_once,
            sent_at=self._loop.time(),
        )
        self.observations.sent[sent.id] = sent
        headers = [
            (b"host", b"app.example"),
            (b"lavenderway-attempt-id", sent.id.encode()),
            (b"lavenderway-deadline-ms", b"%d" % DEADLINE_MS),
        ]
        if workspace is not None:
            headers.append(
                (b"authorization", b"Bearer " + API_KEYS[workspace].encode())
            )
        method = b"POST" if at_most_once else b"GET"
        data = encode_request(Request(method, path.encode(), headers, b""))
        with contextlib.suppress(ConnectError, TimeoutError):
            try:
                async with asyncio.timeout(CLIENT_TIMEOUT_S):
                    response = await pool.exchange(self.fleet.hosts[host].callers, data)
                sent.status, sent.body = response.status, response.body
            except ConnectionBrokenError:
                sent.connection_broken = True
        return sent.status

    async def _run_event(self, event: Event) -> None:
        await asyncio.sleep(event.at)
        await _HANDLERS[event.kind](self, event)

    def _clear_faults(self) -> None:
        for link in self.fleet.list_links():
            link.fault = LinkFault.NONE
        for host in self.fleet.hosts.values():
            host.faults.refuse_with = 0
            host.faults.delay_s = 0.0
            host.faults.responses_to_lose = 0

    async def _check_recovery(self) -> None:
        """Check that every host serves consecutive requests again in time."""
        pool = ConnectionPool(loop=self._loop, connect_timeout_s=1.0)
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                for host in self.fleet.hosts:
                    streak = 0
                    while streak < RECOVERY_STREAK:
                        path, name = self.rng.choice(
                            [("/front/y", "large"), ("/back/x", None)]
                        )
                        served = await self.request(host, path, name, pool=pool)
                        streak = streak + 1 if served == 200 else 0
                        await asyncio.sleep(0.01)
        except TimeoutError:
            self.observations.record_violation(
                Invariant.RECOVERED,
                f"{host}: only {streak} consecutive requests served",
            )
        pool.close()

    async def _check_configuration(self) -> None:
        """Check that a removed key and an added route take effect on every host."""
        pool = ConnectionPool(loop=self._loop, connect_timeout_s=1.0)
        routes = {**ROUTES, "new": make_route("/new/", "back")}
        tenants = {name: TENANTS[name] for name in ("small", "large")}
        self.fleet.configure(make_config(next(self._config_versions), routes, tenants))
        await asyncio.sleep(CONFIG_APPLY_TIME_S)
        for host in self.fleet.hosts:
            added = await self.request(host, "/new/x", None, pool=pool)
            withdrawn = await self.request(host, "/front/x", "former", pool=pool)
            if added == 404 or withdrawn != 401:
                detail = f"{host}: added route {added}, removed key {withdrawn}"
                self.observations.record_violation(Invariant.CONFIGURED, detail)
        pool.close()


async def _signal_node(soak: Soak, event: Event, number: signal.Signals) -> None:
    host = soak.fleet.hosts[event.host]
    if host.process is not None and host.process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            host.signal(number)


@_register_handler(EventKind.STOP)
async def _stop_node(soak: Soak, event: Event) -> None:
    await _signal_node(soak, event, signal.SIGTERM)


@_register_handler(EventKind.KILL)
async def _kill_node(soak: Soak, event: Event) -> None:
    await _signal_node(soak, event, signal.SIGKILL)


@_register_handler(EventKind.RELOAD)
async def _reload_node(soak: Soak, event: Event) -> None:
    await _signal_node(soak, event, signal.SIGHUP)


@_register_handler(EventKind.PAUSE)
async def _pause_node(soak: Soak, event: Event) -> None:
    await _signal_node(soak, event, signal.SIGSTOP)
    await asyncio.sleep(event.duration_s)
    await _signal_node(soak, event, signal.SIGCONT)


@_register_handler(EventKind.CONFIGURE)
async def _configure(soak: Soak, event: Event) -> None:
    version = next(soak._config_versions)
    routes = {**ROUTES, f"r{version}": make_route(f"/r{version}/", "back")}
    soak.fleet.configure(make_config(version, routes, TENANTS))


@_register_handler(EventKind.LEAVE)
async def _replace_upstream(soak: Soak, event: Event) -> None:
    """Drain and deregister an upstream, then start another one at its address."""
    host = soak.fleet.hosts[event.host]
    leaving = host.server
    if leaving.state != "ready":
        return
    if await leaving.leave() == 200:
        soak.observations.drained_at[leaving.name] = soak._loop.time()
    await asyncio.sleep(UPSTREAM_DRAIN_S)
    await leaving.deregister()
    leaving.stop()
    host.server = host.create_server(
        f"i-{event.host}-{next(soak._incarnation_numbers)}"
    )
    host.server.on_run = soak._record_execution
    await host.server.start()


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


@_register_handler(EventKind.STORE_LINK)
@_register_handler(EventKind.PEERS_LINK)
@_register_handler(EventKind.UPSTREAM_LINK)
async def _inject_link_fault(soak: Soak, event: Event) -> None:
    link = soak.fleet.links[event.host][event.kind]
    link.delay_s = event.duration_s / 10
    link.fault = event.link
    if event.link is LinkFault.RESET:
        link.reset_connections()
    await asyncio.sleep(event.duration_s)
    link.fault = LinkFault.NONE


async def run_soak(
    *, seed: int, seconds: float = 8.0, hosts: int = 6, keep_logs: Path | None = None
) -> list[Finding]:
    """Run the soak of one seed; return the violated invariants."""
    soak = Soak(seed=seed, seconds=seconds, hosts=hosts)
    return await soak.run(keep_logs)


def main() -> int:
    """Run the soaks selected on the command line; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--seconds", type=float, default=8.0, help="period in which faults start"
    )
    parser.add_argument("--hosts", type=int, default=6, help="number of hosts")
    parser.add_argument(
        "--logs", type=Path, default=None, help="folder for the logs of failed runs"
    )
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.count):
        logs = arguments.logs / str(seed) if arguments.logs is not None else None
        findings = asyncio.run(
            run_soak(
                seed=seed,
                seconds=arguments.seconds,
                hosts=arguments.hosts,
                keep_logs=logs,
            )
        )
        failed += bool(findings)
        print(f"seed {seed}: {len(findings)} findings", flush=True)
        for finding in findings[:10]:
            print(f"  {finding.invariant.value}: {finding.detail}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
