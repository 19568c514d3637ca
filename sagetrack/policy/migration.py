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
LEAST = 30  # answers of the newer servers before a verdict
MEMORY_US = 10_000_000  # outcomes count by 1/e after this
HOLD_US = 15_000_000  # all stays with the older format for so long; doubles with each return
LONGEST_US = 300_000_000
STEPS = (0.1, 0.3, 0.6, 1.0)  # of the stated share, when it comes again
STEP_US = 5_000_000
TRICKLE = 1e-6  # a weight that is never drawn while another server may be


@dataclass(slots=True)
class Tally:
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
    def failing(self) -> float:
        return self.bad / self.count if self.count else 0.0


@dataclass(slots=True)
class Move:
    """The state of one move."""

    share: float | None = None  # of the work that the newer servers shall have; None: as weights are listed
    classes: dict[int, float] = field(default_factory=dict)  # by class: shares that differ from it
    members: dict[int, float] = field(default_factory=dict)  # by member, and these go before
    old: Tally = field(default_factory=Tally)
    new: Tally = field(default_factory=Tally)
    held_until_us: int = 0
    hold_us: int = HOLD_US
    returns: int = 0

    def record(self, newer: bool, failed: bool, now_us: int) -> bool:
        """Enter an outcome; True if the newer format has to be left for now."""
        (self.new if newer else self.old).add(failed, now_us)
        if not newer or not failed or now_us < self.held_until_us or self.new.count < LEAST:
            return False
        gap = self.new.failing - self.old.failing
        error = math.sqrt(
            self.new.failing * (1 - self.new.failing) / self.new.count
            + (self.old.failing * (1 - self.old.failing) / self.old.count if self.old.count else 0.0)
        )
        if gap <= max(BEYOND, SURE * error):
            return False
        self.held_until_us = now_us + self.hold_us
        self.hold_us = min(2 * self.hold_us, LONGEST_US)
        self.new = Tally(at_us=now_us)
        self.returns += 1
        return True

    def part(self, now_us: int) -> float:
        """Part of the stated share that holds now: 0 while all is with the older format."""
        if now_us < self.held_until_us:
            return 0.0
        if not self.returns:
            return 1.0
        return STEPS[min(len(STEPS) - 1, (now_us - self.held_until_us) // STEP_US)]

    def factors(self, now_us: int, old_weight: float, new_weight: float) -> tuple[float, float]:
        """What listed weights of older and newer servers are multiplied by; their sums are given.

        With servers of one format alone nothing is changed: a call is better served by a doubtful format
        than not at all.
        """
        return self.factors_for(self.share, self.part(now_us), old_weight, new_weight)

    def factors_for(
        self, share: float | None, part: float, old_weight: float, new_weight: float
    ) -> tuple[float, float]:
        if old_weight <= 0 or new_weight <= 0:
            return 1.0, 1.0
        if share is None:
            return 1.0, max(TRICKLE, part)
        share *= part
        if share >= 1.0:
            return TRICKLE, 1.0
        return 1.0, max(TRICKLE, share / (1.0 - share) * old_weight / new_weight)

    def turns(
        self, now_us: int, old_weight: float, new_weight: float
    ) -> tuple[dict[int, tuple[float, float]], dict[int, tuple[float, float]]]:
        """By class and by member: what weights that `factors` has turned are multiplied by once more."""
        part = self.part(now_us)
        old, new = self.factors_for(self.share, part, old_weight, new_weight)

        def turned(shares: dict[int, float]) -> dict[int, tuple[float, float]]:
            found = {}
            for number, share in shares.items():
                its_old, its_new = self.factors_for(share, part, old_weight, new_weight)
                found[number] = its_old / old, its_new / new
            return found

        return turned(self.classes), turned(self.members)
