"""Measures the rate at which the servers complete work, while requests are queued."""

from __future__ import annotations

import math

DECAY_TIME_US = 1_000_000  # measurements decay to 1/e in this time
MAX_GAP_US = 250_000  # longer gaps are counted as this long, as they may be clock jumps
MIN_MEASURED_US = MAX_GAP_US / 5  # with less measured time, the assumed rate is used
MIN_RATE = 1e-6  # keeps the measured rate above 0


class ServiceRate:
    """Work done per microsecond by all servers that this gateway uses."""

    def __init__(self) -> None:
        self.assumed_rate = 1.0  # used until enough time has been measured
        self._work_us, self._time_us = 0.0, 0.0  # decayed sums of work and measured time
        self._last_us: int | None = None  # time of the last record; None: no request has been queued since

    @property
    def per_us(self) -> float:
        """The current rate."""
        if self._time_us < MIN_MEASURED_US:
            return self.assumed_rate
        return max(MIN_RATE, self._work_us / self._time_us)

    def record(self, work_us: float, now_us: int, still_queueing: bool) -> None:
        """Record that a request with this much work has left the queue for service."""
        if self._last_us is not None:
            gap_us = min(max(0, now_us - self._last_us), MAX_GAP_US)
            decay = math.exp(-gap_us / DECAY_TIME_US)
            self._work_us = self._work_us * decay + work_us
            self._time_us = self._time_us * decay + gap_us
        self._last_us = now_us if still_queueing else None

    def stop_measuring(self) -> None:
        """Stop measuring until the next request is served, because the queue is empty."""
        self._last_us = None
