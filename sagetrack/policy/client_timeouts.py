"""Detects unmarked retries by their client timeouts, and estimates how much time earlier tries used."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sagetrack.policy.events import RequestArrived
from sagetrack.policy.settings import RequestClass

SAME_TIMEOUT_TOLERANCE = 0.02  # relative difference up to which two timeouts count as equal
# If a smaller fraction of requests has the usual timeout, a different timeout does not indicate a retry.
MIN_USUAL_FRACTION = 0.5
USUAL_FRACTION_SMOOTHING = 0.05  # weight of the newest request in `usual_fraction`


@dataclass(slots=True, eq=False)
class ClientTimeoutEstimate:
    """Estimate of the timeout that the clients of one tenant give first tries of one class."""

    usual_us: int
    votes: int = 0  # counter of the Boyer-Moore majority vote for `usual_us`
    usual_fraction: float = 1.0  # smoothed fraction of recent requests with the usual timeout


class ClientTimeouts:
    """Tracks the usual client timeout by class and tenant."""

    def __init__(self, classes: Sequence[RequestClass], clients_mark_retries: bool) -> None:
        self._classes = classes
        self._clients_mark_retries = clients_mark_retries
        self._estimates: dict[tuple[int, int], ClientTimeoutEstimate] = {}

    def estimate(self, class_index: int, tenant: int) -> ClientTimeoutEstimate:
        """Return the estimate for a class and tenant; initially the configured timeout of the class."""
        estimate = self._estimates.get((class_index, tenant))
        if estimate is None:
            estimate = ClientTimeoutEstimate(self._classes[class_index].request_timeout_us)
            self._estimates[class_index, tenant] = estimate
        return estimate

    def has_varying_timeouts(self, class_index: int, tenant: int) -> bool:
        """Return whether the timeouts of these clients vary too much to detect retries."""
        return self.estimate(class_index, tenant).usual_fraction < MIN_USUAL_FRACTION

    def time_used_us(self, event: RequestArrived) -> int:
        """Return how much of a request's timeout earlier tries have used; 0 for a first try.

        First tries of one class and tenant usually have the same timeout, which is found by majority vote; a
        different timeout indicates a retry. Unmarked requests count as first tries if clients mark their
        retries, or if their timeouts vary widely. The majority vote also keeps first tries from being taken
        for late retries where clients give their last try a longer timeout.
        """
        estimate = self.estimate(event.class_index, event.tenant)
        tolerance_us = SAME_TIMEOUT_TOLERANCE * estimate.usual_us
        is_usual = abs(event.client_timeout_us - estimate.usual_us) <= tolerance_us
        if not event.is_retry:
            was_usual = estimate.usual_fraction >= MIN_USUAL_FRACTION
            estimate.usual_fraction += USUAL_FRACTION_SMOOTHING * (is_usual - estimate.usual_fraction)
            estimate.votes += 1 if is_usual else -1
            is_usual = is_usual or estimate.votes < 0 or self._clients_mark_retries or not was_usual
            if estimate.votes < 0:
                estimate.usual_us, estimate.votes = event.client_timeout_us, 1
        if is_usual:
            return 0
        return max(0, self._classes[event.class_index].request_timeout_us - event.client_timeout_us)
