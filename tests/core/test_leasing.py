"""Tests of allotments when leases expire, hosts fail and responses are lost."""

from __future__ import annotations

import unittest

from lavenderway_core.allotments import LEASE_DURATION_S, Allotment
from lavenderway_core.ids import HostId
from lavenderway_core.leasing import TAKEOVER_DELAY_S
from lavenderway_dev.simulation import SimulatedFleet

RATE_PER_S = 30.0
BURST = 12.0
TICK_S = 5.0


def build_fleet(seed: int) -> SimulatedFleet:
    """Return a fleet of two hosts that hold the allotments of a workspace."""
    fleet = SimulatedFleet(seed=seed, tick_s=TICK_S)
    for name in ("a-1", "a-2"):
        fleet.add_host(name, "a")
    fleet.run(60.0)
    fleet.add_workspace("coulee", rate=RATE_PER_S, burst=BURST)
    fleet.run(200.0)
    return fleet


class LeaseTakeover(unittest.TestCase):
    """An allotment of a failed holder is taken over only after its lease has expired.

    An earlier takeover would let the old and the new holder spend the same rate.
    """

    def test_frozen_holder_cannot_spend_or_lend_after_its_lease(self) -> None:
        fleet = build_fleet(1)
        self.assertAlmostEqual(RATE_PER_S, fleet.sum_allotted_rate("coulee"))
        holder = next(h for h in fleet.hosts.values() if h.state.allotments)
        allotment = next(iter(holder.state.allotments.values()))
        after_lease = allotment.lease_ends_at + 1.0
        allotment.bucket.refill(after_lease)
        self.assertFalse(allotment.take(after_lease))
        self.assertEqual(0.0, allotment.lend(1, holder.state.host, 5.0, after_lease))

    def test_dead_holder_is_replaced_only_after_its_lease(self) -> None:
        fleet = build_fleet(2)
        failed = next(n for n, h in fleet.hosts.items() if h.state.allotments)
        failed_rate = sum(a.share.rate_per_s for a in self.allotments(fleet, failed))
        fleet.kill(failed)
        fleet.run(fleet.now + LEASE_DURATION_S - 700)
        self.assertAlmostEqual(
            RATE_PER_S - failed_rate, fleet.sum_allotted_rate("coulee")
        )
        fleet.run(fleet.now + TAKEOVER_DELAY_S - LEASE_DURATION_S + 1600)
        self.assertAlmostEqual(RATE_PER_S, fleet.sum_allotted_rate("coulee"))

    def test_rows_never_exceed_the_workspace_rate(self) -> None:
        for seed in range(5):
            fleet = build_fleet(seed)
            fleet.responses_to_lose = 3
            fleet.add_host("b-1", "b")
            for _ in range(100):
                fleet.run(fleet.now + 20)
                rows = [
                    row.value
                    for key, row in fleet.table.rows.items()
                    if key.startswith("allotments/coulee/") and "holder" in row.value
                ]
                total = sum(float(str(row["rate"])) for row in rows)
                self.assertLessEqual(total, RATE_PER_S + 1e-6)
                self.assertLessEqual(
                    fleet.sum_allotted_rate("coulee"), RATE_PER_S + 1e-6
                )
            self.assertAlmostEqual(RATE_PER_S, fleet.sum_allotted_rate("coulee"))

    def test_planned_stop_releases_allotments_at_once(self) -> None:
        fleet = build_fleet(3)
        stopping = next(n for n, h in fleet.hosts.items() if h.state.allotments)
        fleet.stop(stopping)
        fleet.run(fleet.now + 60)
        others = sum(
            a.share.rate_per_s
            for name in fleet.hosts
            if name != stopping
            for a in self.allotments(fleet, name)
        )
        self.assertAlmostEqual(RATE_PER_S, others)

    @staticmethod
    def allotments(fleet: SimulatedFleet, name: str) -> list[Allotment]:
        """Return the allotments held by a host."""
        return list(fleet.hosts[HostId(name)].state.allotments.values())
