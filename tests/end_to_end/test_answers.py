"""A caller's answer is byte for byte the upstream's, and whole or visibly broken."""

from __future__ import annotations

import hashlib
import http.client

from lavenderway_dev.upstream_standin import CHUNK

from tests.end_to_end.support import FleetCase

LARGE_BYTES = 8 << 20
CHUNKS = 40


class AnswerCase(FleetCase):
    """Answers from the upstream of the entry host and over a link."""

    def each_host(self) -> tuple[str, str]:
        """Return the upstream's own host and one a link away."""
        return ("sk-1", "rg-1")

    def test_get(self) -> None:
        for host in self.each_host():
            answer = self.call("GET", host, "/archive/echo?a=1&b=%2F")
            self.assertEqual((200, b"hello\n"), (answer.status, answer.body))
        targets = self.fleet.record_of("sk-1", "archive-1")["targets"]
        self.assertIn("/archive/echo?a=1&b=%2F", targets)

    def test_post_with_body(self) -> None:
        body = bytes(range(256)) * 41
        for host in self.each_host():
            answer = self.call("POST", host, "/archive/echo", body)
            self.assertEqual((200, body), (answer.status, answer.body))
            self.assertEqual("POST", answer.headers["X-Method"])

    def test_large_request_body(self) -> None:
        body = hashlib.sha256(b"seed").digest() * (LARGE_BYTES // 32)
        for host in self.each_host():
            answer = self.call("POST", host, "/archive/echo", body)
            self.assertEqual(200, answer.status)
            self.assertTrue(answer.body == body)

    def test_head(self) -> None:
        for host in self.each_host():
            answer = self.call("HEAD", host, "/archive/bytes/1234")
            self.assertEqual((200, b""), (answer.status, answer.body))
            self.assertEqual("1234", answer.headers["Content-Length"])

    def test_no_content(self) -> None:
        for host in self.each_host():
            answer = self.call("GET", host, "/archive/empty")
            self.assertEqual((204, b""), (answer.status, answer.body))

    def test_large_answer(self) -> None:
        expected = CHUNK * (LARGE_BYTES // len(CHUNK))
        for host in self.each_host():
            answer = self.call("GET", host, f"/archive/bytes/{LARGE_BYTES}")
            self.assertEqual(str(LARGE_BYTES), answer.headers["Content-Length"])
            self.assertTrue(answer.body == expected)

    def test_chunked_answer(self) -> None:
        for host in self.each_host():
            answer = self.call("GET", host, f"/archive/chunks/{CHUNKS}")
            self.assertTrue(answer.body == CHUNK * CHUNKS)

    def test_upstream_that_dies_mid_answer_is_visibly_broken(self) -> None:
        for host in self.each_host():
            with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
                self.call("GET", host, "/archive/die")

    def test_upstream_cannot_claim_an_outcome(self) -> None:
        for host in self.each_host():
            answer = self.call("GET", host, "/archive/leak")
            self.assertEqual(200, answer.status)
            self.assertNotIn("Lavenderway-Outcome", answer.headers)

    def tearDown(self) -> None:
        """Check that nodes have handled every event."""
        self.assert_no_internal_errors()
