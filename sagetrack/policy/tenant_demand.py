"""Tracks demand by tenant and client flow, to decide whose requests to reject in an overload.

Times are readings of the caller's clock in whole microseconds. Work is in microseconds on an idle server.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from sagetrack.policy.fair_queue import max_min_fair_shares

# Demand decays to 1/e in this time. A tenant that was idle for about as long has its full share again.
DECAY_TIME_US = 1_000_000
PEER_DEMAND_TTL_US = 3 * DECAY_TIME_US  # time for which demand reported by a peer is used
EVALUATION_INTERVAL_US = 50_000  # time between two evaluations of the fair limits
EVALUATION_STEP = 0.2  # a change of the fraction to reject by this much triggers an evaluation earlier
MIN_EXCESS_FRACTION = 0.001  # a smaller excess over the share is ignored
MIN_LOCAL_FRACTION = 0.01  # minimum fraction of each tenant's share that a gateway has
MIN_FLOW_WORK_US = 1.0  # flows with less recent work are removed


class DecayedDemand:
    """Sums of recently requested work that decay with time, by integer key from a fixed range."""

    __slots__ = ("at_us", "sums")

    def __init__(self, count: int) -> None:
        self.sums = [0.0] * count
        self.at_us = [0] * count

    def add(self, key: int, work_us: float, now_us: int) -> None:
        """Add work to the sum of a key."""
        self.sums[key] = self.at(key, now_us) + work_us
        self.at_us[key] = now_us

    def at(self, key: int, now_us: int) -> float:
        """Return the decayed sum of a key, about the work in microseconds of the last DECAY_TIME_US."""
        if not self.sums[key]:
            return 0.0
        return self.sums[key] * math.exp((self.at_us[key] - now_us) / DECAY_TIME_US)


@dataclass(slots=True, eq=False)
class FlowDemand:
    """The decayed sum of the work that the clients of one flow have requested recently."""

    work_us: float
    at_us: float

    def at(self, now_us: int) -> float:
        """Return the sum, decayed until now."""
        return self.work_us * math.exp((self.at_us - now_us) / DECAY_TIME_US)


@dataclass(slots=True, eq=False)
class FairLimits:
    """Result of one evaluation: the tenants and flows in excess of their fair shares."""

    excess_fraction: list[float]  # fraction of the demand beyond the share, by tenant
    flow_limit_us: list[float]  # work that each flow may request, by tenant
    evaluated_at_us: int = -EVALUATION_INTERVAL_US  # time of the evaluation
    reject_fraction: float = -1.0  # fraction of all work that had to be rejected


@dataclass(slots=True, eq=False)
class TenantDemand:
    """Tracks demand and determines who exceeds its share while some of the work has to be rejected.

    Work is divided by weighted max-min fairness among tenants, and evenly among the flows of a tenant.
    Requests within their share are not rejected. The fair limits are evaluated every EVALUATION_INTERVAL_US;
    the cost grows with the number of tenants and with the flows of tenants in excess. Low-priority requests
    are rejected at a different rate than others, so they have separate limits. With shared limits the rate
    would change with each request and trigger an evaluation, which cost a busy gateway 1 ms per request and
    made the overload worse.
    """

    shares: Sequence[float]
    by_tenant: DecayedDemand = field(init=False)
    by_flow: list[dict[int, FlowDemand]] = field(init=False)  # recent demand by tenant, then by flow
    # Demand by tenant and time of receipt, by gateway.
    peer_demands: dict[int, tuple[list[float], int]] = field(default_factory=dict)
    flow_count: int = 0  # number of flows of all tenants
    # Limits for low-priority and for other requests.
    fair_limits: tuple[FairLimits, FairLimits] = field(init=False)
    evaluations: int = 0

    def __post_init__(self) -> None:
        count = len(self.shares)
        self.by_tenant = DecayedDemand(count)
        self.by_flow = [{} for _ in range(count)]
        first, second = (FairLimits([0.0] * count, [math.inf] * count) for _ in range(2))
        self.fair_limits = first, second

    def record(self, tenant: int, flow: int, work_us: float, now_us: int, has_space: bool = True) -> None:
        """Record requested work, whether served or not. Without space, no new flow is added."""
        self.by_tenant.add(tenant, work_us, now_us)
        known = self.by_flow[tenant].get(flow)
        if known is None:
            if has_space:
                self.by_flow[tenant][flow] = FlowDemand(work_us, float(now_us))
                self.flow_count += 1
        else:
            known.work_us = known.at(now_us) + work_us
            known.at_us = float(now_us)

    def record_peer_demands(self, gateway: int, demands: list[float], now_us: int) -> None:
        """Store the demand by tenant that a peer reports; ignored if its number of tenants differs."""
        if len(demands) == len(self.shares):
            self.peer_demands[gateway] = (demands, now_us)

    def local_demands(self, now_us: int) -> list[float]:
        """Return this gateway's demand by tenant, in microseconds of work per DECAY_TIME_US."""
        return [self.by_tenant.at(tenant, now_us) for tenant in range(len(self.shares))]

    def fleet_demands(self, now_us: int, gateways: int) -> list[float]:
        """Return the demand by tenant at all gateways, extrapolated from the gateways that have reported.

        Without any report it is the local demand, so that shares apply at each gateway separately.
        """
        own = self.local_demands(now_us)
        reported = [
            demands for demands, at_us in self.peer_demands.values() if now_us - at_us < PEER_DEMAND_TTL_US
        ]
        if not reported:
            return own
        scale = max(0, gateways - 1) / len(reported)
        return [local + scale * sum(demands[n] for demands in reported) for n, local in enumerate(own)]

    def local_shares(self, now_us: int, gateways: int) -> list[float]:
        """Return the tenants' shares at this gateway, such that they hold for all gateways together.

        Each gateway gets the fraction of a tenant's share that it has of the tenant's demand, but at least
        MIN_LOCAL_FRACTION, so that a tenant without recent requests here is admitted when it sends some.
        """
        own, fleet = self.local_demands(now_us), self.fleet_demands(now_us, gateways)
        return [
            share * (max(MIN_LOCAL_FRACTION, local / total) if total > local else 1.0)
            for share, local, total in zip(self.shares, own, fleet, strict=True)
        ]

    def rejection_fraction(
        self, tenant: int, flow: int, reject_fraction: float, now_us: int, high_priority: bool = False
    ) -> float:
        """Return the fraction of a flow's requests to reject, to reject `reject_fraction` of all work.

        It is 0 for a flow within its share.
        """
        if reject_fraction <= 0.0:
            return 0.0
        limits = self._evaluate(reject_fraction, now_us, high_priority)
        if limits.excess_fraction[tenant] <= MIN_EXCESS_FRACTION:
            return 0.0
        known = self.by_flow[tenant].get(flow)
        demand = known.at(now_us) if known is not None else 0.0
        return 1.0 - limits.flow_limit_us[tenant] / demand if demand > limits.flow_limit_us[tenant] else 0.0

    def _evaluate(self, reject_fraction: float, now_us: int, high_priority: bool) -> FairLimits:
        """Return the fair limits for rejecting this fraction of all work, evaluated again if outdated."""
        limits = self.fair_limits[high_priority]
        if (
            now_us - limits.evaluated_at_us < EVALUATION_INTERVAL_US
            and abs(reject_fraction - limits.reject_fraction) < EVALUATION_STEP
        ):
            return limits
        limits.evaluated_at_us, limits.reject_fraction = now_us, reject_fraction
        self.evaluations += 1
        demands = self.fleet_demands(now_us, 1 + len(self.peer_demands))
        granted = max_min_fair_shares(demands, self.shares, (1.0 - reject_fraction) * sum(demands))
        for tenant, demand in enumerate(demands):
            limits.excess_fraction[tenant] = 1.0 - granted[tenant] / demand if demand > 0 else 0.0
            if limits.excess_fraction[tenant] > MIN_EXCESS_FRACTION:
                self._evaluate_flows(limits, tenant, now_us)
        return limits

    def _evaluate_flows(self, limits: FairLimits, tenant: int, now_us: int) -> None:
        flows = self.by_flow[tenant]
        requested = {flow: known.at(now_us) for flow, known in flows.items()}
        for flow in [flow for flow, work in requested.items() if work < MIN_FLOW_WORK_US]:
            del flows[flow], requested[flow]
            self.flow_count -= 1
        demands = list(requested.values())
        total = sum(demands)
        capacity = (1.0 - limits.excess_fraction[tenant]) * total
        granted = max_min_fair_shares(demands, [1.0] * len(demands), capacity)
        limited = [
            granted_us for granted_us, demand in zip(granted, demands, strict=True) if granted_us < demand
        ]
        limits.flow_limit_us[tenant] = max(limited, default=math.inf)
