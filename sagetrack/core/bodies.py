"""Streamed request bodies, with flow control and a shared memory budget.

A short body is buffered completely, so that it can be sent again in a retry. A longer one is streamed at the
speed of the slower side, and cannot be sent again once part of it was forwarded.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, MutableSequence

from sagetrack.core.clock import now_us

STREAMED_BODY_LIMIT = 32 * 1024 * 1024  # largest streamed body of a request or response, in bytes
MAX_BUFFER_PER_BODY = 64 * 1024  # bytes buffered per body before its sender is paused
MIN_BUFFER_PER_BODY = 8 * 1024  # lower bound of that limit when very many bodies are streamed at once
BUFFER_MEMORY_SHARE = 0.125  # share of the memory limit used for the buffers of all streamed bodies
MIN_CHUNK = 4 * 1024  # shorter chunks are joined, as each one costs the memory of an object
BODY_STALL_TIMEOUT_S = 10.0  # a transfer is aborted after this time without progress


def do_nothing() -> None:
    """Do nothing; the default callback."""


def append_chunk(chunks: MutableSequence[bytes | bytearray], data: bytes) -> None:
    """Append a part of a body to its chunks, joining it with the last one if that is short."""
    if not chunks or len(chunks[-1]) >= MIN_CHUNK:
        chunks.append(data)
        return
    last = chunks[-1]
    if not isinstance(last, bytearray):
        last = chunks[-1] = bytearray(last)
    last += data


class BodyMemoryBudget:
    """The buffer memory shared by all streamed bodies; the more there are, the less each may buffer.

    Attributes:
        total_bytes: The budget of all bodies together, in bytes.
        active_bodies: Number of bodies being streamed.
        process_count: Number of processes of this gateway, which share the budget.
    """

    __slots__ = ("active_bodies", "process_count", "total_bytes")

    def __init__(self, memory_mb: int) -> None:
        """Create a budget of a fixed share of the memory limit, which is given in MiB."""
        self.total_bytes = int(memory_mb * 1024 * 1024 * BUFFER_MEMORY_SHARE)
        self.active_bodies = 0
        self.process_count = 1

    @property
    def bytes_per_body(self) -> int:
        """Number of bytes that each body may buffer at present."""
        share = self.total_bytes // self.process_count // max(1, self.active_bodies)
        return max(MIN_BUFFER_PER_BODY, min(MAX_BUFFER_PER_BODY, share))


class StreamedBody:
    """A request body in transit from the client to the upstream server.

    The downstream side calls `feed`, `complete` and `abort`; the upstream side calls `take`.

    Attributes:
        length: The announced length in bytes; None if the body is chunked.
        body_budget: The memory budget shared with other bodies.
        chunks: The buffered chunks, in order.
        buffered: Number of bytes in `chunks`.
        received: Number of bytes received from the client so far.
        is_complete: True once the last byte was received.
        completed_us: Time at which the last byte was received; 0 before that.
        is_aborted: True if the rest of the body will never arrive.
        forwarding_started: True once part of the body was taken, so that no other server can get all of it.
        discarding: True if all remaining data is dropped.
        on_data: Called when there is more data to take, and when the body is complete.
        on_capacity: Called when the sender may continue.
        on_complete: Called when the last byte was received.
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
        """Create an empty body, which counts against the budget until it is finished."""
        self.length = length
        self.body_budget = body_budget
        body_budget.active_bodies += 1
        self.chunks: deque[bytes | bytearray] = deque()
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
        """True if the buffer is full and the sender has to pause."""
        return not self.discarding and self.buffered >= self.body_budget.bytes_per_body

    @property
    def is_finished(self) -> bool:
        """True if no more data will arrive."""
        return self.is_complete or self.is_aborted

    def feed(self, data: bytes) -> None:
        """Buffer data received from the client, and notify the upstream side."""
        self.received += len(data)
        if self.discarding:
            return
        append_chunk(self.chunks, data)
        self.buffered += len(data)
        self.on_data()

    def take(self) -> bytes:
        """Return the next chunk, and resume the sender once there is capacity; `chunks` must not be empty."""
        was_full = self.is_full
        chunk = self.chunks.popleft()
        self.forwarding_started = True
        self.buffered -= len(chunk)
        if was_full and not self.is_full:
            self.on_capacity()
        return bytes(chunk)

    def complete(self) -> None:
        """Mark the body as complete, and notify the upstream side; a second call does nothing."""
        if not self.is_finished:
            self.is_complete = True
            self.completed_us = now_us()
            self.body_budget.active_bodies -= 1
            self.on_complete()
            self.on_data()

    def abort(self) -> None:
        """Mark the body as aborted unless it is complete, and drop the buffered data."""
        if not self.is_finished:
            self.is_aborted = True
            self.body_budget.active_bodies -= 1
        self.discard()

    def discard(self) -> None:
        """Drop buffered and future data, and stop notifying the upstream side."""
        self.discarding = True
        self.on_data = do_nothing
        self.on_complete = do_nothing
        self.chunks.clear()
        self.buffered = 0
        self.on_capacity()
