"""Tests of links: both ends prove themselves, and bad messages end the link."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from lavenderway_core.ids import HostId, Incarnation, Revision
from lavenderway_core.messages import AppliedReport
from lavenderway_node.frames import Hello
from lavenderway_node.link import HANDSHAKE_TIMEOUT_S, Identity, Link

SECRET = b"f" * 32
OTHER = b"g" * 32


class Owner:
    """Records what a link reports."""

    def __init__(self) -> None:
        self.proved: list[Link] = []
        self.messages: list[tuple[Any, ...]] = []
        self.closed = asyncio.Event()
        self.problems: list[str] = []

    def link_proved(self, link: Link) -> None:
        """Record a proof."""
        self.proved.append(link)

    def link_message(self, link: Link, message: tuple[Any, ...]) -> None:
        """Record a message."""
        self.messages.append(message)

    def link_closed(self, link: Link) -> None:
        """Record the end."""
        self.closed.set()

    def link_rejected(self, link: Link, problem: str) -> None:
        """Record a rejection."""
        self.problems.append(problem)


class HastyLink(Link):
    """Sends a control message where its proof is due."""

    def _take_hello(self, hello: Hello) -> None:
        self.send(AppliedReport(Revision(1)))


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Two ends on loopback."""

    link_type = Link

    async def asyncSetUp(self) -> None:
        """Listen with one secret."""
        self.server_owner = Owner()
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.accepted: list[Link] = []

    async def asyncTearDown(self) -> None:
        """Close the listener."""
        self.server.close()
        for link in self.accepted:
            link.close()

    def accept(self) -> Link:
        """Return the accepting end."""
        identity = Identity(HostId("server"), Incarnation(1), (SECRET,))
        link = Link(identity=identity, owner=self.server_owner, dials=False)
        self.accepted.append(link)
        return link

    async def dial(
        self, *secrets: bytes, expected: str | None = "server"
    ) -> tuple[Link, Owner]:
        """Return the dialling end and its owner."""
        owner = Owner()
        identity = Identity(HostId("client"), Incarnation(2), secrets)
        link = self.link_type(
            identity=identity,
            owner=owner,
            dials=True,
            expected=None if expected is None else HostId(expected),
        )
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: link, "127.0.0.1", self.port)
        return link, owner

    async def settle(self, owner: Owner) -> None:
        """Wait until both ends are proved or one has closed."""
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S * 3):
            while not owner.closed.is_set() and not (
                owner.proved and self.server_owner.proved
            ):
                await asyncio.sleep(0.005)

    async def test_both_ends_are_proved(self) -> None:
        link, owner = await self.dial(SECRET)
        await self.settle(owner)
        self.assertEqual(["server"], [each.peer for each in owner.proved])
        self.assertEqual(["client"], [e.peer for e in self.server_owner.proved])
        link.close()

    async def test_rotation(self) -> None:
        link, owner = await self.dial(SECRET, OTHER)
        await self.settle(owner)
        self.assertTrue(owner.proved)
        link.close()

    async def test_wrong_secret(self) -> None:
        _, owner = await self.dial(OTHER)
        await self.settle(owner)
        self.assertEqual([], self.server_owner.proved + owner.proved)
        self.assertIn("wrong proof", owner.problems + self.server_owner.problems)

    async def test_unexpected_host(self) -> None:
        _, owner = await self.dial(SECRET, expected="another")
        await self.settle(owner)
        self.assertEqual([], owner.proved)

    async def test_message_before_the_proof(self) -> None:
        self.link_type = HastyLink
        _, owner = await self.dial(SECRET)
        await self.settle(owner)
        self.assertEqual([], self.server_owner.messages)
        self.assertEqual(["message before the proof"], self.server_owner.problems)

    async def test_malformed_message_ends_only_the_link(self) -> None:
        link, owner = await self.dial(SECRET)
        await self.settle(owner)
        link._websocket.send_binary(b"\xff\x00rubbish")
        link._flush()
        await asyncio.wait_for(owner.closed.wait(), 5)
        self.assertEqual(1, len(self.server_owner.problems))
        again, second = await self.dial(SECRET)
        await self.settle(second)
        self.assertTrue(second.proved)
        again.close()

    async def test_peer_that_says_nothing_is_dropped(self) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.wait_for(self.server_owner.closed.wait(), HANDSHAKE_TIMEOUT_S * 3)
        self.assertEqual(["no proof in time"], self.server_owner.problems)
        writer.close()

    async def test_plain_http_peer_is_dropped(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.wait_for(reader.read(), HANDSHAKE_TIMEOUT_S * 3)
        self.assertEqual([], self.server_owner.proved)
        writer.close()

    async def test_version(self) -> None:
        hello = Hello(99, HostId("x"), Incarnation(1), b"n" * 16)
        owner = Owner()
        identity = Identity(HostId("y"), Incarnation(1), (SECRET,))
        link = Link(identity=identity, owner=owner, dials=False)
        link._take_hello(hello)
        self.assertEqual(["protocol version 99"], owner.problems)
