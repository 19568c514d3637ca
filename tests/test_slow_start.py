"""Slow start: the budget of work that may be sent to servers that are warming up."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest

from sagetrack.policy.endpoint_ring import Ring, RingPosition
from sagetrack.policy.events import ListedServer, ListKind, ServerStatus
from sagetrack.policy.fleet_size import FleetSize
from sagetrack.policy.latency import LatencyEstimator
from sagetrack.policy.slow_start import BUDGET_MARGIN, MAX_COST, SlowStart
from sagetrack.policy.state import Request, Server
from sagetrack.policy.subset_size import MIN_SUBSET, SubsetSize
from tests.helpers import SAFE, SETTINGS, Driver, send_actions, trip

WARMING_UP = replace(
    SETTINGS,
    start_capacity=0.2,
    warm_after_us=20_000_000,
    overload_multiple=3.0,
    overload_window_us=1_000_000,
    gateway_count=40,
)


SECOND_US = 1_000_000


def warming_up_driver(gateway_count: int) -> Driver:
    """Return a driver with 25 servers that have just started and one class with a long latency objective."""
    settings = replace(
        SETTINGS,
        gateway_count=gateway_count,
        warm_after_us=20 * SECOND_US,
        start_capacity=0.2,
        overload_window_us=3 * SECOND_US,
        overload_multiple=4.0,
        classes=(replace(SAFE, latency_objective_us=4 * SECOND_US, request_timeout_us=8 * SECOND_US),),
    )
    driver = Driver(settings, servers=0)
    driver.list_servers(*(ListedServer(n, ServerStatus.READY, started_us=driver.now_us) for n in range(25)))
    return driver


def test_all_gateways_together_keep_a_warming_up_server_within_its_budget() -> None:
    """Guards against forty gateways sending their first request as soon as a server is listed."""
    work_us = [0.0] * 20  # by window of half a second
    for gateway_index in range(40):
        driver = Driver(replace(WARMING_UP, gateway_index=gateway_index), servers=0, seed=gateway_index)
        driver.list_servers(ListedServer(1, started_us=driver.now_us))
        for step in range(1_000):
            name, actions = driver.arrive()
            if send_actions(actions):
                work_us[step // 50] += driver.balancer.latency.baseline_us[0]
                driver.end(name, 1, latency_us=30_000)
            driver.now_us += 10_000
    for first, second in pairwise(work_us):
        assert first + second <= 3.0 * 0.6 * 1_000_000
    assert sum(work_us) > 0


def test_a_warming_up_server_far_outside_the_subset_is_not_used() -> None:
    """Guards against many gateways moving from failing servers to the same server that is warming up."""
    driver = Driver(replace(WARMING_UP, gateway_count=300), servers=60)
    last_in_rank = driver.balancer.ring.ranked[-1].entry.server
    for server in driver.balancer.ring.ranked[:-1]:
        trip(server.breaker, driver.now_us)
    driver.list_servers(ListedServer(last_in_rank, started_us=driver.now_us - 1), kind=ListKind.DELTA)
    assert driver.balancer.selector.subset(0) == []


def test_learned_latency_speeds_up_a_small_slow_start_budget() -> None:
    """Responses correct the initial cost estimate, which is too high if the latency objective is long."""
    driver = warming_up_driver(200)
    server = driver.balancer.ring.ranked[0]
    name, _ = driver.arrive(client_timeout_us=8 * SECOND_US)
    request = next(iter(driver.balancer.requests), None)
    assert request is not None
    drained_us, cost_us = driver.balancer.slow_start.budget_terms(driver.now_us, server, request)
    assert cost_us == MAX_COST * SECOND_US  # the initial estimate is a quarter of the objective
    # Five responses of 100 ms each.
    driver.balancer.latency.response_counts[0], driver.balancer.latency.latency_sums_us[0] = 5, 500_000.0
    drained_after_learning_us, cost_after_learning_us = driver.balancer.slow_start.budget_terms(
        driver.now_us, server, request
    )
    assert cost_after_learning_us == cost_us and drained_after_learning_us > 4 * drained_us
    assert drained_after_learning_us <= cost_us  # at most one request per window


def test_learned_latency_does_not_change_a_budget_that_holds_a_request() -> None:
    driver = warming_up_driver(2)
    driver.arrive(client_timeout_us=8 * SECOND_US)
    request = next(iter(driver.balancer.requests))
    server = driver.balancer.ring.ranked[0]
    half_us = (
        driver.balancer.slow_start.window_budget_us()
        * driver.balancer.slow_start.capacity_share(driver.now_us, server)
        / 2
    )
    assert driver.balancer.slow_start.budget_terms(driver.now_us, server, request) == (
        half_us,
        driver.balancer.slow_start.cost_us(request),
    )


def test_overload_of_warm_servers_does_not_raise_the_slow_start_cost_of_a_request() -> None:
    """A request is charged a bounded multiple of its baseline latency."""
    driver = Driver()
    name, _ = driver.arrive()
    request = driver.balancer.requests.get(name)
    assert request is not None
    driver.balancer.latency.smoothed_us[0] = 10 * driver.balancer.latency.baseline_us[0]
    assert driver.balancer.slow_start.cost_us(request) == MAX_COST * driver.balancer.latency.baseline_us[0]


def test_draining_servers_take_no_place_in_the_subset_from_new_ones() -> None:
    """Guards against too few usable servers after a rollout, when draining servers kept their positions."""
    driver = Driver(
        replace(SETTINGS, gateway_count=14, warm_after_us=60_000_000, start_capacity=0.9), servers=0
    )
    started = driver.now_us
    draining = [ListedServer(n, ServerStatus.DRAINING) for n in range(20)]
    new = [ListedServer(n, started_us=started) for n in range(20, 40)]
    driver.list_servers(*draining, *new)
    for _ in range(400):
        driver.now_us += 20_000
        name, actions = driver.arrive()
        for send in send_actions(actions):
            assert send.server >= 20
            driver.end(name, send.server)
    used = [s for s in driver.balancer.ring.ranked if s.last_success_us]
    assert len(used) >= MIN_SUBSET


# SlowStart without a load balancer


def make_slow_start(gateways: int = 1) -> tuple[SlowStart, FleetSize, SubsetSize, Server, Request]:
    """SlowStart of one gateway and what it depends on, with one new server and a request."""
    settings = replace(
        SETTINGS,
        gateway_count=gateways,
        start_capacity=0.25,
        warm_after_us=8 * SECOND_US,
        overload_multiple=2.0,
        overload_window_us=SECOND_US,
    )
    fleet, subset, ring = FleetSize(settings), SubsetSize(), Ring[Server](0, gateways)
    server = Server(ListedServer(1, started_us=1), 1.0, 0.5, 1.0, 8 * SECOND_US)
    ring.change({1: RingPosition(server.rank, server)})
    slow_start = SlowStart(settings, fleet, LatencyEstimator(settings.classes), subset, ring)
    request = Request("r", 0, None, SECOND_US, SECOND_US, 1.0, True, 0.0)
    return slow_start, fleet, subset, server, request


def test_capacity_ramps_up_from_the_start_share_to_all() -> None:
    slow_start, _, _, server, _ = make_slow_start()
    shares = [slow_start.capacity_share(now_us, server) for now_us in (0, 4 * SECOND_US, 8 * SECOND_US)]
    assert shares == [0.25, 0.625, 1.0]


def test_the_budget_is_used_up_by_requests_and_drains_within_a_window() -> None:
    slow_start, _, _, server, request = make_slow_start()
    drained_us, cost_us = slow_start.budget_terms(0, server, request)
    assert drained_us == BUDGET_MARGIN * 2.0 * SECOND_US * 0.25 / 2 and cost_us < drained_us
    sent = 0
    while slow_start.has_budget(0, server, request):
        slow_start.charge(0, server, request)
        sent += 1
    assert sent == int(drained_us / cost_us)
    assert slow_start.has_budget(SECOND_US, server, request)  # the bucket has drained completely
    assert server.slow_start_used_us == 0.0


def test_a_warm_server_uses_no_budget() -> None:
    slow_start, _, _, server, request = make_slow_start()
    slow_start.charge(8 * SECOND_US, server, request)
    assert server.slow_start_used_us == 0.0


def test_gateways_and_processes_share_the_budget() -> None:
    slow_start, fleet, _, _, _ = make_slow_start(gateways=3)
    alone_us = make_slow_start()[0].window_budget_us()
    assert slow_start.window_budget_us() == pytest.approx(alone_us / 3)
    fleet.set_processes(2)
    assert slow_start.window_budget_us() == pytest.approx(alone_us / 6)


def test_restoring_the_used_budget_never_lowers_it() -> None:
    slow_start, _, _, server, _ = make_slow_start()
    slow_start.start(server, 0, 500.0)
    slow_start.restore_used(server, 400.0)
    assert server.slow_start_used_us == 500.0
    slow_start.restore_used(server, 600.0)
    assert server.slow_start_used_us == 600.0
