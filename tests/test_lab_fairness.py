"""Fairness of a run's service, computed from handmade requests."""

from __future__ import annotations

import pytest

from sagetrack.lab.analysis.fairness import compute_fairness, fairness_index, jain_index
from sagetrack.lab.analysis.records import Records, RequestFinished
from sagetrack.lab.model.scenario import RequestClass, Scenario, Tenant


def test_jains_index_is_1_for_equal_values_and_1_of_n_if_one_has_all() -> None:
    assert jain_index([3.0, 3.0, 3.0]) == pytest.approx(1.0)
    assert jain_index([5.0, 0.0, 0.0, 0.0]) == pytest.approx(0.25)
    assert jain_index([]) == jain_index([0.0, 0.0]) == 1.0


def test_a_tenant_that_demands_less_than_its_share_does_not_lower_the_index() -> None:
    assert fairness_index([10.0, 90.0], [10.0, 40.0], [1.0, 1.0]) == pytest.approx(1.0)
    assert fairness_index([90.0, 90.0], [75.0, 25.0], [3.0, 1.0]) == pytest.approx(1.0)
    assert fairness_index([90.0, 90.0], [75.0, 25.0], [1.0, 1.0]) == pytest.approx(0.8)


def test_tenants_are_weighted_by_share_and_clients_of_a_tenant_equally() -> None:
    scenario = Scenario(
        name="fair",
        classes=[RequestClass(name="lookup", work_ms=10)],
        tenants=[Tenant(name="north"), Tenant(name="coast")],
    )
    records = Records()
    outcomes = {(0, 1): "served", (0, 2): "served", (1, 3): "late", (1, 4): "refused"}
    for number, ((tenant, client), outcome) in enumerate(outcomes.items()):
        records.add("client", number, f"r{number}", client)
        records.add("request", number, f"r{number}", 0, tenant, outcome, number, 1)
    requests = list(records.of_type(RequestFinished))
    # 30 ms of work were served; the fair share of each tenant is 15 ms, and they received 20 and 10 ms.
    assert compute_fairness(records, requests, scenario) == pytest.approx((0.9, 0.5))
