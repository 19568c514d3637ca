"""The write-ahead log: append, sync, rotation of segments, and rewriting of batches after a disk error.

The name of a segment contains its number; the header contains the sequence number of its first batch. If a
segment contains batches with sequence numbers at or above the first one of the next segment, these batches
were never acknowledged as durable and are invalid.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from sagetrack.store.directory import StoreDirectory
from sagetrack.store.disk_space import DiskSpace
from sagetrack.store.errors import BatchTooLargeError
from sagetrack.store.file_names import segment_name
from sagetrack.store.format import (
    FORMAT_VERSION,
    FRAME_HEADER,
    LOG_MAGIC,
    MAX_PAYLOAD_BYTES,
    Record,
    decode_batch,
    encode_batch,
    encode_file_header,
    encode_frame,
)
from sagetrack.store.log_index import LogIndex


@dataclass(slots=True)
class Segment:
    """One file of the log.

    Attributes:
        number: Number of the segment, which determines the order; numbers are never reused.
        first_sequence: Sequence number of the first batch.
        version: Format version.
        size: Size of the valid part in bytes.
    """

    number: int
    first_sequence: int
    version: int
    size: int = 0

    @property
    def name(self) -> str:
        """Name of the file."""
        return segment_name(self.number)


class UnsyncedBatch(NamedTuple):
    """An appended batch that is not durable yet.

    Attributes:
        sequence: Sequence number of the batch.
        frame: Encoded frame of the batch.
    """

    sequence: int
    frame: bytes


class WriteAheadLog:
    """The segments of the log; batches are appended to the last one.

    Attributes:
        sequence: Sequence number of the last appended batch.
        durable_sequence: Sequence number up to which all batches are durable.
        current_segment: Segment that is open for appends; None if the next append starts a new segment.
    """

    __slots__ = (
        "_directory",
        "_disk_space",
        "_index",
        "_last_number",
        "_segment_bytes",
        "_segments",
        "_unsynced",
        "current_segment",
        "durable_sequence",
        "sequence",
    )

    def __init__(
        self, directory: StoreDirectory, segment_bytes: int, index: LogIndex, disk_space: DiskSpace
    ) -> None:
        self._directory = directory
        self._segment_bytes = segment_bytes
        self._index = index
        self._disk_space = disk_space
        self._segments: list[Segment] = []
        self._last_number = 0  # highest segment number ever used
        self._unsynced: list[UnsyncedBatch] = []
        self.sequence = 0
        self.durable_sequence = 0
        self.current_segment: Segment | None = None

    def resume(self, segments: list[Segment], last_number: int, sequence: int) -> None:
        """Continue after a recovery; all recovered batches are durable."""
        self._segments = segments
        self._last_number = last_number
        self.sequence = sequence
        self.durable_sequence = sequence

    @property
    def has_unsynced(self) -> bool:
        """True if some appended batches are not durable yet."""
        return bool(self._unsynced)

    def size_after(self, sequence: int | None) -> int:
        """Return the total size of segments that begin after a sequence number; None selects all segments."""
        return sum(s.size for s in self._segments if sequence is None or s.first_sequence > sequence)

    def segments_after(self, sequence: int) -> list[Segment]:
        """Return the segments that begin after a sequence number."""
        return [segment for segment in self._segments if segment.first_sequence > sequence]

    def drop_segments_through(self, sequence: int) -> list[str]:
        """Drop the segments that begin at or before a sequence number; return the names of their files."""
        obsolete = [segment.name for segment in self._segments if segment.first_sequence <= sequence]
        self._segments = self.segments_after(sequence)
        return obsolete

    def encode(self, batches: Sequence[Sequence[Record]]) -> list[bytes]:
        """Encode the next batches as frames.

        Raises:
            BatchTooLargeError: One of the batches is too large for a frame.
        """
        frames: list[bytes] = []
        for records in batches:
            payload = encode_batch(records)
            if len(payload) > MAX_PAYLOAD_BYTES:
                raise BatchTooLargeError(
                    f"batch too large: {len(payload)} bytes, at most {MAX_PAYLOAD_BYTES} are allowed"
                )
            frames.append(encode_frame(payload, self.sequence + 1 + len(frames)))
        return frames

    def append(self, batches: Sequence[Sequence[Record]], frames: Sequence[bytes], data: bytes) -> None:
        """Append batches by a single write.

        Args:
            batches: The batches.
            frames: Frames of the batches, as returned by `encode`.
            data: The concatenated frames.

        Raises:
            OSError: The write failed and no batch was added. If the process crashes before the next append,
                recovery may nevertheless find some of the first batches.
        """
        if self.current_segment is None and self._unsynced:
            self._rewrite_unsynced()
        segment = self.current_segment
        if segment is None or segment.size >= self._segment_bytes:
            segment = self._rotate()
        self._append_to(segment, data)
        offset = segment.size
        for records, frame in zip(batches, frames, strict=True):
            self.sequence += 1
            self._unsynced.append(UnsyncedBatch(self.sequence, frame))
            self._index.put_batch(records, segment.name, offset, segment.version)
            offset += len(frame)
        self._disk_space.add(offset - segment.size)
        segment.size = offset

    def sync(self) -> int:
        """Make all appended batches durable.

        Returns:
            The sequence number up to which all batches are durable.

        Raises:
            OSError: The sync failed. The next append or sync writes all batches that are not durable into a
                new segment, because after a failed `fsync` the data may be lost even if the next one succeeds
                (Rebello et al., Can Applications Recover from fsync Failures?, ATC 2020).
        """
        if self._unsynced and self.current_segment is None:
            self._rewrite_unsynced()
        if self.current_segment is not None and self._unsynced:
            try:
                self._directory.sync(self.current_segment.name)
            except OSError:
                self.close_segment()
                raise
            self._unsynced.clear()
            self.durable_sequence = self.sequence
        return self.durable_sequence

    def close_segment(self) -> None:
        """Close the current segment, so that the next append starts a new one.

        The first sequence number of the new segment invalidates batches of the old one that are not durable.
        """
        self.current_segment = None

    def _append_to(self, segment: Segment, data: bytes) -> None:
        try:
            self._directory.append(segment.name, data)
        except OSError:
            self.close_segment()
            raise

    def _rotate(self) -> Segment:
        """Start a new segment, whose first batch is the next one."""
        if self.current_segment is not None:
            self.sync()
        self._last_number += 1  # also after a failed attempt, whose file may exist
        segment = Segment(self._last_number, self.sequence + 1, FORMAT_VERSION)
        header = encode_file_header(LOG_MAGIC, segment.first_sequence)
        self._directory.create(segment.name)
        self._directory.append(segment.name, header)
        self._directory.sync(segment.name)
        self._directory.sync_names()
        segment.size = len(header)
        self._disk_space.add(segment.size)
        self._segments.append(segment)
        self.current_segment = segment
        return segment

    def _rewrite_unsynced(self) -> None:
        """Write all batches that are not durable into a new segment, which invalidates the old copies."""
        pending = self._unsynced
        sequence = self.sequence
        self.sequence = pending[0].sequence - 1
        try:
            segment = self._rotate()
        finally:
            self.sequence = sequence
        self._append_to(segment, b"".join(batch.frame for batch in pending))
        offset = segment.size
        for batch in pending:
            records = decode_batch(batch.frame[FRAME_HEADER.size :])
            self._index.put_batch(records, segment.name, offset, segment.version)
            offset += len(batch.frame)
        self._disk_space.add(offset - segment.size)
        segment.size = offset
