"""Brings configuration changes from the platform's table into force on every node.

A few nodes of each failure domain read the table; the others learn from peers. Each
node tells the readers of its failure domain which revision it has in force.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderway_core import entry, gossip, leasing
from lavenderway_core.effects import Log, Part, ReadRows, SendControl
from lavenderway_core.events import ConfigWritten, RowsRead
from lavenderway_core.ids import FailureDomainId, HostId, Revision
from lavenderway_core.membership import HostRecord, rendezvous_score
from lavenderway_core.messages import (
    AppliedReport,
    ConfigPush,
    StatusReply,
    StatusRequest,
)
from lavenderway_core.reducer import Effects, handles
from lavenderway_core.resources import Item, Kind
from lavenderway_core.table import Purpose, Row, Ticket

if TYPE_CHECKING:
    from lavenderway_core.state import NodeState

CONFIG_PREFIX = "config/"
POLL_INTERVAL_S = 1.0
READERS_PER_DOMAIN = 2
REPORT_INTERVAL_S = 10.0
STATUS_INTERVAL_S = 0.5
STATUS_WANTED_S = 5.0
MAX_BEHIND = 8
_KINDS = {kind.value: kind for kind in Kind}


def tick_config(state: NodeState, now: float) -> Effects:
    """Poll the table if it is this node's part, and report what is in force."""
    effects: Effects = []
    if now >= state.config.next_poll and not state.config.reading:
        effects += _poll(state, now)
    if state.directory.configured and now >= state.config.next_report:
        effects += _report(state, now)
    if now < state.config.status_wanted_until and now >= state.config.next_status:
        state.config.next_status = now + STATUS_INTERVAL_S
        effects += _ask_status(state, now)
    return effects


def want_status(state: NodeState, now: float) -> None:
    """Have the status of all failure domains kept up to date for a while."""
    state.config.status_wanted_until = now + STATUS_WANTED_S


def take_config_rows(state: NodeState, event: RowsRead, now: float) -> Effects:
    """Apply the changed rows of a poll."""
    state.config.reading = False
    if event.rows is None:
        return []
    base = state.directory.revision
    items = tuple(item for row in event.rows if (item := parse_item(row)))
    revision = max((item.revision for item in items), default=base)
    effects = apply_items(state, base, revision, items, now)
    state.directory.confirm(event.asked_at)
    state.lifecycle.serve()
    return effects


@handles(ConfigWritten)
def take_written(state: NodeState, event: ConfigWritten, now: float) -> Effects:
    """Read the table at once after a write of this node."""
    state.config.next_poll = now
    return _poll(state, now) if not state.config.reading else []


def apply_items(
    state: NodeState,
    base: Revision,
    revision: Revision,
    items: tuple[Item, ...],
    now: float,
) -> Effects:
    """Put changes into force and pass them on."""
    before = state.directory.revision
    changed = state.directory.apply(base, revision, items)
    if state.directory.revision == before:
        return []
    fields: dict[str, object] = {"revision": revision, "changes": len(changed)}
    effects: Effects = [Log(Part.CONFIG, "Put a revision into force.", fields)]
    effects += leasing.apply_rates(state, now)
    effects += entry.cut_withdrawn(state, now)
    push = ConfigPush(before, revision, tuple(state.directory.items_since(before)))
    effects += gossip.push_config(state, push)
    state.config.next_report = now
    return effects


def take_push(state: NodeState, push: ConfigPush, now: float) -> Effects:
    """Apply a change that a peer has pushed."""
    return apply_items(state, push.base, push.revision, push.items, now)


def take_applied(state: NodeState, peer: HostId, report: AppliedReport) -> Effects:
    """Note which revision a host has in force."""
    state.config.applied[peer] = report.revision
    return []


def answer_status(state: NodeState, peer: HostId, request: StatusRequest) -> Effects:
    """Answer with the state of this failure domain."""
    record = state.members.records.get(peer)
    if record is None:
        return []
    reply = domain_status(state, request.number)
    return [SendControl(peer, record.address, reply)]


def take_status(state: NodeState, reply: StatusReply, now: float) -> Effects:
    """Keep the status of a failure domain."""
    state.config.domains[reply.failure_domain] = (reply, now)
    return []


def domain_status(state: NodeState, number: int) -> StatusReply:
    """Return the state of the configuration in this failure domain."""
    hosts = [
        record.host
        for record in state.members.records.values()
        if record.failure_domain == state.failure_domain and record.reachable
    ]
    applied = {host: _applied(state, host) for host in hosts}
    lowest = min(applied.values(), default=state.directory.revision)
    behind = [host for host, revision in applied.items() if revision == lowest]
    if lowest == state.directory.revision:
        behind = []
    return StatusReply(
        number, state.failure_domain, lowest, len(hosts), tuple(behind[:MAX_BEHIND])
    )


def readers(state: NodeState, domain: FailureDomainId) -> list[HostRecord]:
    """Return the hosts of a failure domain that read the table."""
    hosts = [
        record
        for record in state.members.records.values()
        if record.failure_domain == domain and record.reachable
    ]
    hosts.sort(key=lambda r: rendezvous_score("config-reader", r.host), reverse=True)
    return hosts[:READERS_PER_DOMAIN]


def parse_item(row: Row) -> Item | None:
    """Return the resource in a row of the table, None when malformed."""
    kind, _, name = row.key.removeprefix(CONFIG_PREFIX).partition("/")
    document = row.value.get("spec")
    if kind not in _KINDS or not (document is None or isinstance(document, dict)):
        return None
    return Item(_KINDS[kind], name, Revision(row.version), document)


def row_key(kind: Kind, name: str) -> str:
    """Return the key of the row of a resource."""
    return f"{CONFIG_PREFIX}{kind.value}/{name}"


def _applied(state: NodeState, host: HostId) -> Revision:
    if host == state.host:
        return state.directory.revision
    return state.config.applied.get(host, Revision(0))


def _poll(state: NodeState, now: float) -> Effects:
    state.config.next_poll = now + POLL_INTERVAL_S
    if state.directory.configured and not _is_reader(state):
        return []
    state.config.reading = True
    return [
        ReadRows(
            Ticket(Purpose.CONFIG_ITEMS), CONFIG_PREFIX, int(state.directory.revision)
        )
    ]


def _is_reader(state: NodeState) -> bool:
    own = readers(state, state.failure_domain)
    return any(record.host == state.host for record in own)


def _report(state: NodeState, now: float) -> Effects:
    state.config.next_report = now + REPORT_INTERVAL_S
    report = AppliedReport(state.directory.revision)
    return [
        SendControl(record.host, record.address, report)
        for record in readers(state, state.failure_domain)
        if record.host != state.host
    ]


def _ask_status(state: NodeState, now: float) -> Effects:
    effects: Effects = []
    for domain in state.members.domains():
        for record in readers(state, domain)[:1]:
            if record.host == state.host:
                reply = domain_status(state, 0)
                state.config.domains[domain] = (reply, now)
                continue
            request = StatusRequest(state.take_control_number())
            effects.append(SendControl(record.host, record.address, request))
    return effects
