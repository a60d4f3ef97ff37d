"""Test runner that runs test modules in parallel processes.

Leaves out the failing tests in KNOWN-RED.txt and prints them. A test class with a true
attribute `SEPARATE_PROCESSES` has a process for each test. The tests of a class with a
true attribute `RUN_ALONE` run one at a time, after all others.
"""

from __future__ import annotations

import io
import multiprocessing
import sys
import time
import unittest
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import NamedTuple

KNOWN_RED = Path("KNOWN-RED.txt")
WORKERS = 4


class UnitResult(NamedTuple):
    """Result of the tests that ran in one process.

    Attributes:
        test_ids: IDs of the tests.
        duration_s: Time that the tests took, in seconds.
        output: Report of the tests.

    """

    name: str
    test_ids: list[str]
    run: int
    failed: int
    skipped: int
    duration_s: float
    output: str


def read_known_red(path: Path) -> list[str]:
    """Return the dotted IDs of the tests listed as known failures."""
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    return [line.split("|")[0].strip() for line in lines if line.strip()]


def group_tests(tests: list[unittest.TestCase]) -> dict[str, list[str]]:
    """Return the IDs of the tests of each process, the separate tests first."""
    separate: dict[str, list[str]] = {}
    modules: dict[str, list[str]] = {}
    for test in tests:
        if getattr(test, "SEPARATE_PROCESSES", False):
            separate[test.id()] = [test.id()]
        else:
            modules.setdefault(type(test).__module__, []).append(test.id())
    return separate | modules


def separate_lone_tests(
    tests: list[unittest.TestCase],
) -> tuple[list[unittest.TestCase], list[unittest.TestCase]]:
    """Return the tests that may run beside others, and those that run alone."""
    lone = [test for test in tests if getattr(test, "RUN_ALONE", False)]
    return [test for test in tests if test not in lone], lone


def run_unit(name: str, test_ids: list[str]) -> UnitResult:
    """Run tests in the present process."""
    stream = io.StringIO()
    started = time.monotonic()
    suite = unittest.defaultTestLoader.loadTestsFromNames(test_ids)
    result = unittest.TextTestRunner(stream, verbosity=1, buffer=True).run(suite)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    return UnitResult(
        name,
        test_ids,
        result.testsRun,
        failed,
        len(result.skipped),
        time.monotonic() - started,
        stream.getvalue(),
    )


def run_units(units: dict[str, list[str]], workers: int) -> list[UnitResult]:
    """Run each unit in a new process; print the reports of failures as they come."""
    results = []
    with ProcessPoolExecutor(
        workers,
        mp_context=multiprocessing.get_context("spawn"),
        max_tasks_per_child=1,
    ) as pool:
        futures = [pool.submit(run_unit, name, ids) for name, ids in units.items()]
        for future in as_completed(futures):
            result = future.result()
            results.append(result)
            mark = "FAILED" if result.failed else "ok"
            print(f"{mark} {result.name} ({result.duration_s:.1f} s)", flush=True)
            if result.failed:
                print(result.output, flush=True)
    return results


def find_missing(
    tests: list[unittest.TestCase], results: list[UnitResult]
) -> list[str]:
    """Return the IDs of the tests that no result covers."""
    covered = {test_id for result in results for test_id in result.test_ids}
    return [test.id() for test in tests if test.id() not in covered]


def _flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    tests: list[unittest.TestCase] = []
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            tests += _flatten(test)
        else:
            tests.append(test)
    return tests


def main() -> int:
    """Run the tests whose ID contains the first argument; return the exit code."""
    known_red = read_known_red(KNOWN_RED)
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    started = time.monotonic()
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=".")
    tests = [
        test
        for test in _flatten(suite)
        if pattern in test.id() and test.id() not in known_red
    ]
    shared, lone = separate_lone_tests(tests)
    results = run_units(group_tests(shared), WORKERS)
    results += run_units(group_tests(lone), workers=1)
    print(f"{len(tests)} tests in {time.monotonic() - started:.1f} s")
    for name in known_red:
        print(f"KNOWN RED, not run: {name}")
    run = sum(result.run for result in results)
    failed = sum(result.failed for result in results) + len(
        find_missing(tests, results)
    )
    skipped = sum(result.skipped for result in results)
    print(f"{run - failed - skipped} passed, {failed} failed, {skipped} skipped")
    return 0 if failed == 0 and run else 1


if __name__ == "__main__":
    sys.exit(main())
