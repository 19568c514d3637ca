"""Fair queues and max-min fair shares."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sagetrack.policy.fair_queue import FairQueues, max_min_fair_shares


def served(queues: FairQueues[str], count: int) -> list[str]:
    found = []
    for _ in range(count):
        item = queues.peek()
        assert item is not None
        queues.dequeue(item)
        found.append(item)
    return found


def test_work_and_not_requests_is_shared_by_weight_and_evenly_within() -> None:
    queues: FairQueues[str] = FairQueues([3.0, 1.0])
    for n in range(300):
        queues.enqueue(f"a{n}", 0, n % 2, 30.0, 1.0, n)  # its calls cost three times as much
        queues.enqueue(f"b{n}", 1, 7, 10.0, 1.0, n)
    first = served(queues, 200)
    work = {who: sum(30 if i[0] == "a" else 10 for i in first if i[0] == who) for who in "ab"}
    assert work["a"] / work["b"] == pytest.approx(3.0, rel=0.1)
    clients = [int(i[1:]) % 2 for i in first if i[0] == "a"]
    assert abs(clients.count(0) - clients.count(1)) <= 1


def test_an_idle_share_is_used_by_others_and_returns_at_the_next_turn() -> None:
    queues: FairQueues[str] = FairQueues([1.0, 1.0])
    for n in range(50):
        queues.enqueue(f"a{n}", 0, 1, 10.0, 1.0, n)
    assert all(i[0] == "a" for i in served(queues, 20))
    for n in range(10):
        queues.enqueue(f"b{n}", 1, 1, 10.0, 1.0, n)
    assert sum(i[0] == "b" for i in served(queues, 10)) in (5, 6)  # its share, and no more for having waited


def test_within_a_flow_priority_goes_first_then_due_time_and_removed_items_are_skipped() -> None:
    queues: FairQueues[str] = FairQueues([1.0])
    for name, worth, due in (("low", 1.0, 1), ("late", 2.0, 9), ("soon", 2.0, 3), ("gone", 9.0, 1)):
        queues.enqueue(name, 0, 1, 1.0, worth, due)
    assert queues.remove("gone") and not queues.remove("gone")
    assert served(queues, 3) == ["soon", "late", "low"] and queues.peek() is None and queues.work_us == 0


STEP = st.tuples(st.integers(0, 2), st.integers(0, 9), st.floats(1, 100), st.booleans())


@given(st.lists(STEP, max_size=80))
def test_every_item_is_served_once_and_all_counts_return_to_zero(
    steps: list[tuple[int, int, float, bool]],
) -> None:
    queues: FairQueues[str] = FairQueues([1.0, 2.0, 5.0], flows=4)
    waiting: set[str] = set()
    for number, (member, client, work, take) in enumerate(steps):
        queues.enqueue(str(number), member, client, work, 1.0, number)
        waiting.add(str(number))
        if take:
            waiting.remove(served(queues, 1)[0])
        assert queues.work_ahead_us(member, client) <= queues.work_us + 1e-6
    assert set(served(queues, len(waiting))) == waiting and not len(queues)
    assert queues.backlogged_share == pytest.approx(0.0) and all(t.backlogged == 0 for t in queues.tenants)


@given(
    st.lists(st.tuples(st.floats(0, 1e6), st.floats(0.01, 100)), min_size=1, max_size=8), st.floats(0, 2e6)
)
def test_granted_shares_are_max_min_fair(rows: list[tuple[float, float]], capacity: float) -> None:
    demands, shares = [r[0] for r in rows], [r[1] for r in rows]
    parts = max_min_fair_shares(demands, shares, capacity)
    assert sum(parts) <= min(capacity, sum(demands)) * (1 + 1e-9) + 1e-6
    assert all(p <= d + 1e-6 for p, d in zip(parts, demands, strict=True))
    cut = [p / s for p, d, s in zip(parts, demands, shares, strict=True) if p < d - 1e-3]
    for part, share in zip(parts, shares, strict=True):  # nobody has more for its share than who is cut
        assert not cut or part / share <= min(cut) * (1 + 1e-6) + 1e-3
