"""Exchange of recent request ids between the processes of one gateway, by a file of each in $TMPDIR.

Each process appends fixed-size records to its own file and reads those of the others. The times are readings
of the machine's monotonic clock, which all processes share. A file outlives its process, so that a successor
learns what may still run; it is removed once all of its records have expired.
"""

from __future__ import annotations

import os
import re
from collections.abc import Callable
from contextlib import suppress
from struct import Struct

from sagetrack.core.clock import system_monotonic_us
from sagetrack.core.log import log
from sagetrack.core.recent_requests import KEY_BYTES

RECORD = Struct(f"<{KEY_BYTES}sq")  # hash of the id, and the time until which it is remembered
FILE_NAME = re.compile(r"sagetrack-recent-(\d+)\.bin")
MAX_FILE_BYTES = 128 * 1024  # beyond this the file is written anew with the entries that have not expired
MAX_READ_BYTES = 4 * MAX_FILE_BYTES

Entries = list[tuple[bytes, int]]


class RecentRequestFiles:
    """Publishes the entries of this process, and polls those of its siblings and predecessors."""

    def __init__(
        self, folder: str, live_entries: Callable[[], Entries], has_siblings: Callable[[], bool]
    ) -> None:
        """Create an exchange in this folder.

        Args:
            folder: The folder shared by the processes of the gateway.
            live_entries: Returns the entries that have not expired, with which the file is written anew.
            has_siblings: Returns whether other processes of the gateway are running.
        """
        self._folder = folder
        self._has_siblings = has_siblings
        self._has_read_predecessors = False
        self._live_entries = live_entries
        self._own_name = f"sagetrack-recent-{os.getpid()}.bin"
        self._descriptor: int | None = None
        self._size = 0
        self._positions: dict[str, tuple[int, int]] = {}  # inode and offset read so far, by file name

    def publish(self, key: bytes, until_us: int) -> None:
        """Append a record; if that fails, this is logged, and siblings do not learn of the entry."""
        try:
            if self._descriptor is None or self._size >= MAX_FILE_BYTES:
                self._write_anew()
            assert self._descriptor is not None
            self._append(RECORD.pack(key, until_us))
        except OSError as error:
            log(f"recent request not written to {self._folder}: {error.strerror}", "warning")

    def poll(self) -> Entries:
        """Return the records of other processes that were not returned before."""
        entries: Entries = []
        if self._has_read_predecessors and not self._has_siblings():
            return entries
        self._has_read_predecessors = True
        try:
            names = os.listdir(self._folder)
        except OSError:
            return entries
        for name in names:
            if FILE_NAME.fullmatch(name) and not self._is_own(name):
                with suppress(OSError):
                    entries += self._read_new(name)
        return entries

    def _is_own(self, name: str) -> bool:
        """Return whether this process has written a file; a predecessor may have had the same process ID."""
        return name == self._own_name and self._descriptor is not None

    def remove_expired(self) -> None:
        """Remove files of ended processes in which every record has expired.

        While siblings run nothing is removed: they may be in another namespace of process IDs.
        """
        if self._has_siblings():
            return
        for name in list(self._positions):
            pid = int(name.removeprefix("sagetrack-recent-").removesuffix(".bin"))
            if os.path.exists(f"/proc/{pid}"):
                continue
            path = os.path.join(self._folder, name)
            with suppress(OSError):
                if all(until_us <= system_monotonic_us() for _, until_us in _read_records(path, 0)[1]):
                    os.unlink(path)
                    del self._positions[name]

    def close(self) -> None:
        """Close the file of this process, which remains for its siblings and successors."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _append(self, record: bytes) -> None:
        """Append a record whole; an incomplete one is cut off, as it would displace those that follow."""
        assert self._descriptor is not None
        written = os.write(self._descriptor, record)
        if written < len(record):
            os.ftruncate(self._descriptor, self._size)
            raise OSError(0, "the record was not written whole")
        self._size += len(record)

    def _write_anew(self) -> None:
        """Replace the file by one with the entries that have not expired."""
        path = os.path.join(self._folder, self._own_name)
        temporary = f"{path}.new"
        descriptor = os.open(
            temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600
        )
        try:
            data = b"".join(RECORD.pack(*entry) for entry in self._live_entries())
            written = os.write(descriptor, data)
            os.ftruncate(descriptor, written - written % RECORD.size)
            os.replace(temporary, path)
        except OSError:
            os.close(descriptor)
            raise
        self.close()
        self._descriptor = descriptor
        self._size = written - written % RECORD.size

    def _read_new(self, name: str) -> Entries:
        """Return the records of a file that were appended since the last call, or all if it is a new file."""
        path = os.path.join(self._folder, name)
        inode, offset = self._positions.get(name, (0, 0))
        status = os.stat(path)
        if status.st_ino != inode:
            offset = 0
        if status.st_size - offset < RECORD.size:
            return []
        offset, entries = _read_records(path, offset)
        self._positions[name] = (status.st_ino, offset)
        return entries


def _read_records(path: str, offset: int) -> tuple[int, Entries]:
    """Return the offset after the last complete record of a file, and the records from `offset` on."""
    with open(path, "rb") as file:
        file.seek(offset)
        data = file.read(MAX_READ_BYTES)
    data = data[: len(data) - len(data) % RECORD.size]
    return offset + len(data), [(key, until_us) for key, until_us in RECORD.iter_unpack(data)]
