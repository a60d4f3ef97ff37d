"""Fleet of node processes on loopback, with the stand-ins in this process."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson
from lavenderway_relay.messages import Request, Response, encode_request
from lavenderway_relay.model import Address
from lavenderway_relay.pools import ConnectError, ConnectionBrokenError, ConnectionPool

from lavenderway_dev.server_standin import Server, ServerPlan
from lavenderway_dev.store_standin import MetadataStore, StoreFaults, allocate_port

if TYPE_CHECKING:
    from types import TracebackType

    from lavenderway_relay.server import HttpServer

READY_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
LOOPBACK = "127.0.0.1"
STOP_GRACE_S = 6
MEMORY_LIMIT_MB = 200


@dataclass(kw_only=True)
class RelayHostPlan:
    """Plan of a host.

    Attributes:
        name: Name of the node.
        zone: Failure domain of the host.
        server: Plan of the application server on the host.
        memory_mb: Memory limit of the node, in megabytes, as its settings state it.
        max_descriptors: Limit on the node's open descriptors; 0 for none. The settings
            state it, and the kernel enforces it.

    """

    name: str
    zone: str
    server: ServerPlan
    memory_mb: int = MEMORY_LIMIT_MB
    max_descriptors: int = 0


class RelayHost:
    """A host with one node process and one application server.

    Args:
        plan: Plan of the host.
        folder: Folder for the node's settings file and log.

    Attributes:
        faults: Faults of the metadata store towards this host.
        process: Node process; None before its first start.
        server: Application server of the host.

    """

    def __init__(self, *, plan: RelayHostPlan, folder: Path) -> None:
        self.plan = plan
        self.faults = StoreFaults()
        self.log_path = folder / f"{plan.name}.log"
        self._settings_path = folder / f"{plan.name}.toml"
        self.store_address = Address(LOOPBACK, allocate_port())
        ports = [Address(LOOPBACK, allocate_port()) for _ in range(5)]
        self.callers, self.peers, self.readiness, self.control, self.app = ports
        # Addresses written to the settings; a proxy may listen on them.
        self.advertised_store, self.advertised_peers, self.advertised_app = (
            self.store_address,
            self.peers,
            self.app,
        )
        self.process: asyncio.subprocess.Process | None = None
        self._process_descriptor: int | None = None
        self.server = self.create_server(f"i-{plan.name}")

    def create_server(self, name: str) -> Server:
        """Return a server of this host that is not started yet."""
        return Server(
            name=name,
            plan=self.plan.server,
            address=self.app,
            zone=self.plan.zone,
            node_outbound=self.callers,
            node_control=self.control,
            advertised=self.advertised_app,
        )

    async def start_node(self, *prefix: str) -> None:
        """Start the node process.

        Args:
            prefix: Interpreter arguments to insert before the module name.

        """
        self._settings_path.write_text(self._render_settings(), encoding="utf-8")
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *prefix,
                "-m",
                "lavenderway_platform",
                env={**os.environ, "LAVENDERWAY_NODE_FILE": str(self._settings_path)},
                stdout=log,
                stderr=log,
            )
        if limit := self.plan.max_descriptors:
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (limit, limit))
        self.close_process_descriptor()
        self._process_descriptor = os.pidfd_open(self.process.pid)

    def close_process_descriptor(self) -> None:
        """Close the descriptor used to signal the process."""
        if self._process_descriptor is not None:
            os.close(self._process_descriptor)
            self._process_descriptor = None

    def read_peak_memory_mb(self) -> float:
        """Return the peak resident memory of the node process, in megabytes."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        (line,) = [each for each in status.splitlines() if each.startswith("VmHWM:")]
        return int(line.split()[1]) * 1024 / 1e6

    def count_descriptors(self) -> int:
        """Return the number of open descriptors of the node process."""
        assert self.process is not None
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def rewrite_settings(self, old: str, new: str) -> None:
        """Replace a text in the settings file while the node is running."""
        text = self._settings_path.read_text(encoding="utf-8")
        self._settings_path.write_text(text.replace(old, new), encoding="utf-8")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node process.

        Raises:
            ProcessLookupError: The process has ended.

        """
        # Process.send_signal() may take the exit code that wait() waits for.
        assert self._process_descriptor is not None
        signal.pidfd_send_signal(self._process_descriptor, number)

    async def wait(self) -> int:
        """Wait until the node process ends; return its exit code."""
        assert self.process is not None
        return await self.process.wait()

    def read_log(self) -> list[dict[str, Any]]:
        """Return the decoded JSON lines of the node's log."""
        lines = self.log_path.read_bytes().splitlines()
        return [orjson.loads(line) for line in lines if line.startswith(b"{")]

    def _render_settings(self) -> str:
        limit = self.plan.max_descriptors
        descriptors = f"max-fds = {limit}" if limit else ""
        return f"""
node-name = "{self.plan.name}"
zone = "{self.plan.zone}"
service = "{self.plan.server.service}"
app-address = "{self.advertised_app}"
heartbeat = "300ms"
[listen]
outbound = "{self.callers}"
inbound = "{self.peers}"
advertised = "{self.advertised_peers}"
readiness = "{self.readiness}"
control-plane = "{self.control}"
[limits]
memory-mb = {self.plan.memory_mb}
{descriptors}
[bounds]
grace = "{STOP_GRACE_S}s"
retry-budget-ratio = 0.2
budget-slack = 50
quota-tolerance = 20
[platform]
address = "{self.advertised_store}"
"""


class RelayFleet:
    """Hosts and their metadata store, as an asynchronous context manager.

    Args:
        plans: Plans of the hosts.
        config: Initial configuration document.

    Attributes:
        last_request_id: ID of the last request sent with `send`.
        config: Current configuration document.

    """

    host_class = RelayHost

    def __init__(self, plans: list[RelayHostPlan], *, config: dict[str, Any]) -> None:
        self._plans = plans
        self._folder = tempfile.TemporaryDirectory()
        self._store_listeners: list[HttpServer] = []
        self._pool: ConnectionPool
        self._request_count = 0
        self.last_request_id = ""
        self.config = config
        self.store: MetadataStore
        self.hosts: dict[str, RelayHost] = {}

    async def __aenter__(self) -> RelayFleet:
        """Start all hosts and wait until their nodes know all upstreams."""
        try:
            await self._start()
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def _start(self) -> None:
        self._pool = ConnectionPool(
            loop=asyncio.get_running_loop(), connect_timeout_s=1.0
        )
        self.store = MetadataStore()
        self.configure(self.config)
        for plan in self._plans:
            await self._start_host(plan)
        for host in self.hosts.values():
            await self.wait_until_ready(host)
            await host.server.start()
        await self.wait_until_upstreams_known()

    async def _start_host(self, plan: RelayHostPlan) -> RelayHost:
        host = self.host_class(plan=plan, folder=Path(self._folder.name))
        self.hosts[plan.name] = host
        listener = await self.store.listen(host.store_address, host.faults)
        self._store_listeners.append(listener)
        await self.prepare(host)
        await host.start_node()
        return host

    async def add(self, plan: RelayHostPlan) -> RelayHost:
        """Add a host to the running fleet, and wait until its node is ready."""
        host = await self._start_host(plan)
        await self.wait_until_ready(host)
        await host.server.start()
        return host

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill all nodes and stop all servers and store listeners."""
        for host in self.hosts.values():
            host.server.stop()
            process = host.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
            host.close_process_descriptor()
        for listener in self._store_listeners:
            listener.close()
            for connection in tuple(listener.connections):
                connection.abort()
        self._folder.cleanup()

    async def prepare(self, host: RelayHost) -> None:
        """Prepare a host before its node first starts; a hook for subclasses."""

    def configure(self, config: dict[str, Any]) -> None:
        """Write a configuration document to the store, as the operator does."""
        self.config = config
        self.store.put("op", "config", orjson.dumps(config))

    async def wait_until_ready(self, host: RelayHost) -> None:
        """Wait until a node reports readiness.

        Raises:
            TimeoutError: The node was not ready in time.

        """
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await self._poll_readiness(host)
        except TimeoutError as error:
            log = host.log_path.read_text(encoding="utf-8")[-2000:]
            raise TimeoutError(f"{host.plan.name} not ready in time: {log}") from error

    async def _poll_readiness(self, host: RelayHost) -> None:
        request = Request(b"GET", b"/v1/readyz", [(b"host", b"x")], b"")
        while True:
            with contextlib.suppress(ConnectError, ConnectionBrokenError):
                data = encode_request(request)
                response = await self._pool.exchange(host.readiness, data)
                if response.status == 200:
                    return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_upstreams_known(self) -> None:
        """Wait until every node has logged the upstreams of all hosts."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(
                self._knows_all_upstreams(host) for host in self.hosts.values()
            ):
                await asyncio.sleep(POLL_INTERVAL_S)

    def _knows_all_upstreams(self, host: RelayHost) -> bool:
        learned = {
            line["peer"]
            for line in host.read_log()
            if line["event"] == "host.learned" and line["upstream"]
        }
        return learned >= self.hosts.keys()

    async def send(
        self,
        host: str,
        path: str,
        *,
        authority: str = "app.example",
        method: str = "GET",
        key: str | None = None,
        deadline_ms: int = 3000,
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> Response:
        """Send a request to the node of a host; return the response.

        Raises:
            ConnectError: The node refused the connection.
            ConnectionBrokenError: The connection broke before the response ended.

        """
        self._request_count += 1
        self.last_request_id = f"{self._request_count:016x}"
        fields = [
            (b"host", authority.encode()),
            (b"lavenderway-attempt-id", self.last_request_id.encode()),
            (b"lavenderway-deadline-ms", b"%d" % deadline_ms),
            *headers,
        ]
        if key is not None:
            fields.append((b"authorization", b"Bearer " + key.encode()))
        request = Request(method.encode(), path.encode(), fields, body)
        data = encode_request(request)
        return await self._pool.exchange(self.hosts[host].callers, data)
