"""A directory in memory that crashes between any two calls, loses or tears what was not synced, and fails.

What a crash leaves (Pillai et al., All File Systems Are Not Created Equal, OSDI 2014): of appended bytes that
were not synced any 512-byte sectors, a file longer or shorter than it was; of creations, renames and removals
some first ones in order.
"""

from __future__ import annotations

import errno
import os
import random
from dataclasses import dataclass, field
from typing import NamedTuple

SECTOR_BYTES = 512


class SimulatedCrash(BaseException):
    """The machine has stopped: nothing after this was done."""


@dataclass(slots=True, eq=False)
class FaultyFile:
    """One file: its bytes, and what of them a crash cannot take away."""

    data: bytearray = field(default_factory=bytearray)
    durable: bytes = b""  # as of the last sync
    truncated_to: int | None = None  # the least size that it was truncated to since

    def bytes_after_crash(self, rng: random.Random) -> bytes:
        """What a crash may leave of it."""
        durable = self.durable
        if self.truncated_to is not None and rng.random() < 0.5:
            durable = durable[: self.truncated_to]
        if bytes(self.data[: len(durable)]) != durable:
            return durable  # truncated and written again, none of it synced
        recovered = bytearray(durable)
        end = rng.randint(len(durable), max(len(durable), len(self.data)))
        offset = len(durable)
        while offset < end:
            size = min(SECTOR_BYTES - offset % SECTOR_BYTES, end - offset)
            recovered += self.data[offset : offset + size] if rng.random() < 0.7 else bytes(size)
            offset += size
        return bytes(recovered)


class _NameChange(NamedTuple):
    """A change of the directory: one name goes, and another stands for a file; either may be missing."""

    removed: str | None
    added: str | None
    file: FaultyFile | None

    def apply(self, files: dict[str, FaultyFile]) -> None:
        if self.removed is not None:
            files.pop(self.removed, None)
        if self.added is not None and self.file is not None:
            files[self.added] = self.file


class FaultyDirectory:
    """`store.directory.StoreDirectory` in memory, with faults on demand.

    Attributes:
        files: The files by name, as a program sees them now.
        calls: How many calls that change something were made.
        crash_at_call: The call from which on each raises SimulatedCrash; not positive for never.
        errors_by_call: By name of a call the error number that it fails with, until it is taken out.
        free_bytes: How many bytes may still be appended; None for any number.
        largest_read: The most bytes that one read requested.
    """

    def __init__(self, files: dict[str, FaultyFile] | None = None) -> None:
        self.files = files or {}
        self.calls = 0
        self.crash_at_call = -1
        self.errors_by_call: dict[str, int] = {}
        self.free_bytes: int | None = None
        self.largest_read = 0
        self._durable_files = dict(self.files)
        self._pending_changes: list[_NameChange] = []  # since the names were synced

    def _call(self, name: str) -> None:
        self.calls += 1
        if 0 < self.crash_at_call <= self.calls:
            raise SimulatedCrash  # and so does each call after it
        error_number = self.errors_by_call.get(name)
        if error_number is not None:
            raise OSError(error_number, os.strerror(error_number))

    def _file(self, name: str) -> FaultyFile:
        file = self.files.get(name)
        if file is None:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return file

    def names(self) -> list[str]:
        """Names of all files, sorted."""
        return sorted(self.files)

    def size(self, name: str) -> int:
        """Size of a file in bytes."""
        return len(self._file(name).data)

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Read bytes from an offset; fewer at the end of the file."""
        self.largest_read = max(self.largest_read, length)
        return bytes(self._file(name).data[offset : offset + length])

    def create(self, name: str) -> None:
        """Create an empty file, in place of one that is there."""
        self._call("create")
        file = FaultyFile()
        self.files[name] = file
        self._pending_changes.append(_NameChange(None, name, file))

    def append(self, name: str, data: bytes) -> None:
        """Append bytes; a crash leaves all of them in the cache, an error half of them."""
        file = self._file(name)
        try:
            self._call("append")
            if self.free_bytes is not None and len(data) > self.free_bytes:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        except SimulatedCrash:
            file.data += data  # it may have got that far
            raise
        except OSError:
            file.data += data[: len(data) // 2]
            raise
        if self.free_bytes is not None:
            self.free_bytes -= len(data)
        file.data += data

    def sync(self, name: str) -> None:
        """Make what was appended durable; after an error it reads as zeros."""
        file = self._file(name)
        try:
            self._call("sync")
        except OSError:
            # The pages are marked clean and may never have been written (Rebello et al., ATC 2020).
            file.data[len(file.durable) :] = bytes(len(file.data) - len(file.durable))
            raise
        file.durable = bytes(file.data)
        file.truncated_to = None

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        self._call("truncate")
        file = self._file(name)
        del file.data[size:]
        file.truncated_to = size if file.truncated_to is None else min(size, file.truncated_to)

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically, in place of one of the new name."""
        self._call("rename")
        file = self._file(old)
        del self.files[old]
        self.files[new] = file
        self._pending_changes.append(_NameChange(old, new, file))

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._call("remove")
        self._file(name)
        del self.files[name]
        self._pending_changes.append(_NameChange(name, None, None))

    def sync_names(self) -> None:
        """Make creations, renames and removals durable."""
        self._call("sync_names")
        self._durable_files = dict(self.files)
        self._pending_changes.clear()

    def close(self) -> None:
        """Release the directory: there is nothing to release."""

    def after_crash(self, rng: random.Random) -> FaultyDirectory:
        """The directory as it is found when the machine is up again."""
        files = dict(self._durable_files)
        for change in self._pending_changes[: rng.randint(0, len(self._pending_changes))]:
            change.apply(files)
        recovered_files = {}
        for name, file in files.items():
            data = file.bytes_after_crash(rng)
            recovered_files[name] = FaultyFile(bytearray(data), data)
        return FaultyDirectory(recovered_files)

    def copy(self) -> FaultyDirectory:
        """The directory as it is, all of it durable."""
        files = {
            name: FaultyFile(bytearray(file.data), bytes(file.data)) for name, file in self.files.items()
        }
        return FaultyDirectory(files)
