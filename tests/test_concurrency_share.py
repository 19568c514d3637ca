"""The concurrency share: all gateways together stay within the total without communication."""

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
from tests.helpers import SETTINGS, Driver, send_actions, timer_actions, trip

SECOND_US = 1_000_000


MANY_GATEWAYS = replace(SETTINGS, gateway_count=20, max_retry_after_us=2_000_000)


def mean_in_flight(
    gateways: int, capacity: float, mean_latency_us: int, seed: int, seconds: int = 60
) -> float:
    """Return the mean number of attempts in flight at all gateways, each of which always has requests."""
    rng, share = random.Random(seed), capacity / gateways
    credits, in_flight = [ConcurrencyShare() for _ in range(gateways)], [0] * gateways
    total_latency_us, end_us = 0.0, seconds * SECOND_US
    events = [(rng.randrange(SECOND_US), number, False) for number in range(gateways)]
    heapq.heapify(events)
    while events and events[0][0] < end_us:
        now_us, number, ends = heapq.heappop(events)
        credit = credits[number]
        credit.update_credit(now_us, in_flight[number])
        in_flight[number] -= ends
        while (wait := credit.wait_us(now_us, in_flight[number], share)) == 0 and in_flight[number] < 3:
            in_flight[number] += 1
            latency_us = int(mean_latency_us * rng.uniform(0.5, 1.5))
            total_latency_us += latency_us
            heapq.heappush(events, (now_us + latency_us, number, True))
        if wait:
            heapq.heappush(events, (now_us + wait, number, False))
    return total_latency_us / end_us


def arrive_until_not_sent(driver: Driver, count: int) -> list[tuple[str, int]]:
    """Let up to `count` requests arrive until one is not sent at once; return the ids and servers."""
    in_flight = []
    for _ in range(count):
        name, actions = driver.arrive()
        if not (sent := send_actions(actions)):
            break
        in_flight.append((name, sent[0].server))
    return in_flight


@pytest.mark.parametrize("gateways", [10, 50, 200, 730])
def test_busy_gateways_together_use_the_planned_concurrency_without_exceeding_it(gateways: int) -> None:
    capacity = PLANNED_CONCURRENCY * DEFAULT_MAX_CONCURRENCY * 50
    in_flight = mean_in_flight(gateways, capacity, 300_000, seed=gateways)
    assert 0.9 * min(capacity, 3 * gateways) <= in_flight <= 1.05 * capacity


@given(
    st.lists(st.tuples(st.integers(0, 5 * SECOND_US), st.integers(0, 40)), max_size=60),
    st.floats(0.01, 20.0),
)
@settings(max_examples=200, deadline=None)
def test_a_wait_for_credit_is_bounded_after_any_history(history: list[tuple[int, int]], share: float) -> None:
    """Debt from hanging attempts is capped, so that a gateway is never blocked for longer than the cap."""
    credit, now_us, in_flight = ConcurrencyShare(), 0, 0
    credit.wait_us(now_us, 0, share)
    for passed_us, next_in_flight in history:
        now_us += passed_us
        credit.update_credit(now_us, in_flight)
        in_flight = next_in_flight
    wait = credit.wait_us(now_us, 0, share)
    assert wait is not None and 0 <= wait <= MAX_DEBT_US + 1
    assert credit.wait_us(now_us + wait, 0, share) == 0


def test_an_idle_gateway_saves_little_credit() -> None:
    """After an hour without traffic, a gateway may send only slightly more than its share.

    Otherwise all gateways could burst at the same time.
    """
    credit = ConcurrencyShare()
    credit.wait_us(0, 0, 0.5)
    now_us = 3600 * SECOND_US
    assert credit.wait_us(now_us, 0, 0.5) == 0
    used_us = int(MAX_SAVED_US) + 2  # half of the credit used by one attempt is earned back
    assert credit.wait_us(now_us + used_us, 1, 0.5) is None  # one attempt in flight exceeds the share
    assert credit.wait_us(now_us + used_us, 0, 0.5) in range(1, 4)


def test_the_boost_rises_with_prompt_responses_under_shortage_and_falls_faster_with_late_ones() -> None:
    credit = ConcurrencyShare()
    credit.wait_us(0, 0, 1.0)
    credit.learn(0.0)
    assert credit.boost == 1.0  # the share was not exhausted
    for _ in range(20):
        assert credit.wait_us(0, 99, 1.0) is None
        credit.learn(0.5)
    boosted = credit.boost
    assert boosted == pytest.approx(1.0 + 20 * BOOST_STEP)
    credit.learn(1.5)  # it queued, but it is not late
    assert credit.boost == boosted
    credit.learn(2.5)
    assert credit.boost == pytest.approx(boosted * BOOST_CUT)
    for _ in range(20):
        credit.learn(math.inf)
    assert credit.boost == 1.0
    for _ in range(1000):
        credit.wait_us(0, 99, 1.0)
        credit.learn(0.0)
    assert credit.boost == MAX_BOOST


def test_a_request_without_credit_waits_for_a_timer_and_is_then_sent() -> None:
    driver = Driver(MANY_GATEWAYS, servers=4)  # the share is 0.85 * 3 * 4 / 20 = 0.51
    first, actions = driver.arrive()
    (send,) = send_actions(actions)
    driver.now_us += 200_000
    driver.end(first, send.server)
    name, actions = driver.arrive()
    assert not send_actions(actions)
    credit_timer = next(
        timer for timer in timer_actions(actions) if timer.token == driver.balancer.in_flight.timer_token
    )
    share = PLANNED_CONCURRENCY * DEFAULT_MAX_CONCURRENCY * 4 / 20
    assert credit_timer.due_us - driver.now_us == pytest.approx(200_000 * (1 - share) / share, abs=1_000)
    driver.now_us = credit_timer.due_us
    actions = driver.handle(TimerFired(credit_timer.token))
    sent = [send.request for send in send_actions(actions)]
    assert sent == ([name] if name in driver.balancer.requests else [])


def test_no_credit_is_kept_when_each_gateway_may_have_a_request_at_each_server() -> None:
    for gateway_count in (1, 2, 3):
        driver = Driver(replace(MANY_GATEWAYS, gateway_count=gateway_count), servers=4)
        assert len(arrive_until_not_sent(driver, 40)) == 4 * -(-int(DEFAULT_MAX_CONCURRENCY) // gateway_count)
        assert driver.balancer.in_flight.timer_token == -1


def test_the_share_follows_the_number_of_live_gateways_and_of_processes() -> None:
    """Without membership the configured number is used; the share grows only within its margin."""

    def wait_us(*events: FleetSizeChanged | ProcessCountChanged) -> int:
        driver = Driver(replace(MANY_GATEWAYS, gateway_count=40), servers=8)
        for event in events:
            driver.handle(event)
        name, actions = driver.arrive()
        driver.now_us += 300_000
        driver.end(name, send_actions(actions)[0].server)
        _, actions = driver.arrive()
        (timer,) = [t for t in timer_actions(actions) if t.token == driver.balancer.in_flight.timer_token]
        return timer.due_us - driver.now_us

    configured_us = wait_us()
    # A quarter of the gateways are known to have failed.
    assert wait_us(FleetSizeChanged(30)) < configured_us
    # The share grows no further.
    assert wait_us(FleetSizeChanged(22)) == wait_us(FleetSizeChanged(30))
    # A minority may itself be the partitioned side.
    assert wait_us(FleetSizeChanged(10)) == configured_us
    # The old and the new process of a hot restart are one gateway.
    assert wait_us(ProcessCountChanged(2)) > configured_us


def test_a_server_with_an_open_breaker_adds_nothing_to_the_share() -> None:
    driver = Driver(MANY_GATEWAYS, servers=4)
    for _ in range(40):
        driver.now_us += SECOND_US
        name, actions = driver.arrive()
        for send in send_actions(actions):
            is_failing = send.server == driver.balancer.ring.ranked[0].entry.server
            driver.end(name, send.server, outcome=Outcome.CONNECT_FAILED if is_failing else Outcome.OK)
        driver.handle(RequestCancelled(name))
        if driver.balancer.endpoints.tripped:
            break
    assert [server.entry.server for server in driver.balancer.endpoints.tripped] == [
        driver.balancer.ring.ranked[0].entry.server
    ]
    failing = driver.balancer.ring.ranked[0].entry
    driver.list_servers(*(s.entry for s in driver.balancer.ring.ranked[1:]), replace(failing, started_us=1))
    assert not driver.balancer.endpoints.tripped  # the restarted server has a new breaker


def test_draining_servers_with_open_breakers_do_not_lower_the_share() -> None:
    """Guards against a share of zero after a rollout, when as many servers are draining as are ready."""
    driver = Driver(MANY_GATEWAYS, servers=4)
    for server in driver.balancer.servers.values():
        trip(server.breaker, driver.now_us)
        driver.balancer.endpoints.breaker_changed(server)
    draining = [ListedServer(n, ServerStatus.DRAINING) for n in range(4)]
    driver.list_servers(*draining, *(ListedServer(n) for n in range(10, 14)))
    assert not driver.balancer.endpoints.tripped
    sent = 0
    for _ in range(40):
        driver.now_us += 500_000
        name, actions = driver.arrive()
        for send in send_actions(actions):
            sent += 1
            driver.now_us += 200_000
            driver.end(name, send.server, latency_us=200_000)
    assert sent == 40
