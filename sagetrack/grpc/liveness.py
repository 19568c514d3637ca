"""Maximum age, idle timeout and keep-alive pings of an upstream connection; the caller passes the time."""

from __future__ import annotations

IDLE_TIMEOUT_S = 8.0  # a connection without streams is closed after this time
MAX_AGE_S = 600.0  # no new streams are opened on an older connection
PING_AFTER_S = 5.0  # a ping is sent if the server has sent nothing for this long while streams are open
PING_TIMEOUT_S = 3.0  # time limit for the acknowledgement of a ping


class Liveness:
    """Tracks the activity of one connection; all times are in microseconds of the gateway's clock."""

    __slots__ = ("_created_us", "_idle_since_us", "_last_received_us", "_ping_sent_us")

    def __init__(self, now_us: int) -> None:
        self._created_us = now_us
        self._last_received_us = now_us
        self._idle_since_us = now_us
        self._ping_sent_us = 0  # 0 if no ping awaits its acknowledgement

    def on_received(self, now_us: int) -> None:
        """Record that bytes were received."""
        self._last_received_us = now_us

    def on_idle(self, now_us: int) -> None:
        """Record that the last open stream has ended."""
        self._idle_since_us = now_us

    def on_ping_sent(self, now_us: int) -> None:
        """Record that a ping was sent."""
        self._ping_sent_us = now_us

    def on_ping_ack(self) -> None:
        """Record that the ping was acknowledged."""
        self._ping_sent_us = 0

    def should_drain(self, now_us: int, is_idle: bool) -> bool:
        """Return whether the connection exceeds its maximum age or its idle timeout."""
        if now_us - self._created_us > MAX_AGE_S * 1e6:
            return True
        return is_idle and now_us - self._idle_since_us > IDLE_TIMEOUT_S * 1e6

    def ping_timed_out(self, now_us: int) -> bool:
        """Return whether the acknowledgement of a ping is overdue."""
        return bool(self._ping_sent_us) and now_us - self._ping_sent_us > PING_TIMEOUT_S * 1e6

    def ping_due(self, now_us: int) -> bool:
        """Return whether a ping should be sent, as the server has sent nothing for `PING_AFTER_S`."""
        return not self._ping_sent_us and now_us - self._last_received_us > PING_AFTER_S * 1e6
