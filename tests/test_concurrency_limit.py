"""Tests of the adaptive concurrency limit."""

from __future__ import annotations

from sagetrack.policy.concurrency_limit import ConcurrencyLimit


def test_the_limit_falls_with_latency_and_rises_when_it_is_used_without_queueing() -> None:
    limit = ConcurrencyLimit(initial=50)
    for _ in range(2000):
        limit.update(500_000, 50_000, int(limit.limit))
    low = limit.limit
    for _ in range(2000):
        limit.update(50_000, 50_000, 1)
    idle = limit.limit
    for _ in range(5000):
        limit.update(50_000, 50_000, int(limit.limit))
    assert low < 10 and idle < 10 and limit.limit > 30


def test_requests_stalled_at_a_few_servers_leave_capacity_for_the_others() -> None:
    limit = ConcurrencyLimit(initial=50)
    limit.minimum = 9.0
    for _ in range(5000):
        limit.update(9_000_000, 50_000, 9)
    assert limit.has_capacity(8) and not limit.has_capacity(9)
    for n in range(5000):  # one response in five comes from a stalled server
        limit.update(9_000_000 if n % 5 == 0 else 50_000, 50_000, int(limit.limit))
    assert limit.limit > 40
