"""Requests of in-order classes: those with one key run one at a time, in the order taken."""

from __future__ import annotations

from collections import deque
from enum import Enum

from sagetrack.policy.state import Request


class Turn(Enum):
    """Where a request stands in its key's queue."""

    NOW = "now"
    WAITS = "waits"
    TOO_LATE = "too late"


class OrderedKeys:
    """A queue of requests for each key that has any; the first is the one whose turn it is."""

    def __init__(self) -> None:
        self._queues: dict[int, deque[Request]] = {}

    def __len__(self) -> int:
        return len(self._queues)

    def __contains__(self, key: int) -> bool:
        """Whether any request of a key runs or waits."""
        return key in self._queues

    def join(self, request: Request, key: int, now_us: int, expected_us: float, latest_send_us: int) -> Turn:
        """Put a request into its key's queue.

        A queue grows no longer than can be served: a request that would come too late stays out.

        Args:
            request: The request.
            key: Its key.
            now_us: The present time.
            expected_us: How long each request of the queue usually takes.
            latest_send_us: When it has to be sent at the latest.
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
        """Whether a request is in its key's queue."""
        queue = self._queues.get(request.key) if request.key is not None else None
        return queue is not None and request in queue

    def leave(self, request: Request) -> Request | None:
        """Take a request out of its queue; returns the one whose turn it becomes by that, if any."""
        if request.key is None or (queue := self._queues.get(request.key)) is None:
            return None
        had_turn = queue[0] is request
        queue.remove(request)
        if not queue:
            del self._queues[request.key]
            return None
        return queue[0] if had_turn else None
