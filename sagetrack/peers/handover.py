"""Hand-over of observations to the successor process at a hot restart, by a file in $TMPDIR.

The file has a checksum. It is written under a temporary name and then renamed, so that a reader never sees an
incomplete file. A file that is damaged, stale, of another version or of another gateway is ignored. Times are
readings of the machine's monotonic clock (`clock.system_monotonic_us`), which both processes share and which
steps of the wall clock do not affect.
"""

from __future__ import annotations

import os
import zlib
from collections.abc import Iterable
from dataclasses import replace

import msgspec

from sagetrack.core.files import StrPath, replace_file
from sagetrack.core.log import log
from sagetrack.peers.stored_observations import HandoverRecord, decode_record, encode_record
from sagetrack.policy.peer_observations import ClassLatency, Observation

FILE_NAME = "sagetrack-knowledge.bin"
MAGIC = b"SGTK2"  # SGTK1 had times of the writing process's own clock
CHECKSUM_BYTES = 4
HEADER_BYTES = len(MAGIC) + CHECKSUM_BYTES
MAX_BODY_BYTES = 1024 * 1024  # limited because files in $TMPDIR count as memory
READ_BYTES = MAX_BODY_BYTES + 64  # more than a valid file has, so that a longer one is detected
STALE_US = 60_000_000


def shift_times(observations: Iterable[Observation], offset_us: int) -> list[Observation]:
    """Return the observations with their times converted to a clock that is ahead by `offset_us`."""
    return [
        replace(seen, seen_us=seen.seen_us + offset_us, open_until_us=seen.open_until_us + offset_us)
        for seen in observations
    ]


def write(
    folder: StrPath,
    gateway: str,
    now_us: int,
    observations: Iterable[Observation],
    latencies: Iterable[ClassLatency],
) -> bool:
    """Write the file, atomically replacing an older one.

    Args:
        folder: Directory of the file, known to the successor.
        gateway: Name of this gateway.
        now_us: Current time of the machine's monotonic clock.
        observations: Observations of servers, with times of the same clock.
        latencies: Latencies of request classes.

    Returns:
        True if the file was written; a failure is logged.
    """
    record = HandoverRecord(gateway, now_us, list(observations), list(latencies))
    body = encode_record(record)
    if len(body) > MAX_BODY_BYTES:
        log(f"health hand-over not written: {len(body)} bytes, at most {MAX_BODY_BYTES} are allowed")
        return False
    try:
        replace_file(
            os.path.join(folder, FILE_NAME), MAGIC + zlib.crc32(body).to_bytes(CHECKSUM_BYTES) + body
        )
    except OSError as error:
        log(f"health hand-over not written: {error.strerror}")
        return False
    return True


def parse(data: bytes, gateway: str, now_us: int) -> HandoverRecord | None:
    """Decode the content of a file; None if it is damaged, stale or of another gateway."""
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


def read(folder: StrPath, gateway: str, now_us: int) -> HandoverRecord | None:
    """Return the record that the predecessor has written; None if there is no usable one."""
    try:
        with open(os.path.join(folder, FILE_NAME), "rb") as file:
            return parse(file.read(READ_BYTES), gateway, now_us)
    except OSError:
        return None
