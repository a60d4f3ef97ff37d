"""Queue of jobs for one upstream, ordered by importance and fair to workspaces.

Jobs of a more important class leave the queue first. Within a class, deficit round
robin keeps a workspace with many requests from delaying the others.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.ids import JobId, WorkspaceId
from lavenderway_core.importance import Importance

if TYPE_CHECKING:
    from collections.abc import Iterator


class Waiting(NamedTuple):
    """A job that is to be admitted, or waits in the queue.

    Attributes:
        job: ID of the job.
        workspace: Workspace of the request; None without a valid key, which only
            routes open to all allow.
        importance: Importance class.
        weight: Weight of the workspace, to which its fair share is proportional.
        rank: Rank of the root request in the shedding order, the same at every
            service. The highest is shed first.
        is_root: Whether the job runs a root request rather than a nested call.
        since: Time at which the job arrived, in seconds.

    """

    job: JobId
    workspace: WorkspaceId | None
    importance: Importance
    weight: float
    rank: float
    is_root: bool
    since: float


class _FairQueue:
    """Jobs of one importance class, in deficit round robin between workspaces.

    Attributes:
        queues: Waiting jobs in order of arrival, by workspace. Workspaces without
            jobs are removed.
        size: Number of waiting jobs.

    """

    def __init__(self) -> None:
        self.queues: dict[WorkspaceId | None, deque[Waiting]] = {}
        self.size = 0
        self._active: deque[WorkspaceId | None] = deque()
        self._deficits: dict[WorkspaceId | None, float] = {}

    def push(self, waiting: Waiting) -> None:
        """Append a job to the queue of its workspace."""
        queue = self.queues.get(waiting.workspace)
        if queue is None:
            queue = self.queues[waiting.workspace] = deque()
            self._active.append(waiting.workspace)
            self._deficits[waiting.workspace] = 0.0
        queue.append(waiting)
        self.size += 1

    def pop(self) -> Waiting | None:
        """Remove and return the next job, or None if the queue is empty."""
        while self._active:
            workspace = self._active[0]
            queue = self.queues[workspace]
            if self._deficits[workspace] >= 1:
                self._deficits[workspace] -= 1
                waiting = queue.popleft()
                self._remove_if_empty(workspace)
                self.size -= 1
                return waiting
            self._deficits[workspace] += queue[0].weight
            self._active.rotate(-1)
        return None

    def remove(self, waiting: Waiting) -> None:
        """Remove one job."""
        self.queues[waiting.workspace].remove(waiting)
        self._remove_if_empty(waiting.workspace)
        self.size -= 1

    def pick_victim(self) -> Waiting:
        """Return the job to shed first.

        This is the job with the highest rank in the workspace that has the most jobs
        in this queue relative to its weight. The queue must not be empty.
        """
        heaviest = max(self.queues.values(), key=lambda q: len(q) / q[0].weight)
        return max(heaviest, key=lambda waiting: waiting.rank)

    def weighted_length(self, waiting: Waiting) -> float:
        """Return the queue length of a job's workspace divided by its weight."""
        queue = self.queues.get(waiting.workspace)
        return 0.0 if queue is None else len(queue) / waiting.weight

    def _remove_if_empty(self, workspace: WorkspaceId | None) -> None:
        if not self.queues[workspace]:
            del self.queues[workspace]
            del self._deficits[workspace]
            self._active.remove(workspace)


class Backlog:
    """Queue of one upstream, over all importance classes."""

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
        """Remove and return the next job to run, or None if the queue is empty."""
        for queue in self._by_importance.values():
            waiting = queue.pop()
            if waiting is not None:
                del self._jobs[waiting.job]
                return waiting
        return None

    def remove(self, job: JobId) -> Waiting | None:
        """Remove a job and return it, or None if it is not queued."""
        waiting = self._jobs.pop(job, None)
        if waiting is not None:
            self._by_importance[waiting.importance].remove(waiting)
        return waiting

    def shed_for(self, arriving: Waiting) -> Waiting:
        """Choose the job to shed when a job arrives at the full queue.

        The job is chosen from the least important class, within it from the workspace
        with the most queued jobs relative to its weight, and there by the highest
        rank. The arriving job counts as queued.

        Args:
            arriving: Job that has not been queued.

        Returns:
            The job to shed, which may be `arriving`. Any other job has been removed
            from the queue.

        """
        victim = self._pick_victim(arriving)
        if victim is not arriving:
            self.remove(victim.job)
        return victim

    def _pick_victim(self, arriving: Waiting) -> Waiting:
        for importance in reversed(Importance):
            queue = self._by_importance[importance]
            if importance < arriving.importance:
                return arriving
            if importance == arriving.importance:
                return self._pick_within_class(queue, arriving)
            if queue.size:
                return queue.pick_victim()
        return arriving

    @staticmethod
    def _pick_within_class(queue: _FairQueue, arriving: Waiting) -> Waiting:
        if not queue.size:
            return arriving
        victim = queue.pick_victim()
        arriving_length = queue.weighted_length(arriving) + 1 / arriving.weight
        victim_length = queue.weighted_length(victim)
        if victim.workspace == arriving.workspace or arriving_length == victim_length:
            return max(victim, arriving, key=lambda waiting: waiting.rank)
        return arriving if arriving_length > victim_length else victim
