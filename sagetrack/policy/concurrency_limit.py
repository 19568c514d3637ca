"""An adaptive limit on requests in flight, based on measured latency."""

from __future__ import annotations

import math

TOLERANCE = 2.0  # latency up to this multiple of the baseline does not indicate queueing
MIN_GRADIENT = 0.5  # lower bound of the factor by which the limit falls
LIMIT_SMOOTHING = 0.2  # weight of the newest target
LATENCY_SMOOTHING = 0.1  # weight of the newest latency ratio
MIN_LIMIT = 1.0
# Bound on the latency ratio of one request, because one slow server among many is not an overload
MAX_RATIO = 2 * TOLERANCE


class ConcurrencyLimit:
    """A limit on requests in flight that adapts to latency relative to the baseline.

    It uses the gradient algorithm of Netflix's concurrency limits (2018, public description), which resembles
    TCP Vegas (Brakmo, Peterson, 1995): the limit is multiplied by the ratio of baseline to measured latency,
    plus the square root of the limit as headroom. The limit grows only while it is used. It never falls below
    `minimum`, which the owner sets to the number of requests that the servers process without queueing;
    otherwise requests that hang at a few servers would keep all other servers idle.
    """

    __slots__ = ("limit", "maximum", "minimum", "ratio")

    def __init__(self, initial: float = 20.0, maximum: float = 10_000.0) -> None:
        self.limit, self.maximum = initial, maximum
        self.minimum = MIN_LIMIT
        self.ratio = 1.0  # smoothed ratio of latency to baseline

    def update(
        self, latency_us: float, baseline_latency_us: float, in_flight: int, rejected: bool = False
    ) -> None:
        """Update the limit with the latency of a request that has ended or was rejected by its server."""
        ratio = latency_us / max(1.0, baseline_latency_us)
        self.ratio += LATENCY_SMOOTHING * (min(ratio, MAX_RATIO) - self.ratio)
        gradient = MIN_GRADIENT if rejected else min(1.0, TOLERANCE / max(self.ratio, 1e-9))
        gradient = max(MIN_GRADIENT, gradient)
        if gradient >= 1.0 and in_flight < self.limit / 2:
            return
        target = self.limit * gradient + math.sqrt(self.limit)
        if rejected:
            target = self.limit * gradient
        # Many requests end within one latency period, so each contributes its part of the change.
        weight = LIMIT_SMOOTHING / max(1.0, min(self.limit, in_flight))
        self.limit += weight * (target - self.limit)
        self.limit = min(self.maximum, max(self.minimum, self.limit))

    def has_capacity(self, in_flight: int) -> bool:
        """Return whether the limit allows one more request in flight."""
        return in_flight < max(self.minimum, self.limit)
