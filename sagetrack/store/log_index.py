"""In-memory index of the newest record of each key in the log, similar to Bitcask's keydir.

The index has two generations, like the memtables of a log-structured merge tree. New records enter the active
generation. A compaction freezes it and merges the records of the frozen generation into a new checkpoint.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from sagetrack.store.directory import StoreDirectory
from sagetrack.store.format import Record, decode_batch
from sagetrack.store.frames import read_payload

Key = tuple[str, bytes]  # space and key


class RecordLocation(NamedTuple):
    """Location of a record in the log.

    Attributes:
        segment: File name of the log segment.
        offset: Offset of the frame that contains the batch of the record.
        position: Index of the record within its batch.
        version: Format version of the segment.
    """

    segment: str
    offset: int
    position: int
    version: int


def read_record_at(directory: StoreDirectory, location: RecordLocation) -> Record:
    """Read a record from the log.

    Raises:
        CorruptionError: The batch of the record is damaged.
        OSError: The segment cannot be read.
    """
    payload = read_payload(directory, location.segment, location.offset)
    return decode_batch(payload, location.version)[location.position]


class LogIndex:
    """Locations of the newest record of each key that was written after the newest checkpoint."""

    __slots__ = ("_active", "_frozen")

    def __init__(self) -> None:
        self._active: dict[Key, RecordLocation] = {}
        self._frozen: dict[Key, RecordLocation] = {}

    def __len__(self) -> int:
        return len(self._active)

    def put_batch(self, records: Sequence[Record], segment: str, offset: int, version: int) -> None:
        """Add the records of a batch; batches must be added in the order of their sequence numbers."""
        for position, record in enumerate(records):
            self._active[record.space, record.key] = RecordLocation(segment, offset, position, version)

    def tables(self) -> tuple[Mapping[Key, RecordLocation], ...]:
        """Return the generations in the order of lookup, the active one first."""
        return self._active, self._frozen

    def merged(self) -> dict[Key, RecordLocation]:
        """Return a copy of both generations, merged into one table."""
        return {**self._frozen, **self._active}

    def freeze(self) -> None:
        """Move the active entries into the frozen generation, where they override older entries."""
        self._frozen = self.merged()
        self._active = {}

    def unfreeze(self) -> None:
        """Move all entries back into the active generation after a failed compaction."""
        self._active = self.merged()
        self._frozen = {}

    def drop_frozen(self) -> None:
        """Drop the frozen entries, which the newest checkpoint now contains."""
        self._frozen = {}

    def frozen_keys(self) -> Iterator[Key]:
        """Iterate over the frozen keys, in order of insertion."""
        return iter(self._frozen)

    def is_frozen(self, key: Key) -> bool:
        """True if the frozen generation contains the key."""
        return key in self._frozen

    def frozen_location(self, key: Key) -> RecordLocation:
        """Return the location of the frozen record of a key; the key must be frozen."""
        return self._frozen[key]
