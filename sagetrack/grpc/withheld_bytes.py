"""Counts received bytes by which the flow-control window of a stream has not been extended yet."""

from __future__ import annotations


class WithheldBytes:
    """Bytes received on a stream whose consumer is slow, for which no WINDOW_UPDATE was sent yet.

    The connection's window is extended for them nevertheless, so that other streams continue.
    """

    __slots__ = ("_size",)

    def __init__(self) -> None:
        self._size = 0

    def __bool__(self) -> bool:
        return self._size > 0

    def add(self, size: int) -> None:
        """Add received bytes for which the stream's window is not extended."""
        self._size += size

    def take(self) -> int:
        """Return the number of bytes by which to extend the window now, and reset it to zero."""
        size = self._size
        self._size = 0
        return size
