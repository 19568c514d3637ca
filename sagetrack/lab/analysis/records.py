"""What happened in a run, as seen by clients, servers and discovery; judges and reports read nothing else.

One record is a tuple: kind, time in microseconds since the run began, then the kind's own fields. In a file
it is one JSON array a line, after a first line that names the scenario, the seed and the driver.
"""

from __future__ import annotations

import gzip
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

Record = tuple[Any, ...]

FIELDS = {
    "ask": ("call", "gateway", "class", "member", "budget_us", "key", "request", "try"),
    "answer": ("call", "gateway", "verdict", "retry_after_us"),
    "gone": ("call", "gateway"),
    "recv": ("call", "server", "gateway", "verdict", "work_us", "sent_us"),
    "run": ("call", "server", "key", "effect"),
    "told": ("gateway", "server", "status"),
    "start": ("server", "zone", "rack", "cold", "capacity"),
    "stop": ("server", "how"),
    "gateway": ("gateway", "state"),
    "trouble": ("trouble", "state", "detail"),
    "request": ("request", "class", "member", "outcome", "asked_us", "tries"),
    "load": ("server", "held", "busy", "jammed"),
    "late": ("late_us",),
    "client": ("request", "client"),
    "advised": ("call", "request", "try", "retry_after_us"),
    "dns": ("gateway", "outcome", "asked_us"),
}
"""Fields behind kind and time. `verdict` of an answer is served, refused, failed, broken or unreachable; of a
`recv` taken, rejected or lost. `outcome` of a request or a DNS
query is served, late, refused, failed or unanswered."""


class Records:
    """Records of one run, in order of time."""

    __slots__ = ("header", "rows")

    def __init__(self, header: dict[str, Any] | None = None) -> None:
        self.header = header or {}
        self.rows: list[Record] = []

    def add(self, kind: str, time_us: int, *fields: Any) -> None:
        self.rows.append((kind, time_us, *fields))

    def of(self, *kinds: str) -> Iterator[Record]:
        return (row for row in self.rows if row[0] in kinds)

    def lines(self) -> Iterator[str]:
        """The file's lines; byte for byte the same for the same run in virtual time."""
        yield json.dumps(self.header, sort_keys=True, separators=(",", ":")) + "\n"
        for row in self.rows:
            yield json.dumps(row, separators=(",", ":")) + "\n"

    def write(self, path: Path | str) -> None:
        """Write to a file, compressed if its name ends with .gz."""
        path = Path(path)
        if path.suffix == ".gz":
            with gzip.GzipFile(path, "wb", mtime=0) as packed:
                packed.writelines(line.encode() for line in self.lines())
        else:
            path.write_text("".join(self.lines()), encoding="utf-8")


def read(path: Path | str) -> Records:
    """Read such a file; ValueError with the line if one cannot be read. A last line cut short is left out."""
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
