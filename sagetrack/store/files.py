"""The store's directory: the few operations on files that it needs, for a disk and for tests."""

from __future__ import annotations

import errno
import fcntl
import os
from contextlib import suppress
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """All of it may raise OSError. Names are those within one directory."""

    def names(self) -> list[str]: ...

    def size(self, name: str) -> int: ...

    def read(self, name: str, at: int, count: int) -> bytes:
        """Fewer bytes at the file's end."""
        ...

    def create(self, name: str) -> None:
        """A new empty file, in place of one that is there."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """All of it or OSError; some of it may be there then."""
        ...

    def sync(self, name: str) -> None:
        """What was appended lasts from now on."""
        ...

    def cut(self, name: str, size: int) -> None: ...

    def rename(self, old: str, new: str) -> None:
        """In one step; an older file of the new name is gone."""
        ...

    def remove(self, name: str) -> None: ...

    def sync_names(self) -> None:
        """Creations, renames and removals last from now on."""
        ...

    def close(self) -> None: ...


class Disk:
    """A directory that one process has."""

    def __init__(self, folder: Path | str, create: bool = True, writes: bool = True) -> None:
        """OSError if it can't be used; BlockingIOError if another process has it."""
        self.folder = Path(folder)
        if create:
            self.folder.mkdir(parents=True, exist_ok=True)
        self.handles: dict[str, int] = {}
        self.lock = -1
        if writes:
            self.lock = os.open(self.folder / "LOCK", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(self.lock)
                raise BlockingIOError(errno.EWOULDBLOCK, "another process has it", str(folder)) from None

    def handle(self, name: str, flags: int = os.O_RDWR) -> int:
        held = self.handles.get(name)
        if held is None:
            if self.lock < 0:
                flags = os.O_RDONLY
            held = self.handles[name] = os.open(self.folder / name, flags | os.O_CLOEXEC, 0o600)
        return held

    def names(self) -> list[str]:
        return sorted(entry.name for entry in self.folder.iterdir() if entry.is_file())

    def size(self, name: str) -> int:
        return os.fstat(self.handle(name)).st_size

    def read(self, name: str, at: int, count: int) -> bytes:
        return os.pread(self.handle(name), count, at)

    def create(self, name: str) -> None:
        self.forget(name)
        self.handle(name, os.O_RDWR | os.O_CREAT | os.O_TRUNC)

    def append(self, name: str, data: bytes) -> None:
        handle = self.handle(name)
        os.lseek(handle, 0, os.SEEK_END)
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def sync(self, name: str) -> None:
        os.fdatasync(self.handle(name))

    def cut(self, name: str, size: int) -> None:
        os.ftruncate(self.handle(name), size)

    def rename(self, old: str, new: str) -> None:
        self.forget(new)
        os.rename(self.folder / old, self.folder / new)
        if old in self.handles:
            self.handles[new] = self.handles.pop(old)

    def remove(self, name: str) -> None:
        self.forget(name)
        os.unlink(self.folder / name)

    def forget(self, name: str) -> None:
        held = self.handles.pop(name, None)
        if held is not None:
            os.close(held)

    def sync_names(self) -> None:
        handle = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def close(self) -> None:
        for name in list(self.handles):
            with suppress(OSError):
                self.forget(name)
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1


class Looking:
    """A directory as it is: what would be changed is changed in memory alone."""

    def __init__(self, folder: Path | str) -> None:
        self.disk = Disk(folder, create=False, writes=False)
        self.other: dict[str, str] = {name: name for name in self.disk.names()}  # by name: on disk
        self.cuts: dict[str, int] = {}

    def names(self) -> list[str]:
        return sorted(self.other)

    def size(self, name: str) -> int:
        real = self.disk.size(self.other[name]) if self.other[name] else 0
        return min(self.cuts.get(name, real), real)

    def read(self, name: str, at: int, count: int) -> bytes:
        if not self.other[name]:
            return b""
        return self.disk.read(self.other[name], at, max(0, min(count, self.size(name) - at)))

    def create(self, name: str) -> None:
        self.other[name] = ""

    def append(self, name: str, data: bytes) -> None:
        """Nothing is kept."""

    def sync(self, name: str) -> None:
        """Nothing is kept."""

    def cut(self, name: str, size: int) -> None:
        self.cuts[name] = size

    def rename(self, old: str, new: str) -> None:
        self.other[new] = self.other.pop(old)

    def remove(self, name: str) -> None:
        del self.other[name]

    def sync_names(self) -> None:
        """Nothing is kept."""

    def close(self) -> None:
        self.disk.close()
