"""What a scenario's run consists of, and the registries of its words."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from lavenderway_core.ids import HostId

from lavenderway_dev.scripted import ScriptedFleet, ScriptedHost

SETTLE_S = 4.0  # hosts join and take their allotments before loads begin
Action = Callable[["Run", list[Any]], None]
Check = Callable[["Run", list[Any]], Iterable[str]]
ACTIONS: dict[str, Action] = {}
CHECKS: dict[str, Check] = {}


class Sent(NamedTuple):
    """A request of a load."""

    name: str
    at: float
    workspace: str
    route: str
    idempotency_key: str


class Run:
    """One run of a scenario with one seed.

    Args:
        seed: Seed of the run.

    """

    def __init__(self, *, seed: int) -> None:
        self.fleet = ScriptedFleet(seed=seed)
        self.secrets: dict[str, str] = {}
        self.rates: dict[str, list[tuple[float, float, float]]] = {}
        self.sent: list[Sent] = []
        self.killed: list[ScriptedHost] = []
        self.stopping: dict[str, ScriptedHost] = {}
        self.last_revision = 0
        self.ends = SETTLE_S
        self.hosts = 0
        self.first_key = 0

    def named(self, name: str) -> HostId:
        """Return the id of a host."""
        return HostId(name)


def acts(name: str) -> Callable[[Action], Action]:
    """Register the function for an action."""

    def register(action: Action) -> Action:
        ACTIONS[name] = action
        return action

    return register


def checks(name: str) -> Callable[[Check], Check]:
    """Register the function for an expectation."""

    def register(check: Check) -> Check:
        CHECKS[name] = check
        return check

    return register
