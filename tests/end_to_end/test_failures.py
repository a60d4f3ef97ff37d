"""Proofs under failure with real processes: kills, freezes, outages, rolling stops."""

from __future__ import annotations

import json
import signal
import threading
import time
from collections import Counter

from lavenderway_dev.fleet import Answer, HostPlan, UpstreamPlan, send

from tests.end_to_end.support import FleetCase

KEY_BOUND_S = 5.0
LEAVE_BOUND_S = 5.0
ROLLS = 3
SERVICES = {"archive", "certify"}


def four_hosts() -> list[HostPlan]:
    """Return two hosts in each of two failure domains, all with both services."""
    plans = []
    for number in range(4):
        domain = ("saskatoon", "regina")[number % 2]
        archive = UpstreamPlan(f"archive-{number}", "archive")
        certify = UpstreamPlan(f"certify-{number}", "certify")
        plans.append(HostPlan(f"h-{number}", domain, (archive, certify)))
    return plans


class Caller(threading.Thread):
    """Sends requests to hosts in turn until it is stopped.

    Args:
        case: Test case with the fleet and the key.
        path: Path to call.
        hosts: Hosts to call.
        keyed: Whether each request has an idempotency key and is sent twice.

    """

    def __init__(
        self, case: FleetCase, *, path: str, hosts: list[str], keyed: bool = False
    ) -> None:
        super().__init__(daemon=True)
        self.answers: list[tuple[str, Answer]] = []
        self.unanswered = 0
        self._case = case
        self._path = path
        self._hosts = hosts
        self._keyed = keyed
        self._ending = threading.Event()

    def run(self) -> None:
        """Send until stopped."""
        number = 0
        while not self._ending.is_set():
            number += 1
            key = f"{id(self)}-{number}"
            for attempt in range(2 if self._keyed else 1):
                host = self._hosts[(number + attempt) % len(self._hosts)]
                self._send(host, key)

    def _send(self, host: str, key: str) -> None:
        headers = dict(self._case.key)
        if self._keyed:
            headers["Idempotency-Key"] = key
        url = self._case.fleet.hosts[host].callers + self._path
        try:
            answer = send("POST", url, headers=headers, body=key.encode(), timeout_s=6)
            self.answers.append((key, answer))
        except OSError:
            self.unanswered += 1
            time.sleep(0.02)

    def end(self) -> list[tuple[str, Answer]]:
        """Stop and return the answers."""
        self._ending.set()
        self.join(15)
        return self.answers


class FailureCase(FleetCase):
    """Helpers to check what has run."""

    @classmethod
    def plans(cls) -> list[HostPlan]:
        """Return the hosts to start."""
        return four_hosts()

    def executions(self) -> Counter[str]:
        """Return how often each root request ran on any upstream."""
        total: Counter[str] = Counter()
        for record in self.fleet.records():
            total.update(record["executions"])
        return total

    def assert_truthful(self, answers: list[tuple[str, Answer]]) -> None:
        """Check each `not-run` against the upstreams' records."""
        runs = self.executions()
        for _, answer in answers:
            root = answer.headers.get("Lavenderway-Request-Id", "")
            if answer.headers.get("Lavenderway-Outcome") == "not-run":
                self.assertEqual(0, runs[root], answer)

    def assert_each_key_ran_once(self, answers: list[tuple[str, Answer]]) -> None:
        """Check that no idempotency key ran more than once, whatever its roots."""
        runs = self.executions()
        by_key: Counter[str] = Counter()
        for key, answer in answers:
            by_key[key] += runs[answer.headers.get("Lavenderway-Request-Id", "")]
        self.assertEqual([], [key for key, count in by_key.items() if count > 1])
        self.assertGreater(sum(by_key.values()), 0)


class KilledHostProof(FailureCase):
    """A node is killed and restarted under keyed orders."""

    def test_orders_run_at_most_once(self) -> None:
        callers = [
            Caller(self, path="/certify/echo", hosts=["h-0", "h-1", "h-2"], keyed=True)
            for _ in range(3)
        ]
        for caller in callers:
            caller.start()
        time.sleep(1.0)
        for _ in range(2):
            self.fleet.signal_node("h-3", signal.SIGKILL)
            self.fleet.wait_node("h-3")
            time.sleep(0.7)
            self.fleet.start_node("h-3")
            self.fleet.wait_serving(SERVICES)
        answers = [each for caller in callers for each in caller.end()]
        self.assertGreater(sum(a.status == 200 for _, a in answers), 100)
        self.assert_each_key_ran_once(answers)
        self.assert_truthful(answers)
        self.assert_no_internal_errors()


class FrozenHostProof(FailureCase):
    """A node is frozen and wakes under orders and lookups."""

    def test_answers_stay_true_and_own(self) -> None:
        orders = Caller(self, path="/certify/echo", hosts=["h-0", "h-2"], keyed=True)
        lookups = Caller(self, path="/archive/echo", hosts=["h-0", "h-2"])
        orders.start()
        lookups.start()
        time.sleep(1.0)
        self.fleet.signal_node("h-1", signal.SIGSTOP)
        time.sleep(4.0)
        self.fleet.signal_node("h-1", signal.SIGCONT)
        time.sleep(2.0)
        answers = orders.end() + lookups.end()
        for key, answer in answers:
            if answer.status == 200:
                self.assertEqual(key.encode(), answer.body)
        self.assert_each_key_ran_once(orders.answers)
        self.assert_truthful(answers)
        self.assert_no_internal_errors()


class TableOutageProof(FailureCase):
    """The platform's table loses answers and goes down."""

    def test_keyed_orders_and_lookups(self) -> None:
        self.fleet.set_faults(lose_answers=5)
        order = {"Idempotency_Key": "o-1"}
        first = self.call("POST", "h-0", "/certify/echo", b"x", **order)
        again = self.call("POST", "h-1", "/certify/echo", b"x", **order)
        self.assertEqual((200, b"x"), (first.status, first.body))
        self.assertEqual((200, b"x"), (again.status, again.body))
        other = self.call("POST", "h-1", "/certify/echo", b"y", **order)
        self.assert_refused(other, 422, "not-run")
        self.fleet.set_faults(lose_answers=0, down=True)
        try:
            refused = self.call(
                "POST", "h-2", "/certify/echo", b"z", Idempotency_Key="o-2"
            )
            self.assert_refused(refused, 503, "not-run")
            self.assertIn("table-unavailable", refused.body.decode())
            self.assertIn("Retry-After", refused.headers)
            for number in range(20):
                host = f"h-{number % 4}"
                self.assertEqual(200, self.call("GET", host, "/archive/echo").status)
            write = self.fleet.operate(
                "PUT", "/v1/workspaces/late", {"spec": {"rate": 1, "burst": 1}}
            )
            self.assertEqual(503, write.status)
        finally:
            self.fleet.set_faults(down=False)
        missing = self.fleet.operate("GET", "/v1/workspaces/late")
        self.assertEqual(404, missing.status)
        after = self.call("POST", "h-2", "/certify/echo", b"z", Idempotency_Key="o-2")
        self.assertEqual(200, after.status)
        self.assert_truthful([("o-2", refused), ("o-2", after)])
        self.assert_no_internal_errors()


class WithdrawnKeyProof(FailureCase):
    """A key is withdrawn while one failure domain's node is frozen."""

    def test_refused_everywhere_within_seconds(self) -> None:
        made = self.put("keys", "short", workspace="coulee")
        self.fleet.wait_in_force(int(str(made["revision"])))
        key = {"Authorization": f"Bearer {made['secret']}"}
        for host in self.fleet.hosts.values():
            answer = send("GET", f"{host.callers}/archive/echo", headers=key)
            self.assertEqual(200, answer.status)
        self.fleet.signal_node("h-1", signal.SIGSTOP)
        self.fleet.operate("DELETE", "/v1/keys/short")
        self.fleet.signal_node("h-1", signal.SIGCONT)
        deadline = time.monotonic() + KEY_BOUND_S
        served = set(self.fleet.hosts)
        while served and time.monotonic() < deadline:
            for name in list(served):
                url = f"{self.fleet.hosts[name].callers}/archive/echo"
                if send("GET", url, headers=key).status == 401:
                    served.discard(name)
        self.assertEqual(set(), served)
        records = json.dumps(self.fleet.records())
        self.assertNotIn(str(made["secret"]), records)


class LeavingUpstreamProof(FailureCase):
    """An upstream leaves under load."""

    def test_no_new_work_after_a_few_seconds(self) -> None:
        caller = Caller(self, path="/certify/echo", hosts=["h-0", "h-2", "h-3"])
        caller.start()
        time.sleep(0.5)
        host = self.fleet.hosts["h-1"]
        host.upstreams["certify-1"].send_signal(signal.SIGTERM)
        host.upstreams["certify-1"].wait(LEAVE_BOUND_S)
        self.wait_until(lambda: self._gone("certify-1"))
        time.sleep(0.5)
        answers = caller.end()
        self.assertEqual([], [a for _, a in answers if a.status != 200][:3])
        self.assertEqual(0, caller.unanswered)

    def _gone(self, name: str) -> bool:
        for host in self.fleet.hosts:
            answer = self.fleet.operate("GET", "/v1/upstreams", host=host).json()
            for item in answer["items"]:
                if item["name"] == name and item["status"]["state"] == "ready":
                    return False
        return True

    def test_drain_by_operators(self) -> None:
        written = self.put("upstreams", "archive-2", drain=True)
        self.fleet.wait_in_force(int(str(written["revision"])))
        self.wait_until(lambda: self._gone("archive-2"))
        before = sum(self.fleet.record_of("h-2", "archive-2")["executions"].values())
        for number in range(40):
            answer = self.call("GET", f"h-{number % 4}", "/archive/echo")
            self.assertEqual(200, answer.status)
        after = sum(self.fleet.record_of("h-2", "archive-2")["executions"].values())
        self.assertEqual(before, after)


class RollingStopProof(FailureCase):
    """Nodes stop and start again one after another under load."""

    def test_no_request_is_cut(self) -> None:
        callers = [
            Caller(self, path=path, hosts=["h-0", "h-1"])
            for path in ("/certify/echo", "/archive/echo", "/certify/echo")
        ]
        for caller in callers:
            caller.start()
        time.sleep(0.5)
        for _ in range(ROLLS):
            for name in ("h-2", "h-3"):
                self.fleet.signal_node(name, signal.SIGTERM)
                self.assertEqual(0, self.fleet.wait_node(name))
                self.fleet.start_node(name)
                self.fleet.wait_serving(SERVICES)
        answers = [each for caller in callers for each in caller.end()]
        bad = Counter(a.status for _, a in answers if a.status != 200)
        self.assertEqual({}, dict(bad))
        self.assertEqual(0, sum(caller.unanswered for caller in callers))
        self.assertGreater(len(answers), 500)
        self.assert_no_internal_errors()

    def test_open_request_at_the_stopped_node_ends_whole(self) -> None:
        self.fleet.change_upstream("h-1", "archive-1", service_ms=1500)
        results: list[Answer] = []
        url = self.fleet.hosts["h-3"].callers + "/archive/bytes/200000"

        def call() -> None:
            results.append(send("GET", url, headers=self.key))

        threads = [threading.Thread(target=call) for _ in range(8)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        self.fleet.signal_node("h-3", signal.SIGTERM)
        for thread in threads:
            thread.join(10)
        self.assertEqual(0, self.fleet.wait_node("h-3"))
        self.fleet.start_node("h-3")
        self.fleet.wait_serving(SERVICES)
        self.fleet.change_upstream("h-1", "archive-1", service_ms=2)
        self.assertEqual([200] * 8, [each.status for each in results])
        self.assertEqual({200000}, {len(each.body) for each in results})
