"""An adaptive limit on the requests in flight, from measured latency."""

from __future__ import annotations

import math

TOLERANCE = 2.0  # times the baseline latency that is no sign of queueing
MIN_GRADIENT = 0.5  # the most that one adjustment takes away
LIMIT_SMOOTHING = 0.2  # weight of the newest value
LATENCY_SMOOTHING = 0.1
MIN_LIMIT = 1.0
MAX_RATIO = 2 * TOLERANCE  # one request counts for no more: a slow server among many is no overload


class ConcurrencyLimit:
    """A limit on requests in flight that follows latency relative to the baseline.

    The gradient method of Netflix's concurrency limits (2018, public description), close to TCP Vegas
    (Brakmo, Peterson, 1995): the limit is multiplied by the ratio of baseline to measured latency, and gains
    the square root of itself as headroom. It grows only while it is used. It never falls below `minimum`,
    which its owner sets to what the servers hold without queueing: else requests that hang at a few servers
    would keep all other servers idle.
    """

    __slots__ = ("limit", "maximum", "minimum", "ratio")

    def __init__(self, initial: float = 20.0, maximum: float = 10_000.0) -> None:
        self.limit, self.maximum = initial, maximum
        self.minimum = MIN_LIMIT
        self.ratio = 1.0  # smoothed latency over the baseline

    def update(
        self, latency_us: float, baseline_latency_us: float, in_flight: int, rejected: bool = False
    ) -> None:
        """Take the latency of one request that has ended, or that an overloaded server rejected it."""
        ratio = latency_us / max(1.0, baseline_latency_us)
        self.ratio += LATENCY_SMOOTHING * (min(ratio, MAX_RATIO) - self.ratio)
        gradient = MIN_GRADIENT if rejected else min(1.0, TOLERANCE / max(self.ratio, 1e-9))
        gradient = max(MIN_GRADIENT, gradient)
        if gradient >= 1.0 and in_flight < self.limit / 2:
            return
        target = self.limit * gradient + math.sqrt(self.limit)
        if rejected:
            target = self.limit * gradient
        # Many requests end within one latency: each moves the limit by its part.
        weight = LIMIT_SMOOTHING / max(1.0, min(self.limit, in_flight))
        self.limit += weight * (target - self.limit)
        self.limit = min(self.maximum, max(self.minimum, self.limit))

    def has_capacity(self, in_flight: int) -> bool:
        """Whether one more request may be in flight."""
        return in_flight < max(self.minimum, self.limit)
