"""Latency estimates by class, from responses and from peers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sagetrack.policy.latency import MAX_PEER_FACTOR, MIN_OWN_RESPONSES, STALL_FACTOR, LatencyEstimator
from sagetrack.policy.peer_observations import ClassLatency
from tests.helpers import SAFE

CLASSES = (replace(SAFE, latency_objective_us=200_000), replace(SAFE, latency_objective_us=400_000))
INITIAL_US = 50_000.0  # a quarter of the latency objective of the first class


def test_the_initial_estimate_is_a_quarter_of_the_latency_objective() -> None:
    latency = LatencyEstimator(CLASSES)
    assert latency.smoothed_us == latency.baseline_us == [INITIAL_US, 2 * INITIAL_US]
    assert latency.stall_timeout_us == STALL_FACTOR * 2 * INITIAL_US and latency.own_latencies() == []


def test_a_shorter_latency_lowers_the_baseline_at_once_and_longer_ones_raise_it_slowly() -> None:
    latency = LatencyEstimator(CLASSES)
    for _ in range(100):
        latency.learn(0, 1.0, 10_000)
    lowest_us = latency.baseline_us[0]
    assert 10_000 <= lowest_us < 11_000
    for _ in range(100):
        latency.learn(0, 1.0, 200_000)
    assert latency.smoothed_us[0] > 190_000 and latency.baseline_us[0] < 1.1 * lowest_us


def test_latencies_are_normalised_to_a_request_of_mean_work() -> None:
    small, large = LatencyEstimator(CLASSES), LatencyEstimator(CLASSES)
    small.learn(0, 1.0, 20_000)
    large.learn(0, 3.0, 60_000)
    assert small.smoothed_us == large.smoothed_us
    assert large.expected_us(0, 3.0) == pytest.approx(3 * small.expected_us(0, 1.0))


def test_the_mean_weighs_the_initial_estimate_as_a_number_of_responses() -> None:
    latency = LatencyEstimator(CLASSES)
    assert latency.mean_us(0, 0.5) == INITIAL_US
    latency.learn(0, 1.0, 20_000)
    assert latency.mean_us(0, 1.0) == (INITIAL_US + 20_000) / 2


def test_latencies_of_peers_are_used_within_a_bound_until_there_are_own_responses() -> None:
    latency = LatencyEstimator(CLASSES)
    latency.apply_peer_latencies(
        [ClassLatency(0, 9_000.0, 7_000.0), ClassLatency(1, 9e9, 9e9), ClassLatency(9, 1.0, 1.0)]
    )
    max_us = MAX_PEER_FACTOR * 2 * INITIAL_US
    assert latency.smoothed_us == [9_000.0, max_us] and latency.baseline_us == [7_000.0, max_us]
    for _ in range(MIN_OWN_RESPONSES):
        latency.learn(0, 1.0, 20_000)
    own_us = latency.smoothed_us[0]
    latency.apply_peer_latencies([ClassLatency(0, 1.0, 1.0)])
    assert latency.smoothed_us[0] == own_us
    assert [estimate.class_index for estimate in latency.own_latencies()] == [0]
