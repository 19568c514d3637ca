"""The clock of a real-time run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class RealClock:
    """Counts microseconds of event-loop time since its creation or the last `restart`.

    Must be created while an event loop is running.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.start_s = self.loop.time()

    def restart(self) -> None:
        """Set the time to 0. Calls that are already scheduled still run at the same loop time."""
        self.start_s = self.loop.time()

    def now_us(self) -> int:
        """Return the microseconds since the start."""
        return int((self.loop.time() - self.start_s) * 1e6)

    def call_at(self, time_us: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Schedule a call at a time of this clock."""
        return self.loop.call_at(self.start_s + time_us / 1e6, callback)
