"""A short queue of requests that found every eligible server at its concurrency limit."""

from __future__ import annotations

from sagetrack.policy.attempts import AttemptSender
from sagetrack.policy.class_priorities import ClassPriorities
from sagetrack.policy.policy_context import PolicyContext
from sagetrack.policy.selection import ServerSelector
from sagetrack.policy.state import Request
from sagetrack.policy.timers import TimerPurpose

MAX_WAIT_SHARE = 0.25  # of the slack under the latency objective: the longest wait for capacity


class CapacityWait:
    """The requests that wait, in the order of their arrival."""

    def __init__(
        self,
        shared: PolicyContext,
        priorities: ClassPriorities,
        selector: ServerSelector,
        sender: AttemptSender,
    ) -> None:
        self._context = shared.event
        self._settings = shared.settings
        self._latency = shared.latency
        self._priorities = priorities
        self._selector = selector
        self._sender = sender
        self._timers = shared.timers
        self._waiting: dict[Request, None] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request: Request) -> bool:
        return request in self._waiting

    def join(self, request: Request) -> bool:
        """Queue a request; False where no server could take it, or its deadline leaves no time for that.

        This bridges a short burst and is not meant to delay a rejection: the wait is a small part of the
        request's time. A request of an in-order class does not wait here, as its key's order would be lost.
        """
        if self._settings.classes[request.class_index].in_order:
            return False
        if not self._selector.any_eligible(request.class_index):
            return False
        now_us = self._context.now_us
        needed_us = self._latency.expected_baseline_us(request.class_index, request.relative_work)
        slack_us = request.objective_at_us - now_us - needed_us
        wait_us = int(MAX_WAIT_SHARE * min(slack_us, request.deadline_us - now_us))
        if wait_us <= 0:
            return False
        self._waiting[request] = None
        self._timers.set(now_us + wait_us, TimerPurpose.QUEUE_WAIT, request)
        return True

    def leave(self, request: Request) -> None:
        """Take a request out of the queue, if it is in it."""
        self._waiting.pop(request, None)

    def serve(self) -> None:
        """Send queued requests while there is capacity, those of the highest priority first."""
        while self._waiting:
            gains = self._priorities.gains()
            request = max(
                self._waiting, key=lambda r: gains[r.class_index] * (1.0 - max(0.0, r.quota_excess))
            )
            if not self._sender.try_send(request):
                return
            del self._waiting[request]
