"""The idle connections of a virtual gateway."""

from __future__ import annotations

IDLE_SHARE = 0.8  # of a server's idle timeout, for which a gateway keeps a connection unused


class ConnectionPool:
    """Idle connections by server. The one used last is taken first."""

    def __init__(self, server_idle_s: float) -> None:
        self._max_idle_us = int(server_idle_s * 1e6 * IDLE_SHARE)
        self._last_used_us: dict[int, list[int]] = {}  # by server, one for each connection

    def put(self, server: int, now_us: int) -> None:
        """Keep a connection that has just been used."""
        self._last_used_us.setdefault(server, []).append(now_us)

    def take(self, server: int, now_us: int) -> bool:
        """Whether there is a connection to reuse, which is then taken; those idle too long are closed."""
        idle = self._last_used_us.get(server)
        while idle:
            if idle.pop() >= now_us - self._max_idle_us:
                return True
        return False
