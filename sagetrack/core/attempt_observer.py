"""One attempt of a request: the last check before it is sent, and what becomes of it."""

from __future__ import annotations

from sagetrack.core.clock import now_us
from sagetrack.core.context import GatewayContext
from sagetrack.core.event_trace import Step
from sagetrack.core.in_flight import InFlightRequest
from sagetrack.core.interfaces import AnyResponse, Attempt
from sagetrack.core.requests import Source
from sagetrack.core.send_rules import DenialReason, ServerState, may_retry, may_send
from sagetrack.policy.events import AttemptEnded, AttemptSent, Event, LoadReport, Outcome, StreamStarted


class GatewayAttemptObserver:
    """Observes one attempt for the gateway: informs the load balancer and the client.

    What an upstream pool reports is queued, and takes effect when its turn comes.
    """

    __slots__ = ("_begin_by_us", "_context", "_in_flight", "_number")

    def __init__(
        self, context: GatewayContext, in_flight: InFlightRequest, number: int, begin_by_us: int
    ) -> None:
        """Observe an attempt.

        Args:
            context: What the parts of the gateway share.
            in_flight: The request it is an attempt of.
            number: Its place in the request's `attempts`.
            begin_by_us: From this time on nothing of it may be sent; 0 for no such limit.
        """
        self._context = context
        self._in_flight = in_flight
        self._number = number
        self._begin_by_us = begin_by_us

    def may_begin(self, server: ServerState) -> bool:
        """Return whether the request may be sent now to the server in this state.

        The kernel is asked here whether the client has disconnected, with nothing between its answer and the
        first byte: the event loop may not know of it yet, as nothing is being read from that client, or as
        the loop was busy and finds the request and its cancellation together.
        """
        in_flight = self._in_flight
        context = self._context
        denial = self._retry_denial() or may_send(
            in_flight.is_finished, in_flight.remaining_us(now_us()), server, in_flight.request.has_gone
        )
        if denial is None:
            return True
        context.note_denial(in_flight.request.id, denial)
        if denial is DenialReason.CLIENT_GONE:
            context.in_flight.cancel(in_flight.request.id)
        return False

    def _retry_denial(self) -> DenialReason | None:
        """Return why a retry may no longer be sent: its connection may have come up late."""
        in_flight = self._in_flight
        settings = self._context.settings
        now = now_us()
        if self._begin_by_us and now >= self._begin_by_us:
            return DenialReason.WINDOW_OVER
        request_class = settings.classes[in_flight.request.class_index]
        return may_retry(
            settings, request_class, in_flight.attempt_records[self._number], in_flight.attempt_records, now
        )

    def on_first_byte(self) -> None:
        """Record that the first byte of the request is sent in this turn of the event loop."""
        self._in_flight.attempt_records[self._number].begun_us = now_us()

    def on_request_sent(self) -> None:
        """Count the attempt as sent, and inform the load balancer where the body was streamed."""
        request = self._in_flight.request
        self._context.metrics.sends.add(request.class_index)
        if request.streamed_body is not None:
            self._context.post(lambda: AttemptSent(request.id, self._number))

    def on_response_started(self, attempt: Attempt, head: AnyResponse, source: Source) -> None:
        """Queue the start of a streamed response."""
        self._context.post(lambda: self._start_response(attempt, head, source))

    def on_response_data(self, attempt: Attempt, data: bytes) -> None:
        """Pass bytes of a streamed response on to the client, if it is receiving this attempt's."""
        in_flight = self._in_flight
        if in_flight.streaming_attempt is attempt and not in_flight.is_finished:
            in_flight.request.client.on_response_data(in_flight.request, data)

    def on_attempt_ended(
        self, attempt: Attempt, outcome: Outcome, response: AnyResponse | None, load: LoadReport | None
    ) -> None:
        """Queue the end of the attempt."""
        self._context.post(lambda: self._end(attempt, outcome, response, load))

    def _start_response(self, attempt: Attempt, head: AnyResponse, source: Source) -> Event | None:
        in_flight = self._in_flight
        if in_flight.is_finished or in_flight.streaming_attempt is not None:
            self._context.upstream.cancel(attempt)
            return None
        in_flight.streaming_attempt = attempt
        in_flight.request.client.on_response_started(in_flight.request, head, source)
        return StreamStarted(in_flight.request.id, self._number)

    def _end(
        self, attempt: Attempt, outcome: Outcome, response: AnyResponse | None, load: LoadReport | None
    ) -> Event:
        in_flight = self._in_flight
        context = self._context
        id_ = in_flight.request.id
        in_flight.attempts_in_flight -= 1
        in_flight.attempt_records[self._number].outcome = outcome
        context.outcomes.add(outcome.value)
        latency_us = attempt.latency_us
        succeeded = outcome is Outcome.OK
        if not succeeded:
            detail = f"{self._number} at server {attempt.server}: {outcome.value} after {latency_us} us"
            context.trace.note(Step.ATTEMPT_FAILED, id_, detail)
        if context.recorder is not None:
            context.recorder.record_attempt(
                in_flight.request.class_index, outcome.value, latency_us, succeeded
            )
        in_flight.timed_out = outcome is Outcome.TIMEOUT
        if not in_flight.is_finished:
            self._respond(attempt, response if succeeded else None)
        elif in_flight.attempts_in_flight == 0:
            context.in_flight.pop(id_, None)
        return AttemptEnded(
            id_, self._number, attempt.server, outcome, latency_us, in_flight.is_finished, load
        )

    def _respond(self, attempt: Attempt, response: AnyResponse | None) -> None:
        """Give the client its final response, if the end of this attempt brings it about."""
        in_flight = self._in_flight
        context = self._context
        request = in_flight.request
        if in_flight.streaming_attempt is attempt:
            context.in_flight.finish(in_flight)
            if response is not None:
                in_flight.count_in(context.metrics.answered)
                request.client.on_response_ended(request, response)
            else:
                in_flight.count_in(context.metrics.errored)
                request.client.on_response_aborted(request)
        elif response is not None:
            context.in_flight.finish(in_flight)
            in_flight.count_in(context.metrics.answered)
            request.client.on_response(request, response)
