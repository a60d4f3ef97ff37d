"""Tests of the selection of token owners by rendezvous hashing."""

import unittest

from lavenderway_core.ids import FailureDomainId, HostId, WorkspaceId
from lavenderway_relay.model import Address, HostRecord
from lavenderway_relay.token_owners import TokenOwnerMap

EAST = FailureDomainId("east")
WEST = FailureDomainId("west")
WORKSPACES = [WorkspaceId(f"w-{index}") for index in range(200)]


def make_record(name: str, domain: FailureDomainId) -> HostRecord:
    return HostRecord(
        host=HostId(name),
        address=Address("127.0.0.1", 1),
        failure_domain=domain,
        serving=True,
        upstream=None,
    )


def make_members(count: int) -> list[HostRecord]:
    return [make_record(f"h-{i}", EAST if i % 2 else WEST) for i in range(count)]


class TokenOwnerSelection(unittest.TestCase):
    """Each failure domain has one token owner, and every node selects the same ones."""

    def test_one_owner_per_failure_domain_nearest_first(self) -> None:
        members = make_members(10)
        token_owners = TokenOwnerMap(members=members)
        domains = {record.host: record.failure_domain for record in members}
        for workspace in WORKSPACES:
            found = token_owners.owners_of(workspace, nearest=EAST)
            self.assertEqual([EAST, WEST], [domains[host] for host in found])

    def test_fractions_add_up_to_one(self) -> None:
        members = make_members(10)
        token_owners = TokenOwnerMap(members=members)
        for workspace in WORKSPACES:
            fractions = [
                token_owners.fraction_of(workspace, record.host) for record in members
            ]
            self.assertEqual(1.0, sum(fractions))

    def test_record_order_does_not_matter(self) -> None:
        members = make_members(10)
        one = TokenOwnerMap(members=members)
        other = TokenOwnerMap(members=reversed(members))
        self.assertTrue(one.has_hosts(reversed(members)))
        for workspace in WORKSPACES:
            self.assertEqual(
                one.owners_of(workspace, nearest=EAST),
                other.owners_of(workspace, nearest=EAST),
            )

    def test_workspaces_are_spread_over_hosts(self) -> None:
        token_owners = TokenOwnerMap(members=make_members(10))
        kept = [token_owners.owners_of(name, nearest=EAST)[0] for name in WORKSPACES]
        counts = {host: kept.count(host) for host in kept}
        self.assertEqual(5, len(counts))
        self.assertGreater(min(counts.values()), 200 / 5 / 2)

    def test_joining_host_moves_few_workspaces(self) -> None:
        before = TokenOwnerMap(members=make_members(10))
        after = TokenOwnerMap(members=[*make_members(10), make_record("new", EAST)])
        moved = 0
        for workspace in WORKSPACES:
            old = before.owners_of(workspace, nearest=EAST)
            new = after.owners_of(workspace, nearest=EAST)
            self.assertEqual(old[1], new[1])
            if old[0] != new[0]:
                self.assertEqual("new", new[0])
                moved += 1
        self.assertLess(moved, 200 / 6 * 2)

    def test_no_owners_without_hosts(self) -> None:
        self.assertEqual([], TokenOwnerMap().owners_of(WORKSPACES[0], nearest=EAST))
        self.assertEqual(0.0, TokenOwnerMap().fraction_of(WORKSPACES[0], HostId("h")))
