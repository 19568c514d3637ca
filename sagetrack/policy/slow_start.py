"""Slow start: how much work a server that is warming up may be sent.

A server that is sent more than a multiple of its present capacity for a whole overload window falls over.
Each gateway keeps to its own part of that budget, by a leaky bucket a server: work that is sent fills it, and
in each window half of the part drains. The parts of all gateways add up to the whole, without a message.
"""

from __future__ import annotations

from typing import NamedTuple

from sagetrack.policy.endpoint_ring import Ring
from sagetrack.policy.fleet_size import FleetSize
from sagetrack.policy.latency import LatencyEstimator
from sagetrack.policy.settings import Settings
from sagetrack.policy.state import Request, Server
from sagetrack.policy.subset_size import SubsetSize

BUDGET_MARGIN = 0.7  # part of the budget that is planned with; the rest is for misjudged work and chance
MAX_COST = 1.25  # of the baseline latency: the most that a request is taken to cost a server that warms up
PRIOR_RESPONSES = 0.5  # answers that the first guess of a request's cost counts for


class BudgetTerms(NamedTuple):
    """Work in microseconds of one core."""

    drained_us: float  # from the bucket in an overload window
    cost_us: float  # of the request in question


class SlowStart:
    """This gateway's part of the budget of each server that warms up; what is used stands in the server."""

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
        """What of a new server's budget counts as used at the most, to begin with.

        Hundreds of gateways hear of it at once and each may send one request at the least: each begins with
        a random part of that used, so that these first requests do not come together.
        """
        first_us = max(*self._latency.smoothed_us, self.window_budget_us() / 2)
        if self._fleet.is_concurrency_scarce():
            first_us = max(first_us, MAX_COST * max(self._latency.initial_us))
        return first_us

    def start(self, server: Server, now_us: int, used_us: float) -> None:
        """Begin a new server's bucket with so much used."""
        server.slow_start_used_at_us = now_us
        server.slow_start_used_us = used_us

    def has_budget(self, now_us: int, server: Server, request: Request) -> bool:
        """Whether one more request fits into the server's bucket now, after what has drained."""
        drained_us, cost_us = self.budget_terms(now_us, server, request)
        elapsed_us = now_us - server.slow_start_used_at_us
        drained_now_us = drained_us * elapsed_us / self._settings.overload_window_us
        server.slow_start_used_us = max(0.0, server.slow_start_used_us - drained_now_us)
        server.slow_start_used_at_us = now_us
        return server.slow_start_used_us + cost_us <= max(drained_us, cost_us)

    def charge(self, now_us: int, server: Server, request: Request) -> None:
        """Fill the bucket of a server that is warming up with a request that is sent to it."""
        if self.capacity_share(now_us, server) < 1.0:
            server.slow_start_used_us += self.budget_terms(now_us, server, request).cost_us

    def restore_used(self, server: Server, used_us: float) -> None:
        """Take what this gateway had used before it was restarted."""
        server.slow_start_used_us = max(server.slow_start_used_us, used_us)

    def budget_terms(self, now_us: int, server: Server, request: Request) -> BudgetTerms:
        """What drains from a server's bucket in an overload window, and what a request fills it with.

        Where the half that may be sent at once is less than one request, requests come one by one at their
        time: the half that is kept for a burst drains too, and the sum of all gateways is what it is by
        chance. Such a gateway has few answers: until it has more, the cost is its first guess, and what it
        learns of the true one quickens the draining, so that what was used stays comparable.
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

        The parts of all add up to the whole; half of it, drained by half in each window, never passes it.
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
        """Work of a request: above the fastest answers, below the usual ones, which have queued too.

        No more than `MAX_COST` above: in an overload of the warm servers the others are needed the most.
        """
        fastest_us = self._latency.baseline_us[request.class_index]
        middle_us = (fastest_us + self._latency.smoothed_us[request.class_index]) / 2
        return min(middle_us, MAX_COST * fastest_us) * request.relative_work

    def capacity_share(self, now_us: int, server: Server) -> float:
        """Share of its capacity that a server surely has by now: a linear ramp while it warms up."""
        if now_us >= server.warm_at_us:
            return 1.0
        age_us = now_us + self._settings.warm_after_us - server.warm_at_us
        start = self._settings.start_capacity
        return start + (1.0 - start) * age_us / self._settings.warm_after_us
