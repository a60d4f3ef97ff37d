"""Tests of the share of its tokens that a host may issue, in every order of events."""

import unittest
from unittest import mock

from lavenderway_dev import role_exploration
from lavenderway_dev.role_exploration import Operation, explore, list_join_operations
from lavenderway_relay.token_role import TokenRole

ONE_DOMAIN = {"a": "east", "b": "east"}
TWO_DOMAINS = {"a": "east", "b": "west"}
THREE_HOSTS = {"a": "east", "b": "east", "c": "east"}
BOTH_JOINED = (
    *list_join_operations("a"),
    *list_join_operations("b", ("a",)),
    ("read", "a"),
)
CUT_OFF: tuple[Operation, ...] = (("lose store", "a"), ("cut", "a", "b"))


class TwoOwners(unittest.TestCase):
    """Two hosts with different views never issue more than one part together."""

    def assert_bounded(
        self, domains: dict[str, str], prelude: tuple[Operation, ...], depth: int
    ) -> None:
        exploration = explore(domains, prelude=prelude, depth=depth)
        self.assertIsNone(exploration.violation)
        self.assertGreater(exploration.states, 100)

    def test_two_hosts_that_start(self) -> None:
        self.assert_bounded(ONE_DOMAIN, (), 6)

    def test_host_joins_an_owner(self) -> None:
        self.assert_bounded(ONE_DOMAIN, list_join_operations("a"), 6)

    def test_host_joins_an_owner_that_is_cut_off(self) -> None:
        self.assert_bounded(ONE_DOMAIN, (*list_join_operations("a"), *CUT_OFF), 6)

    def test_host_joins_a_frozen_owner(self) -> None:
        self.assert_bounded(
            ONE_DOMAIN, (*list_join_operations("a"), ("freeze", "a")), 6
        )

    def test_first_host_of_a_failure_domain_joins(self) -> None:
        self.assert_bounded(TWO_DOMAINS, (*list_join_operations("a"), *CUT_OFF), 6)

    def test_third_host_joins(self) -> None:
        self.assert_bounded(THREE_HOSTS, BOTH_JOINED, 4)

    def test_both_hosts_leave_and_return(self) -> None:
        self.assert_bounded(ONE_DOMAIN, (*BOTH_JOINED, ("leave", "b")), 6)


class ServiceOfOwners(unittest.TestCase):
    """Callers are served by one part where no host is missing, and soon otherwise."""

    def issued(self, domains: dict[str, str], *operations: Operation) -> float:
        world = role_exploration.World(domains=domains)
        for operation in operations:
            world.apply(operation)
        return min(world.issued(each) for each in role_exploration.WORKSPACES)

    def test_acknowledged_host_issues_its_part_at_once(self) -> None:
        self.assertEqual(1.0, self.issued(ONE_DOMAIN, *BOTH_JOINED))

    def test_part_of_a_silent_host_is_half_issued_after_the_lease(self) -> None:
        operations = (*list_join_operations("a"), *CUT_OFF, *list_join_operations("b"))
        wait: Operation = ("wait",)
        self.assertEqual(0.0, self.issued(ONE_DOMAIN, *operations, ("kill", "a")))
        later = (*operations, ("kill", "a"), wait, wait, ("read", "b"))
        world = role_exploration.World(domains=ONE_DOMAIN)
        for operation in later:
            world.apply(operation)
        self.assertEqual(
            {0.0, 0.5}, {world.issued(each) for each in role_exploration.WORKSPACES}
        )

    def test_restarted_host_issues_its_part_at_once(self) -> None:
        operations = (("kill", "b"), ("lose store", "a"), ("start", "b"))
        self.assertEqual(1.0, self.issued(ONE_DOMAIN, *BOTH_JOINED, *operations))


class ExploredFaults(unittest.TestCase):
    """The exploration finds the faults that the rules prevent."""

    def assert_found(
        self, share: float, domains: dict[str, str], *prelude: Operation
    ) -> None:
        with mock.patch.object(TokenRole, "share", lambda *_: share):
            exploration = explore(domains, prelude=prelude, depth=5)
        self.assertIsNotNone(exploration.violation)

    def test_joining_host_that_does_not_wait(self) -> None:
        self.assert_found(1.0, ONE_DOMAIN, *list_join_operations("a"))
        self.assert_found(1.0, TWO_DOMAINS, *list_join_operations("a"))

    def test_host_without_a_lease(self) -> None:
        with mock.patch.object(role_exploration, "SPLIT_SHARE", 1.0):
            exploration = explore(
                ONE_DOMAIN,
                prelude=(
                    *list_join_operations("a"),
                    *CUT_OFF,
                    *list_join_operations("b"),
                ),
                depth=4,
            )
        self.assertIsNotNone(exploration.violation)
