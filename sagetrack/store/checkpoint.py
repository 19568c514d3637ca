"""Checkpoints: files with the whole state as of one sequence number, one record per key, sorted by key hash.

A checkpoint with any damage found at loading is rejected as a whole. The newest two checkpoints are kept,
together with the log segments since the older one. If the newest is damaged, the older one and the log
therefore restore the same state.
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
    """Extend the running checksum of a checkpoint by the checksum of the next record."""
    return crc32c(checksum.to_bytes(4, "little"), chained)


class Checkpoint:
    """One checkpoint file, and an in-memory index of its records.

    Attributes:
        sequence: Sequence number of the last batch that the checkpoint contains.
        size: Size of the file in bytes.
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
        """Name of the file."""
        return checkpoint_name(self.sequence)

    def load(self, verify: bool, on_record: Callable[[Record, int], None]) -> None:
        """Build the index from the file.

        Args:
            verify: Also read and verify the payloads of all records.
            on_record: Called with each record and the size of its payload, if `verify` is set.

        Raises:
            CorruptionError: The file is damaged or incomplete.
            OSError: The file cannot be read.
        """
        self.size = self._directory.size(self.name)
        header = self._directory.read(self.name, 0, FILE_HEADER.size)
        _, sequence = decode_file_header(header, CHECKPOINT_MAGIC)
        if sequence != self.sequence:
            raise CorruptionError("sequence number in the header differs from the file name")
        chained = 0
        last_hash = -1
        for frame in read_frames(self._directory, self.name, FILE_HEADER.size, self.size, verify):
            if frame.number == END_OF_CHECKPOINT:
                self._verify_end(frame, chained)
                return
            if frame.number < last_hash:
                raise CorruptionError("records are not sorted by key hash")
            self.add(frame.number, frame.offset)
            if frame.payload:
                on_record(decode_record(frame.payload), len(frame.payload))
            chained = chain_checksum(frame.checksum, chained)
            last_hash = frame.number
        raise CorruptionError("end record is missing")

    def _verify_end(self, frame: Frame, chained: int) -> None:
        payload = read_payload(self._directory, self.name, frame.offset)
        if decode_end_record(payload) != (len(self), chained):
            raise CorruptionError("number or checksum of records differs from the end record")
        if frame.offset + FRAME_HEADER.size + len(payload) != self.size:
            raise CorruptionError("unexpected data after the end record")

    def add(self, hashed_key: int, offset: int) -> None:
        """Add a record to the index; records are added in ascending order of their key hashes."""
        self._hashes.append(hashed_key)
        self._offsets.append(offset)

    def release_index(self) -> None:
        """Free the memory of the index; copies made by `pinned` keep theirs."""
        self._hashes, self._offsets = array("Q"), array("Q")

    def pinned(self) -> Checkpoint:
        """Return a copy that keeps the index when this checkpoint releases it."""
        copy = Checkpoint(self._directory, self.sequence)
        copy._hashes = self._hashes
        copy._offsets = self._offsets
        copy.size = self.size
        return copy

    def find(self, space: str, key: bytes) -> Record | None:
        """Read the record of a key; return None if the checkpoint does not contain the key.

        Raises:
            CorruptionError: The record is damaged.
            OSError: The record cannot be read.
        """
        hashed_key = key_hash(space, key)
        position = bisect_left(self._hashes, hashed_key)
        while position < len(self._hashes) and self._hashes[position] == hashed_key:
            record = decode_record(read_payload(self._directory, self.name, self._offsets[position]))
            if (record.space, record.key) == (space, key):
                return record
            position += 1
        return None

    def frames(self) -> Iterator[Frame]:
        """Read and verify the frames of all records, in ascending order of their key hashes.

        Raises:
            CorruptionError: At the first damaged frame.
            OSError: The file cannot be read.
        """
        for frame in read_frames(self._directory, self.name, FILE_HEADER.size, self.size):
            if frame.number == END_OF_CHECKPOINT:
                return
            yield frame


class Checkpoints:
    """The newest checkpoint, which serves reads, and the previous one, which is a fallback for recovery."""

    __slots__ = ("_previous", "newest")

    def __init__(self) -> None:
        self.newest: Checkpoint | None = None
        self._previous: Checkpoint | None = None

    @property
    def newest_sequence(self) -> int:
        """Sequence number of the newest checkpoint; 0 without a checkpoint."""
        return 0 if self.newest is None else self.newest.sequence

    def restore(self, valid: list[Checkpoint]) -> None:
        """Adopt the valid checkpoints that recovery found, ordered from the newest."""
        self.newest = valid[0] if valid else None
        self._previous = valid[1] if len(valid) > 1 else None
        if self._previous is not None:
            self._previous.release_index()

    def install(self, checkpoint: Checkpoint) -> Checkpoint | None:
        """Make a checkpoint the newest, and return the one that has become obsolete, if any."""
        obsolete = self._previous
        self._previous = self.newest
        self.newest = checkpoint
        if self._previous is not None:
            self._previous.release_index()
        return obsolete
