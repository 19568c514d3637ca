"""The idle connections of a virtual gateway."""

from __future__ import annotations

IDLE_SHARE = 0.8  # how long a gateway keeps an idle connection, as a share of the server's idle timeout


class ConnectionPool:
    """Idle connections by server. The most recently used one is reused first."""

    def __init__(self, server_idle_s: float) -> None:
        self._max_idle_us = int(server_idle_s * 1e6 * IDLE_SHARE)
        self._last_used_us: dict[int, list[int]] = {}  # by server, one entry per connection

    def put(self, server: int, now_us: int) -> None:
        """Return a connection to the pool after use."""
        self._last_used_us.setdefault(server, []).append(now_us)

    def take(self, server: int, now_us: int) -> bool:
        """Take an idle connection out of the pool; False if there is none. Expired ones are dropped."""
        idle = self._last_used_us.get(server)
        while idle:
            if idle.pop() >= now_us - self._max_idle_us:
                return True
        return False
