"""Request bodies that pass through: too long to be held whole, each moves no faster than its slower side.

A body up to `BODY_LIMIT` is held whole, so that it can be sent again; a longer one can't be, once some of it
has gone on.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from sagetrack.core.clock import now_us

STREAMED_BODY_LIMIT = 32 * 1024 * 1024  # of a body that passes through, either way
MAX_BUFFER_PER_BODY = 64 * 1024  # bytes held for one body before its sender is paused
MIN_BUFFER_PER_BODY = 8 * 1024  # the same where very many are under way
HELD_SHARE = 0.125  # of the memory limit, for all bodies under way together
BODY_STALL_TIMEOUT_S = 10.0  # without a byte moved: the side that does not take or give it is given up


def do_nothing() -> None:
    """Nobody is to be told."""


class BodyMemoryBudget:
    """What all bodies under way may hold together: the more there are, the less for each."""

    __slots__ = ("active", "total")

    def __init__(self, memory_mb: int) -> None:
        self.total = int(memory_mb * 1024 * 1024 * HELD_SHARE)
        self.active = 0

    @property
    def each(self) -> int:
        return max(MIN_BUFFER_PER_BODY, min(MAX_BUFFER_PER_BODY, self.total // max(1, self.active)))


class StreamedBody:
    """A request's body between the client that sends it and the host that it goes to."""

    __slots__ = (
        "body_budget",
        "buffered",
        "chunks",
        "completed_us",
        "discarding",
        "forwarding_started",
        "is_aborted",
        "is_complete",
        "length",
        "on_capacity",
        "on_complete",
        "on_data",
        "received",
    )

    def __init__(self, length: int | None, body_budget: BodyMemoryBudget) -> None:
        self.length = length  # None: it comes in chunks
        self.body_budget = body_budget
        body_budget.active += 1
        self.chunks: deque[bytes] = deque()
        self.buffered = 0
        self.received = 0
        self.is_complete = False  # its last byte has come
        self.completed_us = 0
        self.is_aborted = False  # its last byte will never come
        self.forwarding_started = False  # some of it has gone on: no other host can be sent all of it
        self.discarding = False  # nobody wants the rest
        self.on_data: Callable[[], None] = do_nothing  # there is more to take, or the end
        self.on_capacity: Callable[[], None] = do_nothing  # the sender may go on
        self.on_complete: Callable[[], None] = do_nothing  # the last byte has come

    @property
    def is_full(self) -> bool:
        """Whether its sender has to wait."""
        return not self.discarding and self.buffered >= self.body_budget.each

    @property
    def is_finished(self) -> bool:
        return self.is_complete or self.is_aborted

    def feed(self, data: bytes) -> None:
        self.received += len(data)
        if self.discarding:
            return
        self.chunks.append(data)
        self.buffered += len(data)
        self.on_data()

    def take(self) -> bytes:
        """The next piece; its sender may go on once there is room."""
        was_full = self.is_full
        piece = self.chunks.popleft()
        self.forwarding_started = True
        self.buffered -= len(piece)
        if was_full and not self.is_full:
            self.on_capacity()
        return piece

    def complete(self) -> None:
        if not self.is_finished:
            self.is_complete, self.completed_us = True, now_us()
            self.body_budget.active -= 1
            self.on_complete()
            self.on_data()

    def abort(self) -> None:
        if not self.is_finished:
            self.is_aborted = True
            self.body_budget.active -= 1
        self.discard()

    def discard(self) -> None:
        """Let what is held and what still comes go nowhere."""
        self.discarding = True
        self.on_data = self.on_complete = do_nothing
        self.chunks.clear()
        self.buffered = 0
        self.on_capacity()
