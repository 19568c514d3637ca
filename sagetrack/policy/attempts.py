"""Sending attempts: to a selected server, within the gateway's quota, with a timer for a stall."""

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
    """Sends attempts until the gateway shuts down."""

    def __init__(
        self,
        shared: PolicyContext,
        endpoints: Endpoints,
        selector: ServerSelector,
        slow_start: SlowStart,
        subset_size: SubsetSize,
        in_flight: InFlightAttempts,
    ) -> None:
        self._context = shared.event
        self._settings = shared.settings
        self._fleet = shared.fleet
        self._endpoints = endpoints
        self._selector = selector
        self._slow_start = slow_start
        self._subset_size = subset_size
        self._in_flight = in_flight
        self._latency = shared.latency
        self._timers = shared.timers
        self.stops_at_us = NEVER_US  # at a shutdown: when the last answer is due

    def stop_at(self, at_us: int) -> None:
        """Send nothing from then on."""
        self.stops_at_us = at_us

    def try_send(self, request: Request) -> bool:
        """Send an attempt, if a server may take one now. A retry needs no further quota."""
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
        # The connection may come up late, after the window in which servers deduplicate.
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
        """Account for an attempt at the server's breakers, in flight, in the subset and the slow start."""
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
        """A long body is complete at its server: only now the work and the client's time begin.

        A server is not judged by the time that a client takes to send.
        """
        now_us = self._context.now_us
        request.uploading = False
        upload_us = now_us - attempt.sent_at_us
        request.deadline_us += upload_us
        request.objective_at_us += upload_us
        attempt.sent_at_us = now_us
        self._in_flight.add(attempt)
