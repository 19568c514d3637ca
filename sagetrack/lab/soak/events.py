"""Events that the processes of a soak record, one JSON line each.

Timestamps are microseconds of CLOCK_MONOTONIC, which all processes of the machine share and which steps of
the wall clock do not change.
"""

from __future__ import annotations

import time
from pathlib import Path

import msgspec

EVENT_FILES = "*.events"


def now_us() -> int:
    """Return the time of CLOCK_MONOTONIC in microseconds."""
    return time.monotonic_ns() // 1000


class Event(msgspec.Struct, tag=True):
    """Base class of events. `at_us` is the time of the event; the class name is the tag in the file."""

    at_us: int


class RequestSent(Event):
    """A client has written the last byte of a request."""

    request_id: str
    class_name: str
    budget_ms: int
    gateway: int
    first_on_connection: bool  # sent on a fresh connection, so the client does not resend it
    is_resend: bool  # sent again because the previous connection ended without a response
    is_pipelined: bool = False  # the client always has requests in flight on the connection


class ResponseReceived(Event):
    """A client has read the last byte of a response."""

    request_id: str
    status: int  # 0 if the response was detectably truncated
    body_correct: bool  # the body belongs to this request; always true if the status is not 200


class ResponseMissing(Event):
    """A client's connection ended, or its wait timed out, before a response began."""

    request_id: str
    connection_closed: bool


class ResponseUnfinished(Event):
    """A short response has begun, and has neither ended nor been cut off long after its time."""

    request_id: str


class ClientDisconnected(Event):
    """A client has closed its connection before the response."""

    request_id: str


class IdRepeated(Event):
    """A client has sent a request, left, and sent another request with the same ID."""

    request_id: str
    class_name: str
    gateway: int


class AttemptStarted(Event):
    """The first byte of an attempt has reached the fault proxy."""

    request_id: str
    gateway: int
    server: int
    budget_ms: int  # remaining budget from the attempt's header; -1 if there is no header


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
    """A server has sent a response a second time."""

    server: int
    delay_us: int  # time since the first response


class MalformedRequestIgnored(Event):
    """A client that sent a malformed request got neither an error nor a close in time."""

    gateway: int
    data: str


AnyEvent = (
    RequestSent
    | ResponseReceived
    | ResponseMissing
    | ResponseUnfinished
    | ClientDisconnected
    | IdRepeated
    | AttemptStarted
    | AttemptReceived
    | RequestRejected
    | DuplicateResponseSent
    | MalformedRequestIgnored
)


class EventWriter:
    """Appends the events of one process to its own file, without buffering."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("ab", buffering=0)
        self._encoder = msgspec.json.Encoder()

    def write(self, event: AnyEvent) -> None:
        """Append one event as one line."""
        self.file.write(self._encoder.encode(event) + b"\n")


def read_events(folder: Path) -> list[AnyEvent]:
    """Read the events of all processes in chronological order.

    An incomplete last line of a file, left by a process that was killed, is ignored.
    """
    decoder: msgspec.json.Decoder[AnyEvent] = msgspec.json.Decoder(AnyEvent)
    events: list[AnyEvent] = []
    for path in sorted(folder.glob(EVENT_FILES)):
        complete_lines = path.read_bytes().split(b"\n")[:-1]
        events += [decoder.decode(line) for line in complete_lines]
    return sorted(events, key=lambda event: event.at_us)
