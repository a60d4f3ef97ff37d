"""Tests of the rates and bursts that hosts keep together."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from lavenderway_core.ids import WorkspaceId
from lavenderway_relay.model import Workspace
from lavenderway_relay.quota import QuotaShares, Wish

NAME = WorkspaceId("coulee")


def make_workspace(rate_per_s: float = 100.0, burst: float = 50.0) -> Workspace:
    return Workspace(id=NAME, priority=None, rate_per_s=rate_per_s, burst=burst)


def make_hosts(count: int, workspace: Workspace) -> list[QuotaShares]:
    hosts = [QuotaShares() for _ in range(count)]
    for host in hosts:
        host.resize([workspace], part=1.0 / count, now=0.0)
    return hosts


class RateOverAllHosts(unittest.TestCase):
    """The hosts together pass no more than the rate and burst."""

    def test_a_workspace_without_a_limit_is_never_refused(self) -> None:
        (host,) = make_hosts(1, make_workspace(rate_per_s=0.0))
        self.assertTrue(all(host.take(NAME, 0.0) for _ in range(1000)))

    def test_loans_move_tokens_and_make_none(self) -> None:
        lender, borrower = make_hosts(2, make_workspace())
        granted = lender.lend(NAME, 10.0, 1.0)
        borrower.receive(NAME, granted)
        taken = sum(borrower.take(NAME, 1.0) for _ in range(200))
        left = sum(lender.take(NAME, 1.0) for _ in range(200))
        self.assertEqual(10.0, granted)
        self.assertEqual(50, taken + left)

    def test_a_lender_keeps_what_its_own_callers_need(self) -> None:
        lender, _ = make_hosts(2, make_workspace())
        for tick in range(1, 40):
            for _ in range(4):
                lender.take(NAME, tick * 0.1)
            lender.tick(tick * 0.1)
        granted = lender.lend(NAME, 1000.0, 4.0)
        self.assertLess(granted, 25.0 - 0.25 * 40)

    @settings(max_examples=40, deadline=None)
    @given(seed=st.integers(0, 2**32), hosts=st.integers(1, 9))
    def test_any_window_keeps_the_bound(self, seed: int, hosts: int) -> None:
        draw = random.Random(seed)
        workspace = make_workspace()
        shares = make_hosts(hosts, workspace)
        passed = []
        for step in range(600):
            now = step * 0.02
            share = shares[int(draw.random() ** 2 * hosts)]
            for _ in range(draw.randrange(8)):
                if share.take(NAME, now):
                    passed.append(now)
                    continue
                wish = share.wish(NAME, now)
                if wish is not None and draw.random() < 0.8:
                    lender = draw.choice(shares)
                    granted = lender.lend(NAME, wish.amount, now)
                    if draw.random() < 0.9 and lender is not share:
                        share.receive(NAME, granted)
            if step % 5 == 0:
                for each in shares:
                    each.tick(now)
        for start in (0.0, 2.5, 5.0, 7.0):
            inside = sum(start <= at < start + 5.0 for at in passed)
            self.assertLessEqual(inside, 100.0 * 5.0 + 50.0 + 1)


class UnevenDemand(unittest.TestCase):
    """Callers of one host get what the others do not use."""

    def borrow(self, hosts: list[QuotaShares], wish: Wish, now: float) -> None:
        """Ask four of the other hosts, as one round does."""
        for lender in self.draw.sample(hosts[1:], 4):
            hosts[0].receive(NAME, lender.lend(NAME, wish.amount, now))

    def test_one_host_gets_nearly_the_whole_rate(self) -> None:
        self.draw = random.Random(3)
        hosts = make_hosts(10, make_workspace())
        passed = 0
        for step in range(1000):
            now = step * 0.01
            wish = hosts[0].wish(NAME, now)
            if hosts[0].take(NAME, now):
                passed += 1
            elif wish is not None:
                self.borrow(hosts, wish, now)
                passed += hosts[0].take(NAME, now)
            if step % 10 == 0:
                for each in hosts[0].tick(now):
                    self.borrow(hosts, each, now)
        self.assertGreaterEqual(passed, 0.9 * 1000)

    def test_a_lower_limit_is_in_force_at_once(self) -> None:
        (host,) = make_hosts(1, make_workspace())
        host.resize([make_workspace(10.0, 5.0)], part=1.0, now=10.0)
        self.assertEqual(5, sum(host.take(NAME, 10.0) for _ in range(100)))
