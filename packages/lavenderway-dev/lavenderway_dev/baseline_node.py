"""Node with a baseline policy instead of its admission control, for benchmarks."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from lavenderway_core import upkeep
from lavenderway_core.admission import Admission, Offer
from lavenderway_core.importance import Importance
from lavenderway_core.retries import RetryBudget
from lavenderway_node import daemon

if TYPE_CHECKING:
    from lavenderway_core.backlog import Waiting

POLICY_VARIABLE = "LAVENDERWAY_BASELINE"
FIXED_CONCURRENCY_LIMIT = 16
FIXED_QUEUE_LENGTH = 64


class PassThrough(Admission):
    """Admission policy that starts every job at once.

    `main` also removes the limit of the retry budget for this policy.
    """

    def offer(self, waiting: Waiting, now: float) -> Offer:
        """Start the job without a limit."""
        self.start(waiting, now)
        return Offer(starts=True, shed=None)

    def is_stalled(self, now: float) -> bool:
        """Return false: a silent upstream is not detected."""
        return False

    def admits(self, waiting: Waiting, now: float) -> bool:
        """Return true: no job is rejected before the queue."""
        return True


class FixedLimit(Admission):
    """Admission policy with a fixed concurrency limit and one FIFO queue."""

    @property
    def _slots(self) -> int:
        return FIXED_CONCURRENCY_LIMIT

    @property
    def _queue_length(self) -> int:
        return FIXED_QUEUE_LENGTH

    def offer(self, waiting: Waiting, now: float) -> Offer:
        """Queue the job in order of arrival; refuse it if the queue is full."""
        normalized = waiting._replace(
            importance=Importance.NORMAL, workspace=None, weight=1.0, rank=0
        )
        return super().offer(normalized, now)

    def admits(self, waiting: Waiting, now: float) -> bool:
        """Return true: no job is rejected before the queue."""
        return True

    def sheds_standing_queue(self, waiting: Waiting, now: float) -> bool:
        """Shed no jobs by queueing delay."""
        return False

    def is_stalled(self, now: float) -> bool:
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
    setattr(upkeep, "Admission", policies[name])  # noqa: B010
    if name == "pass-through":
        RetryBudget.take = _allow_retry  # type: ignore[method-assign]
    daemon.main()


if __name__ == "__main__":
    main()
