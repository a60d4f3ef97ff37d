"""Property test of invariants under random combinations of faults.

Rates, at-most-once execution and configuration must hold under any schedule of faults.
"""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st
from lavenderway_dev.scenario import Scenario

HEAD = """
scenario "Random faults"
proves everything
hosts 2 in saskatoon
hosts 2 in regina
upstreams of certify in saskatoon slots 6 service 8 ms
upstreams of certify in regina slots 6 service 8 ms
workspace coulee rate 40 burst 30
route orders service certify not idempotent
at 0 s load coulee 70/s on every host for 12 s route orders keyed twice
"""
TAIL = """
at 13 s heal
at 13 s table up
at 13 s thaw all
at 13 s restart all
expect rates hold
expect no request runs twice
expect every not-run is true
expect revision in force everywhere
"""
FAULTS = (
    "freeze saskatoon-1",
    "freeze regina-2",
    "thaw all",
    "kill regina-1",
    "restart all",
    "cut saskatoon from regina",
    "cut regina from the table",
    "heal",
    "table down",
    "table up",
    "lose 6 answers",
    "set coulee rate 25 burst 20",
    "break upstreams of saskatoon-2",
    "freeze upstreams of saskatoon-2",
)
SCHEDULE = st.lists(
    st.tuples(st.integers(0, 120), st.sampled_from(FAULTS)), min_size=2, max_size=8
)


class RandomFaults(unittest.TestCase):
    """Faults of any kind, also concurrent ones, violate no invariant."""

    @seed(20261203)
    @settings(
        max_examples=20,
        deadline=None,
        database=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(SCHEDULE)
    def test_invariants_hold(self, schedule: list[tuple[int, str]]) -> None:
        killed = False
        lines = []
        for tenths, fault in sorted(schedule):
            if fault.startswith("kill"):
                if killed:
                    continue
                killed = True
            elif fault == "restart all":
                killed = False
            lines.append(f"at {tenths / 10} s {fault}")
        text = HEAD + "\n".join(lines) + TAIL
        with tempfile.NamedTemporaryFile("w", suffix=".scenario") as file:
            file.write(text)
            file.flush()
            failures = Scenario(path=Path(file.name)).run()
        shown = "\n".join([*lines, *(str(failure) for failure in failures[:5])])
        self.assertEqual([], failures, shown)
