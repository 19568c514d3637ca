"""Tests of hedged requests: a second attempt beside a stalled one."""

from __future__ import annotations

from dataclasses import replace

from sagetrack.policy.actions import Cancel
from sagetrack.policy.events import Outcome, TimerFired
from sagetrack.policy.latency import STALL_FACTOR
from tests.helpers import SETTINGS, Driver, send_actions, timer_actions


def test_a_stalled_attempt_is_hedged_and_cancelled_when_the_hedge_responds() -> None:
    driver = Driver()
    driver.balancer.latency.smoothed_us[0] = 20_000.0
    name, actions = driver.arrive()
    first = send_actions(actions)[0].server
    (timer,) = timer_actions(actions)
    assert timer.due_us == driver.now_us + int(STALL_FACTOR * 20_000)
    driver.now_us = timer.due_us
    hedge = send_actions(driver.handle(TimerFired(timer.token)))[0]
    assert hedge.server != first
    assert driver.end(name, hedge.server, attempt=1) == [Cancel(name, 0)]
    driver.end(name, first, Outcome.CANCELLED)
    assert driver.balancer.servers[first].breaker.failures == 1  # the stall counts as a failure
    assert not driver.balancer.requests


def test_nothing_is_hedged_where_the_settings_forbid_it() -> None:
    driver = Driver(replace(SETTINGS, hedging=False))
    driver.balancer.latency.smoothed_us[0] = 20_000.0
    _, actions = driver.arrive()
    (timer,) = timer_actions(actions)
    driver.now_us = timer.due_us
    assert not send_actions(driver.handle(TimerFired(timer.token)))
