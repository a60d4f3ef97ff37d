"""Compares ways to find how many requests an upstream takes well, on the same loads.

Each policy sees the runs of one upstream with 60 slots and decides how many requests
run at once. `served` is the part of the arrivals that ended within `TARGET_S`, after
`SETTLING_S`, over all seeds; `lowered` is the part of the time in which the limit was
below nine tenths of the slots, which is wrong for an upstream without a knee.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from itertools import pairwise
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_relay.learned_limit import LearnedLimit

from lavenderway_dev.bench_registry import benchmark
from lavenderway_dev.played_upstream import SLOTS, PlayedUpstream, make_knee, wave

if TYPE_CHECKING:
    from collections.abc import Hashable

    from lavenderway_dev.played_upstream import LimitPolicy

SEEDS = 5
DURATION_S, SETTLING_S = 80.0, 20.0
TARGET_S = 0.5
PATIENCE_S = 0.4  # the queue holds only what can still be served in time
SPELL_S = 1.0
MIN_RUNS = 8
LOWERED = 0.9 * SLOTS

POLICIES: dict[str, Callable[[], LimitPolicy]] = {}


def policy(name: str) -> Callable[[type[SpellPolicy]], type[SpellPolicy]]:
    """Return a decorator that registers a policy under a name."""

    def register(cls: type[SpellPolicy]) -> type[SpellPolicy]:
        POLICIES[name] = cls
        return cls

    return register


class SpellPolicy:
    """Base class: decides once a spell, from the mean run time and the runs.

    Attributes:
        limit: Requests that may run at once.

    """

    def __init__(self) -> None:
        self.limit = float(SLOTS)
        self._ends_at = SPELL_S
        self._runs, self._sum_s = 0, 0.0

    def record_run(self, own_s: float, *, concurrency: float, kind: Hashable) -> None:
        """Count a run."""
        self._runs += 1
        self._sum_s += own_s

    def update(self, now: float, *, waiting: bool) -> bool:
        """Decide at the end of a spell; return whether the limit has changed."""
        if now < self._ends_at:
            return False
        self._ends_at = now + SPELL_S
        runs, self._runs = self._runs, 0
        sum_s, self._sum_s = self._sum_s, 0.0
        before = self.limit
        if runs >= MIN_RUNS:
            self.decide(sum_s / runs, runs, waiting=waiting)
        self.limit = min(float(SLOTS), max(1.0, self.limit))
        return self.limit != before

    def decide(self, mean_s: float, runs: int, *, waiting: bool) -> None:
        """Change the limit."""


@policy("all slots")
class AllSlots(SpellPolicy):
    """The announced slots, whatever the run times."""


@policy("gradient of delay")
class DelayGradient(SpellPolicy):
    """Lower in proportion to the run time above the shortest seen."""

    def __init__(self) -> None:
        super().__init__()
        self._shortest_s = math.inf

    def decide(self, mean_s: float, runs: int, *, waiting: bool) -> None:
        """Follow the ratio of the shortest to the present run time."""
        self._shortest_s = min(self._shortest_s, mean_s)
        gradient = min(1.0, max(0.5, 1.5 * self._shortest_s / mean_s))
        self.limit = self.limit * gradient + math.sqrt(self.limit)


@policy("hill climbing")
class HillClimbing(SpellPolicy):
    """Step on as long as throughput grows, and back when it falls."""

    def __init__(self) -> None:
        super().__init__()
        self._step, self._last_runs = -3.0, 0

    def decide(self, mean_s: float, runs: int, *, waiting: bool) -> None:
        """Turn around if the last step has brought less."""
        if waiting:
            if runs < self._last_runs:
                self._step = -self._step
            self.limit += self._step
        self._last_runs = runs


@policy("decrease when late")
class DecreaseWhenLate(SpellPolicy):
    """Additive increase; decrease while runs take twice the shortest time."""

    def __init__(self) -> None:
        super().__init__()
        self._shortest_s = math.inf

    def decide(self, mean_s: float, runs: int, *, waiting: bool) -> None:
        """Raise by one or lower by a tenth."""
        self._shortest_s = min(self._shortest_s, mean_s)
        late = mean_s > 2.0 * self._shortest_s
        self.limit = self.limit * 0.9 if late else self.limit + 1.0


POLICIES["learned limit"] = lambda: LearnedLimit(slots=SLOTS, now=0.0)


class Load(NamedTuple):
    """A load of one upstream.

    Attributes:
        name: What it does.
        slow_down: Factor of the run time, by concurrency and time.
        rate: Requests per second, by time.

    """

    name: str
    slow_down: Callable[[int, float], float]
    rate: Callable[[float], float]


_KNEE = make_knee(0.3)
LOADS = (
    Load("steady, below the slots", lambda *_: 1.0, wave(100, 550)),
    Load("steady, above the slots", lambda *_: 1.0, wave(500, 700)),
    Load("knee at 0.3", _KNEE, wave(60, 260)),
    Load("knee at 0.3, always full", _KNEE, wave(240, 300)),
    Load(
        "four times slower for 10 s",
        lambda _, now: 4.0 if 35 < now < 45 else 1.0,
        wave(50, 250),
    ),
    Load(
        "2.5 times slower in spells",
        lambda _, now: 2.5 if now % 4.2 < 0.6 else 1.0,
        wave(100, 400),
    ),
    Load("speed 0.55", lambda *_: 1 / 0.55, wave(55, 275)),
    Load(
        "knee that ends",
        lambda running, now: _KNEE(running, now) if now < 40 else 1.0,
        lambda now: wave(60, 260)(now) if now < 40 else wave(300, 500)(now),
    ),
)


def play(load: Load, name: str) -> tuple[float, float]:
    """Return the part served in time and the part of the time with a lowered limit."""
    served = arrivals = 0
    lowered_s = 0.0
    for seed in range(SEEDS):
        upstream = PlayedUpstream(
            policy=POLICIES[name](),
            slow_down=load.slow_down,
            rate=load.rate,
            seed=seed,
            patience_s=PATIENCE_S,
        )
        upstream.play(SETTLING_S)
        before = upstream.arrivals
        upstream.play(DURATION_S - SETTLING_S)
        arrivals += upstream.arrivals - before
        served += upstream.served_in_time(TARGET_S, since=SETTLING_S)
        limits = [(0.0, float(SLOTS)), *upstream.limits, (DURATION_S, 0.0)]
        for (begin, limit), (end, _) in pairwise(limits):
            lowered_s += (end - begin) * (limit < LOWERED)
    return served / arrivals, lowered_s / (SEEDS * DURATION_S)


@benchmark("learned")
def compare_policies() -> None:
    """Print a table of all loads and policies: served, and lowered in brackets."""
    names = list(POLICIES)
    print(f"| load | {' | '.join(names)} |")
    print("| --- |" + " --- |" * len(names))
    for load in LOADS:
        cells = []
        for name in names:
            served, lowered = play(load, name)
            cells.append(f"{served:.3f} ({lowered:.2f})")
        print(f"| {load.name} | {' | '.join(cells)} |", flush=True)
