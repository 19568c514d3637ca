"""The observations that a process leaves for its successor on the same machine: one file in $TMPDIR.

The file is written under another name and renamed, so that no reader finds a part of it, and has a checksum;
one that is damaged, stale, of another version or of another gateway is ignored. Times are readings of the
machine's monotonic clock (`clock.machine_us`), which both processes share and no step of the wall clock
moves.
"""

from __future__ import annotations

import os
import zlib
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

import msgspec

from sagetrack.core.log import log
from sagetrack.peers.stored_observations import HandoverRecord, decode_record, encode_record
from sagetrack.policy.peer_observations import ClassLatency, Observation

FILE_NAME = "sagetrack-knowledge.bin"
MAGIC = b"SGTK2"  # SGTK1 had times of the writer's own clock
CHECKSUM_BYTES = 4
HEADER_BYTES = len(MAGIC) + CHECKSUM_BYTES
MAX_BODY_BYTES = 1024 * 1024  # files count as memory
READ_BYTES = MAX_BODY_BYTES + 64  # enough to see that a file is too long
STALE_US = 60_000_000


def shift_times(observations: Iterable[Observation], offset_us: int) -> list[Observation]:
    """Return the observations with their times on another clock, which is so far ahead."""
    return [
        replace(one, seen_us=one.seen_us + offset_us, open_until_us=one.open_until_us + offset_us)
        for one in observations
    ]


def write(
    folder: Path,
    gateway: str,
    now_us: int,
    observations: Iterable[Observation],
    latencies: Iterable[ClassLatency],
) -> bool:
    """Write the file; until it is complete an older one stays.

    Args:
        folder: Where the successor looks for it.
        gateway: The gateway's name.
        now_us: The time on the machine's clock.
        observations: Of servers, with times on that clock.
        latencies: By request class.

    Returns:
        Whether it was written; if not, there is a log line.
    """
    record = HandoverRecord(gateway, now_us, list(observations), list(latencies))
    body = encode_record(record)
    if len(body) > MAX_BODY_BYTES:
        log(f"health hand-over not written: {len(body)} bytes, at most {MAX_BODY_BYTES} are allowed")
        return False
    temporary_path = folder / f"{FILE_NAME}.{os.getpid()}"
    try:
        temporary_path.write_bytes(MAGIC + zlib.crc32(body).to_bytes(CHECKSUM_BYTES) + body)
        os.replace(temporary_path, folder / FILE_NAME)
    except OSError as error:
        log(f"health hand-over not written: {error.strerror}")
        return False
    return True


def parse(data: bytes, gateway: str, now_us: int) -> HandoverRecord | None:
    """Return the record in a file's bytes; None unless it is complete, fresh and this gateway's."""
    body = data[HEADER_BYTES:]
    if len(data) > MAX_BODY_BYTES + HEADER_BYTES or data[: len(MAGIC)] != MAGIC:
        return None
    if zlib.crc32(body) != int.from_bytes(data[len(MAGIC) : HEADER_BYTES]):
        return None
    try:
        record = decode_record(body)
    except (msgspec.DecodeError, RecursionError):
        return None
    if record.gateway != gateway or not 0 <= now_us - record.written_us <= STALE_US:
        return None
    return record


def read(folder: Path, gateway: str, now_us: int) -> HandoverRecord | None:
    """Return the record that a predecessor has left in this folder, if it can be used."""
    try:
        with open(folder / FILE_NAME, "rb") as file:
            return parse(file.read(READ_BYTES), gateway, now_us)
    except OSError:
        return None
