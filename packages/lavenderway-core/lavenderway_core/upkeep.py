"""Regular work of a node, announcements of its upstreams, and its planned stop."""

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
from lavenderway_core.effects import Log, Part, Stopped
from lavenderway_core.events import (
    StopRequested,
    Ticked,
    UpstreamAnnounced,
    UpstreamLeft,
)
from lavenderway_core.membership import HostState, UpstreamRecord
from lavenderway_core.reducer import Effects, handles
from lavenderway_core.state import LocalUpstream, NodeState

ANNOUNCEMENT_LIFETIME_S = 3.0


@handles(Ticked)
def tick(state: NodeState, event: Ticked, now: float) -> Effects:
    """Do what has become due."""
    effects = configuration.tick_config(state, now)
    effects += _drop_silent_upstreams(state, now)
    effects += leasing.tick_leases(state, now)
    effects += tokens.tick_loans(state, now)
    effects += gossip.tick_gossip(state, now)
    effects += entry.cut_withdrawn(state, now)
    if _publish_upstreams(state):
        effects += gossip.announce(state)
    if state.lifecycle.draining and _is_idle(state) and state.lifecycle.stop():
        effects.append(Stopped())
    return effects


@handles(UpstreamAnnounced)
def take_announcement(
    state: NodeState, event: UpstreamAnnounced, now: float
) -> Effects:
    """Add or renew an upstream of this host."""
    held = state.upstreams.get(event.upstream)
    if held is None or held.address != event.address:
        held = LocalUpstream(
            upstream=event.upstream,
            service=event.service,
            address=event.address,
            renewed_at=now,
            announced_draining=event.draining,
            admission=Admission(now=now),
        )
        state.upstreams[event.upstream] = held
    held.renewed_at = now
    held.service = event.service
    held.announced_draining = event.draining
    effects: Effects = []
    if hosting.is_draining(state, held):
        effects += hosting.refuse_waiting(state, held, now)
    if _publish_upstreams(state):
        effects += gossip.announce(state)
    return effects


@handles(UpstreamLeft)
def take_leave(state: NodeState, event: UpstreamLeft, now: float) -> Effects:
    """Take no new work for an upstream that leaves; what runs goes on."""
    held = state.upstreams.get(event.upstream)
    if held is None:
        return []
    held.announced_draining = True
    effects = hosting.refuse_waiting(state, held, now)
    if _publish_upstreams(state):
        effects += gossip.announce(state)
    return effects


@handles(StopRequested)
def begin_stop(state: NodeState, event: StopRequested, now: float) -> Effects:
    """Begin a planned stop: take no new jobs, finish what runs."""
    if not state.lifecycle.drain():
        return []
    effects: Effects = [Log(Part.LIFE, "Drains.", {"host": state.host})]
    for local in state.upstreams.values():
        effects += hosting.refuse_waiting(state, local, now)
    state.members.update_own(state=HostState.LEAVING, upstreams=())
    return effects + gossip.announce(state)


def _drop_silent_upstreams(state: NodeState, now: float) -> Effects:
    effects: Effects = []
    for local in list(state.upstreams.values()):
        if now - local.renewed_at <= ANNOUNCEMENT_LIFETIME_S:
            continue
        local.announced_draining = True
        effects += hosting.refuse_waiting(state, local, now)
        if not local.admission.running:
            del state.upstreams[local.upstream]
    return effects


def _publish_upstreams(state: NodeState) -> bool:
    if state.lifecycle.draining:
        return False
    records = tuple(
        UpstreamRecord(
            local.upstream, local.service, hosting.upstream_state(state, local)
        )
        for _, local in sorted(state.upstreams.items())
    )
    if records == state.members.own.upstreams:
        return False
    state.members.update_own(upstreams=records)
    return True


def _is_idle(state: NodeState) -> bool:
    return not state.exchanges and not state.jobs and not state.allotments
