"""Demand by tenant at this gateway and at its peers."""

from __future__ import annotations

import pytest

from sagetrack.policy.tenant_demand import TenantDemand

SECOND_US = 1_000_000


def test_fair_limits_are_evaluated_at_intervals_instead_of_with_each_request() -> None:
    demand = TenantDemand([1.0, 1.0])
    for n in range(1000):  # alternates small and large requests with varying rejection fractions
        demand.record(n % 2, n % 50, 100.0 + n % 2 * 900.0, n * 500)
        demand.rejection_fraction(n % 2, n % 50, 0.95 if n % 3 else 0.1, n * 500, bool(n % 3))
    assert demand.evaluations <= 2 * (500_000 // 50_000 + 1)
    assert demand.fair_limits[True].excess_fraction[1] > demand.fair_limits[True].excess_fraction[0]


def test_a_share_is_split_between_gateways_by_demand_and_undivided_without_reports() -> None:
    demand = TenantDemand([1.0, 1.0])
    demand.record(0, 1, 100_000, SECOND_US)
    demand.record(1, 1, 100_000, SECOND_US)
    assert demand.local_shares(SECOND_US, 8) == [1.0, 1.0]
    demand.record_peer_demands(3, [900_000.0, 0.0], SECOND_US)
    assert demand.local_shares(SECOND_US, 2) == pytest.approx([0.1, 1.0])
    assert demand.local_shares(9 * SECOND_US, 2) == [1.0, 1.0]  # the peer has stopped reporting
    demand.record_peer_demands(4, [1.0], SECOND_US)  # a peer with other settings is ignored
    assert 4 not in demand.peer_demands
