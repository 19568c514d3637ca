"""A count-based circuit breaker: a window of the last outcomes with a minimum, and three states."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

WINDOW = 10  # outcomes: a second or less of one gateway's traffic to one server
MIN_OUTCOMES_TO_OPEN = 5  # outcomes before a verdict: fewer would open by chance
FAILURE_THRESHOLD = 0.5  # failure share that opens, on top of what all servers fail in common
HALF_OPEN_TRIALS = 3  # outcomes that decide in half-open
FIRST_COOLDOWN_US = 1_000_000  # first cooldown; doubles with each reopening from half-open
MAX_COOLDOWN_US = 8_000_000


class State(Enum):
    """What a breaker lets through: all, nothing, or a few trials."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@dataclass(slots=True, eq=False)
class Breaker:
    """The last outcomes of one server, or of one class at it, and the state that follows."""

    min_outcomes: int = MIN_OUTCOMES_TO_OPEN
    window: deque[bool] = field(default_factory=lambda: deque(maxlen=WINDOW))
    failures: int = 0
    state: State = State.CLOSED
    open_until_us: int = 0
    cooldown_us: int = FIRST_COOLDOWN_US
    half_open_period: int = 0  # half-open periods so far: trials are attempts sent in the present one
    trials_in_flight: int = 0
    trial_results: list[bool] = field(default_factory=list)

    def allows_request(self, now_us: int) -> bool:
        """Whether a request may be sent: closed, or half-open with trials left. Ends a past cooldown."""
        if self.state is State.CLOSED:
            return True
        if self.state is State.OPEN:
            if now_us < self.open_until_us:
                return False
            self.state = State.HALF_OPEN
            self.half_open_period += 1
            self.trials_in_flight = 0
            self.trial_results = []
        return self.trials_in_flight + len(self.trial_results) < HALF_OPEN_TRIALS

    def take_trial(self) -> int:
        """Count an attempt as a trial while half-open; returns the half-open period, or 0 for no trial."""
        if self.state is not State.HALF_OPEN:
            return 0
        self.trials_in_flight += 1
        return self.half_open_period

    def record(
        self, now_us: int, failed: bool, half_open_period: int, common_failure_share: float
    ) -> State | None:
        """Enter an outcome.

        Args:
            now_us: The present time.
            failed: Whether the attempt failed.
            half_open_period: What `take_trial` returned for the attempt.
            common_failure_share: The recent failure share of the other servers.

        Returns:
            The new state if it opened or closed the breaker, else None.
        """
        limit = (
            1.0 - (1.0 - FAILURE_THRESHOLD) * (1.0 - common_failure_share) ** 2
        )  # squared, as a few outcomes vary by chance
        if self.state is State.HALF_OPEN:
            if half_open_period != self.half_open_period:
                return None  # in half-open only the trials' outcomes count
            self.trials_in_flight -= 1
            self.trial_results.append(failed)
            if sum(self.trial_results) >= HALF_OPEN_TRIALS * limit:  # the other trials cannot change it
                return self.reopen(now_us)
            return self.close() if len(self.trial_results) == HALF_OPEN_TRIALS else None
        if len(self.window) == WINDOW:
            self.failures -= self.window[0]
        self.window.append(failed)
        self.failures += failed
        if failed and len(self.window) >= self.min_outcomes and self.failures >= len(self.window) * limit:
            return self.open(now_us)
        return None

    def return_trial(self, half_open_period: int) -> None:
        """Allow another trial in place of one that showed nothing."""
        if self.state is State.HALF_OPEN and half_open_period == self.half_open_period:
            self.trials_in_flight -= 1

    def reopen(self, now_us: int) -> State:
        """Open at once; from half-open for twice as long."""
        if self.state is State.HALF_OPEN:
            self.cooldown_us = min(2 * self.cooldown_us, MAX_COOLDOWN_US)
        return self.open(now_us)

    def open(self, now_us: int) -> State:
        """Let nothing through until the cooldown is over."""
        self.state = State.OPEN
        self.open_until_us = now_us + self.cooldown_us
        return self.state

    def close(self) -> State:
        """Let everything through, with an empty record."""
        self.state = State.CLOSED
        self.window.clear()
        self.failures = 0
        self.cooldown_us = FIRST_COOLDOWN_US
        return self.state
