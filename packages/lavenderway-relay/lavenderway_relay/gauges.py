"""Registers the gauges of a node, which show its present state."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from lavenderway_relay.memory_ledger import Purpose
from lavenderway_relay.view_age import View

if TYPE_CHECKING:
    import asyncio

    from lavenderway_relay.server import HttpServer
    from lavenderway_relay.state import NodeState
    from lavenderway_relay.upstream_runner import UpstreamRunner


def register_gauges(
    *,
    state: NodeState,
    upstream_runner: UpstreamRunner,
    caller_server: HttpServer,
    peer_server: HttpServer,
    loop: asyncio.AbstractEventLoop,
) -> None:
    """Register the gauges of a node with its metrics."""
    gauge = state.metrics.gauge
    gauge("caller_connections", lambda: float(len(caller_server.connections)))
    gauge("upstream_load", lambda: upstream_runner.load)
    gauge("admission_level", lambda: upstream_runner.level)
    gauge("upstream_limit_per_s", lambda: upstream_runner.limit_per_s)
    gauge("upstream_learned_limit", lambda: upstream_runner.learned_limit)
    gauge("upstream_cold", lambda: float(upstream_runner.cold))
    gauge("evacuated_domains", lambda: float(len(state.evacuations.domains)))
    gauge("config_version", lambda: float(state.config_version))
    gauge("roster_revision", lambda: float(state.host_registry.revision.version))
    gauge("lag_seconds", lambda: state.lag_s)
    gauge("ready", lambda: float(state.ready))
    gauge("shortage", lambda: float(state.admission.is_short(loop.time())))
    for view in View:
        gauge(
            f"{view.value}_age_seconds",
            partial(_read_age_s, state, view, loop),
        )
    for purpose in Purpose:
        gauge(f"held_{purpose.value}_bytes", partial(state.ledger.held_for, purpose))
    gauge("max_held_bytes", lambda: state.ledger.max_bytes)
    gauge("responses_waiting", lambda: float(state.response_budget.waiting))
    servers = (caller_server, peer_server)
    gauge("requests_waiting", lambda: float(sum(each.waiting for each in servers)))
    gauge("reads_waiting", lambda: float(sum(len(each.turns) for each in servers)))
    gauge("requests_pending", lambda: float(sum(each.tally.count for each in servers)))
    gauge(
        "unread_connections", lambda: float(sum(len(each.unread) for each in servers))
    )


def _read_age_s(state: NodeState, view: View, loop: asyncio.AbstractEventLoop) -> float:
    return state.view_ages.age_s(view, loop.time())
