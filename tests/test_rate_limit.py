"""Tests of rate limits with bursts in bounded memory."""

from __future__ import annotations

from sagetrack.policy.rate_limit import Rate, RateLimiter

SECOND_US = 1_000_000


def test_a_burst_passes_and_a_clock_jump_allows_no_larger_one() -> None:
    limiter = RateLimiter(Rate(10.0, 3.0), 100)

    def burst(now_us: int) -> int:
        """Send as many requests as are allowed now; return their number."""
        count = 0
        while not limiter.wait_us("k", now_us):
            limiter.take("k", now_us)
            count += 1
        return count

    assert burst(SECOND_US) == 3
    wait_us = limiter.wait_us("k", SECOND_US)
    assert 0 < wait_us <= 100_000 and burst(SECOND_US + wait_us) == 1
    assert burst(60 * SECOND_US) == 3  # a long pause does not allow a larger burst
    for n in range(1000):
        limiter.take(n, 60 * SECOND_US)
    assert len(limiter.table) <= 100
