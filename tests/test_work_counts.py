"""What a request or a changed entry costs, in things touched: it may not grow with what it has no part in."""

from __future__ import annotations

import json
import math
import os
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from sagetrack.config.platform import Names
from sagetrack.core.deadlines import discovery_timeouts
from sagetrack.discovery import endpoint_list_json
from sagetrack.discovery.client import DiscoveryClient
from sagetrack.policy import endpoints
from sagetrack.policy.actions import Reject
from sagetrack.policy.admission import AdmissionSettings
from sagetrack.policy.decayed_sums import DecayingSums
from sagetrack.policy.endpoint_ring import ExactSum, Ring, RingPosition
from sagetrack.policy.events import ListedServer, ListKind, Outcome, ServerStatus
from sagetrack.policy.settings import Scope, Tenant
from sagetrack.policy.state import Server
from sagetrack.policy.subset_size import MIN_SUBSET
from sagetrack.policy.tenant_quota import OVER_SHARE, TENANT_MEMORY
from sagetrack.server import endpoint_list_file
from sagetrack.server.endpoint_list_file import FILE_NAME
from sagetrack.server.hot_restart import HotRestart
from tests.helpers import KEYED, SETTINGS, Driver, finals, sends, trip
from tests.sockets import endpoint, endpoint_list, on_loop, until


class Counted(float):
    """A number that counts what is done with it and with what comes of it."""

    done = 0

    def _made(self, value: float) -> Counted:
        Counted.done += 1
        return Counted(value)

    def __mul__(self, other: float) -> Counted:
        return self._made(float(self) * float(other))

    def __truediv__(self, other: float) -> Counted:
        return self._made(float(self) / float(other))

    def __add__(self, other: float) -> Counted:
        return self._made(float(self) + float(other))

    __radd__, __rmul__ = __add__, __mul__


def steps_with_tenants(count: int) -> int:
    """Steps of arithmetic on tenants' figures that 20 requests of 5 tenants cost."""
    shares = (Tenant(Counted(1.0 / count)) for _ in range(count))
    driver = Driver(replace(SETTINGS, tenants=tuple(shares), over_quota_priority=0.5), servers=9)
    Counted.done = 0
    for number in range(20):
        name, actions = driver.arrive(tenant=number % 5)
        for send in sends(actions):
            driver.end(name, send.server)
    return Counted.done


def test_a_request_touches_no_other_tenants_tries() -> None:
    """Seen: 3.7 ms for a decision with 39,000 tenants, as each request multiplied the tries of all."""
    few, many = steps_with_tenants(10), steps_with_tenants(3900)
    assert few == many <= 20 * 10


@pytest.mark.parametrize("tenants", [1, 5, 400])
def test_tries_kept_lazily_are_those_that_are_all_multiplied(tenants: int) -> None:
    """Also where a tenant is silent for so long that its tries are nothing any more."""
    draw = random.Random(tenants)
    shares = [draw.random() / tenants for _ in range(tenants)]
    plain = [share / (1.0 - TENANT_MEMORY) for share in shares]
    lazy = DecayingSums(TENANT_MEMORY, plain)
    for number in range(60_000 if tenants == 5 else 4000):
        tenant = min(draw.randrange(tenants), draw.randrange(tenants))
        if tenants == 5 and number > 2000:
            tenant = 1 + number % 2 if number < 55_000 else number % 5
        plain = [n * TENANT_MEMORY for n in plain]
        plain[tenant] += 1
        before = 1.0 - OVER_SHARE * shares[tenant] * sum(plain) / plain[tenant]
        tries = lazy.add(tenant)
        assert tries == lazy[tenant] == pytest.approx(plain[tenant], rel=1e-9)
        assert lazy.total == pytest.approx(sum(plain), rel=1e-9)
        assert 1.0 - OVER_SHARE * shares[tenant] * lazy.total / tries == pytest.approx(before, rel=1e-9)
    # Below that the product stops at the least number that a float holds, and a power goes on to zero.
    assert all(lazy[n] == pytest.approx(plain[n], rel=1e-9, abs=1e-300) for n in range(len(lazy)))


# Servers


class Looked(Server):
    """A server that says when it is looked at."""

    __slots__ = ()
    at: set[int] = set()  # noqa: RUF012 - of all of them

    def __getattribute__(self, name: str) -> object:
        Looked.at.add(id(self))
        return super().__getattribute__(name)


CHANGES = (
    ListedServer(3, weight=2.0),
    ListedServer(4, ServerStatus.DRAINING),
    ListedServer(4),
    ListedServer(5, started_us=7),  # restarted
    ListedServer(6, ServerStatus.GONE),
    ListedServer(999_999),  # new
)


@pytest.mark.parametrize("servers", [40, 2000])
def test_a_changed_entry_touches_no_other_server(servers: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Seen: 7 ms for one changed entry of 9,600, as the ring was put in order anew and all weights added."""
    monkeypatch.setattr(endpoints, "Server", Looked)
    driver = Driver(replace(SETTINGS, gateway_count=3, gateway_index=1), servers=servers)
    for entry in CHANGES:
        Looked.at.clear()
        driver.list_servers(entry, kind=ListKind.DELTA)
        assert len(Looked.at) <= 2, entry  # a restarted server's two lives


def test_a_whole_list_again_looks_at_those_that_changed_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """A service that is asked for its whole list says the same again and again."""
    driver = Driver(servers=300)
    entries = [server.entry for server in driver.balancer.servers.values()]
    looked: list[int] = []
    place_of = driver.balancer.endpoints.ring_position

    def look(number: int) -> RingPosition[Server] | None:
        looked.append(number)
        return place_of(number)

    monkeypatch.setattr(driver.balancer.endpoints, "ring_position", look)
    driver.list_servers(*entries)
    assert looked == []
    driver.list_servers(*entries[2:], replace(entries[0], status=ServerStatus.DRAINING))
    assert sorted(looked) == sorted(entry.server for entry in entries[:2])


def test_a_whole_list_that_changes_little_is_not_put_in_order_anew() -> None:
    class Compared(float):
        times = 0

        def __lt__(self, other: float) -> bool:
            Compared.times += 1
            return float(self) < float(other)

        def __eq__(self, other: object) -> bool:
            return float(self) == other

        __hash__ = float.__hash__

    draw = random.Random(1)
    ring = Ring[str](1, 3)
    places = {n: RingPosition(Compared(draw.random()), f"s-{n}") for n in range(2000)}
    ring.change(places)
    Compared.times = 0
    ring.change({**places, 7: RingPosition(places[7].rank, "another life"), 8: None})
    assert Compared.times <= 2 * 11  # halved 11 times


@pytest.mark.parametrize(
    ("gateway_index", "gateway_count"), [(0, 1), (1, 2), (0, 3), (2, 3), (17, 30), (729, 730)]
)
def test_the_ring_changed_in_place_is_the_ring_put_in_order(gateway_index: int, gateway_count: int) -> None:
    draw = random.Random(gateway_count)
    ring, plain = Ring[str](gateway_index, gateway_count), dict[int, RingPosition[str]]()
    ranked = ring.ranked
    for step in range(1500):
        growing = step < 600 or step > 1200
        changes: dict[int, RingPosition[str] | None] = {}
        for _ in range(draw.choice((1, 1, 1, 2, 5, 80 if step % 50 == 0 else 3))):
            number = draw.randrange(200)
            if draw.random() < (0.7 if growing else 0.3):
                rank = plain[number].rank if number in plain else draw.choice((0.25, draw.random()))
                scopes = ("zone", draw.randrange(2)), ("group", draw.randrange(40))
                changes[number] = RingPosition(rank, f"{number} {draw.randrange(3)}", scopes)
            else:
                changes[number] = None
        ring.change(changes)
        for number, place in changes.items():
            if place is None:
                plain.pop(number, None)
            else:
                plain[number] = place
        order = sorted(plain, key=lambda n: (plain[n].rank, n))
        first = gateway_index * len(order) // gateway_count
        seen = [plain[n] for n in order[first:] + order[:first]]
        assert ring.ranked is ranked and ranked == [place.item for place in seen]
        for scope in (("zone", 0), ("zone", 1), ("group", draw.randrange(40)), ("group", 40)):
            assert list(ring.within(scope)) == [place.item for place in seen if scope in place.scopes]


def test_the_sum_of_weights_is_exact_after_any_number_of_changes() -> None:
    draw = random.Random(3)
    weights, kept = [0.0] * 50, ExactSum()
    for _ in range(50_000):
        number, weight = draw.randrange(50), draw.choice((0.0, 1.0, draw.uniform(0.05, 1.0)))
        kept.change(weights[number], weight)
        weights[number] = weight
    assert kept.total == pytest.approx(math.fsum(weights), rel=1e-15)
    for weight in weights:
        kept.change(weight, 0.0)
    assert kept.total == 0.0


def test_a_new_server_begins_with_the_mean_of_those_that_are_listed() -> None:
    """Also where weights change of servers that come, leave and restart."""
    driver = Driver(servers=40)
    draw = random.Random(5)
    for step in range(400):
        number = draw.randrange(60)
        known = driver.balancer.servers
        if number in known and draw.random() < 0.5:
            left = known[number]
            driver.list_servers(ListedServer(number, ServerStatus.GONE), kind=ListKind.DELTA)
            left.weight = 0.05  # an attempt that is still out fails
        others = [s.weight for n, s in known.items() if n != number]
        driver.list_servers(ListedServer(number, started_us=step + 1), kind=ListKind.DELTA)
        assert known[number].weight == pytest.approx(sum(others) / len(others), rel=1e-12)
        draw.choice(list(known.values())).weight = draw.uniform(0.05, 1.0)
        name, actions = driver.arrive()
        for send in sends(actions):
            driver.end(name, send.server, draw.choice((Outcome.OK, Outcome.ERROR)))


def servers_looked_at_by_a_repeat(servers: int, scope: Scope) -> int:
    """10 servers are of the first one's scope; the most that a keyed request's second attempt looked at."""
    class_index = replace(KEYED, scope=scope, window_us=500_000)
    driver = Driver(replace(SETTINGS, classes=(class_index,), tenants=()), servers=0)
    away = servers // 10
    groups = [n % away if scope is Scope.GROUP else 0 for n in range(servers)]
    zones = [n % away if scope is Scope.ZONE else 0 for n in range(servers)]
    driver.list_servers(*(ListedServer(n, zone=zones[n], group=groups[n]) for n in range(servers)))
    most = 0
    for number in range(30):
        name, actions = driver.arrive(key=number)
        (first,) = sends(actions)
        Looked.at.clear()
        (second,) = sends(driver.end(name, first.server, Outcome.RESET))
        most = max(most, len(Looked.at))
        of = [(zones[send.server], groups[send.server]) for send in (first, second)]
        assert of[0] == of[1] and first.server != second.server
        driver.end(name, second.server, attempt=1)
        driver.now_us += 3_000_000
        for _ in range(5):
            name, actions = driver.arrive()
            driver.end(name, sends(actions)[0].server)
    return most


@pytest.mark.parametrize("scope", [Scope.ZONE, Scope.GROUP])
def test_a_keyed_repeat_looks_at_its_scopes_own_servers(
    scope: Scope, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Seen: 18.5 ms for a keyed call with one repeat at 9,600 servers, as it walked all of them."""
    monkeypatch.setattr(endpoints, "Server", Looked)
    for servers in (40, 2000):
        assert servers_looked_at_by_a_repeat(servers, scope) <= 10 + MIN_SUBSET + 2  # and its gateway's own


@pytest.mark.parametrize("door", [None, AdmissionSettings()])
def test_a_refusal_looks_at_few_servers(
    door: AdmissionSettings | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(endpoints, "Server", Looked)
    driver = Driver(replace(SETTINGS, admission=door), servers=2000)
    driver.balancer.shedder.shed_fraction = driver.balancer.shedder.shed_fraction_high_priority = 1.0
    Looked.at.clear()
    _, actions = driver.arrive()
    assert len(finals(actions)) == 1 and len(Looked.at) <= MIN_SUBSET


def test_where_every_server_is_open_a_client_comes_back_with_the_first() -> None:
    driver = Driver(servers=5)
    for number, server in driver.balancer.servers.items():
        trip(server.breaker, driver.now_us)
        server.breaker.open_until_us = driver.now_us + 40_000 + 1000 * number
    _, actions = driver.arrive()
    assert finals(actions) == [Reject("r1", 40_000)]


# The list that is handed on

REGISTRY = ("127.0.0.1", 9)


def a_discovery(overlap: HotRestart) -> DiscoveryClient:
    async def unreachable(address: tuple[str, int]) -> Any:
        raise OSError("nobody there")

    names, limits = Names(zones={}, kinds={}, classes={}, tenants={}), discovery_timeouts(SETTINGS)
    discovery = DiscoveryClient(REGISTRY, names, lambda kind, entries: None, False, unreachable, limits)
    discovery.on_list_changed = overlap.endpoint_list.schedule_write
    return discovery


class Writes:
    """Lists that were written, and entries that were put as JSON."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.lists, self.entries = 0, 0
        replaced, encoded = os.replace, endpoint_list_json.encode_endpoint

        def replace_(old: Path, new: Path) -> None:
            self.lists += new.name == FILE_NAME
            replaced(old, new)

        def encode_endpoint(item: dict[str, Any]) -> Any:
            self.entries += 1
            return encoded(item)

        monkeypatch.setattr(os, "replace", replace_)
        monkeypatch.setattr(endpoint_list_json, "encode_endpoint", encode_endpoint)


def take(discovery: DiscoveryClient, index: int, *entries: dict[str, object], whole: bool = False) -> None:
    discovery.version = index
    discovery.record_changes({"endpoints": list(entries)}, whole)


@on_loop
async def test_a_changed_entry_does_not_write_the_whole_list_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Seen: each changed entry put the whole list as JSON anew and wrote it."""
    writes, overlap = Writes(monkeypatch), HotRestart(str(tmp_path))
    discovery = a_discovery(overlap)
    first = [endpoint(f"s-{n}", f"127.0.0.1:{n + 1}") for n in range(500)]
    take(discovery, 1, *first, whole=True)
    assert (writes.lists, writes.entries) == (1, 500)  # the first news is written at once
    for n in range(200):
        take(discovery, 2 + n, endpoint(f"s-{n % 50}", "127.0.0.1:9", status="DRAINING"))
    take(discovery, 202, endpoint("s-499", "127.0.0.1:9", status="DELETED"))
    take(discovery, 203, endpoint("s-498", "127.0.0.1:9"), endpoint("s-new", "127.0.0.1:8"))
    take(discovery, 204, endpoint("s-new", "127.0.0.1:8", status="DELETED"))
    assert (writes.lists, writes.entries) == (1, 500)
    overlap.release()
    assert (writes.lists, writes.entries) == (2, 551)  # and the last one at the latest on the way out
    drained = [endpoint(f"s-{n}", "127.0.0.1:9", status="DRAINING") for n in range(50)]
    stands = endpoint_list(204, *drained, *first[50:498], endpoint("s-498", "127.0.0.1:9"))
    assert overlap.endpoint_list.newest(REGISTRY, {}) == stands


@on_loop
async def test_news_held_back_is_written_before_long(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_list_file, "WRITE_INTERVAL_S", 0.01)
    writes, overlap = Writes(monkeypatch), HotRestart(str(tmp_path))
    discovery = a_discovery(overlap)
    for index in range(1, 20):
        take(discovery, index, endpoint(f"s-{index}", "127.0.0.1:1"))
    await until(lambda: writes.lists == 2)
    assert len(overlap.endpoint_list.newest(REGISTRY, {})["endpoints"]) == 19
    await until(lambda: not overlap.endpoint_list.is_rate_limited)  # nothing goes on while there is no news
    take(discovery, 20, endpoint("s-20", "127.0.0.1:1"))
    assert writes.lists == 3


@on_loop
async def test_where_another_process_serves_its_list_is_not_written_over(tmp_path: Path) -> None:
    overlap, successor = HotRestart(str(tmp_path)), HotRestart(str(tmp_path))
    discovery = a_discovery(overlap)
    take(discovery, 1, endpoint("s-1", "127.0.0.1:1"), whole=True)
    take(discovery, 2, endpoint("s-2", "127.0.0.1:1"))  # held back
    successor.endpoint_list.write(REGISTRY, endpoint_list(3, endpoint("s-3", "127.0.0.1:1")))
    overlap.serving = 1
    overlap.release()
    assert successor.endpoint_list.newest(REGISTRY, {}) == endpoint_list(3, endpoint("s-3", "127.0.0.1:1"))


@on_loop
async def test_an_entry_that_no_strict_writer_takes_is_handed_on_too(tmp_path: Path) -> None:
    overlap = HotRestart(str(tmp_path))
    odd = json.loads('{"name": "s-\\ud800", "much": 123456789012345678901234567890, "weight": NaN}')
    take(a_discovery(overlap), 1, odd, endpoint("s-1", "127.0.0.1:1"), whole=True)
    kept = overlap.endpoint_list.newest(REGISTRY, {})["endpoints"]
    assert repr(kept) == repr([odd, endpoint("s-1", "127.0.0.1:1")])
