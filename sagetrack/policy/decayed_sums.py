"""Sums by key that all decay with each addition to any of them, at a cost independent of their number."""

from __future__ import annotations

from collections.abc import Sequence


class DecayingSums:
    """Each addition first multiplies every sum by `decay_factor`; this is evaluated lazily.

    A sum is stored as of its own last addition, with the number of that; its decay since is a power of
    `decay_factor`, so that no number grows without bound and nothing needs rescaling. The total is stored
    beside.
    Equal to multiplying all sums each time to a relative 1e-9, as a product rounds otherwise than a power.
    """

    def __init__(self, decay_factor: float, initial: Sequence[float]) -> None:
        """Take the factor, above 0 and below 1, and the sums by key to begin with."""
        self._decay_factor = decay_factor
        self._sums = list(initial)
        self._stored_at = [0] * len(self._sums)  # the number of the addition that each was stored at
        self._additions = 0
        self.total = sum(self._sums)  # of all sums now

    def __len__(self) -> int:
        return len(self._sums)

    def __getitem__(self, key: int) -> float:
        """The sum of a key now."""
        return self._sums[key] * self._decay_factor ** (self._additions - self._stored_at[key])

    def add(self, key: int) -> float:
        """Add one to a key's sum after all have decayed; returns it."""
        self._additions += 1
        value = self[key] + 1
        self._sums[key], self._stored_at[key] = value, self._additions
        self.total = self.total * self._decay_factor + 1
        return value
