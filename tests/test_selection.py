"""Which servers are eligible, the subset, and the weights of the draw."""

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
from tests.helpers import SETTINGS, Driver, sends, trip

SECOND_US = 1_000_000


MANY = replace(SETTINGS, gateway_count=20, max_retry_after_us=2_000_000)


def busy(driver: Driver, count: int) -> list[tuple[str, int]]:
    """Arrivals, as long as they are sent at once."""
    held = []
    for _ in range(count):
        name, actions = driver.arrive()
        if not (sent := sends(actions)):
            break
        held.append((name, sent[0].server))
    return held


def test_an_unsafe_request_is_no_trial() -> None:
    driver = Driver(servers=2)
    breaker = driver.balancer.servers[0].breaker
    trip(breaker, driver.now_us)
    driver.now_us = breaker.open_until_us
    for _ in range(2):
        assert sends(driver.arrive(class_index=2)[1])[0].server == 1


def test_a_silent_server_gets_nothing_more() -> None:
    driver = Driver(servers=1)
    driver.arrive(class_index=2)
    driver.now_us += int(STALL_FACTOR * max(driver.balancer.latency.smoothed_us)) + 1
    assert not sends(driver.arrive(class_index=2)[1])


def test_servers_in_other_zones_weigh_less_by_the_price_of_crossing() -> None:
    driver = Driver(replace(SETTINGS, prices=Prices(cross_zone=0.05)), servers=0)
    driver.list_servers(ListedServer(1, zone=0), ListedServer(2, zone=1))
    to_home = 0
    for _ in range(200):
        name, actions = driver.arrive()
        to_home += sends(actions)[0].server == 1
        driver.end(name, sends(actions)[0].server)
    assert 130 < to_home < 190


def test_a_keys_requests_go_home_while_it_has_room() -> None:
    driver = Driver(replace(SETTINGS, warm_keys=True), servers=8)
    met: dict[int, int] = {}
    for _ in range(100):
        name, actions = driver.arrive(key=77)
        server = sends(actions)[0].server
        met[server] = met.get(server, 0) + 1
        driver.end(name, server)
    assert max(met.values()) > 50 and len(met) > 1


def test_a_proxy_keeps_to_its_subset() -> None:
    """With a server each, hundreds of gateways filled every connection table: 90% of attempts got none."""
    met: set[int] = set()
    driver = Driver(replace(SETTINGS, gateway_count=300, gateway_index=5), servers=60)
    for _ in range(300):
        name, actions = driver.arrive()
        met.add(sends(actions)[0].server)
        driver.end(name, sends(actions)[0].server)
    assert len(met) <= MIN_SUBSET + 1


def test_subsets_are_even_and_move_little() -> None:
    used = [0] * 40
    for gateway_index in range(400):
        ranks = sorted(range(40), key=lambda server: rendezvous(gateway_index, server, 1.0))
        without = [server for server in ranks if server != 3]
        assert [r for r in ranks[:4] if r != 3] == without[: 4 - (3 in ranks[:4])]
        for server in ranks[:4]:
            used[server] += 1
    assert min(used) > 20 and max(used) < 65


def test_a_proxy_with_more_in_hand_reaches_further() -> None:
    """One gateway with a fifth of all traffic would crush the few servers of a fixed subset."""
    driver = Driver(replace(SETTINGS, gateway_count=3), servers=60)
    met = {sends(driver.arrive(class_index=2)[1])[0].server for _ in range(40)}
    assert len(met) > 3 * MIN_SUBSET


def test_one_of_many_proxies_with_more_than_its_part_to_do_reaches_further_by_and_by() -> None:
    """The same where hundreds share: it has twelve times its part to do, and takes it while nothing waits."""
    driver = Driver(replace(SETTINGS, gateway_count=300, max_retry_after_us=2_000_000), servers=60)
    held: list[tuple[int, str, int]] = []
    met: set[int] = set()
    asked = sent = most = 0

    def note(actions: list[Action]) -> None:
        nonlocal sent
        for send in sends(actions):
            held.append((driver.now_us + 60_000, send.request, send.server))
            sent += asked > 2_000
            if asked > 2_000:
                met.add(send.server)

    for _ in range(4_000):  # a hundred a second, of 60 ms each
        asked += 1
        driver.now_us += 10_000
        for due, name, server in [entry for entry in held if entry[0] <= driver.now_us]:
            held.remove((due, name, server))
            note(driver.end(name, server, latency_us=60_000))
        for timer in [timer for timer in driver.timers if timer.due_us <= driver.now_us]:
            driver.timers.remove(timer)
            note(driver.handle(TimerFired(timer.token)))
        note(driver.arrive(class_index=2)[1])
        by_server = Counter(server for _, _, server in held)
        most = max([most, *by_server.values()])
    assert sent > 0.98 * 2_000 and len(met) > MIN_SUBSET and most == 1


def test_an_open_server_gives_its_place_to_the_next_in_rank() -> None:
    driver = Driver(replace(SETTINGS, gateway_count=300), servers=60)
    subset = driver.balancer.selector.subset(0)
    trip(subset[0].breaker, driver.now_us)
    after = driver.balancer.selector.subset(0)
    assert subset[0] not in after and after[: len(subset) - 1] == subset[1:] and len(after) == len(subset)


def test_the_home_of_a_key_mostly_lies_in_the_own_zone() -> None:
    """Half of the keys had theirs in another zone, and a third of the attempts crossed."""
    prices = Prices(cross_zone=0.08)
    driver = Driver(replace(SETTINGS, warm_keys=True, prices=prices), servers=0)
    driver.list_servers(*(ListedServer(n, zone=n % 2) for n in range(10)))
    driver.balancer.subset_size.size = 10.0
    crossed = 0
    for key in range(400):
        name, actions = driver.arrive(key=key * 7919)
        (sent,) = sends(actions)
        crossed += sent.server % 2
        driver.end(name, sent.server)
        driver.now_us += 10_000
        driver.balancer.subset_size.size = 10.0
    assert crossed < 50


def test_an_unsafe_request_is_not_refused_while_closed_servers_lie_beyond_the_subset() -> None:
    """Half-open servers, which it must not be a trial of, took up the places of those that may serve it."""
    driver = Driver(servers=10)
    for server in driver.balancer.ring.ranked[:MIN_SUBSET]:
        server.breaker.open(driver.now_us)
    driver.now_us += FIRST_COOLDOWN_US
    _, actions = driver.arrive(class_index=2, client_timeout_us=1_000_000)
    assert sends(actions)


def test_proxies_spread_evenly_over_the_servers() -> None:
    met: dict[int, int] = {}
    for gateway_index in range(14):
        driver = Driver(
            replace(SETTINGS, gateway_count=14, gateway_index=gateway_index), servers=24, seed=gateway_index
        )
        for server in driver.balancer.ring.ranked[:6]:
            met[server.entry.server] = met.get(server.entry.server, 0) + 1
    assert len(met) == 24 and set(met.values()) <= {3, 4}


def test_many_reach_no_further_than_they_have_to() -> None:
    """Each further server is one at which it meets more of the others, that it knows nothing of."""
    wide, narrow = Driver(replace(MANY, gateway_count=2), servers=40), Driver(MANY, servers=40)
    for driver in (wide, narrow):
        held = busy(driver, 5)
        assert driver.balancer.subset_size.size == (
            MIN_SUBSET + len(held) if driver is wide else max(MIN_SUBSET, 1 + len(held))
        )
        for name, server in held:
            driver.end(name, server)
        for _ in range(20):
            driver.now_us += SECOND_US
            name, actions = driver.arrive()
            driver.end(name, sends(actions)[0].server)
    assert narrow.balancer.subset_size.size < MIN_SUBSET + 0.1 < wide.balancer.subset_size.size
