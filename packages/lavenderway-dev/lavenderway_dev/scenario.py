"""Runs scenario files on scripted reducers and reports what did not hold."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from functools import cache
from pathlib import Path
from typing import Any, NamedTuple

from lark import Lark, Token, Tree
from lavenderway_core.ids import HostId
from lavenderway_core.refusal import Outcome as RunOutcome
from lavenderway_core.refusal import Reason
from lavenderway_core.resources import Kind

from lavenderway_dev.scripted import ScriptedFleet, ScriptedHost

GRAMMAR = Path(__file__).with_name("scenario.lark")
SETTLE_S = 4.0  # hosts join and take their allotments before loads begin
FINISH_S = 15.0
TOLERANCE = 1e-6
Action = Callable[["Run", list[Any]], None]
Check = Callable[["Run", list[Any]], Iterable[str]]
_ACTIONS: dict[str, Action] = {}
_CHECKS: dict[str, Check] = {}


class Failure(NamedTuple):
    """An expectation that did not hold."""

    seed: int
    expectation: str
    problem: str

    def __str__(self) -> str:
        """Return the failure as one line."""
        return f"seed {self.seed}: {self.expectation}: {self.problem}"


class Sent(NamedTuple):
    """A request of a load."""

    name: str
    at: float
    workspace: str
    route: str
    idempotency_key: str


class Run:
    """One run of a scenario with one seed.

    Args:
        seed: Seed of the run.

    """

    def __init__(self, *, seed: int) -> None:
        self.fleet = ScriptedFleet(seed=seed)
        self.secrets: dict[str, str] = {}
        self.rates: dict[str, list[tuple[float, float, float]]] = {}
        self.sent: list[Sent] = []
        self.killed: list[ScriptedHost] = []
        self.stopping: dict[str, ScriptedHost] = {}
        self.last_revision = 0
        self.ends = SETTLE_S
        self.hosts = 0
        self.first_key = 0

    def named(self, name: str) -> HostId:
        """Return the id of a host."""
        return HostId(name)


class Scenario:
    """A parsed scenario file.

    Args:
        path: The file.

    """

    def __init__(self, *, path: Path) -> None:
        tree = _parser().parse(path.read_text(encoding="utf-8"))
        found = {str(each.data): each for each in _trees(tree)}
        self.title = str(found["title"].children[0]).strip('"')
        self.point = str(found["proves"].children[0])
        seeds = found.get("seeds")
        self.seeds = int(str(seeds.children[0])) if seeds is not None else 1
        self._lines = [each for each in _trees(tree) if str(each.data) in _LINES]
        self._timed = [each for each in _trees(tree) if str(each.data) == "timed"]
        self._expected = [each for each in _trees(tree) if str(each.data) == "expect"]

    def run(self) -> list[Failure]:
        """Run with every seed; return what did not hold."""
        failures: list[Failure] = []
        for seed in range(1, self.seeds + 1):
            failures += self._run_seed(seed)
        return failures

    def _run_seed(self, seed: int) -> list[Failure]:
        run = Run(seed=seed)
        for line in self._lines:
            _LINES[str(line.data)](run, _values(line))
        run.fleet.run(SETTLE_S)
        for timed in self._timed:
            at, action = timed.children
            assert isinstance(action, Tree)
            self._schedule(run, float(str(at)), action)
        run.fleet.run(run.ends + FINISH_S)
        return [
            Failure(seed, str(tree.data).replace("_", " "), problem)
            for each in self._expected
            for tree in _trees(each)
            for problem in _CHECKS[str(tree.data)](run, _values(tree))
        ]

    @staticmethod
    def _schedule(run: Run, at: float, action: Tree[Token]) -> None:
        run.ends = max(run.ends, SETTLE_S + at)
        perform = _ACTIONS[str(action.data)]
        run.fleet.at(SETTLE_S + at, lambda: perform(run, _values(action)))


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR.read_text(encoding="utf-8"), parser="earley")


def _trees(tree: Tree[Token]) -> list[Tree[Token]]:
    return [child for child in tree.children if isinstance(child, Tree)]


def _values(tree: Tree[Token]) -> list[Any]:
    """Return the children of a tree: texts, and trees as (name, values)."""
    return [
        (str(child.data), _values(child)) if isinstance(child, Tree) else str(child)
        for child in tree.children
    ]


def acts(name: str) -> Callable[[Action], Action]:
    """Register the function for an action."""

    def register(action: Action) -> Action:
        _ACTIONS[name] = action
        return action

    return register


def checks(name: str) -> Callable[[Check], Check]:
    """Register the function for an expectation."""

    def register(check: Check) -> Check:
        _CHECKS[name] = check
        return check

    return register


def _add_hosts(run: Run, values: list[Any]) -> None:
    count, domain = int(values[0]), values[1]
    for number in range(count):
        run.fleet.add_host(f"{domain}-{number + 1}", domain)


def _add_workspace(run: Run, values: list[Any]) -> None:
    name, rate, burst = values[0], float(values[1]), float(values[2])
    run.rates[name] = [(0.0, rate, burst)]
    run.fleet.at(1.5, lambda: _write_workspace(run, name, rate, burst))


def _write_workspace(run: Run, name: str, rate: float, burst: float) -> None:
    run.secrets[name] = run.fleet.add_workspace(name, rate=rate, burst=burst)
    run.last_revision = run.fleet.table.revision


def _add_route(run: Run, values: list[Any]) -> None:
    name, service, idempotent = values[0], values[1], values[2][0] == "yes"
    spec: dict[str, object] = {"idempotent": idempotent, "timeout_ms": 3000}
    if len(values) > 3:
        spec["importance"] = values[3][1][0]
    run.fleet.add_route(name, service, **spec)
    run.last_revision = run.fleet.table.revision


def _add_upstreams(run: Run, values: list[Any]) -> None:
    service, domain = values[0], values[1]
    slots, service_s = int(values[2]), float(values[3]) / 1000
    for host in list(run.fleet.hosts):
        if host.startswith(f"{domain}-"):
            run.fleet.add_upstream(
                host, f"{service}-{host}", service, slots=slots, service_s=service_s
            )


_LINES: dict[str, Callable[[Run, list[Any]], None]] = {
    "hosts": _add_hosts,
    "workspace": _add_workspace,
    "route": _add_route,
    "upstreams": _add_upstreams,
}


@acts("load")
def start_load(run: Run, values: list[Any]) -> None:
    """Send requests at a rate with random gaps for some time."""
    workspace, rate = values[0], float(values[1])
    target, duration, route = values[2], float(values[3]), values[4]
    keyed = values[5][0] if len(values) > 5 else ""
    ends = run.fleet.now + duration
    run.ends = max(run.ends, ends)

    def send() -> None:
        if run.fleet.now >= ends:
            return
        _send_one(run, workspace, target, route, keyed)
        run.fleet.after(run.fleet.random.expovariate(rate), send)

    send()


def _send_one(run: Run, workspace: str, target: Any, route: str, keyed: str) -> None:
    fleet = run.fleet
    able = [n for n, h in fleet.hosts.items() if not h.frozen and n not in run.stopping]
    hosts = able if target[0] == "every_host" else [run.named(target[1][0])]
    if not hosts:
        return
    run.first_key += 1
    key = f"key-{run.first_key}" if keyed else ""
    times = 2 if keyed == "twice" else 1
    for attempt in range(times):
        host = fleet.random.choice(hosts)
        delay_s = attempt * fleet.random.random()
        fleet.after(
            delay_s,
            lambda h=host: _request(run, h, workspace, route, key),  # type: ignore[misc]
        )


def _request(run: Run, host: str, workspace: str, route: str, key: str) -> None:
    if run.named(host) not in run.fleet.hosts:
        return
    name = run.fleet.request(
        host, f"/{route}", secret=run.secrets[workspace], idempotency_key=key
    )
    run.sent.append(Sent(name, run.fleet.now, workspace, route, key))


def _resolve(run: Run, place: Any) -> str:
    kind, values = place
    if kind == "named_host":
        return str(values[0])
    for name, host in run.fleet.hosts.items():
        held = host.state.allotments_by_workspace.get(values[0])
        if held and not host.frozen:
            return name
    raise AssertionError(f"no host holds an allotment of {values[0]}")


@acts("freeze")
def freeze(run: Run, values: list[Any]) -> None:
    """Freeze a host."""
    run.fleet.freeze(_resolve(run, values[0]))


@acts("thaw")
def thaw(run: Run, values: list[Any]) -> None:
    """Let all frozen hosts go on."""
    for name, host in list(run.fleet.hosts.items()):
        if host.frozen:
            run.fleet.thaw(name)


@acts("kill")
def kill(run: Run, values: list[Any]) -> None:
    """Kill a host's process."""
    name = _resolve(run, values[0])
    run.killed.append(run.fleet.hosts[run.named(name)])
    run.fleet.kill(name)


@acts("restart")
def restart(run: Run, values: list[Any]) -> None:
    """Start the killed hosts again, with their upstreams."""
    for dead in run.killed:
        state = dead.state
        host = run.fleet.add_host(
            state.host,
            state.failure_domain,
            incarnation=state.incarnation + 1,
            seeds=tuple(each.state.address for each in run.fleet.hosts.values()),
        )
        for name, upstream in dead.upstreams.items():
            upstream.busy.clear()
            upstream.waiting.clear()
            host.upstreams[name] = upstream
            run.fleet.announce(host, name)
    run.killed.clear()


@acts("stop")
def stop(run: Run, values: list[Any]) -> None:
    """Begin a planned stop."""
    run.stopping[values[0]] = run.fleet.hosts[run.named(values[0])]
    run.fleet.stop(values[0])


@acts("leave")
def leave(run: Run, values: list[Any]) -> None:
    """Have a host's upstreams leave."""
    run.fleet.leave(values[0])


@acts("cut")
def cut(run: Run, values: list[Any]) -> None:
    """Cut two failure domains off from each other."""
    run.fleet.cut(values[0], values[1])


@acts("cut_table")
def cut_table(run: Run, values: list[Any]) -> None:
    """Cut a failure domain off from the platform."""
    run.fleet.cut_from_table.add(values[0])


@acts("heal")
def heal(run: Run, values: list[Any]) -> None:
    """End all cuts."""
    run.fleet.heal()


@acts("table_down")
def table_down(run: Run, values: list[Any]) -> None:
    """Take the platform's table away."""
    run.fleet.table_down = True


@acts("table_up")
def table_up(run: Run, values: list[Any]) -> None:
    """Give the platform's table back."""
    run.fleet.table_down = False


@acts("lose")
def lose(run: Run, values: list[Any]) -> None:
    """Lose the next answers after their writes took effect."""
    run.fleet.lose_answers = int(values[0])


@acts("set_rate")
def set_rate(run: Run, values: list[Any]) -> None:
    """Change a workspace's rate and burst."""
    name, rate, burst = values[0], float(values[1]), float(values[2])
    run.rates[name].append((run.fleet.now, rate, burst))
    spec: dict[str, object] = {"rate": rate, "burst": burst}
    run.last_revision = run.fleet.write(Kind.WORKSPACE, name, spec)


@acts("withdraw")
def withdraw(run: Run, values: list[Any]) -> None:
    """Withdraw a workspace's key."""
    run.last_revision = run.fleet.write(Kind.KEY, values[0], None)


def _upstreams_of(run: Run, host: str) -> list[Any]:
    return list(run.fleet.hosts[run.named(host)].upstreams.values())


@acts("break_upstream")
def break_upstream(run: Run, values: list[Any]) -> None:
    """Have a host's upstreams run requests and lose the answers."""
    for upstream in _upstreams_of(run, values[0]):
        upstream.dies_after_run = True


@acts("mend_upstream")
def mend_upstream(run: Run, values: list[Any]) -> None:
    """End the faults of a host's upstreams."""
    for upstream in _upstreams_of(run, values[0]):
        upstream.dies_after_run = False
        upstream.frozen = False


@acts("freeze_upstream")
def freeze_upstream(run: Run, values: list[Any]) -> None:
    """Have a host's upstreams take requests and never answer."""
    for upstream in _upstreams_of(run, values[0]):
        upstream.frozen = True


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
