"""Crowds of callers that keep to no limits, against node processes.

Each test checks what does not depend on the speed of the machine: the process lives,
its memory and descriptors stay below the limits in its settings, and an ordinary
request is answered while the crowd is still connected.
"""

import asyncio
import contextlib
import socket
import unittest
from collections.abc import Awaitable, Callable
from typing import ClassVar

from lavenderway_dev.relay_config import make_config, make_route
from lavenderway_dev.relay_fleet import RelayFleet, RelayHost, RelayHostPlan
from lavenderway_dev.server_standin import ServerPlan
from lavenderway_relay.messages import Response
from lavenderway_relay.model import Address
from lavenderway_relay.pools import ConnectError, ConnectionBrokenError

MEMORY_MB = 96
MAX_DESCRIPTORS = 300
MAX_BODY_BYTES = 16_000_000
CROWD = 40
BODY_BYTES = 8_000_000
PIECE_BYTES = 65_536
TINY_CHUNKS = 80_000  # of two bytes each, in one body
LONG_ANSWER_BYTES = 8_000_000
READER_BUFFER_BYTES = 4_096
DESCRIPTOR_CROWD = 340  # connections, more than the limit on descriptors
# Bounds how long a test waits for a crowd that the node no longer reads, and for an
# answer to the ordinary request.
CROWD_PATIENCE_S = 8.0
ORDINARY_PATIENCE_S = 30.0

ROUTES = {
    "back": make_route("/back/", "back", timeout="3000ms"),
    "long": make_route("/long/", "back", timeout="3000ms"),
}


def encode_head(number: int, fields: bytes, *, path: bytes = b"/back/x") -> bytes:
    return (
        b"POST %b HTTP/1.1\r\nhost: app.example\r\n"
        b"lavenderway-attempt-id: c%015x\r\n"
        b"lavenderway-deadline-ms: 3000\r\n%b\r\n\r\n" % (path, number, fields)
    )


class PressingCallersCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests that each send one crowd to one node."""

    RUN_ALONE = True
    SEPARATE_PROCESSES = True
    routes: ClassVar = ROUTES
    max_descriptors = MAX_DESCRIPTORS  # in the settings of the node, and checked
    node = "node"  # at which the crowd is

    async def asyncSetUp(self) -> None:
        await self.start_fleet()
        self.host: RelayHost = self.fleet.hosts[self.node]
        self.sockets: list[socket.socket] = []
        self.addCleanup(self.close_sockets)
        self.most_descriptors = 0

    async def start_fleet(self) -> None:
        """Start one node with its upstream."""
        server = ServerPlan(
            service="back", slots=64, padding_bytes={"/long/x": LONG_ANSWER_BYTES}
        )
        plan = RelayHostPlan(
            name="node",
            zone="east",
            server=server,
            memory_mb=MEMORY_MB,
            max_descriptors=self.max_descriptors,
        )
        config = make_config(1, self.routes)
        config["limits"]["max-body-bytes"] = MAX_BODY_BYTES
        self.fleet = RelayFleet([plan], config=config)
        await self.enterAsyncContext(self.fleet)

    def close_sockets(self) -> None:
        for client in self.sockets:
            client.close()

    async def connect(
        self, address: Address, *, buffer_bytes: int = 0
    ) -> socket.socket:
        """Open one connection of the crowd, which stays open."""
        client = socket.socket()
        self.sockets.append(client)
        if buffer_bytes:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        client.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client, address)
        return client

    async def press(self, send: Callable[[int], Awaitable[None]], count: int) -> None:
        """Let callers send at once, for as long as the node reads."""

        async def try_to_send(number: int) -> None:
            with contextlib.suppress(OSError):
                await send(number)

        tasks = [asyncio.create_task(try_to_send(each)) for each in range(count)]
        _, pending = await asyncio.wait(tasks, timeout=CROWD_PATIENCE_S)
        for task in pending:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def send_body(
        self,
        address: Address,
        head: bytes,
        pieces: list[bytes],
        *,
        buffer_bytes: int = 0,
    ) -> None:
        """Send a head and the pieces of a body; the connection stays open."""
        client = await self.connect(address, buffer_bytes=buffer_bytes)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(client, head)
        for piece in pieces:
            await loop.sock_sendall(client, piece)
            await asyncio.sleep(0)

    async def send_ordinary_request(self) -> Response:
        """Send small requests until one is answered by the upstream."""
        async with asyncio.timeout(ORDINARY_PATIENCE_S):
            while True:
                with contextlib.suppress(ConnectError, ConnectionBrokenError):
                    response = await self.fleet.send(
                        self.node, "/back/x", body=b"hello"
                    )
                    if response.status == 200:
                        return response
                await asyncio.sleep(0.1)

    async def check_node(self) -> None:
        """Check the node while the crowd is connected."""
        assert self.host.process is not None
        peak_mb = self.host.read_peak_memory_mb()
        self.assertLess(self.host.count_descriptors(), self.max_descriptors)
        self.assertEqual(200, (await self.send_ordinary_request()).status)
        self.assertIsNone(self.host.process.returncode)
        self.assertLess(peak_mb, MEMORY_MB)
        self.assertLess(self.host.read_peak_memory_mb(), MEMORY_MB)


class LargeBodies(PressingCallersCase):
    """Many bodies of legal size, of which most stop just short of their end."""

    def head(self, number: int) -> bytes:
        return encode_head(number, b"content-length: %d" % BODY_BYTES)

    async def test_bodies_sent_whole(self) -> None:
        body = bytes(BODY_BYTES - 1)
        await self.press(
            lambda number: self.send_body(self.host.callers, self.head(number), [body]),
            CROWD,
        )
        await self.check_node()

    async def test_bodies_sent_in_pieces(self) -> None:
        pieces = [bytes(PIECE_BYTES)] * (BODY_BYTES // PIECE_BYTES)
        await self.press(
            lambda number: self.send_body(self.host.callers, self.head(number), pieces),
            CROWD,
        )
        await self.check_node()

    async def test_bodies_that_end(self) -> None:
        """Complete bodies are held until their upstreams have answered."""
        self.host.server.plan.service_time_s = 1.0
        body = bytes(BODY_BYTES)
        await self.press(
            lambda number: self.send_body(self.host.callers, self.head(number), [body]),
            CROWD,
        )
        self.host.server.plan.service_time_s = 0.005
        await self.check_node()

    async def test_bodies_of_another_node(self) -> None:
        """A peer's hop that stops short of its end."""
        body = bytes(BODY_BYTES - 1)
        await self.press(
            lambda number: self.send_body(self.host.peers, self.head(number), [body]),
            CROWD,
        )
        await self.check_node()


class ChunkedBodies(PressingCallersCase):
    """Many chunked bodies, of which most stop just short of their end."""

    def head(self, number: int) -> bytes:
        return encode_head(number, b"transfer-encoding: chunked")

    async def test_large_chunks(self) -> None:
        chunk = b"%x\r\n%b\r\n" % (PIECE_BYTES, bytes(PIECE_BYTES))
        chunks = [chunk] * (BODY_BYTES // PIECE_BYTES)
        await self.press(
            lambda number: self.send_body(self.host.callers, self.head(number), chunks),
            CROWD,
        )
        await self.check_node()

    async def test_tiny_chunks(self) -> None:
        chunks = [b"2\r\naa\r\n" * 2_000] * (TINY_CHUNKS // 2_000)
        await self.press(
            lambda number: self.send_body(self.host.callers, self.head(number), chunks),
            CROWD,
        )
        await self.check_node()


class SlowReaders(PressingCallersCase):
    """Long answers that many callers hardly read."""

    async def read_head(self, number: int) -> None:
        """Ask for a long answer and read only its begin."""
        client = await self.connect(self.host.callers, buffer_bytes=READER_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        head = encode_head(number, b"content-length: 0", path=b"/long/x")
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(CROWD_PATIENCE_S):
                await loop.sock_sendall(client, head)
                await loop.sock_recv(client, 1_000)

    async def test_long_answers(self) -> None:
        for number in range(CROWD):
            await self.read_head(number)
        await self.check_node()

    async def test_long_answers_and_large_bodies(self) -> None:
        """All kinds of callers at once."""
        body = bytes(BODY_BYTES - 1)
        chunks = [b"2\r\naa\r\n" * 2_000] * (TINY_CHUNKS // 2_000)
        callers = self.host.callers

        async def send(number: int) -> None:
            if number % 3 == 0:
                await self.read_head(number)
            elif number % 3 == 1:
                fields = b"content-length: %d" % BODY_BYTES
                await self.send_body(callers, encode_head(number, fields), [body])
            else:
                fields = b"transfer-encoding: chunked"
                await self.send_body(callers, encode_head(number, fields), chunks)

        await self.press(send, CROWD)
        await self.check_node()


class ManyConnections(PressingCallersCase):
    """More connections with an unfinished request than the node has descriptors."""

    async def test_unfinished_bodies(self) -> None:
        async def send(number: int) -> None:
            head = encode_head(number, b"content-length: 100")
            await self.send_body(self.host.callers, head, [b"x" * 99])

        await self.press(send, DESCRIPTOR_CROWD)
        await self.check_node()


class SingleRequests(PressingCallersCase):
    """A single large request or answer inside the limits is served in calm."""

    async def test_large_body(self) -> None:
        body = b"x" * MAX_BODY_BYTES
        response = await self.fleet.send("node", "/back/x", method="POST", body=body)
        self.assertEqual(200, response.status)
        self.assertEqual(MAX_BODY_BYTES, len(self.host.server.runs[-1].body))

    async def test_long_answer(self) -> None:
        response = await self.fleet.send("node", "/long/x", method="POST")
        self.assertEqual(200, response.status)
        self.assertGreater(len(response.body), LONG_ANSWER_BYTES)
        self.assertLess(self.host.read_peak_memory_mb(), MEMORY_MB)


if __name__ == "__main__":
    unittest.main()
