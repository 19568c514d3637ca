"""Rate limits with bursts, in bounded memory."""

from __future__ import annotations

from sagetrack.policy.rate_limit import Rate, RateLimiter

SECOND = 1_000_000


def test_a_burst_passes_and_a_clock_jump_allows_no_more() -> None:
    limiter = RateLimiter(Rate(10.0, 3.0), 100)

    def burst(now: int) -> int:
        count = 0
        while not limiter.wait_us("k", now):
            limiter.take("k", now)
            count += 1
        return count

    assert burst(SECOND) == 3
    wait = limiter.wait_us("k", SECOND)
    assert 0 < wait <= 100_000 and burst(SECOND + wait) == 1
    assert burst(60 * SECOND) == 3  # however long it was
    for n in range(1000):
        limiter.take(n, 60 * SECOND)
    assert len(limiter.table) <= 100
