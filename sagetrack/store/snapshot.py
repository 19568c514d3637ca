"""Snapshots: consistent views of the store as of one moment, which can be read during later writes."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence

from sagetrack.store.checkpoint import Checkpoint
from sagetrack.store.directory import StoreDirectory
from sagetrack.store.format import Record, decode_record
from sagetrack.store.log_index import Key, RecordLocation, read_record_at
from sagetrack.store.space_limits import Retention


def find_record(
    directory: StoreDirectory,
    tables: Sequence[Mapping[Key, RecordLocation]],
    checkpoint: Checkpoint | None,
    space: str,
    key: bytes,
) -> Record | None:
    """Read the newest record of a key; it may be a tombstone.

    Args:
        directory: Directory of the store.
        tables: Generations of the log index, in the order of lookup.
        checkpoint: Checkpoint to search if the key is not in the log.
        space: Key space of the key.
        key: The key.

    Returns:
        The record; None if the store does not contain the key.

    Raises:
        CorruptionError: The record is damaged on disk.
        OSError: The record cannot be read.
    """
    for table in tables:
        location = table.get((space, key))
        if location is not None:
            return read_record_at(directory, location)
    return None if checkpoint is None else checkpoint.find(space, key)


class Snapshot:
    """The state of the store when the snapshot was taken. No file is removed until `close` is called."""

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
        """Return the value of a key; None if the key is missing, deleted or expired.

        Args:
            space: Key space of the key.
            key: The key.
            now_ms: Unix time in milliseconds at which expiry is evaluated.

        Raises:
            CorruptionError: The record is damaged on disk.
            OSError: The record cannot be read.
        """
        record = find_record(self._directory, (self._table,), self._checkpoint, space, key)
        return None if record is None else self._retention.visible_value(record, now_ms)

    def items(self, space: str | None = None, now_ms: int = 0) -> Iterator[Record]:
        """Iterate over the live records, in unspecified order.

        Args:
            space: Key space to which the records are restricted; None for all.
            now_ms: Unix time in milliseconds at which expiry is evaluated.

        Raises:
            CorruptionError: At the first record that is damaged on disk.
            OSError: A file cannot be read.
        """
        if self._checkpoint is not None:
            for frame in self._checkpoint.frames():
                record = decode_record(frame.payload)
                is_overridden = (record.space, record.key) in self._table
                is_selected = not is_overridden and space in (None, record.space)
                if is_selected and self._retention.visible_value(record, now_ms) is not None:
                    yield record
        for (record_space, _), location in self._table.items():
            if space is None or record_space == space:
                record = read_record_at(self._directory, location)
                if self._retention.visible_value(record, now_ms) is not None:
                    yield record

    def close(self) -> None:
        """Release the snapshot, so that the store can remove obsolete files."""
        self._on_close()
