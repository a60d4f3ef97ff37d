"""A node with a baseline in place of admission control, for comparison only."""

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
FIXED_LIMIT = 16
FIXED_QUEUE = 64


class PassThrough(Admission):
    """Starts everything at once and retries without a budget."""

    def offer(self, waiting: Waiting, now: float) -> Offer:
        """Start the job."""
        self.start(waiting, now)
        return Offer(starts=True, shed=None)

    def is_stalled(self, now: float) -> bool:
        """Take no notice of silence."""
        return False

    def admits(self, waiting: Waiting, now: float) -> bool:
        """Admit everything."""
        return True


class FixedLimit(Admission):
    """A fixed concurrency limit with one first-in first-out queue."""

    @property
    def _slots(self) -> int:
        return FIXED_LIMIT

    @property
    def _queue_length(self) -> int:
        return FIXED_QUEUE

    def offer(self, waiting: Waiting, now: float) -> Offer:
        """Queue in order of arrival; refuse the newcomer when full."""
        alike = waiting._replace(
            importance=Importance.NORMAL, workspace=None, weight=1.0, rank=0
        )
        return super().offer(alike, now)

    def admits(self, waiting: Waiting, now: float) -> bool:
        """Admit everything."""
        return True

    def sheds_standing_queue(self, waiting: Waiting, now: float) -> bool:
        """Shed nothing by delay."""
        return False

    def is_stalled(self, now: float) -> bool:
        """Take no notice of silence."""
        return False


def _allow(self: RetryBudget, now: float, *, cost: float = 1.0) -> bool:
    """Allow every retry."""
    return True


def main() -> None:
    """Run a node with the policy that the environment names."""
    policies: dict[str, type[Admission]] = {
        "pass-through": PassThrough,
        "fixed": FixedLimit,
    }
    name = os.environ[POLICY_VARIABLE]
    setattr(upkeep, "Admission", policies[name])  # noqa: B010
    if name == "pass-through":
        RetryBudget.take = _allow  # type: ignore[method-assign]
    daemon.main()


if __name__ == "__main__":
    main()
