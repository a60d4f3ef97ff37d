"""Runs a fleet of nodes in virtual time under seeded planned and unplanned operations.

The nodes, the store and the upstreams run in one process, on a `VirtualLoop`. Unlike
the soak, whose processes share the machine with others, a seed always gives the same
order of events, and takes about half a second. Even seeds have planned operations only,
which must break no request. Upstreams may also name limits and departures in their
responses; calls may then be refused, and their parents fail.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import os
import random as random_module
import signal
import sys
from collections import Counter
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any
from unittest import mock

import xxhash
from lavenderway_platform.announcements import create_servers
from lavenderway_platform.configuration import (
    CONFIG_KEY,
    CONFIG_TABLE,
    EVACUATION_KEY_PREFIX,
    decode_configuration,
)
from lavenderway_platform.header_names import PLATFORM_HEADER_NAMES
from lavenderway_platform.settings import SettingsFile
from lavenderway_platform.store import PlatformStore
from lavenderway_relay.dependencies import NodeDependencies
from lavenderway_relay.logs import LogStream
from lavenderway_relay.messages import Request, Response, encode_request
from lavenderway_relay.node import Node
from lavenderway_relay.pools import ConnectError, ConnectionBrokenError, ConnectionPool

from lavenderway_dev.notice_checks import (
    LEAVING_HEADER,
    LIMIT_HEADER,
    Arrival,
    NoticeObservations,
)
from lavenderway_dev.relay_config import make_config, make_route
from lavenderway_dev.relay_fleet import (
    STOP_GRACE_S,
    RelayFleet,
    RelayHost,
    RelayHostPlan,
)
from lavenderway_dev.seeded_program import pin_hash_seed, print_findings
from lavenderway_dev.server_standin import (
    CALLING_SERVER,
    Call,
    CallResult,
    Server,
    ServerPlan,
)
from lavenderway_dev.soak_checks import Finding, Invariant
from lavenderway_dev.virtual_loop import (
    VirtualAddress,
    VirtualLoop,
    VirtualProcess,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MODULE = "lavenderway_dev.interleaving"
KEY = "key-of-acme"
OTHER_KEY = "key-of-blue"
ROUTES = {
    "front": make_route("/front/", "front", timeout="2000ms"),
    "back": make_route("/back/", "back", timeout="2000ms"),
    "order": make_route("/order/", "back", kind="unsafe", timeout="2000ms"),
    "keyed": make_route("/keyed/", "back", timeout="2000ms", public=False),
}
TENANTS = {
    "acme": {"api-keys": [KEY], "rate-per-s": 500, "burst": 100},
    "blue": {"api-keys": [OTHER_KEY], "rate-per-s": 500, "burst": 100},
}
PATHS = (
    *("/front/x", "/back/x", "/order/x", "/keyed/x"),
    *("/front/calls", "/front/slow", "/back/slow", "/order/slow"),
)
SLOW_S = 0.9  # run time of slow requests
TIME_LIMIT_S = 2.0  # of all routes
CLIENT_PATIENCE_S = 3.0
MAX_RUNS = 2  # attempts that a route allows
NO_RESPONSE = "no response"
DURATION_S = 8.0
RECOVERY_TIME_S = 8.0  # after the last fault
CLIENTS = 24
SLOTS = 24  # of each upstream; every host alone can run all requests
SCARCE_SLOTS = 4  # requests queue
MAX_PAUSE_S = 0.03  # between two requests of a client
MAX_OPERATIONS = 12
DRAIN_GRACE_S = 0.2  # for requests sent before the acknowledgement
EXIT_TOLERANCE_S = 0.2  # beyond the grace period
MAX_NOTICES = 4  # series of limits and departures
LIMITS_PER_S = (1.0, 10.0)
MAX_LIMIT_TIME_S = 4.0
LIMIT_END_PROBABILITY = 0.15  # of a series of limits, after each of them
# A limit binds after 3 s, and is checked over 4 s.
NOTICE_DURATION_S = 13.0
LAST_NOTICE_S = 5.0
MALFORMED_LIMITS = (b"", b"nan", b"inf", b"-5", b"0", b"1e400", b"9" * 400, b"5, 6")


class VirtualNodeProcess:
    """A node in a virtual process, with the interface of a subprocess.

    Args:
        process: The virtual process.

    Attributes:
        returncode: Exit code; None while the process exists.

    """

    def __init__(self, *, process: VirtualProcess) -> None:
        self.process = process
        self.returncode: int | None = None
        self._ended = asyncio.Event()

    def start(self, make: Callable[[], Any]) -> None:
        """Run a node until it exits."""
        self.process.start(make).add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[Any]) -> None:
        failed = not task.cancelled() and task.exception() is not None
        self._end(int(failed))

    def kill(self) -> None:
        """End the process at once."""
        self._end(-signal.SIGKILL)

    def _end(self, code: int) -> None:
        if self.returncode is None:
            self.returncode = code
            self.process.kill()
            self._ended.set()

    async def wait(self) -> int:
        """Wait until the process has ended; return its exit code."""
        await self._ended.wait()
        assert self.returncode is not None
        return self.returncode


class VirtualHost(RelayHost):
    """A host whose node runs in a virtual process."""

    virtual: VirtualNodeProcess

    async def start_node(self, *prefix: str) -> None:
        """Start the node; a command prefix is not supported."""
        assert not prefix
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        self._settings_path.write_text(self._render_settings(), encoding="utf-8")
        process = VirtualProcess(loop=loop, name=self.plan.name)
        self.virtual = VirtualNodeProcess(process=process)
        self.process = self.virtual  # type: ignore[assignment]
        self.virtual.start(self._run_node)

    async def _run_node(self) -> None:
        loop = asyncio.get_running_loop()
        settings_file = SettingsFile(path=str(self._settings_path))
        settings = settings_file.read()
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        descriptor = os.open(self.log_path, flags, 0o600)
        try:
            node = Node(
                dependencies=NodeDependencies(
                    settings=settings,
                    header_names=PLATFORM_HEADER_NAMES,
                    store=PlatformStore(address=settings.store_address, loop=loop),
                    decode_configuration=decode_configuration,
                    config_table=CONFIG_TABLE,
                    config_key=CONFIG_KEY,
                    evacuation_key_prefix=EVACUATION_KEY_PREFIX,
                    read_settings=settings_file.read,
                    settings_changed=settings_file.has_changed,
                ),
                log=LogStream(host=settings.host, descriptor=descriptor),
                loop=loop,
            )
            await node.run(lambda running_node: create_servers(running_node, loop))
        finally:
            os.close(descriptor)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node."""
        process = self.virtual.process
        if number is signal.SIGSTOP:
            process.freeze()
        elif number is signal.SIGCONT:
            process.thaw()
        elif number is signal.SIGKILL:
            self.virtual.kill()
        else:
            process.send_signal(number)


class VirtualFleet(RelayFleet):
    """Hosts in virtual processes, and their store."""

    host_class = VirtualHost


@dataclass(kw_only=True)
class Sending:
    """A request of a client and its result."""

    id: str
    path: str
    host: str
    process: VirtualNodeProcess
    sent_at: float
    key: str | None
    ended_at: float | None = None
    status: int | None = None
    not_run: bool = False
    body: bytes = b""
    error: str = ""

    @property
    def at_most_once(self) -> bool:
        """Whether the request must not run twice."""
        return self.path.startswith("/order/")


@dataclass(kw_only=True)
class Interleaving:
    """One run: its observations and findings.

    Attributes:
        seed: Seed of all delays and operations.
        planned: Whether all operations are planned ones, which must break no request.
        operations: Operations with their times, in order.
        sent: Requests by ID.
        runs: Server name and time of each run, by request ID.
        departed_at: Time at which the departure of a server was acknowledged, by its
            name.
        frozen: Node processes that were frozen for some time.
        notices: What the servers said of themselves, and the requests they got.
        has_notices: Whether servers name limits and departures.

    """

    seed: int
    planned: bool
    has_notices: bool = False
    operations: list[str] = field(default_factory=list)
    sent: dict[str, Sending] = field(default_factory=dict)
    runs: dict[str, list[tuple[str, float]]] = field(default_factory=dict)
    departed_at: dict[str, float] = field(default_factory=dict)
    frozen: list[VirtualNodeProcess] = field(default_factory=list)
    findings: list[Finding] = field(default_factory=list)
    notices: NoticeObservations = field(default_factory=NoticeObservations)

    def record(self, invariant: Invariant, detail: str) -> None:
        """Record a violation."""
        self.findings.append(Finding(invariant, detail))


def _make_server(service: str, slots: int) -> ServerPlan:
    return ServerPlan(
        service=service,
        slots=slots,
        calls={
            "/front/calls": [Call(authority="app.example", path="/back/x", times=2)]
        },
        service_times_s={path: SLOW_S for path in PATHS if path.endswith("/slow")},
    )


class InterleavingRun:
    """Plays one seed.

    Args:
        loop: The virtual loop that runs this.
        result: Receives the observations.
        random: Source of the operations and of the requests.
        notice_random: Source of the notices of the servers.

    """

    def __init__(
        self,
        *,
        loop: VirtualLoop,
        result: Interleaving,
        random: random_module.Random,
        notice_random: random_module.Random,
    ) -> None:
        self._loop = loop
        self._result = result
        self._notice_random = notice_random
        self._host_by_server: dict[str, str] = {}
        self._random = random_module.Random(random.random())
        self._request_random = random_module.Random(random.random())
        self._ids = itertools.count(1)
        self._server_names = itertools.count(1)
        self._started_at = 0.0
        self._tasks: list[asyncio.Task[None]] = []
        self._refused_keys: dict[tuple[str, str], float] = {}
        slots = SLOTS if result.planned else SCARCE_SLOTS
        plans = [
            RelayHostPlan(name=name, zone=zone, server=_make_server(service, slots))
            for name, zone, service in (
                ("front1", "east", "front"),
                ("front2", "west", "front"),
                ("back1", "east", "back"),
                ("back2", "west", "back"),
                ("back3", "west", "back"),
            )
        ]
        self._fleet = VirtualFleet(plans, config=make_config(1, ROUTES, TENANTS))
        self._busy_hosts: set[str] = set()
        self._running: Counter[str] = Counter()  # by the name of the server

    @property
    def _hosts(self) -> dict[str, RelayHost]:
        return self._fleet.hosts

    async def play(self) -> None:
        """Start the fleet, play the operations under load, heal and check."""
        async with self._fleet:
            for host in self._hosts.values():
                self._observe(host)
            self._started_at = self._loop.time()
            duration_s = NOTICE_DURATION_S if self._result.has_notices else DURATION_S
            end = self._started_at + duration_s
            clients = [
                asyncio.create_task(self._send_requests(end)) for _ in range(CLIENTS)
            ]
            operations = _PLANNED_OPERATIONS if self._result.planned else _OPERATIONS
            count = self._random.randint(2, MAX_OPERATIONS)
            if self._result.has_notices:
                self._tasks.append(asyncio.create_task(self._give_notices()))
            times = sorted(self._random.uniform(0.2, DURATION_S) for _ in range(count))
            for at in times:
                await asyncio.sleep(max(0.0, self._started_at + at - self._loop.time()))
                operation = self._random.choice(operations)
                self._tasks.append(asyncio.create_task(self._operate(operation)))
            await asyncio.gather(*clients, *self._tasks)
            for host in self._hosts.values():
                self._name_limit(host, None)
            await self._check_recovery()
        self._check_requests()

    def _observe(self, host: RelayHost) -> None:
        server = host.server
        self._host_by_server[server.name] = host.plan.name
        server.on_arrival = self._record_arrival
        server.on_call = self._record_call
        server.on_run = self._record_run
        server.on_end = self._record_end

    def _record_arrival(self, server: Server, request: Request) -> None:
        now = self._loop.time()
        calling = request.header(CALLING_SERVER)
        if calling is None:
            request_id = (request.header(b"lavenderway-attempt-id") or b"").decode()
            sending = self._result.sent[request_id]
            arrival = Arrival(sending.host, now, sending.sent_at)
        else:
            arrival = Arrival(self._host_by_server[calling.decode()], now, now)
        self._result.notices.record_arrival(server.name, arrival)

    def _record_call(self, server: Server, call: CallResult) -> None:
        if call.response is not None:
            self._record_notices(self._host_by_server[server.name], call.response)

    def _record_notices(self, host: str, response: Response) -> None:
        signature = response.header(b"lavenderway-server-signature")
        if signature is not None:
            now, name = self._loop.time(), signature.decode()
            self._result.notices.record_response(host, name, response.headers, now)

    def _record_run(self, server: Server, request: Request) -> None:
        request_id = (request.header(b"lavenderway-attempt-id") or b"").decode()
        now = self._loop.time()
        self._running[server.name] += 1
        self._result.runs.setdefault(request_id, []).append((server.name, now))
        departed_at = self._result.departed_at.get(server.name)
        if departed_at is not None and now > departed_at + DRAIN_GRACE_S:
            late_s = now - departed_at
            self._result.record(
                Invariant.DRAINED, f"{request_id} at {server.name} {late_s:.3f} s later"
            )

    def _record_end(self, server: Server, *_: object) -> None:
        self._running[server.name] -= 1

    async def _send_requests(self, end: float) -> None:
        pool = ConnectionPool(loop=self._loop, connect_timeout_s=1.0)
        while self._loop.time() < end:
            host = self._request_random.choice([*self._hosts.values()])
            await self._send(pool, host, self._request_random.choice(PATHS), KEY)
            await asyncio.sleep(self._request_random.uniform(0.0, MAX_PAUSE_S))
        pool.close()

    async def _send(
        self, pool: ConnectionPool, host: RelayHost, path: str, key: str
    ) -> Sending:
        assert isinstance(host, VirtualHost)
        sending = Sending(
            id=f"{next(self._ids):016x}",
            path=path,
            host=host.plan.name,
            process=host.virtual,
            sent_at=self._loop.time(),
            key=key if path.startswith("/keyed/") else None,
        )
        self._result.sent[sending.id] = sending
        headers = [
            (b"host", b"app.example"),
            (b"lavenderway-attempt-id", sending.id.encode()),
        ]
        if sending.key is not None:
            headers.append((b"authorization", b"Bearer " + sending.key.encode()))
        method = b"POST" if sending.at_most_once else b"GET"
        data = encode_request(Request(method, path.encode(), headers, b""))
        try:
            async with asyncio.timeout(CLIENT_PATIENCE_S):
                response = await pool.exchange(host.callers, data)
        except (ConnectError, ConnectionBrokenError) as error:
            sending.error = repr(error)
        except TimeoutError:
            sending.error = NO_RESPONSE
        else:
            sending.status = response.status
            sending.body = bytes(response.body)
            self._record_notices(host.plan.name, response)
            sending.not_run = response.header(b"lavenderway-outcome") == b"not-run"
        sending.ended_at = self._loop.time()
        self._check_key(sending)
        return sending

    def _check_key(self, sending: Sending) -> None:
        """Check that a host which has refused a key does not accept it again."""
        if sending.key is None or sending.ended_at is None:
            return
        name = (sending.host, sending.key)
        if sending.status == 401:
            self._refused_keys.setdefault(name, sending.ended_at)
        elif sending.status == 200:
            refused_at = self._refused_keys.get(name)
            if refused_at is not None and sending.sent_at > refused_at:
                self._result.record(
                    Invariant.AUTHENTICATED,
                    f"{sending.id}: {sending.host} accepted a withdrawn key again",
                )

    async def _operate(self, operation: Callable[..., Any]) -> None:
        free = [name for name in self._hosts if self._may_operate(name)]
        if not free:
            return
        name = self._random.choice(free)
        self._busy_hosts.add(name)
        at = self._loop.time() - self._started_at
        label = f"{at:.3f} {operation.__name__.strip('_')} {name}"
        self._result.operations.append(label)
        host = self._hosts[name]
        assert isinstance(host, VirtualHost)
        await operation(self, host)
        self._busy_hosts.discard(name)

    def _may_operate(self, name: str) -> bool:
        """Return whether a host is not in an operation.

        Planned operations take the hosts of a service one after another.
        """
        service = self._hosts[name].plan.server.service
        return not any(
            name == busy
            or (
                self._result.planned
                and self._hosts[busy].plan.server.service == service
            )
            for busy in self._busy_hosts
        )

    async def _stop_node(self, host: VirtualHost) -> None:
        """Stop a node, and start it again some time after its exit."""
        started = self._loop.time()
        stopped = host.virtual
        host.signal(signal.SIGTERM)
        if await stopped.wait() != 0:
            self._result.record(Invariant.KEPT_RUNNING, f"{host.plan.name} failed")
        if self._loop.time() - started > STOP_GRACE_S + EXIT_TOLERANCE_S:
            self._result.record(Invariant.EXITED_IN_TIME, host.plan.name)
        await self._restart(host, started)

    async def _kill_node(self, host: VirtualHost) -> None:
        """Kill a node, and start it again."""
        started = self._loop.time()
        host.signal(signal.SIGKILL)
        await self._restart(host, started)

    async def _kill_stopping_node(self, host: VirtualHost) -> None:
        """Kill a node while it stops."""
        started = self._loop.time()
        host.signal(signal.SIGTERM)
        await asyncio.sleep(self._random.uniform(0.0, 3.0))
        host.signal(signal.SIGKILL)
        await self._restart(host, started)

    async def _restart(self, host: VirtualHost, stopped_at: float) -> None:
        await asyncio.sleep(self._random.uniform(0.05, 1.5))
        await host.start_node()
        self._record_interruption(host, stopped_at)

    def _record_interruption(self, host: VirtualHost, started_at: float) -> None:
        self._result.notices.record_interruption(
            host.plan.name, started_at, self._loop.time()
        )

    async def _freeze_node(self, host: VirtualHost) -> None:
        """Suspend a node for some time."""
        self._result.frozen.append(host.virtual)
        started = self._loop.time()
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.05, 2.5))
        host.signal(signal.SIGCONT)
        self._record_interruption(host, started)

    async def _replace_server(self, host: VirtualHost) -> None:
        """Let a server leave, and start another one at its address."""
        server = host.server
        acknowledged = False
        for _ in range(self._random.randint(1, 5)):
            acknowledged = await server.leave() == 200
            if acknowledged:
                break
            await asyncio.sleep(0.1)
        if acknowledged:
            self._result.departed_at[server.name] = self._loop.time()
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        while acknowledged and self._running[server.name]:
            await asyncio.sleep(0.05)
        if self._random.random() < 0.5:
            server.stop_heartbeats()
            if await server.deregister() == 200:
                self._result.departed_at[server.name] = self._loop.time()
            await asyncio.sleep(self._random.uniform(0.0, 0.5))
        await self._start_other_server(host)

    async def _start_other_server(self, host: VirtualHost) -> None:
        host.server.stop()
        await asyncio.sleep(self._random.uniform(0.01, 0.5))
        host.server = host.create_server(f"i-{next(self._server_names)}")
        self._observe(host)
        await host.server.start()

    async def _deregister_and_kill(self, host: VirtualHost) -> None:
        """Deregister a server while the store fails, and kill its node.

        The server goes on listening, so that a node that does not know of its departure
        sends requests to it.
        """
        server, faults = host.server, host.faults
        faults.refuse_with = self._random.choice((0, 503))
        faults.delay_s = self._random.choice((0.0, 0.3))
        await asyncio.sleep(self._random.uniform(0.0, 0.5))
        server.stop_heartbeats()
        if await server.deregister() == 200:
            self._result.departed_at[server.name] = self._loop.time()
        await asyncio.sleep(self._random.uniform(0.0, 0.2))
        killed_at = self._loop.time()
        host.signal(signal.SIGKILL)
        faults.refuse_with, faults.delay_s = 0, 0.0
        await self._restart(host, killed_at)
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        await self._start_other_server(host)

    async def _give_notices(self) -> None:
        """Let some servers name limits, and others leave, by their responses alone."""
        random = self._notice_random
        count = random.randint(1, MAX_NOTICES)
        times = sorted(random.uniform(0.0, LAST_NOTICE_S) for _ in range(count))
        tasks = []
        for at in times:
            await asyncio.sleep(max(0.0, self._started_at + at - self._loop.time()))
            name = random.choice([*self._hosts])
            host = self._hosts[name]
            assert isinstance(host, VirtualHost)
            label = f"{at:.3f} notice of {name}"
            self._result.operations.append(label)
            if random.random() < 0.7 or not self._may_operate(name):
                tasks.append(asyncio.create_task(self._name_limits(host)))
            else:
                self._busy_hosts.add(name)
                tasks.append(asyncio.create_task(self._leave_by_notice(host)))
        await asyncio.gather(*tasks)

    async def _name_limits(self, host: VirtualHost) -> None:
        """Name limits that rise, fall, and end; some responses have malformed ones."""
        random = self._notice_random
        while self._loop.time() < self._started_at + NOTICE_DURATION_S:
            self._name_limit(host, random.uniform(*LIMITS_PER_S))
            await asyncio.sleep(random.uniform(0.05, MAX_LIMIT_TIME_S))
            if random.random() < 0.2:
                limits = random.sample(MALFORMED_LIMITS, random.randint(1, 2))
                host.server.notices = [(LIMIT_HEADER, limit) for limit in limits]
                await asyncio.sleep(random.uniform(0.05, 0.3))
            if random.random() < LIMIT_END_PROBABILITY:
                break
        self._name_limit(host, None)

    def _name_limit(self, host: RelayHost, per_s: float | None) -> None:
        server = host.server
        server.notices = [each for each in server.notices if each[0] != LIMIT_HEADER]
        if per_s is not None:
            server.notices.append((LIMIT_HEADER, b"%.3f" % per_s))
        self._result.notices.record_named(server.name, per_s, self._loop.time())

    async def _leave_by_notice(self, host: VirtualHost) -> None:
        """Let a server leave that says so in its responses only."""
        host.server.notices.append((LEAVING_HEADER, b"1"))
        await asyncio.sleep(self._notice_random.uniform(2.0, 4.0))
        await self._start_other_server(host)
        self._busy_hosts.discard(host.plan.name)

    async def _lose_responses(self, host: VirtualHost) -> None:
        """Let a server run requests without responding."""
        host.server.responses_to_lose = self._random.randint(1, 6)

    async def _withdraw_key(self, host: VirtualHost) -> None:
        """Withdraw a key in a new version of the configuration."""
        del host
        tenants = {"blue": TENANTS["blue"]}
        self._fleet.configure(make_config(2, ROUTES, tenants))

    async def _disturb_store(self, host: VirtualHost) -> None:
        """Let the store fail towards one host, in one of several ways."""
        faults = host.faults
        kind = self._random.randrange(4)
        faults.refuse_with = 503 if kind == 0 else 0
        faults.silent = kind == 1
        faults.delay_s = 0.3 if kind == 2 else 0.0
        faults.responses_to_lose = 2 if kind == 3 else 0
        await asyncio.sleep(self._random.uniform(0.1, 3.0))
        faults.refuse_with, faults.silent = 0, False
        faults.delay_s, faults.responses_to_lose = 0.0, 0

    async def _compact_store(self, host: VirtualHost) -> None:
        """Discard the history of the store, so that feeds are read anew."""
        del host
        self._fleet.store.compact()

    async def _restore_store(self, host: VirtualHost) -> None:
        """Restore the store from a copy, unless the configuration has changed since."""
        del host
        store = self._fleet.store
        copy, config = store.save_copy(), self._fleet.config
        await asyncio.sleep(self._random.uniform(0.05, 1.5))
        if self._fleet.config is config:
            store.restore(copy)

    async def _check_recovery(self) -> None:
        """Check that all nodes serve again, with the configuration in force."""
        pool = ConnectionPool(loop=self._loop, connect_timeout_s=1.0)
        withdrawn = self._fleet.config["version"] != f"{1:08x}"
        expected = {"/back/x": 200, "/order/x": 200, "/front/x": 200}
        expected["/keyed/x"] = 401 if withdrawn else 200
        deadline = self._loop.time() + RECOVERY_TIME_S
        for host in self._hosts.values():
            for path, status in expected.items():
                while True:
                    sending = await self._send(pool, host, path, KEY)
                    if sending.status == status:
                        break
                    if self._loop.time() > deadline:
                        detail = f"{host.plan.name}: {path} {sending.status}"
                        self._result.record(Invariant.RECOVERED, detail)
                        break
                    await asyncio.sleep(0.1)
        pool.close()

    def _check_requests(self) -> None:
        for detail in self._result.notices.find_exceeded_limits():
            self._result.record(Invariant.NAMED_LIMIT, detail)
        for detail in self._result.notices.find_late_arrivals():
            self._result.record(Invariant.NAMED_DEPARTURE, detail)
        # With limits, calls may be refused or wait for long, and their parents fail.
        broken = (502,) if self._result.has_notices else (500, 502, 504)
        for sending in self._result.sent.values():
            runs = self._result.runs.get(sending.id, [])
            detail = f"{sending}, runs {runs}"
            if sending.at_most_once and len(runs) > 1:
                self._result.record(Invariant.AT_MOST_ONCE, detail)
            if not sending.at_most_once and len(runs) > MAX_RUNS:
                self._result.record(Invariant.RETRY_BUDGET, detail)
            if sending.not_run and runs:
                self._result.record(Invariant.TRUE_REFUSAL, detail)
            if sending.status == 401 and runs:
                self._result.record(Invariant.AUTHENTICATED, detail)
            if sending.status == 200 and (
                not runs or sending.body != b"served " + sending.path.encode()
            ):
                self._result.record(Invariant.MATCHING_RESPONSE, detail)
            if self._result.planned and sending.status in broken:
                self._result.record(Invariant.PLANNED_OPERATION, detail)
            killed = sending.process.returncode not in (None, 0)
            unanswered = sending.error == NO_RESPONSE
            if killed or sending.status is not None:
                continue
            if unanswered and sending.process in self._result.frozen:
                continue
            if runs or unanswered:
                self._result.record(Invariant.NOT_DROPPED, detail)


_PLANNED_OPERATIONS: tuple[Callable[..., Any], ...] = (
    InterleavingRun._stop_node,
    InterleavingRun._stop_node,
    InterleavingRun._replace_server,
    InterleavingRun._withdraw_key,
    InterleavingRun._compact_store,
)
_OPERATIONS: tuple[Callable[..., Any], ...] = (
    *_PLANNED_OPERATIONS,
    InterleavingRun._kill_node,
    InterleavingRun._kill_stopping_node,
    InterleavingRun._freeze_node,
    InterleavingRun._replace_server,
    InterleavingRun._deregister_and_kill,
    InterleavingRun._lose_responses,
    InterleavingRun._disturb_store,
    InterleavingRun._restore_store,
)


@contextlib.contextmanager
def replace_system(loop: VirtualLoop, random: random_module.Random) -> Iterator[None]:
    """Replace the sockets, clocks and random numbers that the relay takes directly."""
    clock = SimpleNamespace(time=loop.time, monotonic=loop.time)
    with contextlib.ExitStack() as stack:
        for target, value in {
            "lavenderway_relay.server.bind_socket": VirtualAddress,
            "lavenderway_relay.response_writer.count_unacknowledged_bytes": (
                lambda transport: transport.unacknowledged_bytes
            ),
            "lavenderway_relay.node.time": clock,
            "lavenderway_relay.logs.time": clock,
            "lavenderway_relay.node.random": random,
            "lavenderway_dev.server_standin.time": clock,
        }.items():
            stack.enter_context(mock.patch(target, value))
        yield


def play_seed(seed: int, *, has_notices: bool = False) -> Interleaving:
    """Play one seed; return its observations and findings.

    Args:
        seed: Seed of all delays and operations.
        has_notices: Whether servers name limits and departures.

    """
    random = random_module.Random(seed)
    loop = VirtualLoop(random=random_module.Random(random.random()))
    result = Interleaving(seed=seed, planned=seed % 2 == 0, has_notices=has_notices)
    loop.set_exception_handler(lambda *_: None)  # tasks of killed processes
    with replace_system(loop, random_module.Random(random.random())):
        run = InterleavingRun(
            loop=loop,
            result=result,
            random=random,
            notice_random=random_module.Random(f"notices {seed}"),
        )
        try:
            loop.run_until_complete(_play(run, result))
        finally:
            loop.close()
    return result


async def _play(run: InterleavingRun, result: Interleaving) -> None:
    try:
        await run.play()
    except TimeoutError as error:
        result.record(Invariant.RECOVERED, f"the fleet did not start: {error}")


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        description="Play seeded operations on a fleet in virtual time."
    )
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--notices", action="store_true", help="let servers name limits and departures"
    )
    parser.add_argument("--digests", action="store_true", help="print a digest a seed")
    return parser.parse_args()


def _digest(result: Interleaving) -> str:
    """Return a digest of what happened to all requests."""
    lines = [
        f"{each.id} {each.status} {each.ended_at} {result.runs.get(each.id)}\n"
        for each in result.sent.values()
    ]
    return str(xxhash.xxh64_hexdigest("".join(lines).encode()))


def main() -> int:
    """Play seeds; return 1 if an invariant was violated."""
    options = _parse_arguments()
    pin_hash_seed(MODULE)
    failed = requests = 0
    for seed in range(options.seed, options.seed + options.count):
        result = play_seed(seed, has_notices=options.notices)
        requests += len(result.sent)
        if options.digests:
            print(f"seed {seed}: {_digest(result)}")
        failed += print_findings(seed, result.operations, result.findings)
    passed = options.count - failed
    print(f"{passed} seeds passed, {failed} failed; {requests} requests")
    return int(bool(failed))


if __name__ == "__main__":
    sys.exit(main())
