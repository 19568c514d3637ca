"""Tests of server selection: eligible servers, the subset of a gateway, and selection weights."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from sagetrack.policy.actions import Action
from sagetrack.policy.circuit_breaker import FIRST_COOLDOWN_US
from sagetrack.policy.events import ListedServer, TimerFired
from sagetrack.policy.latency import STALL_FACTOR
from sagetrack.policy.settings import Prices
from sagetrack.policy.state import rendezvous
from sagetrack.policy.subset_size import MIN_SUBSET
from tests.helpers import SETTINGS, Driver, send_actions, trip

SECOND_US = 1_000_000


MANY_GATEWAYS = replace(SETTINGS, gateway_count=20, max_retry_after_us=2_000_000)


def arrive_while_sent(driver: Driver, count: int) -> list[tuple[str, int]]:
    """Deliver up to `count` requests while each is sent at once; return the id and server of each."""
    in_flight = []
    for _ in range(count):
        name, actions = driver.arrive()
        if not (sent := send_actions(actions)):
            break
        in_flight.append((name, sent[0].server))
    return in_flight


def test_an_unsafe_request_is_not_used_as_a_half_open_trial() -> None:
    driver = Driver(servers=2)
    breaker = driver.balancer.servers[0].breaker
    trip(breaker, driver.now_us)
    driver.now_us = breaker.open_until_us
    for _ in range(2):
        assert send_actions(driver.arrive(class_index=2)[1])[0].server == 1


def test_a_stalled_server_gets_no_further_requests() -> None:
    driver = Driver(servers=1)
    driver.arrive(class_index=2)
    driver.now_us += int(STALL_FACTOR * max(driver.balancer.latency.smoothed_us)) + 1
    assert not send_actions(driver.arrive(class_index=2)[1])


def test_the_cross_zone_price_lowers_the_weight_of_servers_in_other_zones() -> None:
    driver = Driver(replace(SETTINGS, prices=Prices(cross_zone=0.05)), servers=0)
    driver.list_servers(ListedServer(1, zone=0), ListedServer(2, zone=1))
    to_own_zone = 0
    for _ in range(200):
        name, actions = driver.arrive()
        to_own_zone += send_actions(actions)[0].server == 1
        driver.end(name, send_actions(actions)[0].server)
    assert 130 < to_own_zone < 190


def test_requests_of_a_key_prefer_its_home_server_while_that_has_capacity() -> None:
    driver = Driver(replace(SETTINGS, warm_keys=True), servers=8)
    requests_by_server: dict[int, int] = {}
    for _ in range(100):
        name, actions = driver.arrive(key=77)
        server = send_actions(actions)[0].server
        requests_by_server[server] = requests_by_server.get(server, 0) + 1
        driver.end(name, server)
    assert max(requests_by_server.values()) > 50 and len(requests_by_server) > 1


def test_a_gateway_uses_only_its_subset() -> None:
    """Guards against full connection tables when each of hundreds of gateways connects to all servers.

    In that case, 90% of the attempts failed to connect.
    """
    used: set[int] = set()
    driver = Driver(replace(SETTINGS, gateway_count=300, gateway_index=5), servers=60)
    for _ in range(300):
        name, actions = driver.arrive()
        used.add(send_actions(actions)[0].server)
        driver.end(name, send_actions(actions)[0].server)
    assert len(used) <= MIN_SUBSET + 1


def test_subsets_load_servers_evenly_and_change_little_when_one_leaves() -> None:
    subsets_by_server = [0] * 40
    for gateway_index in range(400):
        ranks = sorted(range(40), key=lambda server: rendezvous(gateway_index, server, 1.0))
        without_server_3 = [server for server in ranks if server != 3]
        assert [server for server in ranks[:4] if server != 3] == without_server_3[: 4 - (3 in ranks[:4])]
        for server in ranks[:4]:
            subsets_by_server[server] += 1
    assert min(subsets_by_server) > 20 and max(subsets_by_server) < 65


def test_a_gateway_with_more_requests_in_flight_uses_more_servers() -> None:
    """Guards against overloading a fixed-size subset when one gateway receives much of the traffic."""
    driver = Driver(replace(SETTINGS, gateway_count=3), servers=60)
    used = {send_actions(driver.arrive(class_index=2)[1])[0].server for _ in range(40)}
    assert len(used) > 3 * MIN_SUBSET


def test_one_busy_gateway_of_many_enlarges_its_subset_gradually() -> None:
    """One of 300 gateways gets twelve times its share; it must never have two requests at one server."""
    driver = Driver(replace(SETTINGS, gateway_count=300, max_retry_after_us=2_000_000), servers=60)
    in_flight: list[tuple[int, str, int]] = []  # end time, request, server
    used: set[int] = set()
    arrived = sent = max_at_one_server = 0

    def record_sends(actions: list[Action]) -> None:
        nonlocal sent
        for send in send_actions(actions):
            in_flight.append((driver.now_us + 60_000, send.request, send.server))
            sent += arrived > 2_000
            if arrived > 2_000:
                used.add(send.server)

    for _ in range(4_000):  # 100 requests per second, each taking 60 ms
        arrived += 1
        driver.now_us += 10_000
        for due, name, server in [entry for entry in in_flight if entry[0] <= driver.now_us]:
            in_flight.remove((due, name, server))
            record_sends(driver.end(name, server, latency_us=60_000))
        for timer in [timer for timer in driver.timers if timer.due_us <= driver.now_us]:
            driver.timers.remove(timer)
            record_sends(driver.handle(TimerFired(timer.token)))
        record_sends(driver.arrive(class_index=2)[1])
        by_server = Counter(server for _, _, server in in_flight)
        max_at_one_server = max([max_at_one_server, *by_server.values()])
    assert sent > 0.98 * 2_000 and len(used) > MIN_SUBSET and max_at_one_server == 1


def test_a_server_with_an_open_breaker_is_replaced_in_the_subset_by_the_next_in_rank() -> None:
    driver = Driver(replace(SETTINGS, gateway_count=300), servers=60)
    subset = driver.balancer.selector.subset(0)
    trip(subset[0].breaker, driver.now_us)
    after = driver.balancer.selector.subset(0)
    assert subset[0] not in after and after[: len(subset) - 1] == subset[1:] and len(after) == len(subset)


def test_the_home_server_of_a_key_is_mostly_in_the_gateways_own_zone() -> None:
    """Guards against home servers chosen without regard to zones.

    In that case, half of the keys had their home in another zone, and a third of the attempts crossed zones.
    """
    prices = Prices(cross_zone=0.08)
    driver = Driver(replace(SETTINGS, warm_keys=True, prices=prices), servers=0)
    driver.list_servers(*(ListedServer(n, zone=n % 2) for n in range(10)))
    driver.balancer.subset_size.size = 10.0
    crossed = 0
    for key in range(400):
        name, actions = driver.arrive(key=key * 7919)
        (send,) = send_actions(actions)
        crossed += send.server % 2
        driver.end(name, send.server)
        driver.now_us += 10_000
        driver.balancer.subset_size.size = 10.0
    assert crossed < 50


def test_an_unsafe_request_is_sent_outside_the_subset_when_only_half_open_servers_are_inside() -> None:
    """Guards against rejecting unsafe requests, which cannot be trials, if the whole subset is half-open."""
    driver = Driver(servers=10)
    for server in driver.balancer.ring.ranked[:MIN_SUBSET]:
        server.breaker.open(driver.now_us)
    driver.now_us += FIRST_COOLDOWN_US
    _, actions = driver.arrive(class_index=2, client_timeout_us=1_000_000)
    assert send_actions(actions)


def test_subsets_of_all_gateways_cover_the_servers_evenly() -> None:
    subsets_by_server: dict[int, int] = {}
    for gateway_index in range(14):
        driver = Driver(
            replace(SETTINGS, gateway_count=14, gateway_index=gateway_index), servers=24, seed=gateway_index
        )
        for server in driver.balancer.ring.ranked[:6]:
            subsets_by_server[server.entry.server] = subsets_by_server.get(server.entry.server, 0) + 1
    assert len(subsets_by_server) == 24 and set(subsets_by_server.values()) <= {3, 4}


def test_the_subset_of_one_of_many_gateways_grows_no_larger_than_needed() -> None:
    """Each additional server is shared with more gateways, whose requests this gateway does not know of."""
    one_of_two = Driver(replace(MANY_GATEWAYS, gateway_count=2), servers=40)
    one_of_many = Driver(MANY_GATEWAYS, servers=40)
    for driver in (one_of_two, one_of_many):
        in_flight = arrive_while_sent(driver, 5)
        assert driver.balancer.subset_size.size == (
            MIN_SUBSET + len(in_flight) if driver is one_of_two else max(MIN_SUBSET, 1 + len(in_flight))
        )
        for name, server in in_flight:
            driver.end(name, server)
        for _ in range(20):
            driver.now_us += SECOND_US
            name, actions = driver.arrive()
            driver.end(name, send_actions(actions)[0].server)
    assert one_of_many.balancer.subset_size.size < MIN_SUBSET + 0.1 < one_of_two.balancer.subset_size.size
