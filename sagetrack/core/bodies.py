"""Streamed request bodies, with flow control and a memory budget for all of them together.

A short body is buffered completely, so that it can be sent again. A longer one is streamed: it moves no
faster than its slower side, and cannot be sent again once part of it was forwarded.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from sagetrack.core.clock import now_us

STREAMED_BODY_LIMIT = 32 * 1024 * 1024  # bytes of a streamed body, of a request or a response
MAX_BUFFER_PER_BODY = 64 * 1024  # bytes buffered of one body before its sender is paused
MIN_BUFFER_PER_BODY = 8 * 1024  # the same where very many bodies are streamed at once
BUFFER_MEMORY_SHARE = 0.125  # of the memory limit, for the buffers of all streamed bodies together
BODY_STALL_TIMEOUT_S = 10.0  # without a byte moved, after which the transfer is given up


def do_nothing() -> None:
    """Do nothing: the callback where none is set."""


class BodyMemoryBudget:
    """The memory that all streamed bodies share: the more there are, the less each may buffer.

    Attributes:
        total_bytes: The budget of all bodies together.
        active_bodies: How many bodies are being streamed.
    """

    __slots__ = ("active_bodies", "total_bytes")

    def __init__(self, memory_mb: int) -> None:
        """Make a budget that is a fixed share of the memory limit, in MiB."""
        self.total_bytes = int(memory_mb * 1024 * 1024 * BUFFER_MEMORY_SHARE)
        self.active_bodies = 0

    @property
    def bytes_per_body(self) -> int:
        """How many bytes one body may buffer now."""
        share = self.total_bytes // max(1, self.active_bodies)
        return max(MIN_BUFFER_PER_BODY, min(MAX_BUFFER_PER_BODY, share))


class StreamedBody:
    """A request's body between the client that sends it and the server that receives it.

    The downstream side calls `feed`, `complete` and `abort`, the upstream side `take`.

    Attributes:
        length: The announced length in bytes; None if the body is chunked.
        body_budget: The memory it shares with other bodies.
        chunks: What is buffered, in order.
        buffered: Bytes in `chunks`.
        received: Bytes that have come from the client so far.
        is_complete: Whether its last byte has come.
        completed_us: When that was.
        is_aborted: Whether its last byte will never come.
        forwarding_started: Whether some of it was taken: no other server can receive all of it.
        discarding: Whether what is left of it is dropped.
        on_data: Called when there is more to take, and at the end.
        on_capacity: Called when the sender may go on.
        on_complete: Called when the last byte has come.
    """

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
        """Make an empty body that takes its part of the budget until it is finished."""
        self.length = length
        self.body_budget = body_budget
        body_budget.active_bodies += 1
        self.chunks: deque[bytes] = deque()
        self.buffered = 0
        self.received = 0
        self.is_complete = False
        self.completed_us = 0
        self.is_aborted = False
        self.forwarding_started = False
        self.discarding = False
        self.on_data: Callable[[], None] = do_nothing
        self.on_capacity: Callable[[], None] = do_nothing
        self.on_complete: Callable[[], None] = do_nothing

    @property
    def is_full(self) -> bool:
        """Whether its sender has to wait."""
        return not self.discarding and self.buffered >= self.body_budget.bytes_per_body

    @property
    def is_finished(self) -> bool:
        """Whether nothing more will come of it."""
        return self.is_complete or self.is_aborted

    def feed(self, data: bytes) -> None:
        """Buffer bytes that have come from the client, and notify the receiver."""
        self.received += len(data)
        if self.discarding:
            return
        self.chunks.append(data)
        self.buffered += len(data)
        self.on_data()

    def take(self) -> bytes:
        """Return the next chunk; its sender may go on once there is capacity. `chunks` must not be empty."""
        was_full = self.is_full
        chunk = self.chunks.popleft()
        self.forwarding_started = True
        self.buffered -= len(chunk)
        if was_full and not self.is_full:
            self.on_capacity()
        return chunk

    def complete(self) -> None:
        """Record that the last byte has come, and notify the receiver. A second call does nothing."""
        if not self.is_finished:
            self.is_complete = True
            self.completed_us = now_us()
            self.body_budget.active_bodies -= 1
            self.on_complete()
            self.on_data()

    def abort(self) -> None:
        """Record that the rest will not come, unless it is complete, and drop what is buffered."""
        if not self.is_finished:
            self.is_aborted = True
            self.body_budget.active_bodies -= 1
        self.discard()

    def discard(self) -> None:
        """Drop what is buffered and what still comes; the receiver is not notified any more."""
        self.discarding = True
        self.on_data = do_nothing
        self.on_complete = do_nothing
        self.chunks.clear()
        self.buffered = 0
        self.on_capacity()
