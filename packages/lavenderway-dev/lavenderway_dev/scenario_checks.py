"""Expectations of a scenario."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from lavenderway_core.refusal import Outcome as RunOutcome
from lavenderway_core.refusal import Reason

from lavenderway_dev.scenario_run import CHECKS, SETTLE_S, Run, Sent, checks

if TYPE_CHECKING:
    from collections.abc import Iterable

TOLERANCE = 1e-6
__all__ = ["CHECKS"]


@checks("rates_hold")
def check_rates(run: Run, values: list[Any]) -> Iterable[str]:
    """Check every window against the highest rate and burst that were in force."""
    for workspace, changes in run.rates.items():
        rate = max(each[1] for each in changes)
        burst = max(each[2] for each in changes)
        yield from _check_windows(run, workspace, rate, burst, 0.0)


@checks("rates_hold_from")
def check_rates_from(run: Run, values: list[Any]) -> Iterable[str]:
    """Check the windows from a time on against the last rate and burst."""
    for workspace, changes in run.rates.items():
        _, rate, burst = changes[-1]
        start = SETTLE_S + float(values[0])
        yield from _check_windows(run, workspace, rate, burst, start)


def _check_windows(
    run: Run, workspace: str, rate: float, burst: float, start: float
) -> Iterable[str]:
    """Check that no window of time holds more than burst plus rate times its length."""
    spent = sorted(
        at for at, name in run.fleet.spent if name == workspace and at >= start
    )
    lowest = float("inf")
    worst = 0.0
    for number, at in enumerate(spent):
        level = number - rate * at
        lowest = min(lowest, level)
        worst = max(worst, level - lowest + 1)
    if worst > burst + TOLERANCE:
        yield f"{workspace} spent {worst:.2f} over its rate with a burst of {burst}"
    if not spent:
        yield f"{workspace} spent nothing, so nothing is shown"


@checks("runs_once")
def check_runs_once(run: Run, values: list[Any]) -> Iterable[str]:
    """Check that no request, and no idempotency key, ran more than once."""
    runs = _executions(run)
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
        yield "nothing ran, so nothing is shown"


@checks("not_run_true")
def check_not_run(run: Run, values: list[Any]) -> Iterable[str]:
    """Check each `not-run` against the upstreams' own records."""
    runs = _executions(run)
    for sent in run.sent:
        outcome = run.fleet.outcomes.get(sent.name)
        if outcome is None or outcome.refusal is None or not runs[sent.name]:
            continue
        if outcome.refusal.outcome is RunOutcome.NOT_RUN:
            yield f"{sent.name} ran but was refused as {outcome.refusal}"


@checks("every_end")
def check_every_end(run: Run, values: list[Any]) -> Iterable[str]:
    """Check that every request has a final answer."""
    for sent in run.sent:
        if sent.name not in run.fleet.outcomes:
            yield f"{sent.name} of {sent.at:.2f} s has no answer"


def _is_served(run: Run, sent: Sent) -> bool:
    outcome = run.fleet.outcomes.get(sent.name)
    return outcome is not None and outcome.refusal is None and not outcome.broken


def _check_served(run: Run, sent: list[Sent], percent: float) -> Iterable[str]:
    served = sum(_is_served(run, each) for each in sent)
    if not sent:
        yield "nothing was sent"
    elif served < len(sent) * percent / 100:
        causes = Counter(_cause(run, each) for each in sent)
        yield f"{served} of {len(sent)} served: {dict(causes)}"


def _cause(run: Run, sent: Sent) -> str:
    outcome = run.fleet.outcomes.get(sent.name)
    if outcome is None:
        return "no answer"
    if outcome.refusal is None:
        return "broken" if outcome.broken else "served"
    return outcome.refusal.reason.label


@checks("served_at_least")
def check_served(run: Run, values: list[Any]) -> Iterable[str]:
    """Check the share of requests that were served whole."""
    return _check_served(run, run.sent, float(values[0]))


@checks("served_between")
def check_served_between(run: Run, values: list[Any]) -> Iterable[str]:
    """Check the share of a workspace's requests that were served in a span."""
    percent, workspace, start, end = values
    chosen = [
        each
        for each in run.sent
        if each.workspace == workspace
        and SETTLE_S + float(start) <= each.at < SETTLE_S + float(end)
    ]
    return _check_served(run, chosen, float(percent))


@checks("route_served")
def check_route_served(run: Run, values: list[Any]) -> Iterable[str]:
    """Check the share of a route's requests that were served."""
    chosen = [each for each in run.sent if each.route == values[1]]
    return _check_served(run, chosen, float(values[0]))


@checks("none_served_from")
def check_none_served(run: Run, values: list[Any]) -> Iterable[str]:
    """Check that a workspace gets nothing from a time on."""
    workspace, start = values[0], SETTLE_S + float(values[1])
    chosen = [e for e in run.sent if e.workspace == workspace and e.at >= start]
    served = [each for each in chosen if _is_served(run, each)]
    if served:
        yield f"{len(served)} served, the last at {served[-1].at - SETTLE_S:.2f} s"
    if not chosen:
        yield "nothing was sent"
    for each in chosen:
        outcome = run.fleet.outcomes.get(each.name)
        if outcome and outcome.refusal and outcome.refusal.reason is not Reason.NO_KEY:
            yield f"{each.name} was refused as {outcome.refusal.reason.label}"


@checks("in_force")
def check_in_force(run: Run, values: list[Any]) -> Iterable[str]:
    """Check that the last revision is in force on every host at the end."""
    for name, host in run.fleet.hosts.items():
        if name in run.stopping:
            continue
        revision = host.state.directory.revision
        if revision < run.last_revision:
            yield f"{name} is at {revision}, not {run.last_revision}"


@checks("idle_from")
def check_idle(run: Run, values: list[Any]) -> Iterable[str]:
    """Check that a host's upstreams begin nothing from a time on."""
    host, start = values[0], SETTLE_S + float(values[1])
    late = [at for at, name in run.fleet.begun if name == host and at >= start]
    if late:
        yield f"{len(late)} began, the last at {late[-1] - SETTLE_S:.2f} s"


@checks("host_stops")
def check_stops(run: Run, values: list[Any]) -> Iterable[str]:
    """Check that a planned stop has come to its end."""
    phase = run.stopping[values[0]].state.lifecycle.state.value
    if phase != "stopped":
        yield f"{values[0]} is {phase}"


@checks("none_broken")
def check_none_broken(run: Run, values: list[Any]) -> Iterable[str]:
    """Check that no answer was cut and none is unknown."""
    for sent in run.sent:
        outcome = run.fleet.outcomes.get(sent.name)
        if outcome is None or outcome.broken:
            yield f"{sent.name} was cut"
        elif outcome.refusal and outcome.refusal.outcome is RunOutcome.UNKNOWN:
            yield f"{sent.name} ended as {outcome.refusal}"


@checks("bounded_runs")
def check_bounded(run: Run, values: list[Any]) -> Iterable[str]:
    """Check all executions against the number of requests."""
    total = sum(_executions(run).values())
    if total > float(values[0]) * len(run.sent):
        yield f"{total} executions of {len(run.sent)} requests"


def _executions(run: Run) -> Counter[str]:
    total = run.fleet.executions()
    for host in run.killed:
        for upstream in host.upstreams.values():
            total += upstream.executions
    return total
