"""Tests of the concurrency bound per server, and of requests that wait for capacity."""

from __future__ import annotations

from dataclasses import replace

from sagetrack.policy.actions import Reject
from sagetrack.policy.capacity_wait import MAX_WAIT_SHARE
from sagetrack.policy.events import Outcome, RequestCancelled, TimerFired
from sagetrack.policy.fleet_size import DEFAULT_MAX_CONCURRENCY
from sagetrack.policy.retry_after import DEFAULT_RETRY_AFTER_SHARE
from tests.helpers import SAFE, SETTINGS, Driver, final_actions, send_actions, timer_actions

MAX_PER_SERVER = int(DEFAULT_MAX_CONCURRENCY)  # with one gateway


WITH_RETRY_AFTER = replace(SETTINGS, max_retry_after_us=2_000_000)


def fill_servers(driver: Driver, servers: int, class_index: int = 0) -> list[tuple[str, int]]:
    """Send requests until all servers are at their concurrency limit; return the id and server of each."""
    in_flight = []
    for _ in range(MAX_PER_SERVER * servers):
        name, actions = driver.arrive(class_index)
        (send,) = send_actions(actions)
        in_flight.append((name, send.server))
    return in_flight


def test_all_gateways_together_keep_to_the_concurrency_bound_of_a_server() -> None:
    for gateway_count in (1, 2, 3, 48):
        driver = Driver(replace(SETTINGS, gateway_count=gateway_count), servers=2)
        for _ in range(40):
            driver.arrive()
        in_flight = [len(s.in_flight) for s in driver.balancer.servers.values()]
        if gateway_count <= MAX_PER_SERVER:
            bound_per_gateway = max(1, -(-MAX_PER_SERVER // gateway_count))
            assert in_flight == [bound_per_gateway, bound_per_gateway]
        else:  # the share is below one request: one attempt, and a second one only from saved credit
            assert sorted(in_flight) == [0, 1]


def test_a_request_without_capacity_waits_and_is_sent_when_an_attempt_ends() -> None:
    driver = Driver(servers=2)
    in_flight = fill_servers(driver, 2)
    name, actions = driver.arrive()
    assert not send_actions(actions) and not final_actions(actions) and len(timer_actions(actions)) == 1
    driver.now_us += 1_000
    actions = driver.end(*in_flight[0])
    assert [(send.request, send.server) for send in send_actions(actions)] == [(name, in_flight[0][1])]
    (timer,) = [timer for timer in driver.timers if timer.due_us == min(t.due_us for t in driver.timers)]

    driver.now_us = timer.due_us
    assert not driver.handle(TimerFired(timer.token))  # no effect: the request has been sent
    driver.end(name, in_flight[0][1])


def test_the_waiting_request_of_highest_priority_weight_is_sent_first() -> None:
    classes = (SAFE, replace(SAFE, priority_weight=50.0))
    driver = Driver(replace(SETTINGS, classes=classes), servers=1)
    in_flight = fill_servers(driver, 1)
    low, _ = driver.arrive(0)
    high, _ = driver.arrive(1)
    order = []
    for name, server in in_flight[:2]:
        order += [send.request for send in send_actions(driver.end(name, server))]
    assert order == [high, low]


def test_a_wait_takes_a_small_part_of_the_timeout_and_ends_with_a_retry_after() -> None:
    driver = Driver(WITH_RETRY_AFTER, servers=1)
    fill_servers(driver, 1)
    name, actions = driver.arrive()
    (timer,) = timer_actions(actions)
    assert 0 < timer.due_us - driver.now_us <= MAX_WAIT_SHARE * 400_000
    driver.now_us = timer.due_us
    (rejected,) = driver.handle(TimerFired(timer.token))
    assert rejected == Reject(name, int(DEFAULT_RETRY_AFTER_SHARE * SAFE.latency_objective_us))
    assert name not in driver.balancer.requests and not driver.balancer.capacity_wait


def test_a_request_that_no_server_can_take_in_time_is_rejected_at_once() -> None:
    driver = Driver(WITH_RETRY_AFTER, servers=0)
    _, actions = driver.arrive()
    assert len(final_actions(actions)) == 1 and not timer_actions(actions)
    driver = Driver(WITH_RETRY_AFTER, servers=1)
    fill_servers(driver, 1)
    _, actions = driver.arrive(client_timeout_us=1_000)  # counts as a late retry, which has no time to wait
    assert len(final_actions(actions)) == 1


def test_a_cancelled_request_leaves_the_capacity_wait() -> None:
    driver = Driver(servers=1)
    in_flight = fill_servers(driver, 1)
    name, _ = driver.arrive()
    driver.handle(RequestCancelled(name))
    assert not driver.balancer.capacity_wait and name not in driver.balancer.requests
    assert not send_actions(driver.end(*in_flight[0], outcome=Outcome.OK))
