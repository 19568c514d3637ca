"""What the lab reads of the processes that it measures, and free ports for them."""

from __future__ import annotations

import os
import socket
from pathlib import Path


def cpu_s(pid: int) -> float:
    """CPU seconds of a process so far, of the kernel's count in nanoseconds; OSError if it has ended."""
    total_ns = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total_ns += int((task / "schedstat").read_text().split()[0])
    return total_ns / 1e9


def memory_mb(pid: int) -> float:
    """Resident megabytes (10^6 bytes) of a process; OSError if it has ended."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port of 127.0.0.1 that is free at this moment, for TCP or another kind of socket."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
