"""The simulated clock: a queue of scheduled callbacks."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

# Time on the gateways' clock at the start of the run. It is not 0, because a start time of 0 means that a
# server has been running for a long time.
GATEWAY_EPOCH_US = 1_000_000_000


class Timer:
    """One scheduled callback, which may be cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the callback."""
        self.callback = None


class SimClock:
    """Runs scheduled callbacks in order of time; those due at the same time run in order of scheduling."""

    __slots__ = ("_heap", "_next", "_now_us")

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._next = count()
        self._now_us = 0

    def now_us(self) -> int:
        """Microseconds since the run began."""
        return self._now_us

    def call_at(self, time_us: int, callback: Callable[[], None]) -> Timer:
        """Schedule a callback; one whose time has passed is due now."""
        timer = Timer(callback)
        heapq.heappush(self._heap, (max(time_us, self._now_us), next(self._next), timer))
        return timer

    def run(self, until: Callable[[], bool], end_us: Callable[[], int]) -> None:
        """Run callbacks until none is left, `until` is true after one, or the next is due after `end_us`."""
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
