"""Tests that invalid requests are refused and reach no upstream."""

from __future__ import annotations

import json
import time

from lavenderway_dev.fleet import send_request

from tests.end_to_end.support import FleetTestCase, read_until_closed


class RefusalTest(FleetTestCase):
    """Requests that must be refused, and similar ones that must be accepted."""

    def setUp(self) -> None:
        """Record the number of executions before the test."""
        self.executions_before = self.count_executions()

    def count_executions(self) -> int:
        """Return the number of executions on all upstreams."""
        return sum(
            sum(each["executions"].values())
            for each in self.fleet.read_upstream_records()
        )

    def assert_nothing_ran(self) -> None:
        """Check that no request has reached an upstream during the test."""
        self.assertEqual(self.executions_before, self.count_executions())

    def send_raw_request(self, *lines: str, body: bytes = b"") -> bytes:
        """Send a raw request head and body to host `sk-1`; return the raw response."""
        connection_field = "Connection: close"
        has_connection_field = any(line.startswith("Connection:") for line in lines)
        fields = lines if has_connection_field else (*lines, connection_field)
        head = "\r\n".join([*fields, "", ""]).encode()
        return self.send_raw("sk-1", head + body)

    def test_request_without_key_is_refused(self) -> None:
        url = self.fleet.hosts["sk-1"].callers + "/archive/echo"
        response = send_request("GET", url)
        self.assert_refused(response, 401, "not-run")
        self.assertEqual("Bearer", response.headers["WWW-Authenticate"])
        self.assert_nothing_ran()

    def test_unknown_key_is_refused(self) -> None:
        url = self.fleet.hosts["sk-1"].callers + "/archive/echo"
        response = send_request("GET", url, headers={"Authorization": "Bearer wrong"})
        self.assert_refused(response, 401, "not-run")
        self.assert_nothing_ran()

    def test_withdrawn_key_is_refused_on_a_persistent_connection(self) -> None:
        created_key = self.put("keys", "short-lived", workspace="coulee")
        self.fleet.wait_until_in_force(int(str(created_key["revision"])))
        connection = self.connect("sk-1")
        request = (
            "GET /archive/echo HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {created_key['secret']}\r\n\r\n"
        ).encode()
        connection.sendall(request)
        self.assertIn(b" 200 ", connection.recv(65536))
        self.fleet.call_operator_api("DELETE", "/v1/keys/short-lived")
        deadline = time.monotonic() + 5
        status = b" 200 "
        while status == b" 200 " and time.monotonic() < deadline:
            connection.sendall(request)
            response = connection.recv(65536)
            status = response[8:13]
        self.assertEqual(b" 401 ", status)

    def test_key_in_the_query_is_refused(self) -> None:
        for query_value in (self.secret, self.secret.replace("_", "%5F"), "%41" * 3):
            path = f"/archive/echo?key={query_value}"
            response = self.call("GET", "sk-1", path)
            if query_value == "%41" * 3:
                self.assertEqual(200, response.status)
            else:
                self.assert_refused(response, 400, "not-run")

    def test_key_in_other_fields_is_not_forwarded(self) -> None:
        response = self.call(
            "GET",
            "rg-1",
            "/archive/echo",
            X_Api_Key=self.secret,
            Cookie=f"session={self.secret}",
            Proxy_Authorization=f"Bearer {self.secret}",
            Lavenderway_Workspace="agencia",
        )
        self.assertEqual(200, response.status)
        record = self.fleet.read_upstream_record("sk-1", "archive-1")
        self.assertNotIn(self.secret, json.dumps(record))
        self.assertIn("Lavenderway-Workspace: coulee", record["fields"])
        self.assertNotIn("Lavenderway-Workspace: agencia", record["fields"])

    def test_field_listed_in_connection_is_not_forwarded(self) -> None:
        response = self.send_raw_request(
            "GET /archive/echo HTTP/1.1",
            "Host: x",
            "Connection: close, x-hop",
            "X-Hop: 1",
            f"Authorization: Bearer {self.secret}",
        )
        self.assertIn(b" 200 ", response)
        fields = self.fleet.read_upstream_record("sk-1", "archive-1")["fields"]
        self.assertFalse(
            [field for field in fields if field.lower().startswith("x-hop")]
        )

    def test_repeated_authorization_is_refused(self) -> None:
        response = self.send_raw_request(
            "GET /archive/echo HTTP/1.1",
            "Host: x",
            f"Authorization: Bearer {self.secret}",
            "Authorization: Bearer other",
        )
        self.assertIn(b" 400 ", response)
        self.assert_nothing_ran()

    def test_conflicting_body_lengths_are_refused(self) -> None:
        for fields in (
            ("Content-Length: 5", "Transfer-Encoding: chunked"),
            ("Content-Length: 5", "Content-Length: 6"),
        ):
            response = self.send_raw_request(
                "POST /archive/echo HTTP/1.1",
                "Host: x",
                f"Authorization: Bearer {self.secret}",
                *fields,
                body=b"5\r\nhello\r\n0\r\n\r\n",
            )
            self.assertIn(b" 400 ", response[:20])
            self.assertIn(b"Lavenderway-Outcome: not-run", response)
        self.assert_nothing_ran()

    def test_chunked_body_is_forwarded(self) -> None:
        response = self.send_raw_request(
            "POST /archive/echo HTTP/1.1",
            "Host: x",
            f"Authorization: Bearer {self.secret}",
            "Transfer-Encoding: chunked",
            body=b"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n",
        )
        self.assertIn(b" 200 ", response)
        self.assertTrue(response.endswith(b"hello world"), response)

    def test_body_over_the_limit_is_refused(self) -> None:
        response = self.call("POST", "sk-1", "/certify/echo", b"x" * ((1 << 20) + 1))
        self.assert_refused(response, 413, "not-run")
        self.assert_nothing_ran()

    def test_chunked_body_over_the_limit_is_refused(self) -> None:
        chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
        response = self.send_raw_request(
            "POST /certify/echo HTTP/1.1",
            "Host: x",
            f"Authorization: Bearer {self.secret}",
            "Transfer-Encoding: chunked",
            body=chunk * 17 + b"0\r\n\r\n",
        )
        self.assertIn(b" 413 ", response)
        self.assert_nothing_ran()

    def test_head_over_the_limit_is_refused(self) -> None:
        response = self.send_raw_request(
            "GET /archive/echo HTTP/1.1",
            "Host: x",
            f"Authorization: Bearer {self.secret}",
            "X-Long: " + "y" * 20000,
        )
        self.assertIn(b" 431 ", response)
        self.assertIn(b"Lavenderway-Outcome: not-run", response)
        self.assert_nothing_ran()

    def test_unknown_route_is_refused(self) -> None:
        self.assert_refused(self.call("GET", "sk-1", "/elsewhere"), 404, "not-run")
        self.assert_refused(self.call("GET", "sk-1", "/archives"), 404, "not-run")
        self.assert_nothing_ran()

    def test_method_not_allowed_on_the_route_is_refused(self) -> None:
        created_route = self.put(
            "routes",
            "reads",
            path_prefix="/archive/reads",
            service="archive",
            idempotent=True,
            methods=["GET"],
        )
        self.fleet.wait_until_in_force(int(str(created_route["revision"])))
        response = self.call("POST", "sk-1", "/archive/reads/echo", b"x")
        self.assert_refused(response, 405, "not-run")
        self.assert_nothing_ran()

    def test_route_of_another_workspace_is_refused(self) -> None:
        self.put("workspaces", "agencia", rate=10, burst=10)
        created_route = self.put(
            "routes",
            "private",
            path_prefix="/archive/private",
            service="archive",
            idempotent=True,
            workspaces=["agencia"],
        )
        self.fleet.wait_until_in_force(int(str(created_route["revision"])))
        response = self.call("GET", "rg-1", "/archive/private/echo")
        self.assert_refused(response, 403, "not-run")
        self.assert_nothing_ran()

    def test_path_that_resolves_to_another_route_is_refused(self) -> None:
        created_route = self.put(
            "routes",
            "hidden",
            path_prefix="/archive/hidden",
            service="archive",
            idempotent=True,
            methods=["DELETE"],
        )
        self.fleet.wait_until_in_force(int(str(created_route["revision"])))
        for path, status in (
            ("/archive/x/../hidden/echo", 400),
            ("/archive/x/%2e%2e/hidden/echo", 400),
            ("/archive/./hidden/echo", 400),
            ("/archive//hidden/echo", 405),
            ("/archive%2Fhidden/echo", 405),
        ):
            response = self.send_raw_request(
                f"GET {path} HTTP/1.1",
                "Host: x",
                f"Authorization: Bearer {self.secret}",
            )
            self.assertIn(f" {status} ".encode(), response[:20], path)
        self.assert_nothing_ran()

    def test_open_route_needs_no_key(self) -> None:
        created_route = self.put(
            "routes",
            "open",
            path_prefix="/archive/open",
            service="archive",
            idempotent=True,
            open_to_all=True,
        )
        self.fleet.wait_until_in_force(int(str(created_route["revision"])))
        url = self.fleet.hosts["rg-1"].callers + "/archive/open/echo"
        self.assertEqual(200, send_request("GET", url).status)

    def test_forged_context_is_refused(self) -> None:
        url = self.fleet.hosts["sk-1"].callers + "/archive/echo"
        response = send_request(
            "GET", url, headers={"Lavenderway-Context": "1.e30=.AAAA"}
        )
        self.assert_refused(response, 401, "not-run")
        self.assert_nothing_ran()

    def test_caller_disconnect_during_the_body_runs_nothing(self) -> None:
        connection = self.connect("sk-1")
        head = (
            "POST /archive/echo HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"
            f"Authorization: Bearer {self.secret}\r\n\r\nhalf"
        )
        connection.sendall(head.encode())
        connection.close()
        self.assertEqual(200, self.call("GET", "rg-1", "/archive/echo").status)
        self.assertEqual(self.executions_before + 1, self.count_executions())

    def test_expect_continue_gets_an_interim_response(self) -> None:
        connection = self.connect("sk-1")
        head = (
            "POST /archive/echo HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
            "Expect: 100-continue\r\nConnection: close\r\n"
            f"Authorization: Bearer {self.secret}\r\n\r\n"
        )
        connection.sendall(head.encode())
        self.assertIn(b" 100 ", connection.recv(1024))
        connection.sendall(b"body")
        self.assertTrue(read_until_closed(connection).endswith(b"body"))

    def tearDown(self) -> None:
        """Check that the nodes have processed all events without errors."""
        self.assert_no_internal_errors()
