"""Requests in flight: the state of each request from its arrival until its last attempt has ended."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from sagetrack.core.event_dispatcher import PostEvent
from sagetrack.core.event_trace import EventTrace, TraceEventKind
from sagetrack.core.interfaces import Attempt, UpstreamPool
from sagetrack.core.metrics import ClassCounter
from sagetrack.core.requests import Request
from sagetrack.core.response_stream import ResponseStream
from sagetrack.core.send_rules import AttemptRecord
from sagetrack.policy.events import RequestCancelled

IN_FLIGHT_BYTES = 4 * 1024  # objects of a request in flight, here and in the load balancer


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that awaits its final response, or that has attempts in flight.

    Attributes:
        request: The request.
        deadline_us: Time at which the client stops waiting; not used if the body is streamed.
        attempts: The attempts in the order in which they were chosen; None for one that was never started.
        attempt_records: The properties of the same attempts that determine whether a retry is allowed.
        attempts_in_flight: Number of attempts that were started and have not ended.
        streaming_attempt: The attempt whose response is being streamed to the client, if any.
        response_stream: The time limit of that response.
        is_finished: True once the final response was sent or the client has disconnected.
        timed_out: True if the most recently ended attempt timed out.
        was_overdue: True if an earlier watchdog check found the request past its deadline.
    """

    request: Request
    deadline_us: int
    attempts: list[Attempt | None] = field(default_factory=list)
    attempt_records: list[AttemptRecord] = field(default_factory=list)
    attempts_in_flight: int = 0
    streaming_attempt: Attempt | None = None
    response_stream: ResponseStream | None = None
    is_finished: bool = False
    timed_out: bool = False
    was_overdue: bool = False

    def remaining_us(self, now_us: int) -> int:
        """Return the time left until the client's deadline.

        The client's timeout starts when the last byte of the request has arrived.
        """
        body = self.request.streamed_body
        if body is None:
            return self.deadline_us - now_us
        since_us = body.arrived_us or now_us
        return since_us + self.request.client_timeout_us - now_us

    @property
    def awaits_response(self) -> bool:
        """True if the request is complete, not mirrored, and awaits its final response."""
        return (
            not self.is_finished
            and self.request.mirror_target < 0
            and (self.request.streamed_body is None or self.request.streamed_body.is_complete)
        )

    def add_attempt(self, record: AttemptRecord) -> int:
        """Add an attempt that is not started yet, and return its index."""
        self.attempts.append(None)
        self.attempt_records.append(record)
        return len(self.attempts) - 1

    def started_attempts(self) -> Iterator[Attempt]:
        """Yield the attempts that were started, including any added during the iteration."""
        return (attempt for attempt in self.attempts if attempt is not None)

    def count_in(self, counter: ClassCounter) -> None:
        """Increment the counter for the request's class, unless the request is mirrored and has no client."""
        if self.request.mirror_target < 0:
            counter.add(self.request.class_index)


class InFlightRequests(dict[str, InFlightRequest]):
    """All requests in flight, by id.

    A request is removed when it is finished and its last attempt has ended.

    Attributes:
        memory_bytes: Estimated memory of all requests in flight.
    """

    def __init__(self, upstream: UpstreamPool, trace: EventTrace, post: PostEvent) -> None:
        super().__init__()
        self._upstream = upstream
        self._trace = trace
        self._post = post
        self.memory_bytes = 0

    def add(self, in_flight: InFlightRequest) -> None:
        """Add a request, whose id must not be in use."""
        self[in_flight.request.id] = in_flight
        self.memory_bytes += IN_FLIGHT_BYTES + in_flight.request.memory_bytes

    def remove(self, in_flight: InFlightRequest) -> None:
        """Remove a request that is finished and has no attempt in flight."""
        if self.get(in_flight.request.id) is in_flight:
            del self[in_flight.request.id]
            self.memory_bytes -= IN_FLIGHT_BYTES + in_flight.request.memory_bytes

    def finish(self, in_flight: InFlightRequest) -> None:
        """Mark a request as finished, and cancel its attempts that have not sent anything yet."""
        in_flight.is_finished = True
        if in_flight.response_stream is not None:
            in_flight.response_stream.close()
        if in_flight.attempts_in_flight == 0:
            self.remove(in_flight)
            return
        for attempt in in_flight.started_attempts():
            self._upstream.cancel_unsent(attempt)

    def finish_if_pending(self, id_: str) -> InFlightRequest | None:
        """Finish a request and return it, so that the caller can respond; None if already finished."""
        in_flight = self.get(id_)
        if in_flight is None or in_flight.is_finished:
            return None
        self.finish(in_flight)
        return in_flight

    def cancel(self, id_: str) -> None:
        """Finish a request whose client has disconnected; no response is sent."""
        in_flight = self.get(id_)
        if in_flight is None or in_flight.is_finished:
            return
        self._trace.record(TraceEventKind.CLIENT_DISCONNECTED, id_)
        self.finish(in_flight)
        self._post(lambda: RequestCancelled(id_))
        if in_flight.streaming_attempt is not None or in_flight.request.streamed_body is not None:
            # A body or response that is being streamed cannot continue without the client.
            for attempt in in_flight.started_attempts():
                self._upstream.cancel(attempt)

    def cancel_attempts_without_response(self) -> None:
        """Cancel the attempts of all requests whose response has not started.

        The load balancer decides how those requests continue.
        """
        for in_flight in list(self.values()):
            if in_flight.is_finished or in_flight.streaming_attempt is not None:
                continue
            for attempt in in_flight.started_attempts():
                self._upstream.cancel(attempt)

    def awaiting_response_count(self) -> int:
        """Return the number of complete client requests that await their final response."""
        return sum(in_flight.awaits_response for in_flight in self.values())
