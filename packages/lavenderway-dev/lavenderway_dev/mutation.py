"""Breaks one mechanism at a time on a scratch copy and checks that its tests fail.

A check that cannot fail proves nothing: each mutant of `tests/mutants.toml` names the
tests that must go red.
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
TIMEOUT_S = 240.0


class Mutant(NamedTuple):
    """One broken mechanism and the tests that must notice."""

    name: str
    file: str
    old: str
    new: str
    tests: list[str]


class Verdict(NamedTuple):
    """What became of a mutant."""

    mutant: Mutant
    noticed: bool
    note: str


def load_mutants(path: Path) -> list[Mutant]:
    """Return the mutants of a file."""
    document = tomllib.loads(path.read_text(encoding="utf-8"))
    return [Mutant(**each) for each in document["mutant"]]


def try_mutant(mutant: Mutant) -> Verdict:
    """Break the mechanism on a scratch copy and run the tests named."""
    with tempfile.TemporaryDirectory(prefix="lavenderway-mutant-") as folder:
        copy = Path(folder)
        for name in ("packages", "platform", "tests"):
            shutil.copytree(name, copy / name, ignore=shutil.ignore_patterns("*.pyc"))
        target = copy / mutant.file
        text = target.read_text(encoding="utf-8")
        if text.count(mutant.old) != 1:
            return Verdict(mutant, False, "the text to break is not there once")
        target.write_text(text.replace(mutant.old, mutant.new), encoding="utf-8")
        return _run_tests(mutant, copy)


def _run_tests(mutant: Mutant, copy: Path) -> Verdict:
    folders = [*sorted((copy / "packages").iterdir()), copy / "platform"]
    path = os.pathsep.join(str(each) for each in folders)
    environment = {**os.environ, "PYTHONPATH": path}
    for pattern in mutant.tests:
        command = [sys.executable, "-m", "lavenderway_dev.testrunner", pattern]
        try:
            done = subprocess.run(
                command,
                cwd=copy,
                env=environment,
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return Verdict(mutant, False, f"{pattern} ran into the time limit")
        if " 0 failed" in done.stdout or " failed," not in done.stdout:
            return Verdict(mutant, False, f"{pattern} did not fail")
    return Verdict(mutant, True, f"{', '.join(mutant.tests)} failed, as it must")


def main() -> int:
    """Try all mutants, or those whose name contains an argument."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    mutants = [each for each in load_mutants(MUTANTS) if pattern in each.name]
    with ThreadPoolExecutor(WORKERS) as pool:
        verdicts = list(pool.map(try_mutant, mutants))
    for verdict in verdicts:
        mark = "red " if verdict.noticed else "GREEN"
        print(f"{mark}  {verdict.mutant.name}: {verdict.note}")
    missed = sum(not verdict.noticed for verdict in verdicts)
    print(f"{len(verdicts) - missed} of {len(verdicts)} mutants noticed")
    return 1 if missed or not verdicts else 0


if __name__ == "__main__":
    sys.exit(main())
