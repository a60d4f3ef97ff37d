"""Tests of the queries that nodes answer to each other."""

import asyncio
import os
import unittest
from typing import Any, cast

import orjson
from lavenderway_relay.messages import Request, Response
from lavenderway_relay.model import HostRecord, UpstreamStatus
from lavenderway_relay.peer_client import (
    MEMBER_TARGET,
    RECORD_TARGET,
    STATE_TARGET,
    PeerClient,
)
from lavenderway_relay.peer_handler import PeerRequestHandler
from lavenderway_relay.records import decode_records, encode_records
from lavenderway_relay.revision import Revision
from lavenderway_relay.upstream_runner import UpstreamRunner

from tests.relay.support import make_state
from tests.relay.test_host_registry import make_record

OLD_RECORD = make_record("old", revision=9)
NEW_RECORD = make_record("new", era=1, revision=2)


class RegistryQueries(unittest.IsolatedAsyncioTestCase):
    """Records of several eras are returned in the order of their eras."""

    async def asyncSetUp(self) -> None:
        log = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, log)
        state = make_state(log=log)
        state.host_registry.merge([OLD_RECORD, NEW_RECORD])
        state.host_registry.advance_revision(Revision(1, 2))
        loop = asyncio.get_running_loop()
        self.state = state
        self.handler = PeerRequestHandler(
            state=state,
            upstream_runner=UpstreamRunner(state=state, loop=loop),
            peer_client=cast(PeerClient, None),
            loop=loop,
        )

    async def query(self, target: bytes, payload: dict[str, Any]) -> Response:
        body = orjson.dumps(payload)
        return await self.handler.serve(Request(b"POST", target, [], body))

    async def test_records_after_a_revision(self) -> None:
        for revision, records in (
            (0, [OLD_RECORD, NEW_RECORD]),
            (9, [NEW_RECORD]),
            ([1, 1], [NEW_RECORD]),
            ([1, 2], []),
        ):
            with self.subTest(revision=revision):
                payload = {"config": 0, "revision": revision}
                reply = orjson.loads((await self.query(STATE_TARGET, payload)).body)
                self.assertEqual([1, 2], reply["revision"])
                self.assertEqual(records, decode_records(reply["hosts"]))

    async def test_record_of_one_host(self) -> None:
        for host, records in (("old", [OLD_RECORD]), ("unknown", [])):
            with self.subTest(host=host):
                response = await self.query(RECORD_TARGET, {"host": host})
                reply = orjson.loads(response.body)
                self.assertEqual(records, decode_records(reply["hosts"]))

    async def test_malformed_queries_are_refused(self) -> None:
        for target, payload in (
            (STATE_TARGET, {"config": 0, "revision": "x"}),
            (STATE_TARGET, {"config": 0, "revision": [1]}),
            (STATE_TARGET, {}),
            (RECORD_TARGET, {}),
            (RECORD_TARGET, {"host": []}),
            (MEMBER_TARGET, {}),
            (MEMBER_TARGET, {"record": {"host": "a"}}),
            (MEMBER_TARGET, {"record": 1}),
        ):
            with self.subTest(target=target, payload=payload):
                self.assertEqual(400, (await self.query(target, payload)).status)

    def merge(self, record: HostRecord) -> None:
        self.state.host_registry.merge([record])

    async def ask_to_acknowledge(self, record: HostRecord) -> Any:
        payload = {"record": encode_records([record])[0]}
        return orjson.loads((await self.query(MEMBER_TARGET, payload)).body)

    async def test_joining_host_is_known_as_soon_as_it_is_acknowledged(self) -> None:
        joining = make_record("joining", era=1, revision=3)
        self.handler.on_record = self.merge
        reply = await self.ask_to_acknowledge(joining)
        self.assertEqual({"known": True, "established": False}, reply)
        self.assertIn(joining, self.state.host_registry.members())

    async def test_host_known_as_retired_is_not_acknowledged(self) -> None:
        retired = make_record(
            "joining", status=UpstreamStatus.GONE, serving=False, era=1, revision=4
        )
        self.state.host_registry.merge([retired])
        reply = await self.ask_to_acknowledge(make_record("joining", era=1, revision=3))
        self.assertIs(False, reply["known"])
