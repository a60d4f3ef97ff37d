"""Tests that responses are forwarded unchanged and never truncated silently."""

from __future__ import annotations

import hashlib
import http.client

from lavenderway_dev.upstream_standin import CHUNK

from tests.end_to_end.support import FleetTestCase

LARGE_BODY_BYTES = 8 << 20
CHUNK_COUNT = 40


class ResponseForwardingTest(FleetTestCase):
    """Responses forwarded by the node of the upstream's host and over a link."""

    def list_entry_hosts(self) -> tuple[str, str]:
        """Return the host of the upstream and a host that reaches it over a link."""
        return ("sk-1", "rg-1")

    def test_get_response_is_forwarded(self) -> None:
        for host in self.list_entry_hosts():
            response = self.call("GET", host, "/archive/echo?a=1&b=%2F")
            self.assertEqual((200, b"hello\n"), (response.status, response.body))
        targets = self.fleet.read_upstream_record("sk-1", "archive-1")["targets"]
        self.assertIn("/archive/echo?a=1&b=%2F", targets)

    def test_post_body_is_forwarded(self) -> None:
        body = bytes(range(256)) * 41
        for host in self.list_entry_hosts():
            response = self.call("POST", host, "/archive/echo", body)
            self.assertEqual((200, body), (response.status, response.body))
            self.assertEqual("POST", response.headers["X-Method"])

    def test_large_request_body_is_forwarded(self) -> None:
        body = hashlib.sha256(b"seed").digest() * (LARGE_BODY_BYTES // 32)
        for host in self.list_entry_hosts():
            response = self.call("POST", host, "/archive/echo", body)
            self.assertEqual(200, response.status)
            self.assertTrue(response.body == body)

    def test_head_response_has_no_body(self) -> None:
        for host in self.list_entry_hosts():
            response = self.call("HEAD", host, "/archive/bytes/1234")
            self.assertEqual((200, b""), (response.status, response.body))
            self.assertEqual("1234", response.headers["Content-Length"])

    def test_no_content_response_has_no_body(self) -> None:
        for host in self.list_entry_hosts():
            response = self.call("GET", host, "/archive/empty")
            self.assertEqual((204, b""), (response.status, response.body))

    def test_large_response_is_forwarded(self) -> None:
        expected = CHUNK * (LARGE_BODY_BYTES // len(CHUNK))
        for host in self.list_entry_hosts():
            response = self.call("GET", host, f"/archive/bytes/{LARGE_BODY_BYTES}")
            self.assertEqual(str(LARGE_BODY_BYTES), response.headers["Content-Length"])
            self.assertTrue(response.body == expected)

    def test_chunked_response_is_forwarded(self) -> None:
        for host in self.list_entry_hosts():
            response = self.call("GET", host, f"/archive/chunks/{CHUNK_COUNT}")
            self.assertTrue(response.body == CHUNK * CHUNK_COUNT)

    def test_upstream_crash_during_a_response_breaks_the_connection(self) -> None:
        for host in self.list_entry_hosts():
            with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
                self.call("GET", host, "/archive/die")

    def test_outcome_field_of_an_upstream_is_removed(self) -> None:
        for host in self.list_entry_hosts():
            response = self.call("GET", host, "/archive/leak")
            self.assertEqual(200, response.status)
            self.assertNotIn("Lavenderway-Outcome", response.headers)

    def tearDown(self) -> None:
        """Check that the nodes have processed all events without errors."""
        self.assert_no_internal_errors()
