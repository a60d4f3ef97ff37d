"""Distribution of configuration changes from the platform's table to every node.

A few nodes of each failure domain, the readers, poll the table; the others receive
changes from peers by gossip. Each node reports the revision it has applied to the
readers of its failure domain.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderway_core import entry, gossip, leasing
from lavenderway_core.effects import Component, Log, ReadRows, SendControl
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
from lavenderway_core.table import OperationTag, Purpose, Row

if TYPE_CHECKING:
    from lavenderway_core.state import NodeState

CONFIG_KEY_PREFIX = "config/"
TABLE_POLL_INTERVAL_S = 1.0
READERS_PER_DOMAIN = 2
REVISION_REPORT_INTERVAL_S = 10.0
STATUS_REQUEST_INTERVAL_S = 0.5
STATUS_REFRESH_DURATION_S = 5.0
MAX_LISTED_LAGGING_HOSTS = 8
_KINDS_BY_NAME = {kind.value: kind for kind in Kind}


def tick_config(state: NodeState, now: float) -> Effects:
    """Poll the table, report the applied revision and request status when due."""
    effects: Effects = []
    if now >= state.config.next_poll_at and not state.config.poll_in_flight:
        effects += _poll_table(state, now)
    if state.configuration_store.configured and now >= state.config.next_report_at:
        effects += _report_revision(state, now)
    if now < state.config.status_updates_until and now >= state.config.next_status_at:
        state.config.next_status_at = now + STATUS_REQUEST_INTERVAL_S
        effects += _request_status(state, now)
    return effects


def request_status_updates(state: NodeState, now: float) -> None:
    """Request the status of all failure domains regularly for a limited time."""
    state.config.status_updates_until = now + STATUS_REFRESH_DURATION_S


def handle_config_rows(state: NodeState, event: RowsRead, now: float) -> Effects:
    """Apply the rows that a poll of the table has returned."""
    state.config.poll_in_flight = False
    if event.rows is None:
        return []
    base = state.configuration_store.revision
    items = tuple(item for row in event.rows if (item := parse_item(row)))
    revision = max((item.revision for item in items), default=base)
    effects = apply_items(state, base, revision, items, now)
    state.configuration_store.confirm(event.requested_at)
    state.lifecycle.serve()
    return effects


@handles(ConfigWritten)
def handle_config_written(
    state: NodeState, event: ConfigWritten, now: float
) -> Effects:
    """Poll the table at once after this node has written a configuration change."""
    state.config.next_poll_at = now
    return _poll_table(state, now) if not state.config.poll_in_flight else []


def apply_items(
    state: NodeState,
    base: Revision,
    revision: Revision,
    items: tuple[Item, ...],
    now: float,
) -> Effects:
    """Apply changes to configuration, allotments and exchanges; push them to peers."""
    before = state.configuration_store.revision
    changed = state.configuration_store.apply(base, revision, items)
    if state.configuration_store.revision == before:
        return []
    fields: dict[str, object] = {"revision": revision, "changes": len(changed)}
    effects: Effects = [
        Log(Component.CONFIG, "Applied a configuration revision.", fields)
    ]
    effects += leasing.apply_rate_change(state, now)
    effects += entry.cancel_exchanges_of_withdrawn_keys(state, now)
    push = ConfigPush(
        before, revision, tuple(state.configuration_store.items_since(before))
    )
    effects += gossip.push_config(state, push)
    state.config.next_report_at = now
    return effects


def handle_config_push(state: NodeState, push: ConfigPush, now: float) -> Effects:
    """Apply a configuration change that a peer has pushed."""
    return apply_items(state, push.base, push.revision, push.items, now)


def handle_applied_report(
    state: NodeState, peer: HostId, report: AppliedReport
) -> Effects:
    """Record the revision that a host has applied."""
    state.config.applied_revisions[peer] = report.revision
    return []


def handle_status_request(
    state: NodeState, peer: HostId, request: StatusRequest
) -> Effects:
    """Reply to a peer with the configuration status of this failure domain."""
    record = state.members.records.get(peer)
    if record is None:
        return []
    reply = domain_status(state, request.request_number)
    return [SendControl(peer, record.address, reply)]


def handle_status_reply(state: NodeState, reply: StatusReply, now: float) -> Effects:
    """Store the configuration status of a failure domain."""
    state.config.domain_statuses[reply.failure_domain] = (reply, now)
    return []


def domain_status(state: NodeState, request_number: int) -> StatusReply:
    """Return the configuration status of this failure domain.

    Args:
        state: State of the node.
        request_number: Number of the request of this reply.

    """
    hosts = [
        record.host
        for record in state.members.records.values()
        if record.failure_domain == state.failure_domain and record.is_member
    ]
    applied = {host: _applied_revision(state, host) for host in hosts}
    lowest = min(applied.values(), default=state.configuration_store.revision)
    behind = [host for host, revision in applied.items() if revision == lowest]
    if lowest == state.configuration_store.revision:
        behind = []
    return StatusReply(
        request_number,
        state.failure_domain,
        lowest,
        len(hosts),
        tuple(behind[:MAX_LISTED_LAGGING_HOSTS]),
    )


def config_readers(state: NodeState, domain: FailureDomainId) -> list[HostRecord]:
    """Return the hosts of a failure domain that poll the table."""
    hosts = [
        record
        for record in state.members.records.values()
        if record.failure_domain == domain and record.is_member
    ]
    hosts.sort(key=lambda r: rendezvous_score("config-reader", r.host), reverse=True)
    return hosts[:READERS_PER_DOMAIN]


def parse_item(row: Row) -> Item | None:
    """Return the resource stored in a row, or None if the row is malformed."""
    kind, _, name = row.key.removeprefix(CONFIG_KEY_PREFIX).partition("/")
    document = row.value.get("spec")
    if kind not in _KINDS_BY_NAME or not (
        document is None or isinstance(document, dict)
    ):
        return None
    return Item(_KINDS_BY_NAME[kind], name, Revision(row.version), document)


def row_key(kind: Kind, name: str) -> str:
    """Return the row key of a resource in the table."""
    return f"{CONFIG_KEY_PREFIX}{kind.value}/{name}"


def _applied_revision(state: NodeState, host: HostId) -> Revision:
    if host == state.host:
        return state.configuration_store.revision
    return state.config.applied_revisions.get(host, Revision(0))


def _poll_table(state: NodeState, now: float) -> Effects:
    state.config.next_poll_at = now + TABLE_POLL_INTERVAL_S
    if state.configuration_store.configured and not _is_reader(state):
        return []
    state.config.poll_in_flight = True
    return [
        ReadRows(
            OperationTag(Purpose.CONFIG_ITEMS),
            CONFIG_KEY_PREFIX,
            int(state.configuration_store.revision),
        )
    ]


def _is_reader(state: NodeState) -> bool:
    readers = config_readers(state, state.failure_domain)
    return any(record.host == state.host for record in readers)


def _report_revision(state: NodeState, now: float) -> Effects:
    state.config.next_report_at = now + REVISION_REPORT_INTERVAL_S
    report = AppliedReport(state.configuration_store.revision)
    return [
        SendControl(record.host, record.address, report)
        for record in config_readers(state, state.failure_domain)
        if record.host != state.host
    ]


def _request_status(state: NodeState, now: float) -> Effects:
    effects: Effects = []
    for domain in state.members.domains():
        for record in config_readers(state, domain)[:1]:
            if record.host == state.host:
                reply = domain_status(state, 0)
                state.config.domain_statuses[domain] = (reply, now)
                continue
            request = StatusRequest(state.allocate_control_number())
            effects.append(SendControl(record.host, record.address, request))
    return effects
