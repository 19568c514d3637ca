"""Returns free memory of the process to the system, as the allocator keeps it between objects in use."""

from __future__ import annotations

import gc
from collections.abc import Callable
from contextlib import suppress

MIN_INTERVAL_S = 1.0  # between two returns; doubled each time that little was returned
MAX_INTERVAL_S = 32.0
LITTLE_BYTES = 256 * 1024


def trim_allocator() -> None:
    """Have the C library return all free pages; does nothing if it has no function for that."""
    # ctypes needs half a megabyte itself, and is only loaded if there is more to return.
    with suppress(ImportError, OSError, AttributeError, MemoryError):
        import ctypes

        ctypes.CDLL(None).malloc_trim(0)


class MemoryReturn:
    """Decides when to return free memory, which takes some milliseconds.

    Attributes:
        returned_bytes: How many bytes were returned in all.
    """

    __slots__ = ("_interval_s", "_next_s", "_resident_bytes", "_trim", "returned_bytes")

    def __init__(self, resident_bytes: Callable[[], int], trim: Callable[[], None] = trim_allocator) -> None:
        """Create a decision; `resident_bytes` measures the memory of the process."""
        self.returned_bytes = 0
        self._resident_bytes = resident_bytes
        self._trim = trim
        self._interval_s = MIN_INTERVAL_S
        self._next_s = 0.0

    def return_free(self, now_s: float) -> None:
        """Return free memory, unless that was done shortly before or has not helped."""
        if now_s < self._next_s:
            return
        before = self._resident_bytes()
        gc.collect()  # ended connections are reference cycles
        self._trim()
        returned = max(0, before - self._resident_bytes())
        self.returned_bytes += returned
        has_helped = returned > LITTLE_BYTES
        self._interval_s = MIN_INTERVAL_S if has_helped else min(MAX_INTERVAL_S, 2 * self._interval_s)
        self._next_s = now_s + self._interval_s
