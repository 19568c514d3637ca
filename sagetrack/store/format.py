"""The on-disk format: file headers, frames, record batches, checkpoint records, the manifest. No I/O.

Every file begins with the same header: eight bytes of magic, the format version, a number, and a checksum
over these. No later version may change the header. A frame carries one batch and is either complete or
invalid. Checksums are CRC-32C (Castagnoli; RFC 3720, B.4).
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from crc32c import crc32c

from sagetrack.store.errors import CorruptionError, NewerFormatError

FORMAT_VERSION = 2  # version 1 had no times
LOG_MAGIC = b"sgtk-log"
CHECKPOINT_MAGIC = b"sgtk-bas"
MANIFEST_MAGIC = b"sgtk-man"
FILE_HEADER = struct.Struct("<8sHQI")  # magic, format version, number, checksum of these
FRAME_HEADER = struct.Struct("<IIQ")  # payload length, checksum of all else, sequence number or key hash
CHECKSUM_BYTES = 4
MAX_PAYLOAD_BYTES = 16 * 1024 * 1024  # a longer length field is taken for corruption
END_OF_CHECKPOINT = 2**64 - 1  # stands in place of a hash in the last record of a checkpoint


@dataclass(slots=True, frozen=True)
class Record:
    """One change of a key.

    Attributes:
        space: The key space.
        key: The key within its space.
        value: The new value, or None for a tombstone, which deletes the key.
        at_ms: Unix time of the change in milliseconds; expiry counts from it.
    """

    space: str
    key: bytes
    value: bytes | None
    at_ms: int = 0


_encoder = msgspec.msgpack.Encoder()
_batch_decoder: msgspec.msgpack.Decoder[list[tuple[str, bytes, bytes | None, int]]] = msgspec.msgpack.Decoder(
    list[tuple[str, bytes, bytes | None, int]]
)
_batch_decoder_v1: msgspec.msgpack.Decoder[list[tuple[str, bytes, bytes | None]]] = msgspec.msgpack.Decoder(
    list[tuple[str, bytes, bytes | None]]
)
_record_decoder: msgspec.msgpack.Decoder[tuple[str, bytes, bytes, int]] = msgspec.msgpack.Decoder(
    tuple[str, bytes, bytes, int]
)
_end_decoder: msgspec.msgpack.Decoder[tuple[int, int]] = msgspec.msgpack.Decoder(tuple[int, int])
_manifest_decoder: msgspec.msgpack.Decoder[tuple[list[int], int]] = msgspec.msgpack.Decoder(
    tuple[list[int], int]
)


def encode_file_header(magic: bytes, number: int, version: int = FORMAT_VERSION) -> bytes:
    """Encode the first bytes of a file.

    Args:
        magic: The kind of file.
        number: A log segment's first sequence number, a checkpoint's last.
        version: The format version.
    """
    unchecked = FILE_HEADER.pack(magic, version, number, 0)[:-CHECKSUM_BYTES]
    return unchecked + struct.pack("<I", crc32c(unchecked))


def decode_file_header(data: bytes, magic: bytes) -> tuple[int, int]:
    """Decode a file header.

    Returns:
        The format version and the number.

    Raises:
        CorruptionError: The header is damaged, or that of another kind of file.
        NewerFormatError: The format version is later than this program's.
    """
    if len(data) < FILE_HEADER.size:
        raise CorruptionError("the head is cut off")
    found, version, number, checksum = FILE_HEADER.unpack_from(data)
    if checksum != crc32c(data[: FILE_HEADER.size - CHECKSUM_BYTES]) or found != magic:
        raise CorruptionError("the head is damaged")
    if version > FORMAT_VERSION:
        raise NewerFormatError(
            f"written in format {version}; this program knows formats 1 to {FORMAT_VERSION}"
        )
    return version, number


def _frame_checksum(length: int, number: int, payload: bytes) -> int:
    """Checksum of the payload's length, the number and the payload, in this order."""
    header = FRAME_HEADER.pack(length, 0, number)
    return crc32c(payload, crc32c(header[8:], crc32c(header[:4])))


def encode_frame(payload: bytes, number: int) -> bytes:
    """Frame a payload with its length, its checksum, and a sequence number or key hash."""
    length = len(payload)
    return FRAME_HEADER.pack(length, _frame_checksum(length, number, payload), number) + payload


def decode_frame_header(data: bytes, offset: int = 0) -> tuple[int, int, int]:
    """Decode the header of a frame.

    Returns:
        Payload length in bytes, checksum, and sequence number or key hash.

    Raises:
        CorruptionError: The header is incomplete or its length field impossible.
    """
    if len(data) - offset < FRAME_HEADER.size:
        raise CorruptionError("a frame is cut off")
    length, checksum, number = FRAME_HEADER.unpack_from(data, offset)
    if length > MAX_PAYLOAD_BYTES:
        raise CorruptionError("a frame of impossible length")
    return length, checksum, number


def verify_frame(length: int, checksum: int, number: int, payload: bytes) -> None:
    """Check a payload against its frame header.

    Raises:
        CorruptionError: The payload is not the one that was written.
    """
    if len(payload) != length:
        raise CorruptionError("a frame is cut off")
    if _frame_checksum(length, number, payload) != checksum:
        raise CorruptionError("a frame is damaged")


def encode_batch(records: Sequence[Record]) -> bytes:
    """Encode the payload of a log frame."""
    return _encoder.encode([(record.space, record.key, record.value, record.at_ms) for record in records])


def decode_batch(payload: bytes, version: int = FORMAT_VERSION) -> list[Record]:
    """Decode the payload of a log frame.

    Raises:
        CorruptionError: The payload passed its checksum and is no batch.
    """
    try:
        if version == 1:
            return [Record(*row) for row in _batch_decoder_v1.decode(payload)]
        return [Record(*row) for row in _batch_decoder.decode(payload)]
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise CorruptionError(f"no batch: {error}") from None


def encode_record(record: Record) -> bytes:
    """Encode one record of a checkpoint as a frame that carries the hash of its key."""
    assert record.value is not None
    payload = _encoder.encode((record.space, record.key, record.value, record.at_ms))
    return encode_frame(payload, key_hash(record.space, record.key))


def decode_record(payload: bytes) -> Record:
    """Decode the payload of a checkpoint's record.

    Raises:
        CorruptionError: The payload passed its checksum and is no record.
    """
    try:
        return Record(*_record_decoder.decode(payload))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise CorruptionError(f"no record: {error}") from None


def encode_end_record(count: int, checksum: int) -> bytes:
    """Encode the last frame of a checkpoint.

    Args:
        count: How many records precede it.
        checksum: A checksum over the checksums of all of them, in order.
    """
    return encode_frame(_encoder.encode((count, checksum)), END_OF_CHECKPOINT)


def decode_end_record(payload: bytes) -> tuple[int, int]:
    """Decode the last frame's payload into the count of records and their checksum.

    Raises:
        CorruptionError: The payload passed its checksum and is no end record.
    """
    try:
        count, checksum = _end_decoder.decode(payload)
        return count, checksum
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise CorruptionError(f"no end: {error}") from None


def encode_manifest(checkpoints: list[int], first_segment: int) -> bytes:
    """Encode the manifest.

    Args:
        checkpoints: Their sequence numbers, the newest first.
        first_segment: The number of the first log segment that is needed.
    """
    payload = _encoder.encode((checkpoints, first_segment))
    return encode_file_header(MANIFEST_MAGIC, 0) + encode_frame(payload, 0)


def decode_manifest(data: bytes) -> tuple[list[int], int]:
    """Decode the manifest into the checkpoints' sequence numbers and the first log segment's number.

    Raises:
        CorruptionError: The manifest is damaged.
        NewerFormatError: A later version wrote it.
    """
    decode_file_header(data, MANIFEST_MAGIC)
    length, checksum, number = decode_frame_header(data, FILE_HEADER.size)
    begin = FILE_HEADER.size + FRAME_HEADER.size
    payload = data[begin : begin + length]
    verify_frame(length, checksum, number, payload)
    try:
        checkpoints, first_segment = _manifest_decoder.decode(payload)
        return checkpoints, first_segment
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise CorruptionError(f"no manifest: {error}") from None


def key_hash(space: str, key: bytes) -> int:
    """Hash a key to the 63 bits by which the records of a checkpoint are sorted."""
    digest = hashlib.blake2b(space.encode() + b"\0" + key, digest_size=8).digest()
    return int.from_bytes(digest) >> 1
