"""Parser and runner of scenario files, on the deterministic simulation."""

from __future__ import annotations

from functools import cache
from pathlib import Path
from typing import Any, NamedTuple

from lark import Lark, Token, Tree

from lavenderway_dev import scenario_checks
from lavenderway_dev.scenario_actions import DECLARATIONS
from lavenderway_dev.scenario_run import ACTIONS, SETTLE_S, ScenarioRun

GRAMMAR = Path(__file__).with_name("scenario.lark")
FINAL_RUN_S = 15.0
CHECKS = scenario_checks.CHECKS


class Failure(NamedTuple):
    """A violated expectation.

    Attributes:
        seed: Seed of the run.
        expectation: Name of the expectation.
        problem: What was observed instead.

    """

    seed: int
    expectation: str
    problem: str

    def __str__(self) -> str:
        """Return the failure as a single line of text."""
        return f"seed {self.seed}: {self.expectation}: {self.problem}"


class Scenario:
    """A parsed scenario file.

    Args:
        path: Path of the scenario file.

    Attributes:
        title: Title of the scenario.
        subject: Property that the scenario tests, from its `proves` line.
        seeds: Number of seeds to run with, counted from 1.

    """

    def __init__(self, *, path: Path) -> None:
        tree = _build_parser().parse(path.read_text(encoding="utf-8"))
        found = {str(each.data): each for each in _list_subtrees(tree)}
        self.title = str(found["title"].children[0]).strip('"')
        self.subject = str(found["proves"].children[0])
        seeds = found.get("seeds")
        self.seeds = int(str(seeds.children[0])) if seeds is not None else 1
        self._declarations = [
            each for each in _list_subtrees(tree) if str(each.data) in DECLARATIONS
        ]
        self._timed_actions = [
            each for each in _list_subtrees(tree) if str(each.data) == "timed"
        ]
        self._expectations = [
            each for each in _list_subtrees(tree) if str(each.data) == "expect"
        ]

    def run(self) -> list[Failure]:
        """Run the scenario with every seed; return all violated expectations."""
        failures: list[Failure] = []
        for seed in range(1, self.seeds + 1):
            failures += self._run_seed(seed)
        return failures

    def _run_seed(self, seed: int) -> list[Failure]:
        run = ScenarioRun(seed=seed)
        for declaration in self._declarations:
            DECLARATIONS[str(declaration.data)](run, _decode_children(declaration))
        run.fleet.run(SETTLE_S)
        for timed in self._timed_actions:
            at, action = timed.children
            assert isinstance(action, Tree)
            self._schedule_action(run, float(str(at)), action)
        run.fleet.run(run.ends_at + FINAL_RUN_S)
        return [
            Failure(seed, str(tree.data).replace("_", " "), problem)
            for each in self._expectations
            for tree in _list_subtrees(each)
            for problem in CHECKS[str(tree.data)](run, _decode_children(tree))
        ]

    @staticmethod
    def _schedule_action(run: ScenarioRun, at: float, action: Tree[Token]) -> None:
        run.ends_at = max(run.ends_at, SETTLE_S + at)
        perform = ACTIONS[str(action.data)]
        run.fleet.at(SETTLE_S + at, lambda: perform(run, _decode_children(action)))


@cache
def _build_parser() -> Lark:
    return Lark(GRAMMAR.read_text(encoding="utf-8"), parser="earley")


def _list_subtrees(tree: Tree[Token]) -> list[Tree[Token]]:
    return [child for child in tree.children if isinstance(child, Tree)]


def _decode_children(tree: Tree[Token]) -> list[Any]:
    """Return the children of a tree: tokens as text, trees as (name, children)."""
    return [
        (str(child.data), _decode_children(child))
        if isinstance(child, Tree)
        else str(child)
        for child in tree.children
    ]
