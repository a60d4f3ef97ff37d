"""State of one scenario run, and registries of scenario actions and checks."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from lavenderway_core.ids import HostId

from lavenderway_dev.simulation import SimulatedFleet, SimulatedHost

SETTLE_S = 4.0  # lets hosts join and acquire allotments before loads start
Action = Callable[["ScenarioRun", list[Any]], None]
Check = Callable[["ScenarioRun", list[Any]], Iterable[str]]
ACTIONS: dict[str, Action] = {}
CHECKS: dict[str, Check] = {}


class SentRequest(NamedTuple):
    """A request sent by a load.

    Attributes:
        name: Key of the request in `SimulatedFleet.outcomes`.
        sent_at: Virtual time at which the request was sent, in seconds.
        idempotency_key: Idempotency key; empty for none.

    """

    name: str
    sent_at: float
    workspace: str
    route: str
    idempotency_key: str


class ScenarioRun:
    """State of one run of a scenario with one seed.

    Args:
        seed: Seed of the simulation.

    Attributes:
        secrets: Secret of the API key, by workspace.
        rates: Time, new rate and new burst of each change, by workspace.
        sent: Requests of all loads, in order of time.
        killed: Hosts that were killed and not restarted yet.
        stopping: Hosts that were asked to shut down.
        last_revision: Revision of the last write of a resource.
        ends_at: Virtual time at which the last load or action ends, in seconds.
        last_key_number: Number of the last idempotency key that was used.

    """

    def __init__(self, *, seed: int) -> None:
        self.fleet = SimulatedFleet(seed=seed)
        self.secrets: dict[str, str] = {}
        self.rates: dict[str, list[tuple[float, float, float]]] = {}
        self.sent: list[SentRequest] = []
        self.killed: list[SimulatedHost] = []
        self.stopping: dict[str, SimulatedHost] = {}
        self.last_revision = 0
        self.ends_at = SETTLE_S
        self.hosts = 0
        self.last_key_number = 0

    def get_host_id(self, name: str) -> HostId:
        """Return the host ID of a name in the scenario file."""
        return HostId(name)


def register_action(name: str) -> Callable[[Action], Action]:
    """Return a decorator that registers the function of an action."""

    def register(action: Action) -> Action:
        ACTIONS[name] = action
        return action

    return register


def register_check(name: str) -> Callable[[Check], Check]:
    """Return a decorator that registers the function of an expectation."""

    def register(check: Check) -> Check:
        CHECKS[name] = check
        return check

    return register
