"""Requests in flight: the remaining time, which requests await a response, and when they are removed."""

from __future__ import annotations

from typing import Any

from sagetrack.core.bodies import StreamedBody
from sagetrack.core.event_trace import EventTrace
from sagetrack.core.in_flight import InFlightRequest, InFlightRequests
from sagetrack.core.memory_budget import MemoryBudget
from sagetrack.core.requests import Request
from sagetrack.core.send_rules import AttemptRecord
from sagetrack.policy.events import Event, RequestCancelled


class StartedAttempt:
    """A stand-in for an attempt that was started."""

    server, latency_us = 1, 0


class RecordingUpstream:
    """An upstream pool that records which attempts are cancelled, and by which call."""

    def __init__(self) -> None:
        self.cancelled: list[Any] = []
        self.cancelled_unsent: list[Any] = []

    def cancel(self, attempt: Any) -> None:
        self.cancelled.append(attempt)

    def cancel_unsent(self, attempt: Any) -> None:
        self.cancelled_unsent.append(attempt)


class RecordingTable:
    """The requests in flight, with the cancelled attempts and posted events recorded."""

    def __init__(self) -> None:
        self.upstream, self.posted = RecordingUpstream(), list[Event | None]()
        self.requests = InFlightRequests(
            self.upstream,  # type: ignore[arg-type]
            EventTrace(),
            lambda event: self.posted.append(event()),
        )

    def add(self, in_flight: InFlightRequest, attempts: int = 0) -> list[StartedAttempt]:
        self.requests[in_flight.request.id] = in_flight
        started = [StartedAttempt() for _ in range(attempts)]
        for attempt in started:
            in_flight.attempts[in_flight.add_attempt(AttemptRecord(0, 0))] = attempt
        in_flight.attempts_in_flight = attempts
        return started


def in_flight(body: StreamedBody | None = None, mirror_target: int = -1) -> InFlightRequest:
    request = Request("a", 0, 1_000, None, None, False, 0, None, None, body)  # type: ignore[arg-type]
    request.mirror_target = mirror_target
    return InFlightRequest(request, 5_000)


def test_the_time_left_runs_from_the_last_byte_of_a_streamed_body_on() -> None:
    assert in_flight().remaining_us(4_000) == 1_000
    body = StreamedBody(None, MemoryBudget(64))
    streamed = in_flight(body)
    assert streamed.remaining_us(4_000) == streamed.remaining_us(9_000) == 1_000
    body.complete()
    assert streamed.remaining_us(body.arrived_us + 300) == 700


def test_a_request_awaits_a_response_once_it_is_complete_and_until_it_is_finished() -> None:
    body = StreamedBody(None, MemoryBudget(64))
    streamed, table = in_flight(body), RecordingTable()
    table.add(streamed)
    assert table.requests.awaiting_response_count() == 0
    body.complete()
    assert table.requests.awaiting_response_count() == 1
    streamed.is_finished = True
    assert table.requests.awaiting_response_count() == 0
    assert not in_flight(mirror_target=1).awaits_response


def test_a_finished_request_stays_until_its_last_attempt_has_ended() -> None:
    table = RecordingTable()
    table.add(in_flight())
    assert table.requests.finish_if_pending("a") is not None and not table.requests
    attempts = table.add(in_flight(), attempts=2)
    assert table.requests.finish_if_pending("a") is table.requests["a"]
    assert table.upstream.cancelled_unsent == attempts and not table.upstream.cancelled
    assert table.requests.finish_if_pending("a") is None  # it already has a final response


def test_a_client_that_disconnects_is_reported_once_and_ends_a_streamed_response() -> None:
    table, pending = RecordingTable(), in_flight()
    attempts = table.add(pending, attempts=1)
    table.requests.cancel("a")
    assert table.posted == [RequestCancelled("a")] and not table.upstream.cancelled
    table.requests.cancel("a")
    assert table.posted == [RequestCancelled("a")]
    pending.is_finished, pending.streaming_attempt = False, attempts[0]
    table.requests.cancel("a")
    assert table.upstream.cancelled == attempts


def test_only_attempts_without_a_response_are_cancelled_at_the_end_of_a_shutdown() -> None:
    table, pending = RecordingTable(), in_flight()
    attempts = table.add(pending, attempts=2)
    pending.streaming_attempt = attempts[0]
    table.requests.cancel_attempts_without_response()
    assert not table.upstream.cancelled
    pending.streaming_attempt = None
    table.requests.cancel_attempts_without_response()
    assert table.upstream.cancelled == attempts
