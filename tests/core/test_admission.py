"""Tests of the admission control of one upstream."""

from __future__ import annotations

import unittest

from lavenderway_core.admission import ESTIMATE_MAX_AGE_S, Admission, RunningJob
from lavenderway_core.ids import RouteId

ROUTE = RouteId("r")
DEADLINE_S = 1.0


class AdmissionTest(unittest.TestCase):
    """Latency estimates and detection of stalled upstreams."""

    def record_latencies(
        self, admission: Admission, total_s: float, now: float
    ) -> None:
        """Record 50 requests with a latency of `total_s` that end at `now`."""
        for _ in range(50):
            running_job = RunningJob(now - total_s, 1)
            admission.record_latency(ROUTE, running_job, total_s, now)

    def test_request_expected_to_miss_its_deadline_is_refused(self) -> None:
        admission = Admission(now=0.0)
        self.record_latencies(admission, 0.5, 1.0)
        self.assertTrue(admission.cannot_meet_deadline(ROUTE, 0.3, 1.0))
        self.assertFalse(admission.cannot_meet_deadline(ROUTE, 0.6, 1.0))

    def test_stale_latency_estimate_lets_a_probe_through(self) -> None:
        # The estimate is updated only by requests that run. Without the probe, an
        # upstream that was once slower than the deadline would get no request again.
        admission = Admission(now=0.0)
        self.record_latencies(admission, 2 * DEADLINE_S, 1.0)
        self.assertTrue(admission.cannot_meet_deadline(ROUTE, DEADLINE_S, 1.0))
        later = 1.0 + ESTIMATE_MAX_AGE_S
        self.assertFalse(admission.cannot_meet_deadline(ROUTE, DEADLINE_S, later))
        self.assertTrue(admission.cannot_meet_deadline(ROUTE, DEADLINE_S, later))
        self.record_latencies(admission, 0.05, later)
        self.assertFalse(admission.cannot_meet_deadline(ROUTE, DEADLINE_S, later))

    def test_silent_upstream_below_the_limit_is_not_unresponsive(self) -> None:
        admission = Admission(now=0.0)
        self.assertFalse(admission.is_unresponsive(100.0))
