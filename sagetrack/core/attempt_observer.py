"""Observer of one attempt: makes the last check before sending, and reports the attempt's progress."""

from __future__ import annotations

from sagetrack.core.body_length import BodyLengthError
from sagetrack.core.clock import now_us
from sagetrack.core.context import GatewayContext
from sagetrack.core.event_trace import TraceEventKind
from sagetrack.core.in_flight import InFlightRequest
from sagetrack.core.interfaces import AnyResponse, Attempt
from sagetrack.core.requests import ResponseSource
from sagetrack.core.response_stream import ResponseStream
from sagetrack.core.send_rules import DenialReason, ServerState, may_retry, may_send
from sagetrack.policy.events import AttemptEnded, AttemptSent, Event, LoadReport, Outcome, StreamStarted


class GatewayAttemptObserver:
    """Reports the progress of one attempt to the load balancer and the client.

    The start of a streamed response and the end of the attempt are queued as events, and take effect when
    they are dequeued.
    """

    __slots__ = ("_begin_by_us", "_context", "_in_flight", "_number")

    def __init__(
        self, context: GatewayContext, in_flight: InFlightRequest, number: int, begin_by_us: int
    ) -> None:
        """Create the observer of an attempt.

        Args:
            context: The context shared by the gateway's components.
            in_flight: The request that the attempt belongs to.
            number: The index of the attempt in the request's `attempts`.
            begin_by_us: Time from which the attempt may no longer begin; 0 for no limit.
        """
        self._context = context
        self._in_flight = in_flight
        self._number = number
        self._begin_by_us = begin_by_us

    def may_begin(self, server: ServerState) -> bool:
        """Return whether the request may be sent now to a server in this state.

        This asks the kernel whether the client has disconnected, immediately before the first byte is sent.
        The event loop may not know of a disconnect yet: reading from that client may be paused, or the loop
        was busy and finds the request and its cancellation at the same time.
        """
        in_flight = self._in_flight
        context = self._context
        denial = self._retry_denial() or may_send(
            in_flight.is_finished,
            in_flight.remaining_us(now_us()),
            server,
            in_flight.request.has_disconnected,
        )
        if denial is None:
            return True
        context.record_denial(in_flight.request.id, denial)
        if denial is DenialReason.CLIENT_DISCONNECTED:
            context.in_flight.cancel(in_flight.request.id)
        return False

    def _retry_denial(self) -> DenialReason | None:
        """Return the reason why a retry may no longer be sent; None if it may.

        The state is checked again because opening the connection may have taken long.
        """
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
        """Record that the first byte of the request is sent in this iteration of the event loop."""
        request = self._in_flight.request
        self._in_flight.attempt_records[self._number].first_byte_us = now_us()
        if request.mirror_target < 0:
            request_class = self._context.settings.classes[request.class_index]
            self._context.recent_requests.remember(request.id, request_class)

    def on_request_sent(self) -> None:
        """Count the attempt as sent, and notify the load balancer if the request body was streamed."""
        request = self._in_flight.request
        self._context.metrics.sends.add(request.class_index)
        if request.streamed_body is not None:
            self._context.post(lambda: AttemptSent(request.id, self._number))

    def on_response_started(self, attempt: Attempt, head: AnyResponse, source: ResponseSource) -> None:
        """Queue the start of a streamed response as an event."""
        self._context.post(lambda: self._start_response(attempt, head, source))

    def on_response_progress(self, size: int) -> None:
        """Record that the server of a streamed response is still sending."""
        if self._in_flight.response_stream is not None:
            self._in_flight.response_stream.on_progress(size)

    def on_response_data(self, attempt: Attempt, data: bytes) -> None:
        """Forward response data to the client, if the client is receiving the response of this attempt."""
        in_flight = self._in_flight
        stream = in_flight.response_stream
        if stream is not None and in_flight.streaming_attempt is attempt and not in_flight.is_finished:
            try:
                passed = stream.receive(data)
            except BodyLengthError:
                self._context.upstream.end(attempt, Outcome.ERROR)
                return
            in_flight.request.client.on_response_data(in_flight.request, passed)

    def on_attempt_ended(
        self, attempt: Attempt, outcome: Outcome, response: AnyResponse | None, load: LoadReport | None
    ) -> None:
        """Queue the end of the attempt as an event."""
        self._context.post(lambda: self._end(attempt, outcome, response, load))

    def _start_response(self, attempt: Attempt, head: AnyResponse, source: ResponseSource) -> Event | None:
        in_flight = self._in_flight
        if in_flight.is_finished or in_flight.streaming_attempt is not None:
            self._context.upstream.cancel(attempt)
            return None
        in_flight.streaming_attempt = attempt
        request = in_flight.request
        stream = in_flight.response_stream = ResponseStream(
            in_flight.remaining_us,
            head.length,
            source,
            self._context.settings.classes[request.class_index].streams_responses,
            lambda: self._context.upstream.end(attempt, Outcome.TIMEOUT),
        )
        request.client.on_response_started(request, head, stream)
        return StreamStarted(request.id, self._number)

    def _end(
        self, attempt: Attempt, outcome: Outcome, response: AnyResponse | None, load: LoadReport | None
    ) -> Event:
        in_flight = self._in_flight
        context = self._context
        id_ = in_flight.request.id
        outcome = self._with_length_check(attempt, outcome, response)
        in_flight.attempts_in_flight -= 1
        in_flight.attempt_records[self._number].outcome = outcome
        self._forget_unless_run()
        context.outcomes.add(outcome.value)
        latency_us = attempt.latency_us
        succeeded = outcome is Outcome.OK
        if not succeeded:
            detail = f"{self._number} at server {attempt.server}: {outcome.value} after {latency_us} us"
            context.trace.record(TraceEventKind.ATTEMPT_FAILED, id_, detail)
        if context.recorder is not None:
            context.recorder.record_attempt(
                in_flight.request.class_index, outcome.value, latency_us, succeeded
            )
        in_flight.timed_out = outcome is Outcome.TIMEOUT
        if not in_flight.is_finished:
            self._respond(attempt, response if succeeded else None)
        elif in_flight.attempts_in_flight == 0:
            context.in_flight.remove(in_flight)
        return AttemptEnded(
            id_, self._number, attempt.server, outcome, latency_us, in_flight.is_finished, load
        )

    def _with_length_check(self, attempt: Attempt, outcome: Outcome, response: AnyResponse | None) -> Outcome:
        """Return the outcome; an error if a streamed response ends before its announced length.

        The end of a response that fits gets the byte that was withheld until now.
        """
        in_flight = self._in_flight
        stream = in_flight.response_stream
        if outcome is not Outcome.OK or stream is None or response is None:
            return outcome
        if in_flight.streaming_attempt is not attempt:
            return outcome
        if not stream.body_length.ends_with(response.body):
            return Outcome.ERROR
        response.body = stream.body_length.finish(response.body)
        return outcome

    def _forget_unless_run(self) -> None:
        """Forget the request's id if it is known that no attempt has run."""
        in_flight = self._in_flight
        settings = self._context.settings
        if not any(record.may_have_run(settings) for record in in_flight.attempt_records):
            self._context.recent_requests.forget(in_flight.request.id)

    def _respond(self, attempt: Attempt, response: AnyResponse | None) -> None:
        """Send the final response to the client, if this attempt was streaming it or has succeeded.

        A response that comes while the response of another attempt is streamed is dropped.
        """
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
        elif response is not None and in_flight.streaming_attempt is None:
            context.in_flight.finish(in_flight)
            in_flight.count_in(context.metrics.answered)
            request.client.on_response(request, response)
