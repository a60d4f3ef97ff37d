"""Checks of the expectations in scenario files."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from lavenderway_core.refusal import Outcome as RunOutcome
from lavenderway_core.refusal import Reason

from lavenderway_dev.scenario_run import (
    CHECKS,
    SETTLE_S,
    ScenarioRun,
    SentRequest,
    register_check,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

TOKEN_TOLERANCE = 1e-6
__all__ = ["CHECKS"]


@register_check("rates_hold")
def check_rates(run: ScenarioRun, values: list[Any]) -> Iterable[str]:
    """Check that no workspace exceeds the highest rate and burst that it ever had."""
    for workspace, changes in run.rates.items():
        rate = max(each[1] for each in changes)
        burst = max(each[2] for each in changes)
        yield from _check_windows(run, workspace, rate, burst, 0.0)


@register_check("rates_hold_from")
def check_rates_from(run: ScenarioRun, values: list[Any]) -> Iterable[str]:
    """Check that no workspace exceeds its last rate and burst from a time on."""
    for workspace, changes in run.rates.items():
        _, rate, burst = changes[-1]
        start = SETTLE_S + float(values[0])
        yield from _check_windows(run, workspace, rate, burst, start)


def _check_windows(
    run: ScenarioRun, workspace: str, rate: float, burst: float, start: float
) -> Iterable[str]:
    """Check that every interval admits at most burst plus rate times its length."""
    admissions = sorted(
        at for at, name in run.fleet.admissions if name == workspace and at >= start
    )
    lowest = float("inf")
    worst = 0.0
    for number, at in enumerate(admissions):
        level = number - rate * at
        lowest = min(lowest, level)
        worst = max(worst, level - lowest + 1)
    if worst > burst + TOKEN_TOLERANCE:
        yield f"{workspace}: {worst:.2f} admissions above the rate, burst is {burst}"
    if not admissions:
        yield f"{workspace}: no request was admitted, so nothing was checked"


@register_check("runs_once")
def check_runs_once(run: ScenarioRun, values: list[Any]) -> Iterable[str]:
    """Check that each request and each idempotency key ran at most once."""
    runs = _count_executions(run)
    by_key: Counter[tuple[str, str]] = Counter()
    for sent in run.sent:
        if runs[sent.name] > 1 and not sent.idempotency_key:
            yield f"{sent.name} ran {runs[sent.name]} times"
        if sent.idempotency_key:
            by_key[sent.route, sent.idempotency_key] += runs[sent.name]
    for (_, key), count in by_key.items():
        if count > 1:
            yield f"{key} ran {count} times"
    if not runs:
        yield "no request ran, so nothing was checked"


@register_check("not_run_true")
def check_not_run_refusals(run: ScenarioRun, values: list[Any]) -> Iterable[str]:
    """Check that no request refused as `not-run` ran on an upstream."""
    runs = _count_executions(run)
    for sent in run.sent:
        outcome = run.fleet.outcomes.get(sent.name)
        if outcome is None or outcome.refusal is None or not runs[sent.name]:
            continue
        if outcome.refusal.outcome is RunOutcome.NOT_RUN:
            yield f"{sent.name} ran but was refused as {outcome.refusal}"


@register_check("every_end")
def check_all_answered(run: ScenarioRun, values: list[Any]) -> Iterable[str]:
    """Check that every request got a response or a refusal."""
    for sent in run.sent:
        if sent.name not in run.fleet.outcomes:
            yield f"{sent.name}, sent at {sent.sent_at:.2f} s, has no result"


def _is_served(run: ScenarioRun, sent: SentRequest) -> bool:
    outcome = run.fleet.outcomes.get(sent.name)
    return outcome is not None and outcome.refusal is None and not outcome.broken


def _check_served(
    run: ScenarioRun, sent: list[SentRequest], percent: float
) -> Iterable[str]:
    served = sum(_is_served(run, each) for each in sent)
    if not sent:
        yield "nothing was sent"
    elif served < len(sent) * percent / 100:
        causes = Counter(_describe_outcome(run, each) for each in sent)
        yield f"{served} of {len(sent)} served: {dict(causes)}"


def _describe_outcome(run: ScenarioRun, sent: SentRequest) -> str:
    outcome = run.fleet.outcomes.get(sent.name)
    if outcome is None:
        return "no response"
    if outcome.refusal is None:
        return "broken" if outcome.broken else "served"
    return outcome.refusal.reason.label


@register_check("served_at_least")
def check_served(run: ScenarioRun, values: list[Any]) -> Iterable[str]:
    """Check the percentage of requests that got a complete response."""
    return _check_served(run, run.sent, float(values[0]))


@register_check("served_between")
def check_served_between(run: ScenarioRun, values: list[Any]) -> Iterable[str]:
    """Check the served percentage of a workspace's requests sent in an interval."""
    percent, workspace, start, end = values
    chosen = [
        each
        for each in run.sent
        if each.workspace == workspace
        and SETTLE_S + float(start) <= each.sent_at < SETTLE_S + float(end)
    ]
    return _check_served(run, chosen, float(percent))


@register_check("route_served")
def check_route_served(run: ScenarioRun, values: list[Any]) -> Iterable[str]:
    """Check the served percentage of a route's requests."""
    chosen = [each for each in run.sent if each.route == values[1]]
    return _check_served(run, chosen, float(values[0]))


@register_check("none_served_from")
def check_none_served(run: ScenarioRun, values: list[Any]) -> Iterable[str]:
    """Check that all requests of a workspace from a time on are refused as `no-key`."""
    workspace, start = values[0], SETTLE_S + float(values[1])
    chosen = [e for e in run.sent if e.workspace == workspace and e.sent_at >= start]
    served = [each for each in chosen if _is_served(run, each)]
    if served:
        yield f"{len(served)} served, the last at {served[-1].sent_at - SETTLE_S:.2f} s"
    if not chosen:
        yield "nothing was sent"
    for each in chosen:
        outcome = run.fleet.outcomes.get(each.name)
        if outcome and outcome.refusal and outcome.refusal.reason is not Reason.NO_KEY:
            yield f"{each.name} was refused as {outcome.refusal.reason.label}"


@register_check("in_force")
def check_in_force(run: ScenarioRun, values: list[Any]) -> Iterable[str]:
    """Check that every host that is not stopping has the last revision in force."""
    for name, host in run.fleet.hosts.items():
        if name in run.stopping:
            continue
        revision = host.state.configuration_store.revision
        if revision < run.last_revision:
            yield f"{name} has revision {revision}, expected {run.last_revision}"


@register_check("idle_from")
def check_upstreams_idle(run: ScenarioRun, values: list[Any]) -> Iterable[str]:
    """Check that a host's upstreams start no job from a time on."""
    host, start = values[0], SETTLE_S + float(values[1])
    late = [at for at, name in run.fleet.job_starts if name == host and at >= start]
    if late:
        yield f"{len(late)} jobs started, the last at {late[-1] - SETTLE_S:.2f} s"


@register_check("host_stops")
def check_host_stopped(run: ScenarioRun, values: list[Any]) -> Iterable[str]:
    """Check that a graceful shutdown has completed."""
    phase = run.stopping[values[0]].state.lifecycle.state.value
    if phase != "stopped":
        yield f"{values[0]} is {phase}, expected stopped"


@register_check("none_broken")
def check_none_broken(run: ScenarioRun, values: list[Any]) -> Iterable[str]:
    """Check that every response is complete and no outcome is unknown."""
    for sent in run.sent:
        outcome = run.fleet.outcomes.get(sent.name)
        if outcome is None or outcome.broken:
            yield f"{sent.name} got no complete response"
        elif outcome.refusal and outcome.refusal.outcome is RunOutcome.UNKNOWN:
            yield f"{sent.name} ended as {outcome.refusal}"


@register_check("bounded_runs")
def check_execution_bound(run: ScenarioRun, values: list[Any]) -> Iterable[str]:
    """Check the ratio of executions to requests, which bounds retries."""
    total = sum(_count_executions(run).values())
    if total > float(values[0]) * len(run.sent):
        yield f"{total} executions of {len(run.sent)} requests exceed the bound"


def _count_executions(run: ScenarioRun) -> Counter[str]:
    total = run.fleet.executions()
    for host in run.killed:
        for upstream in host.upstreams.values():
            total += upstream.executions
    return total
