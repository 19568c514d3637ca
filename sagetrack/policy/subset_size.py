"""How many servers a gateway spreads over: subsetting, as wide as what it has in flight needs."""

from __future__ import annotations

MIN_SUBSET = 3  # few enough that breakers see many outcomes each, and enough to outlive a bad third
DECAY = 0.98  # of the widest recently needed subset, left after each attempt
DECAY_SCARCE = 0.8  # the same where concurrency is scarce: a wider subset meets more of the other gateways


class SubsetSize:
    """The size of the subset: follows attempts in flight up at once and down slowly."""

    __slots__ = ("size",)

    def __init__(self) -> None:
        self.size = float(MIN_SUBSET)

    def attempt_sent(self, in_flight: int, concurrency_is_scarce: bool) -> None:
        """Adapt to the attempts in flight, the one that has just been sent among them."""
        if not concurrency_is_scarce:
            needed, decay = MIN_SUBSET + in_flight, DECAY
        else:
            needed, decay = 1 + in_flight, DECAY_SCARCE
        self.size = max(MIN_SUBSET, needed, MIN_SUBSET + (self.size - MIN_SUBSET) * decay)
