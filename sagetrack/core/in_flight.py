"""Requests in flight: the state of each from its arrival until its last attempt has ended."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from sagetrack.core.event_dispatcher import PostEvent
from sagetrack.core.event_trace import EventTrace, TraceEventKind
from sagetrack.core.interfaces import Attempt, UpstreamPool
from sagetrack.core.metrics import Counter
from sagetrack.core.requests import Request
from sagetrack.core.send_rules import AttemptRecord
from sagetrack.policy.events import RequestCancelled


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that awaits its final response, or whose attempts have not all ended.

    Attributes:
        request: The request.
        deadline_us: When its client stops waiting, unless its body is streamed.
        attempts: Its attempts in the order of their choice; None for one that was never started.
        attempt_records: The same attempts, as far as retries depend on them.
        attempts_in_flight: How many of them have been started and have not ended.
        streaming_attempt: The one whose response its client is receiving.
        is_finished: Whether it has had its final response, or its client has gone.
        timed_out: Whether the attempt that ended last took too long.
        was_overdue: Whether it was found unanswered past its deadline before.
    """

    request: Request
    deadline_us: int
    attempts: list[Attempt | None] = field(default_factory=list)
    attempt_records: list[AttemptRecord] = field(default_factory=list)
    attempts_in_flight: int = 0
    streaming_attempt: Attempt | None = None
    is_finished: bool = False
    timed_out: bool = False
    was_overdue: bool = False

    def remaining_us(self, now_us: int) -> int:
        """Return what is left of its client's timeout, which runs from the last byte of the request on."""
        body = self.request.streamed_body
        if body is None:
            return self.deadline_us - now_us
        since_us = body.completed_us if body.is_complete else now_us
        return since_us + self.request.client_timeout_us - now_us

    @property
    def awaits_response(self) -> bool:
        """Whether it is a client's, has come completely and awaits its final response."""
        return (
            not self.is_finished
            and self.request.mirror_target < 0
            and (self.request.streamed_body is None or self.request.streamed_body.is_complete)
        )

    def add_attempt(self, record: AttemptRecord) -> int:
        """Add an attempt that is not started yet, and return its number."""
        self.attempts.append(None)
        self.attempt_records.append(record)
        return len(self.attempts) - 1

    def started_attempts(self) -> Iterator[Attempt]:
        """Yield the attempts that were started, also those added meanwhile."""
        return (attempt for attempt in self.attempts if attempt is not None)

    def count_in(self, counter: Counter) -> None:
        """Count it by its class, unless it is a mirrored request, which no client awaits."""
        if self.request.mirror_target < 0:
            counter.add(self.request.class_index)


class InFlightRequests(dict[str, InFlightRequest]):
    """All requests in flight, by id. A request stays until it is finished and its last attempt has ended."""

    def __init__(self, upstream: UpstreamPool, trace: EventTrace, post: PostEvent) -> None:
        super().__init__()
        self._upstream = upstream
        self._trace = trace
        self._post = post

    def finish(self, in_flight: InFlightRequest) -> None:
        """Mark a request as finished, and cancel its attempts of which nothing was sent yet."""
        in_flight.is_finished = True
        if in_flight.attempts_in_flight == 0:
            del self[in_flight.request.id]
            return
        for attempt in in_flight.started_attempts():
            self._upstream.cancel_unsent(attempt)

    def finish_if_pending(self, id_: str) -> InFlightRequest | None:
        """Finish a request and return it, for the caller to respond; None if it is finished already."""
        in_flight = self.get(id_)
        if in_flight is None or in_flight.is_finished:
            return None
        self.finish(in_flight)
        return in_flight

    def cancel(self, id_: str) -> None:
        """Finish a request whose client has disconnected: no response is sent."""
        in_flight = self.get(id_)
        if in_flight is None or in_flight.is_finished:
            return
        self._trace.record(TraceEventKind.CLIENT_DISCONNECTED, id_)
        self.finish(in_flight)
        self._post(lambda: RequestCancelled(id_))
        if in_flight.streaming_attempt is not None or in_flight.request.streamed_body is not None:
            # What is streamed through such an attempt has lost its downstream end.
            for attempt in in_flight.started_attempts():
                self._upstream.cancel(attempt)

    def cancel_attempts_without_response(self) -> None:
        """Cancel all attempts whose response has not started; the load balancer decides what follows."""
        for in_flight in list(self.values()):
            if in_flight.is_finished or in_flight.streaming_attempt is not None:
                continue
            for attempt in in_flight.started_attempts():
                self._upstream.cancel(attempt)

    def awaiting_response_count(self) -> int:
        """Return how many clients' requests have come completely and await their final response."""
        return sum(in_flight.awaits_response for in_flight in self.values())
