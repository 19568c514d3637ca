"""Tests of timers: each token fires once, with the purpose that the timer was set for."""

from __future__ import annotations

from sagetrack.policy.actions import SetTimer
from sagetrack.policy.event_context import EventContext
from sagetrack.policy.timers import ENDPOINT_LIST_TOKEN, TimerPurpose, Timers


def test_timer_tokens_increase_and_each_fires_once() -> None:
    context = EventContext(1)
    timers = Timers(context)
    first = timers.set(10, TimerPurpose.REQUEST)
    second = timers.set(5, TimerPurpose.CONCURRENCY_SHARE)
    assert context.actions == [SetTimer(10, first), SetTimer(5, second)] and (first, second) == (1, 2)
    fired = timers.fire(second)
    assert fired is not None and fired.purpose is TimerPurpose.CONCURRENCY_SHARE
    assert timers.fire(second) is None and timers.fire(99) is None and list(timers.pending) == [first]


def test_the_timer_of_the_endpoint_list_may_fire_repeatedly() -> None:
    context = EventContext(1)
    timers = Timers(context)
    timers.set_for_endpoint_list(7)
    assert context.actions == [SetTimer(7, ENDPOINT_LIST_TOKEN)] and not timers.pending
    for _ in range(2):
        fired = timers.fire(ENDPOINT_LIST_TOKEN)
        assert fired is not None and fired.purpose is TimerPurpose.ENDPOINT_LIST
