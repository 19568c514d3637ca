"""Age, idleness and keep-alive pings of one upstream connection, as rules over given times."""

from __future__ import annotations

IDLE_TIMEOUT_S = 8.0  # a connection without streams is closed after this
MAX_AGE_S = 600.0  # an older connection takes no new streams
PING_AFTER_S = 5.0  # without a byte from the server while streams are open
PING_TIMEOUT_S = 3.0  # for the answer to a ping


class Liveness:
    """Times of one connection; all times are in microseconds of the gateway's clock."""

    __slots__ = ("_created_us", "_idle_since_us", "_last_received_us", "_ping_sent_us")

    def __init__(self, now_us: int) -> None:
        self._created_us = now_us
        self._last_received_us = now_us
        self._idle_since_us = now_us
        self._ping_sent_us = 0  # 0: no ping is unanswered

    def on_received(self, now_us: int) -> None:
        """Bytes have arrived."""
        self._last_received_us = now_us

    def on_idle(self, now_us: int) -> None:
        """The last stream has ended."""
        self._idle_since_us = now_us

    def on_ping_sent(self, now_us: int) -> None:
        """A ping has been sent."""
        self._ping_sent_us = now_us

    def on_ping_ack(self) -> None:
        """The ping was answered."""
        self._ping_sent_us = 0

    def should_drain(self, now_us: int, is_idle: bool) -> bool:
        """Whether the connection is too old, or was idle for too long."""
        if now_us - self._created_us > MAX_AGE_S * 1e6:
            return True
        return is_idle and now_us - self._idle_since_us > IDLE_TIMEOUT_S * 1e6

    def ping_timed_out(self, now_us: int) -> bool:
        """Whether a ping has gone unanswered for too long."""
        return bool(self._ping_sent_us) and now_us - self._ping_sent_us > PING_TIMEOUT_S * 1e6

    def ping_due(self, now_us: int) -> bool:
        """Whether the server has been silent for so long that it should be pinged."""
        return not self._ping_sent_us and now_us - self._last_received_us > PING_AFTER_S * 1e6
