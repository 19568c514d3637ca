"""Recovery: the longest run of valid batches from a valid checkpoint on.

What does not count, such as a torn write at the end of the log, is quarantined, named in the report, and
never read again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from sagetrack.store.checkpoint import Checkpoint
from sagetrack.store.directory import StoreDirectory
from sagetrack.store.errors import CorruptionError, NewerFormatError
from sagetrack.store.file_names import (
    MANIFEST,
    UNFINISHED_SUFFIX,
    checkpoint_name,
    checkpoint_sequence,
    is_store_file,
    quarantine_name,
    segment_number,
)
from sagetrack.store.format import (
    CHECKPOINT_MAGIC,
    FILE_HEADER,
    FRAME_HEADER,
    LOG_MAGIC,
    Record,
    decode_batch,
    decode_file_header,
    decode_manifest,
)
from sagetrack.store.frames import READ_BYTES, Frame, read_frames
from sagetrack.store.log_index import LogIndex
from sagetrack.store.options import StoreOptions
from sagetrack.store.space_limits import Retention
from sagetrack.store.write_ahead_log import Segment

MAX_MANIFEST_BYTES = 4096
KEPT_CHECKPOINTS = 2


@dataclass(slots=True)
class RecoveryReport:
    """What was found on opening.

    Attributes:
        sequence: Sequence number of the last valid batch.
        batches: How many were read from the log.
        records: How many the newest checkpoint has.
        quarantined: What does not count, and why, a line each.
        lost_bytes: Bytes of that.
    """

    sequence: int = 0
    batches: int = 0
    records: int = 0
    quarantined: list[str] = field(default_factory=list)
    lost_bytes: int = 0


@dataclass(slots=True)
class RecoveredState:
    """The state to go on from.

    Attributes:
        checkpoints: The valid ones that are kept, the newest first.
        segments: The log segments that are kept, in order.
        last_segment_number: The highest number that any segment has, valid or not.
        report: What was found.
    """

    checkpoints: list[Checkpoint]
    segments: list[Segment]
    last_segment_number: int
    report: RecoveryReport


class Recovery:
    """Opens the files of one store; enters the log's records into the index and counts their bytes."""

    __slots__ = (
        "_directory",
        "_found",
        "_index",
        "_options",
        "_report",
        "_retention",
        "_segments",
        "_sequence",
    )

    def __init__(
        self,
        directory: StoreDirectory,
        options: StoreOptions,
        report: Callable[[str], None],
        index: LogIndex,
        retention: Retention,
    ) -> None:
        self._directory = directory
        self._options = options
        self._report = report
        self._index = index
        self._retention = retention
        self._found = RecoveryReport()
        self._segments: list[Segment] = []
        self._sequence = 0

    def run(self) -> RecoveredState:
        """Recover the newest state.

        Raises:
            NewerFormatError: A later version wrote the store; nothing was changed.
            OSError: It cannot be read.
        """
        names = self._directory.names()
        self._refuse_newer_formats(names)
        self._remove_unfinished(names)
        numbers = [number for name in names if (number := segment_number(name)) is not None]
        segments = [segment for name in names if (segment := self._open_segment(name)) is not None]
        sequences = [sequence for name in names if (sequence := checkpoint_sequence(name)) is not None]
        sequences.sort(reverse=True)
        self._check_manifest(names, sequences)
        checkpoints = self._load_checkpoints(sequences)
        if checkpoints:
            self._sequence = checkpoints[0].sequence
            self._found.records = len(checkpoints[0])
        self._replay(segments)
        self._found.sequence = self._sequence
        return RecoveredState(checkpoints, self._segments, max(numbers, default=0), self._found)

    def _refuse_newer_formats(self, names: list[str]) -> None:
        for name in names:
            try:
                if name == MANIFEST:
                    decode_manifest(self._directory.read(name, 0, MAX_MANIFEST_BYTES))
                elif segment_number(name) is not None:
                    decode_file_header(self._directory.read(name, 0, FILE_HEADER.size), LOG_MAGIC)
                elif checkpoint_sequence(name) is not None:
                    decode_file_header(self._directory.read(name, 0, FILE_HEADER.size), CHECKPOINT_MAGIC)
            except NewerFormatError as error:
                raise NewerFormatError(f"{name}: {error}; nothing was changed") from None
            except CorruptionError:
                pass  # quarantined later, once no file is known to be of a newer format

    def _remove_unfinished(self, names: list[str]) -> None:
        for name in names:
            if name.endswith(UNFINISHED_SUFFIX) and is_store_file(name):
                self._directory.remove(name)
            elif not is_store_file(name):
                self._report(f"{name}: not a file of the store, left alone")

    def _open_segment(self, name: str) -> Segment | None:
        number = segment_number(name)
        if number is None:
            return None
        header = self._directory.read(name, 0, FILE_HEADER.size)
        try:
            version, first_sequence = decode_file_header(header, LOG_MAGIC)
        except CorruptionError as error:
            self._quarantine(name, str(error))
            return None
        return Segment(number, first_sequence, version, self._directory.size(name))

    def _check_manifest(self, names: list[str], sequences: list[int]) -> None:
        """Report a newest checkpoint that has disappeared; all else the files tell without the manifest."""
        if MANIFEST not in names:
            return
        try:
            expected, _ = decode_manifest(self._directory.read(MANIFEST, 0, MAX_MANIFEST_BYTES))
        except CorruptionError as error:
            self._quarantine(MANIFEST, f"{error}; the files themselves tell enough")
            return
        if expected and expected[0] not in sequences:
            name = checkpoint_name(expected[0])
            self._found.quarantined.append(f"{name}: gone")
            self._report(f"{name}: the manifest names it, and it is gone")

    def _load_checkpoints(self, sequences: list[int]) -> list[Checkpoint]:
        """Load the newest valid checkpoints; those that are damaged on the way are quarantined."""
        valid: list[Checkpoint] = []
        for sequence in sequences:
            checkpoint = Checkpoint(self._directory, sequence)
            try:
                checkpoint.load(self._options.verify, self._count)
            except CorruptionError as error:
                self._quarantine(checkpoint.name, str(error))
                continue
            valid.append(checkpoint)
            if len(valid) == KEPT_CHECKPOINTS:
                break
        return valid

    def _count(self, record: Record, size: int) -> None:
        self._retention.count(record.space, record.at_ms, size)

    def _replay(self, segments: list[Segment]) -> None:
        """Replay the batches after the checkpoint, as far as they are valid and consecutive."""
        segments.sort(key=lambda segment: segment.number)
        begin = 0
        for position, segment in enumerate(segments):
            if segment.first_sequence <= self._sequence + 1:
                begin = position
        self._segments += segments[:begin]  # the older checkpoint needs them
        stopped = ""
        for position, segment in enumerate(segments[begin:], begin):
            if stopped or segment.first_sequence > self._sequence + 1:
                why = stopped or f"batches from {self._sequence + 1} on are missing before it"
                self._quarantine(segment.name, why)
                stopped = stopped or "it follows what is missing"
                continue
            following = segments[position + 1].first_sequence if position + 1 < len(segments) else None
            valid_end, why = self._replay_segment(segment, following)
            self._segments.append(segment)
            if why and (following is None or self._sequence + 1 < following):
                stopped = "it follows what is damaged"
                self._truncate(segment, valid_end, why)

    def _replay_segment(self, segment: Segment, following: int | None) -> tuple[int, str]:
        """Replay one segment.

        Args:
            segment: The segment.
            following: First sequence number of the next one, which has the newer copy from there on.

        Returns:
            Up to which byte the segment is valid, and why not further.
        """
        valid_end = FILE_HEADER.size
        try:
            for frame in read_frames(self._directory, segment.name, FILE_HEADER.size, segment.size):
                if following is not None and frame.number >= following:
                    return valid_end, ""
                if frame.number > self._sequence:
                    if frame.number != self._sequence + 1:
                        return valid_end, f"batch {self._sequence + 1} is missing"
                    self._replay_batch(segment, frame)
                valid_end = frame.offset + FRAME_HEADER.size + len(frame.payload)
        except CorruptionError as error:
            return valid_end, str(error)
        return valid_end, ""

    def _replay_batch(self, segment: Segment, frame: Frame) -> None:
        records = decode_batch(frame.payload, segment.version)
        self._index.put_batch(records, segment.name, frame.offset, segment.version)
        for record in records:
            self._count(record, len(record.value or b""))
        self._sequence = frame.number
        self._found.batches += 1

    def _quarantine(self, name: str, why: str) -> None:
        """Keep a damaged file under another name."""
        size = self._directory.size(name)
        self._found.quarantined.append(f"{name}: {why}, {size} bytes")
        self._found.lost_bytes += size
        self._report(f"{name}: {why}; put aside")
        self._directory.rename(name, quarantine_name(name))

    def _truncate(self, segment: Segment, valid_end: int, why: str) -> None:
        """Cut a segment to its valid part, and keep the rest in a file of its own."""
        lost = segment.size - valid_end
        if lost <= 0:
            return
        name = segment.name
        self._found.quarantined.append(f"{name}: {why} at byte {valid_end}, {lost} bytes")
        self._found.lost_bytes += lost
        aside = quarantine_name(name, valid_end)
        self._report(f"{name}: {why} at byte {valid_end}; the last {lost} bytes are put aside in {aside}")
        self._directory.create(aside)
        for offset in range(valid_end, segment.size, READ_BYTES):
            size = min(READ_BYTES, segment.size - offset)
            self._directory.append(aside, self._directory.read(name, offset, size))
        self._directory.truncate(name, valid_end)
        self._directory.sync(name)
        segment.size = valid_end
