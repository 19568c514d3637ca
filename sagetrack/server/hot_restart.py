"""Hot restart: processes of the same gateway that run concurrently find each other in $TMPDIR.

Each process holds an exclusive lock on its own marker file. The kernel releases the lock when the process
ends for whatever reason, so a marker without a lock is stale. The name of the file contains the state of the
process; the file is empty and so can never be partially written.
"""

from __future__ import annotations

import fcntl
import os
import re
from contextlib import suppress

from sagetrack.core.log import log
from sagetrack.server.endpoint_list_file import EndpointListFile

MARKER_NAME = re.compile(r"sagetrack-(\d+)\.(starting|serving)")
SERVING = "serving"  # accepts connections
NOT_SERVING = "starting"  # starting or draining; deployed releases use this file name


class HotRestart:
    """The marker of this process, those of its siblings, and the endpoint list passed between them."""

    def __init__(self, folder: str | None) -> None:
        self.folder = folder or None
        self.endpoint_list = EndpointListFile(self.folder)
        self.sibling_count = 0  # running sibling processes
        self.serving_sibling_count = 0  # sibling processes that accept connections
        self._descriptor: int | None = None
        self._marker = ""  # name of the marker file; empty if there is none

    def join(self) -> None:
        """Create the marker of this process and count the siblings.

        The marker is locked before it is renamed to its final name, so that no sibling sees it unlocked and
        removes it. If the folder is not usable, this is logged and the process runs without siblings.
        """
        if self.folder is None:
            return
        temporary = f"sagetrack-{os.getpid()}.new"
        try:
            flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
            self._descriptor = os.open(os.path.join(self.folder, temporary), flags, 0o600)
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._rename(self.folder, temporary, NOT_SERVING)
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
        """Mark this process as draining, so that a sibling that drains as well does not rely on it.

        It counts as a running process and shares the limits with its siblings until `release`.
        """
        self._mark(NOT_SERVING)

    def _mark(self, state: str) -> None:
        """Change the state that siblings see; if that fails, they continue to see the previous one."""
        if self.folder is None or not self._marker:
            return
        try:
            self._rename(self.folder, self._marker, state)
        except OSError as error:
            log(f"hot restart marker in {self.folder} not updated: {error.strerror}", "warning")

    def _rename(self, folder: str, old: str, state: str) -> None:
        new = f"sagetrack-{os.getpid()}.{state}"
        os.replace(os.path.join(folder, old), os.path.join(folder, new))
        self._marker = new

    def refresh(self) -> None:
        """Count the siblings and remove stale markers.

        The counts do not change if the folder cannot be read, for example because no descriptor is left.
        """
        if self.folder is None or not self._marker:
            return
        sibling_count = 0
        serving_count = 0
        try:
            names = os.listdir(self.folder)
        except OSError:
            return
        for name in names:
            marker = MARKER_NAME.fullmatch(name)
            if marker is None or name == self._marker:
                continue
            if self._is_locked(os.path.join(self.folder, name)):
                sibling_count += 1
                serving_count += marker[2] == SERVING
        self.sibling_count = sibling_count
        self.serving_sibling_count = serving_count

    @staticmethod
    def _is_locked(path: str) -> bool:
        """Return whether a process holds this marker, or might; a stale marker is removed."""
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
            os.unlink(path)
        return False

    def release(self) -> None:
        """Write a pending endpoint list, unless a sibling is serving, and remove this process's marker."""
        # A serving sibling writes its own list, which is newer.
        self.endpoint_list.close(write_pending=not self.serving_sibling_count)
        if self._descriptor is not None and self.folder is not None:
            with suppress(OSError):  # the next process removes a marker that remains, as it has no lock
                os.unlink(os.path.join(self.folder, self._marker))
            os.close(self._descriptor)
            self._descriptor = None
            self._marker = ""
