"""How a server that has just started warms up, and when too much load makes it fall over."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from sagetrack.lab.model.scenario import Fleet

OVERLOAD_MARGIN = 1.1  # times the load that a cold server is said to bear: drawn work varies


class _Arrival(NamedTuple):
    age_us: int  # of the server
    work_us: float


class WarmUp:
    """Owns how warm a server is, and the work that reached it of late while it was cold."""

    def __init__(self, fleet: Fleet, full_capacity: float, is_cold: bool) -> None:
        """Begin; `full_capacity` is the work that the warm server does in a unit of time."""
        self.is_cold = is_cold
        self._fleet = fleet
        self._full_capacity = full_capacity
        self._arrivals: deque[_Arrival] = deque()
        self._arrived_work_us = 0.0

    def capacity_share(self, age_us: int) -> float:
        """The share of its capacity that the server has at an age; it rises evenly."""
        if not self.is_cold:
            return 1.0
        duration_us = self._fleet.cold_s * 1e6
        if duration_us <= 0 or age_us >= duration_us:
            self.is_cold = False
            return 1.0
        start = self._fleet.cold_share
        return start + (1.0 - start) * age_us / duration_us

    def is_overwhelmed_by(self, work_us: float, age_us: int) -> bool:
        """Count more work; whether it is more than a cold server bears (the platform's fourth rule)."""
        if not self.is_cold:
            return False
        window_us = int(self._fleet.fall_s * 1e6)
        self._arrivals.append(_Arrival(age_us, work_us))
        self._arrived_work_us += work_us
        while self._arrivals and self._arrivals[0].age_us <= age_us - window_us:
            self._arrived_work_us -= self._arrivals.popleft().work_us
        capacity = self._full_capacity * self.capacity_share(age_us)
        return self._arrived_work_us > OVERLOAD_MARGIN * self._fleet.fall_multiple * capacity * window_us
