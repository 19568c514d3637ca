"""Subsetting: the number of servers that a gateway spreads requests over, by its attempts in flight."""

from __future__ import annotations

# Small enough that each breaker gets many outcomes, and large enough to tolerate a third of unhealthy
# servers.
MIN_SUBSET = 3
DECAY = 0.98  # factor applied to the size above the minimum with each attempt
# The same if concurrency is scarce. It shrinks faster, as a larger subset overlaps with more gateways.
DECAY_SCARCE = 0.8


class SubsetSize:
    """The size of the subset. It grows at once with the attempts in flight and shrinks slowly."""

    __slots__ = ("size",)

    def __init__(self) -> None:
        self.size = float(MIN_SUBSET)

    def attempt_sent(self, in_flight: int, concurrency_is_scarce: bool) -> None:
        """Adapt the size to the attempts in flight, including the one that was just sent."""
        if not concurrency_is_scarce:
            needed, decay = MIN_SUBSET + in_flight, DECAY
        else:
            needed, decay = 1 + in_flight, DECAY_SCARCE
        self.size = max(MIN_SUBSET, needed, MIN_SUBSET + (self.size - MIN_SUBSET) * decay)
