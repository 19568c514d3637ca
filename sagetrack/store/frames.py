"""Reading frames from the files of a store."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from sagetrack.store.directory import StoreDirectory
from sagetrack.store.errors import CorruptionError
from sagetrack.store.format import FRAME_HEADER, decode_frame_header, verify_frame

READ_BYTES = 256 * 1024  # read at once


class Frame(NamedTuple):
    """One frame of a file.

    Attributes:
        offset: Where it begins in the file.
        number: The sequence number of a batch, or the key hash of a checkpoint's record.
        payload: Its verified payload; empty where frames are read without verification.
        checksum: As its header has it.
    """

    offset: int
    number: int
    payload: bytes
    checksum: int


def read_payload(directory: StoreDirectory, name: str, offset: int) -> bytes:
    """Read and verify the payload of the frame at an offset.

    Raises:
        CorruptionError: It is damaged.
        OSError: It cannot be read.
    """
    length, checksum, number = decode_frame_header(directory.read(name, offset, FRAME_HEADER.size))
    payload = directory.read(name, offset + FRAME_HEADER.size, length)
    verify_frame(length, checksum, number, payload)
    return payload


def read_frames(
    directory: StoreDirectory, name: str, offset: int, end: int, verify: bool = True
) -> Iterator[Frame]:
    """Read the frames of a file in order, in large blocks.

    Args:
        directory: Where the file is.
        name: The file.
        offset: Where the first frame begins.
        end: Where the last one ends.
        verify: Read and verify payloads; else only headers are read.

    Raises:
        CorruptionError: At the first frame that is damaged or incomplete.
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
                raise CorruptionError("a frame is cut off")
            payload = b""
        yield Frame(offset, number, payload, checksum)
        offset += size
