"""Tests of the queue of jobs for one upstream."""

from __future__ import annotations

import unittest
from collections import Counter

from lavenderway_core.ids import ExchangeId, HostId, Incarnation, JobId, WorkspaceId
from lavenderway_core.importance import Importance
from lavenderway_core.job_queue import JobQueue, QueuedJob


def build_job(
    number: int,
    workspace: str = "a",
    importance: Importance = Importance.NORMAL,
    weight: float = 1.0,
    rank: int = 0,
) -> QueuedJob:
    """Return a job to queue."""
    job = JobId(HostId("h"), Incarnation(1), ExchangeId(number), 1)
    return QueuedJob(job, WorkspaceId(workspace), importance, weight, rank, True, 0.0)


class JobQueueTest(unittest.TestCase):
    """Order in which jobs are served and shed."""

    def test_most_important_job_leaves_first(self) -> None:
        job_queue = JobQueue()
        for number, importance in enumerate(reversed(Importance)):
            job_queue.push(build_job(number, importance=importance))
        order = [job_queue.pop() for _ in Importance]
        self.assertEqual(list(Importance), [each.importance for each in order if each])

    def test_workspaces_are_served_by_weight(self) -> None:
        job_queue = JobQueue()
        for number in range(300):
            job_queue.push(build_job(number, "small", weight=1.0))
            job_queue.push(build_job(1000 + number, "large", weight=2.0))
        served = [job_queue.pop() for _ in range(90)]
        shares = Counter(each.workspace for each in served if each)
        self.assertEqual({"small": 30, "large": 60}, dict(shares))

    def test_full_queue_sheds_the_flooding_workspace(self) -> None:
        job_queue = JobQueue()
        for number in range(10):
            job_queue.push(build_job(number, "flood", rank=number))
        victim = job_queue.shed_for(build_job(99, "small", rank=10_000))
        self.assertEqual(("flood", 9), (victim.workspace, victim.rank))
        self.assertEqual(9, len(job_queue))

    def test_within_a_workspace_the_highest_rank_is_shed(self) -> None:
        job_queue = JobQueue()
        for number in range(10):
            job_queue.push(build_job(number, "flood", rank=number))
        arriving = build_job(99, "flood", rank=20)
        self.assertIs(arriving, job_queue.shed_for(arriving))

    def test_least_important_job_is_shed_first(self) -> None:
        job_queue = JobQueue()
        job_queue.push(build_job(1, importance=Importance.LOW))
        job_queue.push(build_job(2, importance=Importance.HIGH))
        victim = job_queue.shed_for(build_job(3, importance=Importance.CRITICAL))
        self.assertIs(Importance.LOW, victim.importance)
        arriving = build_job(4, importance=Importance.LOW)
        self.assertIs(arriving, job_queue.shed_for(arriving))

    def test_removed_job_is_not_served(self) -> None:
        job_queue = JobQueue()
        job = build_job(1)
        job_queue.push(job)
        self.assertEqual(job, job_queue.remove(job.job))
        self.assertIsNone(job_queue.remove(job.job))
        self.assertIsNone(job_queue.pop())
