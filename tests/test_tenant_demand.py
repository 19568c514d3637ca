"""Demand by tenant, here and at peers."""

from __future__ import annotations

import pytest

from sagetrack.policy.tenant_demand import TenantDemand

SECOND = 1_000_000


def test_fair_limits_are_evaluated_at_intervals_and_not_with_each_request() -> None:
    demand = TenantDemand([1.0, 1.0])
    for n in range(1000):  # cheap calls and dear ones are refused at rates of their own, by turns
        demand.record(n % 2, n % 50, 100.0 + n % 2 * 900.0, n * 500)
        demand.rejection_fraction(n % 2, n % 50, 0.95 if n % 3 else 0.1, n * 500, bool(n % 3))
    assert demand.evaluations <= 2 * (500_000 // 50_000 + 1)
    assert demand.fair_limits[True].excess_fraction[1] > demand.fair_limits[True].excess_fraction[0]


def test_a_share_is_split_over_gateways_by_demand_and_is_complete_without_reports() -> None:
    demand = TenantDemand([1.0, 1.0])
    demand.record(0, 1, 100_000, SECOND)
    demand.record(1, 1, 100_000, SECOND)
    assert demand.local_shares(SECOND, 8) == [1.0, 1.0]
    demand.record_peer_demands(3, [900_000.0, 0.0], SECOND)
    assert demand.local_shares(SECOND, 2) == pytest.approx([0.1, 1.0])
    assert demand.local_shares(9 * SECOND, 2) == [1.0, 1.0]  # the other has fallen silent
    demand.record_peer_demands(4, [1.0], SECOND)  # of other settings
    assert 4 not in demand.peer_demands
