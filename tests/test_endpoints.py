"""Endpoint lists: ready servers, restarts, and polling again after an error."""

from __future__ import annotations

from dataclasses import replace

from sagetrack.policy.actions import WatchEndpoints
from sagetrack.policy.events import EndpointList, ListedServer, ListKind, ServerStatus, TimerFired
from tests.helpers import SETTINGS, Driver, send_actions, timer_actions


def test_a_draining_or_gone_server_gets_no_new_requests() -> None:
    driver = Driver(servers=3)
    driver.list_servers(
        ListedServer(0, ServerStatus.DRAINING), ListedServer(1, ServerStatus.GONE), kind=ListKind.DELTA
    )
    for _ in range(3):
        assert send_actions(driver.arrive()[1])[0].server == 2


def test_a_full_list_removes_unlisted_servers_and_a_restart_resets_the_breaker() -> None:
    driver = Driver(servers=3)
    driver.balancer.servers[1].breaker.record(0, True, 0, 0.0)
    driver.list_servers(ListedServer(1, started_us=driver.now_us))
    assert list(driver.balancer.servers) == [1]
    assert driver.balancer.servers[1].breaker.failures == 0


def test_the_endpoint_list_is_requested_and_requested_again_after_an_error() -> None:
    driver = Driver(replace(SETTINGS, endpoints_are_pushed=False), servers=0)
    (timer,) = timer_actions(driver.list_servers(ListedServer(1), kind=ListKind.DISK))
    # The delay is random, so that gateways that start together do not poll together.
    assert 0 <= timer.due_us - driver.now_us < SETTINGS.max_poll_interval_us / 5
    driver.now_us = timer.due_us
    assert driver.handle(TimerFired(timer.token)) == [WatchEndpoints()]
    for _ in range(8):
        (timer,) = timer_actions(driver.handle(EndpointList(ListKind.ERROR)))
        assert 0 < timer.due_us - driver.now_us < SETTINGS.max_poll_interval_us
        driver.now_us = timer.due_us
        assert driver.handle(TimerFired(timer.token)) == [WatchEndpoints()]
    assert list(driver.balancer.servers) == [1]


def test_a_new_server_starts_at_the_mean_weight() -> None:
    driver = Driver(servers=2)
    driver.balancer.servers[0].weight = 0.2
    driver.balancer.servers[1].weight = 0.6
    driver.list_servers(ListedServer(9), kind=ListKind.DELTA)
    assert driver.balancer.servers[9].weight == 0.4
