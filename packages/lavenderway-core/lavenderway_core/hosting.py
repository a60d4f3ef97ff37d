"""Node of an upstream's host: admits, queues, sheds, claims and runs jobs."""

from __future__ import annotations

from lavenderway_core.admission import QUEUE_MAX_WAIT_S, Admission, LoadReport
from lavenderway_core.backlog import Waiting
from lavenderway_core.claims import (
    CLAIM_TTL_S,
    Claim,
    ClaimState,
    judge_taken,
    write_id,
)
from lavenderway_core.context import Context
from lavenderway_core.effects import (
    AbortJob,
    Count,
    Log,
    Part,
    RefuseJob,
    ReplayAnswer,
    RunJob,
    StartTimer,
    Transact,
)
from lavenderway_core.events import (
    AnswerRecorded,
    JobArrived,
    JobCancelled,
    JobExpired,
    JobFinished,
    JobSpec,
    RunResult,
    TransactSettled,
)
from lavenderway_core.ids import ExchangeId, JobId, KeyId, RootId, WorkspaceId
from lavenderway_core.membership import UpstreamState
from lavenderway_core.reducer import Effects, handles
from lavenderway_core.refusal import Outcome, Reason, Refusal
from lavenderway_core.shedding import rank_root
from lavenderway_core.state import Job, JobPhase, LocalUpstream, NodeState
from lavenderway_core.table import (
    ABSENT,
    Condition,
    Purpose,
    Ticket,
    TransactOutcome,
    Write,
)

SHED_RETRY_AFTER_S = 1.0
TABLE_RETRY_AFTER_S = 2.0


@handles(JobArrived)
def take_arrival(state: NodeState, event: JobArrived, now: float) -> Effects:
    """Take in an attempt from a peer."""
    return take_job(state, event.job, event.spec, now)


def take_job(state: NodeState, job: JobId, spec: JobSpec, now: float) -> Effects:
    """Admit, queue or refuse an attempt for an upstream of this host."""
    local = state.upstreams.get(spec.upstream)
    if local is None or local.service != spec.service:
        return _refuse(state, job, Refusal(Reason.NO_UPSTREAM), None, now)
    if state.lifecycle.draining or is_draining(state, local):
        return _refuse(state, job, Refusal(Reason.DRAINING), None, now)
    if spec.key is not None and state.directory.is_withdrawn(KeyId(spec.key)):
        return _refuse(state, job, Refusal(Reason.NO_KEY), None, now)
    if local.admission.is_stalled(now):
        detail = "The upstream has stopped answering."
        return _refuse(state, job, _shed(detail), local, now)
    left_s = spec.remaining_ms / 1000
    if local.admission.is_too_late(spec.route, left_s, now):
        detail = "The upstream would answer after the deadline."
        return _refuse(state, job, _shed(detail), local, now, spec.workspace)
    waiting = _waiting(state, job, spec, now)
    if not local.admission.admits(waiting, now):
        detail = "The service is overloaded; this request is over the level."
        return _refuse(state, job, _shed(detail), local, now, spec.workspace)
    record = Job(
        spec=spec,
        number=_take_number(state, job),
        deadline=now + left_s,
        phase=JobPhase.QUEUED,
        arrived=now,
    )
    state.jobs[job] = record
    return _offer(state, job, record, waiting, local, now)


def _offer(
    state: NodeState,
    job: JobId,
    record: Job,
    waiting: Waiting,
    local: LocalUpstream,
    now: float,
) -> Effects:
    offer = local.admission.offer(waiting, now)
    if offer.starts:
        return _start(state, job, record, local, now)
    effects: Effects = []
    if offer.shed is not None:
        detail = "The queue of the upstream is full."
        effects += _drop_and_refuse(state, offer.shed.job, _shed(detail), local, now)
    if job in state.jobs:
        wait_until = min(record.deadline, now + QUEUE_MAX_WAIT_S)
        effects.append(StartTimer(job, wait_until))
    return effects


def _waiting(state: NodeState, job: JobId, spec: JobSpec, now: float) -> Waiting:
    weight = 1.0
    if spec.workspace is not None:
        workspace = state.directory.workspaces.get(spec.workspace)
        weight = 1.0 if workspace is None else workspace.weight
    rank = rank_root(spec.root)
    return Waiting(
        job, spec.workspace, spec.importance, weight, rank, spec.is_root, now
    )


def _start(
    state: NodeState, job: JobId, record: Job, local: LocalUpstream, now: float
) -> Effects:
    record.begun = local.admission.running.get(job)
    if record.spec.claim is None:
        return [_run(state, job, record, local, now)]
    record.phase = JobPhase.CLAIMING
    claim = Claim(
        ClaimState.STARTED, write_id(job, state.host), record.spec.fingerprint, None
    )
    row = record.spec.claim
    return [
        Transact(
            Ticket(Purpose.CLAIM, job=job),
            (Condition(row, ABSENT),),
            (Write(row, claim.encode(), CLAIM_TTL_S),),
        )
    ]


def _run(
    state: NodeState, job: JobId, record: Job, local: LocalUpstream, now: float
) -> RunJob:
    record.phase = JobPhase.RUNNING
    spec = record.spec
    context = Context(
        root=RootId(spec.root),
        workspace=spec.workspace,
        key=None if spec.key is None else KeyId(spec.key),
        importance=spec.importance,
        retries=spec.retries,
        remaining_ms=max(1, int((record.deadline - now) * 1000)),
        signer=state.host,
        deadline=record.deadline,
        parent=record.number,
    )
    return RunJob(
        job,
        spec.upstream,
        local.address,
        record.deadline,
        context,
        spec.claim is not None,
    )


def settle_claim(state: NodeState, event: TransactSettled, now: float) -> Effects:
    """Run a job whose claim was made; answer or refuse it otherwise."""
    job = event.ticket.job
    record = None if job is None else state.jobs.get(job)
    if job is None or record is None or record.spec.claim is None:
        return _release_unused(state, event)
    local = state.upstreams.get(record.spec.upstream)
    if event.outcome is TransactOutcome.COMMITTED and local is not None:
        record.claim_version = event.versions.get(record.spec.claim)
        if now < record.deadline:
            return [_run(state, job, record, local, now)]
    if event.outcome is TransactOutcome.CONFLICT and event.rows:
        return _answer_taken(state, job, record, event, now)
    release = _release_claim(state, job, record)
    if event.outcome is TransactOutcome.COMMITTED:
        refusal = Refusal(Reason.DEADLINE)
    else:
        refusal = Refusal(
            Reason.TABLE_UNAVAILABLE, Outcome.NOT_RUN, TABLE_RETRY_AFTER_S
        )
    return release + _drop_and_refuse(state, job, refusal, local, now)


def _answer_taken(
    state: NodeState, job: JobId, record: Job, event: TransactSettled, now: float
) -> Effects:
    judged = judge_taken(event.rows[0], record.spec.fingerprint)
    local = state.upstreams.get(record.spec.upstream)
    if isinstance(judged, Refusal):
        return _drop_and_refuse(state, job, judged, local, now)
    _forget(state, job)
    effects: Effects = [ReplayAnswer(job, judged), Count("host.replayed_answers")]
    return effects + _start_next(state, local, now)


def _release_unused(state: NodeState, event: TransactSettled) -> Effects:
    """Delete a claim that was made after its job had ended."""
    if event.outcome is not TransactOutcome.COMMITTED:
        return []
    return [
        _delete_claim(event.ticket.job, row, version)
        for row, version in event.versions.items()
    ]


def _release_claim(state: NodeState, job: JobId, record: Job) -> Effects:
    if record.spec.claim is None or record.claim_version is None:
        return []
    return [_delete_claim(job, record.spec.claim, record.claim_version)]


def _delete_claim(job: JobId | None, row: str, version: int) -> Transact:
    return Transact(
        Ticket(Purpose.CLAIM_RESULT, job=job),
        (Condition(row, version),),
        (Write(row, None),),
    )


@handles(AnswerRecorded)
def keep_answer(state: NodeState, event: AnswerRecorded, now: float) -> Effects:
    """Keep the answer of a claimed job with its claim."""
    record = state.jobs.get(event.job)
    if record is None or record.spec.claim is None or record.claim_version is None:
        return []
    claim = Claim(
        ClaimState.DONE,
        write_id(event.job, state.host),
        record.spec.fingerprint,
        event.answer,
    )
    row = record.spec.claim
    return [
        Transact(
            Ticket(Purpose.CLAIM_RESULT, job=event.job),
            (Condition(row, record.claim_version),),
            (Write(row, claim.encode(), CLAIM_TTL_S),),
        )
    ]


@handles(JobFinished)
def finish_job(state: NodeState, event: JobFinished, now: float) -> Effects:
    """Learn from a finished job, refuse it if it has no answer, start the next."""
    record = state.jobs.get(event.job)
    if record is None:
        return []
    local = state.upstreams.get(record.spec.upstream)
    if local is not None:
        _learn(local.admission, record, event.result, now)
    release: Effects = []
    if event.result in (RunResult.NOT_SENT, RunResult.NOT_STARTED):
        release = _release_claim(state, event.job, record)
    refusal = None if event.answered else _REFUSALS.get(event.result)
    if refusal is not None:
        return release + _drop_and_refuse(state, event.job, refusal, local, now)
    _forget(state, event.job)
    return release + _start_next(state, local, now)


_OVERLOAD_RESULTS = frozenset(
    {RunResult.OVERLOADED, RunResult.NOT_SENT, RunResult.TIMED_OUT}
)
_REFUSALS = {
    RunResult.NOT_SENT: Refusal(Reason.NO_UPSTREAM, Outcome.NOT_RUN, 1.0),
    RunResult.BROKEN: Refusal(Reason.LINK_LOST, Outcome.UNKNOWN, 1.0),
    RunResult.TIMED_OUT: Refusal(Reason.DEADLINE, Outcome.UNKNOWN),
}


def _learn(admission: Admission, record: Job, result: RunResult, now: float) -> None:
    if result in (RunResult.OVERLOADED, RunResult.NOT_SENT):
        admission.limiter.record_overload(now)
    if result in (RunResult.WHOLE, RunResult.TIMED_OUT) and record.begun is not None:
        nested_s = record.nested_s
        if record.nested:
            nested_s += now - record.nested_since
        own_s = max(0.0, now - record.begun.started - nested_s)
        admission.record_time(record.spec.route, record.begun, own_s, now)
    if result in _OVERLOAD_RESULTS:
        _record_failure(admission, record)
    elif result is RunResult.WHOLE and not record.overloaded_below:
        admission.record_answer(now, is_root=record.spec.is_root)


def _record_failure(admission: Admission, record: Job) -> None:
    """Count a root request that failed by overload after it was admitted.

    Calls further down count at the first service of their root request alone.
    """
    if record.spec.is_root:
        admission.level.record_failure(record.arrived)


@handles(JobCancelled)
def cancel_job(state: NodeState, event: JobCancelled, now: float) -> Effects:
    """Stop work for an attempt that its entry node gave up."""
    return drop_job(state, event.job, now)


def drop_job(state: NodeState, job: JobId, now: float) -> Effects:
    """Forget a job without an answer and cancel it towards the upstream.

    A claimed job that runs is left to finish, so that its answer can be kept.
    """
    record = state.jobs.get(job)
    if record is None:
        return []
    local = state.upstreams.get(record.spec.upstream)
    if record.phase is JobPhase.RUNNING:
        return [] if record.spec.claim is not None else [AbortJob(job)]
    _withdraw(state, job, local)
    return _start_next(state, local, now)


@handles(JobExpired)
def expire_job(state: NodeState, event: JobExpired, now: float) -> Effects:
    """Refuse a job that has waited too long in the queue."""
    record = state.jobs.get(event.job)
    if record is None or record.phase is not JobPhase.QUEUED:
        return []
    local = state.upstreams.get(record.spec.upstream)
    if local is not None:
        _record_failure(local.admission, record)
    if now >= record.deadline:
        refusal = Refusal(Reason.DEADLINE)
    else:
        refusal = _shed("The request has waited too long for the upstream.")
    return _drop_and_refuse(state, event.job, refusal, local, now)


def load_of(state: NodeState, job: JobId, now: float) -> LoadReport | None:
    """Return the load of the upstream that a job is for."""
    record = state.jobs.get(job)
    local = None if record is None else state.upstreams.get(record.spec.upstream)
    if record is None or local is None:
        return None
    return local.admission.report(record.spec.workspace, now)


def is_draining(state: NodeState, local: LocalUpstream) -> bool:
    """Tell whether an upstream takes no new work."""
    return local.announced_draining or local.upstream in state.directory.drained


def upstream_state(state: NodeState, local: LocalUpstream) -> UpstreamState:
    """Return the state of an upstream to tell other nodes."""
    if is_draining(state, local):
        return UpstreamState.DRAINING
    return UpstreamState.READY


def refuse_waiting(state: NodeState, local: LocalUpstream, now: float) -> Effects:
    """Refuse the queue of an upstream that has left."""
    effects: Effects = []
    for waiting in list(local.admission.backlog):
        refusal = Refusal(Reason.DRAINING)
        effects += _drop_and_refuse(state, waiting.job, refusal, local, now)
    return effects


def _take_number(state: NodeState, job: JobId) -> ExchangeId:
    number = ExchangeId(state.next_job)
    state.next_job += 1
    state.jobs_by_number[number] = job
    return number


def _withdraw(state: NodeState, job: JobId, local: LocalUpstream | None) -> None:
    if local is not None:
        local.admission.backlog.remove(job)
        local.admission.finish(job)
    record = state.jobs.pop(job, None)
    if record is not None:
        state.jobs_by_number.pop(record.number, None)


def _forget(state: NodeState, job: JobId) -> None:
    record = state.jobs.get(job)
    if record is not None:
        _withdraw(state, job, state.upstreams.get(record.spec.upstream))


def _start_next(state: NodeState, local: LocalUpstream | None, now: float) -> Effects:
    effects: Effects = []
    if local is None:
        return effects
    while (waiting := local.admission.next_startable(now)) is not None:
        record = state.jobs[waiting.job]
        left_s = record.deadline - now
        if left_s <= 0:
            refusal = Refusal(Reason.DEADLINE)
        elif local.admission.is_too_late(record.spec.route, left_s, now):
            _record_failure(local.admission, record)
            refusal = _shed("The upstream would answer after the deadline.")
        elif local.admission.sheds_standing_queue(waiting, now):
            _record_failure(local.admission, record)
            refusal = _shed("The queue of the upstream stands.")
        else:
            effects += _start(state, waiting.job, record, local, now)
            continue
        _withdraw(state, waiting.job, local)
        effects += _refuse(state, waiting.job, refusal, local, now, waiting.workspace)
    return effects


def _drop_and_refuse(
    state: NodeState,
    job: JobId,
    refusal: Refusal,
    local: LocalUpstream | None,
    now: float,
) -> Effects:
    record = state.jobs.get(job)
    workspace = None if record is None else record.spec.workspace
    _withdraw(state, job, local)
    effects = _refuse(state, job, refusal, local, now, workspace)
    return effects + _start_next(state, local, now)


def _refuse(
    state: NodeState,
    job: JobId,
    refusal: Refusal,
    local: LocalUpstream | None,
    now: float,
    workspace: WorkspaceId | None = None,
) -> Effects:
    load = None if local is None else local.admission.report(workspace, now)
    fields: dict[str, object] = {
        "origin": job.origin,
        "cause": refusal.reason.label,
        "outcome": refusal.outcome.value,
    }
    return [
        RefuseJob(job, refusal, load),
        Log(Part.HOST, "Refused an attempt.", fields),
    ]


def _shed(detail: str) -> Refusal:
    return Refusal(Reason.SHED, Outcome.NOT_RUN, SHED_RETRY_AFTER_S, detail)
