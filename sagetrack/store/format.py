"""The on-disk format: file headers, frames, record batches, checkpoint records, the manifest. No I/O.

Every file begins with the same header: eight bytes of magic, the format version, a number, and a checksum of
these fields. Later versions must not change the header. In the log, each frame carries one batch. A frame
that is incomplete or fails its checksum is invalid. Checksums are CRC-32C (Castagnoli; RFC 3720, B.4).
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from crc32c import crc32c

from sagetrack.store.errors import CorruptionError, NewerFormatError

FORMAT_VERSION = 2  # version 1 stored records without a timestamp
LOG_MAGIC = b"sgtk-log"
CHECKPOINT_MAGIC = b"sgtk-bas"
MANIFEST_MAGIC = b"sgtk-man"
FILE_HEADER = struct.Struct("<8sHQI")  # magic, format version, number, checksum of the preceding fields
FRAME_HEADER = struct.Struct("<IIQ")  # payload length, checksum of the rest, sequence number or key hash
CHECKSUM_BYTES = 4
MAX_PAYLOAD_BYTES = 16 * 1024 * 1024  # a frame header with a larger length is treated as corrupt
END_OF_CHECKPOINT = 2**64 - 1  # marks the end record; key hashes have only 63 bits


@dataclass(slots=True, frozen=True)
class Record:
    """One change of a key.

    Attributes:
        space: Key space: the namespace of the key, which has its own retention policy.
        key: Key within its space.
        value: New value, or None for a tombstone, which deletes the key.
        at_ms: Unix time of the change in milliseconds, from which the age for expiry is computed.
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
    """Encode the header of a file.

    Args:
        magic: Magic bytes of the file type.
        number: First sequence number of a log segment, last one of a checkpoint, 0 for the manifest.
        version: Format version.
    """
    unchecked = FILE_HEADER.pack(magic, version, number, 0)[:-CHECKSUM_BYTES]
    return unchecked + struct.pack("<I", crc32c(unchecked))


def decode_file_header(data: bytes, magic: bytes) -> tuple[int, int]:
    """Decode a file header.

    Returns:
        The format version and the number.

    Raises:
        CorruptionError: The header is damaged or belongs to another file type.
        NewerFormatError: The format version is later than this program's.
    """
    if len(data) < FILE_HEADER.size:
        raise CorruptionError("file header is truncated")
    actual_magic, version, number, checksum = FILE_HEADER.unpack_from(data)
    if checksum != crc32c(data[: FILE_HEADER.size - CHECKSUM_BYTES]) or actual_magic != magic:
        raise CorruptionError("file header is damaged")
    if version > FORMAT_VERSION:
        raise NewerFormatError(
            f"written in format {version}; this program knows formats 1 to {FORMAT_VERSION}"
        )
    return version, number


def _frame_checksum(length: int, number: int, payload: bytes) -> int:
    """Return the checksum of the payload length, the number and the payload, in this order."""
    header = FRAME_HEADER.pack(length, 0, number)
    return crc32c(payload, crc32c(header[8:], crc32c(header[:4])))


def encode_frame(payload: bytes, number: int) -> bytes:
    """Encode a frame: a header with length, checksum and sequence number or key hash, and the payload."""
    length = len(payload)
    return FRAME_HEADER.pack(length, _frame_checksum(length, number, payload), number) + payload


def decode_frame_header(data: bytes, offset: int = 0) -> tuple[int, int, int]:
    """Decode the header of a frame.

    Returns:
        Payload length in bytes, checksum, and sequence number or key hash.

    Raises:
        CorruptionError: The header is incomplete or its length exceeds the maximum.
    """
    if len(data) - offset < FRAME_HEADER.size:
        raise CorruptionError("frame is truncated")
    length, checksum, number = FRAME_HEADER.unpack_from(data, offset)
    if length > MAX_PAYLOAD_BYTES:
        raise CorruptionError("frame length exceeds the maximum")
    return length, checksum, number


def verify_frame(length: int, checksum: int, number: int, payload: bytes) -> None:
    """Check a payload against its frame header.

    Raises:
        CorruptionError: The payload is incomplete or fails its checksum.
    """
    if len(payload) != length:
        raise CorruptionError("frame is truncated")
    if _frame_checksum(length, number, payload) != checksum:
        raise CorruptionError("frame checksum mismatch")


def encode_batch(records: Sequence[Record]) -> bytes:
    """Encode a batch as the payload of a log frame."""
    return _encoder.encode([(record.space, record.key, record.value, record.at_ms) for record in records])


def decode_batch(payload: bytes, version: int = FORMAT_VERSION) -> list[Record]:
    """Decode the payload of a log frame.

    Raises:
        CorruptionError: The payload has a valid checksum but is not a batch.
    """
    try:
        if version == 1:
            return [Record(*row) for row in _batch_decoder_v1.decode(payload)]
        return [Record(*row) for row in _batch_decoder.decode(payload)]
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise CorruptionError(f"payload is not a batch: {error}") from None


def encode_record(record: Record) -> bytes:
    """Encode one record of a checkpoint as a frame whose number is the key hash."""
    assert record.value is not None
    payload = _encoder.encode((record.space, record.key, record.value, record.at_ms))
    return encode_frame(payload, key_hash(record.space, record.key))


def decode_record(payload: bytes) -> Record:
    """Decode the payload of a frame that carries a record of a checkpoint.

    Raises:
        CorruptionError: The payload has a valid checksum but is not a record.
    """
    try:
        return Record(*_record_decoder.decode(payload))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise CorruptionError(f"payload is not a record: {error}") from None


def encode_end_record(count: int, checksum: int) -> bytes:
    """Encode the end record, the last frame of a checkpoint.

    Args:
        count: Number of records in the checkpoint.
        checksum: Running checksum of the checksums of all records, in order.
    """
    return encode_frame(_encoder.encode((count, checksum)), END_OF_CHECKPOINT)


def decode_end_record(payload: bytes) -> tuple[int, int]:
    """Decode the payload of an end record into the number of records and their running checksum.

    Raises:
        CorruptionError: The payload has a valid checksum but is not an end record.
    """
    try:
        count, checksum = _end_decoder.decode(payload)
        return count, checksum
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise CorruptionError(f"payload is not an end record: {error}") from None


def encode_manifest(checkpoints: list[int], first_segment: int) -> bytes:
    """Encode the manifest.

    Args:
        checkpoints: Sequence numbers of the kept checkpoints, the newest first.
        first_segment: Number of the first log segment that is still needed.
    """
    payload = _encoder.encode((checkpoints, first_segment))
    return encode_file_header(MANIFEST_MAGIC, 0) + encode_frame(payload, 0)


def decode_manifest(data: bytes) -> tuple[list[int], int]:
    """Decode the manifest into the sequence numbers of the checkpoints and the first segment number.

    Raises:
        CorruptionError: The manifest is damaged.
        NewerFormatError: A later version of the program wrote it.
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
        raise CorruptionError(f"payload is not a manifest: {error}") from None


def key_hash(space: str, key: bytes) -> int:
    """Return the 63-bit hash of a key by which the records of a checkpoint are sorted."""
    digest = hashlib.blake2b(space.encode() + b"\0" + key, digest_size=8).digest()
    return int.from_bytes(digest) >> 1
