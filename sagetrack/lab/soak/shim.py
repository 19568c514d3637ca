"""The library that makes a gateway's system calls fail, and the file that tells it which.

The library is compiled where it is needed, with the C compiler of the machine.
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
LAYOUT = struct.Struct("=q10I")  # of `struct control` in the source: the faults, failed calls, seed
FAILED_CALLS_FIELD = 9  # its index in the layout
SEED_MASK = 0xFFFFFFFF

# Groups of system calls that fail together; for each, `SystemCallFaults` has a rate. The names are printed.
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
    """The library cannot be built; the message says why, in one line."""


@dataclass(slots=True, frozen=True)
class SystemCallFaults:
    """Which system calls of a gateway fail: rates are per 1,000 calls, 0 for none.

    The fields are written in this order, as `LAYOUT` has them.
    """

    wall_step_us: int = 0  # added to the wall clock
    accept_rate: int = 0
    connect_rate: int = 0
    socket_rate: int = 0
    read_rate: int = 0
    write_rate: int = 0
    file_rate: int = 0
    watch_rate: int = 0  # epoll_ctl
    accept_error: int = 0  # an errno; 0: any of ACCEPT_ERRORS

    def failing_groups(self) -> list[str]:
        """The groups of system calls that fail."""
        return [group for group in CALL_GROUPS if getattr(self, f"{group}_rate")]


NO_FAULTS = SystemCallFaults()


def build_library(folder: Path) -> Path:
    """Compile the library into a folder.

    Raises:
        ShimError: There is no C compiler, or it fails.
    """
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise ShimError("no C compiler is installed: system calls cannot be made to fail")
    library = folder / "soak-shim.so"
    command = [compiler, "-shared", "-fPIC", "-O1", "-Wall", "-o", str(library), str(SOURCE), "-ldl"]
    compiled = subprocess.run(command, capture_output=True, text=True, check=False)
    if compiled.returncode:
        raise ShimError(f"the library does not compile: {compiled.stderr.strip().splitlines()[0]}")
    return library


class FaultControl:
    """The file that the library reads in one gateway's processes, mapped into memory."""

    def __init__(self, path: Path, seed: int) -> None:
        path.write_bytes(bytes(LAYOUT.size))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), LAYOUT.size)
        self._path = path
        self._seed = seed & SEED_MASK
        self.set(NO_FAULTS)

    def set(self, faults: SystemCallFaults) -> None:
        """Let these faults, and no others, happen from now on."""
        self._memory[:] = LAYOUT.pack(*astuple(faults), self.failed_calls, self._seed)

    @property
    def failed_calls(self) -> int:
        """How many system calls were made to fail so far."""
        return int(LAYOUT.unpack(self._memory[:])[FAILED_CALLS_FIELD])

    def environment(self, library: Path) -> dict[str, str]:
        """The variables with which a process is started so that its system calls can fail."""
        return {
            "LD_PRELOAD": str(library),
            "SOAK_CONTROL": str(self._path),
            "SOAK_FOLDER": str(self._path.parent),
        }
