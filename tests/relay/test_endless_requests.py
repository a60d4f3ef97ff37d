"""Tests of clients that send a request without end."""

import asyncio
import tracemalloc
import unittest

from lavenderway_dev.store_standin import allocate_port
from lavenderway_relay.messages import Request, Response
from lavenderway_relay.model import Address, Limits
from lavenderway_relay.refusals import refuse_malformed_input
from lavenderway_relay.server import HttpServer

HEAD = b"POST / HTTP/1.1\r\nhost: a\r\n"
CHUNKED_HEAD = HEAD + b"transfer-encoding: chunked\r\n\r\n"
PIECE_BYTES = 65_536
MAX_HELD_BYTES = 5_000_000
TIMEOUT_S = 2.0


class EndlessRequests(unittest.IsolatedAsyncioTestCase):
    """A request without end is refused at a size limit."""

    async def asyncSetUp(self) -> None:
        address = Address("127.0.0.1", allocate_port())
        server = HttpServer(
            loop=asyncio.get_running_loop(),
            serve=self.serve,
            refuse=refuse_malformed_input,
            limits=lambda: Limits(head_bytes=4096, body_bytes=65_536),
        )
        await server.listen(address)
        self.addCleanup(server.close)
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.addCleanup(self.writer.close)

    async def serve(self, request: Request) -> Response:
        return Response(200, [], b"%d" % len(request.body))

    async def assert_refused(self, prefix: bytes, piece: bytes) -> None:
        """Assert that the server closes in time and holds few bytes until then."""
        pieces = piece * (PIECE_BYTES // len(piece))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.writer.write(prefix)
        with self.assertRaises(ConnectionError):
            async with asyncio.timeout(TIMEOUT_S):
                while True:
                    self.writer.write(pieces)
                    await self.writer.drain()
                    await asyncio.sleep(0)
        self.assertLess(tracemalloc.get_traced_memory()[1], MAX_HELD_BYTES)

    async def test_header_lines(self) -> None:
        await self.assert_refused(HEAD, b"a: b\r\n")

    async def test_header_value(self) -> None:
        await self.assert_refused(HEAD + b"a: ", b"b")

    async def test_target(self) -> None:
        await self.assert_refused(b"GET /", b"a")

    async def test_body(self) -> None:
        await self.assert_refused(HEAD + b"content-length: 999999999\r\n\r\n", b"a")

    async def test_chunks(self) -> None:
        await self.assert_refused(CHUNKED_HEAD, b"1\r\na\r\n")

    async def test_chunk_extension(self) -> None:
        await self.assert_refused(CHUNKED_HEAD + b"1;", b"a")

    async def test_trailer_lines(self) -> None:
        await self.assert_refused(CHUNKED_HEAD + b"0\r\n", b"a: b\r\n")

    async def test_trailer_value(self) -> None:
        await self.assert_refused(CHUNKED_HEAD + b"0\r\na: ", b"b")

    async def test_body_of_one_byte_chunks_is_accepted(self) -> None:
        body = b"1\r\na\r\n" * 60_000
        self.writer.write(CHUNKED_HEAD + body + b"0\r\na: b\r\n\r\n")
        async with asyncio.timeout(TIMEOUT_S):
            await self.reader.readuntil(b"\r\n\r\n")
            self.assertEqual(b"60000", await self.reader.readexactly(5))
