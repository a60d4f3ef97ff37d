"""Tests of upstreams that begin to work before they read the body of a request."""

import asyncio
import socket
import unittest

from lavenderway_dev.relay_config import make_config, make_route
from lavenderway_dev.relay_fleet import RelayFleet, RelayHostPlan
from lavenderway_dev.server_standin import ServerPlan
from lavenderway_relay.model import Address

BODY_BYTES = 8_000_000  # more than the socket buffers of the connection take
BUFFER_BYTES = 65_536
LATE_S = 1.5


class LateReader:
    """Reads the head of a request, and its body some time later."""

    def __init__(self, name: str) -> None:
        self._name = name

    async def start(self, address: Address) -> asyncio.Server:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        listener.bind(address)
        return await asyncio.start_server(
            self._serve, sock=listener, limit=BUFFER_BYTES
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        (attempt,) = [
            line.partition(b":")[2].strip()
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"lavenderway-attempt-id:")
        ]
        await asyncio.sleep(LATE_S)
        await reader.readexactly(BODY_BYTES)
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n"
            b"lavenderway-attempt-id: %b\r\n"
            b"lavenderway-server-signature: %b\r\n\r\ndone"
            % (attempt, self._name.encode())
        )
        await writer.drain()
        writer.close()


class LateReaders(unittest.IsolatedAsyncioTestCase):
    """A sound upstream that reads late is given until the deadline."""

    async def test_order_is_answered_by_its_upstream(self) -> None:
        server = ServerPlan(service="back")
        route = make_route("/back/", "back", kind="unsafe", timeout="20000ms")
        config = make_config(1, {"back": route})
        config["limits"]["max-body-bytes"] = BODY_BYTES
        plan = RelayHostPlan(name="node", zone="east", server=server)
        async with RelayFleet([plan], config=config) as fleet:
            upstream = fleet.hosts["node"].server
            await upstream.replace_listener(LateReader(upstream.name))
            response = await fleet.send(
                "node",
                "/back/x",
                method="POST",
                body=bytes(BODY_BYTES),
                deadline_ms=20_000,
            )
            self.assertEqual((200, b"done"), (response.status, response.body))


if __name__ == "__main__":
    unittest.main()
