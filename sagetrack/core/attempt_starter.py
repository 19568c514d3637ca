"""Starts the attempts that the load balancer chooses, unless a send rule forbids it."""

from __future__ import annotations

from sagetrack.core.attempt_observer import GatewayAttemptObserver
from sagetrack.core.clock import now_us
from sagetrack.core.context import GatewayContext
from sagetrack.core.in_flight import InFlightRequest
from sagetrack.core.invariants import Invariant
from sagetrack.core.send_rules import DenialReason, ServerState, may_retry, may_send
from sagetrack.core.server_list import ServerList
from sagetrack.policy.actions import Cancel, SendAttempt
from sagetrack.policy.events import AttemptEnded, Event, Outcome


class AttemptStarter:
    """Starts and cancels attempts."""

    def __init__(self, context: GatewayContext, servers: ServerList) -> None:
        self._context = context
        self._servers = servers

    def send(self, action: SendAttempt) -> None:
        """Start an attempt; if a send rule forbids it, report it to the load balancer as not sent."""
        context = self._context
        in_flight = context.in_flight.get(action.request)
        if in_flight is None:
            return
        remaining_us = in_flight.remaining_us(now_us())
        timeout_us = min(action.timeout_us, remaining_us) if action.timeout_us else remaining_us
        # The attempt is added before it is started, because it may end before `begin` returns.
        number = in_flight.add_attempt(self._servers.new_attempt_record(action.server))
        denial = self._denial(in_flight, action.server, number, timeout_us)
        if denial is not None:
            context.record_denial(action.request, denial)
            context.post(lambda: self._not_sent(action, number))
            return
        in_flight.attempts_in_flight += 1
        observer = GatewayAttemptObserver(context, in_flight, number, action.begin_by_us)
        in_flight.attempts[number] = context.upstream.begin(
            in_flight.request, action.server, timeout_us, observer
        )

    def cancel(self, action: Cancel) -> None:
        """Cancel an attempt, if it was started."""
        in_flight = self._context.in_flight.get(action.request)
        if in_flight is not None and 0 <= action.attempt < len(in_flight.attempts):
            attempt = in_flight.attempts[action.attempt]
            if attempt is not None:
                self._context.upstream.cancel(attempt)

    def _denial(
        self, in_flight: InFlightRequest, server: int, number: int, timeout_us: int
    ) -> DenialReason | None:
        """Return the reason why an attempt may not be started; None if it may.

        An unsafe retry is recorded as an invariant violation.
        """
        context = self._context
        settings = context.settings
        if number >= settings.max_attempts:
            return DenialReason.TOO_MANY_ATTEMPTS
        body = in_flight.request.streamed_body
        if body is not None and (body.forwarding_started or body.is_aborted):
            return DenialReason.BODY_CONSUMED
        state = ServerState.SERVING if server in context.upstream.listed else ServerState.NOT_LISTED
        denial = may_send(in_flight.is_finished, timeout_us, state, lambda: False)
        if denial is not None:
            return denial
        request_class = settings.classes[in_flight.request.class_index]
        records = in_flight.attempt_records
        denial = may_retry(settings, request_class, records[number], records, now_us())
        if denial is not None:
            detail = f"{denial.value} at server {server}"
            context.violations.record(Invariant.RETRIES_ARE_SAFE, in_flight.request.id, detail)
        return denial

    def _not_sent(self, action: SendAttempt, number: int) -> Event:
        in_flight = self._context.in_flight.get(action.request)
        finished = in_flight is None or in_flight.is_finished
        return AttemptEnded(action.request, number, action.server, Outcome.NOT_SENT, 0, finished)
