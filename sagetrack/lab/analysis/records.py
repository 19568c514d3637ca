"""Records of the events of a run, as seen by clients, servers and discovery.

Rule checks and reports read only these records. They use three terms: a client's *request* is sent to
gateways as one or more *calls* (one for each try by the client), and for each call a gateway sends one or
more *attempts* to servers. A *member* is a tenant of the scenario.

A record is a tuple: its kind, its time in microseconds since the start of the run, and the fields of its
kind. A file of records starts with a JSON line that holds the scenario, the seed and the driver, followed by
one JSON array per record.

The kinds are short strings of the file format. This module maps each of them to a type with named fields:
`Records.of_type(ServerStarted)` yields the `start` records as `ServerStarted` tuples.
"""

from __future__ import annotations

import gzip
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

Record = tuple[Any, ...]


class CallSent(NamedTuple):
    """`ask`: a client sent a call, which is one try of a request, to a gateway."""

    kind: str
    time_us: int
    call: str
    gateway: int
    class_index: int
    member: int
    budget_us: int  # time after which the client gives up
    key: int | None  # idempotency key
    request: str
    try_number: int  # starts at 1


class CallAnswered(NamedTuple):
    """`answer`: a call ended, with the result that its client saw."""

    kind: str
    time_us: int
    call: str
    gateway: int
    verdict: str  # served, refused, failed, broken (ended without a response) or unreachable
    retry_after_us: int


class CallCancelled(NamedTuple):
    """`gone`: a client stopped waiting for a call."""

    kind: str
    time_us: int
    call: str
    gateway: int


class AttemptReceived(NamedTuple):
    """`recv`: a gateway's attempt reached a server."""

    kind: str
    time_us: int
    call: str
    server: int
    gateway: int
    verdict: str  # taken (accepted), rejected or lost (the server does not respond)
    work_us: int  # randomly drawn work, as time on a standard core
    sent_us: int


class Execution(NamedTuple):
    """`run`: a server finished executing an attempt."""

    kind: str
    time_us: int
    call: str
    server: int
    key: int | None
    has_effect: int  # 0 if the server dropped the attempt as a duplicate by its idempotency key, else 1


class StatusReceived(NamedTuple):
    """`told`: discovery reported a server's status to a gateway."""

    kind: str
    time_us: int
    gateway: int
    server: int
    status: str


class ServerStarted(NamedTuple):
    """`start`: a server process started."""

    kind: str
    time_us: int
    server: int
    zone: int
    rack: int
    is_cold: int  # 1 if the server has to warm up, else 0
    capacity: float  # in standard cores, when warm


class ServerStopped(NamedTuple):
    """`stop`: a server process ended."""

    kind: str
    time_us: int
    server: int
    reason: str


class GatewayStateChanged(NamedTuple):
    """`gateway`: a gateway process started, stopped or began an upgrade."""

    kind: str
    time_us: int
    gateway: int
    state: str  # up, down, left or upgrade (a hot restart begins)


class FaultStateChanged(NamedTuple):
    """`trouble`: a scheduled fault began or ended."""

    kind: str
    time_us: int
    fault: str
    state: str  # begins or ends
    detail: Any


class RequestFinished(NamedTuple):
    """`request`: a request ended, with its outcome after all tries."""

    kind: str
    time_us: int
    request: str
    class_index: int
    member: int
    outcome: str  # served, late, refused, failed or unanswered
    due_us: int  # scheduled send time; the load generator may have sent the request later
    tries: int


class ServerLoad(NamedTuple):
    """`load`: a sample of a server's load."""

    kind: str
    time_us: int
    server: int
    in_flight: int
    running: int
    is_overloaded: bool


class LateSend(NamedTuple):
    """`late`: the load generator sent a request later than scheduled."""

    kind: str
    time_us: int
    late_us: int


class RequestClient(NamedTuple):
    """`client`: the client, among those of the member, that sent a request."""

    kind: str
    time_us: int
    request: str
    client: int


class RetryAdvised(NamedTuple):
    """`advised`: a refusal with a retry time reached a client that honors such advice."""

    kind: str
    time_us: int
    call: str
    request: str
    try_number: int
    retry_after_us: int


class DnsQueryFinished(NamedTuple):
    """`dns`: a DNS query ended, with its outcome."""

    kind: str
    time_us: int
    gateway: int
    outcome: str  # served, late, refused, failed or unanswered
    due_us: int  # scheduled send time


KINDS: dict[type[Any], str] = {
    CallSent: "ask",
    CallAnswered: "answer",
    CallCancelled: "gone",
    AttemptReceived: "recv",
    Execution: "run",
    StatusReceived: "told",
    ServerStarted: "start",
    ServerStopped: "stop",
    GatewayStateChanged: "gateway",
    FaultStateChanged: "trouble",
    RequestFinished: "request",
    ServerLoad: "load",
    LateSend: "late",
    RequestClient: "client",
    RetryAdvised: "advised",
    DnsQueryFinished: "dns",
}
"""The kind of each record type in a file."""

TYPES = {kind: record_type for record_type, kind in KINDS.items()}

RecordT = TypeVar("RecordT")


class Records:
    """The records of one run, ordered by time."""

    __slots__ = ("header", "rows")

    def __init__(self, header: dict[str, Any] | None = None) -> None:
        self.header = header or {}
        self.rows: list[Record] = []

    def add(self, kind: str, time_us: int, *fields: Any) -> None:
        """Append a record; `fields` are the fields of its kind, in the order of the kind's type."""
        self.rows.append((kind, time_us, *fields))

    def rows_of(self, *kinds: str) -> Iterator[Record]:
        """Iterate over the records of these kinds as plain tuples, ordered by time."""
        return (row for row in self.rows if row[0] in kinds)

    def of_type(self, record_type: type[RecordT]) -> Iterator[RecordT]:
        """Iterate over the records of one type, ordered by time."""
        kind = KINDS[record_type]
        return (record_type(*row) for row in self.rows if row[0] == kind)

    def of_types(self, *record_types: type[Any]) -> Iterator[Any]:
        """Iterate over the records of several types, ordered by time."""
        kinds = [KINDS[record_type] for record_type in record_types]
        return (TYPES[row[0]](*row) for row in self.rows_of(*kinds))

    def last_us(self) -> int:
        """Return the time of the latest record, or 0 without records."""
        return max((row[1] for row in self.rows), default=0)

    def lines(self) -> Iterator[str]:
        """Iterate over the lines of the file. The same run in virtual time gives the same bytes."""
        yield json.dumps(self.header, sort_keys=True, separators=(",", ":")) + "\n"
        for row in self.rows:
            yield json.dumps(row, separators=(",", ":")) + "\n"

    def write(self, path: Path | str) -> None:
        """Write the records to a file, gzip-compressed if its name ends with .gz."""
        path = Path(path)
        if path.suffix == ".gz":
            with gzip.GzipFile(path, "wb", mtime=0) as archive:
                archive.writelines(line.encode() for line in self.lines())
        else:
            path.write_text("".join(self.lines()), encoding="utf-8")


def read_records(path: Path | str) -> Records:
    """Read a file written by `Records.write`; an incomplete last line is ignored.

    Raises:
        ValueError: The file has no complete line, or a line is not JSON; the message has the line's number.
    """
    path = Path(path)
    data = gzip.decompress(path.read_bytes()) if path.suffix == ".gz" else path.read_bytes()
    lines = data.decode("utf-8").split("\n")
    complete = lines[:-1]
    if not complete:
        raise ValueError(f"{path}: the file has no complete line")
    records = Records()
    for number, line in enumerate(complete, 1):
        try:
            value = json.loads(line)
        except ValueError as error:
            raise ValueError(f"{path}:{number}: the line is not valid JSON: {error}") from None
        if number == 1:
            records.header = value
        else:
            records.rows.append(tuple(value))
    return records
