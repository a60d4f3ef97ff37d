"""Adaptive concurrency limit of one upstream, derived from latency and failures.

The node on the host of the upstream keeps the limit. It counts as *in flight* the
requests that it has passed to the upstream and that have not ended. An upstream has as
many *slots* as it can process requests in parallel; further requests queue inside it. A
request is taken to hold its slot until its response, also during nested calls.

The *own time* of a request is its latency without the time that the upstream waited for
nested calls. The *baseline* of a route is its own time without queueing: at first that
of the route's first sample, then adjusted to requests that start with few others in
flight. Own time in excess of the baseline is taken for queueing time and is judged in
relation to the latency. A *failure* is a request that the upstream rejected because of
overload or that could not reach it.

The limit grows while it bounds the concurrency and requests spend little time queueing
inside the upstream. When queueing inflates the latency by more than a tolerance, the
limit is cut in steps until a step lowers the throughput, which Little's law yields as
the limit divided by the mean latency, or until the limit is at its minimum. At that
step requests are taken not to queue in the upstream: their own time becomes the new
baseline. The number of slots is then estimated from the latencies measured before each
step, and the limit is set a little above the highest estimate. If the load falls below
the limit, the cuts end at the limit then in force. Too many failures end the cuts too
and cut the limit by a fixed factor instead.

While the limit is not being cut, a window whose own times are clearly below the
baselines scales all baselines down by the mean ratio.

A baseline that was measured while requests queued hides a part of the queue: the first
cut comes later, and cuts are smaller. The throughput test and the number of slots do
not depend on the baseline. An upstream whose service time has grown loses throughput
with the first step, and the limit returns to its value before that step, with the
headroom added.

The algorithm builds on gradient limits, which apply TCP Vegas to concurrency.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from lavenderway_core.ids import RouteId

INITIAL_LIMIT = 8.0
MIN_LIMIT = 1.0
MAX_LIMIT = 2000.0
WINDOW_S = 0.1  # minimum age at which a window closes
# Samples and failures with which a window closes, or the limit if that is higher; also
# the samples from which the baseline of a single route is set.
MIN_WINDOW_SAMPLES = 8
MAX_WINDOW_S = 1.0  # beyond this age the next sample or failure closes the window
# Latency divided by latency without queueing. Above, the limit is cut if the mean
# queueing time also exceeds MIN_QUEUEING_S.
MAX_INFLATION = 1.4
MAX_DOUBLING_INFLATION = 1.15  # above, doubling ends, however short the queueing time
UNCONTENDED_LIMIT_RATIO = 1 / 3  # of the limit; with more in flight, requests may queue
MIN_QUEUEING_S = 0.003  # less is indistinguishable from scheduling delays
HELD_THROUGHPUT_RATIO = 0.93  # of the throughput before the last cut
MIN_CUT_FACTOR = 0.5  # deepest cut: limit after a step divided by the limit before
MAX_CUT_FACTOR = 0.85  # shallowest cut
# Limit divided by estimated slots, so that all stay busy. Divided by the inflation, it
# is also the factor of a cut.
HEADROOM_FACTOR = 1.15
MAX_FAILURE_RATIO = 0.1  # failures divided by latency samples of the window
FAILURE_CUT_FACTOR = 0.85  # limit after a cut because of failures divided by before
NEAR_LIMIT_RATIO = 0.85  # of the limit; from here on a sample is near the limit
NEAR_LIMIT_SAMPLE_RATIO = 0.3  # of the samples; with fewer, the demand is the bound
BASELINE_EWMA_WEIGHT = 0.02
# Own times divided by baselines, over a window. Below, all baselines are scaled by it.
FASTER_SERVICE_RATIO = 0.9


class LimiterPhase(Enum):
    """Phase of the limiter.

    Attributes:
        GROWING: First phase, never entered again. The limit doubles in each window
            in which it bounds the concurrency and requests hardly queue.
        STEADY: The limit grows by a fraction of its square root in each window in
            which it bounds the concurrency and that does not lead to a cut.
        CUTTING: The limit is cut in steps until the throughput falls, the limit is at
            `MIN_LIMIT`, the load no longer reaches it, or too many requests fail.

    """

    GROWING = "growing"
    STEADY = "steady"
    CUTTING = "cutting"


class LatencySample(NamedTuple):
    """Latency of one request.

    Attributes:
        route: Route of the request.
        started_at: Time at which the request was passed to the upstream, in seconds.
        total_s: Time from `started_at` until the response was complete or the deadline
            passed, in seconds.
        own_s: Part of `total_s` that was not spent waiting for nested calls, in
            seconds.
        in_flight: Requests in flight right after the start, including this one.

    """

    route: RouteId
    started_at: float
    total_s: float
    own_s: float
    in_flight: int


class _CutStep(NamedTuple):
    """Limit before a cut, and mean latency and mean own time under it, in seconds."""

    limit: float
    total_s: float
    own_s: float

    def slots(self, unqueued_own_s: float) -> float:
        """Estimate the slots of the upstream from Little's law.

        Args:
            unqueued_own_s: Mean own time of a request that does not queue, in seconds.

        """
        queueing_s = max(0.0, self.own_s - unqueued_own_s)
        unqueued_s = max(self.total_s - queueing_s, self.total_s * 0.05)
        return self.limit * unqueued_s / self.total_s


class _Window:
    """Sums over the samples of one measurement window.

    Attributes:
        count: Number of samples, without failures.
        failures: Number of failures.
        near_limit: Number of samples that started with the concurrency near the limit
            that was in force when they were recorded.
        total_s: Sum of the latencies.
        own_s: Sum of the own times.
        baseline_s: Sum of the baselines of the samples' routes, one per sample.
        own_by_route: Number of samples and sum of own times, by route.

    """

    __slots__ = (
        "baseline_s",
        "count",
        "failures",
        "near_limit",
        "own_by_route",
        "own_s",
        "started_at",
        "total_s",
    )

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.count = 0
        self.failures = 0
        self.near_limit = 0
        self.total_s = 0.0
        self.own_s = 0.0
        self.baseline_s = 0.0
        self.own_by_route: dict[RouteId, tuple[int, float]] = {}

    @property
    def own_ratio(self) -> float:
        """Ratio of the own time to the baselines of the routes."""
        return self.own_s / max(self.baseline_s, 1e-6)

    @property
    def queueing_s(self) -> float:
        """Mean time that a request queued in the upstream, in seconds."""
        return max(0.0, self.own_s - self.baseline_s) / max(1, self.count)

    @property
    def inflation(self) -> float:
        """Ratio of the latency to the latency without queueing, at least 1.

        Own times below a baseline offset those above another, over all samples.
        """
        excess_s = max(0.0, self.own_s - self.baseline_s)
        return self.total_s / max(self.total_s - excess_s, 1e-6)

    def add(self, sample: LatencySample, baseline: float, limit: float) -> None:
        """Add one sample.

        Args:
            sample: Latency of one request.
            baseline: Own time without queueing on the sample's route, in seconds.
            limit: Concurrency limit in force.

        """
        self.count += 1
        self.near_limit += sample.in_flight >= int(limit) * NEAR_LIMIT_RATIO
        self.total_s += sample.total_s
        self.own_s += sample.own_s
        self.baseline_s += baseline
        count, own_sum_s = self.own_by_route.get(sample.route, (0, 0.0))
        self.own_by_route[sample.route] = (count + 1, own_sum_s + sample.own_s)


class Limiter:
    """Adaptive concurrency limit of one upstream.

    Args:
        now: Current time in seconds.

    Attributes:
        limit: Limit in requests. Steps are computed from this value, which need not be
            whole; admission applies its integer part.
        phase: Current phase.

    """

    __slots__ = ("_baselines", "_cut_steps", "_window", "limit", "phase")

    def __init__(self, *, now: float) -> None:
        self.limit = INITIAL_LIMIT
        self.phase = LimiterPhase.GROWING
        self._baselines: dict[RouteId, float] = {}
        self._window = _Window(now)
        self._cut_steps: list[_CutStep] = []

    def record_latency(self, sample: LatencySample, now: float) -> None:
        """Add the latency of one request; update the limit if this closes a window.

        While the limit is being cut, requests started before the current window are
        ignored, since they ran under the previous limit. Failures are always counted.
        """
        baseline = self._baselines.setdefault(sample.route, sample.own_s)
        if (
            sample.started_at < self._window.started_at
            and self.phase is LimiterPhase.CUTTING
        ):
            return
        is_uncontended = sample.in_flight <= max(
            1.0, self.limit * UNCONTENDED_LIMIT_RATIO
        )
        if is_uncontended and self.phase is not LimiterPhase.CUTTING:
            updated = baseline + (sample.own_s - baseline) * BASELINE_EWMA_WEIGHT
            self._baselines[sample.route] = updated
        self._window.add(sample, baseline, self.limit)
        self._close_window(now)

    def record_overload(self, now: float) -> None:
        """Count a failure, for which no latency is recorded.

        The upstream rejected the request because of overload or could not be reached.
        """
        self._window.failures += 1
        self._close_window(now)

    def _close_window(self, now: float) -> None:
        window = self._window
        age_s = now - window.started_at
        min_results = max(MIN_WINDOW_SAMPLES, int(self.limit))
        has_enough = (
            window.count + window.failures >= min_results or age_s > MAX_WINDOW_S
        )
        if age_s < WINDOW_S or not has_enough:
            return
        self._window = _Window(now)
        if window.failures > window.count * MAX_FAILURE_RATIO:
            self._cut_after_failures()
        elif self.phase is LimiterPhase.CUTTING:
            self._evaluate_cut(window)
        else:
            self._adapt(window)

    def _cut_after_failures(self) -> None:
        self.phase = LimiterPhase.STEADY
        self._cut_steps.clear()
        self.limit = max(MIN_LIMIT, self.limit * FAILURE_CUT_FACTOR)

    def _adapt(self, window: _Window) -> None:
        if window.own_ratio < FASTER_SERVICE_RATIO:
            self._scale_baselines(window.own_ratio)
        if not self._is_limit_bound(window):
            return
        if self._is_queueing(window):
            self._cut(window)
        else:
            self._grow(window)

    @staticmethod
    def _is_queueing(window: _Window) -> bool:
        is_noticeable = window.queueing_s > MIN_QUEUEING_S
        return is_noticeable and window.inflation > MAX_INFLATION

    def _is_limit_bound(self, window: _Window) -> bool:
        """Return whether the limit, rather than the demand, bounds the concurrency."""
        return window.near_limit >= window.count * NEAR_LIMIT_SAMPLE_RATIO

    def _grow(self, window: _Window) -> None:
        if window.inflation > MAX_DOUBLING_INFLATION:
            self.phase = LimiterPhase.STEADY
        increment = (
            self.limit if self.phase is LimiterPhase.GROWING else self.limit**0.5 / 4
        )
        self.limit = min(MAX_LIMIT, self.limit + max(0.5, increment))

    def _cut(self, window: _Window) -> None:
        self.phase = LimiterPhase.CUTTING
        mean_total_s = window.total_s / window.count
        step = _CutStep(self.limit, mean_total_s, window.own_s / window.count)
        self._cut_steps.append(step)
        factor = min(
            MAX_CUT_FACTOR, max(MIN_CUT_FACTOR, HEADROOM_FACTOR / window.inflation)
        )
        self.limit = max(MIN_LIMIT, self.limit * factor)

    def _evaluate_cut(self, window: _Window) -> None:
        """Cut again while the throughput holds; otherwise set the limit from the slots.

        The throughput is not counted but follows from Little's law with the limit as
        the concurrency. If the load does not reach the limit, the throughput does not
        depend on the limit, which then stays as it is.
        """
        if not window.count or not self._is_limit_bound(window):
            self._end_cutting(self.limit)
            return
        previous = self._cut_steps[-1]
        throughput = self.limit * window.count / window.total_s
        has_held = (
            throughput > previous.limit / previous.total_s * HELD_THROUGHPUT_RATIO
        )
        if has_held and self.limit > MIN_LIMIT:
            self._cut(window)
            return
        self._set_baselines(window)
        unqueued_own_s = window.own_s / window.count
        slots = max(step.slots(unqueued_own_s) for step in self._cut_steps)
        self._end_cutting(slots * HEADROOM_FACTOR)

    def _end_cutting(self, limit: float) -> None:
        self.phase = LimiterPhase.STEADY
        self._cut_steps.clear()
        self.limit = min(MAX_LIMIT, max(MIN_LIMIT, limit))

    def _set_baselines(self, window: _Window) -> None:
        """Set the baselines to the own times of a window without queueing.

        Routes with too few samples are scaled by the mean ratio of all samples.
        """
        self._scale_baselines(window.own_ratio)
        for route, (count, own_s) in window.own_by_route.items():
            if count >= MIN_WINDOW_SAMPLES:
                self._baselines[route] = own_s / count

    def _scale_baselines(self, ratio: float) -> None:
        for route, baseline in self._baselines.items():
            self._baselines[route] = baseline * ratio
