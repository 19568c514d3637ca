"""What the lab reads of the processes that it measures, and ports that are free."""

from __future__ import annotations

import os
import socket
from pathlib import Path


def cpu_s(pid: int) -> float:
    """CPU seconds of a process, to the nanosecond where the kernel counts them so."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def memory_mb(pid: int) -> float:
    """Resident megabytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port of loopback, of TCP or of this kind of socket, that nobody holds just now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
