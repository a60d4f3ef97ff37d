"""Tests of connections whose input takes long to parse."""

import asyncio
import unittest
from typing import Any

from lavenderway_relay.messages import Request, Response
from lavenderway_relay.model import Limits
from lavenderway_relay.read_turns import (
    LARGE_READ_BYTES,
    READ_BYTES,
    TURNS_PER_ROUND,
    ReadTurns,
)
from lavenderway_relay.refusals import refuse_malformed_input
from lavenderway_relay.server import HttpServer
from lavenderway_relay.server_connection import ServerConnection

CHUNKED_HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
CONNECTIONS = 6
PATIENCE_S = 10.0


class FakeTransport(asyncio.Transport):
    """Records whether it is read."""

    def __init__(self) -> None:
        super().__init__()
        self.reading = True
        self.written = b""

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: Any) -> None:
        self.written += bytes(data)


class ReadTurnsCase(unittest.IsolatedAsyncioTestCase):
    """Base class: a server, whose connections have no sockets."""

    async def asyncSetUp(self) -> None:
        self.release = asyncio.Event()
        self.server = HttpServer(
            loop=asyncio.get_running_loop(),
            serve=self.serve,
            refuse=refuse_malformed_input,
            limits=lambda: Limits(body_bytes=1_000_000),
        )

    async def serve(self, request: Request) -> Response:
        await self.release.wait()
        return Response(200, [], request.body)

    def connect(self) -> tuple[ServerConnection, FakeTransport]:
        connection = ServerConnection(server=self.server)
        transport = FakeTransport()
        connection.connection_made(transport)
        return connection, transport

    def receive(self, connection: ServerConnection, data: bytes) -> None:
        buffer = connection.get_buffer(-1)
        self.assertLessEqual(len(data), len(buffer))
        buffer[: len(data)] = data
        connection.buffer_updated(len(data))


class CostlyInput(ReadTurnsCase):
    """A body in tiny chunks is read in turn with those of other connections."""

    def fill(self, connection: ServerConnection) -> None:
        chunks = b"1\r\na\r\n" * (READ_BYTES // 6)
        self.receive(connection, chunks)

    async def test_one_read_is_bounded(self) -> None:
        connection, _ = self.connect()
        self.receive(connection, CHUNKED_HEAD)
        self.assertEqual(READ_BYTES, len(connection.get_buffer(-1)))

    async def test_connections_take_turns(self) -> None:
        pairs = [self.connect() for _ in range(CONNECTIONS)]
        for connection, _ in pairs:
            self.receive(connection, CHUNKED_HEAD)
            self.fill(connection)
        transports = [transport for _, transport in pairs]
        for done in range(0, CONNECTIONS + 1, TURNS_PER_ROUND):
            reading = [transport.reading for transport in transports]
            self.assertEqual([True] * done + [False] * (CONNECTIONS - done), reading)
            await asyncio.sleep(0)

    async def test_body_arrives_whole(self) -> None:
        connection, transport = self.connect()
        self.release.set()
        self.receive(connection, CHUNKED_HEAD)
        for _ in range(3):
            self.fill(connection)
            await asyncio.sleep(0)
            self.assertTrue(transport.reading)
        self.receive(connection, b"0\r\n\r\n")
        await asyncio.sleep(0.01)
        self.assertIn(
            b"content-length: %d" % (3 * (READ_BYTES // 6)), transport.written
        )

    async def test_announced_body_is_read_in_large_pieces(self) -> None:
        connection, transport = self.connect()
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
        self.receive(connection, head % (2 * LARGE_READ_BYTES))
        self.receive(connection, bytes(LARGE_READ_BYTES))
        self.assertTrue(transport.reading)

    async def test_end_while_waiting_for_a_turn(self) -> None:
        connection, _ = self.connect()
        self.receive(connection, CHUNKED_HEAD)
        self.fill(connection)
        connection.connection_lost(None)
        await asyncio.sleep(0)
        self.assertEqual(0, len(self.server.turns))


class PipelinedInput(ReadTurnsCase):
    """Requests beyond those that a connection may pipeline are left unparsed."""

    async def test_requests_wait_for_earlier_ones(self) -> None:
        connection, transport = self.connect()
        request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
        count = READ_BYTES // len(request)
        self.receive(connection, request * count)
        await asyncio.sleep(0.01)
        self.assertLess(self.count_running(), count // 2)
        self.assertFalse(transport.reading)
        self.release.set()
        async with asyncio.timeout(PATIENCE_S):
            while transport.written.count(b"200 OK") < count or not transport.reading:
                await asyncio.sleep(0.01)
        self.assertEqual(count, transport.written.count(b"200 OK"))

    def count_running(self) -> int:
        names = [task.get_coro().__qualname__ for task in asyncio.all_tasks()]  # type: ignore[union-attr]
        return sum(name.endswith("_respond") for name in names)


class Order(unittest.IsolatedAsyncioTestCase):
    """Whoever has had a turn waits for all others before the next one."""

    async def test_round_robin(self) -> None:
        turns = ReadTurns(loop=asyncio.get_running_loop())
        order: list[str] = []

        class Eager:
            def __init__(self, name: str) -> None:
                self.name = name

            def take_turn(self) -> None:
                order.append(self.name)
                if len(order) < 9:
                    turns.add(self)

        for name in "abc":
            turns.add(Eager(name))
        async with asyncio.timeout(PATIENCE_S):
            while len(order) < 9:
                await asyncio.sleep(0.01)
        self.assertEqual("abcabcabc", "".join(order)[:9])


if __name__ == "__main__":
    unittest.main()
