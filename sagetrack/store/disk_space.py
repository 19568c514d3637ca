"""Accounting of disk space, and removal of obsolete files."""

from __future__ import annotations

from collections.abc import Iterable

from sagetrack.store.directory import StoreDirectory
from sagetrack.store.errors import StoreFullError
from sagetrack.store.file_names import LOCK


class DiskSpace:
    """Counts the bytes of all files, and removes obsolete files when no snapshot is open."""

    __slots__ = ("_directory", "_max_bytes", "_obsolete", "_snapshots", "bytes_used")

    def __init__(self, directory: StoreDirectory, max_bytes: int) -> None:
        self._directory = directory
        self._max_bytes = max_bytes
        self._snapshots = 0
        self._obsolete: list[str] = []
        self.bytes_used = 0

    def require(self, size: int) -> None:
        """Check that `size` more bytes are within the limit of the store.

        Raises:
            StoreFullError: The limit would be exceeded.
        """
        if self.bytes_used + size > self._max_bytes:
            raise StoreFullError(f"store is full, {self.bytes_used} of {self._max_bytes} bytes are in use")

    def add(self, size: int) -> None:
        """Count appended bytes."""
        self.bytes_used += size

    def recount(self) -> None:
        """Recompute the count from the sizes of the existing files."""
        names = [name for name in self._directory.names() if name != LOCK]
        self.bytes_used = sum(self._directory.size(name) for name in names)

    def pin(self) -> None:
        """Keep all files for a snapshot until `unpin` is called."""
        self._snapshots += 1

    def unpin(self) -> None:
        """Release the files of a snapshot; obsolete ones are removed after the last snapshot is closed."""
        self._snapshots -= 1
        self._reclaim()

    def retire(self, names: Iterable[str]) -> None:
        """Remove obsolete files, immediately or when the last snapshot is closed."""
        self._obsolete += names
        self._reclaim()

    def _reclaim(self) -> None:
        if self._snapshots:
            return
        for name in self._obsolete:
            if name in self._directory.names():
                self._directory.remove(name)
        self._obsolete.clear()
        self.recount()
