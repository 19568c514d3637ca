"""The idempotency keys that the servers of one scope have seen."""

from __future__ import annotations

from itertools import islice

MAX_AGE_US = 60_000_000  # a key is forgotten after this: windows are shorter


class IdempotencyKeys:
    """Owns when each key last had its effect; servers of one scope share it."""

    def __init__(self) -> None:
        self._effect_us: dict[int, int] = {}  # the oldest first

    def take(self, key: int, now_us: int, window_us: int) -> bool:
        """Whether a request with the key has its effect: the key is new, or its window is over."""
        effect_us = self._effect_us.get(key)
        if effect_us is not None and now_us - effect_us < window_us:
            return False
        if effect_us is not None:
            del self._effect_us[key]  # so that the oldest stay in front
        self._effect_us[key] = now_us
        for old in list(islice(self._effect_us, 2)):  # two out for one in: it shrinks again after a burst
            if now_us - self._effect_us[old] > MAX_AGE_US:
                del self._effect_us[old]
        return True
