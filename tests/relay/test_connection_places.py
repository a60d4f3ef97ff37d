"""Tests of connections that give their place to others."""

import asyncio
import contextlib
import socket
import unittest

from lavenderway_dev.store_standin import allocate_port
from lavenderway_relay.connection_places import Claim, UnreadPlace, choose_ended
from lavenderway_relay.messages import Request, Response
from lavenderway_relay.model import Address
from lavenderway_relay.pace import MIN_PROGRESS_BYTES_PER_S, STALL_GRACE_S, Pace
from lavenderway_relay.refusals import refuse_malformed_input
from lavenderway_relay.server import HttpServer

MAX_CONNECTIONS = 4
ACCEPTANCE_LIMIT = 6
RESPONSE_BYTES = 200_000
READER_BUFFER_BYTES = 4_096
PATIENCE_S = STALL_GRACE_S + 8.0
REQUEST = b"GET /%b HTTP/1.1\r\nhost: a\r\n\r\n"


class FakeConnection:
    """A connection of a claim."""

    def end_for_place(self) -> None:
        raise NotImplementedError


def make_claim(
    *, stalled_s: float = 0.0, sent: int = 0, unfinished: bool = False
) -> Claim:
    """Return a claim as it is at time 100."""
    pace = Pace(now=100.0)
    pace.record_progress(sent, 100.0)
    if stalled_s:
        pace.on_pace_until = 100.0 - stalled_s
    return Claim(FakeConnection(), pace, unfinished)


class Choice(unittest.TestCase):
    """The client with the least progress goes first."""

    def test_longest_stalled_first(self) -> None:
        claims = [make_claim(stalled_s=each) for each in (1.0, 9.0, 4.0)]
        self.assertEqual([claims[1], claims[2]], choose_ended(claims, 2, 100.0))

    def test_reader_on_pace_keeps_its_place(self) -> None:
        self.assertEqual([], choose_ended([make_claim(), make_claim()], 2, 100.0))

    def test_stalled_before_unfinished(self) -> None:
        claims = [make_claim(unfinished=True), make_claim(stalled_s=1.0)]
        self.assertEqual([claims[1]], choose_ended(claims, 1, 100.0))
        self.assertEqual(claims[::-1], choose_ended(claims, 2, 100.0))

    def test_upload_goes_after_those_that_sent_little(self) -> None:
        claims = [make_claim(sent=each, unfinished=True) for each in (9_000, 99, 99)]
        self.assertNotIn(claims[0], choose_ended(claims, 2, 100.0))


class Measurement(unittest.TestCase):
    """Reading is measured by what the client has received."""

    def test_reader(self) -> None:
        step_bytes = MIN_PROGRESS_BYTES_PER_S
        place = UnreadPlace(unread_bytes=20 * step_bytes, now=0.0)
        for second in range(1, 11):
            place.update((20 - second) * step_bytes, float(second))
            self.assertEqual(0.0, place.pace.stalled_s(float(second)))

    def test_slow_reader(self) -> None:
        place = UnreadPlace(unread_bytes=20_000, now=0.0)
        for second in range(1, 11):
            place.update(20_000 - second * 1_000, float(second))
        self.assertGreater(place.pace.stalled_s(10.0), 5.0)


class PlacesOfAServer(unittest.IsolatedAsyncioTestCase):
    """A server with fewer places than there are clients."""

    async def asyncSetUp(self) -> None:
        self.pressed: list[str] = []
        self.server = HttpServer(
            loop=asyncio.get_running_loop(),
            serve=self.serve,
            refuse=refuse_malformed_input,
            log_pressed=lambda reason, _: self.pressed.append(reason),
        )
        self.server.max_connections = MAX_CONNECTIONS
        self.server.acceptance_limit = ACCEPTANCE_LIMIT
        self.address = Address("127.0.0.1", allocate_port())
        await self.server.listen(self.address)
        self.addCleanup(self.server.close)
        tick = asyncio.create_task(self.tick())
        self.addCleanup(tick.cancel)

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            self.server.check_pressure(asyncio.get_running_loop().time())

    async def serve(self, request: Request) -> Response:
        return Response(
            200, [], bytes(RESPONSE_BYTES if b"long" in request.target else 2)
        )

    async def ask(self, target: bytes) -> socket.socket:
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READER_BUFFER_BYTES)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, self.address)
        await loop.sock_sendall(client, REQUEST % target)
        return client

    async def read(self, client: socket.socket, count: int) -> int:
        """Read bytes, up to a count, or to the end of the connection."""
        loop = asyncio.get_running_loop()
        received = 0
        with contextlib.suppress(ConnectionResetError):
            while received < count:
                data = await loop.sock_recv(client, count - received)
                if not data:
                    break
                received += len(data)
        return received

    async def test_clients_that_read_nothing_give_way(self) -> None:
        for _ in range(ACCEPTANCE_LIMIT):
            await self.ask(b"long")
        answered = 0
        async with asyncio.timeout(PATIENCE_S):
            while not answered:
                await asyncio.sleep(0.1)
                with contextlib.suppress(OSError):
                    answered = await self.read(await self.ask(b""), 10)
        self.assertEqual({"connections"}, set(self.pressed))

    async def test_client_that_reads_keeps_its_place(self) -> None:
        reading = await self.ask(b"long")
        for _ in range(ACCEPTANCE_LIMIT - 1):
            await self.ask(b"long")
        received = 0
        while received < RESPONSE_BYTES:
            count = await self.read(reading, 4_000)
            self.assertGreater(count, 0)
            received += count
            await asyncio.sleep(0.1)
        self.assertLessEqual(len(self.server.connections), MAX_CONNECTIONS)


if __name__ == "__main__":
    unittest.main()
