"""Tests of links: mutual authentication and rejection of invalid messages."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from lavenderway_core.ids import HostId, Incarnation, Revision
from lavenderway_core.messages import AppliedReport
from lavenderway_node.frames import Hello
from lavenderway_node.link import HANDSHAKE_TIMEOUT_S, Identity, Link

SECRET = b"f" * 32
OTHER_SECRET = b"g" * 32


class RecordingOwner:
    """Records the events of a link."""

    def __init__(self) -> None:
        self.authenticated: list[Link] = []
        self.messages: list[tuple[Any, ...]] = []
        self.closed = asyncio.Event()
        self.problems: list[str] = []

    def link_authenticated(self, link: Link) -> None:
        """Record an authentication."""
        self.authenticated.append(link)

    def link_message(self, link: Link, message: tuple[Any, ...]) -> None:
        """Record a message."""
        self.messages.append(message)

    def link_closed(self, link: Link) -> None:
        """Record the end of the connection."""
        self.closed.set()

    def link_rejected(self, link: Link, problem: str) -> None:
        """Record a rejection."""
        self.problems.append(problem)


class UnauthenticatedSenderLink(Link):
    """Sends a control message in place of its proof."""

    def _handle_hello(self, hello: Hello) -> None:
        self.send(AppliedReport(Revision(1)))


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Both ends of a link, connected over the loopback interface."""

    link_type = Link

    async def asyncSetUp(self) -> None:
        """Start a listener that accepts one secret."""
        self.server_owner = RecordingOwner()
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.accepted: list[Link] = []

    async def asyncTearDown(self) -> None:
        """Close the listener and the accepted links."""
        self.server.close()
        for link in self.accepted:
            link.close()

    def accept(self) -> Link:
        """Create the accepting end."""
        identity = Identity(HostId("server"), Incarnation(1), (SECRET,))
        link = Link(identity=identity, owner=self.server_owner, is_initiator=False)
        self.accepted.append(link)
        return link

    async def connect_link(
        self, *secrets: bytes, expected_host: str | None = "server"
    ) -> tuple[Link, RecordingOwner]:
        """Create and connect the initiating end; return it with its owner."""
        owner = RecordingOwner()
        identity = Identity(HostId("client"), Incarnation(2), secrets)
        link = self.link_type(
            identity=identity,
            owner=owner,
            is_initiator=True,
            expected_host=None if expected_host is None else HostId(expected_host),
        )
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: link, "127.0.0.1", self.port)
        return link, owner

    async def wait_for_handshake(self, owner: RecordingOwner) -> None:
        """Wait until both ends are authenticated or the connection has closed."""
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S * 3):
            while not owner.closed.is_set() and not (
                owner.authenticated and self.server_owner.authenticated
            ):
                await asyncio.sleep(0.005)

    async def test_both_ends_authenticate(self) -> None:
        link, owner = await self.connect_link(SECRET)
        await self.wait_for_handshake(owner)
        self.assertEqual(["server"], [each.peer for each in owner.authenticated])
        self.assertEqual(["client"], [e.peer for e in self.server_owner.authenticated])
        link.close()

    async def test_additional_secret_does_not_prevent_authentication(self) -> None:
        link, owner = await self.connect_link(SECRET, OTHER_SECRET)
        await self.wait_for_handshake(owner)
        self.assertTrue(owner.authenticated)
        link.close()

    async def test_wrong_secret_is_rejected(self) -> None:
        _, owner = await self.connect_link(OTHER_SECRET)
        await self.wait_for_handshake(owner)
        self.assertEqual([], self.server_owner.authenticated + owner.authenticated)
        self.assertIn(
            "proof does not match any fleet secret",
            owner.problems + self.server_owner.problems,
        )

    async def test_unexpected_host_is_rejected(self) -> None:
        _, owner = await self.connect_link(SECRET, expected_host="another")
        await self.wait_for_handshake(owner)
        self.assertEqual([], owner.authenticated)

    async def test_message_before_authentication_is_rejected(self) -> None:
        self.link_type = UnauthenticatedSenderLink
        _, owner = await self.connect_link(SECRET)
        await self.wait_for_handshake(owner)
        self.assertEqual([], self.server_owner.messages)
        self.assertEqual(
            ["message received before authentication"], self.server_owner.problems
        )

    async def test_malformed_message_closes_only_its_link(self) -> None:
        link, owner = await self.connect_link(SECRET)
        await self.wait_for_handshake(owner)
        link._websocket.send_binary(b"\xff\x00rubbish")
        link._flush()
        await asyncio.wait_for(owner.closed.wait(), 5)
        self.assertEqual(1, len(self.server_owner.problems))
        again, second = await self.connect_link(SECRET)
        await self.wait_for_handshake(second)
        self.assertTrue(second.authenticated)
        again.close()

    async def test_silent_peer_is_rejected_after_the_timeout(self) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.wait_for(self.server_owner.closed.wait(), HANDSHAKE_TIMEOUT_S * 3)
        self.assertEqual(
            ["peer did not authenticate in time"], self.server_owner.problems
        )
        writer.close()

    async def test_plain_http_client_is_rejected(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.wait_for(reader.read(), HANDSHAKE_TIMEOUT_S * 3)
        self.assertEqual([], self.server_owner.authenticated)
        writer.close()

    async def test_unsupported_version_is_rejected(self) -> None:
        hello = Hello(99, HostId("x"), Incarnation(1), b"n" * 16)
        owner = RecordingOwner()
        identity = Identity(HostId("y"), Incarnation(1), (SECRET,))
        link = Link(identity=identity, owner=owner, is_initiator=False)
        link._handle_hello(hello)
        self.assertEqual(["unsupported protocol version 99"], owner.problems)
