"""What happened in a run, as seen by clients, servers and discovery; judges and reports read nothing else.

One record is a tuple: kind, time in microseconds since the run began, then the kind's own fields. In a file
it is one JSON array a line, after a first line that names the scenario, the seed and the driver.

The kinds are words of that file format. Here, and only here, each is given a type with named fields:
`Records.of_type(ServerStarted)` yields the `start` records in that form.
"""

from __future__ import annotations

import gzip
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

Record = tuple[Any, ...]


class CallSent(NamedTuple):
    """`ask`: a client sent one call, a try of a request, to a gateway."""

    kind: str
    time_us: int
    call: str
    gateway: int
    class_index: int
    member: int
    budget_us: int  # until the client gives up
    key: int | None  # idempotency key
    request: str
    try_number: int  # from 1


class CallAnswered(NamedTuple):
    """`answer`: how a call ended for its client."""

    kind: str
    time_us: int
    call: str
    gateway: int
    verdict: str  # served, refused, failed, broken or unreachable
    retry_after_us: int


class CallCancelled(NamedTuple):
    """`gone`: a client stopped waiting for a call."""

    kind: str
    time_us: int
    call: str
    gateway: int


class AttemptReceived(NamedTuple):
    """`recv`: an attempt of a gateway reached a server."""

    kind: str
    time_us: int
    call: str
    server: int
    gateway: int
    verdict: str  # taken, rejected or lost
    work_us: int  # as drawn, on a standard core
    sent_us: int


class Execution(NamedTuple):
    """`run`: a server finished the work of an attempt."""

    kind: str
    time_us: int
    call: str
    server: int
    key: int | None
    has_effect: int  # 1; 0 if the server dropped it as a duplicate of its key


class StatusReceived(NamedTuple):
    """`told`: discovery gave a gateway the status of a server."""

    kind: str
    time_us: int
    gateway: int
    server: int
    status: str


class ServerStarted(NamedTuple):
    """`start`: a server process began."""

    kind: str
    time_us: int
    server: int
    zone: int
    rack: int
    is_cold: int  # 1 if it has to warm up
    capacity: float  # standard cores, once warm


class ServerStopped(NamedTuple):
    """`stop`: a server process ended."""

    kind: str
    time_us: int
    server: int
    reason: str


class GatewayStateChanged(NamedTuple):
    """`gateway`: a gateway process came up or went down."""

    kind: str
    time_us: int
    gateway: int
    state: str  # up, down, left or upgrade


class FaultStateChanged(NamedTuple):
    """`trouble`: a planned fault began or ended."""

    kind: str
    time_us: int
    fault: str
    state: str  # begins or ends
    detail: Any


class RequestFinished(NamedTuple):
    """`request`: what became of a request over all its tries."""

    kind: str
    time_us: int
    request: str
    class_index: int
    member: int
    outcome: str  # served, late, refused, failed or unanswered
    due_us: int  # when the schedule had it sent, also if the load ran late
    tries: int


class ServerLoad(NamedTuple):
    """`load`: a sample of one server's load."""

    kind: str
    time_us: int
    server: int
    in_flight: int
    running: int
    is_overloaded: bool


class LateSend(NamedTuple):
    """`late`: the load generator sent a request late."""

    kind: str
    time_us: int
    late_us: int


class RequestClient(NamedTuple):
    """`client`: which of its member's clients sent a request."""

    kind: str
    time_us: int
    request: str
    client: int


class RetryAdvised(NamedTuple):
    """`advised`: a refusal said when to retry, to a client that follows such advice."""

    kind: str
    time_us: int
    call: str
    request: str
    try_number: int
    retry_after_us: int


class DnsQueryFinished(NamedTuple):
    """`dns`: what became of a DNS query."""

    kind: str
    time_us: int
    gateway: int
    outcome: str  # served, late, refused, failed or unanswered
    due_us: int


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
"""By type, the word for its records in a file."""

TYPES = {kind: record_type for record_type, kind in KINDS.items()}

RecordT = TypeVar("RecordT")


class Records:
    """Records of one run, in order of time."""

    __slots__ = ("header", "rows")

    def __init__(self, header: dict[str, Any] | None = None) -> None:
        self.header = header or {}
        self.rows: list[Record] = []

    def add(self, kind: str, time_us: int, *fields: Any) -> None:
        """Append a record of this kind, with the kind's own fields in their order."""
        self.rows.append((kind, time_us, *fields))

    def rows_of(self, *kinds: str) -> Iterator[Record]:
        """The records of these kinds as bare tuples, in their order."""
        return (row for row in self.rows if row[0] in kinds)

    def of_type(self, record_type: type[RecordT]) -> Iterator[RecordT]:
        """The records of one kind, with named fields, in their order."""
        kind = KINDS[record_type]
        return (record_type(*row) for row in self.rows if row[0] == kind)

    def of_types(self, *record_types: type[Any]) -> Iterator[Any]:
        """The records of several kinds, with named fields, in the order in which they happened."""
        kinds = [KINDS[record_type] for record_type in record_types]
        return (TYPES[row[0]](*row) for row in self.rows_of(*kinds))

    def last_us(self) -> int:
        """The latest time of any record; 0 without records."""
        return max((row[1] for row in self.rows), default=0)

    def lines(self) -> Iterator[str]:
        """The file's lines; byte for byte the same for the same run in virtual time."""
        yield json.dumps(self.header, sort_keys=True, separators=(",", ":")) + "\n"
        for row in self.rows:
            yield json.dumps(row, separators=(",", ":")) + "\n"

    def write(self, path: Path | str) -> None:
        """Write the records to a file, compressed if its name ends with .gz."""
        path = Path(path)
        if path.suffix == ".gz":
            with gzip.GzipFile(path, "wb", mtime=0) as archive:
                archive.writelines(line.encode() for line in self.lines())
        else:
            path.write_text("".join(self.lines()), encoding="utf-8")


def read_records(path: Path | str) -> Records:
    """Read a file that `Records.write` wrote; a last line that was cut short is left out.

    Raises:
        ValueError: the file has no records, or a line is not JSON; the message names the line.
    """
    path = Path(path)
    data = gzip.decompress(path.read_bytes()) if path.suffix == ".gz" else path.read_bytes()
    lines = data.decode("utf-8").split("\n")
    complete = lines[:-1]
    if not complete:
        raise ValueError(f"{path}: no records")
    records = Records()
    for number, line in enumerate(complete, 1):
        try:
            value = json.loads(line)
        except ValueError as error:
            raise ValueError(f"{path}:{number}: not a record: {error}") from None
        if number == 1:
            records.header = value
        else:
            records.rows.append(tuple(value))
    return records
