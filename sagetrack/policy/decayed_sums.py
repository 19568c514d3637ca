"""Sums by key that all decay with each addition to any of them, at a cost that no other key adds to. Pure."""

from __future__ import annotations

from collections.abc import Sequence


class DecayingSums:
    """Each addition leaves `kept` of every sum first. A sum is worked out when it is asked for.

    It stands as it was at its own last addition, with the number of that; what it has lost since is a power
    of `kept`, so that nothing grows without end and nothing need be scaled anew. The total is kept beside.
    As if all were multiplied each time, to a relative 1e-9: a product of many rounds otherwise than a power.
    """

    def __init__(self, kept: float, first: Sequence[float]) -> None:
        """`first` are the sums by key to begin with; `kept` is above 0 and below 1."""
        self._kept = kept
        self._sums = list(first)
        self._added = [0] * len(self._sums)  # the addition that each stands as of
        self._additions = 0
        self.total = sum(self._sums)  # of all sums now

    def __len__(self) -> int:
        return len(self._sums)

    def __getitem__(self, key: int) -> float:
        """The sum of a key now."""
        return self._sums[key] * self._kept ** (self._additions - self._added[key])

    def add(self, key: int) -> float:
        """One more for a key, after all have decayed; returns its sum."""
        self._additions += 1
        now = self[key] + 1
        self._sums[key], self._added[key] = now, self._additions
        self.total = self.total * self._kept + 1
        return now
