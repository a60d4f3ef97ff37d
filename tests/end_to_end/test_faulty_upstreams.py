"""Upstreams that close, answer late or go away: truthful outcomes, bounded retries."""

from __future__ import annotations

import time

from tests.end_to_end.support import FleetCase


class FaultyUpstreamCase(FleetCase):
    """One upstream misbehaves."""

    def runs_of(self, host: str, name: str, root: str) -> int:
        """Return how often a request has run."""
        return int(self.fleet.record_of(host, name)["executions"].get(root, 0))

    def test_order_whose_connection_is_closed_runs_once(self) -> None:
        for host in ("rg-1", "sk-1"):
            self.call("POST", host, "/certify/echo", b"warm")
            answer = self.call("POST", host, "/certify/close", b"order")
            self.assert_refused(answer, 503, "unknown")
            root = answer.headers["Lavenderway-Request-Id"]
            self.assertEqual(1, self.runs_of("rg-1", "certify-1", root))

    def test_get_on_a_non_idempotent_route_runs_once(self) -> None:
        answer = self.call("GET", "sk-1", "/certify/close")
        self.assert_refused(answer, 503, "unknown")
        root = answer.headers["Lavenderway-Request-Id"]
        self.assertEqual(1, self.runs_of("rg-1", "certify-1", root))

    def test_lookup_has_one_upstream_and_is_not_repeated_there(self) -> None:
        answer = self.call("GET", "sk-1", "/archive/close")
        self.assert_refused(answer, 503, "unknown")
        root = answer.headers["Lavenderway-Request-Id"]
        self.assertEqual(1, self.runs_of("sk-1", "archive-1", root))

    def test_late_answer_is_refused_at_the_deadline(self) -> None:
        self.fleet.change_upstream("rg-1", "certify-1", service_ms=1500)
        try:
            answer = self.call(
                "POST", "sk-1", "/certify/echo", b"x", Lavenderway_Timeout_Ms="200"
            )
            self.assert_refused(answer, 504, "unknown")
        finally:
            self.fleet.change_upstream("rg-1", "certify-1", service_ms=2)
        for number in range(20):
            body = f"own answer {number}".encode()
            self.assertEqual(
                body, self.call("POST", "sk-1", "/certify/echo", body).body
            )

    def test_answer_that_nobody_asked_for_reaches_nobody(self) -> None:
        for host in ("sk-1", "rg-1"):
            self.call("POST", host, "/certify/crossed", b"x")
            time.sleep(0.1)
            for number in range(20):
                body = f"own answer {number}".encode()
                answer = self.call("POST", host, "/certify/echo", body)
                self.assertEqual((200, body), (answer.status, answer.body))

    def test_caller_that_leaves_cancels_the_lookup(self) -> None:
        self.fleet.change_upstream("sk-1", "archive-1", service_ms=3000)
        try:
            for host in ("sk-1", "rg-1"):
                before = self.fleet.record_of("sk-1", "archive-1")["cancelled"]
                connection = self.connect(host)
                head = "GET /archive/echo HTTP/1.1\r\nHost: x\r\n"
                connection.sendall(
                    f"{head}Authorization: Bearer {self.secret}\r\n\r\n".encode()
                )
                self.wait_until(
                    lambda: self.fleet.record_of("sk-1", "archive-1")["in_use"] == 1
                )
                connection.close()
                self.wait_until(
                    lambda seen=before: (
                        self.fleet.record_of("sk-1", "archive-1")[  # type: ignore[misc]
                            "cancelled"
                        ]
                        > seen
                    )
                )
        finally:
            self.fleet.change_upstream("sk-1", "archive-1", service_ms=2)

    def test_upstream_that_sheds_is_passed_through(self) -> None:
        self.fleet.change_upstream("rg-1", "certify-1", shedding=True)
        try:
            answer = self.call("POST", "sk-1", "/certify/echo", b"x")
        finally:
            self.fleet.change_upstream("rg-1", "certify-1", shedding=False)
        self.assertEqual((503, b"shed by the upstream"), (answer.status, answer.body))
        self.assertNotIn("Lavenderway-Outcome", answer.headers)

    def tearDown(self) -> None:
        """Check that nodes have handled every event."""
        self.assert_no_internal_errors()
