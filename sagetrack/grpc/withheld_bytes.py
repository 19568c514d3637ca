"""Received bytes for which a stream's flow-control window stays closed."""

from __future__ import annotations


class WithheldBytes:
    """Counts the bytes of one stream whose reader is slower, until its window is opened for them.

    Meanwhile the connection's window is opened in any case, so that other streams go on.
    """

    __slots__ = ("_size",)

    def __init__(self) -> None:
        self._size = 0

    def __bool__(self) -> bool:
        return self._size > 0

    def add(self, size: int) -> None:
        """Count bytes that have come while the window stays closed."""
        self._size += size

    def take(self) -> int:
        """Return the bytes for which the window is to be opened now; each is returned once."""
        size = self._size
        self._size = 0
        return size
