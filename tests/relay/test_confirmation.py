"""Tests of who confirms a node's views, and of their ages."""

import unittest
from collections.abc import Collection
from dataclasses import replace

from lavenderway_core.ids import FailureDomainId, HostId
from lavenderway_relay.confirmation import select_confirmers
from lavenderway_relay.model import HostRecord
from lavenderway_relay.view_age import View, ViewAges, decode_ages, encode_ages

from tests.relay.support import make_state
from tests.relay.test_host_registry import make_record

EAST = FailureDomainId("east")
WEST = FailureDomainId("west")


def make_peer(host: str, domain: FailureDomainId = EAST) -> HostRecord:
    return replace(make_record(host), failure_domain=domain)


class Confirmers(unittest.TestCase):
    """One reader in each failure domain asks the store; the others ask the reader."""

    def select(
        self, host: str, peers: list[str], unreachable: Collection[str] = ()
    ) -> list[str]:
        own = replace(
            make_state(log=0).settings, host=HostId(host), failure_domain=EAST
        )
        records = [make_peer(peer) for peer in peers if peer != host]
        records.append(make_peer("a-other-domain", WEST))
        selected = select_confirmers(
            records,
            own=own,
            is_reachable=lambda peer: peer not in unreachable,
            draw=0.99,
        )
        return [record.host for record in selected]

    def test_first_host_of_its_domain_asks_the_store(self) -> None:
        self.assertEqual([], self.select("b", ["b", "c", "d"]))

    def test_other_hosts_ask_the_reader_and_one_more(self) -> None:
        self.assertEqual(["b"], self.select("c", ["b", "c", "d"]))
        self.assertEqual(["b", "d"], self.select("e", ["b", "c", "d", "e", "f"]))

    def test_next_host_replaces_an_unreachable_reader(self) -> None:
        self.assertEqual([], self.select("c", ["b", "c", "d"], {"b"}))
        self.assertEqual(["c"], self.select("d", ["b", "c", "d"], {"b"}))

    def test_calls_to_the_store_do_not_grow_with_the_fleet(self) -> None:
        for hosts in (14, 76, 195, 710):
            with self.subTest(hosts=hosts):
                peers = [f"h{number:03}" for number in range(hosts)]
                readers = [host for host in peers if not self.select(host, peers)]
                self.assertEqual(1, len(readers))


class Ages(unittest.TestCase):
    """An age grows until the view is confirmed by a younger view."""

    def test_older_confirmation_does_not_replace_a_newer_one(self) -> None:
        ages = ViewAges()
        ages.confirm(View.HOSTS, 5.0)
        ages.confirm(View.HOSTS, 3.0)
        self.assertEqual(2.0, ages.age_s(View.HOSTS, 7.0))

    def test_confirmation_requested_before_a_suspension_ends_is_ignored(self) -> None:
        ages = ViewAges()
        ages.confirm(View.HOSTS, 1.0)
        ages.suspend(4.0)
        ages.confirm(View.HOSTS, 3.9)
        self.assertEqual(1.0, ages.confirmed_at(View.HOSTS))
        ages.confirm(View.HOSTS, 4.0)
        self.assertEqual(4.0, ages.confirmed_at(View.HOSTS))

    def test_ages_of_messages_are_never_too_low(self) -> None:
        ages = ViewAges()
        ages.confirm(View.HOSTS, 1.0)
        decoded = decode_ages(encode_ages(ages, 2.0001))
        self.assertEqual({View.HOSTS: 1.001}, decoded)

    def test_malformed_ages_are_rejected(self) -> None:
        values: list[object] = [1, [], {"hosts": -1}, {"hosts": "1"}, {"config": True}]
        for value in values:
            with self.subTest(value=value), self.assertRaises(ValueError):
                decode_ages(value)

    def test_peer_without_ages_confirms_nothing(self) -> None:
        self.assertEqual({}, decode_ages(None))
