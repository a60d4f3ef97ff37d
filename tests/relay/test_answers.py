"""Tests of what a node makes of every possible answer of an upstream."""

import unittest

from lavenderway_relay.answers import Finding, judge_response
from lavenderway_relay.dialect import Dialect
from lavenderway_relay.messages import Response

DIALECT = Dialect(
    request_id=b"x-id",
    deadline_ms=b"x-deadline",
    signature=b"x-signature",
    workspace=b"x-workspace",
    expected_upstream=b"x-expected",
    not_executed=b"x-not-executed",
    caller_service=b"x-caller",
)
SIGNED = [(b"x-id", b"1"), (b"x-signature", b"s")]
CASES = [
    ("whole success", 200, SIGNED, Finding.ANSWER),
    ("unsigned success", 200, [(b"x-id", b"1")], Finding.UNUSABLE),
    ("success of another", 200, [(b"x-id", b"2"), SIGNED[1]], Finding.UNUSABLE),
    ("success without id", 200, [SIGNED[1]], Finding.UNUSABLE),
    ("encoded", 200, [*SIGNED, (b"content-encoding", b"gzip")], Finding.UNUSABLE),
    ("own failure", 500, SIGNED, Finding.ANSWER),
    ("deadline there", 504, SIGNED, Finding.ANSWER),
    ("not found there", 404, SIGNED, Finding.ANSWER),
    ("other upstream", 421, [], Finding.MISDIRECTED),
    ("full", 503, [(b"x-not-executed", b"1")], Finding.REJECTED),
    ("expired in queue", 503, [*SIGNED, (b"x-not-executed", b"1")], Finding.REJECTED),
    ("limited", 429, [(b"x-not-executed", b"1")], Finding.REJECTED),
    ("503 without a word", 503, SIGNED, Finding.UNUSABLE),
    ("429 without a word", 429, [], Finding.UNUSABLE),
    ("408 without a word", 408, [], Finding.UNUSABLE),
]


class AnswersOfUpstreams(unittest.TestCase):
    """Each answer is passed on, taken for a refusal, or not relied on."""

    def test_every_case(self) -> None:
        for name, status, headers, expected in CASES:
            with self.subTest(name):
                response = Response(status, list(headers), b"")
                self.assertEqual(expected, judge_response(response, b"1", DIALECT))
