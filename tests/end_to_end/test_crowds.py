"""Crowds of clients that nobody controls, in the forms that each take another resource.

The node has the lowered limits of `test_pressing_callers`. Nothing that is checked here
depends on the speed of the machine: the process lives, its memory and descriptors stay
below the limits in its settings, and an ordinary request is answered while the crowd is
connected.
"""

import asyncio
import contextlib
import signal
import unittest
from typing import ClassVar

from lavenderway_core.ids import HostId, ServiceId
from lavenderway_dev.relay_config import make_config, make_route
from lavenderway_dev.relay_fleet import RelayFleet, RelayHostPlan
from lavenderway_dev.server_standin import ServerPlan
from lavenderway_relay.hops import HopRequest, encode_hop_request
from lavenderway_relay.messages import Request, encode_request
from lavenderway_relay.pools import ConnectionPool
from lavenderway_relay.revision import Revision

from tests.end_to_end.test_pressing_callers import (
    BODY_BYTES,
    CROWD,
    CROWD_PATIENCE_S,
    DESCRIPTOR_CROWD,
    LONG_ANSWER_BYTES,
    PIECE_BYTES,
    READER_BUFFER_BYTES,
    PressingCallersCase,
    encode_head,
)

SHORT_ANSWER_BYTES = 60_000  # less than the socket buffers of a connection take
FIRST_ANSWER_BYTES = 4_500_000  # more than that
LONG_PATH = b"/long/x"
SHORT_PATH = b"/long/short"
FIRST_PATH = b"/long/first"
PIPELINED = 8
GROUP = 2  # clients that ask at once
QUICK_READERS = 3
QUICK_PAUSE_S = 0.005  # after each piece; some megabytes a second
QUICK_ANSWERS = 4  # that each quick reader takes
REQUESTS = 64  # pipelined on one connection
REQUEST_CROWD = 560
REQUEST_DESCRIPTORS = 2_000
ONE_BYTE_CHUNKS = 4_000_000  # in one body
ORDINARY_REQUESTS = 5
WHOLE_BODY_BYTES = 67_108_864
WHOLE_MEMORY_MB = 200
STOP_PATIENCE_S = 30.0
HOP_REQUEST = HopRequest(
    sender=HostId("node"),
    service=ServiceId("back"),
    caller_service=ServiceId("back"),
    workspace=None,
    position=1.0,
    call=False,
    retry=False,
    idempotent=True,
    target_s=0.5,
    deadline_s=3.0,
    config=1,
    revision=Revision(0, 0),
)


class CrowdCase(PressingCallersCase):
    """Base class: one node, whose server also has short and first answers."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        padding = self.host.server.plan.padding_bytes
        padding[SHORT_PATH.decode()] = SHORT_ANSWER_BYTES
        padding[FIRST_PATH.decode()] = FIRST_ANSWER_BYTES
        self.crowd: list[asyncio.Task[None]] = []

    async def asyncTearDown(self) -> None:
        for task in self.crowd:
            task.cancel()
        await asyncio.gather(*self.crowd, return_exceptions=True)

    async def ask_and_stop(self, number: int, paths: list[bytes]) -> None:
        """Ask for answers on one connection, and read only the begin of the first."""
        client = await self.connect(self.host.callers, buffer_bytes=READER_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        heads = (
            encode_head(number * PIPELINED + index, b"content-length: 0", path=path)
            for index, path in enumerate(paths)
        )
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(CROWD_PATIENCE_S):
                await loop.sock_sendall(client, b"".join(heads))
                await loop.sock_recv(client, 1_000)

    def start_sending(self, fields: bytes, piece: bytes, count: int) -> None:
        """Let the crowd send bodies on and on while the test goes on."""

        async def send(number: int) -> None:
            with contextlib.suppress(OSError):
                await self.send_body(
                    self.host.callers, encode_head(number, fields), [piece] * count
                )

        self.crowd += [asyncio.create_task(send(number)) for number in range(CROWD)]

    async def read_answer(self, number: int, *, pause_s: float) -> int:
        """Ask for a long answer and read it; return the bytes of its body."""
        reader, writer = await asyncio.open_connection(
            *self.host.callers, limit=PIECE_BYTES
        )
        try:
            writer.write(encode_head(number, b"content-length: 0", path=LONG_PATH))
            head = await reader.readuntil(b"\r\n\r\n")
            if not head.startswith(b"HTTP/1.1 200"):
                return -1  # refused, which is allowed
            byte_count = 0
            (length,) = [
                int(line.split(b":")[1])
                for line in head.lower().split(b"\r\n")
                if line.startswith(b"content-length")
            ]
            while byte_count < length:
                piece = await reader.read(PIECE_BYTES)
                if not piece:
                    break
                byte_count += len(piece)
                await asyncio.sleep(pause_s)
            return byte_count
        finally:
            writer.close()


class AnswersOnOneConnection(CrowdCase):
    """Several answers on one connection, of which only the first is begun."""

    async def check_groups(self, paths: list[bytes]) -> None:
        for first in range(0, CROWD, GROUP):
            await asyncio.gather(
                *(
                    self.ask_and_stop(number, paths)
                    for number in range(first, first + GROUP)
                )
            )
            await asyncio.sleep(0.1)
        await self.check_node()

    async def test_long_answer_behind_an_unread_one(self) -> None:
        """A response that is written behind an unread one has to be counted."""
        self.host.server.plan.service_times_s[LONG_PATH.decode()] = 0.1
        await self.check_groups([FIRST_PATH, LONG_PATH])

    async def test_many_short_answers(self) -> None:
        await self.check_groups([SHORT_PATH] * PIPELINED)

    async def test_many_long_answers(self) -> None:
        await self.check_groups([LONG_PATH] * PIPELINED)

    async def test_half_of_a_pair_read(self) -> None:
        """Readers that stop only in the second of two long answers."""
        await self.check_groups([SHORT_PATH, LONG_PATH, FIRST_PATH])


class ManyReaders(CrowdCase):
    """More connections with unread answers than the node has descriptors."""

    async def test_short_answers(self) -> None:
        """No answer takes memory of the process, each takes a connection."""

        async def send(number: int) -> None:
            await self.ask_and_stop(number, [SHORT_PATH])

        await self.press(send, DESCRIPTOR_CROWD)
        await self.check_node()

    async def test_all_kinds(self) -> None:
        piece = b"1\r\na\r\n" * 10_000

        async def send(number: int) -> None:
            if number % 3 == 0:
                await self.ask_and_stop(number, [SHORT_PATH])
            elif number % 3 == 1:
                head = encode_head(number, b"content-length: 100")
                await self.send_body(self.host.callers, head, [b"x" * 99])
            else:
                head = encode_head(number, b"transfer-encoding: chunked")
                await self.send_body(self.host.callers, head, [piece])

        await self.press(send, DESCRIPTOR_CROWD)
        await self.check_node()


class ManyRequests(CrowdCase):
    """Many connections that each pipeline as many requests as one may."""

    max_descriptors = REQUEST_DESCRIPTORS

    async def test_slow_requests(self) -> None:
        """Each request that waits takes memory, however small it is."""
        self.host.server.plan.service_times_s["/back/slow"] = 2.5

        async def send(number: int) -> None:
            client = await self.connect(self.host.callers)
            heads = (
                encode_head(
                    number * REQUESTS + index, b"content-length: 0", path=b"/back/slow"
                )
                for index in range(REQUESTS)
            )
            await asyncio.get_running_loop().sock_sendall(client, b"".join(heads))

        await self.press(send, REQUEST_CROWD)
        await self.check_node()


class QuickReaders(CrowdCase):
    """Clients that read at a good pace, beside a crowd that does not read."""

    async def test_answers_are_whole(self) -> None:
        """A reader that keeps pace is never ended for the sake of others."""

        async def read_answers(number: int) -> list[int]:
            return [
                await self.read_answer(
                    1_000 + number * QUICK_ANSWERS + index, pause_s=QUICK_PAUSE_S
                )
                for index in range(QUICK_ANSWERS)
            ]

        readers = [
            asyncio.create_task(read_answers(number)) for number in range(QUICK_READERS)
        ]
        for number in range(CROWD):
            await self.ask_and_stop(number, [LONG_PATH])
        lengths = await asyncio.gather(*readers)
        cut = [each for answers in lengths for each in answers]
        self.assertEqual([], [each for each in cut if -1 < each < LONG_ANSWER_BYTES])
        await self.check_node()


class EndlessChunks(CrowdCase):
    """Chunked bodies that are sent as quickly as the node reads them."""

    routes: ClassVar = {"back": make_route("/back/", "back", timeout="30000ms")}

    async def check_beside(self, piece: bytes, count: int) -> None:
        self.start_sending(b"transfer-encoding: chunked", piece, count)
        await asyncio.sleep(0.5)
        for _ in range(ORDINARY_REQUESTS):
            self.assertEqual(200, (await self.send_ordinary_request()).status)
        await self.check_node()

    async def test_one_byte_chunks(self) -> None:
        chunks = 10_000
        await self.check_beside(b"1\r\na\r\n" * chunks, ONE_BYTE_CHUNKS // chunks)

    async def test_chunks_with_extensions(self) -> None:
        chunk = b"4;name=value\r\naaaa\r\n"
        await self.check_beside(chunk * 3_000, 100)

    async def test_large_chunks(self) -> None:
        chunk = b"%x\r\n%b\r\n" % (PIECE_BYTES, bytes(PIECE_BYTES))
        await self.check_beside(chunk, BODY_BYTES // PIECE_BYTES)


class CrowdBesideStops(CrowdCase):
    """A crowd of all kinds while the node ends, and after it has started again."""

    async def press_with_all_kinds(self) -> None:
        body = bytes(BODY_BYTES - 1)

        async def send(number: int) -> None:
            if number % 4 == 0:
                await self.ask_and_stop(number, [FIRST_PATH, LONG_PATH])
            elif number % 4 == 1:
                head = encode_head(number, b"content-length: %d" % BODY_BYTES)
                await self.send_body(self.host.callers, head, [body])
            else:
                size = 1 if number % 4 == 2 else PIECE_BYTES
                chunk = b"%x\r\n%b\r\n" % (size, bytes(size))
                head = encode_head(number, b"transfer-encoding: chunked")
                pieces = [chunk * max(1, 60_000 // len(chunk))] * 20
                await self.send_body(self.host.callers, head, pieces)

        await self.press(send, CROWD)

    async def test_stop(self) -> None:
        await self.press_with_all_kinds()
        await self.check_node()
        self.host.signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_PATIENCE_S):
            self.assertEqual(0, await self.host.wait())

    async def test_restart(self) -> None:
        await self.press_with_all_kinds()
        self.host.signal(signal.SIGKILL)
        await self.host.wait()
        await self.host.start_node()
        await self.fleet.wait_until_ready(self.host)
        await self.press_with_all_kinds()
        await self.check_node()


class ShownToOperators(CrowdCase):
    """Who waits and who was ended is on the metrics and in the log."""

    async def read_metrics(self) -> dict[str, float]:
        request = Request(b"GET", b"/metrics", [(b"host", b"x")], b"")
        pool = ConnectionPool(loop=asyncio.get_running_loop(), connect_timeout_s=1.0)
        self.addCleanup(pool.close)
        response = await pool.exchange(self.host.readiness, encode_request(request))
        lines = response.body.decode().splitlines()
        pairs = [line.rpartition(" ") for line in lines if not line.startswith("#")]
        return {name.partition("{")[0]: float(value) for name, _, value in pairs}

    async def test_unread_answers(self) -> None:
        for number in range(CROWD // 2):
            await self.ask_and_stop(number, [LONG_PATH])
        metrics = await self.read_metrics()
        prefix = "lavenderway_"
        for name in ("held_response_bytes", "max_held_bytes", "unread_connections"):
            self.assertGreater(metrics[prefix + name], 0.0, name)
        for name in (
            "requests_waiting",
            "responses_waiting",
            "reads_waiting",
            "requests_pending",
        ):
            self.assertIn(prefix + name, metrics)
        events = [line["event"] for line in self.host.read_log()]
        self.assertIn("clients.waiting", events)
        self.assertIn("connection.pressed", events)
        await self.check_node()


class WholeMessages(unittest.IsolatedAsyncioTestCase):
    """A single message of the largest legal size is served on a small machine."""

    RUN_ALONE = True
    SEPARATE_PROCESSES = True

    async def asyncSetUp(self) -> None:
        server = ServerPlan(
            service="back", slots=8, padding_bytes={"/back/x": WHOLE_BODY_BYTES - 4_096}
        )
        plan = RelayHostPlan(
            name="node", zone="east", server=server, memory_mb=WHOLE_MEMORY_MB
        )
        routes = {"back": make_route("/back/", "back", timeout="30000ms")}
        config = make_config(1, routes)
        config["limits"]["max-body-bytes"] = WHOLE_BODY_BYTES
        self.fleet = RelayFleet([plan], config=config)
        await self.enterAsyncContext(self.fleet)

    async def test_answer(self) -> None:
        response = await self.fleet.send("node", "/back/x", deadline_ms=30_000)
        self.assertEqual(200, response.status)
        self.assertGreater(len(response.body), WHOLE_BODY_BYTES - 4_096)
        peak_mb = self.fleet.hosts["node"].read_peak_memory_mb()
        self.assertLess(peak_mb, WHOLE_MEMORY_MB)

    async def test_body(self) -> None:
        body = bytes(WHOLE_BODY_BYTES)
        response = await self.fleet.send(
            "node", "/back/y", method="POST", body=body, deadline_ms=30_000
        )
        self.assertEqual(200, response.status)
        peak_mb = self.fleet.hosts["node"].read_peak_memory_mb()
        self.assertLess(peak_mb, WHOLE_MEMORY_MB)


class AnswersOfAnotherNode(CrowdCase):
    """Long answers that another node asks for and hardly reads."""

    async def test_unread_answers(self) -> None:
        for number in range(CROWD):
            client = await self.connect(
                self.host.peers, buffer_bytes=READER_BUFFER_BYTES
            )
            hop = encode_hop_request(HOP_REQUEST)
            fields = b"content-length: 0\r\nlavenderway-hop: %b" % hop
            head = encode_head(number, fields, path=LONG_PATH)
            loop = asyncio.get_running_loop()
            with contextlib.suppress(TimeoutError, OSError):
                async with asyncio.timeout(CROWD_PATIENCE_S):
                    await loop.sock_sendall(client, head * GROUP)
                    await loop.sock_recv(client, 1_000)
        await self.check_node()


if __name__ == "__main__":
    unittest.main()
