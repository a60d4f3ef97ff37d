"""Measures what workspaces below their rate are refused while views differ.

Plays one disturbance a run on a fleet in virtual time, with the real nodes: a host
joins, leaves, restarts, is frozen or loses the store. Each workspace sends
`DEMAND_RATIO` of its rate, spread over all hosts; clients call the service beside their
own node, so that no forwarded request shows a node what the others know. Refusals of a
workspace below its rate are wrongful. The largest number of requests that ran in a
window, as a share of what is allowed, tells whether two hosts have acted as owners of
the same tokens.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random as random_module
import signal
import sys
from bisect import bisect_right
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple

from lavenderway_relay.messages import Request, encode_request
from lavenderway_relay.pools import ConnectError, ConnectionBrokenError, ConnectionPool

from lavenderway_dev.bench_registry import benchmark
from lavenderway_dev.interleaving import VirtualFleet, VirtualHost, replace_system
from lavenderway_dev.relay_config import make_config, make_route
from lavenderway_dev.relay_fleet import RelayHost, RelayHostPlan
from lavenderway_dev.server_standin import ServerPlan
from lavenderway_dev.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    Disturb = Callable[["ViewBenchmark"], Coroutine[Any, Any, None]]

WORKSPACES = 8
RATE_PER_S, BURST = 30.0, 30.0
DEMAND_RATIO = 0.8
ZONES = ("east", "west")
HOSTS_PER_ZONE = 3
SETTLING_S = 8.0  # until the buckets are full
CHANGE_S = 30.0  # measured, from the disturbance on
WINDOW_S = 5.0
LONG_S, SHORT_S = 20.0, 9.0
JOINING = "j"  # owns the tokens of some workspaces in its failure domain
FIRST = "e0"


class Case(Enum):
    """Disturbance of a run."""

    CALM = "none"
    JOIN = "a host joins"
    JOIN_UNSEEN = "a host joins, the store silent to another one for 9 s"
    JOIN_BESIDE_DEAD = "a host joins beside a dead one"
    LEAVE = "a host leaves"
    RESTART = "a host is killed and restarts"
    FREEZE = "a host is frozen for 20 s while another one joins"
    SILENT_HOST = "the store is silent to one host for 20 s"
    SILENT_ALL = "the store is silent to all for 9 s"
    SILENT_ALL_LONG = "the store is silent to all for 20 s"


class CaseResult(NamedTuple):
    """Result of one run.

    Attributes:
        refused: Share of the responses that were refusals as over the rate.
        refused_until_s: Time of the last such refusal, in seconds after the begin of
            the disturbance.
        worst_window: Largest number of requests of a workspace that ran in a window, as
            a share of its rate and burst.

    """

    refused: float
    refused_until_s: float
    worst_window: float


class ViewBenchmark:
    """One run.

    Args:
        loop: The virtual loop that runs this.
        seed: Seed of the requests.

    """

    def __init__(self, *, loop: VirtualLoop, seed: int) -> None:
        self.loop = loop
        self._random = random_module.Random(seed)
        self._ids = itertools.count(1)
        self._end = float("inf")
        self._clients: list[asyncio.Task[None]] = []
        self._results: list[tuple[float, int]] = []  # time and status
        self._ran_at: dict[str, list[float]] = {}
        self.names = [f"w{number}" for number in range(WORKSPACES)]
        hosts = [
            (f"{zone[0]}{n}", zone) for zone in ZONES for n in range(HOSTS_PER_ZONE)
        ]
        routes = {
            name: make_route(f"/{name}/", f"svc-{name}", public=False)
            for name in (*(host for host, _ in hosts), JOINING)
        }
        tenants = {
            name: {"api-keys": [name], "rate-per-s": RATE_PER_S, "burst": BURST}
            for name in self.names
        }
        plans = [make_plan(host, zone) for host, zone in hosts]
        self.fleet = VirtualFleet(plans, config=make_config(1, routes, tenants))

    async def run(self, disturb: Disturb) -> CaseResult:
        """Play a disturbance; return what was refused from its begin on."""
        async with self.fleet:
            self._end = self.loop.time() + SETTLING_S + CHANGE_S
            hosts = [*self.fleet.hosts.values()]
            for name in self.names:
                for host in hosts:
                    rate_per_s = RATE_PER_S * DEMAND_RATIO / len(hosts)
                    client = self._send(host, name, rate_per_s)
                    self._clients.append(asyncio.create_task(client))
            await asyncio.sleep(SETTLING_S)
            begin = self.loop.time()
            await disturb(self)
            await asyncio.gather(*self._clients)
        statuses = [(at - begin, status) for at, status in self._results if at >= begin]
        refused = [at for at, status in statuses if status == 429]
        return CaseResult(
            len(refused) / len(statuses),
            max(refused, default=0.0),
            max(_largest_window(each) for each in self._ran_at.values())
            / (RATE_PER_S * WINDOW_S + BURST),
        )

    async def _send(self, host: RelayHost, name: str, rate_per_s: float) -> None:
        pool = ConnectionPool(loop=self.loop, connect_timeout_s=0.3)
        while self.loop.time() < self._end:
            await asyncio.sleep(self._random.expovariate(rate_per_s))
            headers = [
                (b"host", b"app.example"),
                (b"lavenderway-attempt-id", b"%016x" % next(self._ids)),
                (b"authorization", b"Bearer " + name.encode()),
            ]
            path = f"/{host.plan.name}/x".encode()
            data = encode_request(Request(b"GET", path, headers, b""))
            try:
                async with asyncio.timeout(1.0):
                    response = await pool.exchange(host.callers, data)
            except (ConnectError, ConnectionBrokenError, TimeoutError):
                continue
            now = self.loop.time()
            self._results.append((now, response.status))
            if response.status == 200:
                self._ran_at.setdefault(name, []).append(now)
        pool.close()

    def host(self, name: str) -> VirtualHost:
        """Return a host by its name."""
        host = self.fleet.hosts[name]
        assert isinstance(host, VirtualHost)
        return host

    async def join(self) -> None:
        """Add a host to the first failure domain; clients call it as well."""
        added = await self.fleet.add(make_plan(JOINING, ZONES[0]))
        for name in self.names:
            client = self._send(added, name, RATE_PER_S * (1 - DEMAND_RATIO) / 2)
            self._clients.append(asyncio.create_task(client))

    async def silence(self, names: list[str], duration_s: float) -> None:
        """Give some hosts no response of the store for some time."""
        for name in names:
            self.fleet.hosts[name].faults.silent = True
        await asyncio.sleep(duration_s)
        for name in names:
            self.fleet.hosts[name].faults.silent = False


_DISTURBANCES: dict[Case, Disturb] = {}


def _disturbance(case: Case) -> Callable[[Disturb], Disturb]:
    def register(disturb: Disturb) -> Disturb:
        _DISTURBANCES[case] = disturb
        return disturb

    return register


@_disturbance(Case.CALM)
async def _stay_calm(run: ViewBenchmark) -> None:
    pass


@_disturbance(Case.JOIN)
async def _join(run: ViewBenchmark) -> None:
    await run.join()


@_disturbance(Case.JOIN_UNSEEN)
async def _join_unseen(run: ViewBenchmark) -> None:
    names = [name for name in run.fleet.hosts if name.startswith(FIRST[0])]
    await asyncio.gather(run.silence(names, SHORT_S), run.join())


@_disturbance(Case.JOIN_BESIDE_DEAD)
async def _join_beside_dead(run: ViewBenchmark) -> None:
    run.host(FIRST).signal(signal.SIGKILL)
    await run.join()


@_disturbance(Case.LEAVE)
async def _leave(run: ViewBenchmark) -> None:
    host = run.host(FIRST)
    await host.server.leave()
    host.server.stop_heartbeats()
    await host.server.deregister()
    host.signal(signal.SIGTERM)
    await host.virtual.wait()


@_disturbance(Case.RESTART)
async def _restart(run: ViewBenchmark) -> None:
    host = run.host(FIRST)
    host.signal(signal.SIGKILL)
    await asyncio.sleep(0.5)
    await host.start_node()


@_disturbance(Case.FREEZE)
async def _freeze(run: ViewBenchmark) -> None:
    host = run.host(FIRST)
    host.signal(signal.SIGSTOP)
    await run.join()
    await asyncio.sleep(LONG_S)
    host.signal(signal.SIGCONT)


@_disturbance(Case.SILENT_HOST)
async def _silence_host(run: ViewBenchmark) -> None:
    await run.silence([FIRST], LONG_S)


@_disturbance(Case.SILENT_ALL)
async def _silence_all(run: ViewBenchmark) -> None:
    await run.silence([*run.fleet.hosts], SHORT_S)


@_disturbance(Case.SILENT_ALL_LONG)
async def _silence_all_long(run: ViewBenchmark) -> None:
    await run.silence([*run.fleet.hosts], LONG_S)


def make_plan(name: str, zone: str) -> RelayHostPlan:
    """Return the plan of a host with a service of its own."""
    server = ServerPlan(service=f"svc-{name}", slots=100)
    return RelayHostPlan(name=name, zone=zone, server=server)


def play_case(case: Case, *, seed: int = 1) -> CaseResult:
    """Play one case; return its result."""
    loop = VirtualLoop(random=random_module.Random(seed))
    loop.set_exception_handler(lambda *_: None)  # tasks of killed processes
    run = ViewBenchmark(loop=loop, seed=seed)
    with replace_system(loop, random_module.Random(seed)):
        try:
            return loop.run_until_complete(run.run(_DISTURBANCES[case]))
        finally:
            loop.close()


def _largest_window(times: list[float]) -> int:
    times = sorted(times)
    return max(
        bisect_right(times, begin + WINDOW_S) - index
        for index, begin in enumerate(times)
    )


@benchmark("views")
def compare_disturbances() -> None:
    """Print a table of all cases."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        print("set PYTHONHASHSEED=0 for figures that repeat", file=sys.stderr)
    print("| disturbance | refused | until, s | worst window |")
    print("| --- | --- | --- | --- |")
    for case in Case:
        result = play_case(case)
        print(
            f"| {case.value} | {result.refused:.4f} |"
            f" {result.refused_until_s:.1f} | {result.worst_window:.2f} |",
            flush=True,
        )
