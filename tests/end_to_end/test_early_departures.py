"""Tests of upstreams that leave before their node knows them."""

import asyncio
import signal
import unittest

from tests.end_to_end.test_relay_fleet import RelayFleetCase

PATIENCE_S = 15.0


class EarlyDepartures(RelayFleetCase):
    """A departure is acknowledged once it is stored, not earlier."""

    async def test_departure_before_the_stored_record_is_read(self) -> None:
        """A node that has just started does not know what to store yet."""
        host = self.fleet.hosts["back1"]
        leaving = self.servers["back1"]
        leaving.stop_heartbeats()
        host.faults.refuse_with = 503
        host.signal(signal.SIGKILL)
        await host.wait()
        await host.start_node()
        async with asyncio.timeout(PATIENCE_S):
            while (status := await leaving.deregister()) == 0:
                await asyncio.sleep(0.05)
        self.assertEqual(503, status)
        host.faults.refuse_with = 0
        async with asyncio.timeout(PATIENCE_S):
            while await leaving.deregister() != 200:
                await asyncio.sleep(0.05)
        host.signal(signal.SIGKILL)
        await host.wait()
        await host.start_node()
        await self.fleet.wait_until_ready(host)
        before = len(leaving.runs)
        self.assertEqual({200}, set(await self.send_many(40)))
        self.assertEqual(before, len(leaving.runs))


if __name__ == "__main__":
    unittest.main()
