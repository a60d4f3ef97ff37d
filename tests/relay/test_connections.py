"""Tests of HTTP connections with faulty servers and clients."""

import asyncio
import socket
import struct
import time
import unittest
from collections.abc import Awaitable, Callable

from lavenderway_dev.store_standin import allocate_port
from lavenderway_relay.client import ClientConnection
from lavenderway_relay.messages import Request, Response, encode_request
from lavenderway_relay.model import Address, Limits
from lavenderway_relay.pools import ConnectError, ConnectionBrokenError, ConnectionPool
from lavenderway_relay.refusals import refuse_malformed_input
from lavenderway_relay.server import HttpServer

ID_HEADER = b"x-id"
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 2\r\n\r\nok"
LIMITS = Limits(head_bytes=500, body_bytes=100, head_timeout_s=0.2, idle_timeout_s=0.2)

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def encode_get(request_id: bytes = b"1") -> bytes:
    return encode_request(
        Request(b"GET", b"/", [(b"host", b"a"), (ID_HEADER, request_id)], b"")
    )


class ClientResponses(unittest.IsolatedAsyncioTestCase):
    """Responses of faulty servers are rejected and never reach another request."""

    async def start(self, script: Script) -> None:
        self.address = Address("127.0.0.1", allocate_port())
        self.server = await asyncio.start_server(script, *self.address)
        self.addCleanup(self.server.close)
        loop = asyncio.get_running_loop()
        self.pool = ConnectionPool(
            loop=loop, connect_timeout_s=1.0, id_header=ID_HEADER
        )

    async def start_with_response(self, *pieces: bytes, reset: bool = False) -> None:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0.01)
            if reset:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
            else:
                writer.close()

        await self.start(script)

    async def exchange(self, request_id: bytes = b"1") -> Response:
        data = encode_get(request_id)
        async with asyncio.timeout(3.0):
            return await self.pool.exchange(self.address, data, expected_id=request_id)

    async def test_complete_response_is_returned(self) -> None:
        await self.start_with_response(COMPLETE_RESPONSE)
        self.assertEqual(b"ok", (await self.exchange()).body)

    async def test_truncated_response_fails(self) -> None:
        await self.start_with_response(COMPLETE_RESPONSE[:-1])
        with self.assertRaises(ConnectionBrokenError):
            await self.exchange()

    async def test_response_without_length_ends_at_eof(self) -> None:
        await self.start_with_response(b"HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\nwh", b"ole")
        self.assertEqual(b"whole", (await self.exchange()).body)

    async def test_response_without_length_fails_on_reset(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\npart"
        await self.start_with_response(head, reset=True)
        with self.assertRaises(ConnectionBrokenError):
            await self.exchange()

    async def test_invalid_response_fails(self) -> None:
        await self.start_with_response(b"nonsense\r\n\r\n")
        with self.assertRaises(ConnectionBrokenError):
            await self.exchange()

    async def test_response_with_other_id_is_discarded(self) -> None:
        other_response = COMPLETE_RESPONSE.replace(b"x-id: 1", b"x-id: 9").replace(
            b"ok", b"no"
        )
        await self.start_with_response(other_response + COMPLETE_RESPONSE)
        self.assertEqual(b"ok", (await self.exchange()).body)

    async def test_response_without_length_for_another_request_fails(self) -> None:
        """A late copy of a rejection passed for the answer to the next request."""
        for status in (b"503 Full", b"421 Misdirected", b"500 Error", b"200 OK"):
            with self.subTest(status):
                head = b"HTTP/1.1 " + status + b"\r\nx-id: 9\r\n\r\n"
                await self.start_with_response(head, COMPLETE_RESPONSE)
                with self.assertRaises(ConnectionBrokenError):
                    await self.exchange()

    async def test_interim_response_is_skipped(self) -> None:
        await self.start_with_response(
            b"HTTP/1.1 100 Continue\r\n\r\n", COMPLETE_RESPONSE
        )
        self.assertEqual(b"ok", (await self.exchange()).body)

    async def test_unsolicited_bytes_do_not_reach_later_request(self) -> None:
        connections = 0

        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal connections
            connections += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(COMPLETE_RESPONSE)
            await asyncio.sleep(0.02)
            writer.write(COMPLETE_RESPONSE)
            await reader.read()
            writer.close()

        await self.start(script)
        await self.exchange()
        await asyncio.sleep(0.1)
        self.assertEqual(b"ok", (await self.exchange()).body)
        self.assertEqual(2, connections)
        await asyncio.sleep(0.1)  # let the script finish

    async def test_late_copy_of_rejection_does_not_reach_repeat(self) -> None:
        rejection = COMPLETE_RESPONSE.replace(b"200 OK", b"503 Full")
        connections = 0

        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal connections
            connections += 1
            if connections == 1:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(rejection)
                await reader.readuntil(b"\r\n\r\n")
                writer.write(rejection)
            else:
                await reader.readuntil(b"\r\n\r\n")
            writer.write(COMPLETE_RESPONSE)
            writer.close()

        await self.start(script)
        self.assertEqual(503, (await self.exchange()).status)
        self.assertEqual(200, (await self.exchange()).status)

    async def test_connection_is_reused_for_other_requests_after_rejection(
        self,
    ) -> None:
        connections = 0

        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal connections
            connections += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(COMPLETE_RESPONSE.replace(b"200 OK", b"503 Full"))
            await reader.readuntil(b"\r\n\r\n")
            writer.write(COMPLETE_RESPONSE.replace(b"x-id: 1", b"x-id: 2"))
            writer.close()

        await self.start(script)
        self.assertEqual(503, (await self.exchange()).status)
        self.assertEqual(200, (await self.exchange(b"2")).status)
        self.assertEqual(1, connections)

    async def test_idle_limit_adapts_to_server_that_drops_connections(self) -> None:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            responded_at = time.monotonic()
            while await reader.read(1000):
                if time.monotonic() - responded_at > 0.1:
                    writer.transport.abort()
                    return
                writer.write(COMPLETE_RESPONSE)
                responded_at = time.monotonic()

        await self.start(script)
        broken = 0
        for _ in range(10):
            try:
                await self.exchange()
            except ConnectionBrokenError:
                broken += 1
            await asyncio.sleep(0.15)
        self.assertLessEqual(broken, 1)

    async def test_response_before_request_is_sent_ends_reuse(self) -> None:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(COMPLETE_RESPONSE)
            await reader.read(1000)

        await self.start(script)
        body = b"x" * 20_000_000
        headers = [(b"host", b"a"), (ID_HEADER, b"1")]
        data = encode_request(Request(b"POST", b"/", headers, body))
        response = await self.pool.exchange(self.address, data, expected_id=b"1")
        self.assertFalse(response.reusable)

    async def test_cancelled_request_resets_connection(self) -> None:
        read_results: list[BaseException | bytes] = []

        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            try:
                read_results.append(await reader.read())
            except ConnectionResetError as error:
                read_results.append(error)
            writer.close()

        await self.start(script)
        exchange_task = asyncio.create_task(self.exchange())
        await asyncio.sleep(0.05)
        exchange_task.cancel()
        await asyncio.sleep(0.05)
        self.assertIsInstance(read_results[0], ConnectionResetError)

    async def test_refused_connection_raises_connect_error(self) -> None:
        await self.start_with_response(COMPLETE_RESPONSE)
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(ConnectError):
            await self.exchange()

    async def test_idle_connection_is_reused_within_keep_alive(self) -> None:
        connections = 0

        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal connections
            connections += 1
            while await reader.read(1000):
                head = b"HTTP/1.1 200 OK\r\nx-id: 1\r\nkeep-alive: timeout=1\r\n"
                writer.write(head + b"content-length: 0\r\n\r\n")

        await self.start(script)
        await self.exchange()
        await self.exchange()
        self.assertEqual(1, connections)
        await asyncio.sleep(0.6)
        await self.exchange()
        self.assertEqual(2, connections)


class ResetAfterData(unittest.IsolatedAsyncioTestCase):
    """A reset that the event loop reports as an end of stream is detected.

    libuv reports an end of stream if the reset follows data. A truncated response
    without a length would then be taken for a complete one.
    """

    async def finish(self, *, reset: bool) -> Response:
        """End a response without length by a close or reset; report end of stream."""
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            transport, connection = await loop.create_connection(
                lambda: ClientConnection(loop=loop, id_header=ID_HEADER),
                *listener.getsockname(),
            )
            peer, _ = listener.accept()
        self.addCleanup(transport.close)
        exchange_task = asyncio.create_task(
            connection.exchange(encode_get(), expected_id=b"1")
        )
        await asyncio.sleep(0)
        transport.pause_reading()
        peer.recv(4096)
        connection.data_received(b"HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\npart")
        if reset:
            peer.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        peer.close()
        await asyncio.sleep(0.02)
        connection.eof_received()
        transport.abort()
        return await exchange_task

    async def test_reset_does_not_complete_response(self) -> None:
        with self.assertRaises(ConnectionBrokenError):
            await self.finish(reset=True)

    async def test_end_of_stream_completes_response(self) -> None:
        self.assertEqual(b"part", (await self.finish(reset=False)).body)


class ServerRequests(unittest.IsolatedAsyncioTestCase):
    """The server handles faulty requests, slow clients and disconnects."""

    async def asyncSetUp(self) -> None:
        self.address = Address("127.0.0.1", allocate_port())
        self.cancelled = 0
        self.seen: list[Request] = []
        self.body = b""
        self.server = HttpServer(
            loop=asyncio.get_running_loop(),
            serve=self.serve,
            refuse=refuse_malformed_input,
            limits=lambda: LIMITS,
        )
        await self.server.listen(self.address)
        self.addCleanup(self.server.close)
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.addCleanup(self.writer.close)

    async def serve(self, request: Request) -> Response:
        self.seen.append(request)
        try:
            await asyncio.sleep(0.1 if b"slow" in request.target else 0.0)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        reusable = request.target != b"/last"
        return Response(200, [], self.body or request.target, reusable)

    async def read(self, count: int = 4096) -> bytes:
        async with asyncio.timeout(2.0):
            return await self.reader.read(count)

    async def test_pipelined_responses_keep_request_order(self) -> None:
        first = b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n"
        second = b"GET /quick HTTP/1.1\r\nhost: a\r\n\r\n"
        self.writer.write(first + second)
        text = await self.read() + await self.read(0)
        while b"/quick" not in text:
            text += await self.read()
        self.assertLess(text.index(b"/slow"), text.index(b"/quick"))

    async def test_chunked_body_is_joined(self) -> None:
        head = b"POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        self.writer.write(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        await self.read()
        self.assertEqual(b"abcde", self.seen[0].body)

    async def test_conflicting_body_lengths_are_rejected(self) -> None:
        head = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
        self.writer.write(head + b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n")
        self.assertIn(b" 400 ", await self.read())
        self.assertEqual([], self.seen)

    async def test_oversized_head_is_rejected(self) -> None:
        self.writer.write(b"GET / HTTP/1.1\r\nx: " + b"a" * 600 + b"\r\n\r\n")
        self.assertIn(b" 431 ", await self.read())
        self.assertEqual([], self.seen)

    async def test_oversized_body_is_rejected(self) -> None:
        head = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 200\r\n\r\n"
        self.writer.write(head + b"a" * 200)
        self.assertIn(b" 413 ", await self.read())
        self.assertEqual([], self.seen)

    async def test_invalid_request_is_rejected(self) -> None:
        self.writer.write(b"\x00\x01\x02\r\n\r\n")
        self.assertIn(b" 400 ", await self.read())
        self.assertEqual(b"", await self.read())

    async def test_disconnect_cancels_pending_requests(self) -> None:
        self.writer.write(b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n")
        await asyncio.sleep(0.02)
        self.writer.close()
        await asyncio.sleep(0.05)
        self.assertEqual(1, self.cancelled)

    async def test_lagging_server_skips_request_after_disconnect(
        self,
    ) -> None:
        self.server.lagging = True
        self.writer.write(b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n")
        self.writer.close()
        time.sleep(0.05)  # request and end of stream arrive before the loop reads
        await asyncio.sleep(0.05)
        self.assertEqual([], self.seen)

    async def test_blocked_event_loop_skips_request_after_disconnect(self) -> None:
        self.server.next_tick_deadline = asyncio.get_running_loop().time() + 0.03
        self.writer.write(b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n")
        self.writer.close()
        time.sleep(0.05)  # blocks the loop past the deadline before a tick reports lag
        await asyncio.sleep(0.05)
        self.assertEqual([], self.seen)

    async def test_slow_head_aborts_connection(self) -> None:
        self.writer.write(b"GET / HTTP/1.1\r\nho")
        await asyncio.sleep(0.3)
        self.server.close_idle(asyncio.get_running_loop().time())
        with self.assertRaises((ConnectionResetError, EOFError)):
            if await self.read() == b"":
                raise EOFError

    async def test_idle_connection_is_closed(self) -> None:
        await asyncio.sleep(0.3)
        self.server.close_idle(asyncio.get_running_loop().time())
        self.assertEqual(b"", await self.read())

    async def test_stop_closes_after_last_response(self) -> None:
        self.writer.write(b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n")
        await asyncio.sleep(0.02)
        self.server.stop()
        response = await self.read()
        self.assertIn(b"connection: close", response)
        self.assertTrue(response.endswith(b"/slow"))
        self.assertEqual(b"", await self.read())

    async def test_stop_delivers_response_although_client_sends_more(self) -> None:
        size = 4_000_000
        self.body = b"x" * size
        self.server.stop()
        self.writer.write(b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n")
        await asyncio.sleep(0.05)
        received = 0
        while received < size:
            self.writer.write(b"GET /behind HTTP/1.1\r\nhost: a\r\n\r\n")
            data = await self.read(65_536)
            self.assertNotEqual(b"", data)
            received += len(data)
        while await self.read():
            pass
        self.assertEqual([b"/large"], [request.target for request in self.seen])

    async def test_refusal_that_ends_the_connection_drops_no_request_behind(
        self,
    ) -> None:
        requests = [b"/slow", b"/last", b"/slow-behind"]
        for target in requests:
            self.writer.write(b"GET %b HTTP/1.1\r\nhost: a\r\n\r\n" % target)
        await asyncio.sleep(0.05)
        self.writer.write(b"GET /unread HTTP/1.1\r\nhost: a\r\n\r\n")
        received = b""
        while data := await self.read():
            received += data
        self.assertEqual(3, received.count(b"HTTP/1.1 200"))
        self.assertTrue(received.endswith(b"/slow-behind"))
        self.assertEqual(1, received.count(b"connection: close"))
        self.assertEqual(requests, [request.target for request in self.seen])
        self.assertEqual(0, self.cancelled)

    async def test_closed_server_completes_requests_but_takes_no_more(self) -> None:
        self.writer.write(b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n")
        await asyncio.sleep(0.02)
        self.server.close()
        self.writer.write(b"GET /behind HTTP/1.1\r\nhost: a\r\n\r\n")
        self.assertTrue((await self.read()).endswith(b"/slow"))
        self.assertEqual(b"", await self.read())
        self.assertEqual([b"/slow"], [request.target for request in self.seen])

    async def test_new_connection_stays_open_until_its_first_request(self) -> None:
        self.server.close_when_idle(asyncio.get_running_loop().time())
        self.writer.write(b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n")
        self.assertTrue((await self.read()).endswith(b"/x"))
