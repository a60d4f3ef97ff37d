"""Test case base class that runs a fleet of node and upstream processes."""

from __future__ import annotations

import socket
import time
import unittest
from typing import TYPE_CHECKING, ClassVar

from lavenderway_dev.fleet import (
    Fleet,
    HostPlan,
    HttpResponse,
    UpstreamPlan,
    send_request,
)

if TYPE_CHECKING:
    from collections.abc import Callable

CONDITION_TIMEOUT_S = 15.0


def build_two_domain_plans(service_ms: float = 2.0) -> list[HostPlan]:
    """Return the plans of two hosts in two failure domains, with one service each."""
    archive = UpstreamPlan("archive-1", "archive", service_ms=service_ms)
    certify = UpstreamPlan("certify-1", "certify", service_ms=service_ms)
    return [
        HostPlan("sk-1", "saskatoon", (archive,)),
        HostPlan("rg-1", "regina", (certify,)),
    ]


class FleetTestCase(unittest.TestCase):
    """Runs one fleet for all tests of a class.

    Host `sk-1` has the upstream of service `archive` and host `rg-1` that of
    `certify`. A request sent to one host for the service of the other is forwarded
    over a link.
    """

    fleet: ClassVar[Fleet]
    secret: ClassVar[str]
    key_header: ClassVar[dict[str, str]]

    @classmethod
    def build_plans(cls) -> list[HostPlan]:
        """Return the plans of the hosts to start."""
        return build_two_domain_plans()

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet and create the resources."""
        cls.fleet = Fleet(plans=cls.build_plans())
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.__enter__()
        services = {u.service for plan in cls.build_plans() for u in plan.upstreams}
        cls.fleet.wait_until_serving(services)
        cls.secret = cls.create_resources()
        cls.key_header = {"Authorization": f"Bearer {cls.secret}"}

    @classmethod
    def create_resources(cls) -> str:
        """Create a workspace, a key and routes; return the secret of the key."""
        cls.put("workspaces", "coulee", rate=2000, burst=2000)
        created_key = cls.put("keys", "site-crew", workspace="coulee")
        cls.put(
            "routes",
            "lookups",
            path_prefix="/archive",
            service="archive",
            idempotent=True,
            max_body_bytes=16 << 20,
            timeout_ms=4000,
        )
        last_route = cls.put(
            "routes",
            "orders",
            path_prefix="/certify",
            service="certify",
            idempotent=False,
            timeout_ms=4000,
        )
        cls.fleet.wait_until_in_force(int(str(last_route["revision"])))
        cls.fleet.wait_until_allotted("coulee")
        return str(created_key["secret"])

    @classmethod
    def put(cls, kind: str, name: str, **spec: object) -> dict[str, object]:
        """Write a resource and return its document."""
        response = cls.fleet.call_operator_api(
            "PUT", f"/v1/{kind}/{name}", {"spec": spec}
        )
        if response.status != 200:
            raise AssertionError(f"{response.status} {response.body!r}")
        document: dict[str, object] = response.json()
        return document

    def call(
        self,
        method: str,
        host: str,
        path: str,
        body: bytes | None = None,
        **headers: str,
    ) -> HttpResponse:
        """Send a request with the caller key to the node of a host."""
        extra_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        url = self.fleet.hosts[host].callers + path
        return send_request(
            method, url, headers={**self.key_header, **extra_headers}, body=body
        )

    def connect(self, host: str) -> socket.socket:
        """Open a TCP connection to the caller listener of a node."""
        port = self.fleet.hosts[host].ports.callers
        connection = socket.create_connection(("127.0.0.1", port), timeout=10)
        self.addCleanup(connection.close)
        return connection

    def send_raw(self, host: str, data: bytes) -> bytes:
        """Send raw bytes and return all data received until the connection closes."""
        connection = self.connect(host)
        connection.sendall(data)
        return read_until_closed(connection)

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds; fail after a timeout."""
        deadline = time.monotonic() + CONDITION_TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, "condition not met in time")
            time.sleep(0.02)

    def assert_refused(self, response: HttpResponse, status: int, outcome: str) -> None:
        """Check the status, outcome and content type of a refusal."""
        self.assertEqual(status, response.status, response.body)
        self.assertEqual(outcome, response.headers.get("Lavenderway-Outcome"))
        self.assertEqual("application/problem+json", response.headers["Content-Type"])

    def assert_no_internal_errors(self) -> None:
        """Check that no running node has failed to process an event."""
        for name, host in self.fleet.hosts.items():
            if host.node is None or host.node.poll() is not None:
                continue
            status = self.fleet.call_operator_api("GET", "/v1/status", host=name).json()
            self.assertNotIn("node.internal_errors", status["counters"], name)


def read_until_closed(connection: socket.socket) -> bytes:
    """Return all data received until the connection closes or times out."""
    parts = []
    try:
        while data := connection.recv(65536):
            parts.append(data)
    except (TimeoutError, ConnectionError):
        pass
    return b"".join(parts)
