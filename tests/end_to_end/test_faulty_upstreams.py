"""Tests of upstreams that close connections, respond late or shed load.

The reported outcomes must be correct, and retries must not repeat executions.
"""

from __future__ import annotations

import time

from tests.end_to_end.support import FleetTestCase


class FaultyUpstreamTest(FleetTestCase):
    """Faults of a single upstream."""

    def count_runs(self, host: str, name: str, root: str) -> int:
        """Return how often an upstream has executed a root request."""
        return int(
            self.fleet.read_upstream_record(host, name)["executions"].get(root, 0)
        )

    def test_non_idempotent_request_runs_once_when_the_connection_closes(self) -> None:
        for host in ("rg-1", "sk-1"):
            self.call("POST", host, "/certify/echo", b"warm")
            response = self.call("POST", host, "/certify/close", b"order")
            self.assert_refused(response, 503, "unknown")
            root = response.headers["Lavenderway-Request-Id"]
            self.assertEqual(1, self.count_runs("rg-1", "certify-1", root))

    def test_get_on_a_non_idempotent_route_runs_once(self) -> None:
        response = self.call("GET", "sk-1", "/certify/close")
        self.assert_refused(response, 503, "unknown")
        root = response.headers["Lavenderway-Request-Id"]
        self.assertEqual(1, self.count_runs("rg-1", "certify-1", root))

    def test_idempotent_request_is_not_repeated_on_the_same_upstream(self) -> None:
        response = self.call("GET", "sk-1", "/archive/close")
        self.assert_refused(response, 503, "unknown")
        root = response.headers["Lavenderway-Request-Id"]
        self.assertEqual(1, self.count_runs("sk-1", "archive-1", root))

    def test_late_response_is_refused_at_the_deadline(self) -> None:
        self.fleet.set_upstream_behavior("rg-1", "certify-1", service_ms=1500)
        try:
            response = self.call(
                "POST", "sk-1", "/certify/echo", b"x", Lavenderway_Timeout_Ms="200"
            )
            self.assert_refused(response, 504, "unknown")
        finally:
            self.fleet.set_upstream_behavior("rg-1", "certify-1", service_ms=2)
        for number in range(20):
            body = f"own response {number}".encode()
            self.assertEqual(
                body, self.call("POST", "sk-1", "/certify/echo", body).body
            )

    def test_unsolicited_response_reaches_no_caller(self) -> None:
        for host in ("sk-1", "rg-1"):
            self.call("POST", host, "/certify/crossed", b"x")
            time.sleep(0.1)
            for number in range(20):
                body = f"own response {number}".encode()
                response = self.call("POST", host, "/certify/echo", body)
                self.assertEqual((200, body), (response.status, response.body))

    def test_caller_disconnect_cancels_the_upstream_request(self) -> None:
        self.fleet.set_upstream_behavior("sk-1", "archive-1", service_ms=3000)
        try:
            for host in ("sk-1", "rg-1"):
                before = self.fleet.read_upstream_record("sk-1", "archive-1")[
                    "cancelled"
                ]
                connection = self.connect(host)
                head = "GET /archive/echo HTTP/1.1\r\nHost: x\r\n"
                connection.sendall(
                    f"{head}Authorization: Bearer {self.secret}\r\n\r\n".encode()
                )
                self.wait_until(
                    lambda: (
                        self.fleet.read_upstream_record("sk-1", "archive-1")["in_use"]
                        == 1
                    )
                )
                connection.close()
                self.wait_until(
                    lambda previous=before: (
                        self.fleet.read_upstream_record("sk-1", "archive-1")[  # type: ignore[misc]
                            "cancelled"
                        ]
                        > previous
                    )
                )
        finally:
            self.fleet.set_upstream_behavior("sk-1", "archive-1", service_ms=2)

    def test_overload_response_of_an_upstream_is_forwarded(self) -> None:
        self.fleet.set_upstream_behavior("rg-1", "certify-1", shedding=True)
        try:
            response = self.call("POST", "sk-1", "/certify/echo", b"x")
        finally:
            self.fleet.set_upstream_behavior("rg-1", "certify-1", shedding=False)
        self.assertEqual(
            (503, b"shed by the upstream"), (response.status, response.body)
        )
        self.assertNotIn("Lavenderway-Outcome", response.headers)

    def tearDown(self) -> None:
        """Check that the nodes have processed all events without errors."""
        self.assert_no_internal_errors()
