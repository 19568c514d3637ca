"""Events that the processes of a soak write down: one JSON line each, stamped with the machine's clock.

All processes read CLOCK_MONOTONIC in microseconds: they share it, and no step of the wall clock moves it.
"""

from __future__ import annotations

import time
from pathlib import Path

import msgspec

EVENT_FILES = "*.events"


def now_us() -> int:
    """The time of CLOCK_MONOTONIC, in microseconds."""
    return time.monotonic_ns() // 1000


class Event(msgspec.Struct, tag=True):
    """Anything that a process has seen; `at_us` is when, and the class name is the tag in the file."""

    at_us: int


class RequestSent(Event):
    """A client has written the last byte of a request."""

    request_id: str
    class_name: str
    budget_ms: int
    gateway: int
    first_on_connection: bool  # and in time, so that the client does not resend it
    is_resend: bool  # the connection before has ended without a response


class ResponseReceived(Event):
    """A client has read the last byte of a response."""

    request_id: str
    status: int  # 0: the response has begun, and the client could tell that it was cut off
    body_correct: bool  # the body is the one made for this request; also true for any status but 200


class ResponseMissing(Event):
    """A client's connection has ended, or its patience, before a response began."""

    request_id: str
    connection_closed: bool


class ClientDisconnected(Event):
    """A client has closed its connection before the response."""

    request_id: str


class AttemptStarted(Event):
    """The first byte of an attempt has reached the fault proxy."""

    request_id: str
    gateway: int
    server: int
    budget_ms: int  # the time left, as the attempt's header says; -1 without one


class AttemptReceived(Event):
    """The last byte of an attempt's request has reached the fault proxy."""

    request_id: str
    gateway: int
    server: int


class RequestRejected(Event):
    """A server has rejected a request without processing it."""

    request_id: str
    server: int


class DuplicateResponseSent(Event):
    """A server has sent a response for the second time."""

    server: int
    delay_us: int  # after the first


class MalformedRequestIgnored(Event):
    """A client that sent a malformed request got neither an error nor a close in time."""

    gateway: int
    data: str


AnyEvent = (
    RequestSent
    | ResponseReceived
    | ResponseMissing
    | ClientDisconnected
    | AttemptStarted
    | AttemptReceived
    | RequestRejected
    | DuplicateResponseSent
    | MalformedRequestIgnored
)


class EventWriter:
    """Appends the events of one process to a file of its own, without a buffer."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("ab", buffering=0)
        self._encoder = msgspec.json.Encoder()

    def write(self, event: AnyEvent) -> None:
        """Append one event as one line."""
        self.file.write(self._encoder.encode(event) + b"\n")


def read_events(folder: Path) -> list[AnyEvent]:
    """All events of all processes in the order of time.

    A last line that was cut off, by the end of its process, is left out.
    """
    decoder: msgspec.json.Decoder[AnyEvent] = msgspec.json.Decoder(AnyEvent)
    events: list[AnyEvent] = []
    for path in sorted(folder.glob(EVENT_FILES)):
        complete_lines = path.read_bytes().split(b"\n")[:-1]
        events += [decoder.decode(line) for line in complete_lines]
    return sorted(events, key=lambda event: event.at_us)
