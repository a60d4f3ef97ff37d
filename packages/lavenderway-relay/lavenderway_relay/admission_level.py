"""Adjusts the admission level of an upstream: load shedding by importance.

Designed for sustained overload: more work than the upstream has slots for, for longer
than a queue can hold it back. A node runs beside each upstream and limits the requests
that run there at the same time, each in a slot. Root requests come from callers outside
the fleet; the node that receives one is its entry node. Each root request has a
position: its importance class, of which 0 is the most important, plus a fraction in
[0, 1) hashed from its ID. The node of an overloaded upstream publishes an admission
level, and entry nodes start only root requests whose position is below the level of
every service in their call tree. The least important requests are shed first, and all
calls of a root request share its position, so a call tree is shed as a whole.

The level follows the demand: the rate of recent arrivals plus the rate that would drain
the queue within `QUEUE_DRAIN_S`, relative to what the slots can process. The queue thus
adds to the size of a cut, but the cut is a share of the recent arrivals only. A queue
holds the excess of the past, so a cut in proportion to it would leave the upstream idle
once the queue has drained. While no request is queued the level is not lowered, because
free slots then contradict the estimated demand; nor is it with fewer than
`MIN_ARRIVALS` recent arrivals.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from typing import NamedTuple

LEVEL_UPDATE_INTERVAL_S = 0.1  # how often the level is evaluated
# Shortest time between two changes in either direction. A change of the level shows its
# effect only after one call tree has run.
MIN_CHANGE_INTERVAL_S = 0.4
ARRIVAL_WINDOW_S = 0.4  # maximum age of the arrivals that the level is based on
QUEUE_DRAIN_S = 0.6  # time within which a queue should be drained
# Share of the slots that admitted requests should occupy; the level is raised while the
# demand is lower.
TARGET_UTILIZATION = 0.95
# The level is lowered at a higher demand if requests are queued and there are enough
# arrivals.
OVERLOAD_UTILIZATION = 1.0
# Share of the gap between the demand and the target that one change closes.
CORRECTION_GAIN = 0.5
# Largest share of the recent arrivals that one change sheds, rounded up to whole ones;
# arrivals of equal position are shed together and may exceed it.
MAX_CUT_FRACTION = 0.4
# Largest rise in one change; also used if too few arrivals were admitted.
MAX_RISE_CLASSES = 0.5
# Smallest rise in one change, however small the computed one, so that a class without
# arrivals is admitted on trial.
MIN_RISE_CLASSES = 0.03
MIN_ARRIVALS = 8  # fewer arrivals in the window do not give a usable rate
# How long the level is published after the last tick that found it below its maximum.
PUBLISH_HOLD_S = 3.0


class _Arrival(NamedTuple):
    arrived_at: float
    position: float


class AdmissionLevel:
    """Admission level of one upstream.

    Args:
        classes: Number of importance classes, which is also the highest level.
        now: Current monotonic time in seconds.

    Attributes:
        level: Root requests at or above this position are refused; at the highest level
            none are.
        demand: Slots needed for the arrivals and the queue, relative to the limit; 1.0
            if they need all of it.

    """

    def __init__(self, *, classes: int, now: float) -> None:
        self.classes = float(classes)
        self.level = self.classes
        self.demand = 0.0
        self._arrivals: deque[_Arrival] = deque()
        self._changed_at = now
        self._below_maximum_at = float("-inf")

    def should_publish(self, now: float) -> bool:
        """Return whether the level was below its maximum at a recent tick.

        Each tick checks the level before it changes it, so the first cut counts from
        the next tick.
        """
        return now - self._below_maximum_at <= PUBLISH_HOLD_S

    def set_class_count(self, classes: int) -> None:
        """Change the number of importance classes."""
        if self.level >= self.classes:
            self.level = float(classes)
        self.classes = float(classes)
        self.level = min(self.level, self.classes)

    def record_arrival(self, position: float, now: float) -> None:
        """Record a request or call that asks for a slot, even if it is refused one.

        Requests refused by their entry nodes, or here before they ask for a slot, are
        not recorded.
        """
        self._arrivals.append(_Arrival(now, position))

    def tick(self, now: float, *, waiting: int, limit: float, mean_s: float) -> None:
        """Update the demand and change the level if needed.

        Args:
            now: Current time in seconds.
            waiting: Requests queued for a slot.
            limit: Requests that may run concurrently; a limit of requests per second
                counts as the requests in progress that it amounts to.
            mean_s: Mean time that a request holds a slot, in seconds, including the
                calls it makes.

        """
        while self._arrivals and self._arrivals[0].arrived_at < now - ARRIVAL_WINDOW_S:
            self._arrivals.popleft()
        slot_s = mean_s / limit  # mean time per request with all slots in use
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
        """Lower the level so that it would have shed part of the excess arrivals."""
        correction = CORRECTION_GAIN * (1.0 - TARGET_UTILIZATION / self.demand)
        cut_fraction = min(MAX_CUT_FRACTION, correction)
        positions = sorted(arrival.position for arrival in self._arrivals)
        cutoff = positions[int(len(positions) * (1.0 - cut_fraction))]
        self.level = min(self.level, cutoff)

    def _raise(self) -> None:
        """Raise the level so that more arrivals should use part of the free slots."""
        positions = sorted(arrival.position for arrival in self._arrivals)
        admitted = bisect_left(positions, self.level)
        if admitted < MIN_ARRIVALS or self.demand <= 0.0:
            step = MAX_RISE_CLASSES
        else:
            extra_arrivals = (
                CORRECTION_GAIN * (TARGET_UTILIZATION / self.demand - 1.0) * admitted
            )
            step = extra_arrivals / self._arrivals_per_class(positions, admitted)
        step = max(MIN_RISE_CLASSES, min(MAX_RISE_CLASSES, step))
        self.level = min(self.classes, self.level + step)

    def _arrivals_per_class(self, positions: list[float], admitted: int) -> float:
        """Return recent arrivals per class in the part of the class below the level.

        If the level is less than a tenth of a class above a whole number, that part has
        too few arrivals, and the mean over all admitted classes is returned instead; a
        level below 1.0 then counts as one class.
        """
        floor = float(int(self.level))
        width = self.level - floor
        if width < 0.1:
            return admitted / max(1.0, self.level)
        admitted_in_class = admitted - bisect_left(positions, floor)
        return max(1.0, admitted_in_class) / width
