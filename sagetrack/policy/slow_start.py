"""Slow start: limits the work that is sent to a server that is warming up.

A server becomes overloaded if it is sent more than a multiple of its current capacity for a whole overload
window. Each gateway keeps to its own part of that budget with one leaky bucket per server: work that is sent
fills the bucket, and half of the gateway's part drains in each window. The parts of all gateways add up to
the whole budget, without communication.
"""

from __future__ import annotations

from typing import NamedTuple

from sagetrack.policy.endpoint_ring import Ring
from sagetrack.policy.fleet_size import FleetSize
from sagetrack.policy.latency import LatencyEstimator
from sagetrack.policy.settings import Settings
from sagetrack.policy.state import Request, Server
from sagetrack.policy.subset_size import SubsetSize

BUDGET_MARGIN = 0.7  # fraction of the budget that is used; the rest covers estimation errors and chance
MAX_COST = 1.25  # upper bound of a request's cost, as a multiple of the baseline latency
PRIOR_RESPONSES = 0.5  # number of responses that the initial latency estimate counts for


class BudgetTerms(NamedTuple):
    """The drain of a bucket and the cost of a request, in microseconds of one core."""

    drained_us: float  # drains from the bucket in one overload window
    cost_us: float  # added to the bucket by the request


class SlowStart:
    """This gateway's budget for servers that warm up. Each bucket's level is stored in its server."""

    def __init__(
        self,
        settings: Settings,
        fleet: FleetSize,
        latency: LatencyEstimator,
        subset: SubsetSize,
        ring: Ring[Server],
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._latency = latency
        self._subset = subset
        self._ranked = ring.ranked

    def max_initial_use_us(self) -> float:
        """Return the highest initial bucket level of a new server.

        Hundreds of gateways learn of a new server at the same time, and each may send it at least one
        request. Each starts with a random level up to this one, which spreads these first requests in time.
        """
        first_us = max(*self._latency.smoothed_us, self.window_budget_us() / 2)
        if self._fleet.is_concurrency_scarce():
            first_us = max(first_us, MAX_COST * max(self._latency.initial_us))
        return first_us

    def start(self, server: Server, now_us: int, used_us: float) -> None:
        """Set the initial bucket level of a new server."""
        server.slow_start_used_at_us = now_us
        server.slow_start_used_us = used_us

    def has_budget(self, now_us: int, server: Server, request: Request) -> bool:
        """Drain the server's bucket up to now and return whether one more request fits."""
        drained_us, cost_us = self.budget_terms(now_us, server, request)
        elapsed_us = now_us - server.slow_start_used_at_us
        drained_now_us = drained_us * elapsed_us / self._settings.overload_window_us
        server.slow_start_used_us = max(0.0, server.slow_start_used_us - drained_now_us)
        server.slow_start_used_at_us = now_us
        return server.slow_start_used_us + cost_us <= max(drained_us, cost_us)

    def charge(self, now_us: int, server: Server, request: Request) -> None:
        """Add the cost of a request that is sent to a server to its bucket, if the server is warming up."""
        if self.capacity_share(now_us, server) < 1.0:
            server.slow_start_used_us += self.budget_terms(now_us, server, request).cost_us

    def restore_used(self, server: Server, used_us: float) -> None:
        """Restore the bucket level from before this gateway was restarted."""
        server.slow_start_used_us = max(server.slow_start_used_us, used_us)

    def budget_terms(self, now_us: int, server: Server, request: Request) -> BudgetTerms:
        """Return the drain of a server's bucket per overload window and the cost of a request.

        Usually half of the budget is reserved for a burst and half drains. If that half is less than the cost
        of one request, requests are sent one at a time, so the half reserved for a burst drains too; the sum
        over all gateways is then kept only on average. Such a gateway gets few responses. So the cost stays
        the initial estimate, and a lower measured cost speeds up the drain instead, which keeps the bucket's
        level on the same scale.
        """
        half_us = self.window_budget_us() * self.capacity_share(now_us, server) / 2
        cost_us = self.cost_us(request)
        if not self._fleet.is_concurrency_scarce() or half_us >= cost_us:
            return BudgetTerms(half_us, cost_us)
        mean_us = self._latency.mean_us(request.class_index, PRIOR_RESPONSES)
        true_us = min(cost_us, MAX_COST * mean_us * request.relative_work)
        nominal_us = MAX_COST * self._latency.initial_us[request.class_index] * request.relative_work
        drained_us = half_us * (2.0 - half_us / cost_us) * max(1.0, nominal_us / true_us)
        return BudgetTerms(min(drained_us, nominal_us), nominal_us)

    def window_budget_us(self) -> float:
        """This gateway's part of the work that a warm server of one core may be sent in an overload window.

        The parts of all gateways add up to the whole budget. A bucket that holds half of the part and drains
        half of it per window never exceeds the part in any window.
        """
        used_share = min(1.0, self._subset.size / max(1, len(self._ranked)))
        gateways = max(1.0, self._fleet.gateways * used_share)
        return (
            BUDGET_MARGIN
            * self._settings.overload_multiple
            * self._settings.overload_window_us
            / gateways
            / self._fleet.processes
        )

    def cost_us(self, request: Request) -> float:
        """Return the estimated work of a request: halfway from the baseline to the smoothed latency.

        The smoothed latency includes queueing. The result is limited to MAX_COST times the baseline, because
        servers that are warming up are needed most while the warm ones are overloaded.
        """
        fastest_us = self._latency.baseline_us[request.class_index]
        middle_us = (fastest_us + self._latency.smoothed_us[request.class_index]) / 2
        return min(middle_us, MAX_COST * fastest_us) * request.relative_work

    def capacity_share(self, now_us: int, server: Server) -> float:
        """Return the share of full capacity that a server has by now: a linear ramp during its warm-up."""
        if now_us >= server.warm_at_us:
            return 1.0
        age_us = now_us + self._settings.warm_after_us - server.warm_at_us
        start = self._settings.start_capacity
        return start + (1.0 - start) * age_us / self._settings.warm_after_us
