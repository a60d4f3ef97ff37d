"""Node of an upstream's host: admits, queues, sheds and runs jobs.

A job with an idempotency key runs only after its node has written a *claim*. This is a
row in the platform's table that only one job can create, so the request runs at most
once. The claim later holds the response, which is replayed to repeated requests.
"""

from __future__ import annotations

from lavenderway_core.admission import QUEUE_MAX_WAIT_S, Admission, LoadReport
from lavenderway_core.claims import (
    CLAIM_TTL_S,
    Claim,
    ClaimState,
    build_write_id,
    resolve_existing_claim,
)
from lavenderway_core.context import Context
from lavenderway_core.effects import (
    AbortJob,
    Component,
    Count,
    Log,
    RefuseJob,
    ReplayResponse,
    RunJob,
    StartTimer,
    Transact,
)
from lavenderway_core.events import (
    JobArrived,
    JobCancelled,
    JobExpired,
    JobFinished,
    JobSpec,
    ResponseRecorded,
    RunResult,
    TransactionCompleted,
)
from lavenderway_core.ids import ExchangeId, JobId, KeyId, RootId, WorkspaceId
from lavenderway_core.job_queue import QueuedJob
from lavenderway_core.membership import UpstreamState
from lavenderway_core.reducer import Effects, handles
from lavenderway_core.refusal import Outcome, Reason, Refusal
from lavenderway_core.shedding import rank_root
from lavenderway_core.state import Job, JobPhase, LocalUpstream, NodeState
from lavenderway_core.table import (
    ABSENT,
    Condition,
    OperationTag,
    Purpose,
    TransactOutcome,
    Write,
)

SHED_RETRY_AFTER_S = 1.0
TABLE_RETRY_AFTER_S = 2.0


@handles(JobArrived)
def handle_job_arrived(state: NodeState, event: JobArrived, now: float) -> Effects:
    """Handle an attempt from a peer."""
    return admit_job(state, event.job, event.spec, now)


def admit_job(state: NodeState, job: JobId, spec: JobSpec, now: float) -> Effects:
    """Start, queue or refuse an attempt on an upstream of this host."""
    local = state.upstreams.get(spec.upstream)
    if local is None or local.service != spec.service:
        return _refuse_job(state, job, Refusal(Reason.NO_UPSTREAM), None, now)
    if state.lifecycle.draining or is_draining(state, local):
        return _refuse_job(state, job, Refusal(Reason.DRAINING), None, now)
    if spec.key is not None and state.configuration_store.is_withdrawn(KeyId(spec.key)):
        return _refuse_job(state, job, Refusal(Reason.NO_KEY), None, now)
    if local.admission.is_unresponsive(now):
        detail = "The upstream has stopped answering."
        return _refuse_job(state, job, _shed_refusal(detail), local, now)
    remaining_s = spec.remaining_ms / 1000
    if local.admission.cannot_meet_deadline(spec.route, remaining_s, now):
        detail = "The upstream would answer after the deadline."
        return _refuse_job(
            state, job, _shed_refusal(detail), local, now, spec.workspace
        )
    queued_job = _build_queued_job(state, job, spec, now)
    if not local.admission.admits(queued_job, now):
        detail = "The service is overloaded; this request is over the level."
        return _refuse_job(
            state, job, _shed_refusal(detail), local, now, spec.workspace
        )
    record = Job(
        spec=spec,
        number=_assign_job_number(state, job),
        deadline=now + remaining_s,
        phase=JobPhase.QUEUED,
        arrived_at=now,
    )
    state.jobs[job] = record
    return _start_or_queue(state, job, record, queued_job, local, now)


def _start_or_queue(
    state: NodeState,
    job: JobId,
    record: Job,
    queued_job: QueuedJob,
    local: LocalUpstream,
    now: float,
) -> Effects:
    decision = local.admission.offer(queued_job, now)
    if decision.starts:
        return _start_job(state, job, record, local, now)
    effects: Effects = []
    if decision.shed is not None:
        detail = "The queue of the upstream is full."
        effects += _remove_and_refuse(
            state, decision.shed.job, _shed_refusal(detail), local, now
        )
    if job in state.jobs:
        wait_until = min(record.deadline, now + QUEUE_MAX_WAIT_S)
        effects.append(StartTimer(job, wait_until))
    return effects


def _build_queued_job(
    state: NodeState, job: JobId, spec: JobSpec, now: float
) -> QueuedJob:
    weight = 1.0
    if spec.workspace is not None:
        workspace = state.configuration_store.workspaces.get(spec.workspace)
        weight = 1.0 if workspace is None else workspace.weight
    rank = rank_root(spec.root)
    return QueuedJob(
        job, spec.workspace, spec.importance, weight, rank, spec.is_root, now
    )


def _start_job(
    state: NodeState, job: JobId, record: Job, local: LocalUpstream, now: float
) -> Effects:
    record.running = local.admission.running.get(job)
    if record.spec.claim is None:
        return [_run_job(state, job, record, local, now)]
    record.phase = JobPhase.CLAIMING
    claim = Claim(
        ClaimState.STARTED,
        build_write_id(job, state.host),
        record.spec.fingerprint,
        None,
    )
    row = record.spec.claim
    return [
        Transact(
            OperationTag(Purpose.CLAIM, job=job),
            (Condition(row, ABSENT),),
            (Write(row, claim.encode(), CLAIM_TTL_S),),
        )
    ]


def _run_job(
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
        parent_job=record.number,
    )
    return RunJob(
        job,
        spec.upstream,
        local.address,
        record.deadline,
        context,
        spec.claim is not None,
    )


def handle_claim_settled(
    state: NodeState, event: TransactionCompleted, now: float
) -> Effects:
    """Run a job whose claim was written; otherwise replay a response or refuse it."""
    job = event.tag.job
    record = None if job is None else state.jobs.get(job)
    if job is None or record is None or record.spec.claim is None:
        return _release_orphaned_claim(state, event)
    local = state.upstreams.get(record.spec.upstream)
    if event.outcome is TransactOutcome.COMMITTED and local is not None:
        record.claim_version = event.versions.get(record.spec.claim)
        if now < record.deadline:
            return [_run_job(state, job, record, local, now)]
    if event.outcome is TransactOutcome.CONFLICT and event.rows:
        return _resolve_claim_conflict(state, job, record, event, now)
    release = _release_claim(state, job, record)
    if event.outcome is TransactOutcome.COMMITTED:
        refusal = Refusal(Reason.DEADLINE)
    else:
        refusal = Refusal(
            Reason.TABLE_UNAVAILABLE, Outcome.NOT_RUN, TABLE_RETRY_AFTER_S
        )
    return release + _remove_and_refuse(state, job, refusal, local, now)


def _resolve_claim_conflict(
    state: NodeState, job: JobId, record: Job, event: TransactionCompleted, now: float
) -> Effects:
    recorded = resolve_existing_claim(event.rows[0], record.spec.fingerprint)
    local = state.upstreams.get(record.spec.upstream)
    if isinstance(recorded, Refusal):
        return _remove_and_refuse(state, job, recorded, local, now)
    _find_and_remove_job(state, job)
    effects: Effects = [ReplayResponse(job, recorded), Count("host.replayed_answers")]
    return effects + _start_queued_jobs(state, local, now)


def _release_orphaned_claim(state: NodeState, event: TransactionCompleted) -> Effects:
    """Delete a claim that was written after its job had been removed."""
    if event.outcome is not TransactOutcome.COMMITTED:
        return []
    return [
        _delete_claim(event.tag.job, row, version)
        for row, version in event.versions.items()
    ]


def _release_claim(state: NodeState, job: JobId, record: Job) -> Effects:
    if record.spec.claim is None or record.claim_version is None:
        return []
    return [_delete_claim(job, record.spec.claim, record.claim_version)]


def _delete_claim(job: JobId | None, row: str, version: int) -> Transact:
    return Transact(
        OperationTag(Purpose.CLAIM_RESULT, job=job),
        (Condition(row, version),),
        (Write(row, None),),
    )


@handles(ResponseRecorded)
def handle_response_recorded(
    state: NodeState, event: ResponseRecorded, now: float
) -> Effects:
    """Store the response of a claimed job in its claim."""
    record = state.jobs.get(event.job)
    if record is None or record.spec.claim is None or record.claim_version is None:
        return []
    claim = Claim(
        ClaimState.DONE,
        build_write_id(event.job, state.host),
        record.spec.fingerprint,
        event.response,
    )
    row = record.spec.claim
    return [
        Transact(
            OperationTag(Purpose.CLAIM_RESULT, job=event.job),
            (Condition(row, record.claim_version),),
            (Write(row, claim.encode(), CLAIM_TTL_S),),
        )
    ]


@handles(JobFinished)
def handle_job_finished(state: NodeState, event: JobFinished, now: float) -> Effects:
    """Record the result of a job, refuse it if it got no response, start the next.

    The claim of a job that never ran is released, or the idempotency key would stay
    unusable until the claim expires.
    """
    record = state.jobs.get(event.job)
    if record is None:
        return []
    local = state.upstreams.get(record.spec.upstream)
    if local is not None:
        _record_result(local.admission, record, event.result, now)
    release: Effects = []
    if event.result in (RunResult.NOT_SENT, RunResult.NOT_STARTED):
        release = _release_claim(state, event.job, record)
    refusal = None if event.response_started else _REFUSALS_BY_RESULT.get(event.result)
    if refusal is not None:
        return release + _remove_and_refuse(state, event.job, refusal, local, now)
    _find_and_remove_job(state, event.job)
    return release + _start_queued_jobs(state, local, now)


_OVERLOAD_RESULTS = frozenset(
    {RunResult.OVERLOADED, RunResult.NOT_SENT, RunResult.TIMED_OUT}
)
_REFUSALS_BY_RESULT = {
    RunResult.NOT_SENT: Refusal(Reason.NO_UPSTREAM, Outcome.NOT_RUN, 1.0),
    RunResult.BROKEN: Refusal(Reason.LINK_LOST, Outcome.UNKNOWN, 1.0),
    RunResult.TIMED_OUT: Refusal(Reason.DEADLINE, Outcome.UNKNOWN),
}


def _record_result(
    admission: Admission, record: Job, result: RunResult, now: float
) -> None:
    if result in (RunResult.OVERLOADED, RunResult.NOT_SENT):
        admission.limiter.record_overload(now)
    if (
        result in (RunResult.COMPLETE, RunResult.TIMED_OUT)
        and record.running is not None
    ):
        nested_s = record.nested_s
        if record.nested_calls:
            nested_s += now - record.nested_since
        own_s = max(0.0, now - record.running.started_at - nested_s)
        admission.record_latency(record.spec.route, record.running, own_s, now)
    if result in _OVERLOAD_RESULTS:
        _record_root_failure(admission, record)
    elif result is RunResult.COMPLETE and not record.nested_overload:
        admission.record_response(now, is_root=record.spec.is_root)


def _record_root_failure(admission: Admission, record: Job) -> None:
    """Count a root request that failed because of overload after it was admitted.

    A failed nested call is counted at the first service of its root request only. If
    every service on the path counted it, the services would recover from an overload
    one after another.
    """
    if record.spec.is_root:
        admission.level.record_failure(record.arrived_at)


@handles(JobCancelled)
def handle_job_cancelled(state: NodeState, event: JobCancelled, now: float) -> Effects:
    """Cancel a job at the request of its entry node."""
    return cancel_job(state, event.job, now)


def cancel_job(state: NodeState, job: JobId, now: float) -> Effects:
    """Remove a job that has not started, or abort a running one at the upstream.

    A claimed job that is running is left to finish, so that its response can be
    stored.
    """
    record = state.jobs.get(job)
    if record is None:
        return []
    local = state.upstreams.get(record.spec.upstream)
    if record.phase is JobPhase.RUNNING:
        return [] if record.spec.claim is not None else [AbortJob(job)]
    _remove_job(state, job, local)
    return _start_queued_jobs(state, local, now)


@handles(JobExpired)
def handle_job_expired(state: NodeState, event: JobExpired, now: float) -> Effects:
    """Refuse a queued job that has reached its deadline or the maximum wait."""
    record = state.jobs.get(event.job)
    if record is None or record.phase is not JobPhase.QUEUED:
        return []
    local = state.upstreams.get(record.spec.upstream)
    if local is not None:
        _record_root_failure(local.admission, record)
    if now >= record.deadline:
        refusal = Refusal(Reason.DEADLINE)
    else:
        refusal = _shed_refusal("The request has waited too long for the upstream.")
    return _remove_and_refuse(state, event.job, refusal, local, now)


def measure_load(state: NodeState, job: JobId, now: float) -> LoadReport | None:
    """Return the load of a job's upstream, or None if job or upstream is unknown."""
    record = state.jobs.get(job)
    local = None if record is None else state.upstreams.get(record.spec.upstream)
    if record is None or local is None:
        return None
    return local.admission.report(record.spec.workspace, now)


def is_draining(state: NodeState, local: LocalUpstream) -> bool:
    """Return whether an upstream accepts no new work."""
    return (
        local.announced_draining or local.upstream in state.configuration_store.drained
    )


def announced_state(state: NodeState, local: LocalUpstream) -> UpstreamState:
    """Return the state of an upstream to announce to other nodes."""
    if is_draining(state, local):
        return UpstreamState.DRAINING
    return UpstreamState.READY


def refuse_queued(state: NodeState, local: LocalUpstream, now: float) -> Effects:
    """Refuse all queued jobs of an upstream that accepts no new work."""
    effects: Effects = []
    for queued_job in list(local.admission.job_queue):
        refusal = Refusal(Reason.DRAINING)
        effects += _remove_and_refuse(state, queued_job.job, refusal, local, now)
    return effects


def _assign_job_number(state: NodeState, job: JobId) -> ExchangeId:
    number = ExchangeId(state.next_job_number)
    state.next_job_number += 1
    state.jobs_by_number[number] = job
    return number


def _remove_job(state: NodeState, job: JobId, local: LocalUpstream | None) -> None:
    if local is not None:
        local.admission.job_queue.remove(job)
        local.admission.finish(job)
    record = state.jobs.pop(job, None)
    if record is not None:
        state.jobs_by_number.pop(record.number, None)


def _find_and_remove_job(state: NodeState, job: JobId) -> None:
    record = state.jobs.get(job)
    if record is not None:
        _remove_job(state, job, state.upstreams.get(record.spec.upstream))


def _start_queued_jobs(
    state: NodeState, local: LocalUpstream | None, now: float
) -> Effects:
    effects: Effects = []
    if local is None:
        return effects
    while (queued_job := local.admission.start_next_queued(now)) is not None:
        record = state.jobs[queued_job.job]
        remaining_s = record.deadline - now
        if remaining_s <= 0:
            refusal = Refusal(Reason.DEADLINE)
        elif local.admission.cannot_meet_deadline(record.spec.route, remaining_s, now):
            _record_root_failure(local.admission, record)
            refusal = _shed_refusal("The upstream would answer after the deadline.")
        elif local.admission.should_shed_by_delay(queued_job, now):
            _record_root_failure(local.admission, record)
            refusal = _shed_refusal("The queue of the upstream stands.")
        else:
            effects += _start_job(state, queued_job.job, record, local, now)
            continue
        _remove_job(state, queued_job.job, local)
        effects += _refuse_job(
            state, queued_job.job, refusal, local, now, queued_job.workspace
        )
    return effects


def _remove_and_refuse(
    state: NodeState,
    job: JobId,
    refusal: Refusal,
    local: LocalUpstream | None,
    now: float,
) -> Effects:
    record = state.jobs.get(job)
    workspace = None if record is None else record.spec.workspace
    _remove_job(state, job, local)
    effects = _refuse_job(state, job, refusal, local, now, workspace)
    return effects + _start_queued_jobs(state, local, now)


def _refuse_job(
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
        Log(Component.HOST, "Refused an attempt.", fields),
    ]


def _shed_refusal(detail: str) -> Refusal:
    return Refusal(Reason.SHED, Outcome.NOT_RUN, SHED_RETRY_AFTER_S, detail)
