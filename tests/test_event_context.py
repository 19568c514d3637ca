"""Tests of the event context: its clock and its log rate limit."""

from __future__ import annotations

from sagetrack.policy.actions import Log
from sagetrack.policy.event_context import MIN_LOG_INTERVAL_US
from sagetrack.policy.events import RequestCancelled
from tests.helpers import Driver


def test_log_lines_are_rate_limited() -> None:
    driver = Driver()
    first, second = driver.arrive(class_index=7)[1], driver.arrive(class_index=7)[1]
    driver.now_us += MIN_LOG_INTERVAL_US
    third = driver.arrive(class_index=7)[1]
    assert [sum(isinstance(a, Log) for a in actions) for actions in (first, second, third)] == [1, 0, 1]


def test_a_clock_step_backwards_does_not_move_time_back() -> None:
    driver = Driver()
    driver.balancer.handle(driver.now_us, RequestCancelled("none"))
    driver.balancer.handle(driver.now_us - 5_000_000, RequestCancelled("none"))
    assert driver.balancer.context.now_us == driver.now_us
