"""Queue in front of an upstream: by importance, then fair between workspaces."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.ids import JobId, WorkspaceId
from lavenderway_core.importance import Importance

if TYPE_CHECKING:
    from collections.abc import Iterator


class Waiting(NamedTuple):
    """A job that waits for the upstream.

    Attributes:
        rank: Position of the root request in the shedding order; the highest goes
            first, equally at each hop.
        is_root: Whether it belongs to a root request that came here first.
        since: Time at which the job began to wait, in seconds.

    """

    job: JobId
    workspace: WorkspaceId | None
    importance: Importance
    weight: float
    rank: float
    is_root: bool
    since: float


class _FairQueue:
    """Jobs of one importance, in deficit round robin between workspaces."""

    def __init__(self) -> None:
        self.queues: dict[WorkspaceId | None, deque[Waiting]] = {}
        self.size = 0
        self._turns: deque[WorkspaceId | None] = deque()
        self._deficits: dict[WorkspaceId | None, float] = {}

    def push(self, waiting: Waiting) -> None:
        """Add a job at the end of its workspace's queue."""
        queue = self.queues.get(waiting.workspace)
        if queue is None:
            queue = self.queues[waiting.workspace] = deque()
            self._turns.append(waiting.workspace)
            self._deficits[waiting.workspace] = 0.0
        queue.append(waiting)
        self.size += 1

    def pop(self) -> Waiting | None:
        """Remove the next job in turn."""
        while self._turns:
            workspace = self._turns[0]
            queue = self.queues[workspace]
            if self._deficits[workspace] >= 1:
                self._deficits[workspace] -= 1
                waiting = queue.popleft()
                self._forget_if_empty(workspace)
                self.size -= 1
                return waiting
            self._deficits[workspace] += queue[0].weight
            self._turns.rotate(-1)
        return None

    def remove(self, waiting: Waiting) -> None:
        """Remove one job."""
        self.queues[waiting.workspace].remove(waiting)
        self._forget_if_empty(waiting.workspace)
        self.size -= 1

    def pick_victim(self) -> Waiting:
        """Return the job to shed first: the largest user's highest rank."""
        largest = max(self.queues.values(), key=lambda q: len(q) / q[0].weight)
        return max(largest, key=lambda waiting: waiting.rank)

    def share_of(self, waiting: Waiting) -> float:
        """Return the queue length of the job's workspace, relative to its weight."""
        queue = self.queues.get(waiting.workspace)
        return 0.0 if queue is None else len(queue) / waiting.weight

    def _forget_if_empty(self, workspace: WorkspaceId | None) -> None:
        if not self.queues[workspace]:
            del self.queues[workspace]
            del self._deficits[workspace]
            self._turns.remove(workspace)


class Backlog:
    """Jobs that wait for one upstream."""

    def __init__(self) -> None:
        self._by_importance = {member: _FairQueue() for member in Importance}
        self._jobs: dict[JobId, Waiting] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def __iter__(self) -> Iterator[Waiting]:
        return iter(self._jobs.values())

    def __contains__(self, job: JobId) -> bool:
        return job in self._jobs

    def push(self, waiting: Waiting) -> None:
        """Add a job."""
        self._jobs[waiting.job] = waiting
        self._by_importance[waiting.importance].push(waiting)

    def pop(self) -> Waiting | None:
        """Remove and return the next job to run, None when empty."""
        for queue in self._by_importance.values():
            waiting = queue.pop()
            if waiting is not None:
                del self._jobs[waiting.job]
                return waiting
        return None

    def remove(self, job: JobId) -> Waiting | None:
        """Remove a job; return it, or None if it does not wait."""
        waiting = self._jobs.pop(job, None)
        if waiting is not None:
            self._by_importance[waiting.importance].remove(waiting)
        return waiting

    def shed_for(self, newcomer: Waiting) -> Waiting:
        """Choose between a newcomer and the waiting jobs which one is shed.

        Args:
            newcomer: Job that is not in the backlog yet.

        Returns:
            The job to shed, which may be the newcomer. A job from the backlog has
            been removed from it.

        """
        victim = self._pick_victim(newcomer)
        if victim is not newcomer:
            self.remove(victim.job)
        return victim

    def _pick_victim(self, newcomer: Waiting) -> Waiting:
        for importance in reversed(Importance):
            queue = self._by_importance[importance]
            if importance < newcomer.importance:
                return newcomer
            if importance == newcomer.importance:
                return self._pick_among_equals(queue, newcomer)
            if queue.size:
                return queue.pick_victim()
        return newcomer

    @staticmethod
    def _pick_among_equals(queue: _FairQueue, newcomer: Waiting) -> Waiting:
        if not queue.size:
            return newcomer
        victim = queue.pick_victim()
        own = queue.share_of(newcomer) + 1 / newcomer.weight
        largest = queue.share_of(victim)
        if victim.workspace == newcomer.workspace or own == largest:
            return max(victim, newcomer, key=lambda waiting: waiting.rank)
        return newcomer if own > largest else victim
