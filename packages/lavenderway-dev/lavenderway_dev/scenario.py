"""Runs scenario files on scripted reducers and reports what did not hold."""

from __future__ import annotations

from functools import cache
from pathlib import Path
from typing import Any, NamedTuple

from lark import Lark, Token, Tree

from lavenderway_dev import scenario_checks
from lavenderway_dev.scenario_actions import LINES
from lavenderway_dev.scenario_run import ACTIONS, SETTLE_S, Run

GRAMMAR = Path(__file__).with_name("scenario.lark")
FINISH_S = 15.0
CHECKS = scenario_checks.CHECKS


class Failure(NamedTuple):
    """An expectation that did not hold."""

    seed: int
    expectation: str
    problem: str

    def __str__(self) -> str:
        """Return the failure as one line."""
        return f"seed {self.seed}: {self.expectation}: {self.problem}"


class Scenario:
    """A parsed scenario file.

    Args:
        path: The file.

    """

    def __init__(self, *, path: Path) -> None:
        tree = _parser().parse(path.read_text(encoding="utf-8"))
        found = {str(each.data): each for each in _trees(tree)}
        self.title = str(found["title"].children[0]).strip('"')
        self.point = str(found["proves"].children[0])
        seeds = found.get("seeds")
        self.seeds = int(str(seeds.children[0])) if seeds is not None else 1
        self._lines = [each for each in _trees(tree) if str(each.data) in LINES]
        self._timed = [each for each in _trees(tree) if str(each.data) == "timed"]
        self._expected = [each for each in _trees(tree) if str(each.data) == "expect"]

    def run(self) -> list[Failure]:
        """Run with every seed; return what did not hold."""
        failures: list[Failure] = []
        for seed in range(1, self.seeds + 1):
            failures += self._run_seed(seed)
        return failures

    def _run_seed(self, seed: int) -> list[Failure]:
        run = Run(seed=seed)
        for line in self._lines:
            LINES[str(line.data)](run, _values(line))
        run.fleet.run(SETTLE_S)
        for timed in self._timed:
            at, action = timed.children
            assert isinstance(action, Tree)
            self._schedule(run, float(str(at)), action)
        run.fleet.run(run.ends + FINISH_S)
        return [
            Failure(seed, str(tree.data).replace("_", " "), problem)
            for each in self._expected
            for tree in _trees(each)
            for problem in CHECKS[str(tree.data)](run, _values(tree))
        ]

    @staticmethod
    def _schedule(run: Run, at: float, action: Tree[Token]) -> None:
        run.ends = max(run.ends, SETTLE_S + at)
        perform = ACTIONS[str(action.data)]
        run.fleet.at(SETTLE_S + at, lambda: perform(run, _values(action)))


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR.read_text(encoding="utf-8"), parser="earley")


def _trees(tree: Tree[Token]) -> list[Tree[Token]]:
    return [child for child in tree.children if isinstance(child, Tree)]


def _values(tree: Tree[Token]) -> list[Any]:
    """Return the children of a tree: texts, and trees as (name, values)."""
    return [
        (str(child.data), _values(child)) if isinstance(child, Tree) else str(child)
        for child in tree.children
    ]
