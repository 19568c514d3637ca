"""Moving a share of the work from servers of an older format to newer ones, and back by itself. Pure.

The operator states a share; listed weights are multiplied so that the draw gives that share to the newer
servers. Where these fail more than the older ones do, beyond chance, all goes back to the older format, and
comes again by steps once they have been left alone for a while.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

BEYOND = 0.05  # failure share above the older servers' that is too much
SURE = 2.6  # standard errors of the difference: chance alone passes it once in two hundred looks
MIN_OUTCOMES = 30  # answers of the newer servers before a verdict
MEMORY_US = 10_000_000  # outcomes count by 1/e after this
HOLD_US = 15_000_000  # all stays with the older format for so long; doubles with each return
LONGEST_US = 300_000_000
STEPS = (0.1, 0.3, 0.6, 1.0)  # of the stated share, when it comes again
RAMP_STEP_US = 5_000_000
TRICKLE = 1e-6  # a weight that is never drawn while another server may be


@dataclass(slots=True)
class DecayedOutcomes:
    """Outcomes of one format, fading."""

    good: float = 0.0
    bad: float = 0.0
    at_us: int = 0

    def add(self, failed: bool, now_us: int) -> None:
        faded = math.exp((self.at_us - now_us) / MEMORY_US)
        self.good, self.bad, self.at_us = self.good * faded, self.bad * faded, now_us
        if failed:
            self.bad += 1.0
        else:
            self.good += 1.0

    @property
    def count(self) -> float:
        return self.good + self.bad

    @property
    def failure_rate(self) -> float:
        return self.bad / self.count if self.count else 0.0


@dataclass(slots=True)
class Migration:
    """The state of one move."""

    target_share: float | None = (
        None  # of the work that the newer servers shall have; None: as weights are listed
    )
    class_shares: dict[int, float] = field(default_factory=dict)  # by class: shares that differ from it
    tenant_shares: dict[int, float] = field(default_factory=dict)  # by member, and these go before
    old: DecayedOutcomes = field(default_factory=DecayedOutcomes)
    new: DecayedOutcomes = field(default_factory=DecayedOutcomes)
    fallback_until_us: int = 0
    fallback_us: int = HOLD_US
    fallbacks: int = 0

    def record(self, newer: bool, failed: bool, now_us: int) -> bool:
        """Enter an outcome; True if the newer format has to be left for now."""
        (self.new if newer else self.old).add(failed, now_us)
        if not newer or not failed or now_us < self.fallback_until_us or self.new.count < MIN_OUTCOMES:
            return False
        gap = self.new.failure_rate - self.old.failure_rate
        error = math.sqrt(
            self.new.failure_rate * (1 - self.new.failure_rate) / self.new.count
            + (
                self.old.failure_rate * (1 - self.old.failure_rate) / self.old.count
                if self.old.count
                else 0.0
            )
        )
        if gap <= max(BEYOND, SURE * error):
            return False
        self.fallback_until_us = now_us + self.fallback_us
        self.fallback_us = min(2 * self.fallback_us, LONGEST_US)
        self.new = DecayedOutcomes(at_us=now_us)
        self.fallbacks += 1
        return True

    def ramp_fraction(self, now_us: int) -> float:
        """Part of the stated share that holds now: 0 while all is with the older format."""
        if now_us < self.fallback_until_us:
            return 0.0
        if not self.fallbacks:
            return 1.0
        return STEPS[min(len(STEPS) - 1, (now_us - self.fallback_until_us) // RAMP_STEP_US)]

    def weight_factors(self, now_us: int, old_weight: float, new_weight: float) -> tuple[float, float]:
        """What listed weights of older and newer servers are multiplied by; their sums are given.

        With servers of one format alone nothing is changed: a call is better served by a doubtful format
        than not at all.
        """
        return self.factors_for(self.target_share, self.ramp_fraction(now_us), old_weight, new_weight)

    def factors_for(
        self, target_share: float | None, ramp_fraction: float, old_weight: float, new_weight: float
    ) -> tuple[float, float]:
        if old_weight <= 0 or new_weight <= 0:
            return 1.0, 1.0
        if target_share is None:
            return 1.0, max(TRICKLE, ramp_fraction)
        target_share *= ramp_fraction
        if target_share >= 1.0:
            return TRICKLE, 1.0
        return 1.0, max(TRICKLE, target_share / (1.0 - target_share) * old_weight / new_weight)

    def override_factors(
        self, now_us: int, old_weight: float, new_weight: float
    ) -> tuple[dict[int, tuple[float, float]], dict[int, tuple[float, float]]]:
        """By class and by member: factors on weights that `weight_factors` has turned already."""
        ramp_fraction = self.ramp_fraction(now_us)
        old, new = self.factors_for(self.target_share, ramp_fraction, old_weight, new_weight)

        def turned(shares: dict[int, float]) -> dict[int, tuple[float, float]]:
            found = {}
            for number, target_share in shares.items():
                its_old, its_new = self.factors_for(target_share, ramp_fraction, old_weight, new_weight)
                found[number] = its_old / old, its_new / new
            return found

        return turned(self.class_shares), turned(self.tenant_shares)
