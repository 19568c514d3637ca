"""Handles events of attempts: outcomes, started streams, completed uploads and stalls; and sends retries."""

from __future__ import annotations

import math

from sagetrack.policy.actions import RejectReason
from sagetrack.policy.admission_gate import AdmissionGate
from sagetrack.policy.attempts import AttemptSender
from sagetrack.policy.class_priorities import ClassPriorities
from sagetrack.policy.events import NEVER_RAN, AttemptEnded, AttemptSent, Outcome, StreamStarted
from sagetrack.policy.in_flight import InFlightAttempts
from sagetrack.policy.load_shedding import LOAD_OUTCOMES, LoadShedder
from sagetrack.policy.policy_context import PolicyContext
from sagetrack.policy.request_lifecycle import RequestLifecycle
from sagetrack.policy.retry import RetryPolicy
from sagetrack.policy.server_health import OutlierDetector
from sagetrack.policy.state import Attempt, Request

# Outcomes after which the server may still be running the request
MAY_STILL_RUN = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})


class AttemptOutcomes:
    """Handles events of attempts and passes their outcomes to the components that adapt to them."""

    def __init__(
        self,
        policy_context: PolicyContext,
        requests: RequestLifecycle,
        gate: AdmissionGate | None,
        sender: AttemptSender,
        in_flight: InFlightAttempts,
        shedder: LoadShedder,
        priorities: ClassPriorities,
        outliers: OutlierDetector,
        retry_policy: RetryPolicy,
    ) -> None:
        self._context = policy_context.event_context
        self._settings = policy_context.settings
        self._requests = requests
        self._gate = gate
        self._sender = sender
        self._in_flight = in_flight
        self._latency = policy_context.latency
        self._shedder = shedder
        self._priorities = priorities
        self._outliers = outliers
        self._retry_policy = retry_policy

    def _attempt(self, request: Request | None, number: int) -> Attempt | None:
        if request is None or not 0 <= number < len(request.attempts):
            return None
        return request.attempts[number]

    def stream_started(self, event: StreamStarted) -> bool:
        """Handle the start of a streamed response; return False if the event has no effect."""
        request = self._requests.get(event.request)
        attempt = self._attempt(request, event.attempt)
        if request is None or attempt is None or request.finished:
            return False
        request.streaming = True
        request.response_began_us = self._context.now_us
        self._in_flight.remove(attempt)  # the server has finished the work of the request
        self._requests.cancel_attempts(request, except_for=event.attempt)
        return True

    def body_sent(self, event: AttemptSent) -> None:
        """Handle the completion of a request body that was uploading."""
        request = self._requests.get(event.request)
        attempt = self._attempt(request, event.attempt)
        if request is not None and request.uploading and attempt is not None and not attempt.ended:
            self._sender.body_sent(request, attempt)

    def attempt_ended(self, event: AttemptEnded) -> bool:
        """Evaluate an attempt's outcome, then finish or retry its request.

        Returns:
            False if the attempt was not in flight.
        """
        request = self._requests.get(event.request)
        attempt = self._attempt(request, event.attempt)
        if request is None or attempt is None or attempt.ended:
            return False
        self._end_attempt(request, attempt, event)
        if self._outliers.record_outcome(request, attempt, event) and event.outcome in LOAD_OUTCOMES:
            self._record_load(request, event)
        if request.finished:
            if request.in_flight == 0:
                self._requests.release(request)
        elif event.finished or event.outcome is Outcome.OK:
            self._on_answered(request, event.outcome)
        elif request.in_flight == 0:
            self._retry(request, event.outcome)
        return True

    def _end_attempt(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Record the end of an attempt, whether or not its outcome says anything about the server."""
        outcome = event.outcome
        attempt.ended = True
        rejection_may_have_run = outcome is Outcome.REJECTED and self._settings.rejection_may_have_run
        attempt.may_have_run = outcome not in NEVER_RAN or rejection_may_have_run
        if outcome in MAY_STILL_RUN:
            request.key_cooldown_until_us = self._context.now_us + self._settings.key_cooldown_us
        request.in_flight -= 1
        if self._gate is not None:
            self._gate.attempt_ended(request, event)
        self._in_flight.remove(attempt)

    def _record_load(self, request: Request, event: AttemptEnded) -> None:
        """Adjust load shedding and the concurrency share by how long the attempt queued at its server."""
        baseline_us = self._latency.expected_baseline_us(request.class_index, request.relative_work)
        if event.outcome is Outcome.OK:
            self._in_flight.learn((event.latency_us - baseline_us) / max(1.0, baseline_us))
        else:
            self._in_flight.learn(math.inf)
        self._shedder.adjust(self._context.now_us, request, event.outcome, event.latency_us)

    def _on_answered(self, request: Request, outcome: Outcome) -> None:
        if outcome is Outcome.OK:
            answered_at_us = request.response_began_us or self._context.now_us
            if request.is_first_try and answered_at_us <= request.objective_at_us:
                self._priorities.count_served(request.class_index)
            if self._gate is not None:
                self._gate.count_served(request)
        self._requests.finish(request)

    def _retry(self, request: Request, outcome: Outcome) -> None:
        """Retry a request whose last attempt in flight has failed, or end it if it may not be retried."""
        may_retry = self._retry_policy.may_retry(self._context, request, outcome)
        if may_retry and self._sender.try_send(request):
            self._retry_policy.charge_retry(request, outcome)
        else:
            self._requests.reject_or_fail(request, RejectReason.ATTEMPTS_FAILED)

    def handle_stall(self, request: Request) -> None:
        """Mark the attempts in flight as stalled, and hedge the request if that is allowed."""
        stalled = [attempt for attempt in request.attempts if not attempt.ended]
        for attempt in stalled:
            attempt.stalled = True
        if not stalled or request.streaming or not self._retry_policy.may_hedge(request):
            return
        if self._sender.try_send(request):
            self._retry_policy.charge_hedge()
