"""Tests of what operators see of clients that press."""

import os
import unittest
from typing import Any

import orjson
from lavenderway_relay.logs import LogStream
from lavenderway_relay.pressure_log import CALM_S, WaitLog


class Waits(unittest.TestCase):
    """The begin and the end of a time with waiting requests are logged once."""

    def setUp(self) -> None:
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, read_end)
        self.addCleanup(os.close, write_end)
        self.read_end = read_end
        self.log = LogStream(host="own", descriptor=write_end)
        self.wait_log = WaitLog(log=self.log)

    def read_lines(self) -> list[dict[str, Any]]:
        self.log.flush()
        os.set_blocking(self.read_end, False)
        try:
            data = os.read(self.read_end, 65_536)
        except BlockingIOError:
            return []
        return [orjson.loads(line) for line in data.splitlines()]

    def test_calm(self) -> None:
        self.wait_log.update(0, 0, 10.0)
        self.assertEqual([], self.read_lines())

    def test_begin_and_end(self) -> None:
        for now in (10.0, 10.1, 12.0):
            self.wait_log.update(3, 1, now)
        self.wait_log.update(0, 0, 12.0 + CALM_S / 2)
        (line,) = self.read_lines()
        self.assertEqual("clients.waiting", line["event"])
        self.assertEqual((3, 1), (line["requests"], line["responses"]))
        self.wait_log.update(0, 0, 12.0 + CALM_S)
        self.wait_log.update(0, 0, 13.0 + CALM_S)
        (line,) = self.read_lines()
        self.assertEqual("clients.admitted", line["event"])
        self.assertEqual(2.0, line["waited_s"])


if __name__ == "__main__":
    unittest.main()
