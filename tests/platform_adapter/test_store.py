"""Tests of the metadata store client against scripted responses."""

import asyncio
import unittest

import orjson
from lavenderway_dev.endless_server import EndlessServer
from lavenderway_dev.store_standin import allocate_port
from lavenderway_platform.store import CALL_TIMEOUT_S, PlatformStore
from lavenderway_relay.messages import Request, Response
from lavenderway_relay.model import Address
from lavenderway_relay.refusals import refuse_malformed_input
from lavenderway_relay.revision import Revision
from lavenderway_relay.server import HttpServer
from lavenderway_relay.store import (
    ConflictError,
    HistoryLostError,
    OutcomeUnknownError,
)

ENDLESS_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
VALID_ROW = {"table": "t", "part": "", "key": "good", "ver": 3, "value": "Z29vZA=="}


class ScriptedResponseCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests with scripted responses."""

    async def open_store(self, *responses: Response) -> PlatformStore:
        """Return a client of a store that gives these responses in turn."""
        remaining = list(responses)

        async def serve(_: Request) -> Response:
            return remaining.pop(0)

        loop = asyncio.get_running_loop()
        address = Address("127.0.0.1", allocate_port())
        server = HttpServer(loop=loop, serve=serve, refuse=refuse_malformed_input)
        await server.listen(address)
        self.addCleanup(server.close)
        return PlatformStore(address=address, loop=loop)


class UndecodableRows(ScriptedResponseCase):
    """A row that cannot be decoded must not hide the other rows of a response.

    Other writers share the store, so a response may hold rows in any format.
    """

    async def follow_once(self, body: object) -> tuple[list[str], list[str]]:
        """Return the row keys and the findings of one response with this body."""
        store = await self.open_store(Response(200, [], orjson.dumps(body)))
        snapshot = await store.follow("t", 1, 0.1)
        return [row.key for row in snapshot.rows], snapshot.errors

    async def test_valid_row_is_returned(self) -> None:
        self.assertEqual(
            (["good"], []), await self.follow_once({"rows": [VALID_ROW], "ver": 3})
        )

    async def test_invalid_row_is_skipped_and_reported(self) -> None:
        invalid_rows: tuple[object, ...] = (
            None,
            [],
            {},
            {**VALID_ROW, "key": None},
            {**VALID_ROW, "ver": "x"},
            {**VALID_ROW, "value": "a"},
            {**VALID_ROW, "value": 7},
        )
        for row in invalid_rows:
            with self.subTest(row=row):
                keys, errors = await self.follow_once(
                    {"rows": [row, VALID_ROW], "ver": 3}
                )
                self.assertEqual(["good"], keys)
                self.assertEqual(1, len(errors))

    async def test_malformed_response_is_an_unknown_outcome(self) -> None:
        bodies: tuple[object, ...] = (
            {"rows": 5, "ver": 3},
            {"rows": [VALID_ROW]},
            [],
            {"ver": True},
        )
        for body in bodies:
            with self.subTest(body=body), self.assertRaises(OutcomeUnknownError):
                await self.follow_once(body)


def make_response(
    era: bytes | None, *, status: int = 200, more: bool = False
) -> Response:
    headers = [] if era is None else [(b"store-era", era)]
    body = {"rows": [VALID_ROW], "ver": 3, "has-more": more}
    return Response(status, headers, orjson.dumps(body))


class StoreEras(ScriptedResponseCase):
    """Versions are qualified by the era that the response states."""

    async def test_era_of_each_call(self) -> None:
        for era, number in ((None, 0), (b"0", 0), (b"4", 4)):
            with self.subTest(era=era):
                response = make_response(era)
                store = await self.open_store(response, response, response)
                expected = Revision(number, 3)
                self.assertEqual(expected, (await store.read_table("t")).revision)
                snapshot = await store.follow("t", 1, 0.1)
                self.assertEqual(expected, snapshot.revision)
                self.assertEqual(expected, await store.write("t", "good", b"", 1))

    async def test_conflict_tells_the_era(self) -> None:
        store = await self.open_store(make_response(b"2", status=412))
        with self.assertRaises(ConflictError) as raised:
            await store.write("t", "good", b"", 9)
        row = raised.exception.row
        assert row is not None
        self.assertEqual((2, 3), (raised.exception.era, row.version))

    async def test_malformed_era_is_an_unknown_outcome(self) -> None:
        for era in (b"x", b"-1", b"1.5"):
            with self.subTest(era=era), self.assertRaises(OutcomeUnknownError):
                store = await self.open_store(make_response(era))
                await store.follow("t", 1, 0.1)

    async def test_pages_of_two_eras_are_no_snapshot(self) -> None:
        pages = make_response(b"1", more=True), make_response(b"2")
        store = await self.open_store(*pages)
        with self.assertRaises(HistoryLostError):
            await store.read_table("t")

    async def test_pages_of_one_era(self) -> None:
        pages = make_response(b"1", more=True), make_response(b"1")
        snapshot = await (await self.open_store(*pages)).read_table("t")
        self.assertTrue(snapshot.complete)
        self.assertEqual(2, len(snapshot.rows))


class EndlessStore(unittest.IsolatedAsyncioTestCase):
    """A store that sends without end holds a call no longer than its timeout."""

    async def read_from(self, server: EndlessServer) -> float:
        """Read a table from a faulty store; return how long the failure took."""
        loop = asyncio.get_running_loop()
        address = Address("127.0.0.1", allocate_port())
        listener = await server.start(address)
        self.addCleanup(listener.close)
        started = loop.time()
        with self.assertRaises(OutcomeUnknownError):
            await PlatformStore(address=address, loop=loop).read_table("t")
        elapsed_s = loop.time() - started
        async with asyncio.timeout(1.0):
            while server.closed < server.connections:
                await asyncio.sleep(0.01)
        return elapsed_s

    async def test_endless_body_is_cut_off(self) -> None:
        server = EndlessServer(prefix=ENDLESS_HEAD, piece=b" " * 65_536)
        self.assertLess(await self.read_from(server), 1.0)
        self.assertLess(server.sent_bytes, 16_000_000)

    async def test_trickled_body_ends_with_the_timeout(self) -> None:
        server = EndlessServer(prefix=ENDLESS_HEAD, piece=b" ", interval_s=0.05)
        self.assertLess(await self.read_from(server), CALL_TIMEOUT_S + 0.5)
