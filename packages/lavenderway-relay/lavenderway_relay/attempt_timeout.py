"""Adapts the timeout of one attempt to the usual response times of a route.

Designed for upstreams that run a request and lose its response, or that hang on some of
their requests. A call tree of eight calls fails if one response is lost, so a service
that loses a fifth of its responses fails five of six such call trees. A response that
takes many times as long as usual hardly ever arrives, so it is better to retry
elsewhere.
"""

from __future__ import annotations

from collections import deque

MEAN_EWMA_WEIGHT = 0.05  # weight of the newest response time in the moving average
# Weight of the newest response time in the moving mean deviation.
DEVIATION_EWMA_WEIGHT = 0.05
# Number of mean deviations added to the mean. About one response in a hundred takes
# three times as long as usual.
DEVIATION_FACTOR = 6.0
MIN_MEAN_FACTOR = 3.0  # lower bound of the timeout, as a multiple of the mean
MIN_TIMEOUT_S = 0.05  # network and scheduling delays dominate below this
MIN_SAMPLES = 10  # fewer samples do not give a usable mean
RECENT_SAMPLES = 16
MAX_TIME_LEFT_FRACTION = 0.6  # the rest is left for an attempt at another host


class AttemptTimeout:
    """Moving average and deviation of the response times of one route and service."""

    __slots__ = ("_deviation_s", "_mean_s", "_recent_s", "_response_count")

    def __init__(self) -> None:
        self._response_count = 0
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._recent_s: deque[float] = deque(maxlen=RECENT_SAMPLES)

    def record_response_time(self, elapsed_s: float) -> None:
        """Record the time that a usable response took."""
        self._response_count += 1
        self._recent_s.append(elapsed_s)
        if self._response_count == 1:
            self._mean_s = elapsed_s
            return
        error_s = elapsed_s - self._mean_s
        self._mean_s += MEAN_EWMA_WEIGHT * error_s
        self._deviation_s += DEVIATION_EWMA_WEIGHT * (abs(error_s) - self._deviation_s)

    @property
    def longest_usual_s(self) -> float | None:
        """Time within which a response usually arrives, in seconds.

        None if there are too few samples.
        """
        if self._response_count < MIN_SAMPLES:
            return None
        expected_max_s = self._mean_s + DEVIATION_FACTOR * self._deviation_s
        return max(MIN_TIMEOUT_S, expected_max_s)

    @property
    def longest_recent_s(self) -> float:
        """Longest of the last few response times, in seconds; 0.0 without any."""
        return max(self._recent_s, default=0.0)

    def timeout_s(self, time_left_s: float) -> float | None:
        """Return the timeout of one attempt, in seconds.

        Args:
            time_left_s: Time until the deadline of the request, in seconds.

        Returns:
            The timeout, or None if there are too few samples or too little time would
                be left for another attempt.

        """
        longest_s = self.longest_usual_s
        if longest_s is None:
            return None
        wait_s = max(longest_s, MIN_MEAN_FACTOR * self._mean_s)
        return wait_s if wait_s <= MAX_TIME_LEFT_FRACTION * time_left_s else None
