"""Node that runs a baseline policy in place of admission control, for benchmarks."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from lavenderway_core import maintenance
from lavenderway_core.admission import Admission, AdmissionDecision
from lavenderway_core.importance import Importance
from lavenderway_core.retries import RetryBudget
from lavenderway_node import daemon

if TYPE_CHECKING:
    from lavenderway_core.job_queue import QueuedJob

POLICY_VARIABLE = "LAVENDERWAY_BASELINE"
FIXED_CONCURRENCY_LIMIT = 16
FIXED_QUEUE_CAPACITY = 64


class PassThrough(Admission):
    """Admission policy that starts every job at once.

    `main` also removes the limit of the retry budget for this policy.
    """

    def offer(self, queued_job: QueuedJob, now: float) -> AdmissionDecision:
        """Start the job without a limit."""
        self.start(queued_job, now)
        return AdmissionDecision(starts=True, shed=None)

    def is_unresponsive(self, now: float) -> bool:
        """Return false: a silent upstream is not detected."""
        return False

    def admits(self, queued_job: QueuedJob, now: float) -> bool:
        """Return true: no job is refused before it reaches the queue."""
        return True


class FixedLimit(Admission):
    """Admission policy with a fixed concurrency limit and one FIFO queue."""

    @property
    def _max_running(self) -> int:
        return FIXED_CONCURRENCY_LIMIT

    @property
    def _queue_capacity(self) -> int:
        return FIXED_QUEUE_CAPACITY

    def offer(self, queued_job: QueuedJob, now: float) -> AdmissionDecision:
        """Queue the job in order of arrival; refuse it if the queue is full."""
        normalized = queued_job._replace(
            importance=Importance.NORMAL, workspace=None, weight=1.0, rank=0
        )
        return super().offer(normalized, now)

    def admits(self, queued_job: QueuedJob, now: float) -> bool:
        """Return true: no job is refused before it reaches the queue."""
        return True

    def should_shed_by_delay(self, queued_job: QueuedJob, now: float) -> bool:
        """Return false: no job is shed because of its queueing delay."""
        return False

    def is_unresponsive(self, now: float) -> bool:
        """Return false: a silent upstream is not detected."""
        return False


def _allow_retry(self: RetryBudget, now: float, *, cost: float = 1.0) -> bool:
    """Allow every retry."""
    return True


def main() -> None:
    """Run a node with the policy selected by the environment variable."""
    policies: dict[str, type[Admission]] = {
        "pass-through": PassThrough,
        "fixed": FixedLimit,
    }
    name = os.environ[POLICY_VARIABLE]
    setattr(maintenance, "Admission", policies[name])  # noqa: B010
    if name == "pass-through":
        RetryBudget.try_withdraw = _allow_retry  # type: ignore[method-assign]
    daemon.main()


if __name__ == "__main__":
    main()
