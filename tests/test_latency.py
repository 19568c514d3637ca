"""Latency estimates by class: what answers, and peers, make of them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sagetrack.policy.latency import FEW_ANSWERS, MAX_PEER_FACTOR, STALL_FACTOR, LatencyEstimator
from sagetrack.policy.peer_observations import ClassLatency
from tests.helpers import SAFE

CLASSES = (replace(SAFE, latency_objective_us=200_000), replace(SAFE, latency_objective_us=400_000))
FIRST_US = 50_000.0  # a quarter of the first class's objective


def test_the_first_guess_is_a_quarter_of_the_objective() -> None:
    latency = LatencyEstimator(CLASSES)
    assert latency.smoothed_us == latency.baseline_us == [FIRST_US, 2 * FIRST_US]
    assert latency.stall_timeout_us == STALL_FACTOR * 2 * FIRST_US and latency.observed() == []


def test_a_shorter_answer_lowers_the_baseline_at_once_and_longer_ones_raise_it_slowly() -> None:
    latency = LatencyEstimator(CLASSES)
    for _ in range(100):
        latency.learn(0, 1.0, 10_000)
    low_us = latency.baseline_us[0]
    assert 10_000 <= low_us < 11_000
    for _ in range(100):
        latency.learn(0, 1.0, 200_000)
    assert latency.smoothed_us[0] > 190_000 and latency.baseline_us[0] < 1.1 * low_us


def test_latencies_are_those_of_a_request_of_mean_work() -> None:
    small, large = LatencyEstimator(CLASSES), LatencyEstimator(CLASSES)
    small.learn(0, 1.0, 20_000)
    large.learn(0, 3.0, 60_000)
    assert small.smoothed_us == large.smoothed_us
    assert large.expected_us(0, 3.0) == pytest.approx(3 * small.expected_us(0, 1.0))


def test_the_mean_counts_the_first_guess_as_so_many_answers() -> None:
    latency = LatencyEstimator(CLASSES)
    assert latency.mean_us(0, 0.5) == FIRST_US
    latency.learn(0, 1.0, 20_000)
    assert latency.mean_us(0, 1.0) == (FIRST_US + 20_000) / 2


def test_peers_latencies_are_taken_within_a_bound_until_there_are_own_answers() -> None:
    latency = LatencyEstimator(CLASSES)
    latency.adopt([ClassLatency(0, 9_000.0, 7_000.0), ClassLatency(1, 9e9, 9e9), ClassLatency(9, 1.0, 1.0)])
    most_us = MAX_PEER_FACTOR * 2 * FIRST_US
    assert latency.smoothed_us == [9_000.0, most_us] and latency.baseline_us == [7_000.0, most_us]
    for _ in range(FEW_ANSWERS):
        latency.learn(0, 1.0, 20_000)
    own_us = latency.smoothed_us[0]
    latency.adopt([ClassLatency(0, 1.0, 1.0)])
    assert latency.smoothed_us[0] == own_us
    assert [told.class_index for told in latency.observed()] == [0]
