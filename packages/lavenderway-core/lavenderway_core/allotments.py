"""Leased token-bucket allotments that divide a workspace's rate between hosts.

Each allotment is a row in the platform's table. The rows of one workspace sum to no
more than its rate and burst, because a transaction that leases some of them is planned
from all of them and is conditional on the versions of all.

A further row counts the burst granted to allotments that started with a full bucket.
Each token of the workspace's burst is granted in this way only once. Any other new
holder starts with an empty bucket, so a change of holder cannot add a burst.

The lease of a holder starts when it sends the transaction, before the row is written.
Another host may take a row over once it has seen the row unchanged, on its own clock,
for the lease duration and a margin for clock drift.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.bucket import TokenBucket
from lavenderway_core.ids import FailureDomainId, HostId, Incarnation, WorkspaceId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderway_core.resources import WorkspaceSpec

LEASE_DURATION_S = 7200.0  # outlasts a one-hour inter-region partition plus a renewal
LEASE_MARGIN_RATIO = 0.02  # covers clock drift between hosts
LEASE_RENEWAL_INTERVAL_S = 600.0
LEASE_RETRY_INTERVAL_S = 2.0
ALLOTMENTS_PER_DOMAIN = 4
MIN_ALLOTMENT_BURST = 1.0
LOAN_LIFETIME_S = 2.0
LOAN_EXPIRY_MARGIN_S = 0.25
ROW_KEY_PREFIX = "allotments/"
GRANTED_BURST_KEY = "granted"


class AllotmentId(NamedTuple):
    """Identity of an allotment: workspace, failure domain and number within it."""

    workspace: WorkspaceId
    failure_domain: FailureDomainId
    number: int

    @property
    def row_key(self) -> str:
        """Key of the allotment's row in the platform's table."""
        return f"{ROW_KEY_PREFIX}{self.workspace}/{self.failure_domain}/{self.number}"

    @classmethod
    def parse(cls, row_key: str) -> AllotmentId | None:
        """Return the ID that a row key encodes, or None if it encodes none."""
        parts = row_key.removeprefix(ROW_KEY_PREFIX).split("/")
        if len(parts) != 3 or not parts[2].isdecimal():
            return None
        return cls(WorkspaceId(parts[0]), FailureDomainId(parts[1]), int(parts[2]))


class AllotmentRow(NamedTuple):
    """Content of an allotment's row in the platform's table."""

    holder: HostId
    address: str
    incarnation: Incarnation
    rate_per_s: float
    burst: float

    @classmethod
    def parse(cls, value: Mapping[str, object]) -> AllotmentRow | None:
        """Return the row decoded from `value`, or None if it is malformed."""
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
        """Return the value to store in the table."""
        return {
            "holder": self.holder,
            "address": self.address,
            "incarnation": self.incarnation,
            "rate": self.rate_per_s,
            "burst": self.burst,
        }


class Share(NamedTuple):
    """Portion of a workspace's rate and burst."""

    rate_per_s: float
    burst: float


class Loan:
    """Tokens lent to another host that it has not yet reported as spent or returned."""

    __slots__ = ("amount", "borrower", "expires_at")

    def __init__(self, *, borrower: HostId, amount: float, expires_at: float) -> None:
        self.borrower = borrower
        self.amount = amount
        self.expires_at = expires_at


class Allotment:
    """Allotment held by this host, with the loans made from it.

    Args:
        id_: ID of the allotment.
        share: Rate and burst in the allotment's row.
        lease_ends_at: End of the lease in seconds on the holder's clock.
        now: Current time in seconds.

    """

    def __init__(
        self, *, id_: AllotmentId, share: Share, lease_ends_at: float, now: float
    ) -> None:
        self.id = id_
        self.lease_ends_at = lease_ends_at
        self.renewed_at = now
        self.version = 0
        self.share = share
        self.bucket = TokenBucket(
            rate_per_s=share.rate_per_s, burst=share.burst, now=now
        )
        self.loans: dict[int, Loan] = {}

    def is_held(self, now: float) -> bool:
        """Return whether the lease is still valid."""
        return now < self.lease_ends_at

    def take(self, now: float) -> bool:
        """Spend one token; return False if there is none or the lease has ended."""
        return self.is_held(now) and self.bucket.take(1.0, now)

    def lend(
        self, loan_number: int, borrower: HostId, requested_tokens: float, now: float
    ) -> float:
        """Lend whole tokens to another host.

        A loan takes at most half of the available tokens, or one token if that is more.
        No loan is made that would outlive the lease.

        Args:
            loan_number: Number of the new loan.
            borrower: Host that borrows the tokens.
            requested_tokens: Number of tokens that it requested.
            now: Current time in seconds.

        Returns:
            Number of tokens lent, at most `requested_tokens`, or 0 if no loan is made.

        """
        self.settle_expired(now)
        self.bucket.refill(now)
        available = self.bucket.tokens
        limit = max(1.0, available / 2)
        amount = float(int(min(requested_tokens, available, limit)))
        if amount < 1 or now + LOAN_LIFETIME_S > self.lease_ends_at:
            return 0.0
        self.bucket.lend(amount, now)
        expires_at = now + LOAN_LIFETIME_S + LOAN_EXPIRY_MARGIN_S
        self.loans[loan_number] = Loan(
            borrower=borrower, amount=amount, expires_at=expires_at
        )
        return amount

    def settle(
        self,
        loan_number: int,
        borrower: HostId,
        spent: float,
        returned: float,
        now: float,
    ) -> None:
        """Settle the part of a loan that its borrower reports as spent or returned."""
        loan = self.loans.get(loan_number)
        if loan is None or loan.borrower != borrower or min(spent, returned) < 0:
            return
        spent = min(spent, loan.amount)
        returned = min(returned, loan.amount - spent)
        loan.amount -= spent + returned
        self.bucket.settle(spent, returned, now)
        if loan.amount <= 0:
            del self.loans[loan_number]

    def settle_expired(self, now: float) -> None:
        """Count the unreported tokens of expired loans as spent."""
        expired = [n for n, loan in self.loans.items() if loan.expires_at <= now]
        for loan_number in expired:
            loan = self.loans.pop(loan_number)
            self.bucket.settle(loan.amount, 0.0, now)

    def resize(self, share: Share, now: float) -> None:
        """Change the rate and burst of the allotment with effect from `now`."""
        self.share = share
        self.bucket.resize(rate_per_s=share.rate_per_s, burst=share.burst, now=now)


def allotment_count(workspace: WorkspaceSpec, domain_count: int) -> int:
    """Return the number of allotments into which a workspace's rate is divided."""
    wanted = domain_count * ALLOTMENTS_PER_DOMAIN
    return max(1, min(wanted, int(workspace.burst / MIN_ALLOTMENT_BURST)))


def allotment_ids(
    workspace: WorkspaceSpec, domains: set[FailureDomainId]
) -> list[AllotmentId]:
    """Return the IDs of a workspace's allotments, spread evenly over `domains`."""
    ordered = sorted(domains)
    if not ordered:
        return []
    count = allotment_count(workspace, len(ordered))
    return [
        AllotmentId(workspace.name, ordered[n % len(ordered)], n // len(ordered))
        for n in range(count)
    ]


def desired_share(workspace: WorkspaceSpec, count: int) -> Share:
    """Return an equal share for each of `count` allotments."""
    return Share(workspace.rate_per_s / count, workspace.burst / count)


def allowed_share(
    workspace: WorkspaceSpec, count: int, others: Mapping[str, AllotmentRow]
) -> Share:
    """Return the largest share that keeps all rows within the workspace's limits.

    Args:
        workspace: Current specification of the workspace.
        count: Number of allotments that divide the workspace's rate.
        others: Rows of the workspace's other allotments that are leased or are about
            to be leased by the same transaction.

    """
    wanted = desired_share(workspace, count)
    rate_left = workspace.rate_per_s - sum(
        row_key.rate_per_s for row_key in others.values()
    )
    burst_left = workspace.burst - sum(row_key.burst for row_key in others.values())
    return Share(
        max(0.0, min(wanted.rate_per_s, rate_left)),
        max(0.0, min(wanted.burst, burst_left)),
    )
