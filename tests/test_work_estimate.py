"""Estimates of the work of a request, by class."""

from __future__ import annotations

import pytest

from sagetrack.policy.work_estimate import DEFAULT_WORK_US, MIN_SAMPLES, WorkEstimator


def test_without_samples_every_request_has_the_default_work_times_its_size() -> None:
    assert WorkEstimator().estimate_us(3, 2.0) == pytest.approx(2.0 * DEFAULT_WORK_US)


def test_few_samples_are_mixed_with_those_of_all_classes() -> None:
    work = WorkEstimator()
    for _ in range(MIN_SAMPLES):
        work.learn(0, 10_000.0, 1.0, queueing=False)
    work.learn(1, 90_000.0, 1.0, queueing=False)
    assert work.estimate_us(0, 1.0) == pytest.approx(10_000.0)
    assert 10_000.0 < work.estimate_us(1, 1.0) < 20_000.0
    assert work.is_reliable(0) and not work.is_reliable(1) and not work.is_reliable(2)


def test_reliable_estimates_ignore_latency_that_was_measured_while_requests_were_queued() -> None:
    work = WorkEstimator()
    for _ in range(MIN_SAMPLES):
        work.learn(0, 10_000.0, 1.0, queueing=True)
    before = work.estimate_us(0, 1.0)
    work.learn(0, 900_000.0, 1.0, queueing=True)
    assert work.estimate_us(0, 1.0) == before == pytest.approx(10_000.0)
    work.learn(0, 900_000.0, 1.0, queueing=False)
    assert work.estimate_us(0, 1.0) > before
