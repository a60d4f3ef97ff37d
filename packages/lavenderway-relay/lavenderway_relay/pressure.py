"""Finds how much of the offered load an upstream can bear, by importance.

The load it answers: more work than the upstream has slots, for longer than a queue can
hold. Each root request has a position: its importance class plus a fraction in [0, 1)
drawn from its id. An upstream under pressure publishes a level, and the nodes where
requests begin admit roots below the level of every service in their call tree. The most
important are shed last, and all calls of a root share its fate.

The level follows the rate of arriving work, not the length of the queue: a queue is the
sum of past excess, and a cut by its length empties the upstream. Without any queue the
level is not cut, as the rate is then an estimate that the slots contradict.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from typing import NamedTuple

TICK_S = 0.1  # how often the level may move
SETTLE_S = 0.4  # a move shows at the upstream after one call tree has run through
MEMORY_S = 0.4  # arrivals that a move looks back on
DRAIN_S = 0.6  # time in which a queue is worked off
TARGET = 0.95  # part of the slots that the admitted work should take
TOLERANCE = 1.0  # above it the level falls
GAIN = 0.5  # part of the error that one move corrects
MAX_CUT = 0.4  # part of the arriving work
MAX_RISE = 0.5  # in classes
MIN_RISE = 0.03  # in classes, so that a class without arrivals is tried
MIN_ARRIVALS = 8  # fewer say nothing about a rate
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
        self.demand = 0.0
        self._arrivals: deque[_Arrival] = deque()
        self._moved_at = now
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

    def tick(self, now: float, *, waiting: int, limit: int, mean_s: float) -> None:
        """Move the level.

        Args:
            now: Present time in seconds.
            waiting: Requests that wait for a slot.
            limit: Requests that may run at the same time.
            mean_s: Mean time that a request holds a slot, in seconds.

        """
        while self._arrivals and self._arrivals[0].at < now - MEMORY_S:
            self._arrivals.popleft()
        slot_s = mean_s / limit
        work = len(self._arrivals) / MEMORY_S * slot_s
        self.demand = work + waiting * slot_s / DRAIN_S
        if self.level < self.classes:
            self._lowered_at = now
        if now - self._moved_at < SETTLE_S:
            return
        excess = self.demand > TOLERANCE and waiting > 0
        if excess and len(self._arrivals) >= MIN_ARRIVALS:
            self._moved_at = now
            self._cut()
        elif self.demand < TARGET and self.level < self.classes:
            self._moved_at = now
            self._raise()

    def _cut(self) -> None:
        """Lower the level so that the excess part of recent arrivals lies above."""
        excess = GAIN * (1.0 - TARGET / self.demand)
        part = min(MAX_CUT, excess)
        positions = sorted(arrival.position for arrival in self._arrivals)
        kept = positions[int(len(positions) * (1.0 - part))]
        self.level = min(self.level, kept)

    def _raise(self) -> None:
        """Raise the level by what fills the free slots, at the density below it."""
        positions = sorted(arrival.position for arrival in self._arrivals)
        admitted = bisect_left(positions, self.level)
        if admitted < MIN_ARRIVALS or self.demand <= 0.0:
            step = MAX_RISE
        else:
            wanted = GAIN * (TARGET / self.demand - 1.0) * admitted
            step = wanted / self._density(positions, admitted)
        step = max(MIN_RISE, min(MAX_RISE, step))
        self.level = min(self.classes, self.level + step)

    def _density(self, positions: list[float], admitted: int) -> float:
        """Return the arrivals for each class just below the level.

        A class that is nearly shut has too few arrivals to tell; the mean of the
        classes below then stands in for it.
        """
        floor = float(int(self.level))
        width = self.level - floor
        if width < 0.1:
            return admitted / max(1.0, self.level)
        inside = admitted - bisect_left(positions, floor)
        return max(1.0, inside) / width
