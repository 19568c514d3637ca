"""A gateway's share of what servers hold, kept over time: all gateways keep the whole without a message."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sagetrack.policy.concurrency_share import (
    BOOST_CUT,
    BOOST_STEP,
    MAX_BOOST,
    MAX_DEBT_US,
    MAX_SAVED_US,
    ConcurrencyShare,
)
from sagetrack.policy.events import (
    FleetSizeChanged,
    ListedServer,
    Outcome,
    ProcessCountChanged,
    RequestCancelled,
    ServerStatus,
    TimerFired,
)
from sagetrack.policy.fleet_size import DEFAULT_MAX_CONCURRENCY
from sagetrack.policy.in_flight import PLANNED_CONCURRENCY
from tests.helpers import SETTINGS, Driver, sends, timers, trip

SECOND_US = 1_000_000


MANY = replace(SETTINGS, gateway_count=20, max_retry_after_us=2_000_000)


def held_in_the_mean(gateways: int, places: float, each_us: int, seed: int, seconds: int = 60) -> float:
    """Attempts out over all gateways in the mean, where all of them always have work."""
    draw, part = random.Random(seed), places / gateways
    parts, out = [ConcurrencyShare() for _ in range(gateways)], [0] * gateways
    held_us, end_us = 0.0, seconds * SECOND_US
    due = [(draw.randrange(SECOND_US), number, False) for number in range(gateways)]
    heapq.heapify(due)
    while due and due[0][0] < end_us:
        now, number, ends = heapq.heappop(due)
        mine = parts[number]
        mine.pass_time(now, out[number])
        out[number] -= ends
        while (wait := mine.wait_us(now, out[number], part)) == 0 and out[number] < 3:
            out[number] += 1
            took = int(each_us * draw.uniform(0.5, 1.5))
            held_us += took
            heapq.heappush(due, (now + took, number, True))
        if wait:
            heapq.heappush(due, (now + wait, number, False))
    return held_us / end_us


def busy(driver: Driver, count: int) -> list[tuple[str, int]]:
    """Arrivals, as long as they are sent at once."""
    held = []
    for _ in range(count):
        name, actions = driver.arrive()
        if not (sent := sends(actions)):
            break
        held.append((name, sent[0].server))
    return held


@pytest.mark.parametrize("gateways", [10, 50, 200, 730])
def test_all_together_hold_what_there_are_places_for_whoever_has_work(gateways: int) -> None:
    places = PLANNED_CONCURRENCY * DEFAULT_MAX_CONCURRENCY * 50
    held = held_in_the_mean(gateways, places, 300_000, seed=gateways)
    assert 0.9 * min(places, 3 * gateways) <= held <= 1.05 * places


@given(
    st.lists(st.tuples(st.integers(0, 5 * SECOND_US), st.integers(0, 40)), max_size=60),
    st.floats(0.01, 20.0),
)
@settings(max_examples=200, deadline=None)
def test_a_wait_is_bounded_whatever_was_held(held: list[tuple[int, int]], part: float) -> None:
    """What hung for long is forgiven in part: nobody is silenced for longer than what may be owed."""
    mine, now, out = ConcurrencyShare(), 0, 0
    mine.wait_us(now, 0, part)
    for passed_us, then in held:
        now += passed_us
        mine.pass_time(now, out)
        out = then
    wait = mine.wait_us(now, 0, part)
    assert wait is not None and 0 <= wait <= MAX_DEBT_US + 1
    assert mine.wait_us(now + wait, 0, part) == 0


def test_little_is_saved() -> None:
    """Who had nothing to send for an hour may hold little more than its part, or all would fill a queue."""
    mine = ConcurrencyShare()
    mine.wait_us(0, 0, 0.5)
    now = 3600 * SECOND_US
    assert mine.wait_us(now, 0, 0.5) == 0
    used_us = int(MAX_SAVED_US) + 2  # with one out, half of its credit is earned meanwhile: 0.5 of 1 in each
    assert mine.wait_us(now + used_us, 1, 0.5) is None  # and one out is more than its part
    assert mine.wait_us(now + used_us, 0, 0.5) in range(1, 4)


def test_who_is_short_though_answers_come_at_once_takes_more_and_gives_it_back_sooner() -> None:
    mine = ConcurrencyShare()
    mine.wait_us(0, 0, 1.0)
    mine.learn(0.0)
    assert mine.boost == 1.0  # it was not short
    for _ in range(20):
        assert mine.wait_us(0, 99, 1.0) is None
        mine.learn(0.5)
    eased = mine.boost
    assert eased == pytest.approx(1.0 + 20 * BOOST_STEP)
    mine.learn(1.5)  # neither prompt nor late
    assert mine.boost == eased
    mine.learn(2.5)
    assert mine.boost == pytest.approx(eased * BOOST_CUT)
    for _ in range(20):
        mine.learn(math.inf)
    assert mine.boost == 1.0
    for _ in range(1000):
        mine.wait_us(0, 99, 1.0)
        mine.learn(0.0)
    assert mine.boost == MAX_BOOST


def test_who_has_used_up_its_part_waits_for_it_and_is_sent_by_the_clock() -> None:
    driver = Driver(MANY, servers=4)  # a part of 0.85 * 3 * 4 / 20 = 0.51
    first, actions = driver.arrive()
    (send,) = sends(actions)
    driver.now_us += 200_000
    driver.end(first, send.server)
    name, actions = driver.arrive()
    assert not sends(actions)
    by_part = next(timer for timer in timers(actions) if timer.token == driver.balancer.in_flight.timer_token)
    part = PLANNED_CONCURRENCY * DEFAULT_MAX_CONCURRENCY * 4 / 20
    assert by_part.due_us - driver.now_us == pytest.approx(200_000 * (1 - part) / part, abs=1_000)
    driver.now_us = by_part.due_us
    actions = driver.handle(TimerFired(by_part.token))
    waits_for = [send.request for send in sends(actions)]
    assert waits_for == ([name] if name in driver.balancer.requests else [])


def test_with_as_many_places_as_proxies_nothing_is_kept_over_time() -> None:
    for gateway_count in (1, 2, 3):
        driver = Driver(replace(MANY, gateway_count=gateway_count), servers=4)
        assert len(busy(driver, 40)) == 4 * -(-int(DEFAULT_MAX_CONCURRENCY) // gateway_count)
        assert driver.balancer.in_flight.timer_token == -1


def test_the_part_follows_the_number_of_gateways_known_to_live_and_of_processes() -> None:
    """A number that is not known is the settings'; half of them dead grows a part within the margin only."""

    def wait_us(*events: FleetSizeChanged | ProcessCountChanged) -> int:
        driver = Driver(replace(MANY, gateway_count=40), servers=8)
        for event in events:
            driver.handle(event)
        name, actions = driver.arrive()
        driver.now_us += 300_000
        driver.end(name, sends(actions)[0].server)
        _, actions = driver.arrive()
        (timer,) = [t for t in timers(actions) if t.token == driver.balancer.in_flight.timer_token]
        return timer.due_us - driver.now_us

    alone = wait_us()
    assert wait_us(FleetSizeChanged(30)) < alone  # a quarter of them is known to be dead
    assert wait_us(FleetSizeChanged(22)) == wait_us(FleetSizeChanged(30))  # no part grows by more
    assert wait_us(FleetSizeChanged(10)) == alone  # a minority may be what is cut off
    assert wait_us(ProcessCountChanged(2)) > alone  # the old process and the new one are one gateway


def test_a_server_whose_breaker_is_open_adds_nothing_to_the_part() -> None:
    driver = Driver(MANY, servers=4)
    for _ in range(40):
        driver.now_us += SECOND_US
        name, actions = driver.arrive()
        for send in sends(actions):
            bad = send.server == driver.balancer.ring.ranked[0].entry.server
            driver.end(name, send.server, outcome=Outcome.CONNECT_FAILED if bad else Outcome.OK)
        driver.handle(RequestCancelled(name))
        if driver.balancer.endpoints.tripped:
            break
    assert [server.entry.server for server in driver.balancer.endpoints.tripped] == [
        driver.balancer.ring.ranked[0].entry.server
    ]
    gone = driver.balancer.ring.ranked[0].entry
    driver.list_servers(*(s.entry for s in driver.balancer.ring.ranked[1:]), replace(gone, started_us=1))
    assert not driver.balancer.endpoints.tripped  # another life of it


def test_servers_that_drain_with_an_open_breaker_take_nothing_off_the_part() -> None:
    """After a release as many may drain as are ready: a part of nothing would silence the gateway."""
    driver = Driver(MANY, servers=4)
    for server in driver.balancer.servers.values():
        trip(server.breaker, driver.now_us)
        driver.balancer.endpoints.breaker_changed(server)
    old = [ListedServer(n, ServerStatus.DRAINING) for n in range(4)]
    driver.list_servers(*old, *(ListedServer(n) for n in range(10, 14)))
    assert not driver.balancer.endpoints.tripped
    sent = 0
    for _ in range(40):
        driver.now_us += 500_000
        name, actions = driver.arrive()
        for send in sends(actions):
            sent += 1
            driver.now_us += 200_000
            driver.end(name, send.server, latency_us=200_000)
    assert sent == 40
