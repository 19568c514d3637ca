"""Requests from arrival to their one final answer, and that nothing is kept of them."""

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
from tests.helpers import SAFE, SETTINGS, Driver, finals, sends, timers


@pytest.mark.parametrize("client_timeout_us", [0, 1, 40])
@pytest.mark.parametrize("class_index", [0, 1, 2])
def test_a_request_with_hardly_any_patience_gets_one_answer(class_index: int, client_timeout_us: int) -> None:
    driver = Driver()
    name, actions = driver.arrive(class_index=class_index, client_timeout_us=client_timeout_us)
    answers = finals(actions)
    for send in sends(actions):
        assert 0 < send.timeout_us <= max(1, client_timeout_us)
        driver.now_us += send.timeout_us
        answers += finals(driver.end(name, send.server, Outcome.TIMEOUT))
    assert len(answers) == 1 and not driver.balancer.requests


def test_without_servers_requests_are_refused() -> None:
    driver = Driver(replace(SETTINGS, max_retry_after_us=0), servers=0)
    name, actions = driver.arrive(class_index=2)
    assert finals(actions) == [Reject(name)]


def test_the_client_leaving_ends_the_request() -> None:
    driver = Driver()
    name, actions = driver.arrive()
    assert driver.handle(RequestCancelled(name)) == [Cancel(name, 0)]
    assert not finals(driver.end(name, sends(actions)[0].server, Outcome.CANCELLED))
    assert not driver.balancer.requests


def test_a_stream_is_left_alone() -> None:
    driver = Driver()
    name, actions = driver.arrive()
    driver.handle(StreamStarted(name, 0))
    for timer in timers(actions):
        driver.now_us = timer.due_us
        assert not driver.handle(TimerFired(timer.token))
    driver.end(name, sends(actions)[0].server)
    assert not driver.balancer.requests


def test_an_id_in_hand_is_not_taken_twice() -> None:
    driver = Driver()
    driver.arrive()
    driver.count = 0
    _, actions = driver.arrive()
    assert not sends(actions) and not finals(actions)


def test_an_unknown_class_is_failed() -> None:
    driver = Driver()
    name, actions = driver.arrive(class_index=7)
    assert finals(actions) == [Fail(name)]


def test_nothing_is_kept_of_what_is_finished() -> None:
    driver = Driver(servers=4)
    for n in range(3_000):
        name, actions = driver.arrive(class_index=n % 3)
        for send in sends(actions):
            driver.end(name, send.server, Outcome.OK if n % 7 else Outcome.CONNECT_FAILED)
        if n % 100 == 0:
            driver.list_servers(*(ListedServer(n + i) for i in range(4)))
        for request in [r.id for r in driver.balancer.requests]:
            driver.handle(RequestCancelled(request))
            for i in range(3):
                driver.end(request, 0, Outcome.CANCELLED, attempt=i)
        driver.now_us += 10_000
    for timer in driver.timers:
        driver.handle(TimerFired(timer.token))
    balancer = driver.balancer
    assert not balancer.requests and len(balancer.servers) == 4
    assert not balancer.timers.pending
    assert len(balancer.ring.ranked) == 4 and balancer.in_flight.count == 0


def test_what_is_worth_nothing_late_is_timed_out_at_the_aim() -> None:
    """Attempts left until the client gave up filled every queue with work that no one wanted any more."""
    driver = Driver(replace(SETTINGS, classes=(replace(SAFE, late_priority_weight=0.0), SAFE)))
    assert sends(driver.arrive(class_index=0)[1])[0].timeout_us < SAFE.latency_objective_us
    assert sends(driver.arrive(class_index=1)[1])[0].timeout_us > SAFE.latency_objective_us


def test_a_timer_of_a_request_that_is_over_touches_no_other_one_of_the_same_id() -> None:
    """A client sends once more under its id; the timer for a late attempt of the first is still on."""
    driver = Driver()
    (send,) = sends(first := driver.handle(RequestArrived("same", 0, 400_000)))
    (overdue,) = timers(first)
    driver.end("same", send.server)
    driver.now_us += 1_000
    (again,) = sends(driver.handle(RequestArrived("same", 0, 400_000)))
    driver.now_us = overdue.due_us
    driver.handle(TimerFired(overdue.token))
    driver.now_us += 1_000
    assert "same" in driver.balancer.requests
    left = driver.end("same", again.server, Outcome.ERROR)
    assert sends(left) or finals(left)
