"""Tracks requests from their arrival until their final response and the end of their last attempt."""

from __future__ import annotations

from collections.abc import Iterator

from sagetrack.policy.actions import Cancel, Fail, Reject, RejectReason
from sagetrack.policy.admission import AdmissionController
from sagetrack.policy.attempts import AttemptSender
from sagetrack.policy.capacity_wait import CapacityWait
from sagetrack.policy.ordered_keys import OrderedKeys
from sagetrack.policy.policy_context import PolicyContext
from sagetrack.policy.retry_after import RetryAfter
from sagetrack.policy.settings import Effect, Scope
from sagetrack.policy.state import Request
from sagetrack.policy.timers import TimerPurpose


class RequestLifecycle:
    """The unfinished requests by id: those without a final response or with an attempt in flight."""

    def __init__(
        self,
        policy_context: PolicyContext,
        admission: AdmissionController[Request] | None,
        ordered_keys: OrderedKeys,
        capacity_wait: CapacityWait,
        retry_after: RetryAfter,
        sender: AttemptSender,
    ) -> None:
        self._context = policy_context.event_context
        self._settings = policy_context.settings
        self._admission = admission
        self._ordered_keys = ordered_keys
        self._capacity_wait = capacity_wait
        self._retry_after = retry_after
        self._sender = sender
        self._timers = policy_context.timers
        self._requests: dict[str, Request] = {}

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._requests

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[Request]:
        return iter(self._requests.values())

    def get(self, request_id: str) -> Request | None:
        """Return the unfinished request with an id, or None."""
        return self._requests.get(request_id)

    def add(self, request: Request) -> None:
        """Track a new request until `release` removes it."""
        self._requests[request.id] = request

    def reject_or_fail(self, request: Request, reason: RejectReason = RejectReason.OTHER) -> None:
        """End a request that has no attempt in flight and gets no further one, unless it has been answered.

        The request is rejected if a retry by the client is known to be harmless, and fails otherwise.
        """
        if request.finished:
            return
        request_class = self._settings.classes[request.class_index]
        may_have_run = any(attempt.may_have_run for attempt in request.attempts)
        deduplicated_everywhere = request_class.effect is Effect.KEYED and request_class.scope is Scope.ALL
        if not may_have_run or request_class.effect is Effect.SAFE or deduplicated_everywhere:
            self._context.actions.append(Reject(request.id, self._retry_after.wait_us(request), reason))
            if self._admission is not None and request.mirror_target < 0:
                self._admission.record_rejected(request.admission_tenant)
        else:
            self._context.actions.append(Fail(request.id))
        self.finish(request)

    def finish(self, request: Request) -> None:
        """Mark a request as answered or as needing no response, and cancel its attempts in flight."""
        request.finished = True
        self._capacity_wait.leave(request)
        if self._admission is not None:
            self._admission.remove(request)
        if request.in_flight == 0:
            self.release(request)
        elif not request.streaming:
            self.cancel_attempts(request)

    def cancel_attempts(self, request: Request, except_for: int | None = None) -> None:
        """Cancel the attempts of a request that are in flight, except the one with number `except_for`."""
        for number, attempt in enumerate(request.attempts if self._settings.may_cancel else ()):
            if not attempt.ended and number != except_for:
                self._context.actions.append(Cancel(request.id, number))

    def release(self, request: Request) -> None:
        """Stop tracking a finished request, and send the next queued request of its key, if it is in order.

        That request is sent only after the key's cooldown. The id is removed only if it still belongs to this
        request: a timer may fire after the request's end, when a new request has the same id.
        """
        if self._requests.get(request.id) is request:
            del self._requests[request.id]
        if not self._ordered_keys.is_queued(request):
            return
        if self._context.now_us < request.key_cooldown_until_us:
            self._timers.set(request.key_cooldown_until_us, TimerPurpose.REQUEST, request)
            return
        following = self._ordered_keys.leave(request)
        if following is not None and not following.finished and not self._sender.try_send(following):
            self.reject_or_fail(following)

    def shut_down(self, at_us: int) -> None:
        """Limit all deadlines to the end of the shutdown.

        Requests without an attempt in flight get a timer; the process itself ends the attempts that are still
        in flight at that time.
        """
        self._sender.stop_at(at_us)
        for request in self._requests.values():
            request.deadline_us = min(request.deadline_us, at_us)
            if request.in_flight == 0 and not request.finished:
                self._timers.set(at_us, TimerPurpose.REQUEST, request)
