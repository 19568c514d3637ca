"""File operations of a store within its directory, behind a protocol that tests can implement."""

from __future__ import annotations

import errno
import fcntl
import os
from contextlib import suppress
from pathlib import Path
from typing import Protocol

from sagetrack.store.file_names import LOCK


class StoreDirectory(Protocol):
    """File operations within one directory; each of them may raise OSError."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        ...

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""
        ...

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Read up to `length` bytes from an offset; fewer are returned at the end of the file."""
        ...

    def create(self, name: str) -> None:
        """Create an empty file, replacing an existing one."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Append bytes; after an OSError, a part of them may have been written."""
        ...

    def sync(self, name: str) -> None:
        """Make the appended bytes of a file durable."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically, replacing an existing file with the new name."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file."""
        ...

    def sync_names(self) -> None:
        """Make the creation, renaming and removal of files durable."""
        ...

    def close(self) -> None:
        """Release the resources of the directory."""
        ...


class DiskDirectory:
    """A directory on disk, locked for exclusive use by one process.

    Args:
        folder: Path of the directory.
        create: Create the directory if it does not exist.
        writable: Lock the directory and open files for writing; otherwise open it read-only without a lock.

    Raises:
        BlockingIOError: Another process holds the lock.
        OSError: The directory cannot be opened.
    """

    def __init__(self, folder: Path | str, create: bool = True, writable: bool = True) -> None:
        self.folder = Path(folder)
        if create:
            self.folder.mkdir(parents=True, exist_ok=True)
        self._descriptors: dict[str, int] = {}
        self._lock = -1
        if writable:
            self._lock = os.open(self.folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(self._lock)
                raise BlockingIOError(errno.EWOULDBLOCK, "locked by another process", str(folder)) from None

    def _descriptor(self, name: str, flags: int = os.O_RDWR) -> int:
        """Return the descriptor of a file, opening the file if necessary."""
        descriptor = self._descriptors.get(name)
        if descriptor is None:
            if self._lock < 0:
                flags = os.O_RDONLY
            descriptor = os.open(self.folder / name, flags | os.O_CLOEXEC, 0o600)
            self._descriptors[name] = descriptor
        return descriptor

    def _close_file(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(entry.name for entry in self.folder.iterdir() if entry.is_file())

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""
        return os.fstat(self._descriptor(name)).st_size

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Read up to `length` bytes from an offset; fewer are returned at the end of the file."""
        return os.pread(self._descriptor(name), length, offset)

    def create(self, name: str) -> None:
        """Create an empty file, replacing an existing one."""
        self._close_file(name)
        self._descriptor(name, os.O_RDWR | os.O_CREAT | os.O_TRUNC)

    def append(self, name: str, data: bytes) -> None:
        """Append bytes; after an OSError, a part of them may have been written."""
        descriptor = self._descriptor(name)
        os.lseek(descriptor, 0, os.SEEK_END)
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, name: str) -> None:
        """Make the appended bytes of a file durable."""
        os.fdatasync(self._descriptor(name))

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        os.ftruncate(self._descriptor(name), size)

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically, replacing an existing file with the new name."""
        self._close_file(new)
        os.rename(self.folder / old, self.folder / new)
        if old in self._descriptors:
            self._descriptors[new] = self._descriptors.pop(old)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_file(name)
        os.unlink(self.folder / name)

    def sync_names(self) -> None:
        """Make the creation, renaming and removal of files durable."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self._descriptors):
            with suppress(OSError):
                self._close_file(name)
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1


class DryRunDirectory:
    """A read-only view of a directory on disk, for recovery without changes and without a lock.

    Changes of file names and sizes are simulated in memory, as recovery needs them; appended bytes are
    discarded.
    """

    def __init__(self, folder: Path | str) -> None:
        self._disk = DiskDirectory(folder, create=False, writable=False)
        self._names_on_disk: dict[str, str] = {name: name for name in self._disk.names()}
        self._truncated: dict[str, int] = {}

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self._names_on_disk)

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""
        on_disk = self._names_on_disk[name]
        size = self._disk.size(on_disk) if on_disk else 0
        return min(self._truncated.get(name, size), size)

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Read up to `length` bytes from an offset; fewer are returned at the end of the file."""
        on_disk = self._names_on_disk[name]
        if not on_disk:
            return b""
        return self._disk.read(on_disk, offset, max(0, min(length, self.size(name) - offset)))

    def create(self, name: str) -> None:
        """Simulate the creation of an empty file."""
        self._names_on_disk[name] = ""

    def append(self, name: str, data: bytes) -> None:
        """Do nothing."""

    def sync(self, name: str) -> None:
        """Do nothing."""

    def truncate(self, name: str, size: int) -> None:
        """Simulate the truncation of a file."""
        self._truncated[name] = size

    def rename(self, old: str, new: str) -> None:
        """Simulate the renaming of a file."""
        self._names_on_disk[new] = self._names_on_disk.pop(old)

    def remove(self, name: str) -> None:
        """Simulate the removal of a file."""
        del self._names_on_disk[name]

    def sync_names(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Close all files."""
        self._disk.close()
