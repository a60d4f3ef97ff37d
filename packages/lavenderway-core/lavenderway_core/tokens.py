"""Rate control: spends own and borrowed tokens, and lends to other nodes.

Tokens that are lent count against the lender's burst until the borrower has accounted
for them or the loan has ended, so the fleet never holds more than the burst.
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
MAX_WAITING = 1000


class TokenOutcome(Enum):
    """Whether an exchange may run."""

    TAKEN = "taken"
    WAITING = "waiting"
    REFUSED = "refused"


class TokenDecision(NamedTuple):
    """Decision on one exchange.

    Attributes:
        retry_after_s: For a refusal, seconds until a token can be expected.

    """

    outcome: TokenOutcome
    retry_after_s: float
    effects: Effects


class TokenNews(NamedTuple):
    """What a reply changes for the exchanges that wait.

    Attributes:
        served: Exchanges that have a token now.
        refused: Exchanges for which there is none.
        retry_after_s: For those refused, seconds until a token can be expected.

    """

    served: list[ExchangeId]
    refused: list[ExchangeId]
    retry_after_s: float
    effects: Effects


def take_token(
    state: NodeState, number: ExchangeId, workspace: WorkspaceId, now: float
) -> TokenDecision:
    """Take a token for an exchange, or have it wait for a loan."""
    if any(own.take(now) for own in _own_allotments(state, workspace)):
        return TokenDecision(TokenOutcome.TAKEN, 0.0, [])
    borrowing = _borrowing(state, workspace, now)
    borrowing.record_arrival(now)
    if not borrowing.waiting and borrowing.take(now):
        low = borrowing.runs_low(now)
        effects = _ask(state, workspace, borrowing, now) if low else []
        return TokenDecision(TokenOutcome.TAKEN, 0.0, effects)
    if len(borrowing.waiting) >= MAX_WAITING:
        return TokenDecision(TokenOutcome.REFUSED, MIN_RETRY_AFTER_S, [])
    effects = _ask(state, workspace, borrowing, now)
    if borrowing.asked is None:
        wait_s = _shortest_wait(state, workspace, borrowing, now)
        return TokenDecision(TokenOutcome.REFUSED, wait_s, effects)
    borrowing.waiting.append(number)
    return TokenDecision(TokenOutcome.WAITING, 0.0, effects)


def lend_tokens(
    state: NodeState, peer: HostId, request: TokenRequest, now: float
) -> Effects:
    """Answer a peer's request for tokens."""
    own = _own_allotments(state, request.workspace)
    _settle(own, peer, request.reports, now)
    number = state.next_loan
    state.next_loan += 1
    amount = 0.0
    if request.want >= 1 and not state.lifecycle.draining:
        amount = _lend(own, number, peer, request.want, now)
    wait_s = _wait_for_token(own, now)
    reply = TokenReply(
        request.number, request.workspace, number, amount, LOAN_LIFETIME_S, wait_s
    )
    return _send(state, peer, reply)


def take_report(
    state: NodeState, peer: HostId, report: TokenReport, now: float
) -> None:
    """Account for loans that a peer has spent or gives back."""
    own = _own_allotments(state, report.workspace)
    _settle(own, peer, report.reports, now)


def take_reply(
    state: NodeState, peer: HostId, reply: TokenReply, asked_at: float, now: float
) -> TokenNews:
    """Take in a loan and serve the exchanges that wait for it."""
    borrowing = state.borrowings.get(reply.workspace)
    if borrowing is None:
        return TokenNews([], [], 0.0, [])
    if borrowing.asked == peer:
        borrowing.asked = None
    if reply.amount >= 1:
        loan = BorrowedLoan(
            lender=peer,
            number=reply.loan,
            tokens=reply.amount,
            expires=asked_at + reply.lifetime_s,
        )
        borrowing.loans.append(loan)
    else:
        wait_s = max(MIN_RETRY_AFTER_S, min(reply.retry_after_s, MAX_RETRY_AFTER_S))
        borrowing.refused[peer] = now + wait_s
    return _serve_waiting(state, reply.workspace, borrowing, now)


def note_lender_failure(state: NodeState, peer: HostId, now: float) -> list[TokenNews]:
    """Turn to other lenders when one has not answered."""
    news = []
    for workspace, borrowing in state.borrowings.items():
        if borrowing.asked == peer:
            borrowing.asked = None
            borrowing.refused[peer] = now + LENDER_FAILURE_PAUSE_S
            news.append(_serve_waiting(state, workspace, borrowing, now))
    return news


def tick_loans(state: NodeState, now: float) -> Effects:
    """Account for loans that near their end and drop those that have ended."""
    effects: Effects = []
    for workspace, borrowing in state.borrowings.items():
        for lender in borrowing.lenders_due(now):
            reports = borrowing.collect_reports(lender, now)
            effects += _send(state, lender, TokenReport(workspace, reports))
        borrowing.drop_expired(now)
    for allotment in state.allotments.values():
        allotment.settle_expired(now)
    return effects


def forget_waiting(state: NodeState, number: ExchangeId, name: WorkspaceId) -> None:
    """Drop an exchange that no longer waits for a token."""
    borrowing = state.borrowings.get(name)
    if borrowing is not None and number in borrowing.waiting:
        borrowing.waiting.remove(number)


def _own_allotments(state: NodeState, workspace: WorkspaceId) -> list[Allotment]:
    return state.allotments_by_workspace.get(workspace, [])


def _borrowing(state: NodeState, workspace: WorkspaceId, now: float) -> Borrowing:
    borrowing = state.borrowings.get(workspace)
    if borrowing is None:
        borrowing = state.borrowings[workspace] = Borrowing(now=now)
    return borrowing


def _settle(
    own: list[Allotment], peer: HostId, reports: tuple[LoanReport, ...], now: float
) -> None:
    for report in reports:
        for allotment in own:
            allotment.settle(report.loan, peer, report.spent, report.returned, now)


def _lend(
    own: list[Allotment], number: int, peer: HostId, want: float, now: float
) -> float:
    for allotment in own:
        amount = allotment.lend(number, peer, want, now)
        if amount:
            return amount
    return 0.0


def _wait_for_token(own: list[Allotment], now: float) -> float:
    waits = [each.bucket.wait_for(1.0, now) for each in own if each.is_held(now)]
    return min(waits, default=NO_LENDER_RETRY_AFTER_S)


def _ask(
    state: NodeState, workspace: WorkspaceId, borrowing: Borrowing, now: float
) -> Effects:
    if borrowing.asked is not None:
        return []
    lender = _next_lender(state, workspace, borrowing, now)
    if lender is None:
        return []
    borrowing.asked = lender.host
    reports = borrowing.collect_reports(lender.host, now)
    request = TokenRequest(
        state.take_control_number(), workspace, borrowing.wanted(), reports
    )
    return _send(state, lender.host, request)


def _next_lender(
    state: NodeState, workspace: WorkspaceId, borrowing: Borrowing, now: float
) -> HostRecord | None:
    known = state.members.lenders(workspace) or _expected_lenders(state, workspace)
    able = [
        record
        for record in known
        if record.host != state.host and borrowing.refused.get(record.host, 0.0) <= now
    ]
    near = [each for each in able if each.failure_domain == state.failure_domain]
    pool = near or able
    return state.random.choice(pool) if pool else None


def _expected_lenders(state: NodeState, workspace: WorkspaceId) -> list[HostRecord]:
    """Return the hosts that should hold allotments, before any has said so."""
    spec = state.directory.workspaces.get(workspace)
    if spec is None:
        return []
    holders = place_allotments(state, spec).holders.values()
    hosts = dict.fromkeys(host for host in holders if host is not None)
    return [state.members.records[host] for host in hosts]


def _serve_waiting(
    state: NodeState, workspace: WorkspaceId, borrowing: Borrowing, now: float
) -> TokenNews:
    served: list[ExchangeId] = []
    while borrowing.waiting and borrowing.take(now):
        served.append(borrowing.waiting.popleft())
    if not borrowing.waiting:
        return TokenNews(served, [], 0.0, [])
    effects = _ask(state, workspace, borrowing, now)
    if borrowing.asked is not None:
        return TokenNews(served, [], 0.0, effects)
    refused = list(borrowing.waiting)
    borrowing.waiting.clear()
    wait_s = _shortest_wait(state, workspace, borrowing, now)
    return TokenNews(served, refused, wait_s, effects)


def _shortest_wait(
    state: NodeState, workspace: WorkspaceId, borrowing: Borrowing, now: float
) -> float:
    waits = [until - now for until in borrowing.refused.values() if until > now]
    own = _own_allotments(state, workspace)
    waits += [each.bucket.wait_for(1.0, now) for each in own if each.is_held(now)]
    wait_s = min(waits, default=NO_LENDER_RETRY_AFTER_S)
    return max(MIN_RETRY_AFTER_S, min(wait_s, MAX_RETRY_AFTER_S))


def _send(
    state: NodeState, peer: HostId, message: TokenRequest | TokenReply | TokenReport
) -> Effects:
    record = state.members.records.get(peer)
    return [] if record is None else [SendControl(peer, record.address, message)]
