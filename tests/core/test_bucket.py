"""Tests of the token bucket."""

from __future__ import annotations

import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from lavenderway_core.bucket import TokenBucket

RATE_PER_S = 10.0
BURST = 20.0
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["take", "lend", "spend", "return", "wait"]),
        st.floats(0.01, 3.0),
    ),
    max_size=60,
)


class TokenBucketTest(unittest.TestCase):
    """Rate and burst of a bucket, also while some of its tokens are lent."""

    def test_bucket_starts_empty(self) -> None:
        bucket = TokenBucket(rate_per_s=RATE_PER_S, burst=BURST, now=5.0)
        self.assertFalse(bucket.take(1.0, 5.0))
        self.assertTrue(bucket.take(1.0, 5.2))

    def test_tokens_do_not_accrue_beyond_the_burst(self) -> None:
        bucket = TokenBucket(rate_per_s=RATE_PER_S, burst=BURST, now=0.0)
        taken = sum(bucket.take(1.0, 1000.0) for _ in range(100))
        self.assertEqual(BURST, taken)

    def test_lent_tokens_take_up_the_burst_until_settled(self) -> None:
        bucket = TokenBucket(rate_per_s=RATE_PER_S, burst=BURST, now=0.0)
        bucket.refill(10.0)
        bucket.lend(BURST, 10.0)
        self.assertFalse(bucket.take(1.0, 1000.0))
        bucket.settle(spent=BURST, returned=0.0, now=1000.0)
        self.assertTrue(bucket.take(1.0, 1001.0))

    def test_lowered_burst_drops_tokens_at_once(self) -> None:
        bucket = TokenBucket(rate_per_s=RATE_PER_S, burst=BURST, now=0.0)
        bucket.refill(10.0)
        bucket.resize(rate_per_s=1.0, burst=2.0, now=10.0)
        self.assertEqual(2, sum(bucket.take(1.0, 10.0) for _ in range(10)))

    def test_wait_for_returns_the_time_to_accrue_tokens(self) -> None:
        bucket = TokenBucket(rate_per_s=RATE_PER_S, burst=BURST, now=0.0)
        self.assertAlmostEqual(0.1, bucket.seconds_until_available(1.0, 0.0))

    @seed(20261203)
    @settings(max_examples=200, deadline=None, database=None)
    @given(STEPS)
    def test_spending_in_any_window_is_bounded(
        self, steps: list[tuple[str, float]]
    ) -> None:
        bucket = TokenBucket(rate_per_s=RATE_PER_S, burst=BURST, now=0.0)
        now, lent = 0.0, 0.0
        spent: list[tuple[float, float]] = []
        for kind, amount in steps:
            if kind == "wait":
                now += amount
            elif kind == "take" and bucket.take(amount, now):
                spent.append((now, amount))
            elif kind == "lend":
                bucket.refill(now)
                loan = min(amount, max(0.0, bucket.tokens))
                bucket.lend(loan, now)
                lent += loan
            elif kind == "spend":
                used = min(amount, lent)
                lent -= used
                spent.append((now, used))
                bucket.settle(used, 0.0, now)
            elif kind == "return":
                returned = min(amount, lent)
                lent -= returned
                bucket.settle(0.0, returned, now)
        for start in range(len(spent)):
            total = 0.0
            for at, amount in spent[start:]:
                total += amount
                allowed = BURST + RATE_PER_S * (at - spent[start][0])
                self.assertLessEqual(total, allowed + 1e-6)
