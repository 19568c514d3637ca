"""The clock of a run in real time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class RealClock:
    """Microseconds of the event loop since the run began; it needs a running loop.

    A run begins with the clock's creation, and again with each `restart`.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.start_s = self.loop.time()

    def restart(self) -> None:
        """Count from now on. Calls that are already planned keep their time of the loop."""
        self.start_s = self.loop.time()

    def now_us(self) -> int:
        """Microseconds since the start."""
        return int((self.loop.time() - self.start_s) * 1e6)

    def call_at(self, time_us: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Plan a call."""
        return self.loop.call_at(self.start_s + time_us / 1e6, callback)
