"""Latency estimates by request class: smoothed latency, baseline without queueing, and stall timeout.

Latencies are normalized to a request of mean work: a measured latency is divided by the request's relative
work.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from sagetrack.policy.peer_observations import ClassLatency
from sagetrack.policy.settings import RequestClass

SMOOTHING = 0.05  # weight of the newest response in the smoothed latency
# Relative rise of the baseline per response. It is slow so that latencies in an overload do not become the
# baseline.
BASELINE_DRIFT = 0.0005
STALL_FACTOR = 4.0  # an attempt that takes more than this times the smoothed latency has stalled
MIN_OWN_RESPONSES = 20  # with fewer successful responses of a class, peers' latencies are used
MAX_PEER_FACTOR = 2.0  # peers' latencies are capped at this times the initial estimate


class LatencyEstimator:
    """Estimates by class, in microseconds. The initial estimate is a quarter of the latency objective."""

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.initial_us = [c.latency_objective_us / 4 for c in classes]
        self.smoothed_us = list(self.initial_us)
        self.baseline_us = list(self.initial_us)
        self.response_counts = [0] * len(classes)
        self.latency_sums_us = [0.0] * len(classes)  # sum of the latencies by class
        # An attempt that is in flight for longer has stalled.
        self.stall_timeout_us = STALL_FACTOR * max(self.smoothed_us)

    def learn(self, class_index: int, relative_work: float, latency_us: int) -> None:
        """Update the estimates with the latency of a successful response."""
        latency = latency_us / relative_work
        self.response_counts[class_index] += 1
        self.latency_sums_us[class_index] += latency
        self.smoothed_us[class_index] += SMOOTHING * (latency - self.smoothed_us[class_index])
        self.stall_timeout_us = STALL_FACTOR * max(self.smoothed_us)
        floor_us = self.baseline_us[class_index]
        below_us = min(0.0, self.smoothed_us[class_index] - floor_us)
        self.baseline_us[class_index] += below_us + BASELINE_DRIFT * floor_us

    def expected_us(self, class_index: int, relative_work: float) -> float:
        """Return the expected latency in microseconds, including queueing."""
        return self.smoothed_us[class_index] * relative_work

    def expected_baseline_us(self, class_index: int, relative_work: float) -> float:
        """Return the expected latency in microseconds without queueing."""
        return self.baseline_us[class_index] * relative_work

    def mean_us(self, class_index: int, prior_responses: float) -> float:
        """Return the mean latency; the initial estimate counts as `prior_responses` successful responses."""
        total_us = prior_responses * self.initial_us[class_index] + self.latency_sums_us[class_index]
        return total_us / (prior_responses + self.response_counts[class_index])

    def own_latencies(self) -> list[ClassLatency]:
        """Return the latencies of classes with enough responses at this gateway, to send to its peers."""
        known = [index for index, count in enumerate(self.response_counts) if count >= MIN_OWN_RESPONSES]
        return [ClassLatency(index, self.smoothed_us[index], self.baseline_us[index]) for index in known]

    def apply_peer_latencies(self, latencies: Iterable[ClassLatency]) -> None:
        """Use peers' latencies for classes with too few responses at this gateway."""
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
