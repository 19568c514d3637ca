"""Streamed request bodies, with flow control within the memory budget.

A short body is buffered completely, so that it can be sent again in a retry. A longer one is streamed at the
speed of the slower side, and cannot be sent again once part of it was forwarded.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, MutableSequence

from sagetrack.core.clock import now_us
from sagetrack.core.memory_budget import MAX_STREAM_BUFFER, MIN_STREAM_BUFFER, MemoryBudget, MemoryClaim

STREAMED_BODY_LIMIT = 32 * 1024 * 1024  # largest streamed body of a request or response, in bytes
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


class StreamedBody:
    """A request body in transit from the client to the upstream server.

    The downstream side calls `feed`, `complete` and `abort`; the upstream side calls `take`.

    Attributes:
        length: The announced length in bytes; None if the body is chunked.
        budget: The memory budget of the process.
        chunks: The buffered chunks, in order.
        buffered: Number of bytes in `chunks`.
        received: Number of bytes received from the client so far.
        is_complete: True once the last byte was received.
        arrived_us: Time from which the client waits for the response: its last byte has arrived at this
            machine, read or not, or may wait in its send buffer; 0 before that.
        unread_at_check: Bytes that waited in the receive buffer when it was last searched for the last byte;
            -1 before that.
        is_aborted: True if the rest of the body will never arrive.
        forwarding_started: True once part of the body was taken, so that no other server can get all of it.
        discarding: True if all remaining data is dropped.
        on_data: Called when there is more data to take, and when the body is complete.
        on_capacity: Called when the sender may continue.
        on_complete: Called when the last byte was received.
        on_arrived: Called when `arrived_us` is set, and so at the latest before `on_complete`.
        on_not_arrived: Called when `arrived_us` is 0 again.
    """

    __slots__ = (
        "arrived_us",
        "budget",
        "buffered",
        "chunks",
        "claim",
        "discarding",
        "forwarding_started",
        "is_aborted",
        "is_complete",
        "length",
        "on_arrived",
        "on_capacity",
        "on_complete",
        "on_data",
        "on_not_arrived",
        "received",
        "unread_at_check",
    )

    def __init__(self, length: int | None, budget: MemoryBudget) -> None:
        """Create an empty body, which counts against the budget until it is finished."""
        self.length = length
        self.budget = budget
        self.claim = MemoryClaim(budget)
        budget.active_bodies += 1
        self.chunks: deque[bytes | bytearray] = deque()
        self.buffered = 0
        self.received = 0
        self.is_complete = False
        self.arrived_us = 0
        self.unread_at_check = -1
        self.is_aborted = False
        self.forwarding_started = False
        self.discarding = False
        self.on_data: Callable[[], None] = do_nothing
        self.on_capacity: Callable[[], None] = do_nothing
        self.on_complete: Callable[[], None] = do_nothing
        self.on_arrived: Callable[[], None] = do_nothing
        self.on_not_arrived: Callable[[], None] = do_nothing

    @property
    def is_full(self) -> bool:
        """True if the buffer is full and the sender has to pause."""
        return not self.discarding and self.buffered >= self.budget.stream_buffer_bytes

    @property
    def capacity_bytes(self) -> int:
        """Number of bytes that may be read from the sender at once; at least `MIN_STREAM_BUFFER`."""
        if self.discarding:
            return MAX_STREAM_BUFFER
        return max(MIN_STREAM_BUFFER, self.budget.stream_buffer_bytes - self.buffered)

    @property
    def is_finished(self) -> bool:
        """True if no more data will arrive."""
        return self.is_complete or self.is_aborted

    def feed(self, data: bytes) -> None:
        """Buffer data received from the client, and notify the upstream side."""
        self.received += len(data)
        if self.discarding or not data:
            return  # an empty part would be forwarded as the end of a chunked body
        append_chunk(self.chunks, data)
        self._set_buffered(self.buffered + len(data))
        self.on_data()

    def take(self) -> bytes:
        """Return the next chunk, and resume the sender once there is capacity; `chunks` must not be empty."""
        was_full = self.is_full
        chunk = self.chunks.popleft()
        self.forwarding_started = True
        self._set_buffered(self.buffered - len(chunk))
        if was_full and not self.is_full:
            self.on_capacity()
        return bytes(chunk)

    def complete(self) -> None:
        """Mark the body as complete, and notify the upstream side; a second call does nothing."""
        if not self.is_finished:
            self.is_complete = True
            self.mark_arrived(now_us())
            self.budget.active_bodies -= 1
            self.on_complete()
            self.on_data()

    def mark_arrived(self, at_us: int) -> None:
        """Record that the client now waits for the response; later calls do nothing."""
        if not self.arrived_us:
            self.arrived_us = at_us
            self.on_arrived()

    def unmark_arrived(self) -> None:
        """Record that the client is still sending, as its body was taken for complete too early."""
        if self.arrived_us and not self.is_finished:
            self.arrived_us = 0
            self.on_not_arrived()

    def abort(self) -> None:
        """Mark the body as aborted unless it is complete, and drop the buffered data."""
        if not self.is_finished:
            self.is_aborted = True
            self.budget.active_bodies -= 1
        self.discard()

    def discard(self) -> None:
        """Drop buffered and future data, and stop notifying the upstream side."""
        self.discarding = True
        self.on_data = do_nothing
        self.on_complete = do_nothing
        self.on_arrived = do_nothing
        self.on_not_arrived = do_nothing
        self.chunks.clear()
        self._set_buffered(0)
        self.on_capacity()

    def _set_buffered(self, buffered: int) -> None:
        self.buffered = buffered
        self.claim.update(buffered)
