"""A flight recorder: the latest unusual events of a process, for operators who look into one request.

It is bounded and in memory. A request that its first attempt serves leaves no entry.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

from sagetrack.core.clock import now_us, wall_us

MAX_ENTRIES = 512


class TraceEventKind(Enum):
    """What has happened. The values are part of the output of the admin address."""

    ATTEMPT_FAILED = "attempt_failed"
    ATTEMPT_DENIED = "attempt_withheld"
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_DISCONNECTED = "client_left"
    CONNECTION_CLOSED = "closed"  # a client's connection, by this process
    VIOLATION = "violation"
    STATE_CHANGED = "state"  # of this process, of a server or of discovery


@dataclass(slots=True, frozen=True)
class TraceEntry:
    """One event.

    Attributes:
        at_us: When it happened, by `now_us`.
        kind: What has happened.
        subject: The id of the request, or the name of what else has changed.
        detail: Free text.
    """

    at_us: int
    kind: TraceEventKind
    subject: str
    detail: str

    def line(self, wall_offset_us: int) -> str:
        """Return the entry as text, with Unix time in seconds.

        Args:
            wall_offset_us: How far the wall clock is ahead of `now_us` at the moment.
        """
        return (
            f"{(self.at_us + wall_offset_us) / 1e6:.3f} {self.kind.value} " f"{self.subject} {self.detail}"
        ).rstrip()


class EventTrace:
    """The latest entries of one process, oldest first."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self.entries: deque[TraceEntry] = deque(maxlen=max_entries)

    def record(self, kind: TraceEventKind, subject: str, detail: str = "") -> None:
        """Add an entry; the oldest is dropped where there are too many."""
        self.entries.append(TraceEntry(now_us(), kind, subject, detail))

    def lines(self) -> list[str]:
        """Return the entries as text, oldest first."""
        wall_offset_us = wall_us() - now_us()
        return [entry.line(wall_offset_us) for entry in self.entries]
