"""Migration of a share of the traffic from one protocol's servers to another's, with automatic fallback.

The operator sets a target share; the servers' listed weights are multiplied so that weighted selection gives
the new protocol's servers that share. Where these fail more often than the old ones, beyond chance, all
traffic falls back to the old protocol, and ramps up again in steps after a while.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_EXCESS_FAILURE_RATE = 0.05  # above the old servers' failure rate; more causes a fallback
SIGNIFICANCE = 2.6  # standard errors of the difference: chance alone exceeds it in one check of two hundred
MIN_OUTCOMES = 30  # of the new servers before they are judged
DECAY_TIME_US = 10_000_000  # outcomes count by 1/e after this
FALLBACK_US = 15_000_000  # the first fallback lasts so long, each further one twice as long as the last
MAX_FALLBACK_US = 300_000_000
RAMP_STEPS = (0.1, 0.3, 0.6, 1.0)  # of the target share, after a fallback
RAMP_STEP_US = 5_000_000
NEGLIGIBLE_WEIGHT = 1e-6  # factor for servers that are selected only when there are no others


class WeightFactors(NamedTuple):
    """What the listed weights of the old and of the new servers are multiplied by."""

    old: float
    new: float


class OverrideFactors(NamedTuple):
    """By number: factors, old and new, of classes and tenants whose share differs from the target share."""

    classes: dict[int, tuple[float, float]]
    tenants: dict[int, tuple[float, float]]


@dataclass(slots=True)
class DecayedOutcomes:
    """Outcomes of one protocol's servers, decaying with time."""

    successes: float = 0.0
    failures: float = 0.0
    at_us: int = 0

    def add(self, failed: bool, now_us: int) -> None:
        """Count an outcome."""
        decay = math.exp((self.at_us - now_us) / DECAY_TIME_US)
        self.successes, self.failures, self.at_us = self.successes * decay, self.failures * decay, now_us
        if failed:
            self.failures += 1.0
        else:
            self.successes += 1.0

    @property
    def count(self) -> float:
        """How many outcomes, as they have decayed by the last one."""
        return self.successes + self.failures

    @property
    def failure_rate(self) -> float:
        """Fraction of the outcomes that are failures; 0 without any."""
        return self.failures / self.count if self.count else 0.0

    @property
    def variance(self) -> float:
        """Squared standard error of the failure rate; 0 without any outcome."""
        return self.failure_rate * (1 - self.failure_rate) / self.count if self.count else 0.0


@dataclass(slots=True)
class Migration:
    """The state of one migration."""

    target_share: float | None = None  # of the traffic for the new servers; None: as weights are listed
    class_shares: dict[int, float] = field(default_factory=dict)  # by class: shares that differ from it
    tenant_shares: dict[int, float] = field(default_factory=dict)  # by tenant; these override a class's
    old: DecayedOutcomes = field(default_factory=DecayedOutcomes)
    new: DecayedOutcomes = field(default_factory=DecayedOutcomes)
    fallback_until_us: int = 0
    fallback_us: int = FALLBACK_US  # how long the next fallback lasts
    fallbacks: int = 0

    def record(self, is_new: bool, failed: bool, now_us: int) -> bool:
        """Count an outcome of an old or a new server.

        Returns:
            True if it starts a fallback: the caller applies the weight factors anew.
        """
        (self.new if is_new else self.old).add(failed, now_us)
        if not is_new or not failed or now_us < self.fallback_until_us or self.new.count < MIN_OUTCOMES:
            return False
        excess = self.new.failure_rate - self.old.failure_rate
        standard_error = math.sqrt(self.new.variance + self.old.variance)
        if excess <= max(MAX_EXCESS_FAILURE_RATE, SIGNIFICANCE * standard_error):
            return False
        self.fallback_until_us = now_us + self.fallback_us
        self.fallback_us = min(2 * self.fallback_us, MAX_FALLBACK_US)
        self.new = DecayedOutcomes(at_us=now_us)
        self.fallbacks += 1
        return True

    def ramp_fraction(self, now_us: int) -> float:
        """Fraction of the target share that applies now: 0 during a fallback."""
        if now_us < self.fallback_until_us:
            return 0.0
        if not self.fallbacks:
            return 1.0
        return RAMP_STEPS[min(len(RAMP_STEPS) - 1, (now_us - self.fallback_until_us) // RAMP_STEP_US)]

    def weight_factors(self, now_us: int, old_weight: float, new_weight: float) -> WeightFactors:
        """The factors on listed weights, given the sums of these over old and over new servers.

        With servers of one protocol alone they are 1: a server that may fail is better than none.
        """
        return _weight_factors(self.target_share, self.ramp_fraction(now_us), old_weight, new_weight)

    def override_factors(self, now_us: int, old_weight: float, new_weight: float) -> OverrideFactors:
        """The further factors of classes and tenants with a share of their own.

        They apply to weights that have been multiplied by `weight_factors` already.
        """
        ramp = self.ramp_fraction(now_us)
        default = _weight_factors(self.target_share, ramp, old_weight, new_weight)

        def relative(shares: dict[int, float]) -> dict[int, tuple[float, float]]:
            found = {}
            for number, share in shares.items():
                own = _weight_factors(share, ramp, old_weight, new_weight)
                found[number] = own.old / default.old, own.new / default.new
            return found

        return OverrideFactors(relative(self.class_shares), relative(self.tenant_shares))


def _weight_factors(share: float | None, ramp: float, old_weight: float, new_weight: float) -> WeightFactors:
    """The factors by which the new servers get the ramped fraction of a share."""
    if old_weight <= 0 or new_weight <= 0:
        return WeightFactors(1.0, 1.0)
    if share is None:
        return WeightFactors(1.0, max(NEGLIGIBLE_WEIGHT, ramp))
    share *= ramp
    if share >= 1.0:
        return WeightFactors(NEGLIGIBLE_WEIGHT, 1.0)
    return WeightFactors(1.0, max(NEGLIGIBLE_WEIGHT, share / (1.0 - share) * old_weight / new_weight))
