"""Clocks: a monotonic clock for time differences, and the wall clock for timestamps from other machines.

Deadlines, windows, waits and ages are differences of `now_us`, which steps of the wall clock do not affect.
A timestamp in Unix time is compared only with `wall_us`, at the moment it is read.
"""

from __future__ import annotations

import time

_OFFSET_NS = time.time_ns() - time.monotonic_ns()


def now_us() -> int:
    """Return monotonic time in microseconds, which equals Unix time when the process starts."""
    return (_OFFSET_NS + time.monotonic_ns()) // 1000


def wall_us() -> int:
    """Return the machine's current Unix time in microseconds, which may step forwards or backwards."""
    return time.time_ns() // 1000


def system_monotonic_us() -> int:
    """Return monotonic time in microseconds, shared by all processes until the machine is rebooted."""
    return time.monotonic_ns() // 1000
