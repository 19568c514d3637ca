"""Tracking of an outage of the store, and of the time of the next retry."""

from __future__ import annotations

import time

RETRY_S = 5.0  # time from a failure to the next attempt


class Outage:
    """State of an outage, which begins with a failed operation and ends with a successful one."""

    __slots__ = ("_retry_at_s", "active")

    def __init__(self) -> None:
        self.active = False
        self._retry_at_s = 0.0

    @property
    def backing_off(self) -> bool:
        """True if an outage is active and the retry is not due yet."""
        return self.active and time.monotonic() < self._retry_at_s

    def begin(self) -> bool:
        """Record a failure and postpone the retry; return whether the failure starts an outage."""
        self._retry_at_s = time.monotonic() + RETRY_S
        is_first = not self.active
        self.active = True
        return is_first

    def end(self) -> bool:
        """Record a success; return whether it ends an outage."""
        was_active = self.active
        self.active = False
        return was_active
