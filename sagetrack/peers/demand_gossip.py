"""What members ask for at this gateway, told to a few others each second. Pure.

Shares are to hold for all gateways together: each tells its demands to a few others drawn by lot, and reckons
from those that it hears of to all. So a gateway sends the same few datagrams however many there are.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from sagetrack.peers.codec import Wanted

EVERY_US = 1_000_000
FELLOWS = 6  # that are told each time
PLACES = 24  # members that fit into a datagram, those of the highest demand


def wanted(demands: Sequence[float]) -> Wanted | None:
    """The message; None where nobody asks. `demands` in microseconds of work for a second, by member."""
    told = sorted(((int(us / 1000), n) for n, us in enumerate(demands) if us >= 1000), reverse=True)
    return Wanted([(n, ms) for ms, n in told[:PLACES]]) if told else None


def demands_in(message: Wanted, members: int) -> tuple[float, ...]:
    """The demands that a message tells, in microseconds; members beyond our own settings are passed over."""
    demands = [0.0] * members
    for place, ms in message.demands:
        if place < members:
            demands[place] = ms * 1000.0
    return tuple(demands)


class Herald:
    """When to tell, and whom."""

    def __init__(self, me: int, count: int, seed: int, now_us: int) -> None:
        self.others = [number for number in range(count) if number != me]
        self.draw = random.Random(seed)
        # Not all at the same moment: a restart of many must not make their datagrams come together.
        self.due_us = now_us + int(self.draw.random() * EVERY_US)

    def whom(self, now_us: int) -> list[int]:
        """Who is told now; nobody before it is time."""
        if now_us < self.due_us:
            return []
        self.due_us = now_us + EVERY_US
        return self.draw.sample(self.others, min(FELLOWS, len(self.others)))
