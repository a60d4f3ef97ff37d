"""Bad input gets a truthful refusal and reaches no upstream."""

from __future__ import annotations

import json
import time

from lavenderway_dev.fleet import send

from tests.end_to_end.support import FleetCase, read_all


class RefusalCase(FleetCase):
    """Requests that must not run."""

    def setUp(self) -> None:
        """Note how much has run before."""
        self.before = self.completed()

    def completed(self) -> int:
        """Return how many requests have reached an upstream."""
        return sum(sum(each["executions"].values()) for each in self.fleet.records())

    def assert_nothing_ran(self) -> None:
        """Check that no request has reached an upstream in this test."""
        self.assertEqual(self.before, self.completed())

    def raw(self, *lines: str, body: bytes = b"") -> bytes:
        """Send raw request lines to the first host; return the answer."""
        closing = "Connection: close"
        given = any(line.startswith("Connection:") for line in lines)
        fields = lines if given else (*lines, closing)
        head = "\r\n".join([*fields, "", ""]).encode()
        return self.exchange("sk-1", head + body)

    def test_no_key(self) -> None:
        url = self.fleet.hosts["sk-1"].callers + "/archive/echo"
        answer = send("GET", url)
        self.assert_refused(answer, 401, "not-run")
        self.assertEqual("Bearer", answer.headers["WWW-Authenticate"])
        self.assert_nothing_ran()

    def test_unknown_key(self) -> None:
        url = self.fleet.hosts["sk-1"].callers + "/archive/echo"
        answer = send("GET", url, headers={"Authorization": "Bearer wrong"})
        self.assert_refused(answer, 401, "not-run")
        self.assert_nothing_ran()

    def test_withdrawn_key_on_a_kept_connection(self) -> None:
        made = self.put("keys", "short-lived", workspace="coulee")
        self.fleet.wait_in_force(int(str(made["revision"])))
        connection = self.connect("sk-1")
        request = (
            "GET /archive/echo HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {made['secret']}\r\n\r\n"
        ).encode()
        connection.sendall(request)
        self.assertIn(b" 200 ", connection.recv(65536))
        self.fleet.operate("DELETE", "/v1/keys/short-lived")
        ends = time.monotonic() + 5
        status = b" 200 "
        while status == b" 200 " and time.monotonic() < ends:
            connection.sendall(request)
            answer = connection.recv(65536)
            status = answer[8:13]
        self.assertEqual(b" 401 ", status)

    def test_key_in_the_query(self) -> None:
        for shape in (self.secret, self.secret.replace("_", "%5F"), "%41" * 3):
            path = f"/archive/echo?key={shape}"
            answer = self.call("GET", "sk-1", path)
            if shape == "%41" * 3:
                self.assertEqual(200, answer.status)
            else:
                self.assert_refused(answer, 400, "not-run")

    def test_key_in_another_field(self) -> None:
        answer = self.call(
            "GET",
            "rg-1",
            "/archive/echo",
            X_Api_Key=self.secret,
            Cookie=f"session={self.secret}",
            Proxy_Authorization=f"Bearer {self.secret}",
            Lavenderway_Workspace="agencia",
        )
        self.assertEqual(200, answer.status)
        record = self.fleet.record_of("sk-1", "archive-1")
        self.assertNotIn(self.secret, json.dumps(record))
        self.assertIn("Lavenderway-Workspace: coulee", record["fields"])
        self.assertNotIn("Lavenderway-Workspace: agencia", record["fields"])

    def test_key_in_a_field_named_by_connection(self) -> None:
        answer = self.raw(
            "GET /archive/echo HTTP/1.1",
            "Host: x",
            "Connection: close, x-hop",
            "X-Hop: 1",
            f"Authorization: Bearer {self.secret}",
        )
        self.assertIn(b" 200 ", answer)
        fields = self.fleet.record_of("sk-1", "archive-1")["fields"]
        self.assertFalse(
            [field for field in fields if field.lower().startswith("x-hop")]
        )

    def test_two_authorizations(self) -> None:
        answer = self.raw(
            "GET /archive/echo HTTP/1.1",
            "Host: x",
            f"Authorization: Bearer {self.secret}",
            "Authorization: Bearer other",
        )
        self.assertIn(b" 400 ", answer)
        self.assert_nothing_ran()

    def test_conflicting_lengths(self) -> None:
        for fields in (
            ("Content-Length: 5", "Transfer-Encoding: chunked"),
            ("Content-Length: 5", "Content-Length: 6"),
        ):
            answer = self.raw(
                "POST /archive/echo HTTP/1.1",
                "Host: x",
                f"Authorization: Bearer {self.secret}",
                *fields,
                body=b"5\r\nhello\r\n0\r\n\r\n",
            )
            self.assertIn(b" 400 ", answer[:20])
            self.assertIn(b"Lavenderway-Outcome: not-run", answer)
        self.assert_nothing_ran()

    def test_chunked_body(self) -> None:
        answer = self.raw(
            "POST /archive/echo HTTP/1.1",
            "Host: x",
            f"Authorization: Bearer {self.secret}",
            "Transfer-Encoding: chunked",
            body=b"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n",
        )
        self.assertIn(b" 200 ", answer)
        self.assertTrue(answer.endswith(b"hello world"), answer)

    def test_body_over_the_limit(self) -> None:
        answer = self.call("POST", "sk-1", "/certify/echo", b"x" * ((1 << 20) + 1))
        self.assert_refused(answer, 413, "not-run")
        self.assert_nothing_ran()

    def test_chunked_body_over_the_limit(self) -> None:
        chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
        answer = self.raw(
            "POST /certify/echo HTTP/1.1",
            "Host: x",
            f"Authorization: Bearer {self.secret}",
            "Transfer-Encoding: chunked",
            body=chunk * 17 + b"0\r\n\r\n",
        )
        self.assertIn(b" 413 ", answer)
        self.assert_nothing_ran()

    def test_head_over_the_limit(self) -> None:
        answer = self.raw(
            "GET /archive/echo HTTP/1.1",
            "Host: x",
            f"Authorization: Bearer {self.secret}",
            "X-Long: " + "y" * 20000,
        )
        self.assertIn(b" 431 ", answer)
        self.assertIn(b"Lavenderway-Outcome: not-run", answer)
        self.assert_nothing_ran()

    def test_unknown_route(self) -> None:
        self.assert_refused(self.call("GET", "sk-1", "/elsewhere"), 404, "not-run")
        self.assert_refused(self.call("GET", "sk-1", "/archives"), 404, "not-run")
        self.assert_nothing_ran()

    def test_wrong_method(self) -> None:
        last = self.put(
            "routes",
            "reads",
            path_prefix="/archive/reads",
            service="archive",
            idempotent=True,
            methods=["GET"],
        )
        self.fleet.wait_in_force(int(str(last["revision"])))
        answer = self.call("POST", "sk-1", "/archive/reads/echo", b"x")
        self.assert_refused(answer, 405, "not-run")
        self.assert_nothing_ran()

    def test_another_workspace_s_route(self) -> None:
        self.put("workspaces", "agencia", rate=10, burst=10)
        last = self.put(
            "routes",
            "private",
            path_prefix="/archive/private",
            service="archive",
            idempotent=True,
            workspaces=["agencia"],
        )
        self.fleet.wait_in_force(int(str(last["revision"])))
        answer = self.call("GET", "rg-1", "/archive/private/echo")
        self.assert_refused(answer, 403, "not-run")
        self.assert_nothing_ran()

    def test_path_that_resolves_to_another_route(self) -> None:
        last = self.put(
            "routes",
            "hidden",
            path_prefix="/archive/hidden",
            service="archive",
            idempotent=True,
            methods=["DELETE"],
        )
        self.fleet.wait_in_force(int(str(last["revision"])))
        for path, status in (
            ("/archive/x/../hidden/echo", 400),
            ("/archive/x/%2e%2e/hidden/echo", 400),
            ("/archive/./hidden/echo", 400),
            ("/archive//hidden/echo", 405),
            ("/archive%2Fhidden/echo", 405),
        ):
            answer = self.raw(
                f"GET {path} HTTP/1.1",
                "Host: x",
                f"Authorization: Bearer {self.secret}",
            )
            self.assertIn(f" {status} ".encode(), answer[:20], path)
        self.assert_nothing_ran()

    def test_open_route(self) -> None:
        last = self.put(
            "routes",
            "open",
            path_prefix="/archive/open",
            service="archive",
            idempotent=True,
            open_to_all=True,
        )
        self.fleet.wait_in_force(int(str(last["revision"])))
        url = self.fleet.hosts["rg-1"].callers + "/archive/open/echo"
        self.assertEqual(200, send("GET", url).status)

    def test_forged_context(self) -> None:
        url = self.fleet.hosts["sk-1"].callers + "/archive/echo"
        answer = send("GET", url, headers={"Lavenderway-Context": "1.e30=.AAAA"})
        self.assert_refused(answer, 401, "not-run")
        self.assert_nothing_ran()

    def test_caller_that_hangs_up_mid_body(self) -> None:
        connection = self.connect("sk-1")
        head = (
            "POST /archive/echo HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"
            f"Authorization: Bearer {self.secret}\r\n\r\nhalf"
        )
        connection.sendall(head.encode())
        connection.close()
        self.assertEqual(200, self.call("GET", "rg-1", "/archive/echo").status)
        self.assertEqual(self.before + 1, self.completed())

    def test_expect_continue(self) -> None:
        connection = self.connect("sk-1")
        head = (
            "POST /archive/echo HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
            "Expect: 100-continue\r\nConnection: close\r\n"
            f"Authorization: Bearer {self.secret}\r\n\r\n"
        )
        connection.sendall(head.encode())
        self.assertIn(b" 100 ", connection.recv(1024))
        connection.sendall(b"body")
        self.assertTrue(read_all(connection).endswith(b"body"))

    def tearDown(self) -> None:
        """Check that nodes have handled every event."""
        self.assert_no_internal_errors()
