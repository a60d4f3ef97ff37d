"""Tests of servers that send bytes without end instead of a response."""

import asyncio
import time
import tracemalloc
import unittest

from lavenderway_dev.endless_server import MAX_SENT_BYTES, EndlessServer
from lavenderway_dev.store_standin import allocate_port
from lavenderway_relay.client import ClientConnection
from lavenderway_relay.messages import Request, Response, encode_request
from lavenderway_relay.model import Address
from lavenderway_relay.pools import (
    ConnectionBrokenError,
    ConnectionPool,
    ResponseLimitError,
)
from lavenderway_relay.response_limits import ResponseBudget, ResponseLimit

ID_HEADER = b"x-id"
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = STATUS_LINE + b"x-id: 1\r\ntransfer-encoding: chunked\r\n\r\n"
COMPLETE_RESPONSE = STATUS_LINE + b"x-id: 1\r\ncontent-length: 2\r\n\r\nok"
OTHER_RESPONSE = STATUS_LINE + b"x-id: 9\r\ncontent-length: 2\r\n\r\nno"
PIECE_BYTES = 65_536
# More than the socket buffers of a loopback connection take after the client's reset.
MAX_ACCEPTED_BYTES = 16_000_000
TIMEOUT_S = 2.0
MAX_LAG_S = 0.1
LAG_SAMPLE_INTERVAL_S = 0.005


class EndlessServerCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests with a pool and a server that sends without end."""

    async def start(
        self,
        *,
        prefix: bytes = b"",
        piece: bytes = b"",
        interval_s: float = 0.0,
        reads_request: bool = True,
        max_bytes: int = MAX_SENT_BYTES,
    ) -> None:
        self.server = EndlessServer(
            prefix=prefix,
            piece=piece,
            interval_s=interval_s,
            reads_request=reads_request,
            max_bytes=max_bytes,
        )
        self.address = Address("127.0.0.1", allocate_port())
        listener = await self.server.start(self.address)
        self.addCleanup(listener.close)
        self.addAsyncCleanup(self.wait_until_closed, self.server)
        self.pool = ConnectionPool(
            loop=asyncio.get_running_loop(),
            connect_timeout_s=1.0,
            id_header=ID_HEADER,
        )
        self.addCleanup(self.pool.close)

    async def exchange(self, *, timeout_s: float = TIMEOUT_S) -> Response:
        headers = [(b"host", b"a"), (ID_HEADER, b"1")]
        data = encode_request(Request(b"GET", b"/", headers, b""))
        async with asyncio.timeout(timeout_s):
            return await self.pool.exchange(self.address, data, expected_id=b"1")

    async def wait_until_closed(self, server: EndlessServer | None = None) -> None:
        """Wait until the client has closed its connections to a server."""
        server = server or self.server
        async with asyncio.timeout(TIMEOUT_S):
            while server.closed < server.connections:
                await asyncio.sleep(0.01)


class EndlessFraming(EndlessServerCase):
    """Bytes outside a body are bounded, and parsing them does not block the loop."""

    async def assert_cut_off(self, prefix: bytes, piece: bytes) -> None:
        """Assert that the client closes soon after the first bytes."""
        await self.start(prefix=prefix, piece=piece * (PIECE_BYTES // len(piece)))
        lags: list[float] = []
        sampling = asyncio.create_task(self._sample_lag(lags))
        try:
            with self.assertRaises(ConnectionBrokenError):
                await self.exchange()
        finally:
            sampling.cancel()
        await self.wait_until_closed()
        self.assertLess(self.server.sent_bytes, MAX_ACCEPTED_BYTES)
        self.assertLess(max(lags, default=0.0), MAX_LAG_S)

    async def _sample_lag(self, lags: list[float]) -> None:
        while True:
            started = time.monotonic()
            await asyncio.sleep(LAG_SAMPLE_INTERVAL_S)
            lags.append(time.monotonic() - started - LAG_SAMPLE_INTERVAL_S)

    async def test_header_lines(self) -> None:
        await self.assert_cut_off(STATUS_LINE, b"a: b\r\n")

    async def test_header_value(self) -> None:
        await self.assert_cut_off(STATUS_LINE + b"a: ", b"b")

    async def test_header_name(self) -> None:
        await self.assert_cut_off(STATUS_LINE, b"a")

    async def test_status_line(self) -> None:
        await self.assert_cut_off(b"HTTP/1.1 200 ", b"a")

    async def test_empty_lines_before_the_status_line(self) -> None:
        await self.assert_cut_off(b"", b"\r\n")

    async def test_interim_responses(self) -> None:
        await self.assert_cut_off(b"", b"HTTP/1.1 100 Continue\r\n\r\n")

    async def test_responses_to_another_request(self) -> None:
        await self.assert_cut_off(b"", OTHER_RESPONSE)

    async def test_chunk_extension(self) -> None:
        await self.assert_cut_off(CHUNKED_HEAD + b"1;", b"a")

    async def test_one_byte_chunks(self) -> None:
        await self.assert_cut_off(CHUNKED_HEAD, b"1\r\na\r\n")

    async def test_chunks_with_extensions(self) -> None:
        await self.assert_cut_off(CHUNKED_HEAD, b"1;" + b"a" * 1000 + b"\r\na\r\n")

    async def test_trailer_lines(self) -> None:
        await self.assert_cut_off(CHUNKED_HEAD + b"0\r\n", b"a: b\r\n")


class LargeReads(EndlessServerCase):
    """Other tasks run between two large reads of a connection.

    uvloop reads many times in a row, and parsing small chunks would block it meanwhile.
    """

    async def test_connection_pauses_after_a_large_read(self) -> None:
        await self.start()
        loop = asyncio.get_running_loop()
        transport, connection = await loop.create_connection(
            lambda: ClientConnection(loop=loop), *self.address
        )
        self.addCleanup(transport.abort)
        exchange = asyncio.create_task(connection.exchange(b"GET / HTTP/1.1\r\n\r\n"))
        await asyncio.sleep(0)
        connection.data_received(CHUNKED_HEAD + b"5\r\naaaaa\r\n" * 10_000)
        self.assertFalse(transport.is_reading())
        await asyncio.sleep(0)
        self.assertTrue(transport.is_reading())
        connection.data_received(b"0\r\n\r\n")
        self.assertEqual(50_000, len((await exchange).body))


class UnsolicitedBytes(EndlessServerCase):
    """Bytes that no request waits for close the connection at once."""

    async def test_bytes_on_an_idle_connection(self) -> None:
        await self.start(
            prefix=COMPLETE_RESPONSE, piece=b"a" * PIECE_BYTES, interval_s=0.05
        )
        self.assertEqual(b"ok", (await self.exchange()).body)
        await self.wait_until_closed()
        self.assertLess(self.server.sent_bytes, MAX_ACCEPTED_BYTES)

    async def test_bytes_before_the_request(self) -> None:
        await self.start(piece=b"a" * PIECE_BYTES, reads_request=False)
        with self.assertRaises(ConnectionBrokenError):
            await self.exchange()
        await self.wait_until_closed()
        self.assertLess(self.server.sent_bytes, MAX_ACCEPTED_BYTES)

    async def test_bytes_after_a_failure(self) -> None:
        await self.start(prefix=b"nonsense\r\n\r\n", piece=b"a" * PIECE_BYTES)
        with self.assertRaises(ConnectionBrokenError):
            await self.exchange()
        await self.wait_until_closed()
        self.assertLess(self.server.sent_bytes, MAX_ACCEPTED_BYTES)


class TrickledBytes(EndlessServerCase):
    """A byte now and then does not extend the time given to a request."""

    async def test_trickled_head_ends_with_the_timeout(self) -> None:
        await self.start(prefix=STATUS_LINE + b"a: ", piece=b"b", interval_s=0.02)
        started = time.monotonic()
        with self.assertRaises(TimeoutError):
            await self.exchange(timeout_s=0.3)
        self.assertLess(time.monotonic() - started, 0.6)
        await self.wait_until_closed()


class HeldBytes(EndlessServerCase):
    """Incomplete responses are bounded together, whatever their number."""

    async def test_largest_response_is_cut_off(self) -> None:
        budget = ResponseBudget(max_bytes=1_000_000)
        await self.start(prefix=STATUS_LINE + b"\r\n", piece=b"a" * 10_000)
        self.pool = ConnectionPool(
            loop=asyncio.get_running_loop(), connect_timeout_s=1.0, budget=budget
        )
        exchanges = [self.exchange() for _ in range(8)]
        results = await asyncio.gather(*exchanges, return_exceptions=True)
        limits = {
            error.limit for error in results if isinstance(error, ResponseLimitError)
        }
        self.assertEqual({ResponseLimit.MEMORY}, limits)
        await self.wait_until_closed()
        self.assertEqual(0, budget.held_bytes)

    async def test_responses_of_other_servers_are_spared(self) -> None:
        budget = ResponseBudget(max_bytes=1_000_000)
        loop = asyncio.get_running_loop()
        await self.start(
            prefix=STATUS_LINE + b"content-length: 400000\r\n\r\n",
            piece=b"a" * 50_000,
            interval_s=0.05,
            max_bytes=400_000,
        )
        self.pool = ConnectionPool(loop=loop, connect_timeout_s=1.0, budget=budget)
        self.addCleanup(self.pool.close)
        sound_exchange = asyncio.create_task(self.exchange())
        await asyncio.sleep(0.1)
        await self.start(prefix=STATUS_LINE + b"\r\n", piece=b"a" * PIECE_BYTES)
        self.pool = ConnectionPool(loop=loop, connect_timeout_s=1.0, budget=budget)
        with self.assertRaises(ResponseLimitError):
            await self.exchange()
        self.assertEqual(400_000, len((await sound_exchange).body))

    async def test_body_limit_of_one_request(self) -> None:
        await self.start(prefix=STATUS_LINE + b"\r\n", piece=b"a" * 10_000)
        headers = [(b"host", b"a")]
        data = encode_request(Request(b"GET", b"/", headers, b""))
        with self.assertRaises(ResponseLimitError) as caught:
            await self.pool.exchange(self.address, data, max_body_bytes=100_000)
        self.assertIs(ResponseLimit.BODY, caught.exception.limit)

    async def test_announced_body_above_the_limit_is_cut_off_at_its_head(self) -> None:
        head = STATUS_LINE + b"content-length: 999999999999\r\n\r\n"
        await self.start(prefix=head, piece=b"a" * PIECE_BYTES)
        with self.assertRaises(ResponseLimitError):
            await self.exchange()

    async def test_idle_connection_holds_no_body(self) -> None:
        body = b"a" * 8_000_000
        head = STATUS_LINE + b"content-length: %d\r\n\r\n" % len(body)
        await self.start(prefix=head + body)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        response = await self.exchange()
        self.assertTrue(response.reusable)
        await asyncio.sleep(0.1)
        held_bytes = tracemalloc.get_traced_memory()[0]
        self.assertLess(held_bytes, 1.5 * len(body))

    async def test_large_chunked_response_is_returned(self) -> None:
        chunk = b"a" * 8_000
        chunks = (b"%x\r\n%b\r\n" % (len(chunk), chunk)) * 5_000
        await self.start(prefix=CHUNKED_HEAD + chunks + b"0\r\n\r\n")
        self.assertEqual(40_000_000, len((await self.exchange()).body))
