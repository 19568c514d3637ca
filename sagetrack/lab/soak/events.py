"""What the parties of a soak write down: one JSON line for each event, stamped with the machine's own clock.

All processes read CLOCK_MONOTONIC, which no step moves and which they share, in microseconds.
"""

from __future__ import annotations

import time
from pathlib import Path

import msgspec


def now_us() -> int:
    return time.monotonic_ns() // 1000


class Event(msgspec.Struct, tag=True):
    at_us: int


class Sent(Event):
    """A client has written the last byte of a request."""

    call: str
    class_name: str
    budget_ms: int
    gateway: int
    fresh: bool  # the first request on its connection
    again: bool  # sent once more, as the connection before ended unanswered


class Answered(Event):
    """A client has read the last byte of an answer."""

    call: str
    status: int  # 0: it has begun and did not come whole, as the client can tell
    right: bool  # the body is the one made for this request, or the answer is no 200


class Unanswered(Event):
    """A client's connection has ended, or its patience, without an answer."""

    call: str
    closed: bool


class Left(Event):
    """A client has closed its connection before its answer."""

    call: str


class Begun(Event):
    """The first byte of an attempt has come to the fault proxy."""

    call: str
    gateway: int
    server: int
    told_ms: int


class Whole(Event):
    """The last byte of an attempt has come to the fault proxy."""

    call: str
    gateway: int
    server: int


class Rejected(Event):
    """A server has turned a request away unseen."""

    call: str
    server: int


class Second(Event):
    """A server has sent an answer once more, so long after the first as its machine let it."""

    server: int
    late_us: int


class Misbehaved(Event):
    """A client that sends what cannot be read got neither an error nor a close in time."""

    gateway: int
    what: str


AnyEvent = Sent | Answered | Unanswered | Left | Begun | Whole | Rejected | Second | Misbehaved


class Journal:
    """One party's events, in a file of its own."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("ab", buffering=0)
        self.encoder = msgspec.json.Encoder()

    def write(self, event: AnyEvent) -> None:
        self.file.write(self.encoder.encode(event) + b"\n")


def read(folder: Path) -> list[AnyEvent]:
    """All events of all parties, in order of time; a last line that was cut off is left out."""
    decoder: msgspec.json.Decoder[AnyEvent] = msgspec.json.Decoder(AnyEvent)
    events: list[AnyEvent] = []
    for path in sorted(folder.glob("*.events")):
        for line in path.read_bytes().split(b"\n")[:-1]:
            events.append(decoder.decode(line))
    return sorted(events, key=lambda event: event.at_us)
