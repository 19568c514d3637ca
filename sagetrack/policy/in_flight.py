"""This gateway's attempts in flight, held against its share of what all servers may hold."""

from __future__ import annotations

from sagetrack.policy.concurrency_share import ConcurrencyShare
from sagetrack.policy.policy_context import PolicyContext
from sagetrack.policy.state import Attempt
from sagetrack.policy.timers import TimerPurpose

PLANNED_CONCURRENCY = 0.85  # of what servers may hold, in the mean, by gateways that don't see each other's

NO_TIMER = -1


class InFlightAttempts:
    """Counts attempts in flight; where concurrency is scarce, tells when one more may be sent."""

    def __init__(self, shared: PolicyContext) -> None:
        self._context = shared.event
        self._fleet = shared.fleet
        self._timers = shared.timers
        self._share = ConcurrencyShare()
        self._planned_per_server = PLANNED_CONCURRENCY * shared.fleet.max_concurrency
        self.count = 0
        self.timer_token = NO_TIMER  # the timer that ends a wait for this gateway's share

    def pass_time(self, now_us: int) -> None:
        """Account for what was in flight until now. To be called before anything else of an event."""
        if self._fleet.is_concurrency_scarce():
            self._share.pass_time(now_us, self.count)

    def add(self, attempt: Attempt) -> None:
        """An attempt is with its server from now on."""
        attempt.server.in_flight[attempt] = self._context.now_us
        self.count += 1

    def remove(self, attempt: Attempt) -> None:
        """Its server no longer holds an attempt."""
        if attempt.server.in_flight.pop(attempt, None) is not None:
            self.count -= 1

    def has_quota(self, now_us: int, usable_servers: int) -> bool:
        """Whether one more may be sent now; where that is so by itself later, a timer is set.

        Hundreds of gateways that each hold no more than one attempt at each server would overload them.
        """
        fleet = self._fleet
        if not fleet.is_concurrency_scarce():
            return True
        part = self._planned_per_server * usable_servers / fleet.gateways / fleet.processes
        wait_us = self._share.wait_us(now_us, self.count, part)
        if wait_us == 0:
            return True
        if wait_us is not None and self.timer_token == NO_TIMER:
            self.timer_token = self._timers.set(now_us + wait_us, TimerPurpose.CONCURRENCY_SHARE)
        return False

    def timer_fired(self) -> None:
        """The wait for this gateway's share is over."""
        self.timer_token = NO_TIMER

    def learn(self, queued: float) -> None:
        """An answer has queued for so many times its baseline latency; a lost or rejected one for ever."""
        self._share.learn(queued)
