"""Exponentially decayed sums by key, whose update cost does not depend on the number of keys."""

from __future__ import annotations

from collections.abc import Sequence


class DecayingSums:
    """Sums by key. Each addition to any key first multiplies every sum by `decay_factor`, lazily.

    A sum is stored with the sequence number of its own last addition, and its later decay is computed as a
    power of `decay_factor`. So no number grows without bound and nothing has to be rescaled. The total is
    stored separately. Because a power rounds differently from repeated multiplication, results match eager
    decay only to a relative error of 1e-9.
    """

    def __init__(self, decay_factor: float, initial: Sequence[float]) -> None:
        """Set the decay factor, which is between 0 and 1, and the initial sums by key."""
        self._decay_factor = decay_factor
        self._sums = list(initial)
        self._stored_at = [0] * len(self._sums)  # number of the addition at which each sum was stored
        self._additions = 0
        self.total = sum(self._sums)  # current total of all sums

    def __len__(self) -> int:
        return len(self._sums)

    def __getitem__(self, key: int) -> float:
        """Return the current sum of a key."""
        return self._sums[key] * self._decay_factor ** (self._additions - self._stored_at[key])

    def add(self, key: int) -> float:
        """Decay all sums, add one to a key's sum and return that sum."""
        self._additions += 1
        value = self[key] + 1
        self._sums[key], self._stored_at[key] = value, self._additions
        self.total = self.total * self._decay_factor + 1
        return value
