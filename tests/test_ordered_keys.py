"""Tests of in-order classes: requests with the same key run one at a time, in order of arrival."""

from __future__ import annotations

from dataclasses import replace

from sagetrack.policy.actions import Fail
from sagetrack.policy.events import Outcome, TimerFired
from sagetrack.policy.fleet_size import DEFAULT_MAX_CONCURRENCY
from sagetrack.policy.ordered_keys import OrderedKeys, Turn
from sagetrack.policy.settings import RequestClass
from sagetrack.policy.state import Request
from tests.helpers import SAFE, SETTINGS, UNSAFE, Driver, final_actions, send_actions

ORDERED = replace(SETTINGS, classes=(replace(UNSAFE, in_order=True),), key_cooldown_us=50_000)


MAX_PER_SERVER = int(DEFAULT_MAX_CONCURRENCY)  # with one gateway


def test_requests_of_an_ordered_key_run_one_at_a_time() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.arrive(key=7, client_timeout_us=900_000)
    server = send_actions(actions)[0].server
    second, actions = driver.arrive(key=7, client_timeout_us=900_000)
    assert not send_actions(actions) and not final_actions(actions)
    assert send_actions(driver.arrive(key=8)[1])
    (send,) = send_actions(driver.end(first, server))
    assert send.request == second
    third = driver.arrive(key=7, client_timeout_us=900_000)[0]
    driver.now_us += 10_000
    assert final_actions(driver.end(second, send.server, Outcome.RESET)) == [Fail(second)]
    cooldown_timer = driver.timers[-1]
    assert cooldown_timer.due_us == driver.now_us + 50_000
    driver.now_us = cooldown_timer.due_us
    (send,) = send_actions(driver.handle(TimerFired(cooldown_timer.token)))
    assert send.request == third
    driver.end(third, send.server)
    assert 7 not in driver.balancer.ordered_keys


def test_requests_of_a_hot_key_that_cannot_be_served_in_time_are_rejected() -> None:
    """Guards against sending a request out of order that was not accepted into the queue of its key."""
    driver = Driver(ORDERED)
    arrivals = [driver.arrive(key=7, client_timeout_us=400_000)[1] for _ in range(30)]
    rejected = [actions for actions in arrivals if final_actions(actions)]
    assert len(rejected) > 20 and sum(len(send_actions(actions)) for actions in arrivals) == 1
    queue_timer = driver.timers[-1]
    driver.now_us = queue_timer.due_us
    assert final_actions(driver.handle(TimerFired(queue_timer.token)))


def test_an_ordered_request_without_capacity_is_rejected_instead_of_waiting() -> None:
    in_order = RequestClass(
        latency_objective_us=200_000, request_timeout_us=400_000, effect=SAFE.effect, in_order=True
    )
    driver = Driver(replace(SETTINGS, classes=(in_order,)), servers=1)
    for key in range(MAX_PER_SERVER):
        driver.arrive(0, key=key)
    name, actions = driver.arrive(0, key=99)
    assert [final.request for final in final_actions(actions)] == [name]


# Key queues by themselves


def make_request(name: str, key: int | None = 7) -> Request:
    """Return a request with a key and a deadline of one second."""
    return Request(name, 0, key, 1_000_000, 500_000, 1.0, True, 0.0)


def test_the_first_request_of_a_key_runs_and_the_others_wait_in_order() -> None:
    keys, first, second, third = OrderedKeys(), make_request("a"), make_request("b"), make_request("c")
    turns = [keys.join(request, 7, 0, 10.0, 1000) for request in (first, second, third)]
    assert turns == [Turn.NOW, Turn.WAITS, Turn.WAITS]
    assert keys.join(make_request("d", 8), 8, 0, 10.0, 1000) is Turn.NOW  # another key
    assert keys.leave(first) is second and keys.leave(second) is third
    assert keys.leave(third) is None and 7 not in keys and len(keys) == 1


def test_a_request_whose_turn_would_come_too_late_is_not_queued() -> None:
    keys = OrderedKeys()
    keys.join(make_request("a"), 7, 0, 100.0, 1000)
    keys.join(make_request("b"), 7, 0, 100.0, 1000)
    late = make_request("c")
    assert keys.join(late, 7, 801, 100.0, 1000) is Turn.TOO_LATE and not keys.is_queued(late)
    assert keys.join(late, 7, 800, 100.0, 1000) is Turn.WAITS and keys.is_queued(late)


def test_a_request_that_leaves_the_queue_before_its_turn_starts_no_other() -> None:
    keys, first, second, third = OrderedKeys(), make_request("a"), make_request("b"), make_request("c")
    for request in (first, second, third):
        keys.join(request, 7, 0, 10.0, 1000)
    assert keys.leave(second) is None and keys.leave(first) is third


def test_a_request_without_a_key_is_never_queued() -> None:
    keys = OrderedKeys()
    assert not keys.is_queued(make_request("a", None)) and keys.leave(make_request("a", None)) is None
