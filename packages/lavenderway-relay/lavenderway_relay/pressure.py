"""Finds how much of the offered load an upstream can bear, by importance.

The load it answers: more work than the upstream has slots, for longer than a queue can
hold. Each root request has a position: its importance class plus a fraction in [0, 1)
drawn from its id. An upstream under pressure publishes a level, and the nodes where
requests begin admit roots below the level of every service in their call tree. The most
important are shed last, and all calls of a root share its fate.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

TICK_S = 0.1  # how often the level may move
SETTLE_S = 0.3  # a cut shows in the queue after one call tree has run through
WAIT_TARGET_S = 0.02  # wait that is lost in the time of most requests
WAIT_TARGET_PART = 0.35  # of the mean run, for upstreams with long runs
UTILIZATION_TARGET = 0.95  # occupancy up to which the level rises
MIN_CUT = 0.04  # part of the offered load
MAX_CUT = 0.5
RISE_PER_S = 0.35  # in classes; a class returns within three seconds
MEMORY_S = 1.0  # arrivals that a cut looks back on
TOLD_S = 3.0  # time for which a full level is told after it was lower


class _Arrival(NamedTuple):
    at: float
    position: float


class PressureLevel:
    """Level of one upstream.

    Args:
        classes: Number of importance classes, which is the highest level.
        now: Present time in seconds.

    """

    def __init__(self, *, classes: int, now: float) -> None:
        self.classes = float(classes)
        self.level = self.classes
        self._arrivals: deque[_Arrival] = deque()
        self._waits = 0.0
        self._starts = 0
        self._refused = 0
        self._last_cut = now
        self._last_tick = now
        self._lowered_at = float("-inf")

    def told(self, now: float) -> bool:
        """Return whether the level is worth telling."""
        return now - self._lowered_at <= TOLD_S

    def resize(self, classes: int) -> None:
        """Follow a configuration with another number of classes."""
        if self.level >= self.classes:
            self.level = float(classes)
        self.classes = float(classes)
        self.level = min(self.level, self.classes)

    def record_arrival(self, position: float, now: float) -> None:
        """Count a request that wants a slot."""
        self._arrivals.append(_Arrival(now, position))

    def record_start(self, wait_s: float) -> None:
        """Count a request that got a slot after waiting."""
        self._waits += wait_s
        self._starts += 1

    def record_refusal(self) -> None:
        """Count a request that found no room."""
        self._refused += 1

    def tick(self, now: float, *, load: float, mean_s: float) -> None:
        """Move the level.

        Args:
            now: Present time in seconds.
            load: Running and waiting requests for each slot.
            mean_s: Mean time that a request holds a slot, in seconds.

        """
        elapsed = now - self._last_tick
        self._last_tick = now
        while self._arrivals and self._arrivals[0].at < now - MEMORY_S:
            self._arrivals.popleft()
        wait_s = self._waits / self._starts if self._starts else 0.0
        target_s = max(WAIT_TARGET_S, WAIT_TARGET_PART * mean_s)
        congested = load > 1.0 and (wait_s > target_s or self._refused > 0)
        if congested and now - self._last_cut >= SETTLE_S:
            self._cut(now, load=load)
        elif not congested and load < UTILIZATION_TARGET:
            self.level = min(self.classes, self.level + RISE_PER_S * elapsed)
        if self.level < self.classes:
            self._lowered_at = now
        self._waits, self._starts, self._refused = 0.0, 0, 0

    def _cut(self, now: float, *, load: float) -> None:
        """Lower the level so that the excess share of recent arrivals lies above."""
        self._last_cut = now
        share = min(MAX_CUT, max(MIN_CUT, 1.0 - 1.0 / load))
        positions = sorted(arrival.position for arrival in self._arrivals)
        if not positions:
            return
        kept = positions[int(len(positions) * (1.0 - share))]
        self.level = min(self.level, kept)
