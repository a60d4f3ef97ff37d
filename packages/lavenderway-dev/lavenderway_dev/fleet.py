"""Fleet of nodes and stand-ins as separate processes on loopback."""

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
POLL_INTERVAL_S = 0.05
FIRST_PORT = 10_000
LAST_PORT = 32_000


class UpstreamPlan(NamedTuple):
    """Plan of a stand-in upstream.

    Attributes:
        name: Name of the upstream.
        service: Service that the upstream belongs to.
        slots: Number of requests that run concurrently.
        service_ms: Mean service time, in milliseconds.
        next_paths: Paths that each `/call` request calls in turn through the node.
        cold_start_s: Seconds after the start during which requests take longer.

    """

    name: str
    service: str
    slots: int = 16
    service_ms: float = 2.0
    next_paths: tuple[str, ...] = ()
    cold_start_s: float = 0.0


class HostPlan(NamedTuple):
    """Plan of a host with a node and its upstreams."""

    name: str
    failure_domain: str
    upstreams: tuple[UpstreamPlan, ...] = ()


class Ports(NamedTuple):
    """Ports of a node's listeners, by the settings key of the listener."""

    callers: int
    peers: int
    operators: int
    upstreams: int


class HttpResponse(NamedTuple):
    """Response to an HTTP request."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body decoded from JSON."""
        return json.loads(self.body)


class Host:
    """A host with its running processes.

    Args:
        plan: Plan of the host.
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
        """Base URL of the node's listener for callers."""
        return f"http://127.0.0.1:{self.ports.callers}"

    @property
    def operators(self) -> str:
        """Base URL of the node's listener for operators."""
        return f"http://127.0.0.1:{self.ports.operators}"


class Fleet:
    """Processes of a fleet, as a context manager that starts and kills them.

    Args:
        plans: Plans of the hosts.
        log_to: Folder for the output of the processes; None discards the output.

    """

    def __init__(self, *, plans: list[HostPlan], log_to: Path | None = None) -> None:
        self.plans = plans
        self.hosts: dict[str, Host] = {}
        self.platform_port = 0
        self.operator_secret = secrets.token_hex(24)
        self._platform: subprocess.Popen[bytes] | None = None
        self._folder = tempfile.TemporaryDirectory(prefix="lavenderway-")
        self._log_to = log_to
        self._port_allocator = _PortAllocator()

    def __enter__(self) -> Fleet:
        """Start all processes and wait until every node is serving."""
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
        """Kill all processes."""
        self.stop()

    @property
    def python(self) -> str:
        """Path of the Python interpreter for the processes."""
        return sys.executable

    @property
    def platform(self) -> str:
        """Base URL of the stand-in for the platform."""
        return f"http://127.0.0.1:{self.platform_port}"

    def call_operator_api(
        self, method: str, path: str, body: object = None, host: str | None = None
    ) -> HttpResponse:
        """Send a request to the operators' API of a host, by default the first one."""
        chosen = self.hosts[host] if host else next(iter(self.hosts.values()))
        data = None if body is None else json.dumps(body).encode()
        headers = {"Authorization": f"Bearer {self.operator_secret}"}
        return send_request(method, chosen.operators + path, headers=headers, body=data)

    def set_faults(self, **faults: object) -> None:
        """Set faults of the stand-in for the platform."""
        body = json.dumps(faults).encode()
        send_request("PUT", f"{self.platform}/v1/faults", body=body)

    def set_upstream_behavior(self, host: str, name: str, **behavior: object) -> None:
        """Set the behavior of a stand-in upstream."""
        port = self.hosts[host].upstream_ports[name]
        url = f"http://127.0.0.1:{port}/control/behaviour"
        send_request("PUT", url, body=json.dumps(behavior).encode())

    def read_upstream_record(self, host: str, name: str) -> Any:
        """Return the record of a stand-in upstream."""
        port = self.hosts[host].upstream_ports[name]
        return send_request("GET", f"http://127.0.0.1:{port}/control/record").json()

    def read_upstream_records(self) -> list[Any]:
        """Return the records of all stand-in upstreams."""
        return [
            self.read_upstream_record(host.plan.name, name)
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

    def wait_for_exit(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until a node process ends; return its exit code."""
        node = self.hosts[name].node
        assert node is not None
        return node.wait(timeout_s)

    def wait_until_serving(self, services: set[str]) -> None:
        """Wait until every node knows all hosts and an upstream of each service."""
        for host in self.hosts.values():
            self._wait_until(lambda host=host: self._knows_services(host, services))

    def wait_until_in_force(self, revision: int) -> None:
        """Wait until a revision is in force on every node."""
        for host in self.hosts.values():
            self._wait_until(lambda host=host: self._get_revision(host) >= revision)

    def wait_until_allotted(self, workspace: str) -> None:
        """Wait until the full rate of a workspace is allotted to hosts."""
        response = self.call_operator_api("GET", f"/v1/workspaces/{workspace}").json()
        rate = response["spec"]["rate"]
        self._wait_until(lambda: self._sum_allotted_rate(workspace) >= rate - 1e-3)

    def stop(self) -> None:
        """Kill all processes of the fleet and remove its files."""
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
        self.platform_port = self._port_allocator.allocate()
        module = "lavenderway_dev.platform_standin"
        arguments = ["-m", module, "--port", str(self.platform_port)]
        self._platform = self._spawn("platform", [sys.executable, *arguments])
        folder = Path(self._folder.name)
        (folder / "fleet.secret").write_text(secrets.token_hex(32))
        (folder / "operator.secret").write_text(self.operator_secret)
        self._wait_until(lambda: _is_responding(f"{self.platform}/v1/operations"))
        for plan in self.plans:
            self._start_host(plan, folder)
        for host in self.hosts.values():
            self._wait_until(lambda host=host: self._is_serving(host))

    def _start_host(self, plan: HostPlan, folder: Path) -> None:
        ports = Ports(*(self._port_allocator.allocate() for _ in Ports._fields))
        config = folder / f"{plan.name}.toml"
        config.write_text(self._render_settings(plan, ports))
        host = Host(plan=plan, ports=ports, config=config)
        self.hosts[plan.name] = host
        self.start_node(plan.name)
        for upstream in plan.upstreams:
            self.start_upstream(plan.name, upstream)

    def start_upstream(self, name: str, plan: UpstreamPlan) -> None:
        """Start or restart an upstream of a host."""
        host = self.hosts[name]
        port = host.upstream_ports.setdefault(
            plan.name, self._port_allocator.allocate()
        )
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

    def _render_settings(self, plan: HostPlan, ports: Ports) -> str:
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

    def _is_serving(self, host: Host) -> bool:
        with contextlib.suppress(OSError):
            response = self.call_operator_api("GET", "/v1/status", host=host.plan.name)
            return bool(response.json()["phase"] == "serving")
        return False

    def _knows_services(self, host: Host, services: set[str]) -> bool:
        with contextlib.suppress(OSError):
            response = self.call_operator_api(
                "GET", "/v1/upstreams", host=host.plan.name
            )
            statuses = [item["status"] for item in response.json()["items"]]
            known = {status.get("service") for status in statuses}
            return services <= known and self._knows_all_hosts(host)
        return False

    def _knows_all_hosts(self, host: Host) -> bool:
        response = self.call_operator_api("GET", "/v1/status", host=host.plan.name)
        return bool(response.json()["hosts"].get("alive") == len(self.hosts))

    def _get_revision(self, host: Host) -> int:
        response = self.call_operator_api("GET", "/v1/status", host=host.plan.name)
        return int(response.json()["revision"])

    def _check_alive(self) -> None:
        """Raise an error if a node process has ended with a failure."""
        for name, host in self.hosts.items():
            code = None if host.node is None else host.node.poll()
            if code is not None and code > 0:
                raise RuntimeError(f"node of {name} exited with code {code}")

    def _sum_allotted_rate(self, workspace: str) -> float:
        rows = [
            row
            for name in self.hosts
            for row in self.call_operator_api("GET", "/v1/status", host=name).json()[
                "allotments"
            ]
        ]
        prefix = f"allotments/{workspace}/"
        return sum(float(row["rate"]) for row in rows if row["row"].startswith(prefix))

    def _wait_until(self, condition: Any) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if condition():
                return
            self._check_alive()
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError("fleet did not reach the awaited state in time")


class _PortAllocator:
    """Allocator that returns each free port at most once.

    The ports lie below the system's ephemeral range. Otherwise an outgoing connection
    could take a port after its allocation and before its listener opens.
    """

    def __init__(self) -> None:
        self._allocated: set[int] = set()

    def allocate(self) -> int:
        """Return a free port that was not allocated before."""
        while True:
            port = FIRST_PORT + secrets.randbelow(LAST_PORT - FIRST_PORT)
            if port not in self._allocated and _is_free(port):
                self._allocated.add(port)
                return port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def send_request(
    method: str,
    url: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    timeout_s: float = 15.0,
) -> HttpResponse:
    """Send an HTTP request and return the response, whatever its status.

    Raises:
        OSError: The connection failed or no response arrived in time.

    """
    request = urllib.request.Request(
        url, data=body, headers=headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return HttpResponse(
                response.status, dict(response.headers), response.read()
            )
    except urllib.error.HTTPError as error:
        with error:
            return HttpResponse(error.code, dict(error.headers), error.read())


def _is_responding(url: str) -> bool:
    with contextlib.suppress(OSError):
        return send_request("GET", url).status == 200
    return False
