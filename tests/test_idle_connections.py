"""Keep-alive of connections to servers, without a socket: which is used, which waits, which are closed."""

from __future__ import annotations

from dataclasses import replace

import pytest

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


class Connection(UpstreamConnection):
    """A connection without a socket; what is asked of the kernel is answered by a field."""

    def __init__(self, upstream: PooledServer, idle_us: int, usable: bool = True) -> None:
        super().__init__(None, upstream, None)  # type: ignore[arg-type]
        self.idle_since_us, self.usable, self.closed = NOW_US - idle_us, usable, False

    def is_usable(self) -> bool:
        return self.usable

    def close(self) -> None:
        self.closed = True


class Rules:
    """The rules, at a time that stands still, for one server."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(idle_module, "now_us", lambda: NOW_US)
        self.counts = PoolCounts()
        self.idle = IdleConnections(replace(SETTINGS, keepalive_us=KEEPALIVE_US), self.counts)
        self.server: PooledServer = UpstreamServer(1, "s", ("127.0.0.1", 1))

    def have(self, *idle_us: int) -> list[Connection]:
        made = [Connection(self.server, one) for one in idle_us]
        self.server.idle.extend(made)
        return made


@pytest.fixture
def rules(monkeypatch: pytest.MonkeyPatch) -> Rules:
    return Rules(monkeypatch)


def test_the_most_recently_used_that_may_be_reused_is_taken(rules: Rules) -> None:
    oldest, middle, newest = rules.have(3_000_000, 1_000_000, 1_000)
    assert rules.idle.take(rules.server) is middle  # the newest has just had a response
    assert rules.idle.take(rules.server) is oldest
    assert rules.idle.take(rules.server) is None and rules.server.idle == [newest]
    assert rules.counts.stale == 0


def test_what_the_server_has_closed_or_soon_will_is_not_used(rules: Rules) -> None:
    aged, good, ended = rules.have(int(KEEPALIVE_US * KEEPALIVE_FRACTION) + 1, 1_000_000, 500_000)
    ended.usable = False
    assert rules.idle.take(rules.server) is good and ended.closed
    assert rules.idle.take(rules.server) is None and aged.closed
    assert rules.counts.stale == 2 and not rules.server.idle


def test_a_wait_for_reuse_is_worth_it_only_for_a_slow_server(rules: Rules) -> None:
    assert rules.idle.take_next_reusable(rules.server) is None
    first, second = rules.have(10_000, 5_000)
    first.last_response_us = 1_000
    assert rules.idle.take_next_reusable(rules.server) is None
    first.last_response_us = 1_000_000
    assert rules.idle.take_next_reusable(rules.server) is first and rules.server.idle == [second]
    assert rules.idle.reusable_in_s(first) == pytest.approx(0.005)


def test_a_connection_of_a_draining_or_restarted_server_is_not_kept(rules: Rules) -> None:
    good, drained, restarted = (Connection(rules.server, 0) for _ in range(3))
    good.has_sent = True
    rules.idle.keep(good)
    assert rules.server.idle == [good] and not good.closed and not good.has_sent
    rules.server.drained_us = 1
    rules.idle.keep(drained)
    rules.server.drained_us = None
    rules.server.started_us += 1
    rules.idle.keep(restarted)
    assert drained.closed and restarted.closed and rules.server.idle == [good]


def test_spare_connections_are_closed_sooner_than_the_last(rules: Rules) -> None:
    made = rules.have(*[SPARE_IDLE_US + 1] * 3)
    rules.idle.close_expired([rules.server])
    assert rules.server.idle == made[-SPARE_CONNECTIONS:] and all(one.closed for one in made[:2])
    made[-1].idle_since_us = NOW_US - int(KEEPALIVE_US * KEEPALIVE_FRACTION) - 1
    rules.idle.close_expired([rules.server])
    assert not rules.server.idle and made[-1].closed


def test_the_longest_idle_of_all_servers_is_reclaimed(rules: Rules) -> None:
    other: PooledServer = UpstreamServer(2, "t", ("127.0.0.1", 2))
    servers = [rules.server, other]
    assert not rules.idle.reclaim(servers)
    (newer,) = rules.have(1_000)
    older = Connection(other, 2_000)
    other.idle.append(older)
    assert rules.idle.reclaim(servers) and older.closed and not newer.closed
    assert rules.idle.reclaim(servers) and newer.closed and not rules.idle.reclaim(servers)


def test_a_connection_that_has_ended_is_forgotten_and_all_are_closed(rules: Rules) -> None:
    one, two = rules.have(1, 2)
    rules.idle.discard(one)
    rules.idle.discard(one)
    assert rules.server.idle == [two]
    rules.idle.close_all(rules.server)
    assert not rules.server.idle and two.closed and not one.closed
