"""Tests of the request lifecycle: each request gets one final response, and no state remains."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sagetrack.policy.actions import Cancel, Fail, Reject
from sagetrack.policy.events import (
    ListedServer,
    Outcome,
    RequestArrived,
    RequestCancelled,
    StreamStarted,
    TimerFired,
)
from tests.helpers import SAFE, SETTINGS, Driver, final_actions, send_actions, timer_actions


@pytest.mark.parametrize("client_timeout_us", [0, 1, 40])
@pytest.mark.parametrize("class_index", [0, 1, 2])
def test_a_request_with_a_tiny_client_timeout_gets_exactly_one_final_response(
    class_index: int, client_timeout_us: int
) -> None:
    driver = Driver()
    name, actions = driver.arrive(class_index=class_index, client_timeout_us=client_timeout_us)
    responses = final_actions(actions)
    for send in send_actions(actions):
        assert 0 < send.timeout_us <= max(1, client_timeout_us)
        driver.now_us += send.timeout_us
        responses += final_actions(driver.end(name, send.server, Outcome.TIMEOUT))
    assert len(responses) == 1 and not driver.balancer.requests


def test_without_servers_requests_are_rejected() -> None:
    driver = Driver(replace(SETTINGS, max_retry_after_us=0), servers=0)
    name, actions = driver.arrive(class_index=2)
    assert final_actions(actions) == [Reject(name)]


def test_a_cancelled_request_ends_and_cancels_its_attempt() -> None:
    driver = Driver()
    name, actions = driver.arrive()
    assert driver.handle(RequestCancelled(name)) == [Cancel(name, 0)]
    assert not final_actions(driver.end(name, send_actions(actions)[0].server, Outcome.CANCELLED))
    assert not driver.balancer.requests


def test_timers_do_nothing_once_a_response_is_streaming() -> None:
    driver = Driver()
    name, actions = driver.arrive()
    driver.handle(StreamStarted(name, 0))
    for timer in timer_actions(actions):
        driver.now_us = timer.due_us
        assert not driver.handle(TimerFired(timer.token))
    driver.end(name, send_actions(actions)[0].server)
    assert not driver.balancer.requests


def test_a_second_request_with_an_active_id_is_ignored() -> None:
    driver = Driver()
    driver.arrive()
    driver.count = 0
    _, actions = driver.arrive()
    assert not send_actions(actions) and not final_actions(actions)


def test_a_request_of_an_unknown_class_fails() -> None:
    driver = Driver()
    name, actions = driver.arrive(class_index=7)
    assert final_actions(actions) == [Fail(name)]


def test_no_state_is_kept_of_finished_requests_and_removed_servers() -> None:
    driver = Driver(servers=4)
    for n in range(3_000):
        name, actions = driver.arrive(class_index=n % 3)
        for send in send_actions(actions):
            driver.end(name, send.server, Outcome.OK if n % 7 else Outcome.CONNECT_FAILED)
        if n % 100 == 0:
            driver.list_servers(*(ListedServer(n + offset) for offset in range(4)))
        for request in [r.id for r in driver.balancer.requests]:
            driver.handle(RequestCancelled(request))
            for offset in range(3):
                driver.end(request, 0, Outcome.CANCELLED, attempt=offset)
        driver.now_us += 10_000
    for timer in driver.timers:
        driver.handle(TimerFired(timer.token))
    balancer = driver.balancer
    assert not balancer.requests and len(balancer.servers) == 4
    assert not balancer.timers.pending
    assert len(balancer.ring.ranked) == 4 and balancer.in_flight.count == 0


def test_an_attempt_without_late_priority_times_out_at_the_latency_objective() -> None:
    """Guards against server queues full of attempts whose responses would be too late to be of use."""
    driver = Driver(replace(SETTINGS, classes=(replace(SAFE, late_priority_weight=0.0), SAFE)))
    assert send_actions(driver.arrive(class_index=0)[1])[0].timeout_us < SAFE.latency_objective_us
    assert send_actions(driver.arrive(class_index=1)[1])[0].timeout_us > SAFE.latency_objective_us


def test_a_timer_of_a_finished_request_does_not_affect_a_new_one_with_the_same_id() -> None:
    """Guards against a late timer of a finished request if a new request has the same id."""
    driver = Driver()
    (send,) = send_actions(first_actions := driver.handle(RequestArrived("same", 0, 400_000)))
    (overdue,) = timer_actions(first_actions)
    driver.end("same", send.server)
    driver.now_us += 1_000
    (second_send,) = send_actions(driver.handle(RequestArrived("same", 0, 400_000)))
    driver.now_us = overdue.due_us
    driver.handle(TimerFired(overdue.token))
    driver.now_us += 1_000
    assert "same" in driver.balancer.requests
    after_error = driver.end("same", second_send.server, Outcome.ERROR)
    assert send_actions(after_error) or final_actions(after_error)
