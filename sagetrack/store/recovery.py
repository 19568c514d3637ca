"""Recovery: restores the newest valid checkpoint and all valid, consecutive batches of the log after it.

Invalid data, such as a torn write at the end of the log, is quarantined and listed in the report, and it is
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
    """Result of a recovery, for logs and commands.

    Attributes:
        sequence: Sequence number of the last valid batch.
        batches: Number of batches replayed from the log.
        records: Number of records in the newest checkpoint.
        quarantined: One line for each damaged or missing file or part of a file, with the reason.
        lost_bytes: Number of quarantined bytes.
    """

    sequence: int = 0
    batches: int = 0
    records: int = 0
    quarantined: list[str] = field(default_factory=list)
    lost_bytes: int = 0


@dataclass(slots=True)
class RecoveredState:
    """The recovered state of a store.

    Attributes:
        checkpoints: Valid checkpoints that are kept, the newest first.
        segments: Log segments that are kept, in ascending order of their numbers.
        last_segment_number: Highest segment number found, including invalid segments.
        report: Report of the recovery.
    """

    checkpoints: list[Checkpoint]
    segments: list[Segment]
    last_segment_number: int
    report: RecoveryReport


class Recovery:
    """Recovers a store: loads checkpoints, and replays the log into the log index and the byte counts."""

    __slots__ = (
        "_directory",
        "_index",
        "_log_line",
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
        log_line: Callable[[str], None],
        index: LogIndex,
        retention: Retention,
    ) -> None:
        self._directory = directory
        self._options = options
        self._log_line = log_line
        self._index = index
        self._retention = retention
        self._report = RecoveryReport()
        self._segments: list[Segment] = []
        self._sequence = 0

    def run(self) -> RecoveredState:
        """Recover the newest consistent state.

        Raises:
            NewerFormatError: A later version of the program wrote the store; no file was changed.
            OSError: A file operation failed.
        """
        names = self._directory.names()
        self._reject_newer_formats(names)
        self._remove_unfinished(names)
        numbers = [number for name in names if (number := segment_number(name)) is not None]
        segments = [segment for name in names if (segment := self._open_segment(name)) is not None]
        sequences = [sequence for name in names if (sequence := checkpoint_sequence(name)) is not None]
        sequences.sort(reverse=True)
        self._check_manifest(names, sequences)
        checkpoints = self._load_checkpoints(sequences)
        if checkpoints:
            self._sequence = checkpoints[0].sequence
            self._report.records = len(checkpoints[0])
        self._replay(segments)
        self._report.sequence = self._sequence
        return RecoveredState(checkpoints, self._segments, max(numbers, default=0), self._report)

    def _reject_newer_formats(self, names: list[str]) -> None:
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
                pass  # quarantined later; no file is changed before all are checked for newer formats

    def _remove_unfinished(self, names: list[str]) -> None:
        for name in names:
            if name.endswith(UNFINISHED_SUFFIX) and is_store_file(name):
                self._directory.remove(name)
            elif not is_store_file(name):
                self._log_line(f"{name}: not a file of the store, ignored")

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
        """Report a newest checkpoint that is missing; the manifest serves no other purpose in recovery."""
        if MANIFEST not in names:
            return
        try:
            expected, _ = decode_manifest(self._directory.read(MANIFEST, 0, MAX_MANIFEST_BYTES))
        except CorruptionError as error:
            self._quarantine(MANIFEST, f"{error}; recovery does not depend on it")
            return
        if expected and expected[0] not in sequences:
            name = checkpoint_name(expected[0])
            self._report.quarantined.append(f"{name}: gone")
            self._log_line(f"{name}: listed in the manifest, but the file is missing")

    def _load_checkpoints(self, sequences: list[int]) -> list[Checkpoint]:
        """Load the newest two valid checkpoints; damaged ones found before these are quarantined."""
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
        """Replay the batches after the checkpoint until the first one that is damaged or missing."""
        segments.sort(key=lambda segment: segment.number)
        first_replayed = 0
        for position, segment in enumerate(segments):
            if segment.first_sequence <= self._sequence + 1:
                first_replayed = position
        self._segments += segments[:first_replayed]  # kept for the older checkpoint
        stop_reason = ""
        for position, segment in enumerate(segments[first_replayed:], first_replayed):
            if stop_reason or segment.first_sequence > self._sequence + 1:
                reason = stop_reason or f"preceding batches from {self._sequence + 1} on are missing"
                self._quarantine(segment.name, reason)
                stop_reason = stop_reason or "preceding batches are missing"
                continue
            next_first_sequence = (
                segments[position + 1].first_sequence if position + 1 < len(segments) else None
            )
            valid_end, reason = self._replay_segment(segment, next_first_sequence)
            self._segments.append(segment)
            if reason and (next_first_sequence is None or self._sequence + 1 < next_first_sequence):
                stop_reason = "a preceding segment is damaged"
                self._truncate(segment, valid_end, reason)

    def _replay_segment(self, segment: Segment, next_first_sequence: int | None) -> tuple[int, str]:
        """Replay one segment.

        Args:
            segment: The segment.
            next_first_sequence: First sequence number of the next segment, which supersedes this segment's
                batches from there on; None for the last segment.

        Returns:
            End offset of the valid part, and the reason why the rest is invalid; empty if there is none.
        """
        valid_end = FILE_HEADER.size
        try:
            for frame in read_frames(self._directory, segment.name, FILE_HEADER.size, segment.size):
                if next_first_sequence is not None and frame.number >= next_first_sequence:
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
        self._report.batches += 1

    def _quarantine(self, name: str, reason: str) -> None:
        """Rename a damaged file to its quarantine name, and report it."""
        size = self._directory.size(name)
        self._report.quarantined.append(f"{name}: {reason}, {size} bytes")
        self._report.lost_bytes += size
        self._log_line(f"{name}: {reason}; quarantined")
        self._directory.rename(name, quarantine_name(name))

    def _truncate(self, segment: Segment, valid_end: int, reason: str) -> None:
        """Truncate a segment to its valid part, and copy the rest into a quarantine file."""
        lost = segment.size - valid_end
        if lost <= 0:
            return
        name = segment.name
        self._report.quarantined.append(f"{name}: {reason} at byte {valid_end}, {lost} bytes")
        self._report.lost_bytes += lost
        quarantine = quarantine_name(name, valid_end)
        self._log_line(
            f"{name}: {reason} at byte {valid_end}; the last {lost} bytes are quarantined in {quarantine}"
        )
        self._directory.create(quarantine)
        for offset in range(valid_end, segment.size, READ_BYTES):
            size = min(READ_BYTES, segment.size - offset)
            self._directory.append(quarantine, self._directory.read(name, offset, size))
        self._directory.truncate(name, valid_end)
        self._directory.sync(name)
        segment.size = valid_end
