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


class QueuedJob(NamedTuple):
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
        arrived_at: Time at which the job arrived, in seconds.

    """

    job: JobId
    workspace: WorkspaceId | None
    importance: Importance
    weight: float
    rank: float
    is_root: bool
    arrived_at: float


class _FairQueue:
    """Jobs of one importance class, in deficit round robin between workspaces.

    Attributes:
        queues: Queued jobs in order of arrival, by workspace. Workspaces without
            jobs are removed.
        size: Number of queued jobs.

    """

    def __init__(self) -> None:
        self.queues: dict[WorkspaceId | None, deque[QueuedJob]] = {}
        self.size = 0
        self._active: deque[WorkspaceId | None] = deque()
        self._deficits: dict[WorkspaceId | None, float] = {}

    def push(self, queued_job: QueuedJob) -> None:
        """Append a job to the queue of its workspace."""
        queue = self.queues.get(queued_job.workspace)
        if queue is None:
            queue = self.queues[queued_job.workspace] = deque()
            self._active.append(queued_job.workspace)
            self._deficits[queued_job.workspace] = 0.0
        queue.append(queued_job)
        self.size += 1

    def pop(self) -> QueuedJob | None:
        """Remove and return the next job, or None if the queue is empty."""
        while self._active:
            workspace = self._active[0]
            queue = self.queues[workspace]
            if self._deficits[workspace] >= 1:
                self._deficits[workspace] -= 1
                queued_job = queue.popleft()
                self._remove_if_empty(workspace)
                self.size -= 1
                return queued_job
            self._deficits[workspace] += queue[0].weight
            self._active.rotate(-1)
        return None

    def remove(self, queued_job: QueuedJob) -> None:
        """Remove one job."""
        self.queues[queued_job.workspace].remove(queued_job)
        self._remove_if_empty(queued_job.workspace)
        self.size -= 1

    def pick_victim(self) -> QueuedJob:
        """Return the job to shed first.

        This is the job with the highest rank in the workspace that has the most jobs
        in this queue relative to its weight. The queue must not be empty.
        """
        heaviest = max(self.queues.values(), key=lambda q: len(q) / q[0].weight)
        return max(heaviest, key=lambda queued_job: queued_job.rank)

    def weighted_length(self, queued_job: QueuedJob) -> float:
        """Return the queue length of a job's workspace divided by its weight."""
        queue = self.queues.get(queued_job.workspace)
        return 0.0 if queue is None else len(queue) / queued_job.weight

    def _remove_if_empty(self, workspace: WorkspaceId | None) -> None:
        if not self.queues[workspace]:
            del self.queues[workspace]
            del self._deficits[workspace]
            self._active.remove(workspace)


class JobQueue:
    """Queue of one upstream, over all importance classes."""

    def __init__(self) -> None:
        self._by_importance = {member: _FairQueue() for member in Importance}
        self._jobs: dict[JobId, QueuedJob] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def __iter__(self) -> Iterator[QueuedJob]:
        return iter(self._jobs.values())

    def __contains__(self, job: JobId) -> bool:
        return job in self._jobs

    def push(self, queued_job: QueuedJob) -> None:
        """Add a job."""
        self._jobs[queued_job.job] = queued_job
        self._by_importance[queued_job.importance].push(queued_job)

    def pop(self) -> QueuedJob | None:
        """Remove and return the next job to run, or None if the queue is empty."""
        for queue in self._by_importance.values():
            queued_job = queue.pop()
            if queued_job is not None:
                del self._jobs[queued_job.job]
                return queued_job
        return None

    def remove(self, job: JobId) -> QueuedJob | None:
        """Remove a job and return it, or None if it is not queued."""
        queued_job = self._jobs.pop(job, None)
        if queued_job is not None:
            self._by_importance[queued_job.importance].remove(queued_job)
        return queued_job

    def shed_for(self, arriving: QueuedJob) -> QueuedJob:
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

    def _pick_victim(self, arriving: QueuedJob) -> QueuedJob:
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
    def _pick_within_class(queue: _FairQueue, arriving: QueuedJob) -> QueuedJob:
        if not queue.size:
            return arriving
        victim = queue.pick_victim()
        arriving_length = queue.weighted_length(arriving) + 1 / arriving.weight
        victim_length = queue.weighted_length(victim)
        if victim.workspace == arriving.workspace or arriving_length == victim_length:
            return max(victim, arriving, key=lambda queued_job: queued_job.rank)
        return arriving if arriving_length > victim_length else victim
