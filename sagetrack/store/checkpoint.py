"""Checkpoints: the state as of one sequence number, one value for each key, sorted by key hash.

A checkpoint is valid as a whole or not at all. The newest two are kept, and the log segments since the older
one, so that damage to the newest costs nothing: the older one and the log give the same state.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Callable, Iterator

from crc32c import crc32c

from sagetrack.store.directory import StoreDirectory
from sagetrack.store.errors import CorruptionError
from sagetrack.store.file_names import checkpoint_name
from sagetrack.store.format import (
    CHECKPOINT_MAGIC,
    END_OF_CHECKPOINT,
    FILE_HEADER,
    FRAME_HEADER,
    Record,
    decode_end_record,
    decode_file_header,
    decode_record,
    key_hash,
)
from sagetrack.store.frames import Frame, read_frames, read_payload


def chain_checksum(checksum: int, chained: int) -> int:
    """Add one record's checksum to that of all before it."""
    return crc32c(checksum.to_bytes(4, "little"), chained)


class Checkpoint:
    """One checkpoint file, and where each of its records is.

    Attributes:
        sequence: Sequence number of the last batch that it contains.
        size: Bytes of its file.
    """

    __slots__ = ("_directory", "_hashes", "_offsets", "sequence", "size")

    def __init__(self, directory: StoreDirectory, sequence: int) -> None:
        self._directory = directory
        self._hashes: array[int] = array("Q")
        self._offsets: array[int] = array("Q")
        self.sequence = sequence
        self.size = 0

    def __len__(self) -> int:
        return len(self._hashes)

    @property
    def name(self) -> str:
        """Its file's name."""
        return checkpoint_name(self.sequence)

    def load(self, verify: bool, on_record: Callable[[Record, int], None]) -> None:
        """Read the index from the file.

        Args:
            verify: Read and verify all records too.
            on_record: Called with each record and the size of its payload; with `verify` alone.

        Raises:
            CorruptionError: The file is not as it was written.
            OSError: It cannot be read.
        """
        self.size = self._directory.size(self.name)
        header = self._directory.read(self.name, 0, FILE_HEADER.size)
        _, sequence = decode_file_header(header, CHECKPOINT_MAGIC)
        if sequence != self.sequence:
            raise CorruptionError("its name is that of another")
        chained = 0
        last_hash = -1
        for frame in read_frames(self._directory, self.name, FILE_HEADER.size, self.size, verify):
            if frame.number == END_OF_CHECKPOINT:
                self._verify_end(frame, chained)
                return
            if frame.number < last_hash:
                raise CorruptionError("records are out of order")
            self.add(frame.number, frame.offset)
            if frame.payload:
                on_record(decode_record(frame.payload), len(frame.payload))
            chained = chain_checksum(frame.checksum, chained)
            last_hash = frame.number
        raise CorruptionError("it has no end")

    def _verify_end(self, frame: Frame, chained: int) -> None:
        payload = read_payload(self._directory, self.name, frame.offset)
        if decode_end_record(payload) != (len(self), chained):
            raise CorruptionError("records are missing")
        if frame.offset + FRAME_HEADER.size + len(payload) != self.size:
            raise CorruptionError("something follows the end")

    def add(self, number: int, offset: int) -> None:
        """Enter the record with the next key hash, at an offset of the file."""
        self._hashes.append(number)
        self._offsets.append(offset)

    def release_index(self) -> None:
        """Free the memory of the index; pinned copies keep theirs."""
        self._hashes, self._offsets = array("Q"), array("Q")

    def pinned(self) -> Checkpoint:
        """A copy whose index outlives `release_index`."""
        copy = Checkpoint(self._directory, self.sequence)
        copy._hashes = self._hashes
        copy._offsets = self._offsets
        copy.size = self.size
        return copy

    def find(self, space: str, key: bytes) -> Record | None:
        """Read the record of a key; None if there is none.

        Raises:
            CorruptionError: The record is damaged.
            OSError: It cannot be read.
        """
        number = key_hash(space, key)
        position = bisect_left(self._hashes, number)
        while position < len(self._hashes) and self._hashes[position] == number:
            record = decode_record(read_payload(self._directory, self.name, self._offsets[position]))
            if (record.space, record.key) == (space, key):
                return record
            position += 1
        return None

    def frames(self) -> Iterator[Frame]:
        """Read all records' frames in order of their key hashes, verified.

        Raises:
            CorruptionError: At the first that is damaged.
            OSError: The file cannot be read.
        """
        for frame in read_frames(self._directory, self.name, FILE_HEADER.size, self.size):
            if frame.number == END_OF_CHECKPOINT:
                return
            yield frame


class Checkpoints:
    """The newest checkpoint, which is read, and the one before, which is kept in case that one is damaged."""

    __slots__ = ("_previous", "newest")

    def __init__(self) -> None:
        self.newest: Checkpoint | None = None
        self._previous: Checkpoint | None = None

    @property
    def newest_sequence(self) -> int:
        """Sequence number of the newest checkpoint; 0 if there is none."""
        return 0 if self.newest is None else self.newest.sequence

    def restore(self, valid: list[Checkpoint]) -> None:
        """Take up the valid checkpoints that recovery found, the newest first."""
        self.newest = valid[0] if valid else None
        self._previous = valid[1] if len(valid) > 1 else None
        if self._previous is not None:
            self._previous.release_index()

    def install(self, checkpoint: Checkpoint) -> Checkpoint | None:
        """Make a checkpoint the newest; returns the one that is not needed any more."""
        obsolete = self._previous
        self._previous = self.newest
        self.newest = checkpoint
        if self._previous is not None:
            self._previous.release_index()
        return obsolete
