"""Mutation testing: breaks one mechanism at a time and checks that its tests fail.

Each mutant of `tests/mutants.toml` replaces one piece of source on a temporary copy of
the repository and names the tests that must fail on it.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

MUTANTS = Path("tests/mutants.toml")
WORKERS = 3
TEST_TIMEOUT_S = 240.0


class Mutant(NamedTuple):
    """A source change that breaks a mechanism, and the tests that must detect it.

    Attributes:
        name: Name of the mutant.
        file: Path of the source file to change.
        old: Source text to replace; it must occur exactly once.
        new: Source text that replaces it.
        tests: Patterns of test IDs; tests of each pattern must fail.

    """

    name: str
    file: str
    old: str
    new: str
    tests: list[str]


class Verdict(NamedTuple):
    """Result of running the tests on a mutant."""

    mutant: Mutant
    detected: bool
    detail: str


def load_mutants(path: Path) -> list[Mutant]:
    """Decode the mutants of a TOML file."""
    document = tomllib.loads(path.read_text(encoding="utf-8"))
    return [Mutant(**each) for each in document["mutant"]]


def run_mutant(mutant: Mutant) -> Verdict:
    """Run a mutant's tests on a temporary copy with the mutant applied."""
    with tempfile.TemporaryDirectory(prefix="lavenderway-mutant-") as folder:
        copy = Path(folder)
        for name in ("packages", "platform", "tests"):
            shutil.copytree(name, copy / name, ignore=shutil.ignore_patterns("*.pyc"))
        target = copy / mutant.file
        text = target.read_text(encoding="utf-8")
        if text.count(mutant.old) != 1:
            return Verdict(mutant, False, "text to replace does not occur exactly once")
        target.write_text(text.replace(mutant.old, mutant.new), encoding="utf-8")
        return _run_tests(mutant, copy)


def _run_tests(mutant: Mutant, copy: Path) -> Verdict:
    folders = [*sorted((copy / "packages").iterdir()), copy / "platform"]
    path = os.pathsep.join(str(each) for each in folders)
    environment = {**os.environ, "PYTHONPATH": path}
    for pattern in mutant.tests:
        command = [sys.executable, "-m", "lavenderway_dev.testrunner", pattern]
        try:
            completed = subprocess.run(
                command,
                cwd=copy,
                env=environment,
                capture_output=True,
                text=True,
                timeout=TEST_TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return Verdict(mutant, False, f"{pattern} exceeded the time limit")
        if " 0 failed" in completed.stdout or " failed," not in completed.stdout:
            return Verdict(mutant, False, f"{pattern} did not fail")
    return Verdict(mutant, True, f"{', '.join(mutant.tests)} failed as expected")


def main() -> int:
    """Run all mutants, or those whose name contains the first argument."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    mutants = [each for each in load_mutants(MUTANTS) if pattern in each.name]
    with ThreadPoolExecutor(WORKERS) as pool:
        verdicts = list(pool.map(run_mutant, mutants))
    for verdict in verdicts:
        mark = "red " if verdict.detected else "GREEN"
        print(f"{mark}  {verdict.mutant.name}: {verdict.detail}")
    undetected = sum(not verdict.detected for verdict in verdicts)
    print(f"{len(verdicts) - undetected} of {len(verdicts)} mutants detected")
    return 1 if undetected or not verdicts else 0


if __name__ == "__main__":
    sys.exit(main())
