"""Entry node of a request: rate limit, load balancing, deadlines and retries.

The node that receives a caller's request opens an *exchange* for it and sends attempts
to the nodes of the service's upstreams until one responds or the request is refused.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderway_core import hosting, nesting, tokens
from lavenderway_core.balancer import SheddingKey
from lavenderway_core.claims import claim_row_key
from lavenderway_core.effects import (
    AbortResponse,
    CancelAttempt,
    Component,
    Count,
    Effect,
    Log,
    Refuse,
    SendAttempt,
)
from lavenderway_core.events import (
    AttemptLinkLost,
    AttemptRefused,
    CallerDisconnected,
    DeadlinePassed,
    JobSpec,
    RequestArrived,
    ResponseEnded,
    ResponseStarted,
)
from lavenderway_core.ids import ExchangeId, JobId, UpstreamId
from lavenderway_core.reducer import Effects, handles
from lavenderway_core.refusal import Outcome, Reason, Refusal
from lavenderway_core.retries import MAX_ATTEMPTS, split_retries
from lavenderway_core.shedding import rank_root
from lavenderway_core.state import Exchange, ExchangePhase, JobPhase, NodeState
from lavenderway_core.tokens import TokenOutcome, TokenUpdate

if TYPE_CHECKING:
    from lavenderway_core.admission import LoadReport
    from lavenderway_core.balancer import Candidate

LINK_LATENCY_MARGIN_MS = 10
MIN_REMAINING_MS = 1
SHED_RETRY_AFTER_S = 1.0
NO_UPSTREAM_RETRY_AFTER_S = 1.0
WITHDRAWN_KEY_GRACE_S = 2.0  # for exchanges that have sent an attempt

_NON_RETRYABLE_REASONS = frozenset(
    {
        Reason.DEADLINE,
        Reason.CONFLICT,
        Reason.KEY_REUSED,
        Reason.TABLE_UNAVAILABLE,
        Reason.NO_KEY,
    }
)
_OVERLOAD_REASONS = frozenset({Reason.SHED, Reason.DEADLINE})
_BUDGETED_REASONS = frozenset({Reason.SHED, Reason.LINK_LOST})


@handles(RequestArrived)
def handle_request(state: NodeState, event: RequestArrived, now: float) -> Effects:
    """Open an exchange for a request: take a rate token, then send an attempt."""
    call = event.call
    if call.key is not None and state.configuration_store.is_withdrawn(call.key):
        return [Refuse(event.exchange, Refusal(Reason.NO_KEY))]
    if now >= call.deadline:
        return [Refuse(event.exchange, Refusal(Reason.DEADLINE))]
    kept, passed = split_retries(call.retries)
    exchange = Exchange(
        call=call,
        fingerprint=event.fingerprint,
        phase=ExchangePhase.WAITING_FOR_TOKEN,
        own_retries=kept,
        nested_retries=passed,
    )
    state.exchanges[event.exchange] = exchange
    nesting.begin_nested_call(state, call.parent_context, now)
    if not call.is_root or call.workspace is None or call.route.open_to_all:
        return send_attempt(state, event.exchange, now)
    decision = tokens.take_token(state, event.exchange, call.workspace, now)
    if decision.outcome is TokenOutcome.TAKEN:
        return decision.effects + send_attempt(state, event.exchange, now)
    if decision.outcome is TokenOutcome.WAITING:
        return decision.effects
    refusal = _rate_refusal(decision.retry_after_s)
    return decision.effects + refuse_exchange(state, event.exchange, refusal, now)


def apply_token_update(state: NodeState, update: TokenUpdate, now: float) -> Effects:
    """Send attempts of exchanges that got a borrowed token; refuse those without."""
    effects = list(update.effects)
    for exchange_id in update.served:
        if exchange_id in state.exchanges:
            effects += send_attempt(state, exchange_id, now)
    for exchange_id in update.refused:
        if exchange_id in state.exchanges:
            effects += refuse_exchange(
                state, exchange_id, _rate_refusal(update.retry_after_s), now
            )
    return effects


def send_attempt(state: NodeState, exchange_id: ExchangeId, now: float) -> Effects:
    """Choose an upstream and send the next attempt of an exchange to its node."""
    exchange = state.exchanges[exchange_id]
    call = exchange.call
    candidates = state.members.candidates(call.route.service)
    shedding_key = SheddingKey(call.importance, call.workspace, rank_root(call.root))
    may_shed = call.is_root and not exchange.attempts
    if may_shed and state.load_balancer.all_candidates_shed(
        candidates, shedding_key, now
    ):
        detail = "Every upstream of the service refuses this importance at present."
        return refuse_exchange(state, exchange_id, _shed_refusal(detail), now)
    chosen = state.load_balancer.choose(candidates, exchange.tried_upstreams, now)
    if chosen is None:
        refusal = Refusal(
            Reason.NO_UPSTREAM,
            _outcome_of(exchange),
            NO_UPSTREAM_RETRY_AFTER_S,
        )
        return refuse_exchange(state, exchange_id, refusal, now)
    return _send_to(state, exchange_id, exchange, chosen, now)


def _send_to(
    state: NodeState,
    exchange_id: ExchangeId,
    exchange: Exchange,
    chosen: Candidate,
    now: float,
) -> Effects:
    exchange.attempts += 1
    exchange.phase = ExchangePhase.ATTEMPTING
    job = JobId(state.host, state.incarnation, exchange_id, exchange.attempts)
    exchange.job = job
    exchange.upstream = chosen.upstream
    exchange.peer = chosen.host
    exchange.tried_upstreams.append(chosen.upstream)
    state.load_balancer.record_sent(chosen.upstream)
    spec = _build_job_spec(exchange, chosen, now)
    if chosen.host == state.host:
        return hosting.admit_job(state, job, spec, now)
    return [SendAttempt(chosen.host, job, spec)]


def _build_job_spec(exchange: Exchange, chosen: Candidate, now: float) -> JobSpec:
    call = exchange.call
    remaining_ms = int((call.deadline - now) * 1000) - LINK_LATENCY_MARGIN_MS
    return JobSpec(
        service=chosen.service,
        upstream=chosen.upstream,
        route=call.route.name,
        root=call.root,
        workspace=call.workspace,
        key=call.key,
        importance=call.importance,
        is_root=call.is_root,
        remaining_ms=max(MIN_REMAINING_MS, remaining_ms),
        retries=exchange.nested_retries if exchange.attempts == 1 else 0,
        claim=claim_row_key(call),
        fingerprint=exchange.fingerprint,
    )


@handles(ResponseStarted)
def handle_response_started(
    state: NodeState, event: ResponseStarted, now: float
) -> Effects:
    """Record that the response to an attempt has started."""
    exchange = _find_current_exchange(state, event.job)
    if exchange is None:
        return []
    exchange.phase = ExchangePhase.RESPONDING
    if event.load is not None and exchange.upstream is not None:
        _record_load(state, exchange, exchange.upstream, event.load, now)
    return []


@handles(ResponseEnded)
def handle_response_ended(
    state: NodeState, event: ResponseEnded, now: float
) -> Effects:
    """Close an exchange whose response has ended."""
    exchange = _find_current_exchange(state, event.job)
    if exchange is None:
        return []
    exchange_id = event.job.exchange
    _remove_exchange(state, exchange_id, exchange, now)
    if event.complete:
        state.retry_budget.record_success()
        return []
    return [AbortResponse(exchange_id), Count("entry.broken_answers")]


@handles(AttemptRefused)
def handle_attempt_refused(
    state: NodeState, event: AttemptRefused, now: float
) -> Effects:
    """Retry a refused attempt on another upstream, or refuse the request."""
    exchange = _find_current_exchange(state, event.job)
    if exchange is None:
        return []
    _end_attempt(state, exchange, event.load, now)
    refusal = event.refusal
    if refusal.outcome is Outcome.UNKNOWN:
        return _resolve_possible_execution(
            state, event.job.exchange, exchange, refusal, now
        )
    if refusal.reason is Reason.NO_UPSTREAM and exchange.upstream is not None:
        state.load_balancer.record_failure(exchange.upstream, now)
    if refusal.reason not in _NON_RETRYABLE_REASONS:
        budgeted = refusal.reason in _BUDGETED_REASONS
        if _may_retry(state, exchange, now, budgeted=budgeted):
            return _retry(state, event.job.exchange, refusal.reason, now)
    final = refusal._replace(outcome=_outcome_of(exchange))
    return refuse_exchange(state, event.job.exchange, final, now)


@handles(AttemptLinkLost)
def handle_attempt_link_lost(
    state: NodeState, event: AttemptLinkLost, now: float
) -> Effects:
    """Retry or refuse after the link was lost before the response started."""
    exchange = _find_current_exchange(state, event.job)
    if exchange is None:
        return []
    exchange_id = event.job.exchange
    _end_attempt(state, exchange, None, now)
    effects: Effects = []
    if exchange.upstream is not None:
        ejected = state.load_balancer.record_failure(exchange.upstream, now)
        if ejected:
            fields: dict[str, object] = {"upstream": exchange.upstream}
            effects.append(Log(Component.ENTRY, "Ejected an upstream.", fields))
    refusal = Refusal(
        Reason.LINK_LOST,
        Outcome.UNKNOWN if event.sent else Outcome.NOT_RUN,
        SHED_RETRY_AFTER_S,
    )
    if event.sent:
        return effects + _resolve_possible_execution(
            state, exchange_id, exchange, refusal, now
        )
    if _may_retry(state, exchange, now, budgeted=True):
        return effects + _retry(state, exchange_id, refusal.reason, now)
    final = refusal._replace(outcome=_outcome_of(exchange))
    return effects + refuse_exchange(state, exchange_id, final, now)


def _resolve_possible_execution(
    state: NodeState,
    exchange_id: ExchangeId,
    exchange: Exchange,
    refusal: Refusal,
    now: float,
) -> Effects:
    """Retry or refuse after an attempt that may have been executed.

    Only requests on idempotent routes without an idempotency key are sent again. Such
    a retry uses up one of the retries that the request may spend at this node.
    """
    exchange.may_have_run = True
    is_repeatable = (
        exchange.call.route.idempotent and claim_row_key(exchange.call) is None
    )
    is_final = refusal.reason in _NON_RETRYABLE_REASONS or not is_repeatable
    if is_final or exchange.own_retries < 1:
        return refuse_exchange(state, exchange_id, refusal, now)
    if not _may_retry(state, exchange, now, budgeted=True):
        return refuse_exchange(state, exchange_id, refusal, now)
    exchange.own_retries -= 1
    return _retry(state, exchange_id, refusal.reason, now)


def _may_retry(
    state: NodeState, exchange: Exchange, now: float, *, budgeted: bool
) -> bool:
    """Return whether another attempt is allowed.

    Args:
        state: State of the node.
        exchange: Exchange whose attempt has failed.
        now: Current time in seconds.
        budgeted: Whether the attempt is charged to the retry budget of the node.

    """
    if exchange.attempts >= MAX_ATTEMPTS or now >= exchange.call.deadline:
        return False
    candidates = state.members.candidates(exchange.call.route.service)
    if all(each.upstream in exchange.tried_upstreams for each in candidates):
        return False
    return not budgeted or state.retry_budget.try_withdraw(now)


def _retry(
    state: NodeState, exchange_id: ExchangeId, reason: Reason, now: float
) -> Effects:
    exchange = state.exchanges[exchange_id]
    fields: dict[str, object] = {
        "root": exchange.call.root,
        "workspace": exchange.call.workspace,
        "cause": reason.label,
        "attempt": exchange.attempts,
    }
    effects: Effects = [
        Count("entry.retries"),
        Log(Component.ENTRY, "Retried a request.", fields),
    ]
    return effects + send_attempt(state, exchange_id, now)


@handles(DeadlinePassed)
def handle_deadline(state: NodeState, event: DeadlinePassed, now: float) -> Effects:
    """Cancel an exchange at its deadline: refuse it, or break off its response."""
    exchange = state.exchanges.get(event.exchange)
    if exchange is None:
        return []
    if exchange.phase is ExchangePhase.RESPONDING:
        cancel = _cancel(state, exchange, now)
        _remove_exchange(state, event.exchange, exchange, now)
        return [*cancel, AbortResponse(event.exchange)]
    return cancel_and_refuse(state, event.exchange, Reason.DEADLINE, now)


@handles(CallerDisconnected)
def handle_caller_disconnected(
    state: NodeState, event: CallerDisconnected, now: float
) -> Effects:
    """Cancel the exchange of a caller that has disconnected.

    A request with an idempotency key keeps running once it has been attempted, so
    that its response can be replayed when the caller repeats the request.
    """
    exchange = state.exchanges.get(event.exchange)
    if exchange is None:
        return []
    attempting = exchange.phase is not ExchangePhase.WAITING_FOR_TOKEN
    if attempting and claim_row_key(exchange.call) is not None:
        return []
    effects = _cancel(state, exchange, now)
    _remove_exchange(state, event.exchange, exchange, now)
    return effects


def cancel_and_refuse(
    state: NodeState, exchange_id: ExchangeId, reason: Reason, now: float
) -> Effects:
    """Cancel an exchange whose response has not started, and refuse it.

    Args:
        state: State of the node.
        exchange_id: Exchange to cancel.
        reason: Reason to give the caller.
        now: Current time in seconds.

    """
    exchange = state.exchanges[exchange_id]
    started = _may_have_started(state, exchange)
    if started:
        exchange.may_have_run = True
    effects = _cancel(state, exchange, now)
    refusal = Refusal(reason, _outcome_of(exchange))
    return effects + refuse_exchange(state, exchange_id, refusal, now)


def cancel_exchanges_of_withdrawn_keys(state: NodeState, now: float) -> Effects:
    """End the exchanges whose bearer key has been withdrawn.

    Exchanges waiting for a token end at once, the others after a grace period.
    """
    effects: Effects = []
    for exchange_id, exchange in list(state.exchanges.items()):
        key = exchange.call.key
        if key is None or not state.configuration_store.is_withdrawn(key):
            continue
        if exchange.cancel_at is None:
            exchange.cancel_at = now + WITHDRAWN_KEY_GRACE_S
        waiting = exchange.phase is ExchangePhase.WAITING_FOR_TOKEN
        if now < exchange.cancel_at and not waiting:
            continue
        if exchange.phase is ExchangePhase.RESPONDING:
            effects += [*_cancel(state, exchange, now), AbortResponse(exchange_id)]
            _remove_exchange(state, exchange_id, exchange, now)
        else:
            effects += cancel_and_refuse(state, exchange_id, Reason.NO_KEY, now)
    return effects


def refuse_exchange(
    state: NodeState, exchange_id: ExchangeId, refusal: Refusal, now: float
) -> Effects:
    """Refuse a request and close its exchange."""
    exchange = state.exchanges[exchange_id]
    if refusal.reason in _OVERLOAD_REASONS:
        nesting.record_nested_overload(state, exchange.call.parent_context)
    _remove_exchange(state, exchange_id, exchange, now)
    fields: dict[str, object] = {
        "root": exchange.call.root,
        "workspace": exchange.call.workspace,
        "route": exchange.call.route.name,
        "cause": refusal.reason.label,
        "outcome": refusal.outcome.value,
        "upstream": exchange.upstream,
    }
    effects: list[Effect] = [
        Refuse(exchange_id, refusal),
        Count(f"entry.refused.{refusal.reason.label}"),
        Log(Component.ENTRY, "Refused a request.", fields),
    ]
    return effects


def _find_current_exchange(state: NodeState, job: JobId) -> Exchange | None:
    """Return the exchange of an attempt, or None if the attempt is outdated."""
    exchange = state.exchanges.get(job.exchange)
    return exchange if exchange is not None and exchange.job == job else None


def _may_have_started(state: NodeState, exchange: Exchange) -> bool:
    """Return whether an upstream may have started the current attempt.

    Only an attempt that is still queued on this host is known not to have started.
    """
    if exchange.job is None or exchange.phase is ExchangePhase.WAITING_FOR_TOKEN:
        return False
    job = state.jobs.get(exchange.job)
    return job is None or job.phase is not JobPhase.QUEUED


def _outcome_of(exchange: Exchange) -> Outcome:
    return Outcome.UNKNOWN if exchange.may_have_run else Outcome.NOT_RUN


def _cancel(state: NodeState, exchange: Exchange, now: float) -> Effects:
    if exchange.job is None or exchange.peer is None:
        return []
    if exchange.peer == state.host:
        return hosting.cancel_job(state, exchange.job, now)
    return [CancelAttempt(exchange.peer, exchange.job)]


def _end_attempt(
    state: NodeState, exchange: Exchange, load: LoadReport | None, now: float
) -> None:
    if exchange.upstream is None:
        return
    state.load_balancer.record_done(exchange.upstream)
    exchange.job = None
    if load is not None:
        _record_load(state, exchange, exchange.upstream, load, now)


def _record_load(
    state: NodeState,
    exchange: Exchange,
    upstream: UpstreamId,
    load: LoadReport,
    now: float,
) -> None:
    state.load_balancer.record_report(upstream, exchange.call.workspace, load, now)
    nesting.record_nested_load(state, exchange.call.parent_context, load)


def _remove_exchange(
    state: NodeState, exchange_id: ExchangeId, exchange: Exchange, now: float
) -> None:
    if exchange.job is not None:
        _end_attempt(state, exchange, None, now)
    waiting = exchange.phase is ExchangePhase.WAITING_FOR_TOKEN
    if waiting and exchange.call.workspace is not None:
        tokens.remove_waiting(state, exchange_id, exchange.call.workspace)
    del state.exchanges[exchange_id]
    nesting.end_nested_call(state, exchange.call.parent_context, now)


def _rate_refusal(retry_after_s: float) -> Refusal:
    return Refusal(Reason.OVER_RATE, Outcome.NOT_RUN, retry_after_s)


def _shed_refusal(detail: str) -> Refusal:
    return Refusal(Reason.SHED, Outcome.NOT_RUN, SHED_RETRY_AFTER_S, detail)
