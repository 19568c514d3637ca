"""Compaction: merges the newest checkpoint and the log after it into a new checkpoint, in small steps."""

from __future__ import annotations

import heapq
from collections.abc import Generator, Iterator

from sagetrack.store.checkpoint import Checkpoint, Checkpoints, chain_checksum
from sagetrack.store.directory import StoreDirectory
from sagetrack.store.disk_space import DiskSpace
from sagetrack.store.file_names import MANIFEST, unfinished_name
from sagetrack.store.format import (
    CHECKPOINT_MAGIC,
    FRAME_HEADER,
    Record,
    decode_frame_header,
    decode_record,
    encode_end_record,
    encode_file_header,
    encode_manifest,
    encode_record,
    key_hash,
)
from sagetrack.store.log_index import Key, LogIndex, read_record_at
from sagetrack.store.options import StoreOptions
from sagetrack.store.space_limits import Retention
from sagetrack.store.write_ahead_log import WriteAheadLog

MAX_LOG_KEYS = 50_000  # number of keys in the log at which compaction is due
STEP_RECORDS = 200  # records that are processed in one step
SORT_KEYS = 4_000  # keys per sorted run; bounds the duration of one sort
WRITE_BYTES = 64 * 1024  # number of bytes that are buffered before each append

HashedKey = tuple[int, Key]


class CheckpointWriter:
    """Writes a checkpoint to a file with a temporary name."""

    __slots__ = ("_buffer", "_chained_checksum", "_directory", "_name", "_written", "checkpoint")

    def __init__(self, directory: StoreDirectory, sequence: int) -> None:
        self._directory = directory
        self.checkpoint = Checkpoint(directory, sequence)
        self._name = unfinished_name(self.checkpoint.name)
        self._buffer = bytearray()
        self._written = 0
        self._chained_checksum = 0

    def begin(self) -> None:
        """Create the file and buffer its header."""
        self._directory.create(self._name)
        self._buffer += encode_file_header(CHECKPOINT_MAGIC, self.checkpoint.sequence)

    def add(self, record: Record) -> int:
        """Append a record, in ascending order of key hashes, and return the size of its payload."""
        frame = encode_record(record)
        _, checksum, number = decode_frame_header(frame)
        self.checkpoint.add(number, self._written + len(self._buffer))
        self._chained_checksum = chain_checksum(checksum, self._chained_checksum)
        self._buffer += frame
        return len(frame) - FRAME_HEADER.size

    def flush_if_full(self) -> None:
        """Write the buffered bytes to the file if there are at least `WRITE_BYTES`."""
        if len(self._buffer) >= WRITE_BYTES:
            self._directory.append(self._name, bytes(self._buffer))
            self._written += len(self._buffer)
            self._buffer.clear()

    def finish(self) -> None:
        """Write the remaining bytes and the end record, and sync the file."""
        self._buffer += encode_end_record(len(self.checkpoint), self._chained_checksum)
        self._directory.append(self._name, bytes(self._buffer))
        self.checkpoint.size = self._written + len(self._buffer)
        self._directory.sync(self._name)

    def discard(self) -> None:
        """Remove the temporary file if it exists."""
        if self._name in self._directory.names():
            self._directory.remove(self._name)

    def publish(self) -> None:
        """Rename the finished file to its final name, and make the rename durable."""
        self._directory.rename(self._name, self.checkpoint.name)
        self._directory.sync_names()


class Compactor:
    """Determines when compaction is due, and performs it."""

    __slots__ = ("_checkpoints", "_directory", "_disk_space", "_index", "_log", "_options", "_retention")

    def __init__(
        self,
        directory: StoreDirectory,
        options: StoreOptions,
        log: WriteAheadLog,
        index: LogIndex,
        checkpoints: Checkpoints,
        retention: Retention,
        disk_space: DiskSpace,
    ) -> None:
        self._directory = directory
        self._options = options
        self._log = log
        self._index = index
        self._checkpoints = checkpoints
        self._retention = retention
        self._disk_space = disk_space

    @property
    def due(self) -> bool:
        """True if the size of the log or of all files requires a compaction."""
        newest = self._checkpoints.newest
        log_bytes = self._log.size_after(None if newest is None else newest.sequence)
        checkpoint_bytes = 0 if newest is None else newest.size
        nearly_full = self._disk_space.bytes_used > self._options.max_bytes * 3 // 4
        log_large = log_bytes > max(2 * self._options.segment_bytes, checkpoint_bytes // 2)
        return len(self._index) > 0 and (nearly_full or log_large or len(self._index) >= MAX_LOG_KEYS)

    def run(self, now_ms: int) -> Generator[None, None, None]:
        """Write and adopt a new checkpoint; each `next` performs one step, and writes may occur in between.

        Args:
            now_ms: Current Unix time in milliseconds; records that have expired by then are left out.

        Raises:
            OSError: A file operation failed; the state of the store is unchanged.
            CorruptionError: A record to be merged is damaged; the state of the store is unchanged.
        """
        if self._log.has_unsynced or self._log.current_segment is not None:
            self._log.sync()
        newest = self._checkpoints.newest
        if newest is not None and newest.sequence == self._log.sequence:
            return
        self._log.close_segment()  # the next batch starts a new segment: a checkpoint covers whole segments
        self._index.freeze()
        writer = CheckpointWriter(self._directory, self._log.sequence)
        cutoffs = self._retention.eviction_cutoffs()
        previous_counts = self._retention.begin_recount()
        try:
            yield from self._write(writer, cutoffs, now_ms)
        except BaseException:
            self._index.unfreeze()
            self._retention.restore(previous_counts)
            writer.discard()
            raise
        self._adopt(writer)

    def _write(
        self, writer: CheckpointWriter, cutoffs: dict[str, int], now_ms: int
    ) -> Generator[None, None, None]:
        writer.begin()
        runs = yield from self._sorted_runs()
        for count, record in enumerate(self._merged(iter(heapq.merge(*runs)))):
            visible = self._retention.visible_value(record, now_ms) is not None
            if visible and record.at_ms >= cutoffs.get(record.space, 0):
                size = writer.add(record)
                self._retention.count(record.space, record.at_ms, size)
            writer.flush_if_full()
            if count % STEP_RECORDS == 0:
                yield
        writer.finish()

    def _sorted_runs(self) -> Generator[None, None, list[list[HashedKey]]]:
        """Sort the frozen keys by hash into runs of bounded length, in steps, and return the runs."""
        runs: list[list[HashedKey]] = []
        run: list[HashedKey] = []
        for key in self._index.frozen_keys():
            run.append((key_hash(*key), key))
            if len(run) % STEP_RECORDS == 0:
                yield
            if len(run) == SORT_KEYS:
                run.sort()
                runs.append(run)
                run = []
        run.sort()
        runs.append(run)
        yield
        return runs

    def _merged(self, log_keys: Iterator[HashedKey]) -> Iterator[Record]:
        """Yield the newest record of each key in the checkpoint and the log, in order of the key hashes."""
        pending = next(log_keys, None)
        if self._checkpoints.newest is not None:
            for frame in self._checkpoints.newest.frames():
                while pending is not None and pending[0] < frame.number:
                    yield self._frozen_record(pending[1])
                    pending = next(log_keys, None)
                record = decode_record(frame.payload)
                if not self._index.is_frozen((record.space, record.key)):
                    yield record
        while pending is not None:
            yield self._frozen_record(pending[1])
            pending = next(log_keys, None)

    def _frozen_record(self, key: Key) -> Record:
        return read_record_at(self._directory, self._index.frozen_location(key))

    def _adopt(self, writer: CheckpointWriter) -> None:
        """Make a finished checkpoint the newest, and retire files that no kept checkpoint needs."""
        writer.publish()
        kept_sequence = self._checkpoints.newest_sequence
        self._write_manifest(writer.checkpoint, kept_sequence)
        obsolete = self._checkpoints.install(writer.checkpoint)
        self._index.drop_frozen()
        names = self._log.drop_segments_through(kept_sequence)
        self._disk_space.retire([*names, obsolete.name] if obsolete is not None else names)

    def _write_manifest(self, checkpoint: Checkpoint, kept_sequence: int) -> None:
        newest = self._checkpoints.newest
        sequences = [checkpoint.sequence] + ([newest.sequence] if newest is not None else [])
        segments = self._log.segments_after(kept_sequence)
        first_segment = min((segment.number for segment in segments), default=0)
        unfinished = unfinished_name(MANIFEST)
        self._directory.create(unfinished)
        self._directory.append(unfinished, encode_manifest(sequences, first_segment))
        self._directory.sync(unfinished)
        self._directory.rename(unfinished, MANIFEST)
        self._directory.sync_names()
