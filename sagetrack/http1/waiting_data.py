"""When the data arrived that waits in a connection's receive buffer while reading is paused.

A request's time counts from its arrival. What is read at once after a pause may have arrived at different
times, of which the kernel knows only the last. So the amount of unread data is sampled during the pause, and
what arrived between two samples is read on its own.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from sagetrack.core.clock import now_us
from sagetrack.http1.socket_state import last_arrival_us, unread_bytes


@dataclass(slots=True)
class WaitingPart:
    """Bytes that arrived between two samples."""

    size: int
    arrived_us: int  # the earliest time at which they can have arrived


class WaitingData:
    """The unread data of one connection, in the order of its arrival."""

    __slots__ = ("_accepted_since_us", "_parts", "_sampled_us")

    def __init__(self, accepted_since_us: int | None) -> None:
        """Create the state of a connection that was just accepted.

        Args:
            accepted_since_us: The earliest time at which its first data can have arrived; None if it was
                accepted at once.
        """
        self._accepted_since_us = accepted_since_us
        self._parts: deque[WaitingPart] = deque()
        self._sampled_us = 0

    def begin_pause(self, descriptor: int, arrived_us: int) -> None:
        """Take the first sample of a pause.

        Args:
            descriptor: The descriptor of the connection.
            arrived_us: The time at which the data that was read before the pause arrived; 0 means now.
        """
        self._sampled_us = max(arrived_us or now_us(), self._sampled_us)
        self.sample(descriptor)

    def sample(self, descriptor: int) -> None:
        """Count the data that has arrived since the last sample."""
        size = unread_bytes(descriptor) - sum(part.size for part in self._parts)
        if size > 0:
            self._parts.append(WaitingPart(size, self._sampled_us))
        self._sampled_us = now_us()

    def limit(self, size: int) -> int:
        """Return how many of `size` bytes may be read at once, as they arrived at about the same time."""
        return min(size, self._parts[0].size) if self._parts else size

    def take(self, size: int, descriptor: int) -> int:
        """Return when the `size` bytes that were just read had arrived, on the clock of `now_us`."""
        since_us = self._accepted_since_us
        self._accepted_since_us = None
        if not self._parts:
            return last_arrival_us(descriptor, since_us)
        part = self._parts[0]
        part.size -= size
        if part.size <= 0:
            self._parts.popleft()
        return part.arrived_us
