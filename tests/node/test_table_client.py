"""Tests of the table client against a platform stand-in that loses messages."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web
from lavenderway_core.table import ABSENT, Condition, TransactOutcome, Write
from lavenderway_dev.endless_server import EndlessServer
from lavenderway_dev.platform_standin import PlatformStandIn
from lavenderway_dev.store_standin import allocate_port
from lavenderway_node.table_client import MAX_RESPONSE_BYTES, TableClient
from lavenderway_relay.model import Address
from returns.result import Failure

TIMEOUT_S = 1.0


class TableClientTest(unittest.IsolatedAsyncioTestCase):
    """Each write takes effect at most once and its reported outcome is correct."""

    async def asyncSetUp(self) -> None:
        """Start the platform stand-in and a client."""
        self.platform = PlatformStandIn()
        self.runner = web.AppRunner(self.platform.build_application())
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = self.runner.addresses[0][1]
        self.client = TableClient(url=f"http://127.0.0.1:{port}", timeout_s=TIMEOUT_S)
        await self.client.open()

    async def asyncTearDown(self) -> None:
        """Stop the client and the platform stand-in."""
        await self.client.close()
        await self.runner.cleanup()

    async def write_row(self, key: str, version: int, value: int) -> TransactOutcome:
        """Write a row on condition that it has a version; return the outcome."""
        result = await self.client.transact(
            (Condition(key, version),), (Write(key, {"value": value}),)
        )
        return result.outcome

    async def test_second_writer_gets_a_conflict(self) -> None:
        self.assertIs(TransactOutcome.COMMITTED, await self.write_row("a", ABSENT, 1))
        result = await self.client.transact(
            (Condition("a", ABSENT),), (Write("a", {"value": 2}),)
        )
        self.assertIs(TransactOutcome.CONFLICT, result.outcome)
        self.assertEqual(1, result.rows[0].value["value"])

    async def test_lost_response_is_resolved_by_reading_back(self) -> None:
        self.platform.faults.lose_answers = 1
        self.assertIs(TransactOutcome.COMMITTED, await self.write_row("a", ABSENT, 1))
        self.assertEqual(1, self.platform.writes)

    async def test_lost_request_is_sent_again(self) -> None:
        self.platform.faults.lose_requests = 1
        self.assertIs(TransactOutcome.COMMITTED, await self.write_row("a", ABSENT, 1))

    async def test_write_of_another_client_is_a_conflict_after_a_lost_request(
        self,
    ) -> None:
        self.platform.faults.lose_requests = 1
        self.platform.table.revision = 7
        self.platform.table.write("a", {"value": 9}, None, 0.0)
        self.assertIs(TransactOutcome.CONFLICT, await self.write_row("a", ABSENT, 1))

    async def test_lost_response_to_a_deletion_is_resolved(self) -> None:
        await self.write_row("a", ABSENT, 1)
        version = self.platform.table.rows["a"].version
        self.platform.faults.lose_answers = 1
        result = await self.client.transact(
            (Condition("a", version),), (Write("a", None),)
        )
        self.assertIs(TransactOutcome.COMMITTED, result.outcome)

    async def test_outage_gives_an_unknown_outcome_and_failed_reads(self) -> None:
        self.platform.faults.down = True
        self.assertIs(TransactOutcome.UNKNOWN, await self.write_row("a", ABSENT, 1))
        self.assertIsInstance(await self.client.read("a"), Failure)

    async def test_read_returns_only_rows_after_a_revision(self) -> None:
        await self.write_row("a", ABSENT, 1)
        await self.write_row("b", ABSENT, 2)
        first = (await self.client.read("")).unwrap()
        since = min(row.version for row in first.rows)
        second = (await self.client.read("", since)).unwrap()
        self.assertEqual(["b"], [row.key for row in second.rows])


class EndlessTable(unittest.IsolatedAsyncioTestCase):
    """A table service that sends without end is cut off at a size limit."""

    async def test_endless_body_is_cut_off(self) -> None:
        server = EndlessServer(
            prefix=b"HTTP/1.1 200 OK\r\n\r\n",
            piece=b" " * 65_536,
            max_bytes=100_000_000,
        )
        address = Address("127.0.0.1", allocate_port())
        listener = await server.start(address)
        self.addCleanup(listener.close)
        client = TableClient(url=f"http://{address}", timeout_s=TIMEOUT_S)
        await client.open()
        self.addAsyncCleanup(client.close)
        self.assertIsInstance(await client.read("a"), Failure)
        async with asyncio.timeout(TIMEOUT_S):
            while server.closed < server.connections:
                await asyncio.sleep(0.01)
        self.assertLess(server.sent_bytes, 2 * MAX_RESPONSE_BYTES)
