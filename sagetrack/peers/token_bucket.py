"""A token bucket: a limit on datagrams per second that permits bursts."""

from __future__ import annotations


class TokenBucket:
    """Tokens that accrue at a fixed rate, up to a maximum; full at first."""

    def __init__(self, rate_per_s: float, burst: float, now_us: int) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._counted_us = now_us

    def take(self, now_us: int, count: int) -> bool:
        """Take so many tokens, or none at all if there are fewer.

        Returns:
            Whether they were taken.
        """
        accrued = (now_us - self._counted_us) / 1e6 * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + accrued)
        self._counted_us = now_us
        if self._tokens < count:
            return False
        self._tokens -= count
        return True
