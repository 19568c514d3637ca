"""Tests of the Retry-After of rejected requests."""

from __future__ import annotations

from sagetrack.policy.actions import Reject
from tests.helpers import Driver, final_actions, trip


def test_retry_after_is_the_shortest_cooldown_when_all_breakers_are_open() -> None:
    driver = Driver(servers=2)
    for number, server in driver.balancer.servers.items():
        trip(server.breaker, driver.now_us + number * 100_000)
    driver.now_us += 400_000
    name, actions = driver.arrive()
    assert final_actions(actions) == [Reject(name, 600_000)]
