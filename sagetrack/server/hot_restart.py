"""Hot restart: the processes of one gateway that run side by side find each other in $TMPDIR.

Each process holds an exclusive lock on a marker file of its own. The kernel releases the lock however the
process ends, so a marker without a lock is stale. A marker is empty, so that it cannot be half written: its
name tells the state.
"""

from __future__ import annotations

import fcntl
import os
import re
from contextlib import suppress
from pathlib import Path

from sagetrack.core.log import log
from sagetrack.server.endpoint_list_file import EndpointListFile

MARKER_NAME = re.compile(r"sagetrack-(\d+)\.(starting|serving)")
SERVING = "serving"  # accepts connections
NOT_SERVING = "starting"  # starts or drains; the file name is fixed by releases that are in service


class HotRestart:
    """This process's marker, the markers of its siblings, and the endpoint list that passes between them."""

    def __init__(self, folder: str | None) -> None:
        self.folder = Path(folder) if folder else None
        self.endpoint_list = EndpointListFile(self.folder)
        self.sibling_count = 0  # sibling processes that run
        self.serving_sibling_count = 0  # those of them that accept connections
        self._descriptor: int | None = None
        self._marker: Path | None = None

    def join(self) -> None:
        """Create this process's marker and count the siblings.

        The marker is locked before it gets its name, so that no sibling sees it unlocked and removes it.
        Where the folder cannot be used, that is logged and the process runs as if it were the only one.
        """
        if self.folder is None:
            return
        unnamed = self.folder / f"sagetrack-{os.getpid()}.new"
        try:
            self._descriptor = os.open(unnamed, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._rename(unnamed, NOT_SERVING)
        except OSError as error:
            log(f"hot restart disabled, TMPDIR {self.folder} cannot be used: {error.strerror}")
            self.folder = None
            self.endpoint_list.disable()
            return
        self.refresh()

    def mark_serving(self) -> None:
        """Mark this process as accepting connections."""
        self._mark(SERVING)

    def mark_draining(self) -> None:
        """Mark this process as draining: a sibling that drains too must not rely on it.

        It still counts as a running process, and shares the limits, until `leave`.
        """
        self._mark(NOT_SERVING)

    def _mark(self, state: str) -> None:
        """Change the state that siblings see; where the folder fails they see the previous one for longer."""
        if self._marker is None:
            return
        try:
            self._rename(self._marker, state)
        except OSError as error:
            log(f"hot restart marker in {self.folder} not updated: {error.strerror}", "warning")

    def _rename(self, old: Path, state: str) -> None:
        new = old.with_name(f"sagetrack-{os.getpid()}.{state}")
        os.replace(old, new)
        self._marker = new

    def refresh(self) -> None:
        """Count the siblings again, and remove stale markers.

        The counts stay as they were where the folder cannot be read, as when no descriptor is left.
        """
        if self.folder is None or self._marker is None:
            return
        others = 0
        serving = 0
        try:
            names = os.listdir(self.folder)
        except OSError:
            return
        for name in names:
            marker = MARKER_NAME.fullmatch(name)
            if marker is None or name == self._marker.name:
                continue
            if self._is_locked(self.folder / name):
                others += 1
                serving += marker[2] == SERVING
        self.sibling_count = others
        self.serving_sibling_count = serving

    @staticmethod
    def _is_locked(path: Path) -> bool:
        """Whether a process holds this marker, which is assumed where it cannot be tested; else remove it."""
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except FileNotFoundError:
            return False  # renamed or removed since the folder was listed
        except OSError:
            return True
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(descriptor)
        with suppress(OSError):
            path.unlink(missing_ok=True)
        return False

    def release(self) -> None:
        """Write a held-back endpoint list, unless a sibling serves, and remove this process's marker."""
        self.endpoint_list.close(
            write_pending=not self.serving_sibling_count
        )  # a serving sibling writes its own, newer one
        if self._descriptor is not None and self._marker is not None:
            with suppress(OSError):  # a marker that stays has no lock, and the next process removes it
                self._marker.unlink(missing_ok=True)
            os.close(self._descriptor)
            self._descriptor = None
            self._marker = None
