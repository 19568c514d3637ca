"""Tests of the fair queues and of max-min fair allocation."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sagetrack.policy.fair_queue import FairQueues, max_min_fair_shares


def dequeue_items(queues: FairQueues[str], count: int) -> list[str]:
    """Dequeue the given number of items and return them in order."""
    items = []
    for _ in range(count):
        item = queues.peek()
        assert item is not None
        queues.dequeue(item)
        items.append(item)
    return items


def test_work_is_shared_by_weight_between_tenants_and_evenly_between_their_clients() -> None:
    queues: FairQueues[str] = FairQueues([3.0, 1.0])
    for n in range(300):
        queues.enqueue(f"a{n}", 0, n % 2, 30.0, 1.0, n)  # three times the work of the other tenant's requests
        queues.enqueue(f"b{n}", 1, 7, 10.0, 1.0, n)
    first = dequeue_items(queues, 200)
    work = {
        tenant: sum(30 if item[0] == "a" else 10 for item in first if item[0] == tenant) for tenant in "ab"
    }
    assert work["a"] / work["b"] == pytest.approx(3.0, rel=0.1)
    clients = [int(item[1:]) % 2 for item in first if item[0] == "a"]
    assert abs(clients.count(0) - clients.count(1)) <= 1


def test_the_share_of_an_idle_tenant_is_used_by_others_and_returns_at_once() -> None:
    queues: FairQueues[str] = FairQueues([1.0, 1.0])
    for n in range(50):
        queues.enqueue(f"a{n}", 0, 1, 10.0, 1.0, n)
    assert all(item[0] == "a" for item in dequeue_items(queues, 20))
    for n in range(10):
        queues.enqueue(f"b{n}", 1, 1, 10.0, 1.0, n)
    # The tenant gets its share, and nothing extra for the time when it was idle.
    assert sum(item[0] == "b" for item in dequeue_items(queues, 10)) in (5, 6)


def test_a_flow_is_ordered_by_priority_then_due_time_and_skips_removed_items() -> None:
    queues: FairQueues[str] = FairQueues([1.0])
    for name, priority_weight, due in (("low", 1.0, 1), ("late", 2.0, 9), ("soon", 2.0, 3), ("gone", 9.0, 1)):
        queues.enqueue(name, 0, 1, 1.0, priority_weight, due)
    assert queues.remove("gone") and not queues.remove("gone")
    assert (
        dequeue_items(queues, 3) == ["soon", "late", "low"] and queues.peek() is None and queues.work_us == 0
    )


STEP = st.tuples(st.integers(0, 2), st.integers(0, 9), st.floats(1, 100), st.booleans())


@given(st.lists(STEP, max_size=80))
def test_every_item_is_served_once_and_all_counts_return_to_zero(
    steps: list[tuple[int, int, float, bool]],
) -> None:
    queues: FairQueues[str] = FairQueues([1.0, 2.0, 5.0], flows=4)
    waiting: set[str] = set()
    for number, (tenant, client, work, dequeue) in enumerate(steps):
        queues.enqueue(str(number), tenant, client, work, 1.0, number)
        waiting.add(str(number))
        if dequeue:
            waiting.remove(dequeue_items(queues, 1)[0])
        assert queues.work_ahead_us(tenant, client) <= queues.work_us + 1e-6
    assert set(dequeue_items(queues, len(waiting))) == waiting and not len(queues)
    assert queues.backlogged_share == pytest.approx(0.0) and all(
        queue.backlogged == 0 for queue in queues.tenants
    )


@given(
    st.lists(st.tuples(st.floats(0, 1e6), st.floats(0.01, 100)), min_size=1, max_size=8), st.floats(0, 2e6)
)
def test_granted_shares_are_max_min_fair(tenants: list[tuple[float, float]], capacity: float) -> None:
    demands, shares = [tenant[0] for tenant in tenants], [tenant[1] for tenant in tenants]
    grants = max_min_fair_shares(demands, shares, capacity)
    assert sum(grants) <= min(capacity, sum(demands)) * (1 + 1e-9) + 1e-6
    assert all(grant <= demand + 1e-6 for grant, demand in zip(grants, demands, strict=True))
    limited = [
        grant / share
        for grant, demand, share in zip(grants, demands, shares, strict=True)
        if grant < demand - 1e-3
    ]
    # No tenant has more per share than one whose demand is not met.
    for grant, share in zip(grants, shares, strict=True):
        assert not limited or grant / share <= min(limited) * (1 + 1e-6) + 1e-3
