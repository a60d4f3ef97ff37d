"""Tests of the operators' command line against a fleet of running nodes."""

from __future__ import annotations

import json
import threading
import time
from typing import TYPE_CHECKING

from lavenderway_dev.fleet import send_request
from lavenderway_dev.operator_tool import call_operator, run_operator

from tests.end_to_end.support import FleetTestCase

if TYPE_CHECKING:
    import subprocess


class OperatorCommands(FleetTestCase):
    """Commands end with the expected exit code and output."""

    def run_json(self, *arguments: str) -> dict[str, object]:
        """Run a command that must succeed; return its decoded JSON output."""
        document: dict[str, object] = json.loads(run_operator(self.fleet, *arguments))
        return document

    def run_failing(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a command that must fail; return the completed process."""
        process = call_operator(self.fleet, *arguments)
        self.assertNotEqual(0, process.returncode, process.stdout)
        return process

    def test_put_get_delete(self) -> None:
        written = self.run_json("put", "workspaces", "w-1", "rate=5", "burst=7")
        stored = self.run_json("get", "workspaces", "w-1")
        self.assertEqual({"rate": 5, "burst": 7}, stored["spec"])
        self.assertEqual(written["revision"], stored["revision"])
        self.run_json("delete", "workspaces", "w-1")
        self.assertEqual(1, self.run_failing("get", "workspaces", "w-1").returncode)

    def test_key_secret_is_printed_only_on_creation(self) -> None:
        written = self.run_json("put", "keys", "k-1", "workspace=coulee")
        self.assertIn("secret", written)
        stored = self.run_json("get", "keys", "k-1")
        self.assertNotIn(str(written["secret"]), json.dumps(stored))

    def test_error_lists_every_invalid_field(self) -> None:
        process = self.run_failing("put", "workspaces", "Bad", "rate=-1", "colour=red")
        for key_path in ("name:", "spec.rate:", "spec.burst:", "spec.colour:"):
            self.assertIn(key_path, process.stderr)

    def test_broken_references_are_rejected(self) -> None:
        process = self.run_failing("put", "keys", "k-2", "workspace=nobody")
        self.assertIn("spec.workspace: there is no workspace 'nobody'", process.stderr)
        process = self.run_failing("delete", "workspaces", "coulee")
        self.assertIn("keys/site-crew", process.stderr)

    def test_write_at_an_outdated_revision_conflicts(self) -> None:
        written = self.run_json("put", "workspaces", "w-2", "rate=1", "burst=1")
        revision = str(written["revision"])
        self.run_json(
            "put", "workspaces", "w-2", "rate=2", "burst=2", "--if-match", revision
        )
        outdated_write = self.run_failing(
            "put", "workspaces", "w-2", "rate=3", "burst=3", "--if-match", revision
        )
        self.assertEqual(3, outdated_write.returncode)
        self.assertIn('"rate": 2', outdated_write.stderr)

    def test_one_concurrent_writer_wins_per_revision(self) -> None:
        base = self.put("workspaces", "w-3", rate=1, burst=1)
        etag = f'"{base["revision"]}"'
        accepted_rates: list[int] = []

        def write(rate: int) -> None:
            name = ("sk-1", "rg-1")[rate % 2]
            host = self.fleet.hosts[name]
            response = send_request(
                "PUT",
                f"{host.operators}/v1/workspaces/w-3",
                headers={
                    "Authorization": f"Bearer {self.fleet.operator_secret}",
                    "If-Match": etag,
                },
                body=json.dumps({"spec": {"rate": rate, "burst": 1}}).encode(),
            )
            if response.status == 200:
                accepted_rates.append(rate)

        threads = [threading.Thread(target=write, args=(n,)) for n in range(2, 12)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(1, len(accepted_rates))

    def test_lost_response_does_not_repeat_a_write(self) -> None:
        self.fleet.set_faults(lose_answers=2)
        written = self.run_json("put", "workspaces", "w-4", "rate=1", "burst=1")
        stored = self.run_json("get", "workspaces", "w-4")
        self.assertEqual(written["revision"], stored["revision"])

    def test_put_waits_until_in_force_everywhere(self) -> None:
        process = call_operator(
            self.fleet, "put", "workspaces", "w-5", "rate=1", "burst=1", "--wait"
        )
        self.assertEqual(0, process.returncode, process.stderr)
        last = json.loads(process.stdout.strip().splitlines()[-1])
        self.assertTrue(last["status"]["in_force_everywhere"])
        self.assertEqual(
            {"saskatoon", "regina"}, set(last["status"]["failure_domains"])
        )

    def test_read_commands(self) -> None:
        hosts = self.run_json("get", "hosts")
        self.assertEqual(2, len(hosts["items"]))  # type: ignore[arg-type]
        self.assertIn("archive-1", json.dumps(self.run_json("get", "upstreams")))
        self.assertEqual("serving", self.run_json("status")["phase"])
        self.call("GET", "sk-1", "/archive/echo")
        histograms = json.dumps(self.run_json("histograms"))
        self.assertIn('"workspace": "coulee"', histograms)
        self.assertIn('"importance": "normal"', histograms)

    def test_explain_asks_the_node_that_handled_the_request(self) -> None:
        response = self.call("GET", "sk-1", "/certify/close")
        root = response.headers["Lavenderway-Request-Id"]
        output = run_operator(self.fleet, "explain", root, host="rg-1")
        records = json.loads(output)["records"]
        self.assertIn("link-lost", json.dumps(records))

    def test_invalid_credentials_and_arguments(self) -> None:
        response = self.fleet.call_operator_api("GET", "/v1/workspaces")
        self.assertEqual(200, response.status)
        host = self.fleet.hosts["sk-1"]
        for value in (f"Bearer {self.secret}", "Bearer x", ""):
            url = f"{host.operators}/v1/workspaces"
            rejected = send_request("GET", url, headers={"Authorization": value})
            self.assertEqual(401, rejected.status)
        self.assertIn("not a kind", self.run_failing("get", "things").stderr)
        self.assertIn(
            "field=value", self.run_failing("put", "keys", "k", "oops").stderr
        )

    def test_node_starts_from_peers_while_table_is_down(self) -> None:
        self.fleet.set_faults(down=True)
        try:
            self.fleet.hosts["rg-1"].node.kill()  # type: ignore[union-attr]
            self.fleet.wait_for_exit("rg-1")
            self.fleet.start_node("rg-1")
            deadline = time.monotonic() + 15
            while time.monotonic() < deadline:
                try:
                    if self.call("GET", "rg-1", "/archive/echo").status == 200:
                        break
                except OSError:
                    time.sleep(0.1)
            response = self.call("GET", "rg-1", "/archive/echo")
            self.assertEqual(200, response.status, response.body)
        finally:
            self.fleet.set_faults(down=False)
        self.fleet.wait_until_serving({"archive", "certify"})
