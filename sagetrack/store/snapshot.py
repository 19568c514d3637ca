"""A consistent view of the store as of one moment, to be read while writing goes on."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence

from sagetrack.store.checkpoint import Checkpoint
from sagetrack.store.directory import StoreDirectory
from sagetrack.store.format import Record, decode_record
from sagetrack.store.log_index import Key, RecordLocation, read_located
from sagetrack.store.space_limits import Retention


def find_record(
    directory: StoreDirectory,
    tables: Sequence[Mapping[Key, RecordLocation]],
    checkpoint: Checkpoint | None,
    space: str,
    key: bytes,
) -> Record | None:
    """Read the newest record of a key, which may be a tombstone.

    Args:
        directory: The store's files.
        tables: Locations in the log, the newer first.
        checkpoint: What to look in last.
        space: The key space.
        key: The key.

    Raises:
        CorruptionError: The record is damaged on disk.
        OSError: It cannot be read.
    """
    for table in tables:
        location = table.get((space, key))
        if location is not None:
            return read_located(directory, location)
    return None if checkpoint is None else checkpoint.find(space, key)


class Snapshot:
    """The store as it was when the snapshot was taken. Close it: until then no file is removed."""

    __slots__ = ("_checkpoint", "_directory", "_on_close", "_retention", "_table")

    def __init__(
        self,
        directory: StoreDirectory,
        checkpoint: Checkpoint | None,
        table: Mapping[Key, RecordLocation],
        retention: Retention,
        on_close: Callable[[], None],
    ) -> None:
        self._directory = directory
        self._checkpoint = None if checkpoint is None else checkpoint.pinned()
        self._table = table
        self._retention = retention
        self._on_close = on_close

    def get(self, space: str, key: bytes, now_ms: int = 0) -> bytes | None:
        """The value of a key; None if there is none or it is expired at a Unix time in milliseconds.

        Raises:
            CorruptionError: The record is damaged on disk.
            OSError: It cannot be read.
        """
        record = find_record(self._directory, (self._table,), self._checkpoint, space, key)
        return None if record is None else self._retention.visible_value(record, now_ms)

    def items(self, space: str | None = None, now_ms: int = 0) -> Iterator[Record]:
        """All live records, or those of one space, in unspecified order.

        Raises:
            CorruptionError: At the first record that is damaged on disk.
            OSError: A file cannot be read.
        """
        if self._checkpoint is not None:
            for frame in self._checkpoint.frames():
                record = decode_record(frame.payload)
                replaced = (record.space, record.key) in self._table
                wanted = not replaced and space in (None, record.space)
                if wanted and self._retention.visible_value(record, now_ms) is not None:
                    yield record
        for (record_space, _), location in self._table.items():
            if space is None or record_space == space:
                record = read_located(self._directory, location)
                if self._retention.visible_value(record, now_ms) is not None:
                    yield record

    def close(self) -> None:
        """Let the store remove files that only this snapshot needed."""
        self._on_close()
