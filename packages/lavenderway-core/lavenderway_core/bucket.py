"""Token bucket whose present time is an argument."""

from __future__ import annotations


class TokenBucket:
    """Token bucket with part of its burst reserved for tokens lent out.

    Over any window of `t` seconds at most `burst + rate * t` tokens leave the bucket
    for good. Tokens that are lent but may still be spent count against `burst`.

    Args:
        rate_per_s: Refill rate in tokens per second.
        burst: Capacity in tokens.
        now: Present time in seconds.

    """

    __slots__ = ("burst", "lent", "rate_per_s", "tokens", "updated")

    def __init__(self, *, rate_per_s: float, burst: float, now: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = 0.0  # an empty start keeps the bound across a change of holder
        self.lent = 0.0
        self.updated = now

    def refill(self, now: float) -> None:
        """Add the tokens that have accrued since the last refill."""
        elapsed = now - self.updated
        if elapsed <= 0:
            return
        self.updated = now
        room = self.burst - self.lent
        self.tokens = min(room, self.tokens + elapsed * self.rate_per_s)

    def take(self, amount: float, now: float) -> bool:
        """Take `amount` tokens; return whether they were there."""
        self.refill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def lend(self, amount: float, now: float) -> None:
        """Move `amount` tokens, which must be there, into the lent part."""
        self.refill(now)
        self.tokens -= amount
        self.lent += amount

    def settle(self, spent: float, returned: float, now: float) -> None:
        """End part of a loan: `spent` tokens are gone, `returned` come back."""
        self.refill(now)
        self.lent -= spent + returned
        self.tokens = min(self.tokens + returned, self.burst - self.lent)

    def resize(self, *, rate_per_s: float, burst: float, now: float) -> None:
        """Change rate and burst from now on."""
        self.refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = min(self.tokens, burst - self.lent)

    def wait_for(self, amount: float, now: float) -> float:
        """Return the seconds until `amount` tokens have accrued."""
        self.refill(now)
        missing = amount - self.tokens
        return 0.0 if missing <= 0 else missing / self.rate_per_s
