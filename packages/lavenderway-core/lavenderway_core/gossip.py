"""Spreads membership and configuration between nodes, and detects failed hosts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lavenderway_core.effects import Log, Part, SendControl
from lavenderway_core.ids import HostId
from lavenderway_core.membership import HostRecord, HostState
from lavenderway_core.messages import ConfigPush, GossipReply, GossipRequest, RecordPush

if TYPE_CHECKING:
    from lavenderway_core.directory import Directory
    from lavenderway_core.reducer import Effects
    from lavenderway_core.state import NodeState

GOSSIP_INTERVAL_S = 1.0
GOSSIP_FANOUT = 3
PUSH_FANOUT = 3
MAX_RECORDS = 16
STRIKES_TO_SUSPECT = 2
SUSPECT_S = 5.0
ENDED_RETENTION_S = 3600.0
JOIN_ROUNDS = 30
REVIVAL_EVERY_ROUNDS = 10
UNKNOWN_HOST = HostId("")
NO_VERSION = (0, 0, 0)


def tick_gossip(state: NodeState, now: float) -> Effects:
    """Open an exchange with a random peer when one is due."""
    if now < state.gossip.next_round:
        return []
    state.gossip.next_round = now + GOSSIP_INTERVAL_S
    state.gossip.rounds += 1
    effects = _judge_suspects(state, now)
    _forget_ended(state, now)
    peers = state.members.peers()
    if peers:
        effects += _ask(state, _choose_peer(state, peers))
    joining = state.gossip.rounds <= JOIN_ROUNDS
    revives = state.gossip.rounds % REVIVAL_EVERY_ROUNDS == 0
    pool = _unknown_seeds(state) if joining or revives else []
    if revives:
        pool += _dead_hosts(state)
    return effects + _ask_outsider(state, pool)


def announce(state: NodeState) -> Effects:
    """Tell a few peers at once that the own record has changed."""
    state.gossip.rumours[state.host] = _rumour_rounds(state)
    peers = state.members.peers()
    chosen = state.random.sample(peers, min(GOSSIP_FANOUT, len(peers)))
    effects: Effects = []
    for peer in chosen:
        effects += _ask(state, peer)
    return effects


def answer_gossip(
    state: NodeState, peer: HostId, request: GossipRequest, now: float
) -> Effects:
    """Take in a peer's news and answer with what it lacks."""
    effects = _merge(state, request.records, now)
    directory = state.directory
    items = directory.items_since(request.revision)
    buckets = state.members.differing_buckets(request.digest)
    records = state.members.in_buckets(buckets)
    if len(records) > MAX_RECORDS:
        records = state.random.sample(records, MAX_RECORDS)
    reply = GossipReply(
        number=request.number,
        base=request.revision,
        revision=directory.revision,
        confirmed_age_s=_confirmed_age(directory, now),
        items=tuple(items),
        records=(*records, *(_take_rumours(state) if buckets else ())),
        buckets=tuple(buckets),
    )
    record = state.members.records.get(peer)
    if record is not None:
        effects.append(SendControl(peer, record.address, reply))
    return effects


def take_gossip(
    state: NodeState, peer: HostId, reply: GossipReply, now: float
) -> Effects:
    """Take in the records of a reply, and send back those that the peer lacks."""
    state.gossip.strikes.pop(peer, None)
    if not reply.buckets:  # the peer knows all of it already
        state.gossip.rumours.clear()
    effects = _merge(state, reply.records, now)
    told = {record.host: record.version for record in reply.records}
    lacked = [
        record
        for record in state.members.in_buckets(reply.buckets)
        if record.version > told.get(record.host, NO_VERSION)
    ]
    target = state.members.records.get(peer)
    if lacked and target is not None:
        push = RecordPush(tuple(lacked[:MAX_RECORDS]))
        effects.append(SendControl(peer, target.address, push))
    return effects


def take_records(state: NodeState, push: RecordPush, now: float) -> Effects:
    """Take in records that a peer found lacking here."""
    return _merge(state, push.records, now)


def push_config(state: NodeState, message: ConfigPush) -> Effects:
    """Pass a change of the configuration on to a few peers at once."""
    peers = state.members.peers()
    chosen = state.random.sample(peers, min(PUSH_FANOUT, len(peers)))
    return [SendControl(peer.host, peer.address, message) for peer in chosen]


def note_failure(state: NodeState, peer: HostId, now: float) -> Effects:
    """Count a probe without reply; suspect the peer after a second one."""
    held = state.members.records.get(peer)
    if held is None or not held.reachable:
        return []
    state.gossip.strikes[peer] += 1
    if state.gossip.strikes[peer] < STRIKES_TO_SUSPECT:
        return _ask(state, held)
    record = state.members.declare(peer, HostState.SUSPECT)
    if record is None:
        return []
    state.gossip.suspect_since[peer] = now
    state.gossip.rumours[peer] = _rumour_rounds(state)
    return [Log(Part.MEMBERS, "Suspects a host.", {"host": peer})]


def _judge_suspects(state: NodeState, now: float) -> Effects:
    effects: Effects = []
    for host, record in list(state.members.records.items()):
        if record.state is not HostState.SUSPECT:
            state.gossip.suspect_since.pop(host, None)
            continue
        since = state.gossip.suspect_since.setdefault(host, now)
        if now - since < SUSPECT_S:
            continue
        state.members.declare(host, HostState.DEAD)
        state.gossip.rumours[host] = _rumour_rounds(state)
        effects.append(Log(Part.MEMBERS, "Declared a host dead.", {"host": host}))
    return effects


def _forget_ended(state: NodeState, now: float) -> None:
    ended = state.gossip.ended_since
    for host, record in list(state.members.records.items()):
        if record.reachable or host == state.host:
            ended.pop(host, None)
        elif now - ended.setdefault(host, now) > ENDED_RETENTION_S:
            state.members.remove(host)
            del ended[host]


def _choose_peer(state: NodeState, peers: list[HostRecord]) -> HostRecord:
    struck = [peer for peer in peers if peer.host in state.gossip.strikes]
    return state.random.choice(struck or peers)


def _ask(state: NodeState, peer: HostRecord) -> Effects:
    return [SendControl(peer.host, peer.address, _request(state))]


def _unknown_seeds(state: NodeState) -> list[tuple[HostId, str]]:
    known = {record.address for record in state.members.records.values()}
    unknown = [seed for seed in state.gossip.seeds if seed not in known]
    return [(UNKNOWN_HOST, address) for address in unknown]


def _dead_hosts(state: NodeState) -> list[tuple[HostId, str]]:
    return [
        (record.host, record.address)
        for record in state.members.records.values()
        if record.state is HostState.DEAD and record.host != state.host
    ]


def _ask_outsider(state: NodeState, pool: list[tuple[HostId, str]]) -> Effects:
    """Ask a seed or a host that was declared dead, so that groups join again."""
    if not pool:
        return []
    host, address = state.random.choice(pool)
    request = _request(state)
    introduced = (*request.records, state.members.own)
    return [SendControl(host, address, request._replace(records=introduced))]


def _request(state: NodeState) -> GossipRequest:
    return GossipRequest(
        number=state.take_control_number(),
        revision=state.directory.revision,
        digest=state.members.digest,
        records=_take_rumours(state),
    )


def _take_rumours(state: NodeState) -> tuple[HostRecord, ...]:
    """Return changed records, the own one among them until the fleet knows it."""
    chosen = [host for host, _ in state.gossip.rumours.most_common(MAX_RECORDS)]
    for host in chosen:
        state.gossip.rumours[host] -= 1
        if state.gossip.rumours[host] <= 0:
            del state.gossip.rumours[host]
    found = (state.members.records.get(host) for host in chosen)
    return tuple(record for record in found if record is not None)


def _merge(state: NodeState, records: tuple[HostRecord, ...], now: float) -> Effects:
    effects: Effects = []
    for record in records:
        held = state.members.records.get(record.host)
        if held is None and not record.reachable:
            continue
        if not state.members.merge(record):
            continue
        state.gossip.rumours[record.host] = _rumour_rounds(state)
        if held is None or held.state is not record.state:
            fields: dict[str, object] = {
                "host": record.host,
                "state": record.state.name.lower(),
            }
            effects.append(Log(Part.MEMBERS, "Learned of a host.", fields))
        if held is not None and record.reachable:
            _forget_upstreams(state, held, record)
    return effects


def _forget_upstreams(state: NodeState, held: HostRecord, record: HostRecord) -> None:
    kept = {each.upstream for each in record.upstreams}
    for each in held.upstreams:
        if each.upstream not in kept:
            state.balancer.forget(each.upstream)


def _confirmed_age(directory: Directory, now: float) -> float | None:
    if directory.confirmed_at is None:
        return None
    return max(0.0, now - directory.confirmed_at)


def _rumour_rounds(state: NodeState) -> int:
    return math.ceil(math.log2(len(state.members.records) + 1)) + 2
