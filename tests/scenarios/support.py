"""Runs a scenario file as a test."""

from __future__ import annotations

import unittest
from pathlib import Path

from lavenderway_dev.scenario import Scenario

FOLDER = Path(__file__).parent


class ScenarioCase(unittest.TestCase):
    """Proves a point of the brief by a scenario."""

    def prove(self, name: str) -> None:
        """Run a scenario with all its seeds; fail with what did not hold."""
        failures = Scenario(path=FOLDER / f"{name}.scenario").run()
        shown = "\n".join(str(failure) for failure in failures[:8])
        self.assertFalse(failures, f"{len(failures)} did not hold:\n{shown}")
