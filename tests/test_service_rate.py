"""Measuring the service rate while requests are queued."""

from __future__ import annotations

import pytest

from sagetrack.policy.service_rate import MAX_GAP_US, ServiceRate


def test_the_assumed_rate_holds_until_enough_time_has_been_measured() -> None:
    rate = ServiceRate()
    rate.assumed_rate = 7.0
    rate.record(1000.0, 0, still_queueing=True)
    assert rate.per_us == 7.0
    for n in range(1, 101):
        rate.record(1000.0, n * 1000, still_queueing=True)
    assert rate.per_us == pytest.approx(1.0)


def test_time_without_a_queue_is_not_measured_and_a_long_gap_counts_only_in_part() -> None:
    rate = ServiceRate()
    for n in range(101):
        rate.record(1000.0, n * 1000, still_queueing=n < 100)
    rate.record(1000.0, 60_000_000, still_queueing=True)  # no request was queued in between
    rate.stop_measuring()
    rate.record(1000.0, 90_000_000, still_queueing=True)
    assert rate.per_us == pytest.approx(1.0)
    rate.record(1000.0, 900_000_000, still_queueing=True)
    assert 100_000 / (100_000 + MAX_GAP_US) / 2 < rate.per_us < 1.0
