"""Which arrivals are clients' retries, and how much of their time is used, by the timeout they come with."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sagetrack.policy.events import RequestArrived
from sagetrack.policy.settings import RequestClass

SAME_TIMEOUT_TOLERANCE = 0.02  # relative: timeouts that differ by less are the same
MIN_USUAL_FRACTION = 0.5  # share of the tries with the usual timeout: with fewer, another one marks no retry
USUAL_FRACTION_SMOOTHING = 0.05  # share of the newest try in `usual_fraction`


@dataclass(slots=True, eq=False)
class ClientTimeoutEstimate:
    """The timeout that one tenant's clients give their first tries of one class."""

    usual_us: int
    votes: int = 0  # for `usual_us`: majority vote of Boyer and Moore
    usual_fraction: float = 1.0  # share of the recent tries that came with it


class ClientTimeouts:
    """The usual client timeout by class and tenant."""

    def __init__(self, classes: Sequence[RequestClass], clients_mark_retries: bool) -> None:
        self._classes = classes
        self._clients_mark_retries = clients_mark_retries
        self._estimates: dict[tuple[int, int], ClientTimeoutEstimate] = {}

    def estimate(self, class_index: int, tenant: int) -> ClientTimeoutEstimate:
        """The estimate for one tenant's requests of a class; the class's own timeout to begin with."""
        estimate = self._estimates.get((class_index, tenant))
        if estimate is None:
            estimate = ClientTimeoutEstimate(self._classes[class_index].request_timeout_us)
            self._estimates[class_index, tenant] = estimate
        return estimate

    def has_varying_timeouts(self, class_index: int, tenant: int) -> bool:
        """Whether these clients give each try a timeout of its own."""
        return self.estimate(class_index, tenant).usual_fraction < MIN_USUAL_FRACTION

    def time_used_us(self, event: RequestArrived) -> int:
        """How much of its time a request's earlier tries have used; 0 for a first try.

        First tries of a class by one tenant all come with the same timeout, found by majority vote; another
        one marks a retry. First tries that are given less than the last are not taken for late retries, and
        where clients give each try a timeout of its own, nothing is taken for one.
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
