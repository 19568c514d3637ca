"""An event trace: the most recent unusual events of a process, for operators who investigate a request.

The trace is bounded and kept in memory. A request that succeeds with its first attempt leaves no entry.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

from sagetrack.core.clock import now_us, wall_us

MAX_ENTRIES = 512


class TraceEventKind(Enum):
    """Kind of a traced event. The values are part of the output on the admin address."""

    ATTEMPT_FAILED = "attempt_failed"
    ATTEMPT_DENIED = "attempt_withheld"
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_DISCONNECTED = "client_left"
    CONNECTION_CLOSED = "closed"  # this process has closed a client connection
    VIOLATION = "violation"
    STATE_CHANGED = "state"  # the state of this process, of a server or of service discovery has changed


@dataclass(slots=True, frozen=True)
class TraceEntry:
    """One traced event.

    Attributes:
        at_us: Time of the event, in the time of `now_us`.
        kind: The kind of event.
        subject: The id of the request, or the name of the component the event belongs to.
        detail: Free text.
    """

    at_us: int
    kind: TraceEventKind
    subject: str
    detail: str

    def line(self, wall_offset_us: int) -> str:
        """Return the entry as a line of text, with the time as Unix time in seconds.

        Args:
            wall_offset_us: The current difference between the wall clock and `now_us`.
        """
        return (
            f"{(self.at_us + wall_offset_us) / 1e6:.3f} {self.kind.value} " f"{self.subject} {self.detail}"
        ).rstrip()


class EventTrace:
    """The most recent entries of one process, oldest first."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self.entries: deque[TraceEntry] = deque(maxlen=max_entries)

    def record(self, kind: TraceEventKind, subject: str, detail: str = "") -> None:
        """Add an entry, and drop the oldest one if the trace is full."""
        self.entries.append(TraceEntry(now_us(), kind, subject, detail))

    def lines(self) -> list[str]:
        """Return the entries as lines of text, oldest first."""
        wall_offset_us = wall_us() - now_us()
        return [entry.line(wall_offset_us) for entry in self.entries]
