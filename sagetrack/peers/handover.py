"""What a process leaves for the next one of the same gateway on the same machine: one file in $TMPDIR.

It is written whole under another name first and renamed, with a checksum; what is torn, stale, of another
version or of another gateway is passed over. Times are of the machine's own line (`clock.machine_us`), which
both processes share and no step of the wall clock moves.
"""

from __future__ import annotations

import os
import zlib
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

import msgspec

from sagetrack.core.log import log
from sagetrack.policy.peer_observations import ClassLatency, Observation

FILE = "sagetrack-knowledge.bin"
MAGIC = b"SGTK2"  # 1 had times of the writer's own line
LIMIT = 1024 * 1024  # bytes: files count as memory
STALE_US = 60_000_000


class Note(msgspec.Struct, array_like=True, frozen=True):
    """What the file holds."""

    gateway: str
    written_us: int
    sights: list[Observation]
    latencies: list[ClassLatency]


def moved(sights: Iterable[Observation], by_us: int) -> list[Observation]:
    """The same sights with their times on another line, which is so far ahead."""
    return [
        replace(sight, seen_us=sight.seen_us + by_us, open_until_us=sight.open_until_us + by_us)
        for sight in sights
    ]


def write(
    folder: Path, gateway: str, now_us: int, sights: Iterable[Observation], latencies: Iterable[ClassLatency]
) -> bool:
    """Leave a note; False, and a line in the log, if that cannot be. Until it is whole the old one stands."""
    body = msgspec.msgpack.encode(Note(gateway, now_us, list(sights), list(latencies)))
    if len(body) > LIMIT:
        log(f"what is known of servers is not handed on: {len(body)} bytes are too many")
        return False
    fresh = folder / f"{FILE}.{os.getpid()}"
    try:
        fresh.write_bytes(MAGIC + zlib.crc32(body).to_bytes(4) + body)
        os.replace(fresh, folder / FILE)
    except OSError as error:
        log(f"what is known of servers is not handed on: {error.strerror}")
        return False
    return True


def parse(data: bytes, gateway: str, now_us: int) -> Note | None:
    """The note in these bytes; None, whatever they are, if it is not whole, fresh and this gateway's."""
    head = len(MAGIC) + 4
    body = data[head:]
    if len(data) > LIMIT + head or data[: len(MAGIC)] != MAGIC:
        return None
    if zlib.crc32(body) != int.from_bytes(data[len(MAGIC) : head]):
        return None
    try:
        note: Note = msgspec.msgpack.decode(body, type=Note)
    except (msgspec.DecodeError, RecursionError):
        return None
    if note.gateway != gateway or not 0 <= now_us - note.written_us <= STALE_US:
        return None
    return note


def read(folder: Path, gateway: str, now_us: int) -> Note | None:
    """The note that lies there, if it can be used."""
    try:
        with open(folder / FILE, "rb") as file:
            return parse(file.read(LIMIT + 64), gateway, now_us)
    except OSError:
        return None
