"""Time: one line that only moves forward, and the wall clock, which others' stamps are read by.

Deadlines, windows, waits and ages are differences on the one line, which no step of the wall clock moves. A
stamp in Unix time is compared with the wall clock as it is when the stamp is read, and with nothing else.
"""

from __future__ import annotations

import time

_OFFSET_NS = time.time_ns() - time.monotonic_ns()


def now_us() -> int:
    """The process's line: Unix time at its start, carried on by the monotonic clock, in microseconds."""
    return (_OFFSET_NS + time.monotonic_ns()) // 1000


def wall_us() -> int:
    """Unix time as the machine has it now, in microseconds: it may step either way."""
    return time.time_ns() // 1000


def machine_us() -> int:
    """A line that all processes of this machine share until it is booted anew, in microseconds."""
    return time.monotonic_ns() // 1000
