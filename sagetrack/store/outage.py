"""Whether the store fails now, and when it is tried again."""

from __future__ import annotations

import time

RETRY_S = 5.0  # after a failure


class Outage:
    """Whether the store fails now, and when it is tried again."""

    __slots__ = ("_retry_at_s", "active")

    def __init__(self) -> None:
        self.active = False
        self._retry_at_s = 0.0

    @property
    def backing_off(self) -> bool:
        """Whether it is too early for a retry."""
        return self.active and time.monotonic() < self._retry_at_s

    def begin(self) -> bool:
        """Note a failure and put off the next try; returns whether it is the first of this outage."""
        self._retry_at_s = time.monotonic() + RETRY_S
        is_first = not self.active
        self.active = True
        return is_first

    def end(self) -> bool:
        """Note a success; returns whether it ends an outage."""
        was_active = self.active
        self.active = False
        return was_active
