"""The directory of a store: the few file operations that it needs, so that tests can take a disk's place."""

from __future__ import annotations

import errno
import fcntl
import os
from contextlib import suppress
from pathlib import Path
from typing import Protocol

from sagetrack.store.file_names import LOCK


class StoreDirectory(Protocol):
    """File operations within one directory. Any of them may raise OSError."""

    def names(self) -> list[str]:
        """Names of all files, sorted."""
        ...

    def size(self, name: str) -> int:
        """Size of a file in bytes."""
        ...

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Read bytes from an offset; fewer at the end of the file."""
        ...

    def create(self, name: str) -> None:
        """Create an empty file, in place of one that is there."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Append all of the bytes; after OSError some of them may be there."""
        ...

    def sync(self, name: str) -> None:
        """Make what was appended durable."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically, in place of one of the new name."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file."""
        ...

    def sync_names(self) -> None:
        """Make creations, renames and removals durable."""
        ...

    def close(self) -> None:
        """Release the directory."""
        ...


class DiskDirectory:
    """A directory on disk that one process has to itself.

    Args:
        folder: The directory.
        create: Create it if it is missing.
        writable: Lock it and open files for writing; else nothing is locked and files are opened for reading.

    Raises:
        BlockingIOError: Another process has it.
        OSError: It cannot be used.
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
                raise BlockingIOError(errno.EWOULDBLOCK, "another process has it", str(folder)) from None

    def _descriptor(self, name: str, flags: int = os.O_RDWR) -> int:
        """The descriptor of an open file; opens it if it is not."""
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
        """Names of all files, sorted."""
        return sorted(entry.name for entry in self.folder.iterdir() if entry.is_file())

    def size(self, name: str) -> int:
        """Size of a file in bytes."""
        return os.fstat(self._descriptor(name)).st_size

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Read bytes from an offset; fewer at the end of the file."""
        return os.pread(self._descriptor(name), length, offset)

    def create(self, name: str) -> None:
        """Create an empty file, in place of one that is there."""
        self._close_file(name)
        self._descriptor(name, os.O_RDWR | os.O_CREAT | os.O_TRUNC)

    def append(self, name: str, data: bytes) -> None:
        """Append all of the bytes; after OSError some of them may be there."""
        descriptor = self._descriptor(name)
        os.lseek(descriptor, 0, os.SEEK_END)
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, name: str) -> None:
        """Make what was appended durable."""
        os.fdatasync(self._descriptor(name))

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        os.ftruncate(self._descriptor(name), size)

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically, in place of one of the new name."""
        self._close_file(new)
        os.rename(self.folder / old, self.folder / new)
        if old in self._descriptors:
            self._descriptors[new] = self._descriptors.pop(old)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_file(name)
        os.unlink(self.folder / name)

    def sync_names(self) -> None:
        """Make creations, renames and removals durable."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Close all files and unlock the directory."""
        for name in list(self._descriptors):
            with suppress(OSError):
                self._close_file(name)
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1


class DryRunDirectory:
    """A directory on disk that is read without a lock and never changed.

    Changes are made in memory alone, as far as recovery needs them: names and sizes, not content.
    """

    def __init__(self, folder: Path | str) -> None:
        self._disk = DiskDirectory(folder, create=False, writable=False)
        self._names_on_disk: dict[str, str] = {name: name for name in self._disk.names()}
        self._truncated: dict[str, int] = {}

    def names(self) -> list[str]:
        """Names of all files, sorted."""
        return sorted(self._names_on_disk)

    def size(self, name: str) -> int:
        """Size of a file in bytes."""
        on_disk = self._names_on_disk[name]
        size = self._disk.size(on_disk) if on_disk else 0
        return min(self._truncated.get(name, size), size)

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Read bytes from an offset; fewer at the end of the file."""
        on_disk = self._names_on_disk[name]
        if not on_disk:
            return b""
        return self._disk.read(on_disk, offset, max(0, min(length, self.size(name) - offset)))

    def create(self, name: str) -> None:
        """Enter an empty file."""
        self._names_on_disk[name] = ""

    def append(self, name: str, data: bytes) -> None:
        """Do nothing."""

    def sync(self, name: str) -> None:
        """Do nothing."""

    def truncate(self, name: str, size: int) -> None:
        """Pretend that a file has this size."""
        self._truncated[name] = size

    def rename(self, old: str, new: str) -> None:
        """Pretend that a file has another name."""
        self._names_on_disk[new] = self._names_on_disk.pop(old)

    def remove(self, name: str) -> None:
        """Pretend that a file is gone."""
        del self._names_on_disk[name]

    def sync_names(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Close all files."""
        self._disk.close()
