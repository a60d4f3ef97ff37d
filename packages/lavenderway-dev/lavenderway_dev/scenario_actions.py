"""Lines of a scenario: what stands, and what happens when."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lavenderway_core.resources import Kind

from lavenderway_dev.scenario_run import Run, Sent, acts

if TYPE_CHECKING:
    from collections.abc import Callable

WORKSPACES_AT_S = 1.5  # hosts know each other by then


def _add_hosts(run: Run, values: list[Any]) -> None:
    count, domain = int(values[0]), values[1]
    for number in range(count):
        run.fleet.add_host(f"{domain}-{number + 1}", domain)


def _add_workspace(run: Run, values: list[Any]) -> None:
    name, rate, burst = values[0], float(values[1]), float(values[2])
    run.rates[name] = [(0.0, rate, burst)]
    run.fleet.at(WORKSPACES_AT_S, lambda: _write_workspace(run, name, rate, burst))


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


LINES: dict[str, Callable[[Run, list[Any]], None]] = {
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
