"""Tokens borrowed by this host, and the demand estimate that sizes its requests."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from lavenderway_core.messages import LoanReport

if TYPE_CHECKING:
    from lavenderway_core.ids import ExchangeId, HostId

DEMAND_EWMA_WEIGHT = 0.3
DEMAND_SAMPLE_INTERVAL_S = 0.5
PREFETCH_HORIZON_S = 0.5  # tokens for this much demand are borrowed in advance
PREFETCH_LOW_WATER_RATIO = 0.5
FINAL_REPORT_LEAD_S = 0.5
SPENT_REPORT_INTERVAL_S = 0.25  # unreported tokens reduce the lender's burst


class BorrowedLoan:
    """Borrower's record of a loan.

    Attributes:
        tokens: Tokens left to spend.
        unreported: Tokens spent since the last report to the lender.
        expires_at: Time in seconds at which the loan expires. Its lifetime starts when
            the borrower sends the request, so the loan expires here before it expires
            at the lender.

    """

    __slots__ = ("expires_at", "lender", "number", "tokens", "unreported")

    def __init__(
        self, *, lender: HostId, number: int, tokens: float, expires_at: float
    ) -> None:
        self.lender = lender
        self.number = number
        self.tokens = tokens
        self.unreported = 0.0
        self.expires_at = expires_at


class Borrowing:
    """Loans, waiting exchanges and estimated demand of one workspace.

    Args:
        now: Current time in seconds.

    """

    def __init__(self, *, now: float) -> None:
        self.loans: list[BorrowedLoan] = []
        self.waiting: deque[ExchangeId] = deque()
        self.pending_lender: HostId | None = None
        self.refused_until: dict[HostId, float] = {}
        self.demand_per_s = 0.0
        self._arrivals = 0
        self._measured_at = now
        self._reported_at = now

    def record_arrival(self, now: float) -> None:
        """Count one request for the demand estimate, a moving average."""
        self._arrivals += 1
        elapsed = now - self._measured_at
        if elapsed < DEMAND_SAMPLE_INTERVAL_S:
            return
        rate = self._arrivals / elapsed
        self.demand_per_s += (rate - self.demand_per_s) * DEMAND_EWMA_WEIGHT
        self._arrivals = 0
        self._measured_at = now

    def take(self, now: float) -> bool:
        """Spend one borrowed token; return False if there is none."""
        for loan in self.loans:
            if loan.tokens >= 1 and now < loan.expires_at:
                loan.tokens -= 1
                loan.unreported += 1
                return True
        return False

    def available_tokens(self, now: float) -> float:
        """Return the number of borrowed tokens that may still be spent."""
        return sum(loan.tokens for loan in self.loans if now < loan.expires_at)

    def should_prefetch(self, now: float) -> bool:
        """Return whether tokens are low enough to borrow more before they run out."""
        prefetch_tokens = self.demand_per_s * PREFETCH_HORIZON_S
        return (
            prefetch_tokens >= 1
            and self.available_tokens(now) < prefetch_tokens * PREFETCH_LOW_WATER_RATIO
        )

    def tokens_to_request(self) -> float:
        """Return the number of tokens to ask a lender for."""
        prefetch_tokens = self.demand_per_s * PREFETCH_HORIZON_S
        return max(1.0, float(len(self.waiting)), float(int(prefetch_tokens)))

    def collect_reports(self, lender: HostId, now: float) -> tuple[LoanReport, ...]:
        """Return reports on the loans of `lender`.

        Unspent tokens of loans about to expire are returned to the lender.
        """
        reports = []
        for loan in self.loans:
            if loan.lender != lender:
                continue
            returned = 0.0
            if loan.expires_at - now < FINAL_REPORT_LEAD_S:
                returned, loan.tokens = loan.tokens, 0.0
            if loan.unreported or returned:
                reports.append(LoanReport(loan.number, loan.unreported, returned))
                loan.unreported = 0.0
        return tuple(reports)

    def drop_expired(self, now: float) -> None:
        """Drop loans that have expired or are spent and reported."""
        self.loans = [
            loan
            for loan in self.loans
            if now < loan.expires_at and (loan.tokens or loan.unreported)
        ]

    def lenders_with_due_reports(self, now: float) -> set[HostId]:
        """Return the lenders to which a report is due; restart the report interval."""
        report_due = now - self._reported_at >= SPENT_REPORT_INTERVAL_S
        if report_due:
            self._reported_at = now
        lenders = set()
        for loan in self.loans:
            expires_soon = loan.expires_at - now < FINAL_REPORT_LEAD_S
            if (report_due and loan.unreported) or (expires_soon and loan.tokens):
                lenders.add(loan.lender)
        return lenders
