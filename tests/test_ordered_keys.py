"""In-order classes: requests of a key run one at a time, in the order taken."""

from __future__ import annotations

from dataclasses import replace

from sagetrack.policy.actions import Fail
from sagetrack.policy.events import Outcome, TimerFired
from sagetrack.policy.fleet_size import DEFAULT_MAX_CONCURRENCY
from sagetrack.policy.ordered_keys import OrderedKeys, Turn
from sagetrack.policy.settings import RequestClass
from sagetrack.policy.state import Request
from tests.helpers import SAFE, SETTINGS, UNSAFE, Driver, finals, sends

ORDERED = replace(SETTINGS, classes=(replace(UNSAFE, in_order=True),), key_cooldown_us=50_000)


BOUND = int(DEFAULT_MAX_CONCURRENCY)  # with one gateway


def test_requests_of_a_key_take_turns() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.arrive(key=7, client_timeout_us=900_000)
    server = sends(actions)[0].server
    second, actions = driver.arrive(key=7, client_timeout_us=900_000)
    assert not sends(actions) and not finals(actions)
    assert sends(driver.arrive(key=8)[1])
    (send,) = sends(driver.end(first, server))
    assert send.request == second
    third = driver.arrive(key=7, client_timeout_us=900_000)[0]
    driver.now_us += 10_000
    assert finals(driver.end(second, send.server, Outcome.RESET)) == [Fail(second)]
    rest = driver.timers[-1]
    assert rest.due_us == driver.now_us + 50_000
    driver.now_us = rest.due_us
    (send,) = sends(driver.handle(TimerFired(rest.token)))
    assert send.request == third
    driver.end(third, send.server)
    assert 7 not in driver.balancer.ordered_keys


def test_a_popular_key_is_refused_before_a_line_that_cannot_be_served() -> None:
    """The hopeless one was refused its place in line, then sent out of turn all the same."""
    driver = Driver(ORDERED)
    told = [driver.arrive(key=7, client_timeout_us=400_000)[1] for _ in range(30)]
    refused = [actions for actions in told if finals(actions)]
    assert len(refused) > 20 and sum(len(sends(actions)) for actions in told) == 1
    waiting = driver.timers[-1]
    driver.now_us = waiting.due_us
    assert finals(driver.handle(TimerFired(waiting.token)))


def test_requests_of_a_key_in_order_keep_their_line() -> None:
    in_order = RequestClass(
        latency_objective_us=200_000, request_timeout_us=400_000, effect=SAFE.effect, in_order=True
    )
    driver = Driver(replace(SETTINGS, classes=(in_order,)), servers=1)
    for key in range(BOUND):
        driver.arrive(0, key=key)
    name, actions = driver.arrive(0, key=99)
    assert [final.request for final in finals(actions)] == [name]


# The queues, by call


def a_request(name: str, key: int | None = 7) -> Request:
    return Request(name, 0, key, 1_000_000, 500_000, 1.0, True, 0.0)


def test_the_first_of_a_key_runs_and_the_others_wait_in_order() -> None:
    keys, first, second, third = OrderedKeys(), a_request("a"), a_request("b"), a_request("c")
    turns = [keys.join(request, 7, 0, 10.0, 1000) for request in (first, second, third)]
    assert turns == [Turn.NOW, Turn.WAITS, Turn.WAITS]
    assert keys.join(a_request("d", 8), 8, 0, 10.0, 1000) is Turn.NOW  # another key
    assert keys.leave(first) is second and keys.leave(second) is third
    assert keys.leave(third) is None and 7 not in keys and len(keys) == 1


def test_a_request_that_would_come_too_late_stays_out() -> None:
    keys = OrderedKeys()
    keys.join(a_request("a"), 7, 0, 100.0, 1000)
    keys.join(a_request("b"), 7, 0, 100.0, 1000)
    late = a_request("c")
    assert keys.join(late, 7, 801, 100.0, 1000) is Turn.TOO_LATE and not keys.is_queued(late)
    assert keys.join(late, 7, 800, 100.0, 1000) is Turn.WAITS and keys.is_queued(late)


def test_one_that_leaves_before_its_turn_gives_nobody_a_turn() -> None:
    keys, first, second, third = OrderedKeys(), a_request("a"), a_request("b"), a_request("c")
    for request in (first, second, third):
        keys.join(request, 7, 0, 10.0, 1000)
    assert keys.leave(second) is None and keys.leave(first) is third


def test_a_request_without_a_key_is_never_queued() -> None:
    keys = OrderedKeys()
    assert not keys.is_queued(a_request("a", None)) and keys.leave(a_request("a", None)) is None
