"""Declarations and timed actions of scenario files."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lavenderway_core.resources import Kind

from lavenderway_dev.scenario_run import ScenarioRun, SentRequest, register_action

if TYPE_CHECKING:
    from collections.abc import Callable

WORKSPACE_WRITE_AT_S = 1.5  # after all hosts have joined


def _add_hosts(run: ScenarioRun, values: list[Any]) -> None:
    count, domain = int(values[0]), values[1]
    for number in range(count):
        run.fleet.add_host(f"{domain}-{number + 1}", domain)


def _add_workspace(run: ScenarioRun, values: list[Any]) -> None:
    name, rate, burst = values[0], float(values[1]), float(values[2])
    run.rates[name] = [(0.0, rate, burst)]
    run.fleet.at(WORKSPACE_WRITE_AT_S, lambda: _write_workspace(run, name, rate, burst))


def _write_workspace(run: ScenarioRun, name: str, rate: float, burst: float) -> None:
    run.secrets[name] = run.fleet.add_workspace(name, rate=rate, burst=burst)
    run.last_revision = run.fleet.table.revision


def _add_route(run: ScenarioRun, values: list[Any]) -> None:
    name, service, idempotent = values[0], values[1], values[2][0] == "yes"
    spec: dict[str, object] = {"idempotent": idempotent, "timeout_ms": 3000}
    if len(values) > 3:
        spec["importance"] = values[3][1][0]
    run.fleet.add_route(name, service, **spec)
    run.last_revision = run.fleet.table.revision


def _add_upstreams(run: ScenarioRun, values: list[Any]) -> None:
    service, domain = values[0], values[1]
    slots, service_s = int(values[2]), float(values[3]) / 1000
    for host in list(run.fleet.hosts):
        if host.startswith(f"{domain}-"):
            run.fleet.add_upstream(
                host, f"{service}-{host}", service, slots=slots, service_s=service_s
            )


DECLARATIONS: dict[str, Callable[[ScenarioRun, list[Any]], None]] = {
    "hosts": _add_hosts,
    "workspace": _add_workspace,
    "route": _add_route,
    "upstreams": _add_upstreams,
}


@register_action("load")
def start_load(run: ScenarioRun, values: list[Any]) -> None:
    """Send requests at exponentially distributed intervals for a duration."""
    workspace, rate = values[0], float(values[1])
    target, duration, route = values[2], float(values[3]), values[4]
    key_mode = values[5][0] if len(values) > 5 else ""
    ends_at = run.fleet.now + duration
    run.ends_at = max(run.ends_at, ends_at)

    def send() -> None:
        if run.fleet.now >= ends_at:
            return
        _send_request(run, workspace, target, route, key_mode)
        run.fleet.after(run.fleet.random.expovariate(rate), send)

    send()


def _send_request(
    run: ScenarioRun, workspace: str, target: Any, route: str, key_mode: str
) -> None:
    fleet = run.fleet
    available = [
        n for n, h in fleet.hosts.items() if not h.frozen and n not in run.stopping
    ]
    hosts = available if target[0] == "every_host" else [run.get_host_id(target[1][0])]
    if not hosts:
        return
    run.last_key_number += 1
    key = f"key-{run.last_key_number}" if key_mode else ""
    times = 2 if key_mode == "twice" else 1
    for attempt in range(times):
        host = fleet.random.choice(hosts)
        delay_s = attempt * fleet.random.random()
        fleet.after(
            delay_s,
            lambda h=host: _send_request_to(run, h, workspace, route, key),  # type: ignore[misc]
        )


def _send_request_to(
    run: ScenarioRun, host: str, workspace: str, route: str, key: str
) -> None:
    if run.get_host_id(host) not in run.fleet.hosts:
        return
    name = run.fleet.request(
        host, f"/{route}", secret=run.secrets[workspace], idempotency_key=key
    )
    run.sent.append(SentRequest(name, run.fleet.now, workspace, route, key))


def _resolve_host(run: ScenarioRun, selector: Any) -> str:
    kind, values = selector
    if kind == "named_host":
        return str(values[0])
    for name, host in run.fleet.hosts.items():
        held = host.state.allotments_by_workspace.get(values[0])
        if held and not host.frozen:
            return name
    raise AssertionError(f"no running host holds an allotment of {values[0]}")


@register_action("freeze")
def freeze_host(run: ScenarioRun, values: list[Any]) -> None:
    """Suspend a host's process."""
    run.fleet.freeze(_resolve_host(run, values[0]))


@register_action("thaw")
def thaw_hosts(run: ScenarioRun, values: list[Any]) -> None:
    """Resume all frozen hosts."""
    for name, host in list(run.fleet.hosts.items()):
        if host.frozen:
            run.fleet.thaw(name)


@register_action("kill")
def kill_host(run: ScenarioRun, values: list[Any]) -> None:
    """Kill a host's process."""
    name = _resolve_host(run, values[0])
    run.killed.append(run.fleet.hosts[run.get_host_id(name)])
    run.fleet.kill(name)


@register_action("restart")
def restart_hosts(run: ScenarioRun, values: list[Any]) -> None:
    """Restart the killed hosts as new incarnations that keep their upstreams."""
    for killed_host in run.killed:
        state = killed_host.state
        host = run.fleet.add_host(
            state.host,
            state.failure_domain,
            incarnation=state.incarnation + 1,
            seeds=tuple(each.state.address for each in run.fleet.hosts.values()),
        )
        for name, upstream in killed_host.upstreams.items():
            upstream.running.clear()
            upstream.queued.clear()
            host.upstreams[name] = upstream
            run.fleet.announce(host, name)
    run.killed.clear()


@register_action("stop")
def stop_host(run: ScenarioRun, values: list[Any]) -> None:
    """Request a graceful shutdown of a host."""
    run.stopping[values[0]] = run.fleet.hosts[run.get_host_id(values[0])]
    run.fleet.stop(values[0])


@register_action("leave")
def deregister_upstreams(run: ScenarioRun, values: list[Any]) -> None:
    """Deregister a host's upstreams."""
    run.fleet.leave(values[0])


@register_action("cut")
def partition_domains(run: ScenarioRun, values: list[Any]) -> None:
    """Partition two failure domains from each other."""
    run.fleet.partition(values[0], values[1])


@register_action("cut_table")
def partition_table(run: ScenarioRun, values: list[Any]) -> None:
    """Partition a failure domain from the platform's table."""
    run.fleet.domains_without_table.add(values[0])


@register_action("heal")
def heal_partitions(run: ScenarioRun, values: list[Any]) -> None:
    """End all network partitions."""
    run.fleet.heal()


@register_action("table_down")
def disable_table(run: ScenarioRun, values: list[Any]) -> None:
    """Make the platform's table unavailable to all hosts."""
    run.fleet.table_down = True


@register_action("table_up")
def enable_table(run: ScenarioRun, values: list[Any]) -> None:
    """Make the platform's table available again."""
    run.fleet.table_down = False


@register_action("lose")
def lose_responses(run: ScenarioRun, values: list[Any]) -> None:
    """Lose the responses of the next commits, whose writes still take effect."""
    run.fleet.responses_to_lose = int(values[0])


@register_action("set_rate")
def set_rate(run: ScenarioRun, values: list[Any]) -> None:
    """Change a workspace's rate and burst."""
    name, rate, burst = values[0], float(values[1]), float(values[2])
    run.rates[name].append((run.fleet.now, rate, burst))
    spec: dict[str, object] = {"rate": rate, "burst": burst}
    run.last_revision = run.fleet.write(Kind.WORKSPACE, name, spec)


@register_action("withdraw")
def delete_key(run: ScenarioRun, values: list[Any]) -> None:
    """Delete a workspace's API key."""
    run.last_revision = run.fleet.write(Kind.KEY, values[0], None)


def _list_upstreams(run: ScenarioRun, host: str) -> list[Any]:
    return list(run.fleet.hosts[run.get_host_id(host)].upstreams.values())


@register_action("break_upstream")
def break_upstreams(run: ScenarioRun, values: list[Any]) -> None:
    """Make a host's upstreams run requests whose responses are then lost."""
    for upstream in _list_upstreams(run, values[0]):
        upstream.breaks_responses = True


@register_action("mend_upstream")
def clear_upstream_faults(run: ScenarioRun, values: list[Any]) -> None:
    """Clear the faults of a host's upstreams."""
    for upstream in _list_upstreams(run, values[0]):
        upstream.breaks_responses = False
        upstream.frozen = False


@register_action("freeze_upstream")
def freeze_upstreams(run: ScenarioRun, values: list[Any]) -> None:
    """Make a host's upstreams accept requests and never respond."""
    for upstream in _list_upstreams(run, values[0]):
        upstream.frozen = True
