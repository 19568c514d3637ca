"""This gateway's attempts in flight, and its share of the concurrency of all servers."""

from __future__ import annotations

from sagetrack.policy.concurrency_share import ConcurrencyShare
from sagetrack.policy.policy_context import PolicyContext
from sagetrack.policy.state import Attempt
from sagetrack.policy.timers import TimerPurpose

PLANNED_CONCURRENCY = 0.85  # of the servers' limits, in the mean: gateways don't see each other's attempts

NO_TIMER = -1


class InFlightAttempts:
    """Counts attempts in flight; where concurrency is scarce, says when one more may be sent."""

    def __init__(self, shared: PolicyContext) -> None:
        self._context = shared.event
        self._fleet = shared.fleet
        self._timers = shared.timers
        self._share = ConcurrencyShare()
        self._planned_per_server = PLANNED_CONCURRENCY * shared.fleet.max_concurrency
        self.count = 0
        self.timer_token = NO_TIMER  # the timer that ends a wait for this gateway's share

    def advance_time(self, now_us: int) -> None:
        """Account for what was in flight until now. To be called before anything else of an event."""
        if self._fleet.is_concurrency_scarce():
            self._share.update_credit(now_us, self.count)

    def add(self, attempt: Attempt) -> None:
        """Count an attempt as in flight at its server from now on."""
        attempt.server.in_flight[attempt] = self._context.now_us
        self.count += 1

    def remove(self, attempt: Attempt) -> None:
        """Count an attempt as in flight no longer."""
        if attempt.server.in_flight.pop(attempt, None) is not None:
            self.count -= 1

    def has_quota(self, now_us: int, usable_servers: int) -> bool:
        """Return whether one more may be sent now; where it may be at a known time later, set a timer.

        Hundreds of gateways with one attempt in flight at each server would overload the servers.
        """
        fleet = self._fleet
        if not fleet.is_concurrency_scarce():
            return True
        share = self._planned_per_server * usable_servers / fleet.gateways / fleet.processes
        wait_us = self._share.wait_us(now_us, self.count, share)
        if wait_us == 0:
            return True
        if wait_us is not None and self.timer_token == NO_TIMER:
            self.timer_token = self._timers.set(now_us + wait_us, TimerPurpose.CONCURRENCY_SHARE)
        return False

    def timer_fired(self) -> None:
        """Forget the timer that ended a wait for this gateway's share."""
        self.timer_token = NO_TIMER

    def learn(self, queued: float) -> None:
        """Learn from a response that queued for so many times its baseline latency; inf if it was lost."""
        self._share.learn(queued)
