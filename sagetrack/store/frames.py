"""Readers of the frames in a file of the store."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from sagetrack.store.directory import StoreDirectory
from sagetrack.store.errors import CorruptionError
from sagetrack.store.format import FRAME_HEADER, decode_frame_header, verify_frame

READ_BYTES = 256 * 1024  # block size of sequential reads


class Frame(NamedTuple):
    """One frame of a file.

    Attributes:
        offset: Offset of the frame in the file.
        number: Sequence number of a batch, or key hash of a record of a checkpoint.
        payload: Verified payload; empty if frames are read without verification.
        checksum: Checksum in the header of the frame.
    """

    offset: int
    number: int
    payload: bytes
    checksum: int


def read_payload(directory: StoreDirectory, name: str, offset: int) -> bytes:
    """Read and verify the payload of the frame at an offset.

    Raises:
        CorruptionError: The frame is damaged.
        OSError: The file cannot be read.
    """
    length, checksum, number = decode_frame_header(directory.read(name, offset, FRAME_HEADER.size))
    payload = directory.read(name, offset + FRAME_HEADER.size, length)
    verify_frame(length, checksum, number, payload)
    return payload


def read_frames(
    directory: StoreDirectory, name: str, offset: int, end: int, verify: bool = True
) -> Iterator[Frame]:
    """Read the frames of a file in order, using large blocks.

    Args:
        directory: Directory of the file.
        name: Name of the file.
        offset: Offset of the first frame.
        end: End offset of the last frame.
        verify: Verify payloads and return them; otherwise only the headers are checked.

    Raises:
        CorruptionError: At the first damaged or incomplete frame.
        OSError: The file cannot be read.
    """
    block = b""
    block_offset = offset
    while offset < end:
        if block_offset + len(block) - offset < FRAME_HEADER.size:
            block = directory.read(name, offset, READ_BYTES)
            block_offset = offset
        length, checksum, number = decode_frame_header(block, offset - block_offset)
        size = FRAME_HEADER.size + length
        if verify:
            if block_offset + len(block) - offset < size:
                block = directory.read(name, offset, max(READ_BYTES, size))
                block_offset = offset
            begin = offset - block_offset + FRAME_HEADER.size
            payload = block[begin : begin + length]
            verify_frame(length, checksum, number, payload)
        else:
            if offset + size > end:
                raise CorruptionError("frame is truncated")
            payload = b""
        yield Frame(offset, number, payload, checksum)
        offset += size
