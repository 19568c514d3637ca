"""Warm-up of a server that has just started, and the load at which a cold server crashes."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from sagetrack.lab.model.scenario import Fleet

OVERLOAD_MARGIN = 1.1  # tolerance over the configured load limit, because the drawn work varies


class _Arrival(NamedTuple):
    age_us: int  # age of the server at the arrival
    work_us: float


class WarmUp:
    """Tracks whether a server is cold, and the work that it received in the last `fall_s` while cold."""

    def __init__(self, fleet: Fleet, full_capacity: float, is_cold: bool) -> None:
        """Start tracking; `full_capacity` is the work that the warm server completes per unit of time."""
        self.is_cold = is_cold
        self._fleet = fleet
        self._full_capacity = full_capacity
        self._arrivals: deque[_Arrival] = deque()
        self._arrived_work_us = 0.0

    def capacity_share(self, age_us: int) -> float:
        """Return the share of its full capacity that the server has at an age; it rises linearly."""
        if not self.is_cold:
            return 1.0
        duration_us = self._fleet.cold_s * 1e6
        if duration_us <= 0 or age_us >= duration_us:
            self.is_cold = False
            return 1.0
        start = self._fleet.cold_share
        return start + (1.0 - start) * age_us / duration_us

    def is_overloaded_by(self, work_us: float, age_us: int) -> bool:
        """Record received work; return whether it overloads the cold server (rule 4 of the platform)."""
        if not self.is_cold:
            return False
        window_us = int(self._fleet.fall_s * 1e6)
        self._arrivals.append(_Arrival(age_us, work_us))
        self._arrived_work_us += work_us
        while self._arrivals and self._arrivals[0].age_us <= age_us - window_us:
            self._arrived_work_us -= self._arrivals.popleft().work_us
        capacity = self._full_capacity * self.capacity_share(age_us)
        return self._arrived_work_us > OVERLOAD_MARGIN * self._fleet.fall_multiple * capacity * window_us
