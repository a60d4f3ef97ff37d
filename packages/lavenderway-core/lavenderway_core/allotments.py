"""Allotments of a workspace's rate, leased from the platform's table.

The rows of one workspace sum to no more than its rate and burst, which each
transaction checks against all of them. A further row counts the burst that has been
granted in full buckets, which happens once for each token of a workspace's burst: any
other new holder begins with an empty bucket, so a change of holder cannot add a burst.
A holder counts its lease from before its
request was sent. Another host treats a row as free once it has seen it unchanged, on
its own clock, for the lease and a margin.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.bucket import TokenBucket
from lavenderway_core.ids import FailureDomainId, HostId, Incarnation, WorkspaceId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderway_core.resources import WorkspaceSpec

LEASE_S = 7200.0  # outlasts an hour's cut between regions with a renewal to spare
LEASE_MARGIN_RATIO = 0.02  # covers clock drift between hosts
RENEW_INTERVAL_S = 600.0
RETRY_INTERVAL_S = 2.0
PER_DOMAIN = 4
MIN_BURST = 1.0
LOAN_LIFETIME_S = 2.0
LOAN_MARGIN_S = 0.25
ROW_PREFIX = "allotments/"
GRANTED_ROW = "granted"


class AllotmentId(NamedTuple):
    """Place of an allotment: workspace, failure domain and number within it."""

    workspace: WorkspaceId
    failure_domain: FailureDomainId
    number: int

    @property
    def row(self) -> str:
        """Key of the row in the platform's table."""
        return f"{ROW_PREFIX}{self.workspace}/{self.failure_domain}/{self.number}"

    @classmethod
    def parse(cls, row: str) -> AllotmentId | None:
        """Return the place that a row key names, None when it names none."""
        parts = row.removeprefix(ROW_PREFIX).split("/")
        if len(parts) != 3 or not parts[2].isdecimal():
            return None
        return cls(WorkspaceId(parts[0]), FailureDomainId(parts[1]), int(parts[2]))


class AllotmentRow(NamedTuple):
    """Row of an allotment in the platform's table."""

    holder: HostId
    address: str
    incarnation: Incarnation
    rate_per_s: float
    burst: float

    @classmethod
    def parse(cls, value: Mapping[str, object]) -> AllotmentRow | None:
        """Return the row in a decoded value, None when malformed."""
        match value:
            case {
                "holder": str(holder),
                "address": str(address),
                "incarnation": int(incarnation),
                "rate": float() | int() as rate,
                "burst": float() | int() as burst,
            }:
                return cls(
                    HostId(holder),
                    address,
                    Incarnation(incarnation),
                    float(rate),
                    float(burst),
                )
        return None

    def encode(self) -> dict[str, object]:
        """Return the value to store."""
        return {
            "holder": self.holder,
            "address": self.address,
            "incarnation": self.incarnation,
            "rate": self.rate_per_s,
            "burst": self.burst,
        }


class Share(NamedTuple):
    """Part of a workspace's rate and burst."""

    rate_per_s: float
    burst: float


class Loan:
    """Tokens lent to one host and not yet accounted for."""

    __slots__ = ("amount", "borrower", "expires")

    def __init__(self, *, borrower: HostId, amount: float, expires: float) -> None:
        self.borrower = borrower
        self.amount = amount
        self.expires = expires


class Allotment:
    """An allotment that this host holds.

    Args:
        id_: Place of the allotment.
        share: Rate and burst of the row.
        lease_ends: End of the lease on the holder's clock, in seconds.
        now: Present time in seconds.

    """

    def __init__(
        self, *, id_: AllotmentId, share: Share, lease_ends: float, now: float
    ) -> None:
        self.id = id_
        self.lease_ends = lease_ends
        self.renewed_at = now
        self.version = 0
        self.share = share
        self.bucket = TokenBucket(
            rate_per_s=share.rate_per_s, burst=share.burst, now=now
        )
        self.loans: dict[int, Loan] = {}

    def is_held(self, now: float) -> bool:
        """Tell whether the lease still runs."""
        return now < self.lease_ends

    def take(self, now: float) -> bool:
        """Spend one token; False without one or after the lease."""
        return self.is_held(now) and self.bucket.take(1.0, now)

    def lend(self, number: int, borrower: HostId, want: float, now: float) -> float:
        """Lend up to `want` whole tokens; return how many."""
        self.settle_expired(now)
        self.bucket.refill(now)
        available = self.bucket.tokens
        fair = max(1.0, available / 2)
        amount = float(int(min(want, available, fair)))
        if amount < 1 or now + LOAN_LIFETIME_S > self.lease_ends:
            return 0.0
        self.bucket.lend(amount, now)
        expires = now + LOAN_LIFETIME_S + LOAN_MARGIN_S
        self.loans[number] = Loan(borrower=borrower, amount=amount, expires=expires)
        return amount

    def settle(
        self, number: int, borrower: HostId, spent: float, returned: float, now: float
    ) -> None:
        """Account for part of a loan, as its borrower reports it."""
        loan = self.loans.get(number)
        if loan is None or loan.borrower != borrower or min(spent, returned) < 0:
            return
        spent = min(spent, loan.amount)
        returned = min(returned, loan.amount - spent)
        loan.amount -= spent + returned
        self.bucket.settle(spent, returned, now)
        if loan.amount <= 0:
            del self.loans[number]

    def settle_expired(self, now: float) -> None:
        """Count what is left of expired loans as spent."""
        expired = [n for n, loan in self.loans.items() if loan.expires <= now]
        for number in expired:
            loan = self.loans.pop(number)
            self.bucket.settle(loan.amount, 0.0, now)

    def resize(self, share: Share, now: float) -> None:
        """Change the share from now on."""
        self.share = share
        self.bucket.resize(rate_per_s=share.rate_per_s, burst=share.burst, now=now)


def allotment_count(workspace: WorkspaceSpec, domains: int) -> int:
    """Return into how many allotments a workspace's rate is split."""
    wanted = domains * PER_DOMAIN
    return max(1, min(wanted, int(workspace.burst / MIN_BURST)))


def allotment_places(
    workspace: WorkspaceSpec, domains: set[FailureDomainId]
) -> list[AllotmentId]:
    """Return the places of a workspace's allotments, spread over `domains`."""
    ordered = sorted(domains)
    if not ordered:
        return []
    count = allotment_count(workspace, len(ordered))
    return [
        AllotmentId(workspace.name, ordered[n % len(ordered)], n // len(ordered))
        for n in range(count)
    ]


def desired_share(workspace: WorkspaceSpec, count: int) -> Share:
    """Return the equal share of one of `count` allotments."""
    return Share(workspace.rate_per_s / count, workspace.burst / count)


def allowed_share(
    workspace: WorkspaceSpec, count: int, others: Mapping[str, AllotmentRow]
) -> Share:
    """Return the share that keeps the sum of all rows within the workspace's.

    Args:
        workspace: Specification in force.
        count: Number of allotments wanted.
        others: Rows of the workspace's other allotments that are not free.

    """
    wanted = desired_share(workspace, count)
    rate_left = workspace.rate_per_s - sum(row.rate_per_s for row in others.values())
    burst_left = workspace.burst - sum(row.burst for row in others.values())
    return Share(
        max(0.0, min(wanted.rate_per_s, rate_left)),
        max(0.0, min(wanted.burst, burst_left)),
    )
