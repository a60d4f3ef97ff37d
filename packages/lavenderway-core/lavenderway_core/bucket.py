"""Token bucket that can lend tokens; the caller supplies the time."""

from __future__ import annotations


class TokenBucket:
    """Token bucket whose lent tokens take up part of its burst.

    In any window of `t` seconds at most `burst + rate_per_s * t` tokens are spent, by
    the holder and the borrowers together. Lent tokens count against `burst` until the
    loan is settled, since the borrower may still spend them.

    Args:
        rate_per_s: Refill rate in tokens per second.
        burst: Capacity in tokens.
        now: Current time in seconds.

    """

    __slots__ = ("burst", "lent", "rate_per_s", "tokens", "updated_at")

    def __init__(self, *, rate_per_s: float, burst: float, now: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        # Starting empty keeps the bound when the bucket moves to a new holder, which
        # does not know what has been spent.
        self.tokens = 0.0
        self.lent = 0.0
        self.updated_at = now

    def refill(self, now: float) -> None:
        """Add the tokens accrued since the last refill, up to the free capacity."""
        elapsed = now - self.updated_at
        if elapsed <= 0:
            return
        self.updated_at = now
        free_capacity = self.burst - self.lent
        self.tokens = min(free_capacity, self.tokens + elapsed * self.rate_per_s)

    def take(self, amount: float, now: float) -> bool:
        """Take `amount` tokens if available; return whether they were."""
        self.refill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def lend(self, amount: float, now: float) -> None:
        """Move `amount` tokens, which must be available, to the lent tokens."""
        self.refill(now)
        self.tokens -= amount
        self.lent += amount

    def settle(self, spent: float, returned: float, now: float) -> None:
        """Settle part of a loan.

        Args:
            spent: Lent tokens that the borrower has spent.
            returned: Lent tokens that the borrower gives back.
            now: Current time in seconds.

        """
        self.refill(now)
        self.lent -= spent + returned
        self.tokens = min(self.tokens + returned, self.burst - self.lent)

    def resize(self, *, rate_per_s: float, burst: float, now: float) -> None:
        """Change the rate and the burst; tokens above the new burst are dropped."""
        self.refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = min(self.tokens, burst - self.lent)

    def seconds_until_available(self, amount: float, now: float) -> float:
        """Return the seconds until `amount` tokens are available."""
        self.refill(now)
        missing = amount - self.tokens
        return 0.0 if missing <= 0 else missing / self.rate_per_s
