"""Tests of the retry budget for clients."""

from __future__ import annotations

from sagetrack.policy.client_retry_budget import ClientRetryBudget


def test_retries_of_one_tenant_do_not_use_up_the_budget_of_another() -> None:
    budget = ClientRetryBudget(2, ratio=0.5, burst=4)
    assert [budget.try_retry(0) for _ in range(6)] == [True] * 4 + [False] * 2
    assert budget.try_retry(1)
    for _ in range(2):
        budget.record_first_try(0)
    assert budget.try_retry(0) and not budget.try_retry(0)
