"""Migrates a share of the traffic to the servers of another protocol, with automatic fallback.

The operator sets a target share, and the listed weights of servers are multiplied by factors so that the
servers of the new protocol get that share. If these fail significantly more often than the old ones, all
traffic falls back to the old protocol; later the share ramps up again in steps.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_EXCESS_FAILURE_RATE = 0.05  # a larger excess over the old servers' failure rate may cause a fallback
SIGNIFICANCE = 2.6  # limit in standard errors of the difference; exceeded by chance in one of 200 checks
MIN_OUTCOMES = 30  # outcomes of new servers needed before a fallback
DECAY_TIME_US = 10_000_000  # the weight of an outcome falls to 1/e in this time
FALLBACK_US = 15_000_000  # duration of the first fallback; it doubles with each further one
MAX_FALLBACK_US = 300_000_000
RAMP_STEPS = (0.1, 0.3, 0.6, 1.0)  # fractions of the target share after a fallback
RAMP_STEP_US = 5_000_000  # duration of each step
NEGLIGIBLE_WEIGHT = 1e-6  # factor for servers to be selected only if there are no others


class WeightFactors(NamedTuple):
    """Factors on the listed weights of old and new servers."""

    old: float
    new: float


class OverrideFactors(NamedTuple):
    """Factors (old, new) by index, for classes and tenants whose share differs from the target share."""

    classes: dict[int, tuple[float, float]]
    tenants: dict[int, tuple[float, float]]


@dataclass(slots=True)
class DecayedOutcomes:
    """Exponentially decaying counts of the outcomes of one protocol's servers."""

    successes: float = 0.0
    failures: float = 0.0
    at_us: int = 0

    def add(self, failed: bool, now_us: int) -> None:
        """Count an outcome after decaying the earlier ones."""
        decay = math.exp((self.at_us - now_us) / DECAY_TIME_US)
        self.successes, self.failures, self.at_us = self.successes * decay, self.failures * decay, now_us
        if failed:
            self.failures += 1.0
        else:
            self.successes += 1.0

    @property
    def count(self) -> float:
        """Decayed number of outcomes at the time of the latest one."""
        return self.successes + self.failures

    @property
    def failure_rate(self) -> float:
        """Fraction of failures among the outcomes; 0 without outcomes."""
        return self.failures / self.count if self.count else 0.0

    @property
    def variance(self) -> float:
        """Squared standard error of the failure rate; 0 without outcomes."""
        return self.failure_rate * (1 - self.failure_rate) / self.count if self.count else 0.0


@dataclass(slots=True)
class Migration:
    """The state of one migration."""

    target_share: float | None = None  # share of the new servers; None: unchanged listed weights
    # Shares of classes that differ from the target share
    class_shares: dict[int, float] = field(default_factory=dict)
    # Shares of tenants; they take precedence over class shares
    tenant_shares: dict[int, float] = field(default_factory=dict)
    old: DecayedOutcomes = field(default_factory=DecayedOutcomes)
    new: DecayedOutcomes = field(default_factory=DecayedOutcomes)
    fallback_until_us: int = 0
    fallback_us: int = FALLBACK_US  # duration of the next fallback
    fallbacks: int = 0

    def record(self, is_new: bool, failed: bool, now_us: int) -> bool:
        """Count an outcome of an old or a new server.

        Returns:
            True if it starts a fallback; the caller must then apply the weight factors again.
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
        """Return the fraction of the target share that applies now; 0 during a fallback."""
        if now_us < self.fallback_until_us:
            return 0.0
        if not self.fallbacks:
            return 1.0
        return RAMP_STEPS[min(len(RAMP_STEPS) - 1, (now_us - self.fallback_until_us) // RAMP_STEP_US)]

    def weight_factors(self, now_us: int, old_weight: float, new_weight: float) -> WeightFactors:
        """Return the factors on listed weights, given the sums of the listed weights of old and new servers.

        Both are 1 if there are servers of one protocol only: a server that may fail is better than none.
        """
        return _weight_factors(self.target_share, self.ramp_fraction(now_us), old_weight, new_weight)

    def override_factors(self, now_us: int, old_weight: float, new_weight: float) -> OverrideFactors:
        """Return additional factors for classes and tenants whose share differs from the target share.

        They apply on top of the factors from `weight_factors`.
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
    """Return the factors that give the new servers the fraction `ramp` of a share."""
    if old_weight <= 0 or new_weight <= 0:
        return WeightFactors(1.0, 1.0)
    if share is None:
        return WeightFactors(1.0, max(NEGLIGIBLE_WEIGHT, ramp))
    share *= ramp
    if share >= 1.0:
        return WeightFactors(NEGLIGIBLE_WEIGHT, 1.0)
    return WeightFactors(1.0, max(NEGLIGIBLE_WEIGHT, share / (1.0 - share) * old_weight / new_weight))
