"""Tests of pooled connections to upstreams."""

import asyncio
import tracemalloc
import unittest

import aiohttp
from lavenderway_dev.store_standin import allocate_port
from lavenderway_node.connector import SafeReuseConnector

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
BATCH_RESPONSES = 1_000
MAX_HELD_BYTES = 2_000_000


class IdleConnections(unittest.IsolatedAsyncioTestCase):
    """Data on an idle connection closes it and is not kept."""

    async def asyncSetUp(self) -> None:
        self.port = allocate_port()
        self.connections = 0
        self.closed = 0
        listener = await asyncio.start_server(self.respond, "127.0.0.1", self.port)
        self.addCleanup(listener.close)
        self.addAsyncCleanup(self.wait_until_closed)
        self.session = await self.enterAsyncContext(
            aiohttp.ClientSession(connector=SafeReuseConnector(keepalive_timeout=4.0))
        )
        self.unsolicited = b""

    async def respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to each request; after the first one, send without end."""
        self.connections += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(RESPONSE)
                await asyncio.sleep(0.02)
                while self.unsolicited:
                    writer.write(self.unsolicited)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed += 1
        finally:
            writer.close()

    async def wait_until_closed(self) -> None:
        """Wait until the client has closed all connections."""
        async with asyncio.timeout(1.0):
            while self.closed < self.connections:
                await asyncio.sleep(0.01)

    async def get(self) -> bytes:
        async with self.session.get(f"http://127.0.0.1:{self.port}/") as response:
            return await response.read()

    async def test_endless_responses_close_the_connection(self) -> None:
        self.unsolicited = RESPONSE * BATCH_RESPONSES
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.assertEqual(b"ok", await self.get())
        await self.wait_until_closed()
        self.assertLess(tracemalloc.get_traced_memory()[0], MAX_HELD_BYTES)
        self.unsolicited = b""
        self.assertEqual(b"ok", await self.get())
        self.assertEqual(2, self.connections)

    async def test_silent_connection_is_reused(self) -> None:
        self.assertEqual(b"ok", await self.get())
        await asyncio.sleep(0.1)
        self.assertEqual(b"ok", await self.get())
        self.assertEqual(1, self.connections)
