"""Tests of the operators' command line against real nodes."""

from __future__ import annotations

import json
import threading
import time
from typing import TYPE_CHECKING

from lavenderway_dev.fleet import send
from lavenderway_dev.operator import call_operator, run_operator

from tests.end_to_end.support import FleetCase

if TYPE_CHECKING:
    import subprocess


class CommandTest(FleetCase):
    """What operators type, and what they get."""

    def operate_ok(self, *arguments: str) -> dict[str, object]:
        """Run a command that must succeed; return its JSON output."""
        document: dict[str, object] = json.loads(run_operator(self.fleet, *arguments))
        return document

    def refuse(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a command that must fail; return how it ended."""
        done = call_operator(self.fleet, *arguments)
        self.assertNotEqual(0, done.returncode, done.stdout)
        return done

    def test_put_get_delete(self) -> None:
        made = self.operate_ok("put", "workspaces", "w-1", "rate=5", "burst=7")
        shown = self.operate_ok("get", "workspaces", "w-1")
        self.assertEqual({"rate": 5, "burst": 7}, shown["spec"])
        self.assertEqual(made["revision"], shown["revision"])
        self.operate_ok("delete", "workspaces", "w-1")
        self.assertEqual(1, self.refuse("get", "workspaces", "w-1").returncode)

    def test_key_secret_is_shown_once_and_works(self) -> None:
        made = self.operate_ok("put", "keys", "k-1", "workspace=coulee")
        self.assertIn("secret", made)
        shown = self.operate_ok("get", "keys", "k-1")
        self.assertNotIn(str(made["secret"]), json.dumps(shown))

    def test_all_findings_are_listed(self) -> None:
        done = self.refuse("put", "workspaces", "Bad", "rate=-1", "colour=red")
        for place in ("name:", "spec.rate:", "spec.burst:", "spec.colour:"):
            self.assertIn(place, done.stderr)

    def test_reference_to_nothing(self) -> None:
        done = self.refuse("put", "keys", "k-2", "workspace=nobody")
        self.assertIn("spec.workspace: there is no workspace 'nobody'", done.stderr)
        done = self.refuse("delete", "workspaces", "coulee")
        self.assertIn("keys/site-crew", done.stderr)

    def test_race_of_operators(self) -> None:
        made = self.operate_ok("put", "workspaces", "w-2", "rate=1", "burst=1")
        revision = str(made["revision"])
        self.operate_ok(
            "put", "workspaces", "w-2", "rate=2", "burst=2", "--if-match", revision
        )
        loser = self.refuse(
            "put", "workspaces", "w-2", "rate=3", "burst=3", "--if-match", revision
        )
        self.assertEqual(3, loser.returncode)
        self.assertIn('"rate": 2', loser.stderr)

    def test_many_racing_writers_one_wins_each_revision(self) -> None:
        base = self.put("workspaces", "w-3", rate=1, burst=1)
        etag = f'"{base["revision"]}"'
        wins: list[int] = []

        def write(rate: int) -> None:
            name = ("sk-1", "rg-1")[rate % 2]
            host = self.fleet.hosts[name]
            answer = send(
                "PUT",
                f"{host.operators}/v1/workspaces/w-3",
                headers={
                    "Authorization": f"Bearer {self.fleet.operator_secret}",
                    "If-Match": etag,
                },
                body=json.dumps({"spec": {"rate": rate, "burst": 1}}).encode(),
            )
            if answer.status == 200:
                wins.append(rate)

        threads = [threading.Thread(target=write, args=(n,)) for n in range(2, 12)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(1, len(wins))

    def test_lost_answer_is_settled_by_the_write_id(self) -> None:
        self.fleet.set_faults(lose_answers=2)
        made = self.operate_ok("put", "workspaces", "w-4", "rate=1", "burst=1")
        shown = self.operate_ok("get", "workspaces", "w-4")
        self.assertEqual(made["revision"], shown["revision"])

    def test_watch_shows_a_change_take_hold(self) -> None:
        done = call_operator(
            self.fleet, "put", "workspaces", "w-5", "rate=1", "burst=1", "--wait"
        )
        self.assertEqual(0, done.returncode, done.stderr)
        last = json.loads(done.stdout.strip().splitlines()[-1])
        self.assertTrue(last["status"]["in_force_everywhere"])
        self.assertEqual(
            {"saskatoon", "regina"}, set(last["status"]["failure_domains"])
        )

    def test_hosts_upstreams_status_histograms(self) -> None:
        hosts = self.operate_ok("get", "hosts")
        self.assertEqual(2, len(hosts["items"]))  # type: ignore[arg-type]
        self.assertIn("archive-1", json.dumps(self.operate_ok("get", "upstreams")))
        self.assertEqual("serving", self.operate_ok("status")["phase"])
        self.call("GET", "sk-1", "/archive/echo")
        shown = json.dumps(self.operate_ok("histograms"))
        self.assertIn('"workspace": "coulee"', shown)
        self.assertIn('"importance": "normal"', shown)

    def test_explain_from_another_node(self) -> None:
        answer = self.call("GET", "sk-1", "/certify/close")
        root = answer.headers["Lavenderway-Request-Id"]
        done = run_operator(self.fleet, "explain", root, host="rg-1")
        records = json.loads(done)["records"]
        self.assertIn("link-lost", json.dumps(records))

    def test_wrong_credential_and_usage(self) -> None:
        answer = self.fleet.operate("GET", "/v1/workspaces")
        self.assertEqual(200, answer.status)
        host = self.fleet.hosts["sk-1"]
        for value in (f"Bearer {self.secret}", "Bearer x", ""):
            url = f"{host.operators}/v1/workspaces"
            denied = send("GET", url, headers={"Authorization": value})
            self.assertEqual(401, denied.status)
        self.assertIn("not a kind", self.refuse("get", "things").stderr)
        self.assertIn("field=value", self.refuse("put", "keys", "k", "oops").stderr)

    def test_cold_node_learns_from_peers_during_an_outage(self) -> None:
        self.fleet.set_faults(down=True)
        try:
            self.fleet.hosts["rg-1"].node.kill()  # type: ignore[union-attr]
            self.fleet.wait_node("rg-1")
            self.fleet.start_node("rg-1")
            ends = time.monotonic() + 15
            while time.monotonic() < ends:
                try:
                    if self.call("GET", "rg-1", "/archive/echo").status == 200:
                        break
                except OSError:
                    time.sleep(0.1)
            answer = self.call("GET", "rg-1", "/archive/echo")
            self.assertEqual(200, answer.status, answer.body)
        finally:
            self.fleet.set_faults(down=False)
        self.fleet.wait_serving({"archive", "certify"})
