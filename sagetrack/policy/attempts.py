"""Sends attempts to selected servers within the gateway's concurrency quota, and detects stalls by timer."""

from __future__ import annotations

from sagetrack.policy.actions import SendAttempt
from sagetrack.policy.attempt_deadline import attempt_deadline_us
from sagetrack.policy.endpoints import Endpoints
from sagetrack.policy.in_flight import InFlightAttempts
from sagetrack.policy.latency import STALL_FACTOR
from sagetrack.policy.policy_context import PolicyContext
from sagetrack.policy.selection import ServerSelector
from sagetrack.policy.settings import Effect
from sagetrack.policy.slow_start import SlowStart
from sagetrack.policy.state import Attempt, Request, Server
from sagetrack.policy.subset_size import SubsetSize
from sagetrack.policy.timers import TimerPurpose

NEVER_US = 2**62


class AttemptSender:
    """Sends attempts until the end of a graceful shutdown."""

    def __init__(
        self,
        policy_context: PolicyContext,
        endpoints: Endpoints,
        selector: ServerSelector,
        slow_start: SlowStart,
        subset_size: SubsetSize,
        in_flight: InFlightAttempts,
    ) -> None:
        self._context = policy_context.event_context
        self._settings = policy_context.settings
        self._fleet = policy_context.fleet
        self._endpoints = endpoints
        self._selector = selector
        self._slow_start = slow_start
        self._subset_size = subset_size
        self._in_flight = in_flight
        self._latency = policy_context.latency
        self._timers = policy_context.timers
        self.stops_at_us = NEVER_US  # end of the graceful shutdown

    def stop_at(self, at_us: int) -> None:
        """Send no attempts from the given time on."""
        self.stops_at_us = at_us

    def try_send(self, request: Request) -> bool:
        """Send an attempt if a server can take one now; return whether it was sent.

        Only the first attempt of a request needs concurrency quota.
        """
        now_us = self._context.now_us
        if now_us >= self.stops_at_us:
            return False
        if not request.attempts and not self._in_flight.has_quota(now_us, self._endpoints.usable_count):
            return False
        server = self._selector.select(request)
        if server is None:
            return False
        request_class = self._settings.classes[request.class_index]
        possibly_run = (
            [a for a in request.attempts if a.may_have_run] if request_class.effect is Effect.KEYED else []
        )
        # Connecting may take until after the window in which servers deduplicate.
        begin_by_us = possibly_run[0].sent_at_us + request_class.window_us if possibly_run else 0
        self._add_attempt(request, server)
        timeout_us = max(1, attempt_deadline_us(request, request_class, now_us) - now_us)
        self._context.actions.append(SendAttempt(request.id, server.entry.server, timeout_us, begin_by_us))
        if request_class.effect is not Effect.UNSAFE and not request.single_use_body:
            expected_us = self._latency.expected_us(request.class_index, request.relative_work)
            stalled_at_us = now_us + int(STALL_FACTOR * expected_us)
            if stalled_at_us < request.deadline_us:
                self._timers.set(stalled_at_us, TimerPurpose.REQUEST, request)
        return True

    def _add_attempt(self, request: Request, server: Server) -> None:
        """Record an attempt in the breakers, the attempts in flight, the subset size and the slow start."""
        now_us = self._context.now_us
        class_half_open_period = server.class_health(request.class_index).breaker.take_trial()
        attempt = Attempt(server, now_us, server.breaker.take_trial(), class_half_open_period)
        request.attempts.append(attempt)
        request.in_flight += 1
        if not request.uploading:
            self._in_flight.add(attempt)
        self._subset_size.attempt_sent(self._in_flight.count, self._fleet.is_concurrency_scarce())
        if now_us < server.warm_at_us:
            self._slow_start.charge(now_us, server, request)

    def body_sent(self, request: Request, attempt: Attempt) -> None:
        """Restart the times of an attempt whose request body has now been sent to its server completely.

        The time that the client took to upload the body does not count as latency of the server, nor against
        the request's deadline.
        """
        now_us = self._context.now_us
        request.uploading = False
        upload_us = now_us - attempt.sent_at_us
        request.deadline_us += upload_us
        request.objective_at_us += upload_us
        attempt.sent_at_us = now_us
        self._in_flight.add(attempt)
