"""Enforces the quota of each workspace across all hosts with token buckets.

A quota is a rate and a burst; a rate of 0 means no limit. Each request takes one token.
A node runs on each host beside one upstream and takes the tokens of the requests it
receives. The token owners of a workspace, one host per failure domain, are selected by
`TokenOwnerMap`; each holds a token bucket with an equal part of the rate and burst. All
hosts, token owners included, borrow from the other token owners when their tokens do
not suffice: one token for each waiting request, and `LOAN_DURATION_S` of demand in
advance. If demand is high, they borrow before a request has to wait.

A token owner subtracts tokens before it sends them, and the borrower adds each grant at
most once, so a lost message loses tokens but never duplicates them. `TokenRole` decides
which share of its part a token owner may issue, so that the parts add up to one at most
under any two views of the fleet. All together thus issue at most
`rate * t + burst + extra_burst` tokens in any `t` seconds, also during a network
partition. The bound is on tokens issued: a borrowed token may be used up to about two
`LOAN_LIFETIME_S` later, also after refunds, and is then dropped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

from lavenderway_core.bucket import TokenBucket
from lavenderway_core.ids import WorkspaceId

from lavenderway_relay.token_role import SPLIT_SHARE

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lavenderway_relay.model import Workspace

Lender = TypeVar("Lender")

NARROW_LENDERS = 2  # the nearest token owner and one other
# If demand is high (see `_is_running_low`), a loan is requested in advance once the
# tokens cover fewer seconds of it than this, or are fewer than one.
LOW_WATERMARK_S = 0.15
# Seconds of local demand that every loan should cover in addition to waiting requests.
LOAN_DURATION_S = 0.3
# Seconds of its own demand for which a token owner holds back tokens.
LENDER_RESERVE_S = 0.3
MIN_LOAN_TOKENS = 1.0  # tokens; a smaller loan does not cover a request
# Interval of the expiry of borrowed tokens, which drops those that were already there
# at the previous one; they thus last one to two intervals.
LOAN_LIFETIME_S = 1.0
# Weight of the newest tick's arrival rate in the moving average of the demand.
DEMAND_EWMA_WEIGHT = 0.3
# Time without loan requests after no token owner has granted a token; doubles with
# each such loan in a row, up to the maximum.
FAILED_LOAN_PAUSE_S = 0.2
MAX_FAILED_LOAN_PAUSE_S = 0.8
# Time after a loan that no token owner has granted in which only some are asked.
NARROW_LOANS_S = 5.0
# Used if the rate on this host is zero; a token owner is likely to have a token by
# then.
DEFAULT_RETRY_AFTER_S = 0.6


class LoanRequest(NamedTuple):
    """Tokens that this host wants to borrow.

    Attributes:
        workspace: Workspace of the tokens.
        amount: Tokens wanted from all token owners together; may be fractional, and
            less may be granted. The owners are asked in turn for what is missing, and
            each grants at least `MIN_LOAN_TOKENS` or none.
        narrow: Whether only some of the token owners are to be asked, as none had a
            token shortly before.

    """

    workspace: WorkspaceId
    amount: float
    narrow: bool = False


def select_lenders(owners: list[Lender], *, narrow: bool, draw: float) -> list[Lender]:
    """Return the token owners to ask for a loan, in this order.

    Designed for workspaces over their rate, whose token owners are all empty most of
    the time: asking each of them for each refused request costs more processor time
    than the requests that are served. Two are asked, so that tokens are found if the
    callers gather in one failure domain.

    Args:
        owners: The token owners that can be asked, nearest first.
        narrow: Whether to ask only some of them.
        draw: Random number in [0, 1).

    """
    if not narrow or len(owners) <= NARROW_LENDERS:
        return owners
    return [owners[0], owners[1 + int(draw * (len(owners) - 1))]]


class _Allowance:
    """Tokens of one workspace on this host."""

    __slots__ = (
        "arrivals",
        "borrowed",
        "borrowed_before",
        "bucket",
        "demand_per_s",
        "failed_at",
        "failed_pause_s",
        "pause_until",
        "waiting",
    )

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = bucket
        # Borrowed tokens are kept apart from the bucket, which is sized to the part of
        # the burst that this host keeps.
        self.borrowed = 0.0
        # Left from before the last expiry; the next one drops them.
        self.borrowed_before = 0.0
        # Requests since the last tick, including refused ones, less those refunded.
        self.arrivals = 0
        self.waiting = 0  # requests that wait for a loan
        # Moving average of the arrivals, in requests per second.
        self.demand_per_s = 0.0
        self.pause_until = 0.0  # monotonic time, in seconds
        self.failed_pause_s = 0.0  # the last pause; 0 after a successful loan
        self.failed_at = float("-inf")  # monotonic time, in seconds

    @property
    def available(self) -> float:
        """Number of tokens on this host, in the bucket and borrowed."""
        return self.bucket.tokens + self.borrowed + self.borrowed_before

    def take(self, now: float) -> bool:
        """Take one token; the oldest borrowed ones are used first."""
        from_before = min(1.0, self.borrowed_before)
        from_borrowed = min(1.0 - from_before, self.borrowed)
        from_bucket = 1.0 - from_before - from_borrowed
        if from_bucket > 0.0 and not self.bucket.take(from_bucket, now):
            return False
        self.borrowed_before -= from_before
        self.borrowed -= from_borrowed
        return True

    def take_back(self) -> None:
        """Take back the token of a request that did not run.

        The request no longer counts as demand, for which tokens are borrowed in
        advance, and the token is not younger than before. Otherwise tokens pile up on
        all hosts while no upstream takes requests, and are used at once afterwards.
        """
        self.arrivals -= 1
        bucket = self.bucket
        if bucket.tokens + 1.0 <= bucket.burst - bucket.lent:
            bucket.tokens += 1.0
        else:
            self.borrowed_before += 1.0

    def expire_borrowed(self) -> None:
        """Drop the tokens left from before the last expiry, and keep the others."""
        self.borrowed_before = self.borrowed
        self.borrowed = 0.0


class WorkspaceTokens:
    """Tokens of every workspace on this host, in buckets and borrowed.

    Args:
        extra_burst: Tokens added to the burst of each workspace, across all hosts, to
            make up for tokens held in loans.

    Attributes:
        lease_expired: Whether the buckets have been reduced at the end of the lease.

    """

    def __init__(self, *, extra_burst: float = 0.0) -> None:
        self.extra_burst = extra_burst
        self.lease_expired = False
        self._lease_until = float("inf")  # monotonic time, in seconds
        self._allowances: dict[WorkspaceId, _Allowance] = {}
        self._ticked_at = 0.0
        self._loans_expired_at = 0.0

    def resize(
        self,
        workspaces: Iterable[Workspace],
        *,
        fraction_of: Callable[[WorkspaceId], float],
        now: float,
        lease_until: float = float("inf"),
    ) -> None:
        """Apply a change of the configuration, of the token owners or of the lease.

        Args:
            workspaces: The workspaces in force.
            fraction_of: Returns the fraction of a workspace's rate and burst that this
                host keeps, from 0 to 1; 0 on a host that is not a token owner of it.
            now: Current monotonic time in seconds.
            lease_until: Monotonic time from which on only `SPLIT_SHARE` of the
                fractions may be issued, in seconds.

        """
        self._enforce_lease(now)
        limited = {w.id: w for w in workspaces if w.rate_per_s > 0}
        for removed in self._allowances.keys() - limited.keys():
            del self._allowances[removed]
        for workspace in limited.values():
            fraction = fraction_of(workspace.id)
            rate_per_s = workspace.rate_per_s * fraction
            burst = (workspace.burst + self.extra_burst) * fraction
            known = self._allowances.get(workspace.id)
            if known is None:
                bucket = TokenBucket(rate_per_s=rate_per_s, burst=burst, now=now)
                self._allowances[workspace.id] = _Allowance(bucket)
            else:
                known.bucket.resize(rate_per_s=rate_per_s, burst=burst, now=now)
        self.lease_expired = False
        self._lease_until = lease_until
        self._enforce_lease(now)

    def extend_lease(self, until: float) -> None:
        """Postpone the end of the lease, unless it has expired."""
        if not self.lease_expired:
            self._lease_until = max(until, self._lease_until)

    def _enforce_lease(self, now: float) -> None:
        """Reduce the buckets if the lease has run out.

        Called before each use, as the process may have been suspended since the last.
        """
        if self.lease_expired or now < self._lease_until:
            return
        self.lease_expired = True
        for allowance in self._allowances.values():
            bucket = allowance.bucket
            bucket.resize(
                rate_per_s=bucket.rate_per_s * SPLIT_SHARE,
                burst=bucket.burst * SPLIT_SHARE,
                now=self._lease_until,
            )

    def take(self, workspace: WorkspaceId, now: float) -> bool:
        """Count an arrival and take one token; return whether there was one.

        Always succeeds for a workspace that has no limit or is unknown.
        """
        allowance = self._allowances.get(workspace)
        if allowance is None:
            return True
        self._enforce_lease(now)
        allowance.arrivals += 1
        return allowance.take(now)

    def take_after_loan(self, workspace: WorkspaceId, now: float) -> bool:
        """Take one token for a request that has waited for a loan.

        The request has already been counted as an arrival.
        """
        self._enforce_lease(now)
        allowance = self._allowances.get(workspace)
        return allowance is None or allowance.take(now)

    def refund(self, workspace: WorkspaceId) -> None:
        """Return the token of a request that did not run."""
        allowance = self._allowances.get(workspace)
        if allowance is not None:
            allowance.take_back()

    def retry_after_s(self, workspace: WorkspaceId, now: float) -> float:
        """Return the time until this host's own bucket holds a token, in seconds."""
        allowance = self._allowances.get(workspace)
        if allowance is None or allowance.bucket.rate_per_s <= 0:
            return DEFAULT_RETRY_AFTER_S
        return allowance.bucket.seconds_until_available(1.0, now)

    def count_tokens(self, workspace: WorkspaceId, now: float) -> float:
        """Return the tokens on this host, infinite without a limit; only reads."""
        allowance = self._allowances.get(workspace)
        if allowance is None:
            return float("inf")
        bucket = allowance.bucket
        accrued = max(0.0, now - bucket.updated_at) * bucket.rate_per_s
        tokens = min(bucket.burst - bucket.lent, bucket.tokens + accrued)
        return tokens + allowance.borrowed + allowance.borrowed_before

    def lend(self, workspace: WorkspaceId, amount: float, now: float) -> float:
        """Lend tokens of this host's own bucket to another host.

        Returns:
            Number of tokens granted; they have been subtracted from the bucket.

        """
        allowance = self._allowances.get(workspace)
        if allowance is None:
            return 0.0
        self._enforce_lease(now)
        bucket = allowance.bucket
        bucket.refill(now)
        granted = min(amount, bucket.tokens - LENDER_RESERVE_S * allowance.demand_per_s)
        if granted < MIN_LOAN_TOKENS:
            return 0.0
        bucket.tokens -= granted
        return granted

    def add_borrowed(self, workspace: WorkspaceId, amount: float) -> None:
        """Add tokens that a token owner granted; call once per grant."""
        allowance = self._allowances.get(workspace)
        if allowance is not None:
            allowance.borrowed += amount
            if amount > 0:
                allowance.failed_pause_s = 0.0

    def plan_loan(self, workspace: WorkspaceId, now: float) -> LoanRequest | None:
        """Return the loan to request for waiting requests and in advance.

        A request that found no token must be counted by `begin_waiting` before. Tokens
        at hand and loans in flight are not subtracted.

        Returns:
            The loan; None if the workspace has no limit or is unknown, or if loan
            requests are paused.

        """
        allowance = self._allowances.get(workspace)
        if allowance is None or now < allowance.pause_until:
            return None
        in_advance = allowance.demand_per_s * LOAN_DURATION_S
        return LoanRequest(
            workspace,
            max(1.0, allowance.waiting + in_advance),
            narrow=now - allowance.failed_at < NARROW_LOANS_S,
        )

    def begin_waiting(self, workspace: WorkspaceId) -> None:
        """Count a request that starts to wait for a loan."""
        allowance = self._allowances.get(workspace)
        if allowance is not None:
            allowance.waiting += 1

    def end_waiting(self, workspace: WorkspaceId) -> None:
        """Subtract a request that no longer waits for a loan."""
        allowance = self._allowances.get(workspace)
        if allowance is not None and allowance.waiting > 0:
            allowance.waiting -= 1

    def pause_loans(self, workspace: WorkspaceId, now: float) -> None:
        """Pause loan requests, as no token owner has granted a token."""
        allowance = self._allowances.get(workspace)
        if allowance is not None:
            allowance.failed_pause_s = min(
                MAX_FAILED_LOAN_PAUSE_S,
                max(FAILED_LOAN_PAUSE_S, 2 * allowance.failed_pause_s),
            )
            allowance.pause_until = now + allowance.failed_pause_s
            allowance.failed_at = now

    def tick(self, now: float) -> list[LoanRequest]:
        """Update the demand, and return the loans to request in advance.

        Also expires borrowed tokens.
        """
        self._enforce_lease(now)
        elapsed = now - self._ticked_at
        self._ticked_at = now
        loans_expire = now - self._loans_expired_at >= LOAN_LIFETIME_S
        if loans_expire:
            self._loans_expired_at = now
        loan_requests = []
        for workspace, allowance in self._allowances.items():
            if elapsed > 0:
                arrivals_per_s = allowance.arrivals / elapsed
                change = DEMAND_EWMA_WEIGHT * (arrivals_per_s - allowance.demand_per_s)
                allowance.demand_per_s = max(0.0, allowance.demand_per_s + change)
            allowance.arrivals = 0
            if loans_expire:
                allowance.expire_borrowed()
            if self._is_running_low(allowance, now):
                loan_request = self.plan_loan(workspace, now)
                if loan_request is not None:
                    loan_requests.append(loan_request)
        return loan_requests

    def _is_running_low(self, allowance: _Allowance, now: float) -> bool:
        """Return whether to request a loan before a request needs it.

        This is so if the demand of `LOAN_DURATION_S` is worth a loan, the demand
        exceeds the rate of the own bucket, and the tokens at hand are below the low
        watermark.
        """
        demand = allowance.demand_per_s
        if (
            demand * LOAN_DURATION_S < MIN_LOAN_TOKENS
            or demand <= allowance.bucket.rate_per_s
        ):
            return False
        allowance.bucket.refill(now)
        return allowance.available < max(1.0, LOW_WATERMARK_S * demand)
