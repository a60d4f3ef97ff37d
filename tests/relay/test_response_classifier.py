"""Tests of the classification of upstream responses."""

import unittest

from lavenderway_relay.header_names import HeaderNames
from lavenderway_relay.messages import Response
from lavenderway_relay.response_classifier import ResponseKind, classify_response

HEADER_NAMES = HeaderNames(
    request_id=b"x-id",
    deadline_ms=b"x-deadline",
    signature=b"x-signature",
    workspace=b"x-workspace",
    expected_upstream=b"x-expected",
    not_executed=b"x-not-executed",
    caller_service=b"x-caller",
    limit=b"server-limit",
    leaving=b"server-leaving",
)
SIGNED = [(b"x-id", b"1"), (b"x-signature", b"s")]
CASES = [
    ("signed success with id", 200, SIGNED, ResponseKind.USABLE),
    ("unsigned success", 200, [(b"x-id", b"1")], ResponseKind.UNUSABLE),
    (
        "success of another request",
        200,
        [(b"x-id", b"2"), SIGNED[1]],
        ResponseKind.UNUSABLE,
    ),
    ("success without id", 200, [SIGNED[1]], ResponseKind.UNUSABLE),
    (
        "encoded success",
        200,
        [*SIGNED, (b"content-encoding", b"gzip")],
        ResponseKind.UNUSABLE,
    ),
    ("upstream failure", 500, SIGNED, ResponseKind.USABLE),
    ("deadline passed at upstream", 504, SIGNED, ResponseKind.USABLE),
    ("not found at upstream", 404, SIGNED, ResponseKind.USABLE),
    ("misdirected", 421, [], ResponseKind.MISDIRECTED),
    ("upstream full", 503, [(b"x-not-executed", b"1")], ResponseKind.REJECTED),
    (
        "expired in queue",
        503,
        [*SIGNED, (b"x-not-executed", b"1")],
        ResponseKind.REJECTED,
    ),
    (
        "rate limited by upstream",
        429,
        [(b"x-not-executed", b"1")],
        ResponseKind.REJECTED,
    ),
    (
        "rejection of another request",
        503,
        [(b"x-id", b"2"), (b"x-not-executed", b"1")],
        ResponseKind.UNUSABLE,
    ),
    ("misdirected other request", 421, [(b"x-id", b"2")], ResponseKind.UNUSABLE),
    (
        "failure of another request",
        500,
        [(b"x-id", b"2"), SIGNED[1]],
        ResponseKind.UNUSABLE,
    ),
    ("503 without the mark", 503, SIGNED, ResponseKind.UNUSABLE),
    ("429 without the mark", 429, [], ResponseKind.UNUSABLE),
    ("408 without the mark", 408, [], ResponseKind.UNUSABLE),
]


class ResponseClassification(unittest.TestCase):
    """A response is a response, a rejection, misdirected or unusable."""

    def test_classification(self) -> None:
        for name, status, headers, expected in CASES:
            with self.subTest(name):
                response = Response(status, list(headers), b"")
                self.assertEqual(
                    expected, classify_response(response, b"1", HEADER_NAMES)
                )
