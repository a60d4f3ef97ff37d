"""Tests of the adaptive attempt timeout."""

import random
import unittest

from lavenderway_relay.attempt_timeout import (
    MAX_TIME_LEFT_FRACTION,
    MIN_TIMEOUT_S,
    AttemptTimeout,
)


def make_timeout(count: int, *, mean_s: float, sigma: float = 0.5) -> AttemptTimeout:
    """Return a timeout that has recorded log-normally distributed response times."""
    rng = random.Random(3)
    attempt_timeout = AttemptTimeout()
    for _ in range(count):
        attempt_timeout.record_response_time(mean_s * rng.lognormvariate(0.0, sigma))
    return attempt_timeout


class AdaptiveTimeout(unittest.TestCase):
    """The timeout is longer than usual responses and leaves time for another host."""

    def test_no_timeout_before_enough_samples(self) -> None:
        self.assertIsNone(make_timeout(5, mean_s=0.02).timeout_s(1.0))

    def test_usual_responses_arrive_in_time(self) -> None:
        attempt_timeout = make_timeout(2000, mean_s=0.05)
        timeout_s = attempt_timeout.timeout_s(3.0)
        assert timeout_s is not None
        rng = random.Random(9)
        late = sum(
            0.05 * rng.lognormvariate(0.0, 0.5) > timeout_s for _ in range(10_000)
        )
        self.assertLess(late / 10_000, 0.01)
        self.assertLess(timeout_s, 10 * 0.05)

    def test_timeout_has_a_lower_bound(self) -> None:
        self.assertEqual(MIN_TIMEOUT_S, make_timeout(100, mean_s=0.001).timeout_s(1.0))

    def test_time_is_left_for_another_host(self) -> None:
        attempt_timeout = make_timeout(100, mean_s=0.05)
        timeout_s = attempt_timeout.timeout_s(10.0)
        assert timeout_s is not None
        self.assertIsNone(
            attempt_timeout.timeout_s(timeout_s / MAX_TIME_LEFT_FRACTION * 0.99)
        )
        self.assertEqual(
            timeout_s,
            attempt_timeout.timeout_s(timeout_s / MAX_TIME_LEFT_FRACTION * 1.01),
        )

    def test_adapts_to_a_slower_service(self) -> None:
        attempt_timeout = make_timeout(200, mean_s=0.02)
        for _ in range(60):
            attempt_timeout.record_response_time(0.4)
        timeout_s = attempt_timeout.timeout_s(10.0)
        assert timeout_s is not None
        self.assertGreater(timeout_s, 0.8)
