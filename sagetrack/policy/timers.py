"""Tracks pending timers and their purposes by token."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from sagetrack.policy.actions import SetTimer
from sagetrack.policy.event_context import EventContext
from sagetrack.policy.state import Request

ENDPOINT_LIST_TOKEN = 0  # token of the recurring endpoint list timer; all other tokens count up from it


class TimerPurpose(Enum):
    """The action to take when a timer fires."""

    ENDPOINT_LIST = "endpoint list"  # restart the watch of the endpoint list
    CONCURRENCY_SHARE = "concurrency share"  # send queued requests, as concurrency quota is available again
    QUEUE_WAIT = "queue wait"  # reject a request that has reached its maximum wait for capacity or admission
    REQUEST = "request"  # handle a stall, the end of a wait or a cooldown, depending on the request's state


@dataclass(slots=True, frozen=True)
class Timer:
    """A pending timer."""

    purpose: TimerPurpose
    request: Request | None = None


ENDPOINT_LIST_TIMER = Timer(TimerPurpose.ENDPOINT_LIST)


class Timers:
    """The pending timers. A timer may outlast the request that it was set for."""

    def __init__(self, context: EventContext) -> None:
        self._context = context
        self._next_token = ENDPOINT_LIST_TOKEN + 1
        self.pending: dict[int, Timer] = {}

    def set(self, due_us: int, purpose: TimerPurpose, request: Request | None = None) -> int:
        """Set a timer and return its token."""
        token = self._next_token
        self._next_token = token + 1
        self.pending[token] = Timer(purpose, request)
        self._context.actions.append(SetTimer(due_us, token))
        return token

    def set_for_endpoint_list(self, due_us: int) -> None:
        """Set the endpoint list timer."""
        self._context.actions.append(SetTimer(due_us, ENDPOINT_LIST_TOKEN))

    def fire(self, token: int) -> Timer | None:
        """Return the timer that has fired and remove it from the pending ones; None for an unknown token."""
        if token == ENDPOINT_LIST_TOKEN:
            return ENDPOINT_LIST_TIMER
        return self.pending.pop(token, None)
