"""The idempotency keys that the servers of one scope (a rack, a zone or the fleet) have seen."""

from __future__ import annotations

from itertools import islice

MAX_AGE_US = 60_000_000  # keys are evicted after this time; deduplication windows are shorter


class IdempotencyKeys:
    """Stores when each key last had its effect; all servers of one scope share it."""

    def __init__(self) -> None:
        self._effect_us: dict[int, int] = {}  # by key, oldest first

    def register(self, key: int, now_us: int, window_us: int) -> bool:
        """Return whether a request with this key has an effect, and record the effect.

        It has one if the key is new or its deduplication window has passed.
        """
        effect_us = self._effect_us.get(key)
        if effect_us is not None and now_us - effect_us < window_us:
            return False
        if effect_us is not None:
            del self._effect_us[key]  # it is inserted again at the end: the dictionary stays ordered by age
        self._effect_us[key] = now_us
        # Up to two keys are evicted for each new one, so that the store shrinks again after a burst.
        for old_key in list(islice(self._effect_us, 2)):
            if now_us - self._effect_us[old_key] > MAX_AGE_US:
                del self._effect_us[old_key]
        return True
