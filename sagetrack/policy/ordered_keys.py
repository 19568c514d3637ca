"""Queues requests of in-order classes: requests with the same key run one at a time, in order of arrival."""

from __future__ import annotations

from collections import deque
from enum import Enum

from sagetrack.policy.state import Request


class Turn(Enum):
    """The result of adding a request to the queue of its key."""

    NOW = "now"  # may be sent at once
    WAITS = "waits"  # is queued behind others
    TOO_LATE = "too late"  # is not queued


class OrderedKeys:
    """A queue of requests for each active key. Its first request is running or next to be sent."""

    def __init__(self) -> None:
        self._queues: dict[int, deque[Request]] = {}

    def __len__(self) -> int:
        return len(self._queues)

    def __contains__(self, key: int) -> bool:
        """Return whether any request of a key runs or waits."""
        return key in self._queues

    def join(self, request: Request, key: int, now_us: int, expected_us: float, latest_send_us: int) -> Turn:
        """Add a request to the queue of its key, unless it would be sent too late.

        Args:
            request: The request.
            key: Key of the request.
            now_us: Current time.
            expected_us: Expected duration of each request in the queue.
            latest_send_us: Latest time at which the request may be sent.
        """
        queue = self._queues.get(key)
        if queue is None:
            self._queues[key] = deque((request,))
            return Turn.NOW
        if now_us + len(queue) * expected_us > latest_send_us:
            return Turn.TOO_LATE
        queue.append(request)
        return Turn.WAITS

    def is_queued(self, request: Request) -> bool:
        """Return whether a request is in the queue of its key."""
        queue = self._queues.get(request.key) if request.key is not None else None
        return queue is not None and request in queue

    def leave(self, request: Request) -> Request | None:
        """Remove a request from its queue; return the request that may be sent as a result, if any."""
        if request.key is None or (queue := self._queues.get(request.key)) is None:
            return None
        had_turn = queue[0] is request
        queue.remove(request)
        if not queue:
            del self._queues[request.key]
            return None
        return queue[0] if had_turn else None
