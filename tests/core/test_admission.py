"""Tests of admission in front of an upstream."""

from __future__ import annotations

import unittest

from lavenderway_core.admission import ESTIMATE_MAX_AGE_S, Admission, Running
from lavenderway_core.ids import RouteId

ROUTE = RouteId("r")
DEADLINE_S = 1.0


class AdmissionTest(unittest.TestCase):
    """Estimates of time, silence and the length of the queue."""

    def learn(self, admission: Admission, total_s: float, now: float) -> None:
        """Have requests of one duration end at a time."""
        for _ in range(50):
            begun = Running(now - total_s, 1)
            admission.record_time(ROUTE, begun, total_s, now)

    def test_work_that_cannot_be_answered_in_time(self) -> None:
        admission = Admission(now=0.0)
        self.learn(admission, 0.5, 1.0)
        self.assertTrue(admission.is_too_late(ROUTE, 0.3, 1.0))
        self.assertFalse(admission.is_too_late(ROUTE, 0.6, 1.0))

    def test_stale_estimate_does_not_refuse_for_ever(self) -> None:
        admission = Admission(now=0.0)
        self.learn(admission, 2 * DEADLINE_S, 1.0)
        self.assertTrue(admission.is_too_late(ROUTE, DEADLINE_S, 1.0))
        later = 1.0 + ESTIMATE_MAX_AGE_S
        self.assertFalse(admission.is_too_late(ROUTE, DEADLINE_S, later))
        self.assertTrue(admission.is_too_late(ROUTE, DEADLINE_S, later))
        self.learn(admission, 0.05, later)
        self.assertFalse(admission.is_too_late(ROUTE, DEADLINE_S, later))

    def test_silence_is_a_stall_only_at_the_limit(self) -> None:
        admission = Admission(now=0.0)
        self.assertFalse(admission.is_stalled(100.0))
