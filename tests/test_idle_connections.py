"""Unit tests of idle upstream connections: which are reused, delayed and closed."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sagetrack.core.memory_budget import MemoryBudget
from sagetrack.http1 import idle_connections as idle_module
from sagetrack.http1.idle_connections import (
    KEEPALIVE_FRACTION,
    SPARE_CONNECTIONS,
    SPARE_IDLE_US,
    IdleConnections,
    PoolCounts,
)
from sagetrack.http1.upstream_connection import PooledServer, UpstreamConnection
from sagetrack.http1.upstream_server import UpstreamServer
from tests.helpers import SETTINGS

NOW_US = 100_000_000
KEEPALIVE_US = 20_000_000


class Owner:
    """Opens no connections."""

    memory_budget = MemoryBudget(memory_mb=64)


class Connection(UpstreamConnection):
    """A connection without a socket, whose usability is set by a field."""

    def __init__(self, upstream: PooledServer, idle_us: int, usable: bool = True) -> None:
        super().__init__(Owner(), upstream, None)  # type: ignore[arg-type]
        self.idle_since_us, self.usable, self.closed = NOW_US - idle_us, usable, False

    def is_usable(self) -> bool:
        return self.usable

    def close(self) -> None:
        self.closed = True


class IdleConnectionsFixture:
    """The idle connections of one server, with a fixed clock."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(idle_module, "now_us", lambda: NOW_US)
        self.counts = PoolCounts()
        self.idle = IdleConnections(replace(SETTINGS, keepalive_us=KEEPALIVE_US), self.counts)
        self.server: PooledServer = UpstreamServer(1, "s", ("127.0.0.1", 1))

    def add_connections(self, *idle_us: int) -> list[Connection]:
        connections = [Connection(self.server, one) for one in idle_us]
        self.server.idle.extend(connections)
        return connections


@pytest.fixture
def fixture(monkeypatch: pytest.MonkeyPatch) -> IdleConnectionsFixture:
    return IdleConnectionsFixture(monkeypatch)


def test_the_most_recently_used_reusable_connection_is_taken(fixture: IdleConnectionsFixture) -> None:
    oldest, middle, newest = fixture.add_connections(3_000_000, 1_000_000, 1_000)
    assert fixture.idle.take(fixture.server) is middle  # the newest is still within the reuse delay
    assert fixture.idle.take(fixture.server) is oldest
    assert fixture.idle.take(fixture.server) is None and fixture.server.idle == [newest]
    assert fixture.counts.stale == 0


def test_closed_and_expired_connections_are_not_reused(fixture: IdleConnectionsFixture) -> None:
    aged, good, ended = fixture.add_connections(
        int(KEEPALIVE_US * KEEPALIVE_FRACTION) + 1, 1_000_000, 500_000
    )
    ended.usable = False
    assert fixture.idle.take(fixture.server) is good and ended.closed
    assert fixture.idle.take(fixture.server) is None and aged.closed
    assert fixture.counts.stale == 2 and not fixture.server.idle


def test_waiting_for_reuse_is_allowed_only_for_a_slow_server(fixture: IdleConnectionsFixture) -> None:
    assert fixture.idle.take_next_reusable(fixture.server) is None
    first, second = fixture.add_connections(10_000, 5_000)
    first.last_response_us = 1_000
    assert fixture.idle.take_next_reusable(fixture.server) is None
    first.last_response_us = 1_000_000
    assert fixture.idle.take_next_reusable(fixture.server) is first and fixture.server.idle == [second]
    assert fixture.idle.reusable_in_s(first) == pytest.approx(0.005)


def test_a_connection_of_a_draining_or_restarted_server_is_not_kept(fixture: IdleConnectionsFixture) -> None:
    good, drained, restarted = (Connection(fixture.server, 0) for _ in range(3))
    good.has_sent = True
    fixture.idle.keep(good)
    assert fixture.server.idle == [good] and not good.closed and not good.has_sent
    fixture.server.withdrawn_since_us = 1
    fixture.idle.keep(drained)
    fixture.server.withdrawn_since_us = None
    fixture.server.started_us += 1
    fixture.idle.keep(restarted)
    assert drained.closed and restarted.closed and fixture.server.idle == [good]


def test_spare_connections_are_closed_sooner_than_the_last(fixture: IdleConnectionsFixture) -> None:
    connections = fixture.add_connections(*[SPARE_IDLE_US + 1] * 3)
    fixture.idle.close_expired([fixture.server])
    assert fixture.server.idle == connections[-SPARE_CONNECTIONS:] and all(
        one.closed for one in connections[:2]
    )
    connections[-1].idle_since_us = NOW_US - int(KEEPALIVE_US * KEEPALIVE_FRACTION) - 1
    fixture.idle.close_expired([fixture.server])
    assert not fixture.server.idle and connections[-1].closed


def test_the_longest_idle_connection_of_all_servers_is_reclaimed(fixture: IdleConnectionsFixture) -> None:
    other: PooledServer = UpstreamServer(2, "t", ("127.0.0.1", 2))
    servers = [fixture.server, other]
    assert not fixture.idle.reclaim(servers)
    (newer,) = fixture.add_connections(1_000)
    older = Connection(other, 2_000)
    other.idle.append(older)
    assert fixture.idle.reclaim(servers) and older.closed and not newer.closed
    assert fixture.idle.reclaim(servers) and newer.closed and not fixture.idle.reclaim(servers)


def test_an_ended_connection_is_discarded_and_close_all_closes_the_others(
    fixture: IdleConnectionsFixture,
) -> None:
    one, two = fixture.add_connections(1, 2)
    fixture.idle.discard(one)
    fixture.idle.discard(one)
    assert fixture.server.idle == [two]
    fixture.idle.close_all(fixture.server)
    assert not fixture.server.idle and two.closed and not one.closed
