"""Periodic tasks of a node, announcements of its upstreams, and graceful shutdown."""

from __future__ import annotations

from lavenderway_core import (
    configuration,
    entry,
    gossip,
    hosting,
    leasing,
    tokens,
)
from lavenderway_core.admission import Admission
from lavenderway_core.effects import Component, Log, Stopped
from lavenderway_core.events import (
    StopRequested,
    TimerTicked,
    UpstreamAnnounced,
    UpstreamLeft,
)
from lavenderway_core.membership import HostState, UpstreamRecord
from lavenderway_core.reducer import Effects, handles
from lavenderway_core.state import LocalUpstream, NodeState

ANNOUNCEMENT_LIFETIME_S = 3.0


@handles(TimerTicked)
def handle_tick(state: NodeState, event: TimerTicked, now: float) -> Effects:
    """Run the periodic tasks that are due."""
    effects = configuration.tick_config(state, now)
    effects += _drain_expired_upstreams(state, now)
    effects += leasing.tick_leases(state, now)
    effects += tokens.tick_loans(state, now)
    effects += gossip.tick_gossip(state, now)
    effects += entry.cancel_exchanges_of_withdrawn_keys(state, now)
    if _refresh_own_record(state):
        effects += gossip.announce(state)
    if state.lifecycle.draining and _is_idle(state) and state.lifecycle.stop():
        effects.append(Stopped())
    return effects


@handles(UpstreamAnnounced)
def handle_upstream_announced(
    state: NodeState, event: UpstreamAnnounced, now: float
) -> Effects:
    """Add an upstream of this host, or renew its announcement."""
    local = state.upstreams.get(event.upstream)
    if local is None or local.address != event.address:
        local = LocalUpstream(
            upstream=event.upstream,
            service=event.service,
            address=event.address,
            renewed_at=now,
            announced_draining=event.draining,
            admission=Admission(now=now),
        )
        state.upstreams[event.upstream] = local
    local.renewed_at = now
    local.service = event.service
    local.announced_draining = event.draining
    effects: Effects = []
    if hosting.is_draining(state, local):
        effects += hosting.refuse_queued(state, local, now)
    if _refresh_own_record(state):
        effects += gossip.announce(state)
    return effects


@handles(UpstreamLeft)
def handle_upstream_left(state: NodeState, event: UpstreamLeft, now: float) -> Effects:
    """Drain an upstream that leaves: refuse queued jobs, let running ones finish."""
    local = state.upstreams.get(event.upstream)
    if local is None:
        return []
    local.announced_draining = True
    effects = hosting.refuse_queued(state, local, now)
    if _refresh_own_record(state):
        effects += gossip.announce(state)
    return effects


@handles(StopRequested)
def handle_stop_requested(
    state: NodeState, event: StopRequested, now: float
) -> Effects:
    """Begin a graceful shutdown: refuse queued and new jobs, finish running ones."""
    if not state.lifecycle.drain():
        return []
    effects: Effects = [Log(Component.LIFECYCLE, "Drains.", {"host": state.host})]
    for local in state.upstreams.values():
        effects += hosting.refuse_queued(state, local, now)
    state.members.update_own(state=HostState.LEAVING, upstreams=())
    return effects + gossip.announce(state)


def _drain_expired_upstreams(state: NodeState, now: float) -> Effects:
    """Drain upstreams whose announcement has expired; remove those that are idle."""
    effects: Effects = []
    for local in list(state.upstreams.values()):
        if now - local.renewed_at <= ANNOUNCEMENT_LIFETIME_S:
            continue
        local.announced_draining = True
        effects += hosting.refuse_queued(state, local, now)
        if not local.admission.running:
            del state.upstreams[local.upstream]
    return effects


def _refresh_own_record(state: NodeState) -> bool:
    """Update the upstreams in this host's record; return whether they changed."""
    if state.lifecycle.draining:
        return False
    records = tuple(
        UpstreamRecord(
            local.upstream, local.service, hosting.announced_state(state, local)
        )
        for _, local in sorted(state.upstreams.items())
    )
    if records == state.members.own.upstreams:
        return False
    state.members.update_own(upstreams=records)
    return True


def _is_idle(state: NodeState) -> bool:
    return not state.exchanges and not state.jobs and not state.allotments
