"""Latency of good answers by class: smoothed, at its baseline without queueing, and the timeout for a stall.

Latencies are those of a request of mean work: what a request took is divided by its relative work.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from sagetrack.policy.peer_observations import ClassLatency
from sagetrack.policy.settings import RequestClass

SMOOTHING = 0.05  # share of the newest answer in the smoothed latency
BASELINE_DRIFT = 0.0005  # relative rise with each longer answer: an overload must not become the baseline
STALL_FACTOR = 4.0  # times the smoothed latency: an attempt that should have been answered
MIN_OWN_RESPONSES = 20  # own good answers of a class: with fewer, peers' latencies are taken
MAX_PEER_FACTOR = 2.0  # times the first guess: latencies of peers are used up to this


class LatencyEstimator:
    """Estimates by class, in microseconds. Until there are answers each is a quarter of the objective."""

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.initial_us = [c.latency_objective_us / 4 for c in classes]
        self.smoothed_us = list(self.initial_us)
        self.baseline_us = list(self.initial_us)
        self.response_counts = [0] * len(classes)
        self.latency_sums_us = [0.0] * len(classes)  # the sum of their latencies
        self.stall_timeout_us = STALL_FACTOR * max(self.smoothed_us)  # longer in flight: the server stalls

    def learn(self, class_index: int, relative_work: float, latency_us: int) -> None:
        """Learn from the latency of a successful response."""
        latency = latency_us / relative_work
        self.response_counts[class_index] += 1
        self.latency_sums_us[class_index] += latency
        self.smoothed_us[class_index] += SMOOTHING * (latency - self.smoothed_us[class_index])
        self.stall_timeout_us = STALL_FACTOR * max(self.smoothed_us)
        floor_us = self.baseline_us[class_index]
        below_us = min(0.0, self.smoothed_us[class_index] - floor_us)
        self.baseline_us[class_index] += below_us + BASELINE_DRIFT * floor_us

    def expected_us(self, class_index: int, relative_work: float) -> float:
        """Return the usual latency in microseconds, queueing included."""
        return self.smoothed_us[class_index] * relative_work

    def expected_baseline_us(self, class_index: int, relative_work: float) -> float:
        """Return the baseline latency in microseconds: without queueing."""
        return self.baseline_us[class_index] * relative_work

    def mean_us(self, class_index: int, prior_answers: float) -> float:
        """Return the mean latency of good responses; the first guess counts as `prior_answers` of them."""
        total_us = prior_answers * self.initial_us[class_index] + self.latency_sums_us[class_index]
        return total_us / (prior_answers + self.response_counts[class_index])

    def own_latencies(self) -> list[ClassLatency]:
        """Return the latencies of the classes of which this gateway has enough responses, for its peers."""
        known = [index for index, count in enumerate(self.response_counts) if count >= MIN_OWN_RESPONSES]
        return [ClassLatency(index, self.smoothed_us[index], self.baseline_us[index]) for index in known]

    def apply_peer_latencies(self, latencies: Iterable[ClassLatency]) -> None:
        """Use peers' latencies of the classes of which this gateway has too few responses."""
        for latency in latencies:
            class_index = latency.class_index
            if (
                0 <= class_index < len(self.response_counts)
                and self.response_counts[class_index] < MIN_OWN_RESPONSES
            ):
                max_us = MAX_PEER_FACTOR * self.initial_us[class_index]
                self.smoothed_us[class_index] = min(max_us, max(1.0, latency.smoothed_us))
                baseline_us = max(1.0, latency.baseline_us)
                self.baseline_us[class_index] = min(self.smoothed_us[class_index], baseline_us)
        self.stall_timeout_us = STALL_FACTOR * max(self.smoothed_us)
