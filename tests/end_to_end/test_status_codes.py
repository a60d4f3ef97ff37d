"""Tests of upstreams whose responses have a status that HTTP does not define."""

from __future__ import annotations

import asyncio
import unittest

from lavenderway_dev.endless_server import EndlessServer
from lavenderway_dev.relay_config import make_config, make_route
from lavenderway_dev.relay_fleet import RelayFleet, RelayHostPlan
from lavenderway_dev.server_standin import ServerPlan
from lavenderway_dev.store_standin import allocate_port
from lavenderway_relay.messages import Request, Response, encode_request
from lavenderway_relay.model import Address
from lavenderway_relay.pools import ConnectionBrokenError, ConnectionPool

from tests.end_to_end.support import FleetTestCase

INVALID_STATUSES = ("000", "001", "099", "600", "999")
VALID_STATUSES = ("200", "299", "404", "599")
TIMEOUT_S = 10.0


class InvalidStatuses(FleetTestCase):
    """An answer with an invalid status is not passed on; the outcome is unknown."""

    def test_invalid_status_reaches_no_caller(self) -> None:
        for status in INVALID_STATUSES:
            for host in ("sk-1", "rg-1"):
                with self.subTest(status=status, host=host):
                    response = self.call("POST", host, f"/certify/status-{status}")
                    self.assert_refused(response, 503, "unknown")

    def test_valid_status_is_passed_on(self) -> None:
        for status in VALID_STATUSES:
            with self.subTest(status=status):
                response = self.call("POST", "sk-1", f"/certify/status-{status}")
                self.assertEqual(int(status), response.status)


class StatusesOfAServer(unittest.IsolatedAsyncioTestCase):
    """A client connection breaks at an invalid status, and does not wait."""

    async def exchange(self, status: str) -> Response:
        head = f"HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\nno"
        server = EndlessServer(prefix=head.encode(), piece=b"")
        address = Address("127.0.0.1", allocate_port())
        listener = await server.start(address)
        self.addCleanup(listener.close)
        pool = ConnectionPool(loop=asyncio.get_running_loop(), connect_timeout_s=1.0)
        self.addCleanup(pool.close)
        request = encode_request(Request(b"GET", b"/", [(b"host", b"a")], b""))
        async with asyncio.timeout(TIMEOUT_S):
            return await pool.exchange(address, request)

    async def test_invalid_status(self) -> None:
        for status in INVALID_STATUSES:
            with (
                self.subTest(status=status),
                self.assertRaisesRegex(ConnectionBrokenError, "from 100 to 599"),
            ):
                await self.exchange(status)

    async def test_valid_status(self) -> None:
        for status in VALID_STATUSES:
            self.assertEqual(int(status), (await self.exchange(status)).status)


class StatusesOnThePlatform(unittest.IsolatedAsyncioTestCase):
    """The node beside the upstream answers 502 in place of an invalid status."""

    async def test_invalid_status(self) -> None:
        server = ServerPlan(service="back")
        config = make_config(1, {"back": make_route("/back/", "back")})
        plan = RelayHostPlan(name="node", zone="east", server=server)
        async with RelayFleet([plan], config=config) as fleet:
            for status in (600, 999):
                with self.subTest(status=status):
                    fleet.hosts["node"].server.error_status = status
                    response = await fleet.send("node", "/back/x", method="POST")
                    self.assertEqual(502, response.status)


if __name__ == "__main__":
    unittest.main()
