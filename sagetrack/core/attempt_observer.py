"""One attempt of a request: the last check before it is sent, and what becomes of it."""

from __future__ import annotations

from sagetrack.core.clock import now_us
from sagetrack.core.context import GatewayContext
from sagetrack.core.event_trace import Step
from sagetrack.core.in_flight import InFlightRequest
from sagetrack.core.interfaces import AnyResponse, Attempt, Source
from sagetrack.core.send_rules import DenialReason, ServerState, may_retry, may_send
from sagetrack.policy.events import AttemptEnded, AttemptSent, Event, LoadReport, Outcome, StreamStarted


class GatewayAttemptObserver:
    """Observes one attempt for the gateway: informs the load balancer and the client.

    What an upstream pool reports is queued, and takes effect when its turn comes.
    """

    __slots__ = ("_begin_by_us", "_context", "_number", "_request")

    def __init__(
        self, context: GatewayContext, request: InFlightRequest, number: int, begin_by_us: int
    ) -> None:
        """Observe an attempt.

        Args:
            context: What the parts of the gateway share.
            request: The request it is an attempt of.
            number: Its place in the request's `attempts`.
            begin_by_us: From this time on nothing of it may be sent; 0 for no such limit.
        """
        self._context, self._request, self._number = context, request, number
        self._begin_by_us = begin_by_us

    def may_begin(self, server: ServerState) -> bool:
        """Return whether the request may be sent now to the server in this state.

        The kernel is asked here whether the client has disconnected, with nothing between its answer and the
        first byte: the event loop may not know of it yet, as nothing is being read from that client, or as
        the loop was busy and finds the request and its cancellation together.
        """
        request, context = self._request, self._context
        denial = self._retry_denial() or may_send(
            request.is_finished, request.remaining_us(now_us()), server, request.call.has_gone
        )
        if denial is None:
            return True
        context.note_denial(request.call.id, denial)
        if denial is DenialReason.CLIENT_GONE:
            context.in_flight.cancel(request.call.id)
        return False

    def _retry_denial(self) -> DenialReason | None:
        """Return why a retry may no longer be sent: its connection may have come up late."""
        request, settings, now = self._request, self._context.settings, now_us()
        if self._begin_by_us and now >= self._begin_by_us:
            return DenialReason.WINDOW_OVER
        request_class = settings.classes[request.call.class_index]
        return may_retry(
            settings, request_class, request.attempt_records[self._number], request.attempt_records, now
        )

    def on_first_byte(self) -> None:
        """Record that the first byte of the request is sent in this turn of the event loop."""
        self._request.attempt_records[self._number].begun_us = now_us()

    def on_request_sent(self) -> None:
        """Count the attempt as sent, and inform the load balancer where the body was streamed."""
        call = self._request.call
        self._context.metrics.sends.add(call.class_index)
        if call.streamed_body is not None:
            self._context.post(lambda: AttemptSent(call.id, self._number))

    def on_response_started(self, attempt: Attempt, head: AnyResponse, source: Source) -> None:
        """Queue the start of a streamed response."""
        self._context.post(lambda: self._start_response(attempt, head, source))

    def on_response_data(self, attempt: Attempt, data: bytes) -> None:
        """Pass bytes of a streamed response on to the client, if it is receiving this attempt's."""
        request = self._request
        if request.streaming_attempt is attempt and not request.is_finished:
            request.call.client.on_response_data(request.call, data)

    def on_attempt_ended(
        self, attempt: Attempt, outcome: Outcome, answer: AnyResponse | None, load: LoadReport | None
    ) -> None:
        """Queue the end of the attempt."""
        self._context.post(lambda: self._end(attempt, outcome, answer, load))

    def _start_response(self, attempt: Attempt, head: AnyResponse, source: Source) -> Event | None:
        request = self._request
        if request.is_finished or request.streaming_attempt is not None:
            self._context.upstream.cancel(attempt)
            return None
        request.streaming_attempt = attempt
        request.call.client.on_response_started(request.call, head, source)
        return StreamStarted(request.call.id, self._number)

    def _end(
        self, attempt: Attempt, outcome: Outcome, answer: AnyResponse | None, load: LoadReport | None
    ) -> Event:
        request, context = self._request, self._context
        id_ = request.call.id
        request.attempts_in_flight -= 1
        request.attempt_records[self._number].outcome = outcome
        context.outcomes.add(outcome.value)
        latency_us = attempt.latency_us
        succeeded = outcome is Outcome.OK
        if not succeeded:
            detail = f"{self._number} at server {attempt.server}: {outcome.value} after {latency_us} us"
            context.trace.note(Step.ATTEMPT_FAILED, id_, detail)
        if context.recorder is not None:
            context.recorder.attempt(request.call.class_index, outcome.value, latency_us, succeeded)
        request.timed_out = outcome is Outcome.TIMEOUT
        if not request.is_finished:
            self._respond(attempt, answer if succeeded else None)
        elif request.attempts_in_flight == 0:
            context.in_flight.pop(id_, None)
        return AttemptEnded(id_, self._number, attempt.server, outcome, latency_us, request.is_finished, load)

    def _respond(self, attempt: Attempt, answer: AnyResponse | None) -> None:
        """Give the client its final response, if the end of this attempt brings it about."""
        request, context = self._request, self._context
        call = request.call
        if request.streaming_attempt is attempt:
            context.in_flight.finish(request)
            if answer is not None:
                request.count_in(context.metrics.answered)
                call.client.on_response_ended(call, answer)
            else:
                request.count_in(context.metrics.errored)
                call.client.on_response_aborted(call)
        elif answer is not None:
            context.in_flight.finish(request)
            request.count_in(context.metrics.answered)
            call.client.on_response(call, answer)
