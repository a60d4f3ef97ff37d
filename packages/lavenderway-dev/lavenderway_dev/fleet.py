"""Starts stand-ins and nodes as separate processes on loopback, and stops them."""

from __future__ import annotations

import contextlib
import json
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from types import TracebackType

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.05
FIRST_PORT = 10_000
LAST_PORT = 32_000


class UpstreamPlan(NamedTuple):
    """An upstream to start beside a node."""

    name: str
    service: str
    slots: int = 16
    service_ms: float = 2.0
    next_paths: tuple[str, ...] = ()
    cold_start_s: float = 0.0


class HostPlan(NamedTuple):
    """A host to start: a node and its upstreams."""

    name: str
    failure_domain: str
    upstreams: tuple[UpstreamPlan, ...] = ()


class Ports(NamedTuple):
    """Ports of a node."""

    callers: int
    peers: int
    operators: int
    upstreams: int


class Answer(NamedTuple):
    """Answer to a plain HTTP request."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


class Host:
    """A running host.

    Args:
        plan: What it consists of.
        ports: Ports of its node.
        config: Settings file of its node.

    """

    def __init__(self, *, plan: HostPlan, ports: Ports, config: Path) -> None:
        self.plan = plan
        self.ports = ports
        self.config = config
        self.node: subprocess.Popen[bytes] | None = None
        self.upstreams: dict[str, subprocess.Popen[bytes]] = {}
        self.upstream_ports: dict[str, int] = {}

    @property
    def callers(self) -> str:
        """Base URL for callers."""
        return f"http://127.0.0.1:{self.ports.callers}"

    @property
    def operators(self) -> str:
        """Base URL for operators."""
        return f"http://127.0.0.1:{self.ports.operators}"


class Fleet:
    """A fleet of processes; a context manager that stops what it started.

    Args:
        plans: Hosts to start.
        log_to: Folder for the processes' output; None discards it.

    """

    def __init__(self, *, plans: list[HostPlan], log_to: Path | None = None) -> None:
        self.plans = plans
        self.hosts: dict[str, Host] = {}
        self.platform_port = 0
        self.operator_secret = secrets.token_hex(24)
        self._platform: subprocess.Popen[bytes] | None = None
        self._folder = tempfile.TemporaryDirectory(prefix="lavenderway-")
        self._log_to = log_to
        self._ports = _FreePorts()

    def __enter__(self) -> Fleet:
        """Start everything."""
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop everything."""
        self.stop()

    @property
    def python(self) -> str:
        """Interpreter of the processes."""
        return sys.executable

    @property
    def platform(self) -> str:
        """Base URL of the stand-in platform."""
        return f"http://127.0.0.1:{self.platform_port}"

    def operate(
        self, method: str, path: str, body: object = None, host: str | None = None
    ) -> Answer:
        """Send a request to a node's operators' listener."""
        chosen = self.hosts[host] if host else next(iter(self.hosts.values()))
        data = None if body is None else json.dumps(body).encode()
        headers = {"Authorization": f"Bearer {self.operator_secret}"}
        return send(method, chosen.operators + path, headers=headers, body=data)

    def set_faults(self, **faults: object) -> None:
        """Change the faults of the stand-in platform."""
        body = json.dumps(faults).encode()
        send("PUT", f"{self.platform}/v1/faults", body=body)

    def change_upstream(self, host: str, name: str, **behaviour: object) -> None:
        """Change what a stand-in upstream does."""
        port = self.hosts[host].upstream_ports[name]
        url = f"http://127.0.0.1:{port}/control/behaviour"
        send("PUT", url, body=json.dumps(behaviour).encode())

    def record_of(self, host: str, name: str) -> Any:
        """Return what a stand-in upstream has seen."""
        port = self.hosts[host].upstream_ports[name]
        return send("GET", f"http://127.0.0.1:{port}/control/record").json()

    def records(self) -> list[Any]:
        """Return what all stand-in upstreams have seen."""
        return [
            self.record_of(host.plan.name, name)
            for host in self.hosts.values()
            for name in host.upstream_ports
        ]

    def start_node(self, name: str) -> None:
        """Start or restart the node of a host."""
        host = self.hosts[name]
        binary = str(Path(sys.executable).parent / "lavenderwayd")
        host.node = self._spawn(f"{name}.node", [binary, "--config", str(host.config)])

    def signal_node(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the node of a host."""
        node = self.hosts[name].node
        assert node is not None
        node.send_signal(number)

    def wait_node(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until a node has ended; return its exit code."""
        node = self.hosts[name].node
        assert node is not None
        return node.wait(timeout_s)

    def wait_serving(self, services: set[str]) -> None:
        """Wait until every node knows all hosts and an upstream of each service."""
        for host in self.hosts.values():
            self._wait_for(lambda host=host: self._knows(host, services))

    def wait_in_force(self, revision: int) -> None:
        """Wait until a revision is in force on every node."""
        for host in self.hosts.values():
            self._wait_for(lambda host=host: self._revision(host) >= revision)

    def wait_allotments(self, workspace: str) -> None:
        """Wait until the whole rate of a workspace is held by hosts."""
        answer = self.operate("GET", f"/v1/workspaces/{workspace}").json()
        rate = answer["spec"]["rate"]
        self._wait_for(lambda: self._held_rate(workspace) >= rate - 1e-3)

    def stop(self) -> None:
        """Stop all processes that this fleet started."""
        running = [self._platform]
        for host in self.hosts.values():
            running += [host.node, *host.upstreams.values()]
        alive = [each for each in running if each is not None and each.poll() is None]
        for each in alive:
            each.send_signal(signal.SIGCONT)
            each.kill()
        for each in alive:
            each.wait(STOP_TIMEOUT_S)
        self._folder.cleanup()

    def _start(self) -> None:
        self.platform_port = self._ports.take()
        module = "lavenderway_dev.platform_standin"
        arguments = ["-m", module, "--port", str(self.platform_port)]
        self._platform = self._spawn("platform", [sys.executable, *arguments])
        folder = Path(self._folder.name)
        (folder / "fleet.secret").write_text(secrets.token_hex(32))
        (folder / "operator.secret").write_text(self.operator_secret)
        self._wait_for(lambda: _answers(f"{self.platform}/v1/operations"))
        for plan in self.plans:
            self._start_host(plan, folder)
        for host in self.hosts.values():
            self._wait_for(lambda host=host: self._is_up(host))

    def _start_host(self, plan: HostPlan, folder: Path) -> None:
        ports = Ports(*(self._ports.take() for _ in Ports._fields))
        config = folder / f"{plan.name}.toml"
        config.write_text(self._settings(plan, ports))
        host = Host(plan=plan, ports=ports, config=config)
        self.hosts[plan.name] = host
        self.start_node(plan.name)
        for upstream in plan.upstreams:
            self.start_upstream(plan.name, upstream)

    def start_upstream(self, name: str, plan: UpstreamPlan) -> None:
        """Start or restart an upstream of a host."""
        host = self.hosts[name]
        port = host.upstream_ports.setdefault(plan.name, self._ports.take())
        arguments = [
            *("--name", plan.name, "--service", plan.service, "--port", str(port)),
            *("--node", f"127.0.0.1:{host.ports.callers}"),
            *("--announce", f"127.0.0.1:{host.ports.upstreams}"),
            *("--slots", str(plan.slots), "--service-ms", str(plan.service_ms)),
            *("--cold-start-s", str(plan.cold_start_s)),
        ]
        for path in plan.next_paths:
            arguments += ["--next", path]
        module = ["-m", "lavenderway_dev.upstream_standin"]
        host.upstreams[plan.name] = self._spawn(
            plan.name, [sys.executable, *module, *arguments]
        )

    def _settings(self, plan: HostPlan, ports: Ports) -> str:
        seeds = [f'"127.0.0.1:{host.ports.peers}"' for host in self.hosts.values()][:3]
        lines = [
            f'host = "{plan.name}"',
            f'failure_domain = "{plan.failure_domain}"',
            "[listen]",
            *(
                f'{field} = "127.0.0.1:{port}"'
                for field, port in zip(Ports._fields, ports, strict=True)
            ),
            "[secrets]",
            'fleet_file = "fleet.secret"',
            'operator_file = "operator.secret"',
            "[platform]",
            f'url = "{self.platform}"',
            "[peers]",
            f"seeds = [{', '.join(seeds)}]",
        ]
        return "\n".join(lines) + "\n"

    def _spawn(self, name: str, command: list[str]) -> subprocess.Popen[bytes]:
        if self._log_to is None:
            return subprocess.Popen(
                command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
            )
        with (self._log_to / f"{name}.log").open("ab") as log:
            return subprocess.Popen(command, stdout=log, stderr=log)

    def _is_up(self, host: Host) -> bool:
        with contextlib.suppress(OSError):
            answer = self.operate("GET", "/v1/status", host=host.plan.name)
            return bool(answer.json()["phase"] == "serving")
        return False

    def _knows(self, host: Host, services: set[str]) -> bool:
        with contextlib.suppress(OSError):
            answer = self.operate("GET", "/v1/upstreams", host=host.plan.name)
            statuses = [item["status"] for item in answer.json()["items"]]
            known = {status.get("service") for status in statuses}
            return services <= known and self._knows_hosts(host)
        return False

    def _knows_hosts(self, host: Host) -> bool:
        answer = self.operate("GET", "/v1/status", host=host.plan.name)
        return bool(answer.json()["hosts"].get("alive") == len(self.hosts))

    def _revision(self, host: Host) -> int:
        answer = self.operate("GET", "/v1/status", host=host.plan.name)
        return int(answer.json()["revision"])

    def _check_alive(self) -> None:
        """Fail at once when a node has ended by itself."""
        for name, host in self.hosts.items():
            code = None if host.node is None else host.node.poll()
            if code is not None and code > 0:
                raise RuntimeError(f"the node of {name} ended with code {code}")

    def _held_rate(self, workspace: str) -> float:
        rows = [
            row
            for name in self.hosts
            for row in self.operate("GET", "/v1/status", host=name).json()["allotments"]
        ]
        prefix = f"allotments/{workspace}/"
        return sum(float(row["rate"]) for row in rows if row["row"].startswith(prefix))

    def _wait_for(self, condition: Any) -> None:
        ends = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends:
            if condition():
                return
            self._check_alive()
            time.sleep(POLL_S)
        raise TimeoutError("the fleet did not get ready in time")


class _FreePorts:
    """Hands out ports that are free, each once.

    They lie below the range from which the system takes the ports of outgoing
    connections, so that none of these takes a port before its listener opens.
    """

    def __init__(self) -> None:
        self._given: set[int] = set()

    def take(self) -> int:
        """Return a free port."""
        while True:
            port = FIRST_PORT + secrets.randbelow(LAST_PORT - FIRST_PORT)
            if port not in self._given and _is_free(port):
                self._given.add(port)
                return port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def send(
    method: str,
    url: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    timeout_s: float = 15.0,
) -> Answer:
    """Send one HTTP request.

    Raises:
        OSError: No answer came.

    """
    request = urllib.request.Request(
        url, data=body, headers=headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return Answer(response.status, dict(response.headers), response.read())
    except urllib.error.HTTPError as error:
        with error:
            return Answer(error.code, dict(error.headers), error.read())


def _answers(url: str) -> bool:
    with contextlib.suppress(OSError):
        return send("GET", url).status == 200
    return False
