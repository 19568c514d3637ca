"""The rate at which the servers do work, measured while requests are queued."""

from __future__ import annotations

import math

DECAY_TIME_US = 1_000_000  # served work counts by 1/e after this
MAX_GAP_US = 250_000  # a gap between two services counts for no longer: a clock jump says nothing of the rate
MIN_MEASURED_US = MAX_GAP_US / 5  # with less measured time, the assumed rate is used
MIN_RATE = 1e-6


class ServiceRate:
    """Work done in a microsecond by all servers that this gateway uses."""

    def __init__(self) -> None:
        self.assumed_rate = 1.0  # until enough has been measured
        self._work_us, self._time_us = 0.0, 0.0  # decayed: served from the queue, and in what time
        self._last_us: int | None = None  # the last service, if requests have been queued ever since

    @property
    def per_us(self) -> float:
        """The rate now."""
        if self._time_us < MIN_MEASURED_US:
            return self.assumed_rate
        return max(MIN_RATE, self._work_us / self._time_us)

    def record(self, work_us: float, now_us: int, still_queueing: bool) -> None:
        """Count a request that left the queue for service."""
        if self._last_us is not None:
            gap_us = min(max(0, now_us - self._last_us), MAX_GAP_US)
            decay = math.exp(-gap_us / DECAY_TIME_US)
            self._work_us = self._work_us * decay + work_us
            self._time_us = self._time_us * decay + gap_us
        self._last_us = now_us if still_queueing else None

    def stop_measuring(self) -> None:
        """The queue is empty: the time until the next service is not measured."""
        self._last_us = None
