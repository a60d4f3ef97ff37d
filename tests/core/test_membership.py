"""Tests of membership records and the order of their versions."""

from __future__ import annotations

import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from lavenderway_core.ids import FailureDomainId, HostId, Incarnation
from lavenderway_core.membership import HostRecord, HostState, Membership


def record(
    host: str, incarnation: int = 1, sequence: int = 1, state: int = 0
) -> HostRecord:
    """Return a membership record without upstreams."""
    return HostRecord(
        HostId(host),
        FailureDomainId("a"),
        f"{host}:1",
        Incarnation(incarnation),
        sequence,
        HostState(state),
        (),
        (),
    )


VERSIONS = st.tuples(st.integers(1, 3), st.integers(1, 4), st.integers(0, 3))


class MembershipTest(unittest.TestCase):
    """The newest record of a host wins, in whatever order records arrive.

    Gossip repeats and reorders records, so an old one may follow a newer one.
    """

    def test_older_record_never_replaces_newer_one(self) -> None:
        members = Membership(own=record("self"))
        self.assertTrue(members.merge(record("x", 2, 1)))
        self.assertFalse(members.merge(record("x", 1, 99, HostState.DEAD)))
        self.assertEqual(2, members.records[HostId("x")].incarnation)

    def test_own_host_refutes_suspicion(self) -> None:
        members = Membership(own=record("self", 5, 7))
        members.merge(record("self", 5, 7, HostState.SUSPECT))
        self.assertEqual((5, 8), members.own.version[:2])
        self.assertIs(HostState.ALIVE, members.own.state)

    def test_own_host_refutes_record_of_higher_incarnation(self) -> None:
        members = Membership(own=record("self", 5, 1))
        members.merge(record("self", 9, 3, HostState.DEAD))
        self.assertGreater(members.own.version, record("self", 9, 3, 3).version)

    def test_digest_locates_differing_records(self) -> None:
        left, right = Membership(own=record("l")), Membership(own=record("l"))
        self.assertEqual([], left.differing_buckets(right.digest))
        right.merge(record("x"))
        buckets = left.differing_buckets(right.digest)
        self.assertEqual(
            ["x"], [r.host for r in right.records_in_buckets(buckets)][-1:]
        )
        left.merge(record("x"))
        self.assertEqual([], left.differing_buckets(right.digest))

    @seed(20261203)
    @settings(max_examples=150, deadline=None, database=None)
    @given(st.lists(VERSIONS, min_size=1, max_size=12))
    def test_any_order_of_records_converges(
        self, versions: list[tuple[int, int, int]]
    ) -> None:
        first, second = Membership(own=record("l")), Membership(own=record("l"))
        for version in versions:
            first.merge(record("x", *version))
        for version in reversed(versions):
            second.merge(record("x", *version))
        self.assertEqual(first.records, second.records)
        self.assertEqual(first.digest, second.digest)
        self.assertEqual(max(versions), first.records[HostId("x")].version)
