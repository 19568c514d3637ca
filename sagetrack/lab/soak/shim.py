"""The library that makes a gateway's system calls fail, and the file that tells it which.

It is compiled where it is needed, with the C compiler of this machine.
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
LAYOUT = struct.Struct("=q10I")  # as `struct control` in the source


class ShimError(RuntimeError):
    """The library cannot be had; the message says why, in one line."""


@dataclass(slots=True, frozen=True)
class Faults:
    """What fails now: rates are in calls of 1,000."""

    wall_step_us: int = 0
    accept_rate: int = 0
    connect_rate: int = 0
    socket_rate: int = 0
    read_rate: int = 0
    write_rate: int = 0
    file_rate: int = 0
    watch_rate: int = 0
    accept_error: int = 0  # 0: any that Linux documents


NONE = Faults()
ACCEPT_ERRORS = (
    errno.ECONNABORTED,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.EINTR,
    errno.EMFILE,
    errno.EPROTO,
    errno.ENOMEM,
)


def build(folder: Path) -> Path:
    """Compile the library into a folder; ShimError where there is no compiler or it fails."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise ShimError("no C compiler is installed: system calls cannot be made to fail")
    library = folder / "soak-shim.so"
    command = [compiler, "-shared", "-fPIC", "-O1", "-Wall", "-o", str(library), str(SOURCE), "-ldl"]
    made = subprocess.run(command, capture_output=True, text=True, check=False)
    if made.returncode:
        raise ShimError(f"the library does not compile: {made.stderr.strip().splitlines()[0]}")
    return library


class Control:
    """The file that one gateway's library reads."""

    def __init__(self, path: Path, seed: int) -> None:
        path.write_bytes(bytes(LAYOUT.size))
        with path.open("r+b") as file:
            self.memory = mmap.mmap(file.fileno(), LAYOUT.size)
        self.path, self.seed = path, seed & 0xFFFFFFFF
        self.set(NONE)

    def set(self, faults: Faults) -> None:
        """Let these faults, and no others, happen from now on."""
        self.memory[:] = LAYOUT.pack(*astuple(faults), self.failed, self.seed)

    @property
    def failed(self) -> int:
        """Calls that were made to fail so far."""
        return int(LAYOUT.unpack(self.memory[:])[9])

    def environment(self, library: Path) -> dict[str, str]:
        """What a process is started with, so that its calls can be made to fail."""
        names = {"LD_PRELOAD": library, "SOAK_CONTROL": self.path, "SOAK_FOLDER": self.path.parent}
        return {name: str(value) for name, value in names.items()}
