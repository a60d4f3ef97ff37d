"""Adaptive concurrency limit of one upstream, learned from latency and failures.

The limit grows while it is used and requests spend little time queueing inside the
upstream. When queueing lengthens the time that a request occupies the upstream by more
than a tolerance, the limit is cut in steps for as long as the throughput holds. The
step that lowers the throughput shows the time without queueing; it becomes the new
baseline, and Little's law gives the slots from the times before. An upstream that slows
down at any concurrency loses throughput with the first step, and so keeps its limit.

Queueing is looked for in the upstream's own time, without the time it waited for its
own calls, and is weighed against the whole time. The rule builds on the gradient limits
of the field (TCP Vegas, applied to concurrency).
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from lavenderway_core.ids import RouteId

INITIAL_LIMIT = 8.0
MIN_LIMIT = 1.0
MAX_LIMIT = 2000.0
WINDOW_S = 0.1
WINDOW_MIN_SAMPLES = 8
MAX_WINDOW_S = 1.0
TOLERANCE = 1.4  # ratio of whole time to time without queueing that starts a probe
DOUBLING_INFLATION = 1.15  # with more queueing the limit no longer doubles
BASELINE_PART = 1 / 3  # of the limit; requests above it may have queued
MIN_QUEUEING_S = 0.003  # less than this is noise of schedulers
HELD_THROUGHPUT = 0.93  # of the throughput before a cut
MAX_CUT = 0.5  # factors of one cut
MIN_CUT = 0.85
HEADROOM = 1.15  # over the slots found, so that they stay busy
FAILURE_RATIO = 0.1
FAILURE_CUT = 0.85
USED_RATIO = 0.85
FULL_PART = 0.3  # part of the requests that must have started near the limit
BASELINE_GAIN = 0.02
FASTER_RATIO = 0.9


class Phase(Enum):
    """What the limiter is doing."""

    GROWING = "growing"
    STEADY = "steady"
    CUTTING = "cutting"


class Sample(NamedTuple):
    """Timing of one request.

    Attributes:
        started: Time at which the request was given to the upstream, in seconds.
        total_s: Time until the answer was whole or the request was given up.
        own_s: Part of `total_s` in which the upstream waited for no call of its own.
        in_flight: Requests in flight at the start.

    """

    route: RouteId
    started: float
    total_s: float
    own_s: float
    in_flight: int


class _Step(NamedTuple):
    """Mean times at one limit before a cut, in seconds."""

    limit: float
    total_s: float
    own_s: float

    def slots(self, free_own_s: float) -> float:
        """Return the slots by Little's law, given the own time without queueing."""
        queueing_s = max(0.0, self.own_s - free_own_s)
        free_s = max(self.total_s - queueing_s, self.total_s * 0.05)
        return self.limit * free_s / self.total_s


class _Window:
    """Sums over the samples of one measuring window."""

    __slots__ = (
        "baseline_s",
        "count",
        "failures",
        "full",
        "own_by_route",
        "own_s",
        "starts",
        "total_s",
    )

    def __init__(self, starts: float) -> None:
        self.starts = starts
        self.count = 0
        self.failures = 0
        self.full = 0
        self.total_s = 0.0
        self.own_s = 0.0
        self.baseline_s = 0.0
        self.own_by_route: dict[RouteId, tuple[int, float]] = {}

    @property
    def own_ratio(self) -> float:
        """Own time relative to the baselines of the routes."""
        return self.own_s / max(self.baseline_s, 1e-6)

    @property
    def queueing_s(self) -> float:
        """Mean time of a request in the upstream's own queue, by the baselines."""
        return max(0.0, self.own_s - self.baseline_s) / max(1, self.count)

    @property
    def inflation(self) -> float:
        """Whole time relative to the whole time without queueing."""
        excess_s = max(0.0, self.own_s - self.baseline_s)
        return self.total_s / max(self.total_s - excess_s, 1e-6)

    def add(self, sample: Sample, baseline: float, limit: float) -> None:
        """Add one sample whose route has `baseline`, run under `limit`."""
        self.count += 1
        self.full += sample.in_flight >= int(limit) * USED_RATIO
        self.total_s += sample.total_s
        self.own_s += sample.own_s
        self.baseline_s += baseline
        count, own = self.own_by_route.get(sample.route, (0, 0.0))
        self.own_by_route[sample.route] = (count + 1, own + sample.own_s)


class Limiter:
    """Concurrency limit of one upstream.

    Args:
        now: Present time in seconds.

    """

    __slots__ = ("_baselines", "_steps", "_window", "limit", "phase")

    def __init__(self, *, now: float) -> None:
        self.limit = INITIAL_LIMIT
        self.phase = Phase.GROWING
        self._baselines: dict[RouteId, float] = {}
        self._window = _Window(now)
        self._steps: list[_Step] = []

    def record_time(self, sample: Sample, now: float) -> None:
        """Learn from the times of one request."""
        baseline = self._baselines.setdefault(sample.route, sample.own_s)
        if sample.started < self._window.starts and self.phase is Phase.CUTTING:
            return
        alone = sample.in_flight <= max(1.0, self.limit * BASELINE_PART)
        if alone and self.phase is not Phase.CUTTING:
            gained = baseline + (sample.own_s - baseline) * BASELINE_GAIN
            self._baselines[sample.route] = gained
        self._window.add(sample, baseline, self.limit)
        self._close_window(now)

    def record_overload(self, now: float) -> None:
        """Note that the upstream shed a request or failed to take it."""
        self._window.failures += 1
        self._close_window(now)

    def _close_window(self, now: float) -> None:
        window = self._window
        age = now - window.starts
        wanted = max(WINDOW_MIN_SAMPLES, int(self.limit))
        enough = window.count + window.failures >= wanted or age > MAX_WINDOW_S
        if age < WINDOW_S or not enough:
            return
        self._window = _Window(now)
        if window.failures > window.count * FAILURE_RATIO:
            self._cut_after_failures()
        elif self.phase is Phase.CUTTING:
            self._judge_cut(window)
        else:
            self._adapt(window)

    def _cut_after_failures(self) -> None:
        self.phase = Phase.STEADY
        self._steps.clear()
        self.limit = max(MIN_LIMIT, self.limit * FAILURE_CUT)

    def _adapt(self, window: _Window) -> None:
        if window.own_ratio < FASTER_RATIO:
            self._scale_baselines(window.own_ratio)
        if not self._is_used(window):
            return
        if self._queues(window):
            self._cut(window)
        else:
            self._grow(window)

    @staticmethod
    def _queues(window: _Window) -> bool:
        noticeable = window.queueing_s > MIN_QUEUEING_S
        return noticeable and window.inflation > TOLERANCE

    def _is_used(self, window: _Window) -> bool:
        """Tell whether the limit, rather than the demand, bounds the concurrency."""
        return window.full >= window.count * FULL_PART

    def _grow(self, window: _Window) -> None:
        if window.inflation > DOUBLING_INFLATION:
            self.phase = Phase.STEADY
        step = self.limit if self.phase is Phase.GROWING else self.limit**0.5 / 4
        self.limit = min(MAX_LIMIT, self.limit + max(0.5, step))

    def _cut(self, window: _Window) -> None:
        self.phase = Phase.CUTTING
        mean_total_s = window.total_s / window.count
        step = _Step(self.limit, mean_total_s, window.own_s / window.count)
        self._steps.append(step)
        factor = min(MIN_CUT, max(MAX_CUT, HEADROOM / window.inflation))
        self.limit = max(MIN_LIMIT, self.limit * factor)

    def _judge_cut(self, window: _Window) -> None:
        """Cut on while the throughput holds; then work the slots out."""
        if not window.count or not self._is_used(window):
            self._end_cuts(self.limit)
            return
        last = self._steps[-1]
        throughput = self.limit * window.count / window.total_s
        holds = throughput > last.limit / last.total_s * HELD_THROUGHPUT
        if holds and self.limit > MIN_LIMIT:
            self._cut(window)
            return
        self._learn_baselines(window)
        free_own_s = window.own_s / window.count
        slots = max(step.slots(free_own_s) for step in self._steps)
        self._end_cuts(slots * HEADROOM)

    def _end_cuts(self, limit: float) -> None:
        self.phase = Phase.STEADY
        self._steps.clear()
        self.limit = min(MAX_LIMIT, max(MIN_LIMIT, limit))

    def _learn_baselines(self, window: _Window) -> None:
        self._scale_baselines(window.own_ratio)
        for route, (count, own_s) in window.own_by_route.items():
            if count >= WINDOW_MIN_SAMPLES:
                self._baselines[route] = own_s / count

    def _scale_baselines(self, ratio: float) -> None:
        for route, baseline in self._baselines.items():
            self._baselines[route] = baseline * ratio
