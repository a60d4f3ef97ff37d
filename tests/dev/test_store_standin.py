"""Tests of the stand-in for the metadata store."""

import asyncio
import unittest
from typing import Any

import orjson
from lavenderway_dev.store_standin import MetadataStore, StoreFaults, allocate_port
from lavenderway_relay.messages import Request, Response, encode_request
from lavenderway_relay.model import Address
from lavenderway_relay.pools import ConnectionPool


class RestoredCopies(unittest.IsolatedAsyncioTestCase):
    """A restored store has an earlier state, and its era is in all responses."""

    async def asyncSetUp(self) -> None:
        self.store = MetadataStore()
        self.faults = StoreFaults()
        self.address = Address("127.0.0.1", allocate_port())
        listener = await self.store.listen(self.address, self.faults)
        self.addCleanup(listener.close)
        self.pool = ConnectionPool(
            loop=asyncio.get_running_loop(), connect_timeout_s=1.0
        )
        self.addCleanup(self.pool.close)
        self.store.put("t", "kept", b"1")
        copy = self.store.save_copy()
        self.store.put("t", "lost", b"2")
        self.store.put("t", "kept", b"3")
        self.store.restore(copy)

    async def call(self, target: str) -> Response:
        request = Request(b"GET", target.encode(), [(b"host", b"x")], b"")
        return await self.pool.exchange(self.address, encode_request(request))

    async def follow(self, after: int) -> Response:
        return await self.call(f"/v1/rows-feed?table=t&after={after}&wait-ms=0")

    async def test_later_writes_are_lost(self) -> None:
        body: dict[str, Any] = orjson.loads(
            (await self.call("/v1/rows-get?table=t")).body
        )
        self.assertEqual(1, body["ver"])
        self.assertEqual(
            [("kept", 1)], [(row["key"], row["ver"]) for row in body["rows"]]
        )
        self.assertIsNone(self.store.get("t", "lost"))

    async def test_versions_are_given_out_again(self) -> None:
        self.assertEqual(410, (await self.follow(3)).status)
        self.assertEqual(2, self.store.put("t", "new", b"4"))
        self.assertEqual(3, self.store.put("t", "other", b"5"))
        body = orjson.loads((await self.follow(2)).body)
        self.assertEqual(["other"], [row["key"] for row in body["rows"]])

    async def test_every_response_has_the_era(self) -> None:
        responses = [await self.follow(1), await self.follow(99), await self.call("/")]
        self.faults.refuse_with = 503
        responses.append(await self.follow(1))
        self.assertEqual([200, 410, 404, 503], [each.status for each in responses])
        self.assertEqual({b"1"}, {each.header(b"store-era") for each in responses})
