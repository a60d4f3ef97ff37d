"""Tests of header filtering."""

from __future__ import annotations

import unittest

from lavenderway_node.headers import filter_answer, filter_request, target_holds

SECRET = "s3cret-key"


class HeadersTest(unittest.TestCase):
    """What passes between callers and upstreams."""

    def test_key_never_passes(self) -> None:
        fields = [
            (b"Authorization", b"Bearer s3cret-key"),
            (b"X-Copy", b"a s3cret-key b"),
            (b"s3cret-key", b"1"),
            (b"Accept", b"*/*"),
        ]
        self.assertEqual(((b"Accept", b"*/*"),), filter_request(fields, SECRET))

    def test_hop_by_hop_fields_and_those_named_by_connection(self) -> None:
        fields = [
            (b"Connection", b"keep-alive, X-Trace"),
            (b"x-trace", b"1"),
            (b"TE", b"trailers"),
            (b"Upgrade", b"h2c"),
            (b"Transfer-Encoding", b"chunked"),
            (b"X-Kept", b"1"),
        ]
        self.assertEqual(((b"X-Kept", b"1"),), filter_request(fields, ""))
        self.assertEqual(((b"X-Kept", b"1"),), filter_answer(fields))

    def test_own_fields_are_dropped_both_ways(self) -> None:
        fields = [
            (b"Lavenderway-Workspace", b"x"),
            (b"LAVENDERWAY-Outcome", b"not-run"),
        ]
        self.assertEqual((), filter_request(fields, ""))
        self.assertEqual((), filter_answer(fields))

    def test_key_in_target_is_found_encoded_or_not(self) -> None:
        self.assertTrue(target_holds("/a?k=s3cret-key", SECRET))
        self.assertTrue(target_holds("/a?k=s3cret%2Dkey", SECRET))
        self.assertTrue(target_holds("/a?k=s3cret%252Dkey", SECRET))
        self.assertFalse(target_holds("/a?k=other", SECRET))
        self.assertFalse(target_holds("/a", ""))
