"""Tests of the host registry, the encoding of host records and load balancing."""

import random
import unittest
from dataclasses import replace
from itertools import pairwise
from typing import Any

import orjson
from lavenderway_core.ids import FailureDomainId, HostId, ServiceId, UpstreamId
from lavenderway_relay.host_registry import HostRegistry
from lavenderway_relay.load_balancer import LoadBalancer
from lavenderway_relay.model import Address, HostRecord, Upstream, UpstreamStatus
from lavenderway_relay.records import (
    RecordFormatError,
    decode_record,
    decode_records,
    encode_record,
    encode_records,
)
from lavenderway_relay.revision import Revision

ARCHIVE = ServiceId("archive")


def make_record(
    name: str,
    *,
    domain: str = "east",
    status: UpstreamStatus = UpstreamStatus.READY,
    serving: bool = True,
    era: int = 0,
    revision: int = 1,
) -> HostRecord:
    upstream = Upstream(
        id=UpstreamId(f"i-{name}"),
        service=ARCHIVE,
        address=Address("10.0.0.1", 80),
        slots=10,
        status=status,
        started_ms=1,
        sequence=1,
    )
    return HostRecord(
        host=HostId(name),
        address=Address("10.0.0.1", 81),
        failure_domain=FailureDomainId(domain),
        serving=serving,
        upstream=upstream,
        revision=Revision(era, revision),
    )


WRONG_VALUES: tuple[Any, ...] = ([], {"a": 1}, None)


class HostRegistryRevisions(unittest.TestCase):
    """The newest record of a host is kept, in whatever order records arrive."""

    def test_older_record_is_ignored(self) -> None:
        host_registry = HostRegistry()
        leaving_record = make_record("a", status=UpstreamStatus.LEAVING, revision=5)
        self.assertEqual([leaving_record], host_registry.merge([leaving_record]))
        self.assertEqual([], host_registry.merge([make_record("a", revision=4)]))
        self.assertEqual([], host_registry.hosts_of(ARCHIVE))

    def test_stopping_and_departed_hosts_get_no_requests(self) -> None:
        host_registry = HostRegistry()
        ready = make_record("a")
        gone = make_record("c", status=UpstreamStatus.GONE)
        host_registry.merge([ready, make_record("b", serving=False), gone])
        self.assertEqual([ready], host_registry.hosts_of(ARCHIVE))

    def test_restarting_host_stays_member(self) -> None:
        host_registry = HostRegistry()
        restarting = make_record("b", serving=False)
        gone = make_record("c", status=UpstreamStatus.GONE, serving=False)
        host_registry.merge([make_record("a"), restarting, gone])
        self.assertEqual(
            {"a", "b"}, {record.host for record in host_registry.members()}
        )

    def test_record_of_an_older_era_is_ignored(self) -> None:
        """A store that returned from an older copy gives out versions again."""
        host_registry = HostRegistry()
        restored = make_record("a", era=1, revision=2)
        host_registry.merge([make_record("a", revision=5)])
        self.assertEqual([restored], host_registry.merge([restored]))
        self.assertEqual([], host_registry.merge([make_record("a", revision=9)]))

    def test_revision_of_an_older_era_does_not_advance(self) -> None:
        host_registry = HostRegistry()
        host_registry.advance_revision(Revision(0, 9))
        host_registry.advance_revision(Revision(1, 2))
        host_registry.advance_revision(Revision(0, 10))
        self.assertEqual(Revision(1, 2), host_registry.revision)

    def test_changed_since_returns_newer_records(self) -> None:
        host_registry = HostRegistry()
        newer = make_record("b", revision=7)
        host_registry.merge([make_record("a", revision=3), newer])
        self.assertEqual([newer], host_registry.changed_since(Revision(0, 3)))


def _replace_number(fields: dict[str, Any], key: str, number: str) -> bytes:
    """Return fields as JSON with a number that Python's JSON could not write."""
    text = orjson.dumps({**fields, key: "number"})
    return text.replace(b'"number"', number.encode())


class RecordEncoding(unittest.TestCase):
    """Records keep all values when encoded, and malformed ones are rejected."""

    def test_encoding_round_trip(self) -> None:
        record = make_record("a", revision=9)
        self.assertEqual(record, decode_record(encode_record(record), 9))
        self.assertEqual([record], decode_records(encode_records([record])))

    def test_encoding_round_trip_with_era(self) -> None:
        record = make_record("a", era=2, revision=9)
        self.assertEqual(record, decode_record(encode_record(record), 9))
        self.assertEqual([record], decode_records(encode_records([record])))

    def test_malformed_revisions_are_rejected(self) -> None:
        fields = encode_records([make_record("a")])[0]
        for revision in (None, "1", -1, True, 1.5, [1], [1, -1], [1, 2, 3], ["1", 2]):
            with self.subTest(revision=revision), self.assertRaises(RecordFormatError):
                decode_records([{**fields, "revision": revision}])

    def test_malformed_records_are_rejected(self) -> None:
        for value in (b"", b"[]", b"{}", b'{"host":"a","address":"x"}', b"\xff"):
            with self.subTest(value=value), self.assertRaises(RecordFormatError):
                decode_record(value, 1)

    def test_numbers_that_cannot_be_passed_on_are_rejected(self) -> None:
        """Another writer's number made every reply with its record fail."""
        fields = orjson.loads(encode_record(make_record("a")))
        upstream = fields["upstream"]
        for number in ("9" * 20, "9" * 400, "1e300", "1e999", "-1", "true"):
            texts = [
                _replace_number(fields, "started", number),
                *(
                    orjson.dumps(fields).replace(
                        orjson.dumps(upstream),
                        _replace_number(upstream, key, number),
                    )
                    for key in ("slots", "born", "sequence")
                ),
            ]
            for text in texts:
                with self.subTest(text=text), self.assertRaises(RecordFormatError):
                    decode_record(text, 1)

    def test_fields_of_wrong_type_are_rejected(self) -> None:
        fields = orjson.loads(encode_record(make_record("a", era=1)))
        for key in fields:
            for wrong_value in WRONG_VALUES:
                value = orjson.dumps({**fields, key: wrong_value})
                with self.subTest(value=value), self.assertRaises(RecordFormatError):
                    decode_record(value, 1)
        for key in fields["upstream"]:
            for wrong_value in WRONG_VALUES:
                upstream = {**fields["upstream"], key: wrong_value}
                value = orjson.dumps({**fields, "upstream": upstream})
                with self.subTest(value=value), self.assertRaises(RecordFormatError):
                    decode_record(value, 1)


class LoadBalancerDecision(unittest.TestCase):
    """The host with the least expected delay is chosen, nearby hosts first."""

    def setUp(self) -> None:
        self.load_balancer = LoadBalancer(
            host=HostId("own"),
            failure_domain=FailureDomainId("east"),
            random=lambda: 0.5,
        )
        self.near = make_record("near")
        self.far = make_record("far", domain="west")
        self.candidates = [self.near, self.far]
        for record in self.candidates:
            self.load_balancer.choose([record], 0.0)
            self.report(record, 0.2)

    def report(self, record: HostRecord, load: float, mean_s: float = 0.05) -> None:
        self.load_balancer.record_report(record.host, load=load, mean_s=mean_s, now=0.0)

    def test_prefers_own_failure_domain_below_full_load(self) -> None:
        self.report(self.near, 0.6)
        self.assertEqual(self.near, self.load_balancer.choose(self.candidates, 0.1))

    def test_leaves_failure_domain_at_full_load(self) -> None:
        self.report(self.near, 1.2)
        self.assertEqual(self.far, self.load_balancer.choose(self.candidates, 0.1))

    def test_unreachable_host_is_avoided_until_reachable_again(self) -> None:
        self.assertTrue(self.load_balancer.mark_unreachable(self.near.host, 0.1))
        self.assertFalse(self.load_balancer.mark_unreachable(self.near.host, 0.1))
        self.assertEqual(self.far, self.load_balancer.choose(self.candidates, 100.0))
        self.assertFalse(self.load_balancer.is_reachable(self.near.host))
        self.load_balancer.mark_reachable(self.near.host)
        self.assertEqual(self.near, self.load_balancer.choose(self.candidates, 100.0))

    def test_probe_interval_backs_off(self) -> None:
        self.load_balancer.mark_unreachable(self.near.host, 0.0)
        probes = [n for n in range(100) if self.load_balancer.due_probes(n / 10)]
        self.assertLessEqual(len(probes), 13)
        self.assertLessEqual(max(b - a for a, b in pairwise(probes)), 21)

    def test_host_with_absent_upstream_is_avoided_briefly(self) -> None:
        self.load_balancer.record_absence(self.near.host, 0.1)
        self.assertEqual(self.far, self.load_balancer.choose(self.candidates, 0.2))
        self.assertEqual(self.near, self.load_balancer.choose([self.near], 0.2))
        self.assertEqual(self.near, self.load_balancer.choose(self.candidates, 0.5))

    def test_unreachable_host_is_used_as_last_resort(self) -> None:
        self.load_balancer.mark_unreachable(self.near.host, 0.1)
        self.assertEqual(self.near, self.load_balancer.choose([self.near], 0.2))

    def test_failing_upstream_is_avoided(self) -> None:
        for _ in range(20):
            self.load_balancer.record_outcome(self.near.host, failed=True, now=0.1)
        self.assertEqual(self.far, self.load_balancer.choose(self.candidates, 0.2))

    def test_faster_host_is_preferred(self) -> None:
        other = make_record("other")
        self.load_balancer.choose([other], 0.0)
        self.report(other, 0.2, mean_s=0.02)
        self.assertEqual(other, self.load_balancer.choose([self.near, other], 0.1))

    def test_long_deadline_keeps_request_in_failure_domain(self) -> None:
        self.report(self.near, 0.6, mean_s=0.04)
        self.report(self.far, 0.2, mean_s=0.02)
        with_long_deadline = self.load_balancer.choose(
            self.candidates, 0.1, time_left_s=2.0
        )
        with_short_deadline = self.load_balancer.choose(
            self.candidates, 0.1, time_left_s=0.1
        )
        self.assertEqual(
            (self.near, self.far), (with_long_deadline, with_short_deadline)
        )

    def test_long_deadline_does_not_hold_request_at_full_host(self) -> None:
        self.report(self.near, 1.1)
        chosen = self.load_balancer.choose(self.candidates, 0.1, time_left_s=2.0)
        self.assertEqual(self.far, chosen)

    def test_new_host_is_chosen_first(self) -> None:
        added = make_record("added", domain="west")
        self.assertEqual(
            added, self.load_balancer.choose([*self.candidates, added], 0.1)
        )

    def test_excluded_hosts_are_not_chosen(self) -> None:
        chosen = self.load_balancer.choose(
            self.candidates, 0.1, excluded=[self.near.host]
        )
        self.assertEqual(self.far, chosen)
        tried = [self.near.host, self.far.host]
        self.assertIsNone(
            self.load_balancer.choose(self.candidates, 0.1, excluded=tried)
        )

    def test_restarted_host_is_no_longer_unreachable(self) -> None:
        self.load_balancer.mark_unreachable(self.far.host, 0.1)
        self.load_balancer.reset_host(self.far.host)
        self.assertEqual(self.far, self.load_balancer.choose(self.candidates, 0.2))

    def lose_hosts_of_west(self, count: int, now: float) -> list[HostRecord]:
        """Add five hosts to the other failure domain, and lose some of them."""
        west = [make_record(f"west-{index}", domain="west") for index in range(5)]
        for record in west:
            self.load_balancer.choose([record], 0.0)
            self.report(record, 0.2)
        for record in west[:count]:
            self.load_balancer.mark_unreachable(record.host, now)
        return west

    def test_hosts_of_a_partitioned_failure_domain_are_avoided(self) -> None:
        west = self.lose_hosts_of_west(3, 0.1)
        self.report(self.near, 1.2)
        candidates = [self.near, *west[3:]]
        self.assertEqual(self.near, self.load_balancer.choose(candidates, 0.2))
        self.assertFalse(self.load_balancer.has_room(west, 0.2))
        self.assertEqual(west[3], self.load_balancer.choose(west[3:4], 0.2))
        self.report(west[4], 0.2)
        self.assertIn(self.load_balancer.choose(candidates, 0.2), west[3:])

    def test_partition_delays_few_requests(self) -> None:
        """A partition of 39 hosts of a service that this domain has no host of."""
        cut = [make_record(f"cut-{index}", domain="west") for index in range(39)]
        rest = [make_record(f"rest-{index}", domain="north") for index in range(39)]
        generator = random.Random(8)
        load_balancer = LoadBalancer(
            host=HostId("own"),
            failure_domain=FailureDomainId("east"),
            random=generator.random,
        )
        for record in (*cut, *rest):
            load_balancer.choose([record], 0.0)
            load_balancer.record_report(record.host, load=0.2, mean_s=0.05, now=0.0)
        delayed = 0
        for step in range(600):
            now = step / 100
            chosen = load_balancer.choose([*cut, *rest], now)
            assert chosen is not None
            if chosen in cut:
                load_balancer.mark_unreachable(chosen.host, now)
                delayed += 1
            for host in load_balancer.due_probes(now):
                load_balancer.mark_unreachable(host, now)
        self.assertLessEqual(delayed, 5)

    def test_few_lost_hosts_do_not_affect_the_others(self) -> None:
        west = self.lose_hosts_of_west(2, 0.1)
        self.report(self.near, 1.2)
        chosen = self.load_balancer.choose([self.near, *west[2:]], 0.2)
        self.assertIn(chosen, west[2:])

    def test_one_other_host_of_a_partitioned_failure_domain_is_probed(self) -> None:
        west = self.lose_hosts_of_west(3, 0.1)
        others = {self.far.host, *(record.host for record in west[3:])}
        probed = [self.load_balancer.due_probes(0.1 + n / 10) for n in range(9)]
        probed_others = [host for hosts in probed for host in hosts if host in others]
        self.assertIn(len(probed_others), (2, 3))

    def test_load_is_spread_over_many_hosts(self) -> None:
        """Forty upstreams, a quarter of them twice as slow, at 70 % of capacity."""
        generator = random.Random(8)
        load_balancer = LoadBalancer(
            host=HostId("own"),
            failure_domain=FailureDomainId("east"),
            random=generator.random,
        )
        records = [make_record(f"h-{index}") for index in range(40)]
        run_times_s = {
            r.host: 0.02 if index % 4 else 0.04 for index, r in enumerate(records)
        }
        end_times: dict[HostId, list[float]] = {r.host: [] for r in records}
        request_counts = dict.fromkeys(end_times, 0)
        max_running = 0
        slots = records[0].upstream.slots if records[0].upstream else 1
        capacity_per_s = sum(slots / run_time_s for run_time_s in run_times_s.values())
        step_s = 1.0 / (0.7 * capacity_per_s)
        for step in range(20_000):
            now = step * step_s
            for host, ends in end_times.items():
                while ends and ends[0] <= now:
                    ends.pop(0)
                    load = len(ends) / slots
                    load_balancer.record_done(host)
                    load_balancer.record_report(
                        host, load=load, mean_s=run_times_s[host], now=now
                    )
            chosen = load_balancer.choose(records, now, time_left_s=0.1)
            assert chosen is not None
            load_balancer.record_sent(chosen.host)
            end_times[chosen.host].append(now + run_times_s[chosen.host])
            request_counts[chosen.host] += 1
            max_running = max(max_running, len(end_times[chosen.host]))
        self.assertGreater(min(request_counts.values()), 0)
        self.assertLessEqual(max_running, slots + 1)

    def test_new_host_among_many_is_chosen_soon(self) -> None:
        records = [make_record(f"h-{index}") for index in range(40)]
        generator = random.Random(8)
        load_balancer = LoadBalancer(
            host=HostId("own"),
            failure_domain=FailureDomainId("east"),
            random=generator.random,
        )
        for record in records:
            load_balancer.choose(records, 0.0)
            load_balancer.record_report(record.host, load=0.1, mean_s=0.02, now=0.0)
        for _ in range(200):
            load_balancer.choose(records, 0.0)
        new = make_record("new")
        chosen = [load_balancer.choose([*records, new], 1.0) for _ in range(60)]
        self.assertIn(new, chosen)

    def test_record_revision_does_not_affect_choice(self) -> None:
        newer = replace(self.near, revision=Revision(0, 99))
        self.assertEqual(newer, self.load_balancer.choose([newer, self.far], 0.1))
