"""Tests of the virtual loop: its time, its network and its processes."""

import asyncio
import unittest
from collections.abc import Coroutine
from random import Random
from typing import Any

from lavenderway_dev.virtual_loop import (
    VirtualAddress,
    VirtualLoop,
    VirtualProcess,
    VirtualTransport,
)

ADDRESS = VirtualAddress("127.0.0.1", 80)


class Recorder(asyncio.Protocol):
    """Records what happens to one end of a connection."""

    def __init__(self) -> None:
        self.received = b""
        self.ended = False
        self.errors: list[Exception | None] = []
        self.transport: VirtualTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, VirtualTransport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data

    def eof_received(self) -> bool:
        self.ended = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.errors.append(exc)


class VirtualLoopCase(unittest.TestCase):
    """Base class of tests with a server process and a client."""

    def setUp(self) -> None:
        self.loop = VirtualLoop(random=Random(1))
        self.addCleanup(self.loop.close)
        self.process = VirtualProcess(loop=self.loop, name="server")
        self.accepted: list[Recorder] = []

    def run_in_loop(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self.loop.run_until_complete(coroutine)

    async def listen(self) -> None:
        def accept() -> Recorder:
            self.accepted.append(Recorder())
            return self.accepted[-1]

        await self.process.start(lambda: self.loop.create_server(accept, sock=ADDRESS))

    async def connect(self) -> tuple[Recorder, Recorder]:
        """Return the protocols of the client and of the server."""
        _, client = await self.loop.create_connection(Recorder, *ADDRESS)
        assert isinstance(client, Recorder)
        await asyncio.sleep(1.0)
        return client, self.accepted[-1]


class Time(VirtualLoopCase):
    """Waiting takes no real time."""

    def test_sleep_advances_the_time(self) -> None:
        started = self.loop.time()
        self.run_in_loop(asyncio.sleep(86_400.0))
        self.assertAlmostEqual(started + 86_400.0, self.loop.time(), places=3)


class Connections(VirtualLoopCase):
    """Bytes arrive in order; a reset discards unread input."""

    def test_bytes_and_end_arrive_in_order(self) -> None:
        async def play() -> None:
            await self.listen()
            client, server = await self.connect()
            for index in range(20):
                client.transport.write(b"%d " % index)
            client.transport.close()
            await asyncio.sleep(1.0)
            expected = b"".join(b"%d " % index for index in range(20))
            self.assertEqual(expected, server.received)
            self.assertTrue(server.ended)
            self.assertEqual([None], client.errors)

        self.run_in_loop(play())

    def test_close_with_unread_input_resets(self) -> None:
        async def play() -> None:
            await self.listen()
            client, server = await self.connect()
            server.transport.pause_reading()
            client.transport.write(b"x")
            await asyncio.sleep(1.0)
            server.transport.close()
            await asyncio.sleep(1.0)
            self.assertIsInstance(client.errors[0], ConnectionResetError)

        self.run_in_loop(play())

    def test_no_listener(self) -> None:
        with self.assertRaises(ConnectionRefusedError):
            self.run_in_loop(self.loop.create_connection(Recorder, *ADDRESS))  # type: ignore[arg-type]


class Processes(VirtualLoopCase):
    """A frozen process acts later, a dead one never."""

    def test_frozen_process_reads_after_it_is_thawed(self) -> None:
        async def play() -> None:
            await self.listen()
            client, server = await self.connect()
            self.process.freeze()
            client.transport.write(b"x")
            await asyncio.sleep(1.0)
            self.assertEqual(b"", server.received)
            self.process.thaw()
            await asyncio.sleep(1.0)
            self.assertEqual(b"x", server.received)

        self.run_in_loop(play())

    def test_dead_process(self) -> None:
        async def play() -> None:
            await self.listen()
            client, server = await self.connect()
            ticks: list[float] = []

            async def tick() -> None:
                while True:
                    ticks.append(self.loop.time())
                    await asyncio.sleep(0.1)

            self.process.start(tick)
            await asyncio.sleep(1.0)
            self.process.kill()
            count = len(ticks)
            client.transport.write(b"x")
            await asyncio.sleep(1.0)
            self.assertEqual((count, b""), (len(ticks), server.received))
            self.assertEqual(1, len(client.errors))
            with self.assertRaises(ConnectionRefusedError):
                await self.loop.create_connection(Recorder, *ADDRESS)

        self.run_in_loop(play())
