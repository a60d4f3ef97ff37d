"""Adaptive concurrency limit of one upstream, learned from latency and failures.

The limit grows while it is used and latency stays near its baseline. When latency
exceeds the baseline by more than a tolerance, the limiter probes: it halves the limit
until latency no longer falls with it. The last step shows the upstream's time without
queueing, and Little's law then gives the number of its slots from the throughput seen
before. A service that is slow at any concurrency is thus told from one that queues.

Latency is the upstream's own time, without the time it waited for its own calls. The
rule builds on the gradient limits of the field (TCP Vegas, applied to concurrency) and
on the probing of BBR.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from lavenderway_core.ids import RouteId

INITIAL_LIMIT = 8.0
MIN_LIMIT = 1.0
MAX_LIMIT = 2000.0
WINDOW_S = 0.1
WINDOW_MIN_SAMPLES = 16
MAX_WINDOW_S = 1.0
TOLERANCE = 1.4  # ratio of latency to baseline at which a probe begins
FALLING_RATIO = 0.75  # latency at half the limit, below which the upstream queued
PROBE_FACTOR = 0.5
HEADROOM = 1.15  # over the slots found, so that they stay busy
FAILURE_RATIO = 0.1
FAILURE_CUT = 0.85
USED_RATIO = 0.85
BASELINE_GAIN = 0.02
FASTER_RATIO = 0.9


class Phase(Enum):
    """What the limiter is doing."""

    GROWING = "growing"
    STEADY = "steady"
    PROBING = "probing"


class Sample(NamedTuple):
    """Timing of one whole answer.

    Attributes:
        started: Time at which the request was given to the upstream, in seconds.
        total_s: Time until the answer was whole.
        own_s: Part of `total_s` in which the upstream waited for no call of its own.
        in_flight: Requests in flight at the start.

    """

    route: RouteId
    started: float
    total_s: float
    own_s: float
    in_flight: int


class _Window:
    """Sums over the samples of one measuring window."""

    __slots__ = (
        "baseline_s",
        "count",
        "failures",
        "own_by_route",
        "own_s",
        "peak",
        "starts",
        "total_s",
    )

    def __init__(self, starts: float) -> None:
        self.starts = starts
        self.count = 0
        self.failures = 0
        self.peak = 0
        self.total_s = 0.0
        self.own_s = 0.0
        self.baseline_s = 0.0
        self.own_by_route: dict[RouteId, tuple[int, float]] = {}

    @property
    def ratio(self) -> float:
        """Own time relative to the baselines of the routes."""
        return self.own_s / max(self.baseline_s, 1e-6)

    def add(self, sample: Sample, baseline: float) -> None:
        """Add one sample whose route has `baseline`."""
        self.count += 1
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

    __slots__ = ("_baselines", "_before", "_limit_before", "_window", "limit", "phase")

    def __init__(self, *, now: float) -> None:
        self.limit = INITIAL_LIMIT
        self.phase = Phase.GROWING
        self._baselines: dict[RouteId, float] = {}
        self._window = _Window(now)
        self._before: _Window | None = None
        self._limit_before = INITIAL_LIMIT

    def record_start(self, in_flight: int) -> None:
        """Note how many requests are in flight after a start."""
        self._window.peak = max(self._window.peak, in_flight)

    def record_success(self, sample: Sample, now: float) -> None:
        """Learn from one whole answer."""
        baseline = self._baselines.setdefault(sample.route, sample.own_s)
        if sample.started < self._window.starts and self.phase is Phase.PROBING:
            return
        if sample.in_flight <= self.limit / 2 and self.phase is not Phase.PROBING:
            gained = baseline + (sample.own_s - baseline) * BASELINE_GAIN
            self._baselines[sample.route] = gained
        self._window.add(sample, baseline)
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
        elif self.phase is Phase.PROBING:
            self._continue_probe(window)
        else:
            self._adapt(window)

    def _cut_after_failures(self) -> None:
        self.phase = Phase.STEADY
        self._before = None
        self.limit = max(MIN_LIMIT, self.limit * FAILURE_CUT)

    def _adapt(self, window: _Window) -> None:
        used = window.peak >= self.limit * USED_RATIO
        if window.ratio < FASTER_RATIO:
            self._scale_baselines(window.ratio)
        if window.ratio > TOLERANCE and used:
            self._start_probe(window)
        elif used:
            self._grow()

    def _grow(self) -> None:
        step = self.limit if self.phase is Phase.GROWING else self.limit**0.5 / 4
        self.limit = min(MAX_LIMIT, self.limit + max(0.5, step))

    def _start_probe(self, window: _Window) -> None:
        self.phase = Phase.PROBING
        self._before = window
        self._limit_before = self.limit
        self.limit = max(MIN_LIMIT, self.limit * PROBE_FACTOR)

    def _continue_probe(self, window: _Window) -> None:
        before = self._before
        if before is None or window.peak < self.limit * USED_RATIO:
            self._end_probe(self._limit_before)
            return
        falling = window.ratio < before.ratio * FALLING_RATIO
        if falling and self.limit > MIN_LIMIT:
            self._start_probe(window)
            return
        self._learn_baselines(window)
        self._end_probe(self._estimate_slots(before, window) * HEADROOM)

    def _end_probe(self, limit: float) -> None:
        self.phase = Phase.STEADY
        self._before = None
        self.limit = min(MAX_LIMIT, max(MIN_LIMIT, limit))

    def _estimate_slots(self, before: _Window, probe: _Window) -> float:
        """Return throughput before the probe times the time without queueing."""
        total_s = before.total_s / before.count
        queueing_s = before.own_s / before.count - probe.own_s / probe.count
        free_s = max(total_s - max(0.0, queueing_s), total_s * 0.05)
        return self._limit_before * free_s / total_s

    def _learn_baselines(self, window: _Window) -> None:
        self._scale_baselines(window.ratio)
        for route, (count, own_s) in window.own_by_route.items():
            if count >= WINDOW_MIN_SAMPLES:
                self._baselines[route] = own_s / count

    def _scale_baselines(self, ratio: float) -> None:
        for route, baseline in self._baselines.items():
            self._baselines[route] = baseline * ratio
