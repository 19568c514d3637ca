"""The simulated clock: a queue of scheduled calls."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

GATEWAY_EPOCH_US = 1_000_000_000  # the gateways' clock at the run's start: 0 would mean long ago


class Timer:
    """One scheduled call; the clock skips it once it is cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Keep the call from being made."""
        self.callback = None


class SimClock:
    """A heap of scheduled calls; those due at one time run in the order in which they were scheduled."""

    __slots__ = ("_heap", "_next", "_now_us")

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._next = count()
        self._now_us = 0

    def now_us(self) -> int:
        """Microseconds since the run began."""
        return self._now_us

    def call_at(self, time_us: int, callback: Callable[[], None]) -> Timer:
        """Schedule a call; one whose time is past is due now."""
        timer = Timer(callback)
        heapq.heappush(self._heap, (max(time_us, self._now_us), next(self._next), timer))
        return timer

    def run(self, until: Callable[[], bool], end_us: Callable[[], int]) -> None:
        """Make the scheduled calls until none is left, `until` holds after one, or `end_us` is passed."""
        heap, pop = self._heap, heapq.heappop
        while heap:
            time_us, _, timer = pop(heap)
            callback = timer.callback
            if callback is None:
                continue
            if time_us > end_us():
                return
            self._now_us = time_us
            callback()
            if until():
                return
