"""An in-memory directory that simulates crashes and disk errors.

A crash can happen between any two calls. It leaves what file systems may leave (Pillai et al., All File
Systems Are Not Created Equal, OSDI 2014): any subset of the 512-byte sectors of appended but unsynced bytes,
files cut short or extended with zeros, and only the first of the unsynced creations, renames and removals, in
order.
"""

from __future__ import annotations

import errno
import os
import random
from dataclasses import dataclass, field
from typing import NamedTuple

SECTOR_BYTES = 512


class SimulatedCrash(BaseException):
    """Simulates a crash of the machine; it is raised by the call during which the machine stops."""


@dataclass(slots=True, eq=False)
class FaultyFile:
    """A file: its current content, and the content that survives a crash."""

    data: bytearray = field(default_factory=bytearray)
    durable: bytes = b""  # content at the last sync
    truncated_to: int | None = None  # smallest size to which it was truncated since the last sync

    def bytes_after_crash(self, rng: random.Random) -> bytes:
        """Return a random possible content of the file after a crash."""
        durable = self.durable
        if self.truncated_to is not None and rng.random() < 0.5:
            durable = durable[: self.truncated_to]
        if bytes(self.data[: len(durable)]) != durable:
            return durable  # the file was truncated and then overwritten, but neither was synced
        recovered = bytearray(durable)
        end = rng.randint(len(durable), max(len(durable), len(self.data)))
        offset = len(durable)
        while offset < end:
            size = min(SECTOR_BYTES - offset % SECTOR_BYTES, end - offset)
            recovered += self.data[offset : offset + size] if rng.random() < 0.7 else bytes(size)
            offset += size
        return bytes(recovered)


class _NameChange(NamedTuple):
    """A change of the directory: a name that is removed, a name that is added for a file, or both."""

    removed: str | None
    added: str | None
    file: FaultyFile | None

    def apply(self, files: dict[str, FaultyFile]) -> None:
        if self.removed is not None:
            files.pop(self.removed, None)
        if self.added is not None and self.file is not None:
            files[self.added] = self.file


class FaultyDirectory:
    """An in-memory implementation of `store.directory.StoreDirectory` that can inject faults.

    Attributes:
        files: The files by name, including changes that are not yet durable.
        calls: Number of calls so far that change or sync something.
        crash_at_call: Number of the first of these calls that raises SimulatedCrash, as do all later ones;
            there is no crash if it is not positive.
        errors_by_call: Error numbers with which calls fail, by name of the call, until the entry is removed.
        free_bytes: Number of bytes that can still be appended; None for no limit.
        largest_read: Largest length that was requested in a read.
    """

    def __init__(self, files: dict[str, FaultyFile] | None = None) -> None:
        self.files = files or {}
        self.calls = 0
        self.crash_at_call = -1
        self.errors_by_call: dict[str, int] = {}
        self.free_bytes: int | None = None
        self.largest_read = 0
        self._durable_files = dict(self.files)
        self._pending_changes: list[_NameChange] = []  # since the last sync of the names

    def _call(self, name: str) -> None:
        self.calls += 1
        if 0 < self.crash_at_call <= self.calls:
            raise SimulatedCrash
        error_number = self.errors_by_call.get(name)
        if error_number is not None:
            raise OSError(error_number, os.strerror(error_number))

    def _file(self, name: str) -> FaultyFile:
        file = self.files.get(name)
        if file is None:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return file

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self.files)

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""
        return len(self._file(name).data)

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Read up to `length` bytes from an offset; fewer are returned at the end of the file."""
        self.largest_read = max(self.largest_read, length)
        return bytes(self._file(name).data[offset : offset + length])

    def create(self, name: str) -> None:
        """Create an empty file, which replaces an existing one of the same name."""
        self._call("create")
        file = FaultyFile()
        self.files[name] = file
        self._pending_changes.append(_NameChange(None, name, file))

    def append(self, name: str, data: bytes) -> None:
        """Append bytes; on a crash all of them are in the page cache, and on an error half of them."""
        file = self._file(name)
        try:
            self._call("append")
            if self.free_bytes is not None and len(data) > self.free_bytes:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        except SimulatedCrash:
            file.data += data  # the crash may happen after the bytes were written to the page cache
            raise
        except OSError:
            file.data += data[: len(data) // 2]
            raise
        if self.free_bytes is not None:
            self.free_bytes -= len(data)
        file.data += data

    def sync(self, name: str) -> None:
        """Make the content of a file durable; after an error, the appended bytes read as zeros."""
        file = self._file(name)
        try:
            self._call("sync")
        except OSError:
            # After a failed sync, pages can be marked clean without being written (Rebello et al., ATC 2020).
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
        """Rename a file atomically; it replaces an existing file of the new name."""
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
        """Close the directory; there is nothing to release."""

    def after_crash(self, rng: random.Random) -> FaultyDirectory:
        """Return a random possible state of the directory after a crash."""
        files = dict(self._durable_files)
        for change in self._pending_changes[: rng.randint(0, len(self._pending_changes))]:
            change.apply(files)
        recovered_files = {}
        for name, file in files.items():
            data = file.bytes_after_crash(rng)
            recovered_files[name] = FaultyFile(bytearray(data), data)
        return FaultyDirectory(recovered_files)

    def copy(self) -> FaultyDirectory:
        """Return a copy of the directory, with all content durable."""
        files = {
            name: FaultyFile(bytearray(file.data), bytes(file.data)) for name, file in self.files.items()
        }
        return FaultyDirectory(files)
