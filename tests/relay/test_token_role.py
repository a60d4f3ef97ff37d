"""Tests of the share of its tokens that a host may issue."""

import os
import unittest
from dataclasses import replace
from unittest import mock

from lavenderway_core.ids import FailureDomainId, HostId, WorkspaceId
from lavenderway_relay.model import Configuration, HostRecord, Workspace
from lavenderway_relay.state import NodeState
from lavenderway_relay.token_role import (
    FIRST_HOST_WAIT_S,
    LEASE_S,
    Acknowledgement,
    TokenRole,
)
from lavenderway_relay.view_age import View

from tests.relay.support import make_state
from tests.relay.test_host_registry import make_record

WORKSPACE = Workspace(id=WorkspaceId("lab"), priority=None, rate_per_s=60.0, burst=60.0)
WINDOW_S = 5.0
ALLOWED = WORKSPACE.rate_per_s * WINDOW_S + WORKSPACE.burst


class TwoViewsCase(unittest.TestCase):
    """Two nodes of one failure domain, each with its own view of the fleet."""

    def setUp(self) -> None:
        self.log = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, self.log)

    def make_node(self, host: str, view: list[HostRecord], now: float) -> NodeState:
        """Return a node that has just read its configuration and its view."""
        state = make_state(log=self.log)
        state.settings = replace(state.settings, host=HostId(host))
        state.__post_init__()
        configuration = Configuration(
            version=1,
            routes=(),
            workspaces={WORKSPACE.id: WORKSPACE},
            workspace_of_key={},
        )
        state.apply_configuration(configuration, b"", now)
        state.host_registry.merge(view)
        state.update_token_owners(now)
        return state

    def count_tokens(self, nodes: list[NodeState], begin: float) -> int:
        """Return how many tokens the nodes issue in a window, if asked all the time."""
        steps = range(int(WINDOW_S * 100))
        return sum(
            node.quota.take(WORKSPACE.id, begin + step / 100)
            for step in steps
            for node in nodes
            for _ in range(3)
        )


class TwoViews(TwoViewsCase):
    """The hosts of a fleet issue no more than the quota under two views."""

    def test_host_joins_that_the_owner_does_not_know(self) -> None:
        """Both derive from their view that they own the tokens."""
        for name in ("b-1", "b-2", "b-3"):
            with self.subTest(joining=name):
                own, joining = make_record("a"), make_record(name)
                first = self.make_node("a", [own], 0.0)
                second = self.make_node(name, [own, joining], 10.0)
                self.assertLessEqual(self.count_tokens([first, second], 10.0), ALLOWED)


class IssuedTokens(TwoViewsCase):
    """An owner issues its part while its view is young, and half of it afterwards."""

    def make_owner(self) -> NodeState:
        """Return a node that has joined, with a view that is confirmed at 0 s."""
        node = self.make_node("a", [make_record("a")], 0.0)
        node.view_ages.confirm(View.HOSTS, 0.0)
        node.token_role.restore()
        node.update_quota(0.0)
        return node

    def make_joining(self, now: float) -> NodeState:
        view = [make_record("a"), make_record("b-1")]
        node = self.make_node("b-1", view, now)
        node.view_ages.confirm(View.HOSTS, now)
        node.token_role.request(now)
        node.update_quota(now)
        return node

    def test_owner_with_a_young_view_issues_its_whole_part(self) -> None:
        owner = self.make_owner()
        self.assertAlmostEqual(
            WORKSPACE.rate_per_s * WINDOW_S, self.count_tokens([owner], 1.0), delta=61
        )

    def test_acknowledged_host_issues_its_whole_part_at_once(self) -> None:
        joining = self.make_joining(10.0)
        joining.token_role.record_acknowledgement(
            Acknowledgement(HostId("a"), FailureDomainId("east"), True)
        )
        joining.update_quota(10.0)
        self.assertGreater(self.count_tokens([joining], 10.0), 290)

    def test_frozen_owner_wakes_up_past_its_lease(self) -> None:
        """No timer has run; the joining host has waited for the lease meanwhile."""
        owner = self.make_owner()
        joining = self.make_joining(1.0)
        later = 1.0 + LEASE_S
        joining.view_ages.confirm(View.HOSTS, later)
        joining.update_quota(later)
        issued = self.count_tokens([owner, joining], later)
        self.assertLessEqual(issued, ALLOWED)
        self.assertGreater(issued, 0.8 * WORKSPACE.rate_per_s * WINDOW_S)

    def test_lease_is_renewed_by_a_confirmation(self) -> None:
        owner = self.make_owner()
        begin = 2 * LEASE_S
        halved = self.count_tokens([owner], begin)
        self.assertLessEqual(halved, ALLOWED / 2)
        owner.view_ages.confirm(View.HOSTS, begin + WINDOW_S)
        owner.renew_lease(begin + WINDOW_S)
        renewed = self.count_tokens([owner], begin + WINDOW_S)
        self.assertGreater(renewed, 0.95 * WORKSPACE.rate_per_s * WINDOW_S)

    def test_end_and_renewal_of_the_lease_are_logged(self) -> None:
        owner = self.make_owner()
        with mock.patch.object(owner.log, "state") as record:
            for now in (1.0, LEASE_S, LEASE_S + 1.0):
                owner.quota.take(WORKSPACE.id, now)
                owner.renew_lease(now)
            owner.view_ages.confirm(View.HOSTS, LEASE_S + 2.0)
            owner.renew_lease(LEASE_S + 2.0)
        events = [call.args[0] for call in record.call_args_list]
        self.assertEqual(["keeper.lease_expired", "keeper.renewed"], events)

    def test_leaving_owner_issues_nothing(self) -> None:
        owner = self.make_owner()
        owner.token_role.release()
        owner.update_quota(1.0)
        self.assertEqual(0, self.count_tokens([owner], 1.0))


class Joining(unittest.TestCase):
    """A joining host asks the hosts that may own tokens without it."""

    def hosts_to_ask(
        self, host: str, unreachable: str = "", now: float = 0.0
    ) -> list[str]:
        members = [
            make_record("a"),
            make_record("b"),
            make_record("c"),
            make_record("w", domain="west"),
        ]
        role = TokenRole(host=HostId(host), failure_domain=FailureDomainId("east"))
        role.request(0.0)
        hosts = role.hosts_to_ask(
            members, is_reachable=lambda peer: peer != unreachable, now=now
        )
        return [record.host for record in hosts]

    def test_first_host_asks_for_its_failure_domain(self) -> None:
        self.assertEqual(["b", "c", "w"], self.hosts_to_ask("a"))
        self.assertEqual(["a", "c"], self.hosts_to_ask("b"))

    def test_next_host_replaces_an_unreachable_first_one(self) -> None:
        self.assertEqual(["c", "w"], self.hosts_to_ask("b", unreachable="a"))

    def test_unreachable_host_is_left_to_the_probes(self) -> None:
        """A dead host was asked ten times a second, and its probes were put off."""
        self.assertEqual(["b", "w"], self.hosts_to_ask("a", unreachable="c"))
        role = TokenRole(host=HostId("a"), failure_domain=FailureDomainId("east"))
        role.request(0.0)
        members = [make_record("a"), make_record("b")]
        self.assertEqual(0.0, role.share(members, 1.0))

    def test_other_host_asks_itself_if_the_first_one_takes_long(self) -> None:
        self.assertEqual(["a", "c", "w"], self.hosts_to_ask("b", now=FIRST_HOST_WAIT_S))

    def test_first_host_is_asked_until_it_knows_that_the_domain_is_known(self) -> None:
        """It may have asked this host before it knew the outcome itself."""
        east = FailureDomainId("east")
        role = TokenRole(host=HostId("b"), failure_domain=east)
        role.request(0.0)
        role.record_acknowledgement(Acknowledgement(HostId("a"), east, False))
        members = [make_record("a"), make_record("b")]
        for established, expected in ((False, ["a"]), (True, [])):
            role.record_acknowledgement(Acknowledgement(HostId("a"), east, established))
            hosts = role.hosts_to_ask(members, is_reachable=lambda _: True, now=0.1)
            self.assertEqual(expected, [record.host for record in hosts])

    def test_host_waits_until_its_failure_domain_is_known(self) -> None:
        role = TokenRole(host=HostId("b"), failure_domain=FailureDomainId("east"))
        members = [make_record("a"), make_record("b"), make_record("w", domain="west")]
        role.request(0.0)
        east = FailureDomainId("east")
        role.record_acknowledgement(Acknowledgement(HostId("a"), east, False))
        self.assertEqual(0.0, role.share(members, 1.0))
        role.record_acknowledgement(Acknowledgement(HostId("a"), east, True))
        self.assertEqual(1.0, role.share(members, 1.0))

    def test_each_silent_host_halves_the_share(self) -> None:
        members = [make_record("a"), make_record("b"), make_record("c")]
        role = TokenRole(host=HostId("c"), failure_domain=FailureDomainId("east"))
        role.request(0.0)
        self.assertEqual(0.0, role.share(members, LEASE_S - 0.1))
        self.assertEqual(0.25, role.share(members, LEASE_S))
        self.assertFalse(role.joined)
