"""Gossip of membership and configuration between nodes, with failure detection.

Each gossip request also probes the peer. A peer that misses several replies becomes
suspect and, unless it refutes this in time, is declared dead.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lavenderway_core.effects import Component, Log, SendControl
from lavenderway_core.ids import HostId
from lavenderway_core.membership import HostRecord, HostState
from lavenderway_core.messages import ConfigPush, GossipReply, GossipRequest, RecordPush

if TYPE_CHECKING:
    from lavenderway_core.configuration_store import ConfigurationStore
    from lavenderway_core.reducer import Effects
    from lavenderway_core.state import NodeState

GOSSIP_INTERVAL_S = 1.0
ANNOUNCE_FANOUT = 3
CONFIG_PUSH_FANOUT = 3
MAX_RECORDS_PER_BATCH = 16
FAILED_PROBES_TO_SUSPECT = 2
SUSPECT_TIMEOUT_S = 5.0
NON_MEMBER_RETENTION_S = 3600.0
JOIN_ROUNDS = 30
RECONNECT_INTERVAL_ROUNDS = 10
UNKNOWN_HOST = HostId("")
LOWEST_VERSION = (0, 0, 0)


def tick_gossip(state: NodeState, now: float) -> Effects:
    """Run a gossip round when one is due.

    A round sends a request to a random peer, if possible to one whose last probe
    failed. The first rounds, and later ones at intervals, send a second request to a
    seed whose address is in no record or, at intervals, to a dead host. This merges
    groups of hosts again after a partition.
    """
    if now < state.gossip.next_round_at:
        return []
    state.gossip.next_round_at = now + GOSSIP_INTERVAL_S
    state.gossip.rounds += 1
    effects = _expire_suspects(state, now)
    _remove_non_members(state, now)
    peers = state.members.peers()
    if peers:
        effects += _send_request(state, _choose_peer(state, peers))
    joining = state.gossip.rounds <= JOIN_ROUNDS
    reconnect_due = state.gossip.rounds % RECONNECT_INTERVAL_ROUNDS == 0
    pool = _unknown_seeds(state) if joining or reconnect_due else []
    if reconnect_due:
        pool += _dead_hosts(state)
    return effects + _request_non_member(state, pool)


def announce(state: NodeState) -> Effects:
    """Send a changed record of this host to a few random peers at once."""
    state.gossip.transmits_left[state.host] = _transmit_limit(state)
    peers = state.members.peers()
    chosen = state.random.sample(peers, min(ANNOUNCE_FANOUT, len(peers)))
    effects: Effects = []
    for peer in chosen:
        effects += _send_request(state, peer)
    return effects


def handle_gossip_request(
    state: NodeState, peer: HostId, request: GossipRequest, now: float
) -> Effects:
    """Merge a peer's records; reply with the records and items that it is missing."""
    effects = _merge_records(state, request.records, now)
    configuration_store = state.configuration_store
    items = configuration_store.items_since(request.revision)
    buckets = state.members.differing_buckets(request.digest)
    records = state.members.records_in_buckets(buckets)
    if len(records) > MAX_RECORDS_PER_BATCH:
        records = state.random.sample(records, MAX_RECORDS_PER_BATCH)
    reply = GossipReply(
        request_number=request.request_number,
        base=request.revision,
        revision=configuration_store.revision,
        confirmed_age_s=_confirmed_age(configuration_store, now),
        items=tuple(items),
        records=(*records, *(_take_updates(state) if buckets else ())),
        buckets=tuple(buckets),
    )
    record = state.members.records.get(peer)
    if record is not None:
        effects.append(SendControl(peer, record.address, reply))
    return effects


def handle_gossip_reply(
    state: NodeState, peer: HostId, reply: GossipReply, now: float
) -> Effects:
    """Merge the records of a reply and push those that the peer is missing."""
    state.gossip.failed_probes.pop(peer, None)
    if not reply.buckets:  # the peer has the same records
        state.gossip.transmits_left.clear()
    effects = _merge_records(state, reply.records, now)
    peer_versions = {record.host: record.version for record in reply.records}
    missing = [
        record
        for record in state.members.records_in_buckets(reply.buckets)
        if record.version > peer_versions.get(record.host, LOWEST_VERSION)
    ]
    target = state.members.records.get(peer)
    if missing and target is not None:
        push = RecordPush(tuple(missing[:MAX_RECORDS_PER_BATCH]))
        effects.append(SendControl(peer, target.address, push))
    return effects


def handle_record_push(state: NodeState, push: RecordPush, now: float) -> Effects:
    """Merge records that a peer has found to be missing on this node."""
    return _merge_records(state, push.records, now)


def push_config(state: NodeState, message: ConfigPush) -> Effects:
    """Push a configuration change to a few random peers at once."""
    peers = state.members.peers()
    chosen = state.random.sample(peers, min(CONFIG_PUSH_FANOUT, len(peers)))
    return [SendControl(peer.host, peer.address, message) for peer in chosen]


def record_probe_failure(state: NodeState, peer: HostId, now: float) -> Effects:
    """Count a probe without a reply; probe the peer again or declare it suspect."""
    known = state.members.records.get(peer)
    if known is None or not known.is_member:
        return []
    state.gossip.failed_probes[peer] += 1
    if state.gossip.failed_probes[peer] < FAILED_PROBES_TO_SUSPECT:
        return _send_request(state, known)
    record = state.members.declare_state(peer, HostState.SUSPECT)
    if record is None:
        return []
    state.gossip.suspect_since[peer] = now
    state.gossip.transmits_left[peer] = _transmit_limit(state)
    return [Log(Component.MEMBERS, "Suspected a host of failure.", {"host": peer})]


def _expire_suspects(state: NodeState, now: float) -> Effects:
    effects: Effects = []
    for host, record in list(state.members.records.items()):
        if record.state is not HostState.SUSPECT:
            state.gossip.suspect_since.pop(host, None)
            continue
        since = state.gossip.suspect_since.setdefault(host, now)
        if now - since < SUSPECT_TIMEOUT_S:
            continue
        state.members.declare_state(host, HostState.DEAD)
        state.gossip.transmits_left[host] = _transmit_limit(state)
        effects.append(Log(Component.MEMBERS, "Declared a host dead.", {"host": host}))
    return effects


def _remove_non_members(state: NodeState, now: float) -> None:
    non_member_since = state.gossip.non_member_since
    for host, record in list(state.members.records.items()):
        if record.is_member or host == state.host:
            non_member_since.pop(host, None)
        elif now - non_member_since.setdefault(host, now) > NON_MEMBER_RETENTION_S:
            state.members.remove(host)
            del non_member_since[host]


def _choose_peer(state: NodeState, peers: list[HostRecord]) -> HostRecord:
    failing = [peer for peer in peers if peer.host in state.gossip.failed_probes]
    return state.random.choice(failing or peers)


def _send_request(state: NodeState, peer: HostRecord) -> Effects:
    return [SendControl(peer.host, peer.address, _build_request(state))]


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


def _request_non_member(state: NodeState, pool: list[tuple[HostId, str]]) -> Effects:
    """Send a request to a seed or a dead host, to rejoin a partitioned group.

    The request includes the record of this host, which the other side may not know.
    """
    if not pool:
        return []
    host, address = state.random.choice(pool)
    request = _build_request(state)
    with_own = (*request.records, state.members.own)
    return [SendControl(host, address, request._replace(records=with_own))]


def _build_request(state: NodeState) -> GossipRequest:
    return GossipRequest(
        request_number=state.allocate_control_number(),
        revision=state.configuration_store.revision,
        digest=state.members.digest,
        records=_take_updates(state),
    )


def _take_updates(state: NodeState) -> tuple[HostRecord, ...]:
    """Return changed records to send and count this transmission of each.

    A record is sent a limited number of times, the least often sent first.
    """
    chosen = [
        host
        for host, _ in state.gossip.transmits_left.most_common(MAX_RECORDS_PER_BATCH)
    ]
    for host in chosen:
        state.gossip.transmits_left[host] -= 1
        if state.gossip.transmits_left[host] <= 0:
            del state.gossip.transmits_left[host]
    found = (state.members.records.get(host) for host in chosen)
    return tuple(record for record in found if record is not None)


def _merge_records(
    state: NodeState, records: tuple[HostRecord, ...], now: float
) -> Effects:
    effects: Effects = []
    for record in records:
        known = state.members.records.get(record.host)
        if known is None and not record.is_member:
            continue
        if not state.members.merge(record):
            continue
        state.gossip.transmits_left[record.host] = _transmit_limit(state)
        if known is None or known.state is not record.state:
            fields: dict[str, object] = {
                "host": record.host,
                "state": record.state.name.lower(),
            }
            effects.append(
                Log(Component.MEMBERS, "Learned the state of a host.", fields)
            )
        if known is not None and record.is_member:
            _discard_removed_upstreams(state, known, record)
    return effects


def _discard_removed_upstreams(
    state: NodeState, known: HostRecord, record: HostRecord
) -> None:
    kept = {each.upstream for each in record.upstreams}
    for each in known.upstreams:
        if each.upstream not in kept:
            state.load_balancer.remove(each.upstream)


def _confirmed_age(configuration_store: ConfigurationStore, now: float) -> float | None:
    if configuration_store.confirmed_at is None:
        return None
    return max(0.0, now - configuration_store.confirmed_at)


def _transmit_limit(state: NodeState) -> int:
    return math.ceil(math.log2(len(state.members.records) + 1)) + 2
