"""Distributed rate limiting with token buckets and short loans between nodes.

A node spends tokens of its own allotments first and borrows from other holders when
they are used up. Tokens on loan count against the lender's burst until the borrower
has reported them or the loan has expired, so the fleet never holds more tokens than
the workspace's burst.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.allotments import LOAN_LIFETIME_S, Allotment
from lavenderway_core.borrowing import BorrowedLoan, Borrowing
from lavenderway_core.effects import SendControl
from lavenderway_core.ids import ExchangeId, HostId, WorkspaceId
from lavenderway_core.messages import LoanReport, TokenReply, TokenReport, TokenRequest
from lavenderway_core.placement import place_allotments
from lavenderway_core.reducer import Effects

if TYPE_CHECKING:
    from lavenderway_core.membership import HostRecord
    from lavenderway_core.state import NodeState

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0
NO_LENDER_RETRY_AFTER_S = 1.0
LENDER_FAILURE_PAUSE_S = 2.0
MAX_WAITING_EXCHANGES = 1000


class TokenOutcome(Enum):
    """Result of asking for a rate token."""

    TAKEN = "taken"
    WAITING = "waiting"
    REFUSED = "refused"


class TokenDecision(NamedTuple):
    """Decision of the rate limiter on one exchange.

    Attributes:
        retry_after_s: Seconds until a token can be expected, if refused.

    """

    outcome: TokenOutcome
    retry_after_s: float
    effects: Effects


class TokenUpdate(NamedTuple):
    """Result, for the exchanges that wait for a token, of a lender's reply or failure.

    Attributes:
        served: Exchanges that have received a token.
        refused: Exchanges for which no token is available.
        retry_after_s: Seconds until a token can be expected, for those refused.

    """

    served: list[ExchangeId]
    refused: list[ExchangeId]
    retry_after_s: float
    effects: Effects


def take_token(
    state: NodeState, exchange_id: ExchangeId, workspace: WorkspaceId, now: float
) -> TokenDecision:
    """Take a token for an exchange; if there is none, queue or refuse the exchange."""
    if any(allotment.take(now) for allotment in _own_allotments(state, workspace)):
        return TokenDecision(TokenOutcome.TAKEN, 0.0, [])
    borrowing = _get_borrowing(state, workspace, now)
    borrowing.record_arrival(now)
    if not borrowing.waiting and borrowing.take(now):
        due = borrowing.should_prefetch(now)
        effects = _request_tokens(state, workspace, borrowing, now) if due else []
        return TokenDecision(TokenOutcome.TAKEN, 0.0, effects)
    if len(borrowing.waiting) >= MAX_WAITING_EXCHANGES:
        return TokenDecision(TokenOutcome.REFUSED, MIN_RETRY_AFTER_S, [])
    effects = _request_tokens(state, workspace, borrowing, now)
    if borrowing.pending_lender is None:
        wait_s = _retry_after_s(state, workspace, borrowing, now)
        return TokenDecision(TokenOutcome.REFUSED, wait_s, effects)
    borrowing.waiting.append(exchange_id)
    return TokenDecision(TokenOutcome.WAITING, 0.0, effects)


def handle_token_request(
    state: NodeState, peer: HostId, request: TokenRequest, now: float
) -> Effects:
    """Settle the reported loans of a peer and lend it tokens if possible."""
    own_allotments = _own_allotments(state, request.workspace)
    _settle(own_allotments, peer, request.reports, now)
    loan_number = state.next_loan_number
    state.next_loan_number += 1
    amount = 0.0
    if request.requested_tokens >= 1 and not state.lifecycle.draining:
        amount = _lend(own_allotments, loan_number, peer, request.requested_tokens, now)
    wait_s = _own_refill_wait_s(own_allotments, now)
    reply = TokenReply(
        request.request_number,
        request.workspace,
        loan_number,
        amount,
        LOAN_LIFETIME_S,
        wait_s,
    )
    return _send(state, peer, reply)


def handle_token_report(
    state: NodeState, peer: HostId, report: TokenReport, now: float
) -> None:
    """Settle loans that a peer reports as spent or returned."""
    own_allotments = _own_allotments(state, report.workspace)
    _settle(own_allotments, peer, report.reports, now)


def handle_token_reply(
    state: NodeState, peer: HostId, reply: TokenReply, requested_at: float, now: float
) -> TokenUpdate:
    """Store a loan, or the lender's refusal, and serve the waiting exchanges."""
    borrowing = state.borrowings.get(reply.workspace)
    if borrowing is None:
        return TokenUpdate([], [], 0.0, [])
    if borrowing.pending_lender == peer:
        borrowing.pending_lender = None
    if reply.amount >= 1:
        loan = BorrowedLoan(
            lender=peer,
            number=reply.loan,
            tokens=reply.amount,
            expires_at=requested_at + reply.lifetime_s,
        )
        borrowing.loans.append(loan)
    else:
        wait_s = max(MIN_RETRY_AFTER_S, min(reply.retry_after_s, MAX_RETRY_AFTER_S))
        borrowing.refused_until[peer] = now + wait_s
    return _serve_waiting(state, reply.workspace, borrowing, now)


def record_lender_failure(
    state: NodeState, peer: HostId, now: float
) -> list[TokenUpdate]:
    """Skip an unresponsive lender for a limited time, and ask other lenders."""
    updates = []
    for workspace, borrowing in state.borrowings.items():
        if borrowing.pending_lender == peer:
            borrowing.pending_lender = None
            borrowing.refused_until[peer] = now + LENDER_FAILURE_PAUSE_S
            updates.append(_serve_waiting(state, workspace, borrowing, now))
    return updates


def tick_loans(state: NodeState, now: float) -> Effects:
    """Send due reports on borrowed loans; drop or settle the loans that expired."""
    effects: Effects = []
    for workspace, borrowing in state.borrowings.items():
        for lender in borrowing.lenders_with_due_reports(now):
            reports = borrowing.collect_reports(lender, now)
            effects += _send(state, lender, TokenReport(workspace, reports))
        borrowing.drop_expired(now)
    for allotment in state.allotments.values():
        allotment.settle_expired(now)
    return effects


def remove_waiting(
    state: NodeState, exchange_id: ExchangeId, workspace: WorkspaceId
) -> None:
    """Remove an exchange from the queue for tokens."""
    borrowing = state.borrowings.get(workspace)
    if borrowing is not None and exchange_id in borrowing.waiting:
        borrowing.waiting.remove(exchange_id)


def _own_allotments(state: NodeState, workspace: WorkspaceId) -> list[Allotment]:
    return state.allotments_by_workspace.get(workspace, [])


def _get_borrowing(state: NodeState, workspace: WorkspaceId, now: float) -> Borrowing:
    borrowing = state.borrowings.get(workspace)
    if borrowing is None:
        borrowing = state.borrowings[workspace] = Borrowing(now=now)
    return borrowing


def _settle(
    own_allotments: list[Allotment],
    peer: HostId,
    reports: tuple[LoanReport, ...],
    now: float,
) -> None:
    for report in reports:
        for allotment in own_allotments:
            allotment.settle(report.loan, peer, report.spent, report.returned, now)


def _lend(
    own_allotments: list[Allotment],
    loan_number: int,
    peer: HostId,
    requested_tokens: float,
    now: float,
) -> float:
    for allotment in own_allotments:
        amount = allotment.lend(loan_number, peer, requested_tokens, now)
        if amount:
            return amount
    return 0.0


def _own_refill_wait_s(own_allotments: list[Allotment], now: float) -> float:
    waits = [
        each.bucket.seconds_until_available(1.0, now)
        for each in own_allotments
        if each.is_held(now)
    ]
    return min(waits, default=NO_LENDER_RETRY_AFTER_S)


def _request_tokens(
    state: NodeState, workspace: WorkspaceId, borrowing: Borrowing, now: float
) -> Effects:
    if borrowing.pending_lender is not None:
        return []
    lender = _choose_lender(state, workspace, borrowing, now)
    if lender is None:
        return []
    borrowing.pending_lender = lender.host
    reports = borrowing.collect_reports(lender.host, now)
    request = TokenRequest(
        state.allocate_control_number(),
        workspace,
        borrowing.tokens_to_request(),
        reports,
    )
    return _send(state, lender.host, request)


def _choose_lender(
    state: NodeState, workspace: WorkspaceId, borrowing: Borrowing, now: float
) -> HostRecord | None:
    known = state.members.lenders(workspace) or _expected_lenders(state, workspace)
    available = [
        record
        for record in known
        if record.host != state.host
        and borrowing.refused_until.get(record.host, 0.0) <= now
    ]
    in_domain = [
        each for each in available if each.failure_domain == state.failure_domain
    ]
    pool = in_domain or available
    return state.random.choice(pool) if pool else None


def _expected_lenders(state: NodeState, workspace: WorkspaceId) -> list[HostRecord]:
    """Return the hosts that should hold allotments according to placement.

    Used until the announcement of an actual holder has arrived.
    """
    spec = state.configuration_store.workspaces.get(workspace)
    if spec is None:
        return []
    holders = place_allotments(state, spec).holders.values()
    hosts = dict.fromkeys(host for host in holders if host is not None)
    return [state.members.records[host] for host in hosts]


def _serve_waiting(
    state: NodeState, workspace: WorkspaceId, borrowing: Borrowing, now: float
) -> TokenUpdate:
    served: list[ExchangeId] = []
    while borrowing.waiting and borrowing.take(now):
        served.append(borrowing.waiting.popleft())
    if not borrowing.waiting:
        return TokenUpdate(served, [], 0.0, [])
    effects = _request_tokens(state, workspace, borrowing, now)
    if borrowing.pending_lender is not None:
        return TokenUpdate(served, [], 0.0, effects)
    refused = list(borrowing.waiting)
    borrowing.waiting.clear()
    wait_s = _retry_after_s(state, workspace, borrowing, now)
    return TokenUpdate(served, refused, wait_s, effects)


def _retry_after_s(
    state: NodeState, workspace: WorkspaceId, borrowing: Borrowing, now: float
) -> float:
    waits = [until - now for until in borrowing.refused_until.values() if until > now]
    own_allotments = _own_allotments(state, workspace)
    waits += [
        each.bucket.seconds_until_available(1.0, now)
        for each in own_allotments
        if each.is_held(now)
    ]
    wait_s = min(waits, default=NO_LENDER_RETRY_AFTER_S)
    return max(MIN_RETRY_AFTER_S, min(wait_s, MAX_RETRY_AFTER_S))


def _send(
    state: NodeState, peer: HostId, message: TokenRequest | TokenReply | TokenReport
) -> Effects:
    record = state.members.records.get(peer)
    return [] if record is None else [SendControl(peer, record.address, message)]
