"""A short queue for requests that arrive while all eligible servers are at their concurrency limits."""

from __future__ import annotations

from sagetrack.policy.attempts import AttemptSender
from sagetrack.policy.class_priorities import ClassPriorities
from sagetrack.policy.policy_context import PolicyContext
from sagetrack.policy.selection import ServerSelector
from sagetrack.policy.state import Request
from sagetrack.policy.timers import TimerPurpose

MAX_WAIT_SHARE = 0.25  # maximum wait, as a part of the slack until the latency objective


class CapacityWait:
    """The requests that wait for capacity."""

    def __init__(
        self,
        policy_context: PolicyContext,
        priorities: ClassPriorities,
        selector: ServerSelector,
        sender: AttemptSender,
    ) -> None:
        self._context = policy_context.event_context
        self._settings = policy_context.settings
        self._latency = policy_context.latency
        self._priorities = priorities
        self._selector = selector
        self._sender = sender
        self._timers = policy_context.timers
        self._waiting: dict[Request, None] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request: Request) -> bool:
        return request in self._waiting

    def join(self, request: Request) -> bool:
        """Queue a request until capacity becomes available or its maximum wait is over.

        The queue absorbs short bursts. The maximum wait is a small part of the request's time, so that the
        queue hardly delays rejections. Requests of in-order classes are not queued here, because that would
        break the order of their key.

        Returns:
            False if the request is not queued: its class is in order, no server is eligible, or there is no
            time to wait.
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
        """Remove a request from the queue if it is queued."""
        self._waiting.pop(request, None)

    def serve(self) -> None:
        """Send queued requests while there is capacity, highest priority first."""
        while self._waiting:
            gains = self._priorities.gains()
            request = max(
                self._waiting, key=lambda r: gains[r.class_index] * (1.0 - max(0.0, r.quota_excess))
            )
            if not self._sender.try_send(request):
                return
            del self._waiting[request]
