"""Tests of the API client of the command line against faulty servers."""

import asyncio
import unittest

from lavenderway_cli.client import MAX_RESPONSE_BYTES, ApiClient, ApiError
from lavenderway_dev.endless_server import EndlessServer
from lavenderway_dev.store_standin import allocate_port
from lavenderway_relay.model import Address
from returns.result import Failure


class EndlessResponses(unittest.IsolatedAsyncioTestCase):
    """A response without end fails the call at a size limit."""

    async def test_endless_body_is_cut_off(self) -> None:
        server = EndlessServer(
            prefix=b"HTTP/1.1 200 OK\r\n\r\n",
            piece=b" " * 65_536,
            max_bytes=100_000_000,
        )
        address = Address("127.0.0.1", allocate_port())
        listener = await server.start(address)
        self.addCleanup(listener.close)
        client = ApiClient(url=f"http://{address}", secret="x")
        async with asyncio.timeout(2.0):
            result = await client.read("/v1/routes")
            while server.closed < server.connections:
                await asyncio.sleep(0.01)
        self.assertIsInstance(result, Failure)
        error = result.failure()
        assert isinstance(error, ApiError)
        self.assertEqual(0, error.status)
        self.assertLess(server.sent_bytes, 2 * MAX_RESPONSE_BYTES)
