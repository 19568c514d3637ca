"""CPU time and memory of processes, read from /proc, and the choice of free ports."""

from __future__ import annotations

import os
import socket
from pathlib import Path


def cpu_s(pid: int) -> float:
    """Return the CPU seconds that a process has used so far.

    They are summed over its threads from schedstat, which counts nanoseconds. Raises OSError if the process
    has ended.
    """
    total_ns = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total_ns += int((task / "schedstat").read_text().split()[0])
    return total_ns / 1e9


def memory_mb(pid: int) -> float:
    """Return a process's resident memory in megabytes (10^6 bytes). Raises OSError if it has ended."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of 127.0.0.1 that is free now, by default for TCP; `kind` is the socket type."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
