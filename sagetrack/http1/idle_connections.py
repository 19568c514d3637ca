"""Reuse and expiry of idle upstream connections."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sagetrack.core.clock import now_us
from sagetrack.core.deadlines import REUSE_DELAY_S
from sagetrack.http1.upstream_connection import PooledServer, UpstreamConnection
from sagetrack.policy.settings import Settings

KEEPALIVE_FRACTION = 0.8  # idle connections are closed after this fraction of the server's idle timeout
SPARE_IDLE_US = 5_000_000  # idle timeout of connections above `SPARE_CONNECTIONS`, opened for a burst
SPARE_CONNECTIONS = 1  # idle connections per server that are kept for the longer timeout


@dataclass(slots=True)
class PoolCounts:
    """Counters over all connection pools since the start of the process."""

    opened: int = 0
    reused: int = 0
    failed: int = 0
    stale: int = 0


class IdleConnections:
    """Selects, keeps and closes idle connections, which are stored in `UpstreamServer.idle`.

    A connection is not reused for `REUSE_DELAY_S` after a response. Without this delay, surplus data that
    arrives shortly after a response, such as a second response, could be taken for the response to the next
    request. With it, the data arrives while no request is outstanding, and the connection is closed.
    """

    def __init__(self, settings: Settings, counts: PoolCounts) -> None:
        self.settings = settings
        self.counts = counts

    def take(self, upstream: PooledServer) -> UpstreamConnection | None:
        """Remove and return the most recently used connection that may be reused now; None if there is none.

        Using the most recent one lets connections that are not needed expire.
        """
        now = now_us()
        expiry_cutoff_us = now - int(self.settings.keepalive_us * KEEPALIVE_FRACTION)
        reuse_cutoff_us = now - int(REUSE_DELAY_S * 1e6)
        idle = upstream.idle
        at = len(idle)
        while at > 0:
            at -= 1
            if idle[at].idle_since_us > reuse_cutoff_us:
                continue
            connection = idle.pop(at)
            if connection.idle_since_us >= expiry_cutoff_us and connection.is_usable():
                return connection
            self.counts.stale += 1
            connection.close()
        return None

    def take_next_reusable(self, upstream: PooledServer) -> UpstreamConnection | None:
        """Remove and return the connection that may be reused next; None if waiting for it is not worthwhile.

        It is not worthwhile for a server that responds in less than twice the delay: the wait would count as
        latency of the server and make it appear slow.
        """
        idle = upstream.idle
        if idle and idle[0].last_response_us >= 2 * REUSE_DELAY_S * 1e6:
            return idle.pop(0)
        return None

    def reusable_in_s(self, connection: UpstreamConnection) -> float:
        """Return the time in seconds until a connection may be reused."""
        return REUSE_DELAY_S - (now_us() - connection.idle_since_us) / 1e6

    def keep(self, connection: UpstreamConnection) -> None:
        """Keep a connection for reuse, or close it if its server is draining, was restarted or is gone."""
        upstream = connection.upstream
        if upstream.withdrawn_since_us is not None or connection.incarnation != upstream.incarnation:
            connection.close()
            return
        connection.idle_since_us = now_us()
        connection.has_sent = False
        upstream.idle.append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Remove a connection that has ended from the idle connections."""
        if connection in connection.upstream.idle:
            connection.upstream.idle.remove(connection)

    def close_all(self, upstream: PooledServer) -> None:
        """Close all idle connections to a server."""
        while upstream.idle:
            upstream.idle.pop().close()

    def close_expired(self, servers: Iterable[PooledServer]) -> None:
        """Close connections that have been idle for too long, before their server closes them."""
        now = now_us()
        expiry_cutoff_us = now - int(self.settings.keepalive_us * KEEPALIVE_FRACTION)
        spare_cutoff_us = now - SPARE_IDLE_US
        for upstream in servers:
            while upstream.idle:
                limit_us = spare_cutoff_us if len(upstream.idle) > SPARE_CONNECTIONS else expiry_cutoff_us
                if upstream.idle[0].idle_since_us >= limit_us:
                    break
                upstream.idle.pop(0).close()

    def reclaim(self, servers: Iterable[PooledServer]) -> bool:
        """Close the longest idle connection to free a descriptor; return False if none is idle."""
        with_idle = [upstream for upstream in servers if upstream.idle]
        if not with_idle:
            return False
        min(with_idle, key=lambda upstream: upstream.idle[0].idle_since_us).idle.pop(0).close()
        return True
