"""Builds the preloaded library that makes a gateway's system calls fail, and writes its control file.

The library is compiled for each run with the C compiler of the machine.
"""

from __future__ import annotations

import errno
import mmap
import shutil
import struct
import subprocess
from dataclasses import astuple, dataclass
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
LAYOUT = struct.Struct("=q10I")  # layout of `struct control` in shim.c: faults, failed calls, seed
FAILED_CALLS_FIELD = 9  # index of `failed_calls` in the layout
SEED_MASK = 0xFFFFFFFF

# Groups of system calls that fail together. `SystemCallFaults` has a rate for each. The names are printed.
CALL_GROUPS = ("accept", "connect", "socket", "read", "write", "file", "watch")

ACCEPT_ERRORS = (
    errno.ECONNABORTED,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.EINTR,
    errno.EMFILE,
    errno.EPROTO,
    errno.ENOMEM,
)


class ShimError(RuntimeError):
    """The library cannot be built. The message gives the reason in one line."""


@dataclass(slots=True, frozen=True)
class SystemCallFaults:
    """Failure rates of a gateway's system calls, per 1,000 calls; 0 for no failures.

    The order of the fields is that of `LAYOUT`.
    """

    wall_step_us: int = 0  # offset added to the wall clock
    accept_rate: int = 0
    connect_rate: int = 0
    socket_rate: int = 0
    read_rate: int = 0
    write_rate: int = 0
    file_rate: int = 0
    watch_rate: int = 0  # epoll_ctl
    accept_error: int = 0  # errno of failed accept calls; 0 for a random one of ACCEPT_ERRORS

    def failing_groups(self) -> list[str]:
        """Return the groups of system calls that fail."""
        return [group for group in CALL_GROUPS if getattr(self, f"{group}_rate")]


NO_FAULTS = SystemCallFaults()


def build_library(folder: Path) -> Path:
    """Compile the library into a folder.

    Raises:
        ShimError: There is no C compiler, or the compilation fails.
    """
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise ShimError("no C compiler (cc or gcc) found, so system calls cannot be made to fail")
    library = folder / "soak-shim.so"
    command = [compiler, "-shared", "-fPIC", "-O1", "-Wall", "-o", str(library), str(SOURCE), "-ldl"]
    compiled = subprocess.run(command, capture_output=True, text=True, check=False)
    if compiled.returncode:
        raise ShimError(f"compilation of shim.c failed: {compiled.stderr.strip().splitlines()[0]}")
    return library


class FaultControl:
    """The memory-mapped control file that the library reads in the processes of one gateway."""

    def __init__(self, path: Path, seed: int) -> None:
        path.write_bytes(bytes(LAYOUT.size))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), LAYOUT.size)
        self._path = path
        self._seed = seed & SEED_MASK
        self.set(NO_FAULTS)

    def set(self, faults: SystemCallFaults) -> None:
        """Replace the active faults with these, with immediate effect."""
        self._memory[:] = LAYOUT.pack(*astuple(faults), self.failed_calls, self._seed)

    @property
    def failed_calls(self) -> int:
        """The number of system calls that the library has made to fail so far."""
        return int(LAYOUT.unpack(self._memory[:])[FAILED_CALLS_FIELD])

    def environment(self, library: Path) -> dict[str, str]:
        """Return the environment variables that load the library into a process."""
        return {
            "LD_PRELOAD": str(library),
            "SOAK_CONTROL": str(self._path),
            "SOAK_FOLDER": str(self._path.parent),
        }
