"""Dispatch of control messages and table results to their handlers."""

from __future__ import annotations

from collections.abc import Callable

from lavenderway_core import (
    configuration,
    entry,
    gossip,
    hosting,
    leasing,
    tokens,
)
from lavenderway_core.events import (
    ControlFailed,
    ControlReceived,
    RowsRead,
    TransactionCompleted,
)
from lavenderway_core.messages import (
    AppliedReport,
    ConfigPush,
    GossipReply,
    GossipRequest,
    RecordPush,
    StatusReply,
    StatusRequest,
    TokenReply,
    TokenReport,
    TokenRequest,
)
from lavenderway_core.reducer import Effects, handles
from lavenderway_core.state import NodeState
from lavenderway_core.table import Purpose

RowsHandler = Callable[[NodeState, RowsRead, float], Effects]
TransactionHandler = Callable[[NodeState, TransactionCompleted, float], Effects]

_ROWS_HANDLERS: dict[Purpose, RowsHandler] = {
    Purpose.ALLOTMENTS: leasing.handle_allotment_rows,
    Purpose.CONFIG_ITEMS: configuration.handle_config_rows,
}
_TRANSACTION_HANDLERS: dict[Purpose, TransactionHandler] = {
    Purpose.ALLOTMENTS: leasing.handle_allotment_transaction,
    Purpose.CLAIM: hosting.handle_claim_settled,
}


@handles(ControlReceived)
def handle_control(state: NodeState, event: ControlReceived, now: float) -> Effects:
    """Dispatch a control message from a peer by its type."""
    peer, message = event.envelope
    match message:
        case GossipRequest():
            return gossip.handle_gossip_request(state, peer, message, now)
        case GossipReply():
            return _handle_gossip_reply(state, event, message, now)
        case RecordPush():
            return gossip.handle_record_push(state, message, now)
        case ConfigPush():
            return configuration.handle_config_push(state, message, now)
        case TokenRequest():
            return tokens.handle_token_request(state, peer, message, now)
        case TokenReport():
            tokens.handle_token_report(state, peer, message, now)
            return []
        case TokenReply():
            update = tokens.handle_token_reply(
                state, peer, message, event.requested_at, now
            )
            return entry.apply_token_update(state, update, now)
        case AppliedReport():
            return configuration.handle_applied_report(state, peer, message)
        case StatusRequest():
            return configuration.handle_status_request(state, peer, message)
        case StatusReply():
            return configuration.handle_status_reply(state, message, now)


def _handle_gossip_reply(
    state: NodeState, event: ControlReceived, reply: GossipReply, now: float
) -> Effects:
    effects = gossip.handle_gossip_reply(state, event.envelope.peer, reply, now)
    effects += configuration.apply_items(
        state, reply.base, reply.revision, reply.items, now
    )
    current = state.configuration_store.revision >= reply.revision
    if reply.confirmed_age_s is not None and current:
        state.configuration_store.confirm(event.requested_at - reply.confirmed_age_s)
        state.lifecycle.serve()
    return effects


@handles(ControlFailed)
def handle_control_failure(
    state: NodeState, event: ControlFailed, now: float
) -> Effects:
    """Handle a control request to which a peer has not replied in time."""
    effects = gossip.record_probe_failure(state, event.peer, now)
    for update in tokens.record_lender_failure(state, event.peer, now):
        effects += entry.apply_token_update(state, update, now)
    return effects


@handles(RowsRead)
def handle_rows(state: NodeState, event: RowsRead, now: float) -> Effects:
    """Dispatch rows read from the platform's table by their purpose."""
    handler = _ROWS_HANDLERS.get(event.tag.purpose)
    return [] if handler is None else handler(state, event, now)


@handles(TransactionCompleted)
def handle_transaction_result(
    state: NodeState, event: TransactionCompleted, now: float
) -> Effects:
    """Dispatch the result of a table transaction by its purpose."""
    handler = _TRANSACTION_HANDLERS.get(event.tag.purpose)
    return [] if handler is None else handler(state, event, now)
