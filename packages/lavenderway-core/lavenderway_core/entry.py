"""Entry node: takes a caller's request to an upstream's node and retries it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderway_core import hosting, nesting, tokens
from lavenderway_core.balancer import Standing
from lavenderway_core.claims import claim_row
from lavenderway_core.effects import (
    BreakAnswer,
    CancelAttempt,
    Count,
    Effect,
    Log,
    Part,
    Refuse,
    SendAttempt,
)
from lavenderway_core.events import (
    AttemptAnswered,
    AttemptDone,
    AttemptLost,
    AttemptRefused,
    CallerLeft,
    DeadlinePassed,
    JobSpec,
    RequestArrived,
)
from lavenderway_core.ids import ExchangeId, JobId, UpstreamId
from lavenderway_core.reducer import Effects, handles
from lavenderway_core.refusal import Outcome, Reason, Refusal
from lavenderway_core.retries import MAX_ATTEMPTS, split_retries
from lavenderway_core.shedding import rank_root
from lavenderway_core.state import Exchange, ExchangePhase, JobPhase, NodeState
from lavenderway_core.tokens import TokenNews, TokenOutcome

if TYPE_CHECKING:
    from lavenderway_core.admission import LoadReport
    from lavenderway_core.balancer import Candidate

LINK_MARGIN_MS = 10
MIN_BUDGET_MS = 1
SHED_RETRY_AFTER_S = 1.0
NO_UPSTREAM_RETRY_AFTER_S = 1.0
KEY_GRACE_S = 2.0

_FINAL_REASONS = frozenset(
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
def take_request(state: NodeState, event: RequestArrived, now: float) -> Effects:
    """Begin an exchange: count it against the rate, then send it on."""
    call = event.call
    if call.key is not None and state.directory.is_withdrawn(call.key):
        return [Refuse(event.exchange, Refusal(Reason.NO_KEY))]
    if now >= call.deadline:
        return [Refuse(event.exchange, Refusal(Reason.DEADLINE))]
    kept, passed = split_retries(call.retries)
    exchange = Exchange(
        call=call,
        fingerprint=event.fingerprint,
        phase=ExchangePhase.WAITING_FOR_TOKEN,
        kept_retries=kept,
        passed_retries=passed,
    )
    state.exchanges[event.exchange] = exchange
    nesting.begin_nested(state, call.parent, now)
    if not call.is_root or call.workspace is None or call.route.open_to_all:
        return send_attempt(state, event.exchange, now)
    decision = tokens.take_token(state, event.exchange, call.workspace, now)
    if decision.outcome is TokenOutcome.TAKEN:
        return decision.effects + send_attempt(state, event.exchange, now)
    if decision.outcome is TokenOutcome.WAITING:
        return decision.effects
    refusal = _over_rate(decision.retry_after_s)
    return decision.effects + finish(state, event.exchange, refusal, now)


def apply_token_news(state: NodeState, news: TokenNews, now: float) -> Effects:
    """Go on with the exchanges that a loan serves; refuse those it does not."""
    effects = list(news.effects)
    for number in news.served:
        if number in state.exchanges:
            effects += send_attempt(state, number, now)
    for number in news.refused:
        if number in state.exchanges:
            effects += finish(state, number, _over_rate(news.retry_after_s), now)
    return effects


def send_attempt(state: NodeState, number: ExchangeId, now: float) -> Effects:
    """Choose an upstream and send the next attempt to its node."""
    exchange = state.exchanges[number]
    call = exchange.call
    candidates = state.members.candidates(call.route.service)
    standing = Standing(call.importance, call.workspace, rank_root(call.root))
    may_shed = call.is_root and not exchange.attempts
    if may_shed and state.balancer.all_shed(candidates, standing, now):
        detail = "Every upstream of the service refuses this importance at present."
        return finish(state, number, _shed(detail), now)
    chosen = state.balancer.choose(candidates, exchange.tried, now)
    if chosen is None:
        refusal = Refusal(
            Reason.NO_UPSTREAM,
            _outcome_of(exchange),
            NO_UPSTREAM_RETRY_AFTER_S,
        )
        return finish(state, number, refusal, now)
    return _send_to(state, number, exchange, chosen, now)


def _send_to(
    state: NodeState,
    number: ExchangeId,
    exchange: Exchange,
    chosen: Candidate,
    now: float,
) -> Effects:
    exchange.attempts += 1
    exchange.phase = ExchangePhase.ATTEMPTING
    job = JobId(state.host, state.incarnation, number, exchange.attempts)
    exchange.job = job
    exchange.upstream = chosen.upstream
    exchange.peer = chosen.host
    exchange.tried.append(chosen.upstream)
    state.balancer.record_sent(chosen.upstream)
    spec = _job_spec(exchange, chosen, now)
    if chosen.host == state.host:
        return hosting.take_job(state, job, spec, now)
    return [SendAttempt(chosen.host, job, spec)]


def _job_spec(exchange: Exchange, chosen: Candidate, now: float) -> JobSpec:
    call = exchange.call
    remaining_ms = int((call.deadline - now) * 1000) - LINK_MARGIN_MS
    return JobSpec(
        service=chosen.service,
        upstream=chosen.upstream,
        route=call.route.name,
        root=call.root,
        workspace=call.workspace,
        key=call.key,
        importance=call.importance,
        is_root=call.is_root,
        remaining_ms=max(MIN_BUDGET_MS, remaining_ms),
        retries=exchange.passed_retries if exchange.attempts == 1 else 0,
        claim=claim_row(call),
        fingerprint=exchange.fingerprint,
    )


@handles(AttemptAnswered)
def note_answer(state: NodeState, event: AttemptAnswered, now: float) -> Effects:
    """Note that an answer has begun."""
    exchange = _current(state, event.job)
    if exchange is None:
        return []
    exchange.phase = ExchangePhase.ANSWERING
    if event.load is not None and exchange.upstream is not None:
        _note_load(state, exchange, exchange.upstream, event.load, now)
    return []


@handles(AttemptDone)
def end_attempt(state: NodeState, event: AttemptDone, now: float) -> Effects:
    """End an exchange whose answer has ended."""
    exchange = _current(state, event.job)
    if exchange is None:
        return []
    number = event.job.exchange
    _end(state, number, exchange, now)
    if event.whole:
        state.retry_budget.record_success()
        return []
    return [BreakAnswer(number), Count("entry.broken_answers")]


@handles(AttemptRefused)
def note_refusal(state: NodeState, event: AttemptRefused, now: float) -> Effects:
    """Retry a refused attempt elsewhere, or pass the refusal on."""
    exchange = _current(state, event.job)
    if exchange is None:
        return []
    _release_upstream(state, exchange, event.load, now)
    refusal = event.refusal
    if refusal.outcome is Outcome.UNKNOWN:
        return _after_possible_run(state, event.job.exchange, exchange, refusal, now)
    if refusal.reason is Reason.NO_UPSTREAM and exchange.upstream is not None:
        state.balancer.record_failure(exchange.upstream, now)
    if refusal.reason not in _FINAL_REASONS:
        budgeted = refusal.reason in _BUDGETED_REASONS
        if _may_try_again(state, exchange, now, budgeted=budgeted):
            return _retry(state, event.job.exchange, refusal.reason, now)
    final = refusal._replace(outcome=_outcome_of(exchange))
    return finish(state, event.job.exchange, final, now)


@handles(AttemptLost)
def note_loss(state: NodeState, event: AttemptLost, now: float) -> Effects:
    """Decide on an attempt whose link was lost before an answer began."""
    exchange = _current(state, event.job)
    if exchange is None:
        return []
    number = event.job.exchange
    _release_upstream(state, exchange, None, now)
    effects: Effects = []
    if exchange.upstream is not None:
        ejected = state.balancer.record_failure(exchange.upstream, now)
        if ejected:
            fields: dict[str, object] = {"upstream": exchange.upstream}
            effects.append(Log(Part.ENTRY, "Ejected an upstream.", fields))
    refusal = Refusal(
        Reason.LINK_LOST,
        Outcome.UNKNOWN if event.sent else Outcome.NOT_RUN,
        SHED_RETRY_AFTER_S,
    )
    if event.sent:
        return effects + _after_possible_run(state, number, exchange, refusal, now)
    if _may_try_again(state, exchange, now, budgeted=True):
        return effects + _retry(state, number, refusal.reason, now)
    final = refusal._replace(outcome=_outcome_of(exchange))
    return effects + finish(state, number, final, now)


def _after_possible_run(
    state: NodeState,
    number: ExchangeId,
    exchange: Exchange,
    refusal: Refusal,
    now: float,
) -> Effects:
    exchange.may_have_run = True
    repeatable = exchange.call.route.idempotent and claim_row(exchange.call) is None
    final = refusal.reason in _FINAL_REASONS or not repeatable
    if final or exchange.kept_retries < 1:
        return finish(state, number, refusal, now)
    if not _may_try_again(state, exchange, now, budgeted=True):
        return finish(state, number, refusal, now)
    exchange.kept_retries -= 1
    return _retry(state, number, refusal.reason, now)


def _may_try_again(
    state: NodeState, exchange: Exchange, now: float, *, budgeted: bool
) -> bool:
    if exchange.attempts >= MAX_ATTEMPTS or now >= exchange.call.deadline:
        return False
    candidates = state.members.candidates(exchange.call.route.service)
    if all(each.upstream in exchange.tried for each in candidates):
        return False
    return not budgeted or state.retry_budget.take(now)


def _retry(state: NodeState, number: ExchangeId, reason: Reason, now: float) -> Effects:
    exchange = state.exchanges[number]
    fields: dict[str, object] = {
        "root": exchange.call.root,
        "workspace": exchange.call.workspace,
        "cause": reason.label,
        "attempt": exchange.attempts,
    }
    effects: Effects = [
        Count("entry.retries"),
        Log(Part.ENTRY, "Retried a request.", fields),
    ]
    return effects + send_attempt(state, number, now)


@handles(DeadlinePassed)
def expire(state: NodeState, event: DeadlinePassed, now: float) -> Effects:
    """Give a request its final answer at its deadline."""
    exchange = state.exchanges.get(event.exchange)
    if exchange is None:
        return []
    if exchange.phase is ExchangePhase.ANSWERING:
        cancel = _cancel(state, exchange, now)
        _end(state, event.exchange, exchange, now)
        return [*cancel, BreakAnswer(event.exchange)]
    return give_up(state, event.exchange, Reason.DEADLINE, now)


@handles(CallerLeft)
def abandon(state: NodeState, event: CallerLeft, now: float) -> Effects:
    """Cancel the work for a caller that has gone.

    A claimed request runs on, so that its answer is there when the caller asks again.
    """
    exchange = state.exchanges.get(event.exchange)
    if exchange is None:
        return []
    attempting = exchange.phase is not ExchangePhase.WAITING_FOR_TOKEN
    if attempting and claim_row(exchange.call) is not None:
        return []
    effects = _cancel(state, exchange, now)
    _end(state, event.exchange, exchange, now)
    return effects


def give_up(
    state: NodeState, number: ExchangeId, reason: Reason, now: float
) -> Effects:
    """Cancel an exchange that has no answer yet and refuse it for `reason`."""
    exchange = state.exchanges[number]
    started = _has_left_this_node(state, exchange)
    if started:
        exchange.may_have_run = True
    effects = _cancel(state, exchange, now)
    refusal = Refusal(reason, _outcome_of(exchange))
    return effects + finish(state, number, refusal, now)


def cut_withdrawn(state: NodeState, now: float) -> Effects:
    """End the exchanges of keys that have been withdrawn, after a grace period."""
    effects: Effects = []
    for number, exchange in list(state.exchanges.items()):
        key = exchange.call.key
        if key is None or not state.directory.is_withdrawn(key):
            continue
        if exchange.cut_at is None:
            exchange.cut_at = now + KEY_GRACE_S
        waiting = exchange.phase is ExchangePhase.WAITING_FOR_TOKEN
        if now < exchange.cut_at and not waiting:
            continue
        if exchange.phase is ExchangePhase.ANSWERING:
            effects += [*_cancel(state, exchange, now), BreakAnswer(number)]
            _end(state, number, exchange, now)
        else:
            effects += give_up(state, number, Reason.NO_KEY, now)
    return effects


def finish(
    state: NodeState, number: ExchangeId, refusal: Refusal, now: float
) -> Effects:
    """Refuse an exchange and forget it."""
    exchange = state.exchanges[number]
    if refusal.reason in _OVERLOAD_REASONS:
        nesting.note_nested_overload(state, exchange.call.parent)
    _end(state, number, exchange, now)
    fields: dict[str, object] = {
        "root": exchange.call.root,
        "workspace": exchange.call.workspace,
        "route": exchange.call.route.name,
        "cause": refusal.reason.label,
        "outcome": refusal.outcome.value,
        "upstream": exchange.upstream,
    }
    effects: list[Effect] = [
        Refuse(number, refusal),
        Count(f"entry.refused.{refusal.reason.label}"),
        Log(Part.ENTRY, "Refused a request.", fields),
    ]
    return effects


def _current(state: NodeState, job: JobId) -> Exchange | None:
    exchange = state.exchanges.get(job.exchange)
    return exchange if exchange is not None and exchange.job == job else None


def _has_left_this_node(state: NodeState, exchange: Exchange) -> bool:
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
        return hosting.drop_job(state, exchange.job, now)
    return [CancelAttempt(exchange.peer, exchange.job)]


def _release_upstream(
    state: NodeState, exchange: Exchange, load: LoadReport | None, now: float
) -> None:
    if exchange.upstream is None:
        return
    state.balancer.record_done(exchange.upstream)
    exchange.job = None
    if load is not None:
        _note_load(state, exchange, exchange.upstream, load, now)


def _note_load(
    state: NodeState,
    exchange: Exchange,
    upstream: UpstreamId,
    load: LoadReport,
    now: float,
) -> None:
    state.balancer.record_report(upstream, exchange.call.workspace, load, now)
    nesting.note_nested_load(state, exchange.call.parent, load)


def _end(state: NodeState, number: ExchangeId, exchange: Exchange, now: float) -> None:
    if exchange.job is not None:
        _release_upstream(state, exchange, None, now)
    waiting = exchange.phase is ExchangePhase.WAITING_FOR_TOKEN
    if waiting and exchange.call.workspace is not None:
        tokens.forget_waiting(state, number, exchange.call.workspace)
    del state.exchanges[number]
    nesting.end_nested(state, exchange.call.parent, now)


def _over_rate(retry_after_s: float) -> Refusal:
    return Refusal(Reason.OVER_RATE, Outcome.NOT_RUN, retry_after_s)


def _shed(detail: str) -> Refusal:
    return Refusal(Reason.SHED, Outcome.NOT_RUN, SHED_RETRY_AFTER_S, detail)
