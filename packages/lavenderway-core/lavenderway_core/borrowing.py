"""Tokens that this host has borrowed, and the demand that makes it borrow."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from lavenderway_core.messages import LoanReport

if TYPE_CHECKING:
    from lavenderway_core.ids import ExchangeId, HostId

DEMAND_GAIN = 0.3
DEMAND_INTERVAL_S = 0.5
PREFETCH_S = 0.5  # borrow ahead for this much demand
LOW_WATER_RATIO = 0.5
REPORT_BEFORE_S = 0.5
REPORT_INTERVAL_S = 0.25  # spent tokens take up the lender's burst until reported


class BorrowedLoan:
    """A loan as its borrower sees it.

    Attributes:
        tokens: Tokens left to spend.
        unreported: Tokens spent since the last report.
        expires: End of the loan, in seconds, counted from the request.

    """

    __slots__ = ("expires", "lender", "number", "tokens", "unreported")

    def __init__(
        self, *, lender: HostId, number: int, tokens: float, expires: float
    ) -> None:
        self.lender = lender
        self.number = number
        self.tokens = tokens
        self.unreported = 0.0
        self.expires = expires


class Borrowing:
    """Loans and waiting exchanges of one workspace.

    Args:
        now: Present time in seconds.

    """

    def __init__(self, *, now: float) -> None:
        self.loans: list[BorrowedLoan] = []
        self.waiting: deque[ExchangeId] = deque()
        self.asked: HostId | None = None
        self.refused: dict[HostId, float] = {}
        self.demand_per_s = 0.0
        self._arrivals = 0
        self._measured_at = now
        self._reported_at = now

    def record_arrival(self, now: float) -> None:
        """Count one request for the demand."""
        self._arrivals += 1
        elapsed = now - self._measured_at
        if elapsed < DEMAND_INTERVAL_S:
            return
        rate = self._arrivals / elapsed
        self.demand_per_s += (rate - self.demand_per_s) * DEMAND_GAIN
        self._arrivals = 0
        self._measured_at = now

    def take(self, now: float) -> bool:
        """Spend one borrowed token."""
        for loan in self.loans:
            if loan.tokens >= 1 and now < loan.expires:
                loan.tokens -= 1
                loan.unreported += 1
                return True
        return False

    def tokens(self, now: float) -> float:
        """Return the tokens that may still be spent."""
        return sum(loan.tokens for loan in self.loans if now < loan.expires)

    def runs_low(self, now: float) -> bool:
        """Tell whether to borrow ahead of the demand."""
        ahead = self.demand_per_s * PREFETCH_S
        return ahead >= 1 and self.tokens(now) < ahead * LOW_WATER_RATIO

    def wanted(self) -> float:
        """Return how many tokens to ask for."""
        ahead = self.demand_per_s * PREFETCH_S
        return max(1.0, float(len(self.waiting)), float(int(ahead)))

    def collect_reports(self, lender: HostId, now: float) -> tuple[LoanReport, ...]:
        """Return the accounts due to `lender` and give back what nears its end."""
        reports = []
        for loan in self.loans:
            if loan.lender != lender:
                continue
            returned = 0.0
            if loan.expires - now < REPORT_BEFORE_S:
                returned, loan.tokens = loan.tokens, 0.0
            if loan.unreported or returned:
                reports.append(LoanReport(loan.number, loan.unreported, returned))
                loan.unreported = 0.0
        return tuple(reports)

    def drop_expired(self, now: float) -> None:
        """Forget loans that have ended."""
        self.loans = [
            loan
            for loan in self.loans
            if now < loan.expires and (loan.tokens or loan.unreported)
        ]

    def lenders_due(self, now: float) -> set[HostId]:
        """Return the lenders to whom an account is due now."""
        settles = now - self._reported_at >= REPORT_INTERVAL_S
        if settles:
            self._reported_at = now
        due = set()
        for loan in self.loans:
            ending = loan.expires - now < REPORT_BEFORE_S
            if (settles and loan.unreported) or (ending and loan.tokens):
                due.add(loan.lender)
        return due
