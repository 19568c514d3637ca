"""Estimates of the work of a request by class."""

from __future__ import annotations

import pytest

from sagetrack.policy.work_estimate import DEFAULT_WORK_US, MIN_SAMPLES, WorkEstimator


def test_without_samples_the_estimate_is_the_default_work_times_the_size() -> None:
    assert WorkEstimator().estimate_us(3, 2.0) == pytest.approx(2.0 * DEFAULT_WORK_US)


def test_few_samples_of_a_class_are_mixed_with_those_of_all_classes() -> None:
    estimator = WorkEstimator()
    for _ in range(MIN_SAMPLES):
        estimator.learn(0, 10_000.0, 1.0, queueing=False)
    estimator.learn(1, 90_000.0, 1.0, queueing=False)
    assert estimator.estimate_us(0, 1.0) == pytest.approx(10_000.0)
    assert 10_000.0 < estimator.estimate_us(1, 1.0) < 20_000.0
    assert estimator.is_reliable(0) and not estimator.is_reliable(1) and not estimator.is_reliable(2)


def test_reliable_estimates_ignore_latencies_measured_while_requests_were_queued() -> None:
    estimator = WorkEstimator()
    for _ in range(MIN_SAMPLES):
        estimator.learn(0, 10_000.0, 1.0, queueing=True)
    before = estimator.estimate_us(0, 1.0)
    estimator.learn(0, 900_000.0, 1.0, queueing=True)
    assert estimator.estimate_us(0, 1.0) == before == pytest.approx(10_000.0)
    estimator.learn(0, 900_000.0, 1.0, queueing=False)
    assert estimator.estimate_us(0, 1.0) > before
