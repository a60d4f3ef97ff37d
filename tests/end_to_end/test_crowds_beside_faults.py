"""Crowds of clients beside a cut of the store, and at the entry of another node."""

import asyncio
import signal
import unittest

from lavenderway_dev.relay_config import make_config
from lavenderway_dev.relay_fleet import RelayFleet, RelayHostPlan
from lavenderway_dev.server_standin import ServerPlan

from tests.end_to_end import test_crowds
from tests.end_to_end.test_crowds import FIRST_PATH, GROUP, LONG_PATH
from tests.end_to_end.test_pressing_callers import (
    BODY_BYTES,
    CROWD,
    LONG_ANSWER_BYTES,
    MAX_BODY_BYTES,
    MEMORY_MB,
    ROUTES,
    encode_head,
)


class CutStore(test_crowds.CrowdBesideStops):
    """The store refuses all calls of the node while the crowd is there."""

    async def test_stop(self) -> None:
        self.host.faults.refuse_with = 503
        await super().test_stop()

    async def test_restart(self) -> None:
        self.host.faults.refuse_with = 503
        await self.press_with_all_kinds()
        await self.check_node()
        self.host.faults.refuse_with = 0
        await super().test_restart()


class EntryOfAnotherNode(test_crowds.CrowdBesideStops):
    """The crowd is at a node whose host has no upstream for it."""

    node = "near"

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.near = self.fleet.hosts["near"]
        self.far = self.fleet.hosts["far"]

    async def start_fleet(self) -> None:
        padding = {
            LONG_PATH.decode(): LONG_ANSWER_BYTES,
            FIRST_PATH.decode(): LONG_ANSWER_BYTES // 2,
        }
        plans = [
            RelayHostPlan(
                name=name,
                zone=zone,
                server=ServerPlan(service=service, slots=64, padding_bytes=padding),
                memory_mb=MEMORY_MB,
                max_descriptors=self.max_descriptors,
            )
            for name, zone, service in (
                ("near", "east", "front"),
                ("far", "west", "back"),
            )
        ]
        config = make_config(1, ROUTES)
        config["limits"]["max-body-bytes"] = MAX_BODY_BYTES
        self.fleet = RelayFleet(plans, config=config)
        await self.enterAsyncContext(self.fleet)

    async def check_both(self) -> None:
        await self.check_node()
        self.assertLess(self.far.read_peak_memory_mb(), MEMORY_MB)

    async def test_unread_answers(self) -> None:
        for first in range(0, CROWD, GROUP):
            await asyncio.gather(
                *(
                    self.ask_and_stop(number, [FIRST_PATH, LONG_PATH])
                    for number in range(first, first + GROUP)
                )
            )
        await self.check_both()

    async def test_large_bodies(self) -> None:
        body = bytes(BODY_BYTES)

        async def send(number: int) -> None:
            head = encode_head(number, b"content-length: %d" % BODY_BYTES)
            await self.send_body(self.near.callers, head, [body])

        await self.press(send, CROWD)
        await self.check_both()

    async def test_restart(self) -> None:
        """The node beside the upstream is killed while the crowd waits for it."""
        crowd = asyncio.create_task(self.press_with_all_kinds())
        await asyncio.sleep(0.5)
        self.far.signal(signal.SIGKILL)
        await self.far.wait()
        await self.far.start_node()
        await self.fleet.wait_until_ready(self.far)
        await crowd
        await self.check_both()


if __name__ == "__main__":
    unittest.main()
