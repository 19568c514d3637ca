"""Keep-alive of upstream connections: which are kept, which is used next, and when idle ones are closed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sagetrack.core.clock import now_us
from sagetrack.core.deadlines import REUSE_DELAY_S
from sagetrack.http1.upstream_connection import PooledServer, UpstreamConnection
from sagetrack.policy.settings import Settings

KEEPALIVE_FRACTION = 0.8  # of the server's idle timeout: no connection is kept unused for longer
SPARE_IDLE_US = 5_000_000  # the same for connections that only a burst has needed
SPARE_CONNECTIONS = 1  # of a server, which may stay idle for longer than that


@dataclass(slots=True)
class PoolCounts:
    """Events of the connection pools since the start."""

    opened: int = 0
    reused: int = 0
    failed: int = 0
    stale: int = 0


class IdleConnections:
    """The rules for idle connections; the connections themselves are in `UpstreamServer.idle`.

    A connection is not reused for `REUSE_DELAY_S` after a response. Without that pause, a second response or
    noise that follows the first by a moment would be taken for the response to the next request; so it
    arrives while nothing is outstanding, and ends the connection.
    """

    def __init__(self, settings: Settings, counts: PoolCounts) -> None:
        self.settings = settings
        self.counts = counts

    def take(self, upstream: PooledServer) -> UpstreamConnection | None:
        """Return the most recently used connection that may be reused now; None if there is none.

        The others age, so that those which are not needed are closed.
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
        """Return the connection that may be reused next, if a wait for that is worth it.

        It is not for a server that responds in less than twice that wait, which would count as slowness.
        """
        idle = upstream.idle
        if idle and idle[0].last_response_us >= 2 * REUSE_DELAY_S * 1e6:
            return idle.pop(0)
        return None

    def reusable_in_s(self, connection: UpstreamConnection) -> float:
        """Return how long it is until a connection may be reused."""
        return REUSE_DELAY_S - (now_us() - connection.idle_since_us) / 1e6

    def keep(self, connection: UpstreamConnection) -> None:
        """Keep a connection for reuse, or close it if its server drains, has restarted or is gone."""
        upstream = connection.upstream
        if upstream.drained_us is not None or connection.incarnation != upstream.incarnation:
            connection.close()
            return
        connection.idle_since_us = now_us()
        connection.has_sent = False
        upstream.idle.append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Drop a connection that has ended."""
        if connection in connection.upstream.idle:
            connection.upstream.idle.remove(connection)

    def close_all(self, upstream: PooledServer) -> None:
        """Close all idle connections to a server."""
        while upstream.idle:
            upstream.idle.pop().close()

    def close_expired(self, servers: Iterable[PooledServer]) -> None:
        """Close connections that have been idle for too long, well before their server closes them."""
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
        """Close the connection that was idle for the longest time, to gain a descriptor; False if none is."""
        with_idle = [upstream for upstream in servers if upstream.idle]
        if not with_idle:
            return False
        min(with_idle, key=lambda upstream: upstream.idle[0].idle_since_us).idle.pop(0).close()
        return True
