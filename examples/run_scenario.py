"""Example that runs a scenario file and prints the violated expectations.

Run it with `.venv/bin/python examples/run_scenario.py tests/scenarios/FILE.scenario`.
"""

import sys
from pathlib import Path

from lavenderway_dev.scenario import Scenario


def main() -> int:
    """Run the scenario file given as argument; return the exit code."""
    scenario = Scenario(path=Path(sys.argv[1]))
    failures = scenario.run()
    print(f"{scenario.title}: {len(failures) or 'no'} expectation(s) violated")
    for failure in failures:
        print(f"  {failure}")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
