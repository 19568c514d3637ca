"""The attempts that one upstream connection carries, by stream."""

from __future__ import annotations

from collections import deque

from sagetrack.grpc.upstream_attempt import GrpcAttempt


class AttemptStreams:
    """Attempts on open streams, and those that wait until the connection is up."""

    __slots__ = ("_by_id", "_waiting")

    def __init__(self) -> None:
        self._by_id: dict[int, GrpcAttempt] = {}
        self._waiting: deque[GrpcAttempt] = deque()

    def __len__(self) -> int:
        return len(self._by_id) + len(self._waiting)

    @property
    def open_count(self) -> int:
        """How many streams are open."""
        return len(self._by_id)

    def get(self, stream_id: int | None) -> GrpcAttempt | None:
        """The attempt on a stream; None once it has ended, and for the connection itself (0 or None)."""
        return self._by_id.get(stream_id or 0)

    def on_open_streams(self) -> list[GrpcAttempt]:
        """The attempts on open streams, the oldest first; the list stays as it is while attempts end."""
        return list(self._by_id.values())

    def all(self) -> list[GrpcAttempt]:
        """All attempts, those that wait after the others."""
        return [*self._by_id.values(), *self._waiting]

    def add(self, attempt: GrpcAttempt) -> None:
        """Register an attempt whose stream is open."""
        self._by_id[attempt.stream_id] = attempt

    def add_waiting(self, attempt: GrpcAttempt) -> None:
        """Register an attempt that waits for the connection."""
        self._waiting.append(attempt)

    def next_waiting(self) -> GrpcAttempt | None:
        """Take out the attempt that has waited longest; None if there is none."""
        return self._waiting.popleft() if self._waiting else None

    def discard(self, attempt: GrpcAttempt) -> None:
        """Drop an attempt that has ended."""
        if self._by_id.get(attempt.stream_id) is attempt:
            del self._by_id[attempt.stream_id]
        if attempt in self._waiting:
            self._waiting.remove(attempt)
