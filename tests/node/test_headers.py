"""Tests of the header fields forwarded between callers and upstreams."""

from __future__ import annotations

import unittest

from lavenderway_node.headers import (
    filter_request,
    filter_response,
    target_contains_key,
)

KEY = "s3cret-key"


class HeadersTest(unittest.TestCase):
    """Keys, hop-by-hop fields and reserved fields are not forwarded."""

    def test_fields_that_contain_the_key_are_removed(self) -> None:
        fields = [
            (b"Authorization", b"Bearer s3cret-key"),
            (b"X-Copy", b"a s3cret-key b"),
            (b"s3cret-key", b"1"),
            (b"Accept", b"*/*"),
        ]
        self.assertEqual(((b"Accept", b"*/*"),), filter_request(fields, KEY))

    def test_hop_by_hop_and_connection_fields_are_removed(self) -> None:
        fields = [
            (b"Connection", b"keep-alive, X-Trace"),
            (b"x-trace", b"1"),
            (b"TE", b"trailers"),
            (b"Upgrade", b"h2c"),
            (b"Transfer-Encoding", b"chunked"),
            (b"X-Kept", b"1"),
        ]
        self.assertEqual(((b"X-Kept", b"1"),), filter_request(fields, ""))
        self.assertEqual(((b"X-Kept", b"1"),), filter_response(fields))

    def test_reserved_fields_are_removed_in_both_directions(self) -> None:
        fields = [
            (b"Lavenderway-Workspace", b"x"),
            (b"LAVENDERWAY-Outcome", b"not-run"),
        ]
        self.assertEqual((), filter_request(fields, ""))
        self.assertEqual((), filter_response(fields))

    def test_key_in_the_target_is_detected_when_encoded(self) -> None:
        self.assertTrue(target_contains_key("/a?k=s3cret-key", KEY))
        self.assertTrue(target_contains_key("/a?k=s3cret%2Dkey", KEY))
        self.assertTrue(target_contains_key("/a?k=s3cret%252Dkey", KEY))
        self.assertFalse(target_contains_key("/a?k=other", KEY))
        self.assertFalse(target_contains_key("/a", ""))
