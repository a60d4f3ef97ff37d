"""Tests of responses that need more memory than there is at the moment."""

import asyncio
import unittest
from unittest import mock

from lavenderway_dev.store_standin import allocate_port
from lavenderway_relay.memory_ledger import Account, MemoryLedger, Purpose
from lavenderway_relay.messages import Request, Response, encode_request
from lavenderway_relay.model import Address
from lavenderway_relay.pools import ConnectionPool, ResponseLimitError
from lavenderway_relay.response_limits import (
    MEMORY_WAIT_S,
    ResponseBudget,
    ResponseLimit,
)

BODY_BYTES = 3_000_000  # more than one read
MAX_BYTES = 5_000_000
TAKEN_BYTES = 4_000_000  # by a client that reads another response at a good pace
ANNOUNCED = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES
NOT_ANNOUNCED = b"HTTP/1.1 200 OK\r\n\r\n"
TIMEOUT_S = 10.0


class QuickReader:
    """Holds a response that its client reads at a good pace."""

    def __init__(self, ledger: MemoryLedger) -> None:
        self.account = Account(holder=self, purpose=Purpose.RESPONSE, now=0.0)
        self.gave_way = False
        ledger.set(self.account, TAKEN_BYTES, 0.0)

    def give_way(self, account: Account) -> None:
        self.gave_way = True


class WaitingResponses(unittest.IsolatedAsyncioTestCase):
    """A long response waits for memory; nobody who reads another one ends for it."""

    async def asyncSetUp(self) -> None:
        self.ledger = MemoryLedger(max_bytes=MAX_BYTES)
        self.budget = ResponseBudget(ledger=self.ledger)
        self.reader = QuickReader(self.ledger)
        self.pool = ConnectionPool(
            loop=asyncio.get_running_loop(), connect_timeout_s=1.0, budget=self.budget
        )
        self.addCleanup(self.pool.close)
        tick = asyncio.create_task(self.tick())
        self.addCleanup(tick.cancel)

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            self.budget.check(asyncio.get_running_loop().time())

    async def exchange(self, head: bytes) -> Response:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + bytes(BODY_BYTES))
            await writer.drain()
            writer.close()

        address = Address("127.0.0.1", allocate_port())
        listener = await asyncio.start_server(serve, *address)
        self.addCleanup(listener.close)
        request = encode_request(Request(b"GET", b"/", [(b"host", b"a")], b""))
        async with asyncio.timeout(TIMEOUT_S):
            return await self.pool.exchange(address, request)

    async def begin(self, head: bytes) -> asyncio.Task[Response]:
        """Begin an exchange, and wait until its response waits for memory."""
        limit = mock.patch("lavenderway_relay.response_limits.MEMORY_WAIT_S", TIMEOUT_S)
        self.enterContext(limit)
        exchange = asyncio.create_task(self.exchange(head))
        async with asyncio.timeout(TIMEOUT_S):
            while not self.budget.waiting:
                await asyncio.sleep(0.01)
        return exchange

    async def check_that_it_waits(self, head: bytes) -> None:
        exchange = await self.begin(head)
        await asyncio.sleep(MEMORY_WAIT_S / 5)
        self.ledger.close(self.reader.account)
        self.assertEqual(BODY_BYTES, len((await exchange).body))
        self.assertFalse(self.reader.gave_way)

    async def test_announced_response_is_read_once_there_is_memory(self) -> None:
        await self.check_that_it_waits(ANNOUNCED)

    async def test_other_response_is_read_once_there_is_memory(self) -> None:
        await self.check_that_it_waits(NOT_ANNOUNCED)

    async def test_response_without_memory_fails(self) -> None:
        for head in (ANNOUNCED, NOT_ANNOUNCED):
            with self.subTest(head=head):
                with self.assertRaises(ResponseLimitError) as caught:
                    await self.exchange(head)
                self.assertIs(ResponseLimit.MEMORY, caught.exception.limit)
                self.assertFalse(self.reader.gave_way)
                self.assertEqual(TAKEN_BYTES, self.ledger.held_bytes)
                self.assertEqual(0, self.ledger.awaited_bytes)

    async def test_response_is_given_up_while_it_waits(self) -> None:
        exchange = await self.begin(ANNOUNCED)
        exchange.cancel()
        await asyncio.gather(exchange, return_exceptions=True)
        self.assertEqual(0, self.budget.waiting)
        self.assertEqual(0, self.ledger.awaited_bytes)
        self.assertEqual(TAKEN_BYTES, self.ledger.held_bytes)

    async def test_large_requests_leave_room_for_waiting_responses(self) -> None:
        await self.begin(ANNOUNCED)
        request = Account(holder=self.reader, purpose=Purpose.REQUEST, now=0.0)
        self.assertFalse(self.ledger.try_set(request, 400_000, 0.0))
        self.assertTrue(self.ledger.try_set(request, 4_000, 0.0))

    async def test_response_is_limited_by_the_ledger_alone(self) -> None:
        """An announced response may exceed the maximum of the others together."""
        self.ledger.close(self.reader.account)
        self.budget.resize(BODY_BYTES // 10)
        self.assertEqual(BODY_BYTES, len((await self.exchange(ANNOUNCED)).body))
        with self.assertRaises(ResponseLimitError):
            await self.exchange(NOT_ANNOUNCED)


if __name__ == "__main__":
    unittest.main()
