"""The storage engine: a write-ahead log and its index, checkpoints, recovery. No thread or clock.

The state is what the newest checkpoint holds, changed by the batches of the log after it. Each concern has a
module and owns its state; `Store` puts them together.
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
    """One open store. Not thread-safe.

    Attributes:
        log: The write-ahead log.
    """

    __slots__ = (
        "_checkpoints",
        "_compactor",
        "_directory",
        "_disk_space",
        "_index",
        "_options",
        "_report",
        "_retention",
        "log",
    )

    def __init__(
        self,
        directory: StoreDirectory,
        options: StoreOptions,
        report: Callable[[str], None] = lambda line: None,
    ) -> None:
        self._directory = directory
        self._options = options
        self._report = report
        self._disk_space = DiskSpace(directory, options.max_bytes)
        self._retention = Retention(options)
        self._index = LogIndex()
        self._checkpoints = Checkpoints()
        self.log = WriteAheadLog(directory, options.segment_bytes, self._index, self._disk_space)
        self._compactor = Compactor(
            directory, options, self.log, self._index, self._checkpoints, self._retention, self._disk_space
        )

    def open(self) -> RecoveryReport:
        """Recover the newest state; call once, before anything else.

        Raises:
            NewerFormatError: A later version wrote the store; nothing was changed.
            OSError: It cannot be read.
        """
        recovery = Recovery(self._directory, self._options, self._report, self._index, self._retention)
        recovered = recovery.run()
        self._checkpoints.restore(recovered.checkpoints)
        self.log.resume(recovered.segments, recovered.last_segment_number, recovered.report.sequence)
        self._disk_space.recount()
        return recovered.report

    def get(self, space: str, key: bytes, now_ms: int = 0) -> bytes | None:
        """The newest value of a key; None if there is none or it is expired at a Unix time in milliseconds.

        Raises:
            CorruptionError: The record is damaged on disk.
            OSError: It cannot be read.
        """
        tables = self._index.tables()
        newest = self._checkpoints.newest
        record = find_record(self._directory, tables, newest, space, key)
        return None if record is None else self._retention.visible_value(record, now_ms)

    def snapshot(self) -> Snapshot:
        """All of it as it is now, to be read while writing goes on. Close it."""
        self._disk_space.pin()
        newest, table = self._checkpoints.newest, self._index.merged()
        return Snapshot(self._directory, newest, table, self._retention, self._disk_space.unpin)

    def write(self, batches: Sequence[Sequence[Record]]) -> int:
        """Append batches, each of which is atomic. They are durable once synced.

        Returns:
            The sequence number of the last batch.

        Raises:
            BatchTooLargeError: One of the batches is too large.
            StoreFullError: The limit on disk space is reached.
            OSError: None of it counts; but after a crash before the next write some of the first batches may
                be found.
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
        """Make all that was written durable; see `WriteAheadLog.sync`.

        Returns:
            The sequence number up to which all batches are durable.
        """
        return self.log.sync()

    @property
    def has_unsynced(self) -> bool:
        """Whether a batch that was written is not durable yet."""
        return self.log.has_unsynced

    @property
    def bytes_used(self) -> int:
        """Bytes of all files of the store."""
        return self._disk_space.bytes_used

    @property
    def uncompacted_keys(self) -> int:
        """Keys in the log that the next compaction merges into a checkpoint."""
        return len(self._index)

    @property
    def compaction_due(self) -> bool:
        """Whether a compaction should begin now, if none is under way."""
        return self._compactor.due

    def compact(self, now_ms: int) -> Generator[None, None, None]:
        """Merge the log into a new checkpoint, a step for each `next`; see `Compactor.run`."""
        return self._compactor.run(now_ms)

    def close(self) -> None:
        """Make all durable and close the directory, even if the first fails."""
        try:
            self.sync()
        finally:
            self._directory.close()
