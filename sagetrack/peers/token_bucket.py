"""Token bucket: limits the rate of datagrams and permits bursts."""

from __future__ import annotations


class TokenBucket:
    """A bucket whose tokens accrue at a fixed rate up to a maximum; it is initially full."""

    def __init__(self, rate_per_s: float, burst: float, now_us: int) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_us = now_us

    def take(self, now_us: int, count: int) -> bool:
        """Take `count` tokens, or none if fewer are available.

        Returns:
            True if the tokens were taken.
        """
        accrued = (now_us - self._updated_us) / 1e6 * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + accrued)
        self._updated_us = now_us
        if self._tokens < count:
            return False
        self._tokens -= count
        return True
