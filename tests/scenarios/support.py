"""Base class of tests that run a scenario file."""

from __future__ import annotations

import unittest
from pathlib import Path

from lavenderway_dev.scenario import Scenario

FOLDER = Path(__file__).parent


class ScenarioCase(unittest.TestCase):
    """Test case whose tests each run one scenario file of this folder."""

    def run_scenario(self, name: str) -> None:
        """Run a scenario with all its seeds; fail with the violated expectations."""
        failures = Scenario(path=FOLDER / f"{name}.scenario").run()
        shown = "\n".join(str(failure) for failure in failures[:8])
        self.assertFalse(failures, f"{len(failures)} expectations violated:\n{shown}")
