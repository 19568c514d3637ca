"""The last things out of the ordinary, call by call: for operators who ask what became of a request.

Bounded and in memory. Nothing is noted for a request that is served by its first attempt; the log has no line
for each request either.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

from sagetrack.core.clock import now_us, wall_us

ENTRIES = 512


class Step(Enum):
    """What has happened."""

    ATTEMPT_FAILED = "attempt_failed"
    ATTEMPT_DENIED = "attempt_withheld"
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_GONE = "client_left"
    CONNECTION_CLOSED = "closed"  # a client's connection, by this process
    VIOLATION = "violation"
    STATE_CHANGED = "state"  # of this process, of a server or of discovery


@dataclass(slots=True, frozen=True)
class Entry:
    at_us: int
    step: Step
    about: str  # a call's id, or what else has changed
    detail: str

    def line(self, ahead_us: int) -> str:
        """For people: Unix time in seconds, by the wall clock as it stands now."""
        return f"{(self.at_us + ahead_us) / 1e6:.3f} {self.step.value} {self.about} {self.detail}".rstrip()


class Trace:
    """The newest entries of one process, the oldest first."""

    def __init__(self, most: int = ENTRIES) -> None:
        self.entries: deque[Entry] = deque(maxlen=most)

    def note(self, step: Step, about: str, detail: str = "") -> None:
        self.entries.append(Entry(now_us(), step, about, detail))

    def lines(self) -> list[str]:
        ahead_us = wall_us() - now_us()
        return [entry.line(ahead_us) for entry in self.entries]
