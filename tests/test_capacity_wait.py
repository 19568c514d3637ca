"""What one server holds is bounded; a request that finds no capacity waits for a moment, or is rejected."""

from __future__ import annotations

from dataclasses import replace

from sagetrack.policy.actions import Reject
from sagetrack.policy.capacity_wait import MAX_WAIT_SHARE
from sagetrack.policy.events import Outcome, RequestCancelled, TimerFired
from sagetrack.policy.fleet_size import DEFAULT_MAX_CONCURRENCY
from sagetrack.policy.retry_after import COME_BACK_SHARE
from tests.helpers import SAFE, SETTINGS, Driver, finals, sends, timers

BOUND = int(DEFAULT_MAX_CONCURRENCY)  # with one gateway


LASTING = replace(SETTINGS, max_retry_after_us=2_000_000)


def full(driver: Driver, servers: int, class_index: int = 0) -> list[tuple[str, int]]:
    """Requests until every server holds as many as it may."""
    held = []
    for _ in range(BOUND * servers):
        name, actions = driver.arrive(class_index)
        (send,) = sends(actions)
        held.append((name, send.server))
    return held


def test_no_server_holds_more_than_the_bound_by_all_proxies() -> None:
    for gateway_count in (1, 2, 3, 48):
        driver = Driver(replace(SETTINGS, gateway_count=gateway_count), servers=2)
        for _ in range(40):
            driver.arrive()
        held = [len(s.in_flight) for s in driver.balancer.servers.values()]
        if gateway_count <= BOUND:
            bound = max(1, -(-BOUND // gateway_count))
            assert held == [bound, bound]
        else:  # a part of less than one place: one attempt, and nothing beside it that was not saved before
            assert sorted(held) == [0, 1]


def test_what_finds_no_room_waits_and_is_sent_when_there_is() -> None:
    driver = Driver(servers=2)
    held = full(driver, 2)
    name, actions = driver.arrive()
    assert not sends(actions) and not finals(actions) and len(timers(actions)) == 1
    driver.now_us += 1_000
    actions = driver.end(*held[0])
    assert [(send.request, send.server) for send in sends(actions)] == [(name, held[0][1])]
    (timer,) = [timer for timer in driver.timers if timer.due_us == min(t.due_us for t in driver.timers)]

    driver.now_us = timer.due_us
    assert not driver.handle(TimerFired(timer.token))  # its wait was over long ago
    driver.end(name, held[0][1])


def test_who_gains_the_most_is_sent_first() -> None:
    classes = (SAFE, replace(SAFE, priority_weight=50.0))
    driver = Driver(replace(SETTINGS, classes=classes), servers=1)
    held = full(driver, 1)
    cheap, _ = driver.arrive(0)
    dear, _ = driver.arrive(1)
    order = []
    for name, server in held[:2]:
        order += [send.request for send in sends(driver.end(name, server))]
    assert order == [dear, cheap]


def test_a_wait_is_a_small_part_of_the_time_and_ends_with_word_of_when_to_come_back() -> None:
    driver = Driver(LASTING, servers=1)
    full(driver, 1)
    name, actions = driver.arrive()
    (timer,) = timers(actions)
    assert 0 < timer.due_us - driver.now_us <= MAX_WAIT_SHARE * 400_000
    driver.now_us = timer.due_us
    (refused,) = driver.handle(TimerFired(timer.token))
    assert refused == Reject(name, int(COME_BACK_SHARE * SAFE.latency_objective_us))
    assert name not in driver.balancer.requests and not driver.balancer.capacity_wait


def test_what_no_server_could_take_is_answered_at_once() -> None:
    driver = Driver(LASTING, servers=0)
    _, actions = driver.arrive()
    assert len(finals(actions)) == 1 and not timers(actions)
    driver = Driver(LASTING, servers=1)
    full(driver, 1)
    _, actions = driver.arrive(client_timeout_us=1_000)  # no time to wait: a repeat, late
    assert len(finals(actions)) == 1


def test_a_client_that_goes_waits_no_longer() -> None:
    driver = Driver(servers=1)
    held = full(driver, 1)
    name, _ = driver.arrive()
    driver.handle(RequestCancelled(name))
    assert not driver.balancer.capacity_wait and name not in driver.balancer.requests
    assert not sends(driver.end(*held[0], outcome=Outcome.OK))
