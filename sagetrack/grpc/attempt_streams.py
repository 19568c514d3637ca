"""The attempts that one upstream connection carries, by stream id."""

from __future__ import annotations

from collections import deque

from sagetrack.grpc.http2_protocol import STREAM_BYTES
from sagetrack.grpc.upstream_attempt import GrpcAttempt


class AttemptStreams:
    """Attempts on open streams, and attempts that wait for the connection to be established."""

    __slots__ = ("_by_id", "_waiting")

    def __init__(self) -> None:
        self._by_id: dict[int, GrpcAttempt] = {}
        self._waiting: deque[GrpcAttempt] = deque()

    def __len__(self) -> int:
        return len(self._by_id) + len(self._waiting)

    @property
    def open_count(self) -> int:
        """The number of open streams."""
        return len(self._by_id)

    @property
    def held_bytes(self) -> int:
        """Estimated memory of the open streams, and of the responses that they have buffered."""
        buffered = sum(attempt.response_reader.held_bytes for attempt in self._by_id.values())
        return len(self._by_id) * STREAM_BYTES + buffered

    def get(self, stream_id: int | None) -> GrpcAttempt | None:
        """Return the attempt on a stream; None if it has ended, or for id 0 or None (the connection)."""
        return self._by_id.get(stream_id or 0)

    def on_open_streams(self) -> list[GrpcAttempt]:
        """Return a copy of the attempts on open streams, oldest first, so that attempts may end meanwhile."""
        return list(self._by_id.values())

    def all(self) -> list[GrpcAttempt]:
        """Return all attempts: first those on open streams, then those that wait."""
        return [*self._by_id.values(), *self._waiting]

    def add(self, attempt: GrpcAttempt) -> None:
        """Add an attempt whose stream is open."""
        self._by_id[attempt.stream_id] = attempt

    def add_waiting(self, attempt: GrpcAttempt) -> None:
        """Add an attempt that waits for the connection to be established."""
        self._waiting.append(attempt)

    def next_waiting(self) -> GrpcAttempt | None:
        """Remove and return the attempt that has waited longest; None if no attempt waits."""
        return self._waiting.popleft() if self._waiting else None

    def discard(self, attempt: GrpcAttempt) -> None:
        """Remove an attempt that has ended."""
        if self._by_id.get(attempt.stream_id) is attempt:
            del self._by_id[attempt.stream_id]
        if attempt in self._waiting:
            self._waiting.remove(attempt)
