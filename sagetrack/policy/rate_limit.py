"""Rate limits by key that allow bursts and use bounded memory."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass


class BoundedTable:
    """Maps keys to numbers. When it is full, the least recently updated key is evicted."""

    __slots__ = ("capacity", "rows")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.rows: OrderedDict[Hashable, float] = OrderedDict()

    def get(self, key: Hashable, default: float) -> float:
        """Return the number of a key, or `default` if the key is not in the table."""
        return self.rows.get(key, default)

    def put(self, key: Hashable, value: float, evictable_below: float = math.inf) -> bool:
        """Insert or update the number of a key.

        Returns:
            False, without a change, if the table is full and its least recently updated number is not below
            `evictable_below`.
        """
        if key not in self.rows and len(self.rows) >= self.capacity:
            oldest = next(iter(self.rows), None)
            if oldest is None or self.rows[oldest] >= evictable_below:
                return False
            del self.rows[oldest]
        self.rows[key] = value
        self.rows.move_to_end(key)
        return True

    def __len__(self) -> int:
        return len(self.rows)


@dataclass(slots=True, frozen=True)
class Rate:
    """A rate limit: requests per second, and the number of requests allowed at once after a pause."""

    per_s: float
    burst: float = 1.0


class RateLimiter:
    """Limits rates by key with the generic cell rate algorithm (ITU-T I.371).

    It stores one number per key: the theoretical arrival time of the next request, in microseconds.
    """

    def __init__(self, rate: Rate, capacity: int) -> None:
        """Create an empty limiter that tracks at most `capacity` keys at once."""
        self.rate = rate
        self.table = BoundedTable(capacity)

    def wait_us(self, key: Hashable, now_us: int) -> int:
        """Return the time until the next request of a key conforms, 0 for now, without counting one."""
        gap_us = 1e6 / self.rate.per_s
        arrival_us = self.table.get(key, float(now_us))
        return max(0, math.ceil(arrival_us - now_us - gap_us * (self.rate.burst - 1.0)))

    def take(self, key: Hashable, now_us: int) -> None:
        """Count a request, unless the table has no space for its key; other limits still apply."""
        gap_us = 1e6 / self.rate.per_s
        arrival_us = max(self.table.get(key, 0.0), float(now_us)) + gap_us
        self.table.put(key, arrival_us, float(now_us))
