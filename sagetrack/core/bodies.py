"""Request bodies that pass through: too long to be held whole, each moves no faster than its slower side.

A body up to `BODY_LIMIT` is held whole, so that it can be sent again; a longer one can't be, once some of it
has gone on.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from sagetrack.core.clock import now_us

LARGE_LIMIT = 32 * 1024 * 1024  # of a body that passes through, either way
HIGH = 64 * 1024  # bytes held for one body before its sender is paused
LEAST = 8 * 1024  # the same where very many are under way
HELD_SHARE = 0.125  # of the memory limit, for all bodies under way together
STALL_S = 10.0  # without a byte moved: the side that does not take or give it is given up


def nothing() -> None:
    """Nobody is to be told."""


class Allowance:
    """What all bodies under way may hold together: the more there are, the less for each."""

    __slots__ = ("active", "total")

    def __init__(self, memory_mb: int) -> None:
        self.total = int(memory_mb * 1024 * 1024 * HELD_SHARE)
        self.active = 0

    @property
    def each(self) -> int:
        return max(LEAST, min(HIGH, self.total // max(1, self.active)))


class Upload:
    """A request's body between the client that sends it and the host that it goes to."""

    __slots__ = (
        "allowance",
        "begun",
        "broken",
        "buffered",
        "discarding",
        "ended",
        "ended_us",
        "length",
        "on_data",
        "on_end",
        "on_room",
        "pieces",
        "received",
    )

    def __init__(self, length: int | None, allowance: Allowance) -> None:
        self.length = length  # None: it comes in chunks
        self.allowance = allowance
        allowance.active += 1
        self.pieces: deque[bytes] = deque()
        self.buffered = 0
        self.received = 0
        self.ended = False  # its last byte has come
        self.ended_us = 0
        self.broken = False  # its last byte will never come
        self.begun = False  # some of it has gone on: no other host can be sent all of it
        self.discarding = False  # nobody wants the rest
        self.on_data: Callable[[], None] = nothing  # there is more to take, or the end
        self.on_room: Callable[[], None] = nothing  # the sender may go on
        self.on_end: Callable[[], None] = nothing  # the last byte has come

    @property
    def is_full(self) -> bool:
        """Whether its sender has to wait."""
        return not self.discarding and self.buffered >= self.allowance.each

    @property
    def is_over(self) -> bool:
        return self.ended or self.broken

    def feed(self, data: bytes) -> None:
        self.received += len(data)
        if self.discarding:
            return
        self.pieces.append(data)
        self.buffered += len(data)
        self.on_data()

    def take(self) -> bytes:
        """The next piece; its sender may go on once there is room."""
        was_full = self.is_full
        piece = self.pieces.popleft()
        self.begun = True
        self.buffered -= len(piece)
        if was_full and not self.is_full:
            self.on_room()
        return piece

    def end(self) -> None:
        if not self.is_over:
            self.ended, self.ended_us = True, now_us()
            self.allowance.active -= 1
            self.on_end()
            self.on_data()

    def fail(self) -> None:
        if not self.is_over:
            self.broken = True
            self.allowance.active -= 1
        self.discard()

    def discard(self) -> None:
        """Let what is held and what still comes go nowhere."""
        self.discarding = True
        self.on_data = self.on_end = nothing
        self.pieces.clear()
        self.buffered = 0
        self.on_room()
