"""Plays seeded faults on a fleet whose nodes exchange no requests, in virtual time.

Each client calls the service beside its own node, so that no forwarded request shows a
node what the others know. The views of the nodes then differ for as long as their own
means allow: the store is silent to some nodes, which also lose the responses to polls
that are pending; nodes freeze, are killed, stop and restart; hosts join and leave; keys
are withdrawn; failure domains are evacuated (from seed 1,000 on); another writer leaves
rows that cannot be decoded. Odd seeds play long requests with calls instead, whose
nodes are stopped; in every second of them, the run times of the calls vary, and the
called upstream slows down after the signal. From seed 2,000 on, two nodes are stopped
at overlapping times.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import random as random_module
import signal
import sys
from bisect import bisect_right
from functools import partial
from typing import TYPE_CHECKING, Any

from lavenderway_relay.messages import Request, encode_request
from lavenderway_relay.pools import ConnectError, ConnectionBrokenError, ConnectionPool
from lavenderway_relay.sync import HOSTS_TABLE

from lavenderway_dev.interleaving import (
    VirtualFleet,
    VirtualHost,
    VirtualNodeProcess,
    replace_system,
)
from lavenderway_dev.long_calls_run import LongCallsRun
from lavenderway_dev.odd_rows import ODD_ROWS
from lavenderway_dev.relay_config import make_config, make_route
from lavenderway_dev.relay_fleet import RelayHost, RelayHostPlan
from lavenderway_dev.seeded_program import pin_hash_seed, print_findings
from lavenderway_dev.server_standin import Server, ServerPlan
from lavenderway_dev.soak_checks import Finding, Invariant
from lavenderway_dev.virtual_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Callable

MODULE = "lavenderway_dev.view_interleaving"
ZONES = ("east", "east", "west")
NAMES = ("h1", "h2", "h3")
JOINING = ("j1", "j2", "a1")  # `a1` sorts before all others
LIMITED_KEY, WITHDRAWN_KEY = "key-of-acme", "key-of-blue"
RATE_PER_S, BURST = 60, 60
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE, QUOTA_TOLERANCE = 0.1, 20
ALLOWED = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVERAGE) + QUOTA_TOLERANCE
CONTACT_S, CONFIG_APPLY_S = 3.0, 2.0
EVACUATE_S = 5.0  # an evacuation is in force so long after the operator's write
MAX_EVACUATION_S = 15.0
FIRST_EVACUATION_SEED = 1_000  # from this seed on, failure domains are evacuated
FIRST_OVERLAP_SEED = 2_000  # from this seed on, two nodes stop at overlapping times
DURATION_S = 40.0
QUIET_END_S = 12.0  # at the end, without new faults
MAX_FAULTS = 6
MAX_SILENCE_S = 16.0
CLIENTS_PER_HOST = 4
CLIENT_PAUSE_S = 0.03
CLIENT_PATIENCE_S = 3.0


class ViewRun:
    """Plays one seed.

    Args:
        loop: The virtual loop that runs this.
        random: Source of the faults and of the requests.
        findings: Receives the violations.
        operations: Receives the faults with their times.
        evacuates: Whether failure domains are evacuated as well.

    """

    def __init__(
        self,
        *,
        loop: VirtualLoop,
        random: random_module.Random,
        findings: list[Finding],
        operations: list[str],
        evacuates: bool,
    ) -> None:
        self._loop = loop
        self._random = random
        self._findings = findings
        self._operations = operations
        self._faults = _FAULTS_WITH_EVACUATIONS if evacuates else _FAULTS
        self._evacuated_at: dict[str, float] = {}
        self._ids = itertools.count(1)
        self._started_at = 0.0
        self._sent_at: dict[str, float] = {}
        self._key_of: dict[str, str] = {}
        self._limited: list[tuple[float, float]] = []  # when sent, when run
        # When each host was last disturbed; infinite while it is.
        self._disturbed_until: dict[str, float] = {}
        self._withdrawn_at = float("inf")
        self._expected_ends: set[VirtualNodeProcess] = set()
        self._joining = list(JOINING)
        self._busy: set[str] = set()
        self._clients: list[asyncio.Task[None]] = []
        names = (*NAMES, *JOINING)
        routes = {
            name: make_route(f"/{name}/", f"svc-{name}", public=False) for name in names
        }
        tenants: dict[str, dict[str, Any]] = {
            "acme": {"api-keys": [LIMITED_KEY], "rate-per-s": RATE_PER_S},
            "blue": {"api-keys": [WITHDRAWN_KEY], "rate-per-s": 0},
        }
        tenants["acme"]["burst"] = BURST
        self._routes, self._tenants = routes, tenants
        plans = [
            _make_plan(name, zone) for name, zone in zip(NAMES, ZONES, strict=True)
        ]
        self._fleet = VirtualFleet(plans, config=make_config(1, routes, tenants))

    async def play(self) -> None:
        """Start the fleet, play the faults under load and check."""
        async with self._fleet:
            self._started_at = self._loop.time()
            end = self._started_at + DURATION_S
            for host in self._fleet.hosts.values():
                self._begin_load(host, end)
            count = self._random.randint(2, MAX_FAULTS)
            last = DURATION_S - QUIET_END_S
            times = sorted(self._random.uniform(1.0, last) for _ in range(count))
            tasks = []
            for at in times:
                await asyncio.sleep(max(0.0, self._started_at + at - self._loop.time()))
                fault = self._random.choice(self._faults)
                tasks.append(asyncio.create_task(self._operate(fault, end)))
            await asyncio.gather(*tasks)
            await asyncio.sleep(max(0.0, end - self._loop.time()))
            await asyncio.gather(*self._clients)
            self._check_processes()
        self._check_quota()

    def _begin_load(self, host: RelayHost, end: float) -> None:
        host.server.on_run = self._record_run
        self._disturbed_until.setdefault(host.plan.name, self._started_at)
        for number in range(CLIENTS_PER_HOST):
            key = LIMITED_KEY if number else WITHDRAWN_KEY
            self._clients.append(asyncio.create_task(self._send(host, key, end)))

    async def _send(self, host: RelayHost, key: str, end: float) -> None:
        pool = ConnectionPool(loop=self._loop, connect_timeout_s=1.0)
        while self._loop.time() < end:
            request_id = f"{next(self._ids):016x}"
            sent_at = self._sent_at[request_id] = self._loop.time()
            self._key_of[request_id] = key
            headers = [
                (b"host", b"app.example"),
                (b"lavenderway-attempt-id", request_id.encode()),
                (b"authorization", b"Bearer " + key.encode()),
            ]
            path = f"/{host.plan.name}/x".encode()
            data = encode_request(Request(b"GET", path, headers, b""))
            try:
                async with asyncio.timeout(CLIENT_PATIENCE_S):
                    response = await pool.exchange(host.callers, data)
            except (ConnectError, ConnectionBrokenError, TimeoutError):
                await asyncio.sleep(0.1)
            else:
                if key == WITHDRAWN_KEY and response.status == 200:
                    self._check_withdrawn(request_id, host.plan.name, sent_at)
            await asyncio.sleep(self._random.uniform(0.0, 2 * CLIENT_PAUSE_S))
        pool.close()

    def _check_withdrawn(self, request_id: str, host: str, sent_at: float) -> None:
        in_touch_at = self._disturbed_until[host] + CONTACT_S
        bound = max(self._withdrawn_at + CONFIG_APPLY_S, in_touch_at)
        if sent_at > bound:
            detail = f"{request_id}: {host} took a withdrawn key"
            late_s = sent_at - bound
            self._findings.append(
                Finding(Invariant.CONFIGURED, f"{detail} {late_s:.2f} s too late")
            )

    def _record_run(self, server: Server, request: Request) -> None:
        request_id = (request.header(b"lavenderway-attempt-id") or b"").decode()
        if self._key_of.get(request_id) == LIMITED_KEY:
            self._limited.append((self._sent_at[request_id], self._loop.time()))
        self._check_evacuated(server.name.removeprefix("i-"))

    def _check_evacuated(self, host: str) -> None:
        evacuated_at = self._evacuated_at.get(self._fleet.hosts[host].plan.zone)
        if evacuated_at is None:
            return
        in_touch_at = self._disturbed_until[host] + CONTACT_S
        late_s = self._loop.time() - max(evacuated_at + EVACUATE_S, in_touch_at)
        if late_s > 0.0:
            detail = f"a run on {host}, {late_s:.2f} s too late"
            self._findings.append(Finding(Invariant.EVACUATED, detail))

    def _check_quota(self) -> None:
        """Check the quota in each window that begins when a request is sent."""
        runs = sorted(self._limited)
        sent = [each[0] for each in runs]
        for begin, _ in runs:
            last = bisect_right(sent, begin + QUOTA_WINDOW_S)
            first = bisect_right(sent, begin - 1e-9)
            window = runs[first:last]
            count = sum(ran_at <= begin + QUOTA_WINDOW_S for _, ran_at in window)
            if count > ALLOWED:
                detail = f"{count} of {ALLOWED:g} from {begin - self._started_at:.2f} s"
                self._findings.append(Finding(Invariant.RATE_LIMIT, detail))
                return

    def _check_processes(self) -> None:
        for host in self._fleet.hosts.values():
            assert isinstance(host, VirtualHost)
            process = host.virtual
            if process.returncode is not None and process not in self._expected_ends:
                self._findings.append(Finding(Invariant.KEPT_RUNNING, host.plan.name))

    async def _operate(self, fault: Callable[..., Any], end: float) -> None:
        free = sorted(self._fleet.hosts.keys() - self._busy)
        if not free:
            return
        name = self._random.choice(free)
        at = self._loop.time() - self._started_at
        self._operations.append(f"{at:.2f} {fault.__name__.strip('_')} {name}")
        host = self._fleet.hosts[name]
        self._busy.add(name)
        await fault(self, host, end)
        self._busy.discard(name)

    def _disturb(self, host: RelayHost) -> None:
        self._disturbed_until[host.plan.name] = float("inf")

    def _settle(self, host: RelayHost) -> None:
        self._disturbed_until[host.plan.name] = self._loop.time()

    async def _silence_store(self, host: VirtualHost, end: float) -> None:
        """Give a host no response; those of pending polls are lost as well."""
        self._disturb(host)
        host.faults.silent = True
        await asyncio.sleep(self._random.uniform(0.2, MAX_SILENCE_S))
        host.faults.silent = False
        self._settle(host)

    async def _silence_all(self, host: VirtualHost, end: float) -> None:
        """Give no host a response for a while."""
        hosts = [*self._fleet.hosts.values()]
        for each in hosts:
            each.faults.silent = True
            self._disturb(each)
        await asyncio.sleep(self._random.uniform(0.2, MAX_SILENCE_S))
        for each in hosts:
            each.faults.silent = False
            self._settle(each)

    async def _freeze(self, host: VirtualHost, end: float) -> None:
        self._disturb(host)
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, MAX_SILENCE_S))
        host.signal(signal.SIGCONT)
        self._settle(host)

    async def _kill(self, host: VirtualHost, end: float) -> None:
        self._disturb(host)
        self._expected_ends.add(host.virtual)
        host.signal(signal.SIGKILL)
        await asyncio.sleep(self._random.uniform(0.05, 3.0))
        await host.start_node()
        self._settle(host)

    async def _stop(self, host: VirtualHost, end: float) -> None:
        self._disturb(host)
        self._expected_ends.add(host.virtual)
        host.signal(signal.SIGTERM)
        await host.virtual.wait()
        await asyncio.sleep(self._random.uniform(0.05, 1.0))
        await host.start_node()
        self._settle(host)

    async def _leave(self, host: VirtualHost, end: float) -> None:
        """Let a host leave the fleet: first its server, then its node."""
        if await host.server.leave() != 200:
            return
        host.server.stop_heartbeats()
        await host.server.deregister()
        self._disturb(host)
        self._expected_ends.add(host.virtual)
        host.signal(signal.SIGTERM)
        await host.virtual.wait()
        self._busy.add(host.plan.name)

    async def _join_unseen(self, host: VirtualHost, end: float) -> None:
        """Add a host that the store does not tell another one of for a while."""
        silencing = asyncio.create_task(self._silence_store(host, end))
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        await self._join(host, end)
        await silencing

    async def _join(self, host: VirtualHost, end: float) -> None:
        """Add a host to one of the failure domains."""
        if not self._joining:
            return
        name = self._joining.pop(self._random.randrange(len(self._joining)))
        zone = host.plan.zone
        added = await self._fleet.add(_make_plan(name, zone))
        self._disturbed_until[name] = self._loop.time()
        self._begin_load(added, end)

    async def _withdraw(self, host: VirtualHost, end: float) -> None:
        if self._withdrawn_at == float("inf"):
            tenants = {**self._tenants, "blue": {"api-keys": [], "rate-per-s": 0}}
            self._fleet.configure(make_config(2, self._routes, tenants))
            self._withdrawn_at = self._loop.time()

    async def _evacuate(self, host: VirtualHost, end: float) -> None:
        """Evacuate the failure domain of a host for a while."""
        zone = host.plan.zone
        if zone in self._evacuated_at:
            return
        self._fleet.store.put("op", f"evacuate/{zone}", b"{}")
        self._evacuated_at[zone] = self._loop.time()
        await asyncio.sleep(self._random.uniform(1.0, MAX_EVACUATION_S))
        del self._evacuated_at[zone]
        self._fleet.store.remove("op", f"evacuate/{zone}")

    async def _write_odd_row(self, host: VirtualHost, end: float) -> None:
        row = self._random.choice(ODD_ROWS)
        self._fleet.store.put(HOSTS_TABLE, f"odd-{next(self._ids)}", row)


_FAULTS: tuple[Callable[..., Any], ...] = (
    *(ViewRun._silence_store,) * 3,
    ViewRun._silence_all,
    ViewRun._freeze,
    ViewRun._kill,
    ViewRun._stop,
    ViewRun._leave,
    ViewRun._join,
    *(ViewRun._join_unseen,) * 2,
    *(ViewRun._withdraw,) * 3,
    ViewRun._write_odd_row,
)


_FAULTS_WITH_EVACUATIONS = (*_FAULTS, *(ViewRun._evacuate,) * 6)


def _make_plan(name: str, zone: str) -> RelayHostPlan:
    server = ServerPlan(service=f"svc-{name}", slots=50)
    return RelayHostPlan(name=name, zone=zone, server=server)


def play_seed(seed: int) -> tuple[list[str], list[Finding]]:
    """Play one seed; return its operations and findings."""
    random = random_module.Random(f"views {seed}")
    loop = VirtualLoop(random=random_module.Random(random.random()))
    loop.set_exception_handler(lambda *_: None)  # tasks of killed processes
    findings: list[Finding] = []
    operations: list[str] = []
    make: Callable[..., LongCallsRun | ViewRun] = partial(
        ViewRun, evacuates=seed >= FIRST_EVACUATION_SEED
    )
    if seed % 2:
        overlaps = seed >= FIRST_OVERLAP_SEED
        make = partial(LongCallsRun, varied=seed % 4 == 3, overlaps=overlaps)
    with replace_system(loop, random_module.Random(random.random())):
        run = make(loop=loop, random=random, findings=findings, operations=operations)
        try:
            loop.run_until_complete(run.play())
        except TimeoutError as error:
            findings.append(Finding(Invariant.RECOVERED, f"did not start: {error}"))
        finally:
            loop.close()
    return operations, findings


def main() -> int:
    """Play seeds; return 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(description="Play faults on differing views.")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    options = parser.parse_args()
    pin_hash_seed(MODULE)
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        operations, findings = play_seed(seed)
        failed += print_findings(seed, operations, findings)
    print(f"{options.count - failed} seeds passed, {failed} failed")
    return int(bool(failed))


if __name__ == "__main__":
    sys.exit(main())
