"""Counts this gateway's attempts in flight, and limits them to its share of the servers' concurrency."""

from __future__ import annotations

from sagetrack.policy.concurrency_share import ConcurrencyShare
from sagetrack.policy.policy_context import PolicyContext
from sagetrack.policy.state import Attempt
from sagetrack.policy.timers import TimerPurpose

# Mean fraction of the servers' concurrency limits to use. It is below 1 because gateways don't see each
# other's attempts.
PLANNED_CONCURRENCY = 0.85

NO_TIMER = -1


class InFlightAttempts:
    """Counts attempts in flight; if concurrency is scarce, decides whether one more may be sent."""

    def __init__(self, policy_context: PolicyContext) -> None:
        self._context = policy_context.event_context
        self._fleet = policy_context.fleet
        self._timers = policy_context.timers
        self._share = ConcurrencyShare()
        self._planned_per_server = PLANNED_CONCURRENCY * policy_context.fleet.max_concurrency
        self.count = 0
        self.timer_token = NO_TIMER  # timer for the time when quota becomes available

    def advance_time(self, now_us: int) -> None:
        """Account for the attempts in flight until now. Must be called before an event is handled."""
        if self._fleet.is_concurrency_scarce():
            self._share.update_credit(now_us, self.count)

    def add(self, attempt: Attempt) -> None:
        """Record an attempt as in flight at its server from now on."""
        attempt.server.in_flight[attempt] = self._context.now_us
        self.count += 1

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt from those in flight, if it is one of them."""
        if attempt.server.in_flight.pop(attempt, None) is not None:
            self.count -= 1

    def has_quota(self, now_us: int, usable_servers: int) -> bool:
        """Return whether one more attempt may be sent; if not, set a timer if it may be sent at a known time.

        The quota is needed in large fleets: hundreds of gateways with just one attempt in flight at each
        server would overload the servers.
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
        """Clear the token of the quota timer after it has fired."""
        self.timer_token = NO_TIMER

    def learn(self, queued: float) -> None:
        """Adapt the concurrency share to the queueing delay of an attempt.

        Args:
            queued: The delay as a multiple of the baseline latency; infinity if there was no response.
        """
        self._share.learn(queued)
