"""Adjusts the admission level of an upstream: load shedding by importance.

Designed for sustained overload: more work than the upstream has slots for, for longer
than a queue can hold it back. Each root request has a position: its importance class
plus a fraction in [0, 1) hashed from its id. An overloaded upstream publishes an
admission level, and entry nodes start only root requests whose position is below the
level of every service in their call tree. The least important requests are shed first,
and all calls of a root request share its position, so a call tree is shed as a whole.

The level is controlled by the arrival rate rather than the queue length. A queue holds
the excess of the past, so a cut in proportion to it would leave the upstream idle once
the queue has drained. While no request is queued the level is not lowered, because free
slots then contradict the estimated demand.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from typing import NamedTuple

LEVEL_UPDATE_INTERVAL_S = 0.1  # how often the level is evaluated
# A change of the level shows its effect only after one call tree has run.
MIN_CHANGE_INTERVAL_S = 0.4
ARRIVAL_WINDOW_S = 0.4  # maximum age of the arrivals that a change considers
QUEUE_DRAIN_S = 0.6  # time within which a queue should be drained
TARGET_UTILIZATION = 0.95  # share of the slots that admitted requests should occupy
OVERLOAD_UTILIZATION = 1.0  # demand above which the level is lowered
CORRECTION_GAIN = 0.5  # share of the error corrected by one change
MAX_CUT_FRACTION = 0.4  # largest share of the arrivals that one change sheds
MAX_RISE_CLASSES = 0.5
MIN_RISE_CLASSES = 0.03  # so that a class without arrivals is admitted on trial
MIN_ARRIVALS = 8  # fewer arrivals do not give a usable rate
PUBLISH_HOLD_S = 3.0  # how long a level back at its maximum is still published


class _Arrival(NamedTuple):
    arrived_at: float
    position: float


class AdmissionLevel:
    """Admission level of one upstream.

    Args:
        classes: Number of importance classes, which is also the highest level.
        now: Current time in seconds.

    Attributes:
        level: Root requests at or above this position are refused.
        demand: Slots needed for the arrivals and the queue, relative to the limit.

    """

    def __init__(self, *, classes: int, now: float) -> None:
        self.classes = float(classes)
        self.level = self.classes
        self.demand = 0.0
        self._arrivals: deque[_Arrival] = deque()
        self._changed_at = now
        self._below_maximum_at = float("-inf")

    def should_publish(self, now: float) -> bool:
        """Return whether the level is or recently was below its maximum."""
        return now - self._below_maximum_at <= PUBLISH_HOLD_S

    def set_class_count(self, classes: int) -> None:
        """Change the number of importance classes."""
        if self.level >= self.classes:
            self.level = float(classes)
        self.classes = float(classes)
        self.level = min(self.level, self.classes)

    def record_arrival(self, position: float, now: float) -> None:
        """Record a request that needs a slot."""
        self._arrivals.append(_Arrival(now, position))

    def tick(self, now: float, *, waiting: int, limit: int, mean_s: float) -> None:
        """Update the demand and change the level if needed.

        Args:
            now: Current time in seconds.
            waiting: Requests queued for a slot.
            limit: Requests that may run concurrently.
            mean_s: Mean time that a request holds a slot, in seconds.

        """
        while self._arrivals and self._arrivals[0].arrived_at < now - ARRIVAL_WINDOW_S:
            self._arrivals.popleft()
        slot_s = mean_s / limit
        arrival_demand = len(self._arrivals) / ARRIVAL_WINDOW_S * slot_s
        self.demand = arrival_demand + waiting * slot_s / QUEUE_DRAIN_S
        if self.level < self.classes:
            self._below_maximum_at = now
        if now - self._changed_at < MIN_CHANGE_INTERVAL_S:
            return
        overloaded = self.demand > OVERLOAD_UTILIZATION and waiting > 0
        if overloaded and len(self._arrivals) >= MIN_ARRIVALS:
            self._changed_at = now
            self._lower()
        elif self.demand < TARGET_UTILIZATION and self.level < self.classes:
            self._changed_at = now
            self._raise()

    def _lower(self) -> None:
        """Lower the level so that part of the excess arrivals would have been shed."""
        correction = CORRECTION_GAIN * (1.0 - TARGET_UTILIZATION / self.demand)
        cut_fraction = min(MAX_CUT_FRACTION, correction)
        positions = sorted(arrival.position for arrival in self._arrivals)
        cutoff = positions[int(len(positions) * (1.0 - cut_fraction))]
        self.level = min(self.level, cutoff)

    def _raise(self) -> None:
        """Raise the level by the classes expected to use part of the free slots."""
        positions = sorted(arrival.position for arrival in self._arrivals)
        admitted = bisect_left(positions, self.level)
        if admitted < MIN_ARRIVALS or self.demand <= 0.0:
            step = MAX_RISE_CLASSES
        else:
            extra_arrivals = (
                CORRECTION_GAIN * (TARGET_UTILIZATION / self.demand - 1.0) * admitted
            )
            step = extra_arrivals / self._density(positions, admitted)
        step = max(MIN_RISE_CLASSES, min(MAX_RISE_CLASSES, step))
        self.level = min(self.classes, self.level + step)

    def _density(self, positions: list[float], admitted: int) -> float:
        """Return recent arrivals per class in the part of the class below the level.

        If the level is less than a tenth of a class above a whole number, that part has
        too few arrivals, and the mean over all admitted classes is returned instead.
        """
        floor = float(int(self.level))
        width = self.level - floor
        if width < 0.1:
            return admitted / max(1.0, self.level)
        admitted_in_class = admitted - bisect_left(positions, floor)
        return max(1.0, admitted_in_class) / width
