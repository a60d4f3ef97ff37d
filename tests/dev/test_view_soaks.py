"""Soaks with clients that stop, send without end or do not read."""

import asyncio
import unittest

from lavenderway_dev.soak import run_soak


class LastingPressure(unittest.IsolatedAsyncioTestCase):
    """Nothing is lost or held beside kills, stops, cuts and such clients."""

    SEPARATE_PROCESSES = True

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)

    async def test_unplanned_faults(self) -> None:
        self.assertEqual([], await run_soak(seed=6000, views=True))

    async def test_planned_operations(self) -> None:
        self.assertEqual([], await run_soak(seed=6001, views=True))


if __name__ == "__main__":
    unittest.main()
