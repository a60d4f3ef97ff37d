"""A fleet of real processes for a test class, and raw HTTP connections to it."""

from __future__ import annotations

import socket
import time
import unittest
from typing import TYPE_CHECKING, ClassVar

from lavenderway_dev.fleet import Answer, Fleet, HostPlan, UpstreamPlan, send

if TYPE_CHECKING:
    from collections.abc import Callable

WAIT_S = 15.0


def two_domains(service_ms: float = 2.0) -> list[HostPlan]:
    """Return two hosts in two failure domains, with a service each."""
    archive = UpstreamPlan("archive-1", "archive", service_ms=service_ms)
    certify = UpstreamPlan("certify-1", "certify", service_ms=service_ms)
    return [
        HostPlan("sk-1", "saskatoon", (archive,)),
        HostPlan("rg-1", "regina", (certify,)),
    ]


class FleetCase(unittest.TestCase):
    """Runs one fleet for all tests of a class.

    Host `sk-1` has the upstream of service `archive`, host `rg-1` that of `certify`,
    so that a request for the other host's service crosses a link.
    """

    fleet: ClassVar[Fleet]
    secret: ClassVar[str]
    key: ClassVar[dict[str, str]]

    @classmethod
    def plans(cls) -> list[HostPlan]:
        """Return the hosts to start."""
        return two_domains()

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet and create resources."""
        cls.fleet = Fleet(plans=cls.plans())
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.__enter__()
        services = {u.service for plan in cls.plans() for u in plan.upstreams}
        cls.fleet.wait_serving(services)
        cls.secret = cls.create_resources()
        cls.key = {"Authorization": f"Bearer {cls.secret}"}

    @classmethod
    def create_resources(cls) -> str:
        """Create a workspace, its key and routes; return the key's secret."""
        cls.put("workspaces", "coulee", rate=2000, burst=2000)
        made = cls.put("keys", "site-crew", workspace="coulee")
        cls.put(
            "routes",
            "lookups",
            path_prefix="/archive",
            service="archive",
            idempotent=True,
            max_body_bytes=16 << 20,
            timeout_ms=4000,
        )
        last = cls.put(
            "routes",
            "orders",
            path_prefix="/certify",
            service="certify",
            idempotent=False,
            timeout_ms=4000,
        )
        cls.fleet.wait_in_force(int(str(last["revision"])))
        cls.fleet.wait_allotments("coulee")
        return str(made["secret"])

    @classmethod
    def put(cls, kind: str, name: str, **spec: object) -> dict[str, object]:
        """Write a resource."""
        answer = cls.fleet.operate("PUT", f"/v1/{kind}/{name}", {"spec": spec})
        if answer.status != 200:
            raise AssertionError(f"{answer.status} {answer.body!r}")
        document: dict[str, object] = answer.json()
        return document

    def call(
        self,
        method: str,
        host: str,
        path: str,
        body: bytes | None = None,
        **headers: str,
    ) -> Answer:
        """Send a request with the key."""
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        url = self.fleet.hosts[host].callers + path
        return send(method, url, headers={**self.key, **fields}, body=body)

    def connect(self, host: str) -> socket.socket:
        """Open a raw connection to a node's listener for callers."""
        port = self.fleet.hosts[host].ports.callers
        connection = socket.create_connection(("127.0.0.1", port), timeout=10)
        self.addCleanup(connection.close)
        return connection

    def exchange(self, host: str, data: bytes) -> bytes:
        """Send raw bytes and return all that comes until the connection closes."""
        connection = self.connect(host)
        connection.sendall(data)
        return read_all(connection)

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until something holds, at most for a bound."""
        ends = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), ends, "it did not come about in time")
            time.sleep(0.02)

    def assert_refused(self, answer: Answer, status: int, outcome: str) -> None:
        """Check a refusal's status, form and outcome."""
        self.assertEqual(status, answer.status, answer.body)
        self.assertEqual(outcome, answer.headers.get("Lavenderway-Outcome"))
        self.assertEqual("application/problem+json", answer.headers["Content-Type"])

    def assert_no_internal_errors(self) -> None:
        """Check that no node has failed to handle an event."""
        for name, host in self.fleet.hosts.items():
            if host.node is None or host.node.poll() is not None:
                continue
            status = self.fleet.operate("GET", "/v1/status", host=name).json()
            self.assertNotIn("node.internal_errors", status["counters"], name)


def read_all(connection: socket.socket) -> bytes:
    """Return what comes until the connection closes."""
    parts = []
    try:
        while data := connection.recv(65536):
            parts.append(data)
    except (TimeoutError, ConnectionError):
        pass
    return b"".join(parts)
