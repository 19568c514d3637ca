"""A count-based circuit breaker with a sliding window of outcomes and the usual three states."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

WINDOW = 10  # number of outcomes; at most about a second of one gateway's traffic to one server
MIN_OUTCOMES_TO_OPEN = 5  # with fewer outcomes, chance failures would open the breaker
FAILURE_THRESHOLD = 0.5  # failure share that opens the breaker if the other servers have no failures
HALF_OPEN_TRIALS = 3  # trial attempts per half-open period
FIRST_COOLDOWN_US = 1_000_000  # the cooldown doubles each time a half-open breaker opens again
MAX_COOLDOWN_US = 8_000_000


class State(Enum):
    """State of a circuit breaker: it allows all requests, none, or a few trials."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@dataclass(slots=True, eq=False)
class Breaker:
    """Circuit breaker of one server, or of one request class at a server."""

    min_outcomes: int = MIN_OUTCOMES_TO_OPEN  # outcomes in the window before the breaker may open
    window: deque[bool] = field(default_factory=lambda: deque(maxlen=WINDOW))  # last outcomes; True: failed
    failures: int = 0  # number of failures in the window
    state: State = State.CLOSED
    open_until_us: int = 0
    cooldown_us: int = FIRST_COOLDOWN_US
    half_open_period: int = 0  # number of half-open periods so far
    trials_in_flight: int = 0
    # Outcomes of the trials in the current half-open period; True: failed.
    trial_results: list[bool] = field(default_factory=list)

    def allows_request(self, now_us: int) -> bool:
        """Return whether a request may be sent; an open breaker whose cooldown is over becomes half-open."""
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
        """Count an attempt as a trial if half-open; returns the half-open period, or 0 if it is no trial."""
        if self.state is not State.HALF_OPEN:
            return 0
        self.trials_in_flight += 1
        return self.half_open_period

    def record(
        self, now_us: int, failed: bool, half_open_period: int, common_failure_share: float
    ) -> State | None:
        """Record the outcome of an attempt.

        Args:
            now_us: The current time.
            failed: True if the attempt failed.
            half_open_period: The value that `take_trial` returned for the attempt.
            common_failure_share: The recent failure share of the other servers.

        Returns:
            The new state if the outcome opened or closed the breaker, else None.
        """
        # Failures that all servers have in common raise the limit, as they are no reason to eject one. The
        # factor is squared because the failure share of a few outcomes varies by chance.
        limit = 1.0 - (1.0 - FAILURE_THRESHOLD) * (1.0 - common_failure_share) ** 2
        if self.state is State.HALF_OPEN:
            if half_open_period != self.half_open_period:
                return None  # while half-open, only the outcomes of trials count
            self.trials_in_flight -= 1
            self.trial_results.append(failed)
            # Later trials cannot change this result.
            if sum(self.trial_results) >= HALF_OPEN_TRIALS * limit:
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
        """Allow another trial in place of one whose outcome was inconclusive."""
        if self.state is State.HALF_OPEN and half_open_period == self.half_open_period:
            self.trials_in_flight -= 1

    def reopen(self, now_us: int) -> State:
        """Open immediately; if the breaker was half-open, the cooldown is doubled."""
        if self.state is State.HALF_OPEN:
            self.cooldown_us = min(2 * self.cooldown_us, MAX_COOLDOWN_US)
        return self.open(now_us)

    def open(self, now_us: int) -> State:
        """Allow no requests until the cooldown is over."""
        self.state = State.OPEN
        self.open_until_us = now_us + self.cooldown_us
        return self.state

    def close(self) -> State:
        """Allow all requests again, with an empty window."""
        self.state = State.CLOSED
        self.window.clear()
        self.failures = 0
        self.cooldown_us = FIRST_COOLDOWN_US
        return self.state
