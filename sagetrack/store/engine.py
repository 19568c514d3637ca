"""The storage engine, which combines write-ahead log, log index, checkpoints, compaction and recovery.

The state consists of the newest checkpoint and the batches of the log after it. The engine starts no thread
and reads no clock; callers pass in the time.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Sequence

from sagetrack.store.checkpoint import Checkpoints
from sagetrack.store.compaction import Compactor
from sagetrack.store.directory import StoreDirectory
from sagetrack.store.disk_space import DiskSpace
from sagetrack.store.format import FILE_HEADER, Record
from sagetrack.store.log_index import LogIndex
from sagetrack.store.options import StoreOptions
from sagetrack.store.recovery import Recovery, RecoveryReport
from sagetrack.store.snapshot import Snapshot, find_record
from sagetrack.store.space_limits import Retention
from sagetrack.store.write_ahead_log import WriteAheadLog


class Store:
    """A store. It is not thread-safe.

    Attributes:
        log: The write-ahead log.
    """

    __slots__ = (
        "_checkpoints",
        "_compactor",
        "_directory",
        "_disk_space",
        "_index",
        "_log_line",
        "_options",
        "_retention",
        "log",
    )

    def __init__(
        self,
        directory: StoreDirectory,
        options: StoreOptions,
        log_line: Callable[[str], None] = lambda line: None,
    ) -> None:
        self._directory = directory
        self._options = options
        self._log_line = log_line
        self._disk_space = DiskSpace(directory, options.max_bytes)
        self._retention = Retention(options)
        self._index = LogIndex()
        self._checkpoints = Checkpoints()
        self.log = WriteAheadLog(directory, options.segment_bytes, self._index, self._disk_space)
        self._compactor = Compactor(
            directory, options, self.log, self._index, self._checkpoints, self._retention, self._disk_space
        )

    def open(self) -> RecoveryReport:
        """Recover the newest consistent state; it must be called once, before any other method.

        Raises:
            NewerFormatError: A later version of the program wrote the store; no file was changed.
            OSError: A file operation failed.
        """
        recovery = Recovery(self._directory, self._options, self._log_line, self._index, self._retention)
        recovered = recovery.run()
        self._checkpoints.restore(recovered.checkpoints)
        self.log.resume(recovered.segments, recovered.last_segment_number, recovered.report.sequence)
        self._disk_space.recount()
        return recovered.report

    def get(self, space: str, key: bytes, now_ms: int = 0) -> bytes | None:
        """Return the newest value of a key; None if the key is missing, deleted or expired.

        Args:
            space: Key space of the key.
            key: The key.
            now_ms: Unix time in milliseconds at which expiry is evaluated.

        Raises:
            CorruptionError: The record is damaged on disk.
            OSError: The record cannot be read.
        """
        tables = self._index.tables()
        newest = self._checkpoints.newest
        record = find_record(self._directory, tables, newest, space, key)
        return None if record is None else self._retention.visible_value(record, now_ms)

    def snapshot(self) -> Snapshot:
        """Take a snapshot of the state, which can be read during later writes; the caller must close it."""
        self._disk_space.pin()
        newest, table = self._checkpoints.newest, self._index.merged()
        return Snapshot(self._directory, newest, table, self._retention, self._disk_space.unpin)

    def write(self, batches: Sequence[Sequence[Record]]) -> int:
        """Append batches, each of which is atomic; `sync` makes them durable.

        Returns:
            The sequence number of the last batch.

        Raises:
            BatchTooLargeError: One of the batches is too large.
            StoreFullError: The limit on disk space is reached.
            OSError: The write failed and no batch was applied. If the process crashes before the next write,
                recovery may nevertheless find some of the first batches.
        """
        frames = self.log.encode(batches)
        data = b"".join(frames)
        self._disk_space.require(len(data) + FILE_HEADER.size)
        self.log.append(batches, frames, data)
        for records in batches:
            for record in records:
                self._retention.count(record.space, record.at_ms, len(record.value or b""))
        return self.log.sequence

    def sync(self) -> int:
        """Make all written batches durable; see `WriteAheadLog.sync`.

        Returns:
            The sequence number up to which all batches are durable.
        """
        return self.log.sync()

    @property
    def has_unsynced(self) -> bool:
        """True if some written batches are not durable yet."""
        return self.log.has_unsynced

    @property
    def bytes_used(self) -> int:
        """Total size of the files of the store, in bytes."""
        return self._disk_space.bytes_used

    @property
    def uncompacted_keys(self) -> int:
        """Number of keys in the log that the next compaction merges into a checkpoint."""
        return len(self._index)

    @property
    def compaction_due(self) -> bool:
        """True if a compaction should start unless one is already running."""
        return self._compactor.due

    def compact(self, now_ms: int) -> Generator[None, None, None]:
        """Merge the log into a new checkpoint, one step per `next`; see `Compactor.run`."""
        return self._compactor.run(now_ms)

    def close(self) -> None:
        """Sync the log and close the directory; the directory is closed even if the sync fails."""
        try:
            self.sync()
        finally:
            self._directory.close()
