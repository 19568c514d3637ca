"""Where the newest record of each key is in the log: an in-memory index as Bitcask's keydir.

The index has two generations, as the memtables of a log-structured merge tree do: the active one takes new
records; a compaction freezes it and merges the frozen one into the next checkpoint.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from sagetrack.store.directory import StoreDirectory
from sagetrack.store.format import Record, decode_batch
from sagetrack.store.frames import read_payload

Key = tuple[str, bytes]  # space and key


class RecordLocation(NamedTuple):
    """Where a record is in the log.

    Attributes:
        segment: Name of the log segment.
        offset: Where the frame of its batch begins.
        position: Which record of the batch it is.
        version: Format version of the segment.
    """

    segment: str
    offset: int
    position: int
    version: int


def read_located(directory: StoreDirectory, location: RecordLocation) -> Record:
    """Read a record from the log.

    Raises:
        CorruptionError: Its batch is damaged.
        OSError: It cannot be read.
    """
    payload = read_payload(directory, location.segment, location.offset)
    return decode_batch(payload, location.version)[location.position]


class LogIndex:
    """Location of the newest record of each key in the log since the newest checkpoint."""

    __slots__ = ("_active", "_frozen")

    def __init__(self) -> None:
        self._active: dict[Key, RecordLocation] = {}
        self._frozen: dict[Key, RecordLocation] = {}

    def __len__(self) -> int:
        return len(self._active)

    def put_batch(self, records: Sequence[Record], segment: str, offset: int, version: int) -> None:
        """Enter the records of a batch; none that is already there may be newer."""
        for position, record in enumerate(records):
            self._active[record.space, record.key] = RecordLocation(segment, offset, position, version)

    def tables(self) -> tuple[Mapping[Key, RecordLocation], ...]:
        """The generations to look a key up in, the newer first."""
        return self._active, self._frozen

    def merged(self) -> dict[Key, RecordLocation]:
        """A copy of both generations as one table."""
        return {**self._frozen, **self._active}

    def freeze(self) -> None:
        """Freeze what is active, on top of what an unfinished compaction has left frozen."""
        self._frozen = self.merged()
        self._active = {}

    def unfreeze(self) -> None:
        """Make all active again after a compaction that failed."""
        self._active = self.merged()
        self._frozen = {}

    def drop_frozen(self) -> None:
        """Forget what the newest checkpoint contains."""
        self._frozen = {}

    def frozen_keys(self) -> Iterator[Key]:
        """The frozen keys, in the order in which they were first entered."""
        return iter(self._frozen)

    def is_frozen(self, key: Key) -> bool:
        """Whether the frozen generation has this key."""
        return key in self._frozen

    def frozen_location(self, key: Key) -> RecordLocation:
        """Location of the newest frozen record of a key that is frozen."""
        return self._frozen[key]
