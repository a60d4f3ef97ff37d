"""Tests of the CBOR codec for messages between nodes."""

from __future__ import annotations

import unittest

import cbor2
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from lavenderway_core.admission import LoadReport
from lavenderway_core.events import JobSpec
from lavenderway_core.ids import (
    ExchangeId,
    FailureDomainId,
    HostId,
    Incarnation,
    JobId,
    Revision,
    RouteId,
    ServiceId,
    UpstreamId,
    WorkspaceId,
)
from lavenderway_core.importance import Importance
from lavenderway_core.membership import HostRecord, HostState
from lavenderway_core.messages import GossipReply
from lavenderway_core.refusal import Outcome
from lavenderway_core.resources import Item, Kind
from lavenderway_node.codec import decode, encode
from lavenderway_node.frames import AttemptOpen, ResponseRefused
from returns.result import Failure, Success

JOB = JobId(HostId("h"), Incarnation(3), ExchangeId(4), 1)
SPEC = JobSpec(
    ServiceId("s"),
    UpstreamId("u"),
    RouteId("r"),
    "root",
    WorkspaceId("w"),
    None,
    Importance.HIGH,
    True,
    500,
    2,
    None,
    "",
)
CALL = AttemptOpen(JOB, SPEC, "GET", "/a?b", ((b"Accept", b"\xff"),), b"body", False)


class CodecTest(unittest.TestCase):
    """Valid messages round-trip; decoding malformed ones returns an error."""

    def test_messages_round_trip(self) -> None:
        record = HostRecord(
            HostId("h"),
            FailureDomainId("a"),
            "1:1",
            Incarnation(1),
            1,
            HostState.LEAVING,
            (),
            (WorkspaceId("w"),),
        )
        item = Item(Kind.ROUTE, "r", Revision(4), {"a": [1]})
        deleted_item = Item(Kind.KEY, "k", Revision(5), None)
        for message in (
            CALL,
            ResponseRefused(
                JOB,
                "shed",
                Outcome.UNKNOWN,
                1.5,
                "",
                LoadReport(1, 2, 3.0, 4, 1.0, 0.5),
            ),
            GossipReply(
                1,
                Revision(2),
                Revision(5),
                None,
                (item, deleted_item),
                (record,),
                (1, 2),
            ),
        ):
            self.assertEqual(Success(message), decode(encode(message)))

    def test_malformed_fields_are_rejected(self) -> None:
        valid = cbor2.loads(encode(CALL))
        for index, value in (
            (0, 999),
            (0, "x"),
            (1, None),
            (3, 7),
            (5, [[1, 2]]),
            (7, 0),
        ):
            malformed = list(valid)
            malformed[index] = value
            self.assertIsInstance(
                decode(cbor2.dumps(malformed)), Failure, (index, value)
            )
        self.assertIsInstance(decode(cbor2.dumps(valid[:-1])), Failure)
        self.assertIsInstance(decode(cbor2.dumps([*valid, 1])), Failure)

    @seed(20261203)
    @settings(max_examples=400, deadline=None, database=None)
    @given(st.binary(max_size=200))
    def test_decoding_random_bytes_never_raises(self, data: bytes) -> None:
        decode(data)

    @seed(20261203)
    @settings(max_examples=400, deadline=None, database=None)
    @given(st.integers(0, 150), st.integers(0, 255))
    def test_decoding_a_corrupted_message_never_raises(
        self, index: int, value: int
    ) -> None:
        data = bytearray(encode(CALL))
        data[index % len(data)] = value
        decode(bytes(data))
