"""Control messages and table answers: hands each to the module it is for."""

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
    TransactSettled,
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
SettledHandler = Callable[[NodeState, TransactSettled, float], Effects]

_ROWS_HANDLERS: dict[Purpose, RowsHandler] = {
    Purpose.ALLOTMENTS: leasing.take_rows,
    Purpose.CONFIG_ITEMS: configuration.take_config_rows,
}
_SETTLED_HANDLERS: dict[Purpose, SettledHandler] = {
    Purpose.ALLOTMENTS: leasing.settle_leases,
    Purpose.CLAIM: hosting.settle_claim,
}


@handles(ControlReceived)
def take_control(state: NodeState, event: ControlReceived, now: float) -> Effects:
    """Take in a control message from a peer."""
    peer, message = event.envelope
    match message:
        case GossipRequest():
            return gossip.answer_gossip(state, peer, message, now)
        case GossipReply():
            return _take_gossip_reply(state, event, message, now)
        case RecordPush():
            return gossip.take_records(state, message, now)
        case ConfigPush():
            return configuration.take_push(state, message, now)
        case TokenRequest():
            return tokens.lend_tokens(state, peer, message, now)
        case TokenReport():
            tokens.take_report(state, peer, message, now)
            return []
        case TokenReply():
            news = tokens.take_reply(state, peer, message, event.asked_at, now)
            return entry.apply_token_news(state, news, now)
        case AppliedReport():
            return configuration.take_applied(state, peer, message)
        case StatusRequest():
            return configuration.answer_status(state, peer, message)
        case StatusReply():
            return configuration.take_status(state, message, now)


def _take_gossip_reply(
    state: NodeState, event: ControlReceived, reply: GossipReply, now: float
) -> Effects:
    effects = gossip.take_gossip(state, event.envelope.peer, reply, now)
    effects += configuration.apply_items(
        state, reply.base, reply.revision, reply.items, now
    )
    current = state.directory.revision >= reply.revision
    if reply.confirmed_age_s is not None and current:
        state.directory.confirm(event.asked_at - reply.confirmed_age_s)
        state.lifecycle.serve()
    return effects


@handles(ControlFailed)
def take_control_failure(state: NodeState, event: ControlFailed, now: float) -> Effects:
    """Note that a peer has not answered in time."""
    effects = gossip.note_failure(state, event.peer, now)
    for news in tokens.note_lender_failure(state, event.peer, now):
        effects += entry.apply_token_news(state, news, now)
    return effects


@handles(RowsRead)
def take_rows(state: NodeState, event: RowsRead, now: float) -> Effects:
    """Take in rows of the platform's table."""
    handler = _ROWS_HANDLERS.get(event.ticket.purpose)
    return [] if handler is None else handler(state, event, now)


@handles(TransactSettled)
def take_settled(state: NodeState, event: TransactSettled, now: float) -> Effects:
    """Take in the end of a transaction."""
    handler = _SETTLED_HANDLERS.get(event.ticket.purpose)
    return [] if handler is None else handler(state, event, now)
