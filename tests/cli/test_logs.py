"""Tests of the filter for node logs and of the command `logs`."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from cleo.testers.command_tester import CommandTester
from lavenderway_cli.application import build_application
from lavenderway_cli.logs import LogFilter, select_records


def make_line(time: float, event: str, **fields: Any) -> str:
    return json.dumps({"time": time, "host": "h", "event": event, **fields})


LINES = [
    make_line(3.0, "request.refused", request="ab", workspace="w", reason="over-rate"),
    "12.3 node-1 " + make_line(1.0, "request.shed", request="ab.1"),
    make_line(2.0, "store.lost", table="op"),
    make_line(2.5, "request.answered", request="abc"),
    "Traceback (most recent call last):",
    "{not json",
]


class RecordSelection(unittest.TestCase):
    """Records of several sources are filtered and merged in order of time."""

    def select(self, **conditions: Any) -> list[str]:
        records = select_records([LINES[:2], LINES[2:]], LogFilter(**conditions))
        return [record["event"] for record in records]

    def test_records_are_in_order_of_time(self) -> None:
        events = ["request.shed", "store.lost", "request.answered", "request.refused"]
        self.assertEqual(events, self.select())

    def test_request_filter_includes_its_calls(self) -> None:
        self.assertEqual(["request.shed", "request.refused"], self.select(request="ab"))

    def test_other_filters(self) -> None:
        self.assertEqual(["request.refused"], self.select(workspace="w"))
        self.assertEqual(["store.lost"], self.select(event="store."))
        self.assertEqual(["store.lost"], self.select(since=2.0, until=2.2))
        self.assertEqual([], self.select(host="other"))


class LogsCommandOutput(unittest.TestCase):
    """The command prints a timeline and fails on a file that it cannot read."""

    def run_command(self, arguments: str) -> CommandTester:
        tester = CommandTester(build_application().find("logs"))
        tester.execute(arguments)
        return tester

    def test_timeline_shows_time_since_first_record(self) -> None:
        with tempfile.TemporaryDirectory() as configuration_store:
            path = Path(configuration_store) / "node.log"
            path.write_text("\n".join(LINES), encoding="utf-8")
            tester = self.run_command(f"{path} --request ab")
        self.assertEqual(0, tester.status_code)
        lines = tester.io.fetch_output().splitlines()
        self.assertEqual(2, len(lines))
        self.assertIn("+2.000 s", lines[1])
        self.assertIn("reason=over-rate", lines[1])

    def test_missing_file_is_a_usage_error(self) -> None:
        self.assertEqual(2, self.run_command("/nonexistent/x.log").status_code)
