"""A small deployment: nodes as processes, with stand-ins for all around them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

from standins.http import Message, encode_request, read_message
from standins.server import Server
from standins.store import Store

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
HOST = "app.example"
READY_S = 20.0
SETTINGS = """
node-name = "{name}"
role = "node"
machine-class = "sidecar"
serves = ["sidecar"]
ip = "127.0.0.1"
zone = "{zone}"
region = "{region}"
port-range = [0,0]
seed-nodes = []
bootstrap = true
counts-as-loss = false
discovery = "static"
entry-type = "static"
heartbeat = "1500ms"
app-address = "127.0.0.1:{app}"
service = "{service}"
[listen]
inbound = "127.0.0.1:{inbound}"
outbound = "127.0.0.1:{outbound}"
readiness = "127.0.0.1:{readiness}"
control-plane = "127.0.0.1:{control}"
[limits]
cpu-fraction = 0.86
cpu-cores = 2
memory-mb = 300
max-fds = 4100
[bounds]
contact = "3000ms"
ack = "4000ms"
drain = "2000ms"
grace = "6s"
config-apply = "2000ms"
retry-budget-ratio = 0.2
retry-window = "10s"
budget-slack = {slack}
quota-window = "5s"
quota-overage = 0.1
quota-tolerance = 20
[platform]
address = "127.0.0.1:{store}"
form = "table"
"""
# The zones of the site `coulee-spec`; all others are of `acgc-pedidos`.
COULEE_ZONES = {"saskatoon", "regina", "brandon"}
_PORTS: set[int] = set()


def free_port() -> int:
    """Return a port that is free, and that was not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = int(probe.getsockname()[1])
        if port not in _PORTS:
            _PORTS.add(port)
            return port


class Record:
    """Writes `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._start

    def __call__(self, text: str) -> None:
        """Write a line with its time."""
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()


class Machine:
    """A machine with a node process and its server."""

    def __init__(
        self, *, name: str, zone: str, service: str, slots: int, folder: Path
    ) -> None:
        self.name = name
        names = ("inbound", "outbound", "readiness", "control", "store", "app")
        self.ports = {each: free_port() for each in names}
        self.process: asyncio.subprocess.Process | None = None
        self._folder = folder
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                service=service,
                region="prairie" if zone in COULEE_ZONES else "cantabria",
                slack=50 if zone in COULEE_ZONES else 48,
                **self.ports,
            )
        )
        self.server = Server(
            name=f"i-{name}",
            service=service,
            zone=zone,
            port=self.ports["app"],
            control_port=self.ports["control"],
            outbound_port=self.ports["outbound"],
            slots=slots,
        )

    async def start_node(self) -> None:
        """Start the node with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        kept = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["node"]["run"].split(),
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "LAVENDERWAY_NODE_FILE": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )

    async def kill(self) -> None:
        """End the node process with SIGKILL."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def wait_until_ready(self) -> None:
        """Wait until the node answers 200 to the platform's question."""
        async with asyncio.timeout(READY_S):
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", self.ports["readiness"]
                    )
                    head = [("Host", "node")]
                    writer.write(encode_request("GET", "/v1/readyz", head))
                    response = await read_message(reader)
                    writer.close()
                    if response is not None and response.status == 200:
                        return
                await asyncio.sleep(0.05)

    def log_lines(self) -> str:
        """Return what the node has written."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


class Fleet:
    """All machines and the store."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="lavenderway-review-"))
        self.store = Store()
        self.machines: dict[str, Machine] = {}
        self._ids = itertools.count(1)

    async def add(self, name: str, zone: str, service: str, slots: int = 16) -> Machine:
        """Add a machine and start its node."""
        machine = Machine(
            name=name, zone=zone, service=service, slots=slots, folder=self.folder
        )
        self.machines[name] = machine
        await self.store.listen(name, machine.ports["store"])
        await machine.start_node()
        return machine

    async def start_servers(self) -> None:
        """Wait for all nodes, start all servers and let the nodes learn of them."""
        for machine in self.machines.values():
            await machine.wait_until_ready()
            await machine.server.start()
        await asyncio.sleep(3.0)

    async def configure(
        self,
        version: int,
        routes: dict[str, dict[str, Any]],
        keys: dict[str, list[str]],
        quota: dict[str, int] | None = None,
    ) -> None:
        """Write a configuration as the operator does."""
        document = {
            "version": f"{version:08x}",
            "routes": {name: {"host": HOST, **r} for name, r in routes.items()},
            "services": {},
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 67108864,
                "header-timeout": "3000ms",
                "idle-timeout": "15000ms",
            },
            "tenants": {
                name: {"api-keys": each, **(quota or {})} for name, each in keys.items()
            },
        }
        await self.store.put("op", "config", json.dumps(document).encode())
        self.record(f"operator: version {version} acknowledged, keys {keys}")

    def next_id(self) -> str:
        """Return a new attempt id."""
        return f"{next(self._ids):016x}"

    def headers(
        self, key: str | None, attempt: str, deadline_ms: int = 5000
    ) -> list[tuple[str, str]]:
        """Return the headers of a client's request."""
        headers = [
            ("Host", HOST),
            ("Lavenderway-Attempt-Id", attempt),
            ("Lavenderway-Deadline-Ms", str(deadline_ms)),
        ]
        if key is not None:
            headers.append(("Authorization", f"Bearer {key}"))
        return headers

    async def stop(self) -> None:
        """End all processes and remove the temporary folder."""
        for machine in self.machines.values():
            await machine.kill()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A client with one kept connection to the node of a machine."""

    def __init__(self, machine: Machine) -> None:
        self._port = machine.ports["outbound"]
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self) -> Client:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        return self

    async def send(self, data: bytes) -> Message | None:
        """Send a request and return its response; None without a complete one."""
        try:
            self.writer.write(data)
            await self.writer.drain()
        except ConnectionError:
            return None
        return await read_message(self.reader)


def route(
    service: str,
    prefix: str,
    kind: str = "safe",
    *,
    timeout_ms: int = 5000,
    public: bool = False,
) -> dict[str, Any]:
    """Return a route; the figures are those of both sites in force, or near them."""
    return {
        "prefix": prefix,
        "kind": kind,
        "timeout": f"{timeout_ms}ms",
        "target-latency": "1200ms",
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "public": public,
    }


def main(folder: Path, play: Callable[[Fleet], Awaitable[bool]]) -> None:
    """Play a case and exit with its result.

    Args:
        folder: Folder of the case, in which `record.txt` is written.
        play: Plays the case; returns whether the rule held.

    """
    record = Record(folder / "record.txt")
    record(f"trouble: {TROUBLE}")

    async def run() -> int:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(110):
                return HELD if await play(fleet) else BROKEN
        except (Exception, asyncio.CancelledError) as error:
            record(f"the case could not run: {error!r}")
            for machine in fleet.machines.values():
                record(f"{machine.name}: {machine.log_lines()[-500:]}")
            return CANNOT_RUN
        finally:
            await fleet.stop()

    result = asyncio.run(run())
    record(f"result: {result}")
    print(f"result {result}, see record.txt")
    sys.exit(result)
