"""Tests of node crashes and suspensions, table outages and rolling restarts."""

from __future__ import annotations

import json
import signal
import socket
import threading
import time
from collections import Counter

from lavenderway_dev.fleet import HostPlan, HttpResponse, UpstreamPlan, send_request

from tests.end_to_end.support import FleetTestCase, read_until_closed

KEY_WITHDRAWAL_TIMEOUT_S = 5.0
UPSTREAM_EXIT_TIMEOUT_S = 5.0
RESTARTS_PER_NODE = 3
SERVICES = {"archive", "certify"}


def build_four_host_plans() -> list[HostPlan]:
    """Return plans of two hosts in each of two failure domains, with both services."""
    plans = []
    for number in range(4):
        domain = ("saskatoon", "regina")[number % 2]
        archive = UpstreamPlan(f"archive-{number}", "archive")
        certify = UpstreamPlan(f"certify-{number}", "certify")
        plans.append(HostPlan(f"h-{number}", domain, (archive, certify)))
    return plans


class CallerThread(threading.Thread):
    """Sends requests to hosts in turn until it is stopped.

    Args:
        case: Test case that provides the fleet and the caller key.
        path: Path to call.
        hosts: Hosts to call.
        with_idempotency_keys: Whether each request has an idempotency key and is sent
            twice.

    """

    def __init__(
        self,
        case: FleetTestCase,
        *,
        path: str,
        hosts: list[str],
        with_idempotency_keys: bool = False,
    ) -> None:
        super().__init__(daemon=True)
        self.responses: list[tuple[str, HttpResponse]] = []
        self.failed_requests = 0
        self._case = case
        self._path = path
        self._hosts = hosts
        self._with_idempotency_keys = with_idempotency_keys
        self._stop_requested = threading.Event()

    def run(self) -> None:
        """Send requests until stopped."""
        number = 0
        while not self._stop_requested.is_set():
            number += 1
            key = f"{id(self)}-{number}"
            for attempt in range(2 if self._with_idempotency_keys else 1):
                host = self._hosts[(number + attempt) % len(self._hosts)]
                self._send(host, key)

    def _send(self, host: str, key: str) -> None:
        headers = dict(self._case.key_header)
        if self._with_idempotency_keys:
            headers["Idempotency-Key"] = key
        url = self._case.fleet.hosts[host].callers + self._path
        try:
            response = send_request(
                "POST", url, headers=headers, body=key.encode(), timeout_s=6
            )
            self.responses.append((key, response))
        except OSError:
            self.failed_requests += 1
            time.sleep(0.02)

    def stop_and_collect(self) -> list[tuple[str, HttpResponse]]:
        """Stop the thread and return the responses with their request bodies."""
        self._stop_requested.set()
        self.join(15)
        return self.responses


class FourHostTestCase(FleetTestCase):
    """Runs four hosts and compares responses with the executions of upstreams."""

    @classmethod
    def build_plans(cls) -> list[HostPlan]:
        """Return the plans of the hosts to start."""
        return build_four_host_plans()

    def count_executions(self) -> Counter[str]:
        """Return the number of executions on all upstreams by root request."""
        total: Counter[str] = Counter()
        for record in self.fleet.read_upstream_records():
            total.update(record["executions"])
        return total

    def assert_not_run_outcomes_are_correct(
        self, responses: list[tuple[str, HttpResponse]]
    ) -> None:
        """Check that no request with the outcome `not-run` was executed."""
        runs = self.count_executions()
        for _, response in responses:
            root = response.headers.get("Lavenderway-Request-Id", "")
            if response.headers.get("Lavenderway-Outcome") == "not-run":
                self.assertEqual(0, runs[root], response)

    def assert_each_key_ran_at_most_once(
        self, responses: list[tuple[str, HttpResponse]]
    ) -> None:
        """Check that the requests of each idempotency key ran at most once in total."""
        runs = self.count_executions()
        by_key: Counter[str] = Counter()
        for key, response in responses:
            by_key[key] += runs[response.headers.get("Lavenderway-Request-Id", "")]
        self.assertEqual([], [key for key, count in by_key.items() if count > 1])
        self.assertGreater(sum(by_key.values()), 0)


class NodeCrashTest(FourHostTestCase):
    """A node is killed and restarted while requests with idempotency keys are sent."""

    def test_keyed_requests_run_at_most_once(self) -> None:
        callers = [
            CallerThread(
                self,
                path="/certify/echo",
                hosts=["h-0", "h-1", "h-2"],
                with_idempotency_keys=True,
            )
            for _ in range(3)
        ]
        for caller in callers:
            caller.start()
        time.sleep(1.0)
        for _ in range(2):
            self.fleet.signal_node("h-3", signal.SIGKILL)
            self.fleet.wait_for_exit("h-3")
            time.sleep(0.7)
            self.fleet.start_node("h-3")
            self.fleet.wait_until_serving(SERVICES)
        responses = [each for caller in callers for each in caller.stop_and_collect()]
        self.assertGreater(
            sum(response.status == 200 for _, response in responses), 100
        )
        self.assert_each_key_ran_at_most_once(responses)
        self.assert_not_run_outcomes_are_correct(responses)
        self.assert_no_internal_errors()


class NodeSuspensionTest(FourHostTestCase):
    """A node process is suspended and resumed while requests are sent."""

    def test_responses_match_their_requests_after_a_suspension(self) -> None:
        keyed = CallerThread(
            self, path="/certify/echo", hosts=["h-0", "h-2"], with_idempotency_keys=True
        )
        unkeyed = CallerThread(self, path="/archive/echo", hosts=["h-0", "h-2"])
        keyed.start()
        unkeyed.start()
        time.sleep(1.0)
        self.fleet.signal_node("h-1", signal.SIGSTOP)
        time.sleep(4.0)
        self.fleet.signal_node("h-1", signal.SIGCONT)
        time.sleep(2.0)
        responses = keyed.stop_and_collect() + unkeyed.stop_and_collect()
        for key, response in responses:
            if response.status == 200:
                self.assertEqual(key.encode(), response.body)
        self.assert_each_key_ran_at_most_once(keyed.responses)
        self.assert_not_run_outcomes_are_correct(responses)
        self.assert_no_internal_errors()


class TableOutageTest(FourHostTestCase):
    """The platform's table loses responses and becomes unavailable."""

    def test_keyed_requests_fail_without_running_and_others_are_served(self) -> None:
        self.fleet.set_faults(lose_answers=5)
        idempotency_header = {"Idempotency_Key": "o-1"}
        first = self.call("POST", "h-0", "/certify/echo", b"x", **idempotency_header)
        again = self.call("POST", "h-1", "/certify/echo", b"x", **idempotency_header)
        self.assertEqual((200, b"x"), (first.status, first.body))
        self.assertEqual((200, b"x"), (again.status, again.body))
        other = self.call("POST", "h-1", "/certify/echo", b"y", **idempotency_header)
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
            write = self.fleet.call_operator_api(
                "PUT", "/v1/workspaces/late", {"spec": {"rate": 1, "burst": 1}}
            )
            self.assertEqual(503, write.status)
        finally:
            self.fleet.set_faults(down=False)
        missing = self.fleet.call_operator_api("GET", "/v1/workspaces/late")
        self.assertEqual(404, missing.status)
        after = self.call("POST", "h-2", "/certify/echo", b"z", Idempotency_Key="o-2")
        self.assertEqual(200, after.status)
        self.assert_not_run_outcomes_are_correct([("o-2", refused), ("o-2", after)])
        self.assert_no_internal_errors()


class KeyWithdrawalTest(FourHostTestCase):
    """A key is withdrawn while the node of one host is suspended."""

    def test_withdrawn_key_is_refused_by_every_node(self) -> None:
        created_key = self.put("keys", "short", workspace="coulee")
        self.fleet.wait_until_in_force(int(str(created_key["revision"])))
        key = {"Authorization": f"Bearer {created_key['secret']}"}
        for host in self.fleet.hosts.values():
            response = send_request("GET", f"{host.callers}/archive/echo", headers=key)
            self.assertEqual(200, response.status)
        self.fleet.signal_node("h-1", signal.SIGSTOP)
        self.fleet.call_operator_api("DELETE", "/v1/keys/short")
        self.fleet.signal_node("h-1", signal.SIGCONT)
        deadline = time.monotonic() + KEY_WITHDRAWAL_TIMEOUT_S
        accepting = set(self.fleet.hosts)
        while accepting and time.monotonic() < deadline:
            for name in list(accepting):
                url = f"{self.fleet.hosts[name].callers}/archive/echo"
                if send_request("GET", url, headers=key).status == 401:
                    accepting.discard(name)
        self.assertEqual(set(), accepting)
        records = json.dumps(self.fleet.read_upstream_records())
        self.assertNotIn(str(created_key["secret"]), records)


class LeavingUpstreamTest(FourHostTestCase):
    """An upstream deregisters or is drained."""

    def test_no_request_fails_when_an_upstream_exits(self) -> None:
        caller = CallerThread(self, path="/certify/echo", hosts=["h-0", "h-2", "h-3"])
        caller.start()
        time.sleep(0.5)
        host = self.fleet.hosts["h-1"]
        host.upstreams["certify-1"].send_signal(signal.SIGTERM)
        host.upstreams["certify-1"].wait(UPSTREAM_EXIT_TIMEOUT_S)
        self.wait_until(lambda: self._is_not_ready("certify-1"))
        time.sleep(0.5)
        responses = caller.stop_and_collect()
        self.assertEqual(
            [], [response for _, response in responses if response.status != 200][:3]
        )
        self.assertEqual(0, caller.failed_requests)

    def _is_not_ready(self, name: str) -> bool:
        for host in self.fleet.hosts:
            response = self.fleet.call_operator_api(
                "GET", "/v1/upstreams", host=host
            ).json()
            for item in response["items"]:
                if item["name"] == name and item["status"]["state"] == "ready":
                    return False
        return True

    def test_drained_upstream_receives_no_requests(self) -> None:
        written = self.put("upstreams", "archive-2", drain=True)
        self.fleet.wait_until_in_force(int(str(written["revision"])))
        self.wait_until(lambda: self._is_not_ready("archive-2"))
        before = sum(
            self.fleet.read_upstream_record("h-2", "archive-2")["executions"].values()
        )
        for number in range(40):
            response = self.call("GET", f"h-{number % 4}", "/archive/echo")
            self.assertEqual(200, response.status)
        after = sum(
            self.fleet.read_upstream_record("h-2", "archive-2")["executions"].values()
        )
        self.assertEqual(before, after)


class RollingRestartTest(FourHostTestCase):
    """Nodes are stopped and restarted one after another under load."""

    def test_no_request_fails_during_rolling_restarts(self) -> None:
        callers = [
            CallerThread(self, path=path, hosts=["h-0", "h-1"])
            for path in ("/certify/echo", "/archive/echo", "/certify/echo")
        ]
        for caller in callers:
            caller.start()
        time.sleep(0.5)
        for _ in range(RESTARTS_PER_NODE):
            for name in ("h-2", "h-3"):
                self.fleet.signal_node(name, signal.SIGTERM)
                self.assertEqual(0, self.fleet.wait_for_exit(name))
                self.fleet.start_node(name)
                self.fleet.wait_until_serving(SERVICES)
        responses = [each for caller in callers for each in caller.stop_and_collect()]
        failures = Counter(
            response.status for _, response in responses if response.status != 200
        )
        self.assertEqual({}, dict(failures))
        self.assertEqual(0, sum(caller.failed_requests for caller in callers))
        self.assertGreater(len(responses), 500)
        self.assert_no_internal_errors()

    def test_requests_in_progress_complete_before_the_node_stops(self) -> None:
        self.fleet.set_upstream_behavior("h-1", "archive-1", service_ms=1500)
        results: list[HttpResponse] = []
        url = self.fleet.hosts["h-3"].callers + "/archive/bytes/200000"

        def call() -> None:
            results.append(send_request("GET", url, headers=self.key_header))

        threads = [threading.Thread(target=call) for _ in range(8)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        self.fleet.signal_node("h-3", signal.SIGTERM)
        for thread in threads:
            thread.join(10)
        self.assertEqual(0, self.fleet.wait_for_exit("h-3"))
        self.fleet.start_node("h-3")
        self.fleet.wait_until_serving(SERVICES)
        self.fleet.set_upstream_behavior("h-1", "archive-1", service_ms=2)
        self.assertEqual([200] * 8, [each.status for each in results])
        self.assertEqual({200000}, {len(each.body) for each in results})

    def test_request_behind_last_response_does_not_cut_it_off(self) -> None:
        for number in range(4):
            self.fleet.set_upstream_behavior(
                f"h-{number}", f"archive-{number}", service_ms=600
            )
        with socket.socket() as connection:
            connection.settimeout(10)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            port = self.fleet.hosts["h-3"].ports.callers
            connection.connect(("127.0.0.1", port))
            request = (
                "GET /archive/bytes/2000000 HTTP/1.1\r\nHost: a\r\n"
                f"Authorization: Bearer {self.secret}\r\n\r\n"
            )
            connection.sendall(request.encode())
            time.sleep(0.2)
            self.fleet.signal_node("h-3", signal.SIGTERM)
            time.sleep(0.9)  # the node has written the response, which is not read yet
            connection.sendall(request.encode())
            response = read_until_closed(connection)
        self.assertEqual(0, self.fleet.wait_for_exit("h-3"))
        self.fleet.start_node("h-3")
        self.fleet.wait_until_serving(SERVICES)
        for number in range(4):
            self.fleet.set_upstream_behavior(
                f"h-{number}", f"archive-{number}", service_ms=2
            )
        self.assertEqual(2_000_000, len(response.partition(b"\r\n\r\n")[2]))
