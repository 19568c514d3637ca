"""The bytes of the store: file heads, frames of batches, records of bases, the manifest. Pure.

Every file begins with the same head: eight bytes of magic, the format's version, a number, and a checksum
over these, which no later version may change. A frame holds one batch: it is there whole or not at all.
Checksums are CRC-32C (Castagnoli; RFC 3720, B.4).
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from crc32c import crc32c

VERSION = 2  # version 1 had no times
LOG_MAGIC, BASE_MAGIC, MANIFEST_MAGIC = b"sgtk-log", b"sgtk-bas", b"sgtk-man"
HEAD = struct.Struct("<8sHQI")
FRAME = struct.Struct("<IIQ")  # bytes of the payload, checksum of all else, sequence number or hash
LONGEST = 16 * 1024 * 1024  # of a payload: what says more is damaged
END = 2**64 - 1  # in place of a hash: the last record of a base


class FormatError(ValueError):
    """These bytes are not what they were written as."""


class NewerError(ValueError):
    """A later version wrote this; it is left alone."""


@dataclass(slots=True, frozen=True)
class Op:
    """One change: a value for a key in a space, or None, which takes the key out."""

    space: str
    key: bytes
    value: bytes | None
    at_ms: int = 0  # Unix time


_encoder = msgspec.msgpack.Encoder()
_rows: msgspec.msgpack.Decoder[list[tuple[str, bytes, bytes | None, int]]] = msgspec.msgpack.Decoder(
    list[tuple[str, bytes, bytes | None, int]]
)
_rows1: msgspec.msgpack.Decoder[list[tuple[str, bytes, bytes | None]]] = msgspec.msgpack.Decoder(
    list[tuple[str, bytes, bytes | None]]
)
_record: msgspec.msgpack.Decoder[tuple[str, bytes, bytes, int]] = msgspec.msgpack.Decoder(
    tuple[str, bytes, bytes, int]
)
_end: msgspec.msgpack.Decoder[tuple[int, int]] = msgspec.msgpack.Decoder(tuple[int, int])
_names: msgspec.msgpack.Decoder[tuple[list[int], int]] = msgspec.msgpack.Decoder(tuple[list[int], int])


def head(magic: bytes, number: int, version: int = VERSION) -> bytes:
    """The first bytes of a file; `number`: a log's first sequence number, a base's last."""
    front = HEAD.pack(magic, version, number, 0)[:-4]
    return front + struct.pack("<I", crc32c(front))


def read_head(data: bytes, magic: bytes) -> tuple[int, int]:
    """Version and number. FormatError for a damaged head, NewerError for a version that is not known."""
    if len(data) < HEAD.size:
        raise FormatError("the head is cut off")
    found, version, number, checksum = HEAD.unpack_from(data)
    if checksum != crc32c(data[: HEAD.size - 4]) or found != magic:
        raise FormatError("the head is damaged")
    if version > VERSION:
        raise NewerError(f"written in format {version}; this program knows formats 1 to {VERSION}")
    return version, number


def frame(payload: bytes, number: int) -> bytes:
    front = FRAME.pack(len(payload), 0, number)
    checksum = crc32c(payload, crc32c(front[8:], crc32c(front[:4])))
    return FRAME.pack(len(payload), checksum, number) + payload


def read_frame_head(data: bytes, at: int = 0) -> tuple[int, int, int]:
    """Bytes of the payload, checksum, number; FormatError if it can be none."""
    if len(data) - at < FRAME.size:
        raise FormatError("a frame is cut off")
    length, checksum, number = FRAME.unpack_from(data, at)
    if length > LONGEST:
        raise FormatError("a frame of impossible length")
    return length, checksum, number


def check_frame(length: int, checksum: int, number: int, payload: bytes) -> None:
    """FormatError if the payload is not the one that was written."""
    front = FRAME.pack(length, 0, number)
    if len(payload) != length:
        raise FormatError("a frame is cut off")
    if crc32c(payload, crc32c(front[8:], crc32c(front[:4]))) != checksum:
        raise FormatError("a frame is damaged")


def batch(ops: Sequence[Op]) -> bytes:
    return _encoder.encode([(op.space, op.key, op.value, op.at_ms) for op in ops])


def read_batch(payload: bytes, version: int = VERSION) -> list[Op]:
    """FormatError for a payload that passed its checksum and is no batch."""
    try:
        if version == 1:
            return [Op(*row) for row in _rows1.decode(payload)]
        return [Op(*row) for row in _rows.decode(payload)]
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise FormatError(f"no batch: {error}") from None


def record(op: Op) -> bytes:
    """One record of a base, framed with its hash."""
    assert op.value is not None
    return frame(_encoder.encode((op.space, op.key, op.value, op.at_ms)), place(op.space, op.key))


def read_record(payload: bytes) -> Op:
    try:
        return Op(*_record.decode(payload))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise FormatError(f"no record: {error}") from None


def end_record(count: int, checksum: int) -> bytes:
    """The last of a base: how many came before, and a checksum over all their checksums in order."""
    return frame(_encoder.encode((count, checksum)), END)


def read_end(payload: bytes) -> tuple[int, int]:
    try:
        count, checksum = _end.decode(payload)
        return count, checksum
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise FormatError(f"no end: {error}") from None


def manifest(bases: list[int], first_log: int) -> bytes:
    """Bases by sequence number, the newest first, and the first log file that is needed."""
    return head(MANIFEST_MAGIC, 0) + frame(_encoder.encode((bases, first_log)), 0)


def read_manifest(data: bytes) -> tuple[list[int], int]:
    read_head(data, MANIFEST_MAGIC)
    length, checksum, number = read_frame_head(data, HEAD.size)
    payload = data[HEAD.size + FRAME.size : HEAD.size + FRAME.size + length]
    check_frame(length, checksum, number, payload)
    try:
        bases, first = _names.decode(payload)
        return bases, first
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise FormatError(f"no manifest: {error}") from None


def place(space: str, key: bytes) -> int:
    """Where a key stands in a base: 63 bits of a hash, by which records are sorted."""
    digest = hashlib.blake2b(space.encode() + b"\0" + key, digest_size=8).digest()
    return int.from_bytes(digest) >> 1
