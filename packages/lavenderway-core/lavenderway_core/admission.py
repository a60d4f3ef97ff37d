"""Admission control for one upstream: load shedding, queueing, concurrency limit.

The node on the upstream's host decides whether a job starts, waits in the queue or is
shed. A *job* is one attempt of a request, at the node that is to run it. A *nested
call* is a call to another service that the upstream makes while it runs a job; there it
arrives as a job as well. A *root request* is a request that is not a nested call. Its
*rank*, a hash of its ID in [0, 1), is the same at every service; requests with a higher
rank are shed first. The *admission level* says which root requests are admitted: an
importance class, the margin, and for this class a cutoff of the rank per workspace.

For an arriving job, the node calls `is_unresponsive`, `cannot_meet_deadline`, `admits`
and, if none of them rules the job out, `offer`. When a job ends, it calls
`record_latency` and `record_response` if they apply, `finish`, and `start_next_queued`
until that returns None. A job from the queue is checked with `cannot_meet_deadline` and
`should_shed_by_delay`; one that is shed then is removed with `finish`.

The node also calls `limiter.record_overload` if the upstream rejected a job because of
overload or could not be reached, and `level.record_failure` if a root request failed
because of overload after `admits`. For a job that `offer` sheds, `offer` does so.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.importance import Importance
from lavenderway_core.job_queue import JobQueue, QueuedJob
from lavenderway_core.limiter import LatencySample, Limiter
from lavenderway_core.shedding import AdmissionLevel

if TYPE_CHECKING:
    from lavenderway_core.ids import JobId, RouteId, WorkspaceId

UNRESPONSIVE_MIN_SILENCE_S = 0.5
UNRESPONSIVE_LATENCY_RATIO = 10.0  # silence divided by the latency of the slowest route
LATENCY_EWMA_WEIGHT = 0.1  # of the newest sample
MIN_REMAINING_RATIO = 1.0  # time left divided by the expected latency
ESTIMATE_MAX_AGE_S = 0.25  # of a latency estimate; an older one lets a probe through
QUEUE_DELAY_TARGET_S = 0.05
QUEUE_DELAY_INTERVAL_S = 0.1
QUEUE_MAX_WAIT_S = 0.25  # then hosting.py sheds a queued job of any importance
QUEUE_CAPACITY_AT_LOW_LIMIT = 8  # jobs; applies if the ratio to the limit yields less
QUEUE_CAPACITY_TO_LIMIT_RATIO = 2.0
QUEUE_MIN_CAPACITY = 2  # jobs; the capacity at high latency


class LoadReport(NamedTuple):
    """Load of an upstream, measured by its node and attached to responses.

    Attributes:
        in_flight: Jobs that the upstream is running.
        queued: Jobs in the queue.
        limit: Concurrency limit in jobs, not necessarily a whole number.
        margin: Number of the importance class in which the rank of the root request
            decides on admission. Less important classes (higher numbers) are refused,
            more important ones are admitted. One above the last class admits all.
        cutoff: Rank from which on jobs are refused at the margin, for the workspace of
            the request that this response belongs to; 1 refuses none.
        utilization: Running and queued jobs divided by the limit, for this upstream or
            as reported to it by nested calls, whichever is higher; may exceed 1.

    """

    in_flight: int
    queued: int
    limit: float
    margin: int
    cutoff: float
    utilization: float


class AdmissionDecision(NamedTuple):
    """Decision on an arriving job.

    Attributes:
        starts: Whether the job starts now.
        shed: Job that is shed because the queue is full, which may be the arriving
            one; None if nothing is shed.

    """

    starts: bool
    shed: QueuedJob | None


class RunningJob(NamedTuple):
    """A job that has been passed to the upstream.

    Attributes:
        started_at: Time at which the job started, in seconds.
        in_flight: Jobs in flight right after the start, including this one.

    """

    started_at: float
    in_flight: int


class Admission:
    """Admission level, queue and concurrency limit of one upstream.

    Args:
        now: Current time in seconds.

    """

    def __init__(self, *, now: float) -> None:
        self.limiter = Limiter(now=now)
        self.job_queue = JobQueue()
        self.running: dict[JobId, RunningJob] = {}
        self._last_response_at = now
        self._latency_s: dict[RouteId, float] = {}
        self._updated_or_probed_at: dict[RouteId, float] = {}
        self._delay_above_target_since: float | None = None
        self.level = AdmissionLevel(now=now)
        self._nested_utilization = 0.0
        self._previous_nested_utilization = 0.0

    def offer(self, queued_job: QueuedJob, now: float) -> AdmissionDecision:
        """Start or queue a job for which `admits` returned true; shed one if full.

        A nested call may be shed as well. A root request that is shed counts as failed
        because of overload.
        """
        if not len(self.job_queue) and len(self.running) < self._max_running:
            self.start(queued_job, now)
            return AdmissionDecision(starts=True, shed=None)
        if len(self.job_queue) < self._queue_capacity:
            self.job_queue.push(queued_job)
            return AdmissionDecision(starts=False, shed=None)
        victim = self.job_queue.shed_for(queued_job)
        if victim is not queued_job:
            self.job_queue.push(queued_job)
        if victim.is_root:
            self.level.record_failure(victim.arrived_at)
        return AdmissionDecision(starts=False, shed=victim)

    def start(self, queued_job: QueuedJob, now: float) -> None:
        """Record that a job has started."""
        if not self.running:
            self._last_response_at = now
        in_flight = len(self.running) + 1
        self.running[queued_job.job] = RunningJob(now, in_flight)

    def start_next_queued(self, now: float) -> QueuedJob | None:
        """Start the next queued job if the limit allows.

        Returns:
            The started job, or None if the limit is reached or the queue is empty.

        """
        if len(self.running) >= self._max_running:
            return None
        queued_job = self.job_queue.pop()
        if queued_job is not None:
            self.start(queued_job, now)
        return queued_job

    def should_shed_by_delay(self, queued_job: QueuedJob, now: float) -> bool:
        """Return whether CoDel sheds a job that `start_next_queued` has just returned.

        CoDel (controlled delay) tells a standing queue from a short burst: in a
        standing queue, no job has left the queue with a delay below the target for
        longer than an interval. Jobs that waited for the target or longer are then
        shed, except critical ones. The call also updates the start of that period,
        which is not reset when the queue becomes empty.
        """
        delay = now - queued_job.arrived_at
        if delay < QUEUE_DELAY_TARGET_S:
            self._delay_above_target_since = None
            return False
        if self._delay_above_target_since is None:
            self._delay_above_target_since = now
        if queued_job.importance is Importance.CRITICAL:
            return False
        return now - self._delay_above_target_since > QUEUE_DELAY_INTERVAL_S

    def finish(self, job: JobId) -> RunningJob | None:
        """Remove a running job.

        Returns:
            The record of its start, or None if the job was not running.

        """
        return self.running.pop(job, None)

    def record_response(self, now: float, *, is_root: bool) -> None:
        """Record a successful job.

        Called only if the response was complete and no nested call was refused because
        of overload.
        """
        self._last_response_at = now
        if is_root:
            self.level.record_success()

    def record_latency(
        self, route: RouteId, running_job: RunningJob, own_s: float, now: float
    ) -> None:
        """Update the latency estimate and the concurrency limit from one job.

        Called when the response is complete or the job times out, so that a job that
        timed out is recorded with the time from its start until then. If the limiter
        counted timeouts as failures, a temporary slowdown would reduce the limit to 1.

        Args:
            route: Route of the request.
            running_job: Record of the job's start, from `running` before `finish`, or
                as returned by `finish`.
            own_s: Time since the start in which no nested call was in progress, in
                seconds.
            now: Current time in seconds.

        """
        total_s = now - running_job.started_at
        latency_s = self._latency_s.setdefault(route, total_s)
        self._latency_s[route] = latency_s + (total_s - latency_s) * LATENCY_EWMA_WEIGHT
        self._updated_or_probed_at[route] = now
        sample = LatencySample(
            route, running_job.started_at, total_s, own_s, running_job.in_flight
        )
        self.limiter.record_latency(sample, now)

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the upstream has stopped responding.

        True if the concurrency limit is reached and the last successful response, or
        the last start while no job was running, is much longer ago than the moving
        average latency of the slowest route, which does not expire. Only responses
        passed to `record_response` count, so an upstream that responds promptly, but
        whose nested calls are refused because of overload, can be taken for
        unresponsive.
        """
        if len(self.running) < self._max_running:
            return False
        latency_s = max(self._latency_s.values(), default=0.0)
        max_silence_s = max(
            UNRESPONSIVE_MIN_SILENCE_S, latency_s * UNRESPONSIVE_LATENCY_RATIO
        )
        return now - self._last_response_at > max_silence_s

    def admits(self, queued_job: QueuedJob, now: float) -> bool:
        """Return whether the admission level admits a job, and count the arrival.

        The level admits every nested call: the first service has admitted its root
        request, and refusing the call here would waste the work already done. Only
        arrivals of root requests are counted.
        """
        self._roll_window(now)
        if not queued_job.is_root:
            return True
        admitted = self.level.admits(
            queued_job.importance, queued_job.workspace, queued_job.rank
        )
        self.level.record_arrival(
            queued_job.importance,
            queued_job.workspace,
            queued_job.weight,
            admitted=admitted,
        )
        return admitted

    def cannot_meet_deadline(
        self, route: RouteId, remaining_s: float, now: float
    ) -> bool:
        """Return whether a job is expected to miss its deadline if it starts now.

        The latency estimate is updated only by jobs that run. If it is older than
        `ESTIMATE_MAX_AGE_S`, one job of the route is let through as a probe in each
        such period; otherwise an upstream that was once slower than the deadline would
        get no job again. The period starts with this call, also if the probe is refused
        or shed later; a probe that was queued is checked again.

        Args:
            route: Route of the request.
            remaining_s: Time left until the deadline, in seconds.
            now: Current time in seconds.

        """
        if remaining_s >= self._latency_s.get(route, 0.0) * MIN_REMAINING_RATIO:
            return False
        if now - self._updated_or_probed_at.get(route, now) < ESTIMATE_MAX_AGE_S:
            return True
        self._updated_or_probed_at[route] = now
        return False

    def report(self, workspace: WorkspaceId | None, now: float) -> LoadReport:
        """Return the load to attach to a response.

        Args:
            workspace: Workspace of the request; None if it has none.
            now: Current time in seconds.

        """
        self._roll_window(now)
        return LoadReport(
            len(self.running),
            len(self.job_queue),
            self.limiter.limit,
            int(self.level.margin),
            self.level.cutoff_for(workspace),
            self.utilization,
        )

    @property
    def utilization(self) -> float:
        """Running and queued jobs divided by the limit, here or at nested calls.

        This is the higher of the current value here and the highest value that nested
        calls reported in this window of the admission level and the one before.
        """
        load = len(self.running) + len(self.job_queue)
        return max(
            load / self.limiter.limit,
            self._nested_utilization,
            self._previous_nested_utilization,
        )

    def record_nested_utilization(self, utilization: float) -> None:
        """Record the utilization reported by the response to a nested call."""
        self._nested_utilization = max(self._nested_utilization, utilization)

    def _roll_window(self, now: float) -> None:
        if self.level.roll_window(now, self.utilization):
            self._previous_nested_utilization = self._nested_utilization
            self._nested_utilization = 0.0

    @property
    def _max_running(self) -> int:
        return max(1, int(self.limiter.limit))

    @property
    def _queue_capacity(self) -> int:
        """Capacity of the queue in jobs.

        A job that cannot start within `QUEUE_MAX_WAIT_S` is shed after that wait, so
        beyond `QUEUE_MIN_CAPACITY` the queue holds at most the jobs that the limit
        lets start in that time, at the moving average latency of the slowest route,
        which does not expire.
        """
        max_capacity = max(
            QUEUE_CAPACITY_AT_LOW_LIMIT,
            int(self.limiter.limit * QUEUE_CAPACITY_TO_LIMIT_RATIO),
        )
        latency_s = max(self._latency_s.values(), default=0.0)
        if not latency_s:
            return max_capacity
        startable = int(self.limiter.limit / latency_s * QUEUE_MAX_WAIT_S)
        return max(QUEUE_MIN_CAPACITY, min(max_capacity, startable))
