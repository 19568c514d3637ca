"""The clocks: a monotonic one for all differences, and the wall clock for the stamps of others.

Deadlines, windows, waits and ages are differences of `now_us`, which no step of the wall clock moves. A stamp
in Unix time is compared with `wall_us` at the moment it is read, and with nothing else.
"""

from __future__ import annotations

import time

_OFFSET_NS = time.time_ns() - time.monotonic_ns()


def now_us() -> int:
    """Return the process's monotonic time in microseconds; at the start of the process it is Unix time."""
    return (_OFFSET_NS + time.monotonic_ns()) // 1000


def wall_us() -> int:
    """Return Unix time as the machine has it now, in microseconds: it may step either way."""
    return time.time_ns() // 1000


def system_monotonic_us() -> int:
    """Return monotonic time that all processes share until the machine is rebooted, in microseconds."""
    return time.monotonic_ns() // 1000
