"""Operation counts: the cost of a request or list change does not grow with unrelated tenants or servers."""

from __future__ import annotations

import json
import math
import os
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from sagetrack.config.platform import NameIndices
from sagetrack.core.deadlines import discovery_timeouts
from sagetrack.core.files import StrPath
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
from sagetrack.policy.tenant_quota import EXCESS_THRESHOLD, TENANT_DECAY
from sagetrack.server import endpoint_list_file
from sagetrack.server.endpoint_list_file import FILE_NAME
from sagetrack.server.hot_restart import HotRestart
from tests.helpers import KEYED, SETTINGS, Driver, final_actions, send_actions, trip
from tests.sockets import endpoint, endpoint_list, on_event_loop, wait_until


class CountingFloat(float):
    """A float that counts the arithmetic operations on itself and on their results."""

    operations = 0

    def _count(self, value: float) -> CountingFloat:
        CountingFloat.operations += 1
        return CountingFloat(value)

    def __mul__(self, other: float) -> CountingFloat:
        return self._count(float(self) * float(other))

    def __truediv__(self, other: float) -> CountingFloat:
        return self._count(float(self) / float(other))

    def __add__(self, other: float) -> CountingFloat:
        return self._count(float(self) + float(other))

    __radd__, __rmul__ = __add__, __mul__


def arithmetic_steps_with_tenants(count: int) -> int:
    """Return the number of arithmetic operations on tenant shares for 20 requests of 5 tenants."""
    shares = (Tenant(CountingFloat(1.0 / count)) for _ in range(count))
    driver = Driver(replace(SETTINGS, tenants=tuple(shares), over_quota_priority=0.5), servers=9)
    CountingFloat.operations = 0
    for number in range(20):
        name, actions = driver.arrive(tenant=number % 5)
        for send in send_actions(actions):
            driver.end(name, send.server)
    return CountingFloat.operations


def test_a_request_costs_the_same_with_few_and_many_tenants() -> None:
    """Guards against 3.7 ms per decision with 39,000 tenants, when each request decayed the sums of all."""
    few, many = arithmetic_steps_with_tenants(10), arithmetic_steps_with_tenants(3900)
    assert few == many <= 20 * 10


@pytest.mark.parametrize("tenants", [1, 5, 400])
def test_lazily_decayed_sums_equal_sums_that_decay_with_each_request(tenants: int) -> None:
    """The sums stay equal even if a tenant is idle for so long that its sum decays to zero."""
    rng = random.Random(tenants)
    shares = [rng.random() / tenants for _ in range(tenants)]
    eager = [share / (1.0 - TENANT_DECAY) for share in shares]
    lazy = DecayingSums(TENANT_DECAY, eager)
    for number in range(60_000 if tenants == 5 else 4000):
        tenant = min(rng.randrange(tenants), rng.randrange(tenants))
        if tenants == 5 and number > 2000:
            tenant = 1 + number % 2 if number < 55_000 else number % 5
        eager = [n * TENANT_DECAY for n in eager]
        eager[tenant] += 1
        expected_excess = 1.0 - EXCESS_THRESHOLD * shares[tenant] * sum(eager) / eager[tenant]
        decayed_sum = lazy.add(tenant)
        assert decayed_sum == lazy[tenant] == pytest.approx(eager[tenant], rel=1e-9)
        assert lazy.total == pytest.approx(sum(eager), rel=1e-9)
        assert 1.0 - EXCESS_THRESHOLD * shares[tenant] * lazy.total / decayed_sum == pytest.approx(
            expected_excess, rel=1e-9
        )
    # Below 1e-300 repeated multiplication stops at the smallest float, while a power reaches zero.
    assert all(lazy[n] == pytest.approx(eager[n], rel=1e-9, abs=1e-300) for n in range(len(lazy)))


# Servers


class AccessTrackingServer(Server):
    """A server that records when one of its attributes is read."""

    __slots__ = ()
    accessed: set[int] = set()  # noqa: RUF012 - shared by all servers

    def __getattribute__(self, name: str) -> object:
        AccessTrackingServer.accessed.add(id(self))
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
def test_a_changed_list_entry_accesses_no_other_server(servers: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against 7 ms per changed entry of 9,600: the ring was sorted and all weights were summed."""
    monkeypatch.setattr(endpoints, "Server", AccessTrackingServer)
    driver = Driver(replace(SETTINGS, gateway_count=3, gateway_index=1), servers=servers)
    for entry in CHANGES:
        AccessTrackingServer.accessed.clear()
        driver.list_servers(entry, kind=ListKind.DELTA)
        # A restart accesses the old and the new incarnation of the server.
        assert len(AccessTrackingServer.accessed) <= 2, entry


def test_a_repeated_full_list_accesses_only_changed_entries(monkeypatch: pytest.MonkeyPatch) -> None:
    """Service discovery that is polled for full lists mostly returns the same list."""
    driver = Driver(servers=300)
    entries = [server.entry for server in driver.balancer.servers.values()]
    accessed: list[int] = []
    ring_position = driver.balancer.endpoints.ring_position

    def record_access(number: int) -> RingPosition[Server] | None:
        accessed.append(number)
        return ring_position(number)

    monkeypatch.setattr(driver.balancer.endpoints, "ring_position", record_access)
    driver.list_servers(*entries)
    assert accessed == []
    driver.list_servers(*entries[2:], replace(entries[0], status=ServerStatus.DRAINING))
    assert sorted(accessed) == sorted(entry.server for entry in entries[:2])


def test_a_full_list_with_few_changes_is_not_sorted_again() -> None:
    class CountingRank(float):
        """A rank that counts how often it is compared."""

        comparisons = 0

        def __lt__(self, other: float) -> bool:
            CountingRank.comparisons += 1
            return float(self) < float(other)

        def __eq__(self, other: object) -> bool:
            return float(self) == other

        __hash__ = float.__hash__

    rng = random.Random(1)
    ring = Ring[str](1, 3)
    positions = {n: RingPosition(CountingRank(rng.random()), f"s-{n}") for n in range(2000)}
    ring.change(positions)
    CountingRank.comparisons = 0
    ring.change({**positions, 7: RingPosition(positions[7].rank, "restarted"), 8: None})
    assert CountingRank.comparisons <= 2 * 11  # a binary search halves 2000 entries 11 times


@pytest.mark.parametrize(
    ("gateway_index", "gateway_count"), [(0, 1), (1, 2), (0, 3), (2, 3), (17, 30), (729, 730)]
)
def test_a_ring_changed_in_place_equals_a_newly_sorted_ring(gateway_index: int, gateway_count: int) -> None:
    rng = random.Random(gateway_count)
    ring, expected = Ring[str](gateway_index, gateway_count), dict[int, RingPosition[str]]()
    ranked = ring.ranked
    for step in range(1500):
        growing = step < 600 or step > 1200
        changes: dict[int, RingPosition[str] | None] = {}
        for _ in range(rng.choice((1, 1, 1, 2, 5, 80 if step % 50 == 0 else 3))):
            number = rng.randrange(200)
            if rng.random() < (0.7 if growing else 0.3):
                rank = expected[number].rank if number in expected else rng.choice((0.25, rng.random()))
                scopes = ("zone", rng.randrange(2)), ("group", rng.randrange(40))
                changes[number] = RingPosition(rank, f"{number} {rng.randrange(3)}", scopes)
            else:
                changes[number] = None
        ring.change(changes)
        for number, position in changes.items():
            if position is None:
                expected.pop(number, None)
            else:
                expected[number] = position
        order = sorted(expected, key=lambda n: (expected[n].rank, n))
        first = gateway_index * len(order) // gateway_count
        in_rank_order = [expected[n] for n in order[first:] + order[:first]]
        assert ring.ranked is ranked and ranked == [position.item for position in in_rank_order]
        for scope in (("zone", 0), ("zone", 1), ("group", rng.randrange(40)), ("group", 40)):
            assert list(ring.within(scope)) == [
                position.item for position in in_rank_order if scope in position.scopes
            ]


def test_the_sum_of_weights_is_exact_after_any_number_of_changes() -> None:
    rng = random.Random(3)
    weights, exact_sum = [0.0] * 50, ExactSum()
    for _ in range(50_000):
        number, weight = rng.randrange(50), rng.choice((0.0, 1.0, rng.uniform(0.05, 1.0)))
        exact_sum.change(weights[number], weight)
        weights[number] = weight
    assert exact_sum.total == pytest.approx(math.fsum(weights), rel=1e-15)
    for weight in weights:
        exact_sum.change(weight, 0.0)
    assert exact_sum.total == 0.0


def test_a_new_server_starts_with_the_mean_weight_of_the_listed_ones() -> None:
    """The mean stays exact while servers are added, removed, restarted and reweighted."""
    driver = Driver(servers=40)
    rng = random.Random(5)
    for step in range(400):
        number = rng.randrange(60)
        servers = driver.balancer.servers
        if number in servers and rng.random() < 0.5:
            removed = servers[number]
            driver.list_servers(ListedServer(number, ServerStatus.GONE), kind=ListKind.DELTA)
            removed.weight = 0.05  # an attempt that is still in flight fails
        others = [server.weight for n, server in servers.items() if n != number]
        driver.list_servers(ListedServer(number, started_us=step + 1), kind=ListKind.DELTA)
        assert servers[number].weight == pytest.approx(sum(others) / len(others), rel=1e-12)
        rng.choice(list(servers.values())).weight = rng.uniform(0.05, 1.0)
        name, actions = driver.arrive()
        for send in send_actions(actions):
            driver.end(name, send.server, rng.choice((Outcome.OK, Outcome.ERROR)))


def servers_accessed_by_a_retry(servers: int, scope: Scope) -> int:
    """Return the most servers that a retry of a keyed request accesses, with 10 servers per scope."""
    keyed_class = replace(KEYED, scope=scope, window_us=500_000)
    driver = Driver(replace(SETTINGS, classes=(keyed_class,), tenants=()), servers=0)
    scope_count = servers // 10
    groups = [n % scope_count if scope is Scope.GROUP else 0 for n in range(servers)]
    zones = [n % scope_count if scope is Scope.ZONE else 0 for n in range(servers)]
    driver.list_servers(*(ListedServer(n, zone=zones[n], group=groups[n]) for n in range(servers)))
    max_accessed = 0
    for number in range(30):
        name, actions = driver.arrive(key=number)
        (first,) = send_actions(actions)
        AccessTrackingServer.accessed.clear()
        (second,) = send_actions(driver.end(name, first.server, Outcome.RESET))
        max_accessed = max(max_accessed, len(AccessTrackingServer.accessed))
        scopes = [(zones[send.server], groups[send.server]) for send in (first, second)]
        assert scopes[0] == scopes[1] and first.server != second.server
        driver.end(name, second.server, attempt=1)
        driver.now_us += 3_000_000
        for _ in range(5):
            name, actions = driver.arrive()
            driver.end(name, send_actions(actions)[0].server)
    return max_accessed


@pytest.mark.parametrize("scope", [Scope.ZONE, Scope.GROUP])
def test_a_keyed_retry_accesses_no_more_servers_than_its_scope_and_the_subset_have(
    scope: Scope, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against 18.5 ms for a keyed request with one retry among 9,600 servers, all of them examined."""
    monkeypatch.setattr(endpoints, "Server", AccessTrackingServer)
    for servers in (40, 2000):
        # The servers of the scope and those of the gateway's subset.
        assert servers_accessed_by_a_retry(servers, scope) <= 10 + MIN_SUBSET + 2


@pytest.mark.parametrize("admission_settings", [None, AdmissionSettings()])
def test_a_rejection_accesses_few_servers(
    admission_settings: AdmissionSettings | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(endpoints, "Server", AccessTrackingServer)
    driver = Driver(replace(SETTINGS, admission=admission_settings), servers=2000)
    driver.balancer.shedder.shed_fraction = driver.balancer.shedder.shed_fraction_high_priority = 1.0
    AccessTrackingServer.accessed.clear()
    _, actions = driver.arrive()
    assert len(final_actions(actions)) == 1 and len(AccessTrackingServer.accessed) <= MIN_SUBSET


def test_with_all_breakers_open_the_retry_after_is_the_first_cooldown_to_end() -> None:
    driver = Driver(servers=5)
    for number, server in driver.balancer.servers.items():
        trip(server.breaker, driver.now_us)
        server.breaker.open_until_us = driver.now_us + 40_000 + 1000 * number
    _, actions = driver.arrive()
    assert final_actions(actions) == [Reject("r1", 40_000)]


# The endpoint list file that is handed over in a hot restart

REGISTRY = ("127.0.0.1", 9)


def make_discovery_client(hot_restart: HotRestart) -> DiscoveryClient:
    """A discovery client that writes changes to the endpoint list file and whose registry is unreachable."""

    async def unreachable(address: tuple[str, int]) -> Any:
        raise OSError("nobody there")

    names, limits = NameIndices(zones={}, kinds={}, classes={}, tenants={}), discovery_timeouts(SETTINGS)
    discovery = DiscoveryClient(REGISTRY, names, lambda kind, entries: None, False, unreachable, limits)
    discovery.on_list_changed = hot_restart.endpoint_list.schedule_write
    return discovery


class WriteCounter:
    """Counts the lists that are written and the entries that are encoded as JSON."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.lists, self.entries = 0, 0
        original_replace, original_encode = os.replace, endpoint_list_json.encode_endpoint

        def counting_replace(old: StrPath, new: StrPath) -> None:
            self.lists += Path(new).name == FILE_NAME
            original_replace(old, new)

        def counting_encode(item: dict[str, Any]) -> Any:
            self.entries += 1
            return original_encode(item)

        monkeypatch.setattr(os, "replace", counting_replace)
        monkeypatch.setattr(endpoint_list_json, "encode_endpoint", counting_encode)


def receive_changes(
    discovery: DiscoveryClient, version: int, *entries: dict[str, object], is_full: bool = False
) -> None:
    """Pass changed entries or a full list to the client."""
    discovery.version = version
    discovery.record_changes({"endpoints": list(entries)}, is_full)


@on_event_loop
async def test_a_changed_entry_does_not_write_the_full_list_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against encoding and writing the full list for each changed entry."""
    writes, hot_restart = WriteCounter(monkeypatch), HotRestart(str(tmp_path))
    discovery = make_discovery_client(hot_restart)
    first = [endpoint(f"s-{n}", f"127.0.0.1:{n + 1}") for n in range(500)]
    receive_changes(discovery, 1, *first, is_full=True)
    assert (writes.lists, writes.entries) == (1, 500)  # the first change is written at once
    for n in range(200):
        receive_changes(discovery, 2 + n, endpoint(f"s-{n % 50}", "127.0.0.1:9", status="DRAINING"))
    receive_changes(discovery, 202, endpoint("s-499", "127.0.0.1:9", status="DELETED"))
    receive_changes(discovery, 203, endpoint("s-498", "127.0.0.1:9"), endpoint("s-new", "127.0.0.1:8"))
    receive_changes(discovery, 204, endpoint("s-new", "127.0.0.1:8", status="DELETED"))
    assert (writes.lists, writes.entries) == (1, 500)
    hot_restart.release()
    assert (writes.lists, writes.entries) == (2, 551)  # the last changes are written on exit at the latest
    draining = [endpoint(f"s-{n}", "127.0.0.1:9", status="DRAINING") for n in range(50)]
    expected = endpoint_list(204, *draining, *first[50:498], endpoint("s-498", "127.0.0.1:9"))
    assert hot_restart.endpoint_list.select_newest(REGISTRY, {}) == expected


@on_event_loop
async def test_rate_limited_changes_are_written_after_the_write_interval(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(endpoint_list_file, "WRITE_INTERVAL_S", 0.01)
    writes, hot_restart = WriteCounter(monkeypatch), HotRestart(str(tmp_path))
    discovery = make_discovery_client(hot_restart)
    for version in range(1, 20):
        receive_changes(discovery, version, endpoint(f"s-{version}", "127.0.0.1:1"))
    await wait_until(lambda: writes.lists == 2)
    assert len(hot_restart.endpoint_list.select_newest(REGISTRY, {})["endpoints"]) == 19
    # Nothing is scheduled while nothing changes.
    await wait_until(lambda: not hot_restart.endpoint_list.is_rate_limited)
    receive_changes(discovery, 20, endpoint("s-20", "127.0.0.1:1"))
    assert writes.lists == 3


@on_event_loop
async def test_the_list_of_a_process_that_has_taken_over_is_not_overwritten(tmp_path: Path) -> None:
    hot_restart, successor = HotRestart(str(tmp_path)), HotRestart(str(tmp_path))
    discovery = make_discovery_client(hot_restart)
    receive_changes(discovery, 1, endpoint("s-1", "127.0.0.1:1"), is_full=True)
    receive_changes(discovery, 2, endpoint("s-2", "127.0.0.1:1"))  # rate limited: not written yet
    successor.endpoint_list.write(REGISTRY, endpoint_list(3, endpoint("s-3", "127.0.0.1:1")))
    hot_restart.serving_sibling_count = 1
    hot_restart.release()
    assert successor.endpoint_list.select_newest(REGISTRY, {}) == endpoint_list(
        3, endpoint("s-3", "127.0.0.1:1")
    )


@on_event_loop
async def test_an_entry_that_strict_json_cannot_encode_is_handed_over_too(tmp_path: Path) -> None:
    hot_restart = HotRestart(str(tmp_path))
    unencodable = json.loads('{"name": "s-\\ud800", "much": 123456789012345678901234567890, "weight": NaN}')
    receive_changes(
        make_discovery_client(hot_restart), 1, unencodable, endpoint("s-1", "127.0.0.1:1"), is_full=True
    )
    handed_over = hot_restart.endpoint_list.select_newest(REGISTRY, {})["endpoints"]
    assert repr(handed_over) == repr([unencodable, endpoint("s-1", "127.0.0.1:1")])
