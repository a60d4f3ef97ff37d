"""Admission control in front of one upstream, on the node of its host."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.backlog import Backlog, Waiting
from lavenderway_core.importance import Importance
from lavenderway_core.limiter import Limiter, Sample
from lavenderway_core.shedding import ShedLevel

if TYPE_CHECKING:
    from lavenderway_core.ids import JobId, RouteId, WorkspaceId

STALL_S = 0.5
STALL_RATIO = 10.0  # silence relative to the usual time of an answer
USUAL_GAIN = 0.1
TOO_LATE_RATIO = 1.0  # of the usual time of an answer
ESTIMATE_MAX_AGE_S = 0.25
QUEUE_TARGET_S = 0.05
QUEUE_INTERVAL_S = 0.1
QUEUE_MAX_WAIT_S = 0.25
QUEUE_MIN_LENGTH = 8
QUEUE_PER_LIMIT = 2.0
QUEUE_SHORTEST = 2


class LoadReport(NamedTuple):
    """Load of an upstream as its node sees it, carried on each reply.

    Attributes:
        in_flight: Requests that run.
        queued: Requests that wait.
        limit: Concurrency limit.
        margin: Importance number at which requests are refused by the hash of their
            root; higher ones are refused, lower ones admitted.
        cutoff: Hash at the margin from which on the workspace of the request that this
            report answers is refused.
        pressure: Use of the limit, here or at calls further down, whichever is more;
            over 1 means queueing.

    """

    in_flight: int
    queued: int
    limit: float
    margin: int
    cutoff: float
    pressure: float


class Offer(NamedTuple):
    """Decision on a job: whether it starts now, and which job is shed for it."""

    starts: bool
    shed: Waiting | None


class Running(NamedTuple):
    """A job that was given to the upstream.

    Attributes:
        started: Time of the start, in seconds.
        in_flight: Jobs in flight at the start, with this one.

    """

    started: float
    in_flight: int


class Admission:
    """Limit and queue of one upstream.

    Args:
        now: Present time in seconds.

    """

    def __init__(self, *, now: float) -> None:
        self.limiter = Limiter(now=now)
        self.backlog = Backlog()
        self.running: dict[JobId, Running] = {}
        self._last_answer = now
        self._usual_s: dict[RouteId, float] = {}
        self._measured_at: dict[RouteId, float] = {}
        self._above_target_since: float | None = None
        self.level = ShedLevel(now=now)
        self._below = 0.0
        self._below_before = 0.0

    def offer(self, waiting: Waiting, now: float) -> Offer:
        """Decide on a job that the level has admitted."""
        if not len(self.backlog) and len(self.running) < self._slots:
            self.start(waiting, now)
            return Offer(starts=True, shed=None)
        if len(self.backlog) < self._queue_length:
            self.backlog.push(waiting)
            return Offer(starts=False, shed=None)
        victim = self.backlog.shed_for(waiting)
        if victim is not waiting:
            self.backlog.push(waiting)
        if victim.is_root:
            self.level.record_failure(victim.since)
        return Offer(starts=False, shed=victim)

    def start(self, waiting: Waiting, now: float) -> None:
        """Count a job as running."""
        if not self.running:
            self._last_answer = now
        in_flight = len(self.running) + 1
        self.running[waiting.job] = Running(now, in_flight)

    def next_startable(self, now: float) -> Waiting | None:
        """Start the next waiting job if the limit allows; return it."""
        if len(self.running) >= self._slots:
            return None
        waiting = self.backlog.pop()
        if waiting is not None:
            self.start(waiting, now)
        return waiting

    def sheds_standing_queue(self, waiting: Waiting, now: float) -> bool:
        """Tell whether a job leaving the queue is shed by controlled delay.

        A queue whose delay has stayed above the target for an interval sheds what
        has waited too long; critical requests are spared.
        """
        delay = now - waiting.since
        if delay < QUEUE_TARGET_S:
            self._above_target_since = None
            return False
        if self._above_target_since is None:
            self._above_target_since = now
        if waiting.importance is Importance.CRITICAL:
            return False
        return now - self._above_target_since > QUEUE_INTERVAL_S

    def finish(self, job: JobId) -> Running | None:
        """End a running job; return how it began, None if it was not running."""
        return self.running.pop(job, None)

    def record_answer(self, now: float, *, is_root: bool) -> None:
        """Note a whole answer that no overload further down has spoilt."""
        self._last_answer = now
        if is_root:
            self.level.record_success()

    def record_time(
        self, route: RouteId, begun: Running, own_s: float, now: float
    ) -> None:
        """Learn from a request that took `own_s` seconds of the upstream's own time.

        A request that ran into its deadline counts with the time until then.
        """
        total_s = now - begun.started
        usual_s = self._usual_s.setdefault(route, total_s)
        self._usual_s[route] = usual_s + (total_s - usual_s) * USUAL_GAIN
        self._measured_at[route] = now
        sample = Sample(route, begun.started, total_s, own_s, begun.in_flight)
        self.limiter.record_time(sample, now)

    def is_stalled(self, now: float) -> bool:
        """Tell whether the upstream has been silent for far longer than usual."""
        if len(self.running) < self._slots:
            return False
        usual_s = max(self._usual_s.values(), default=0.0)
        patience_s = max(STALL_S, usual_s * STALL_RATIO)
        return now - self._last_answer > patience_s

    def admits(self, waiting: Waiting, now: float) -> bool:
        """Tell whether the level admits a job, and count it.

        A call further down has been admitted at the first service of its root request;
        refusing it here would waste what has been done for it.
        """
        self._roll(now)
        if not waiting.is_root:
            return True
        admitted = self.level.admits(
            waiting.importance, waiting.workspace, waiting.rank
        )
        self.level.record_arrival(
            waiting.importance, waiting.workspace, waiting.weight, admitted=admitted
        )
        return admitted

    def is_too_late(self, route: RouteId, left_s: float, now: float) -> bool:
        """Tell whether a request could not be answered in the time it has left.

        An estimate that nothing has renewed for a while lets one request through, so
        that an upstream that is fast again is found out.
        """
        if left_s >= self._usual_s.get(route, 0.0) * TOO_LATE_RATIO:
            return False
        if now - self._measured_at.get(route, now) < ESTIMATE_MAX_AGE_S:
            return True
        self._measured_at[route] = now
        return False

    def report(self, workspace: WorkspaceId | None, now: float) -> LoadReport:
        """Return the load to send along with a reply to a workspace's request."""
        self._roll(now)
        return LoadReport(
            len(self.running),
            len(self.backlog),
            self.limiter.limit,
            int(self.level.margin),
            self.level.cutoff_for(workspace),
            self.pressure,
        )

    @property
    def pressure(self) -> float:
        """Use of the limit, here or at calls further down, whichever is more."""
        load = len(self.running) + len(self.backlog)
        return max(load / self.limiter.limit, self._below, self._below_before)

    def record_below(self, pressure: float) -> None:
        """Note the pressure that a reply to a call of the upstream has told."""
        self._below = max(self._below, pressure)

    def _roll(self, now: float) -> None:
        if self.level.roll(now, self.pressure):
            self._below_before = self._below
            self._below = 0.0

    @property
    def _slots(self) -> int:
        return max(1, int(self.limiter.limit))

    @property
    def _queue_length(self) -> int:
        """Jobs that may wait: no more than start within the longest wait."""
        longest = max(QUEUE_MIN_LENGTH, int(self.limiter.limit * QUEUE_PER_LIMIT))
        usual_s = max(self._usual_s.values(), default=0.0)
        if not usual_s:
            return longest
        starts = int(self.limiter.limit / usual_s * QUEUE_MAX_WAIT_S)
        return max(QUEUE_SHORTEST, min(longest, starts))
