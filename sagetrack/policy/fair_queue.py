"""Fair queues: which request is served next when demand exceeds capacity.

Start-time fair queueing (Goyal, Vin, Cheng: Start-time Fair Queuing, 1996) by tenant, weighted by share, and
within a tenant by client, all counted in work and not in requests. Clients are many and come and go, so they
are hashed to a bounded number of flows, and the hash changes whenever a tenant's queue is empty (McKenney:
Stochastic Fairness Queueing, 1990): two clients that collide do not do so for long. Within a flow the highest
priority weight goes first, and of equal weights the earliest due.

Work is in microseconds of an idle server, shares are plain weights. Each operation costs the logarithm of the
number of backlogged flows, whatever the number of clients. There is no clock and no randomness in here.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)
HASH_MULTIPLIER, HASH_MASK = (
    0x9E3779B97F4A7C15,
    2**64 - 1,
)  # golden ratio in 64 bits: spreads close numbers apart
MIN_SHARE = 1e-9  # a share of 0 would never be served
COMPACTION_SIZE, COMPACTION_RATIO = (
    16,
    4,
)  # a flow's heap is rebuilt beyond this size, at this ratio to its entries


@dataclass(slots=True, eq=False)
class Entry(Generic[Item]):
    """One queued item."""

    item: Item
    tenant: int
    flow: int
    work_us: float
    removed: bool = False  # still in its flow's heap, to be skipped


@dataclass(slots=True, eq=False)
class Flow(Generic[Item]):
    """The queue of the clients that hash to one number."""

    heap: list[tuple[float, int, int, Entry[Item]]] = field(default_factory=list)
    start_tag: float = 0.0  # virtual time at which its next work begins
    work_us: float = 0.0
    count: int = 0
    in_heap: bool = False  # whether it is in its tenant's heap


@dataclass(slots=True, eq=False)
class TenantQueue(Generic[Item]):
    """The flows of one tenant."""

    share: float
    flows: dict[int, Flow[Item]] = field(default_factory=dict)
    heap: list[tuple[float, int, int]] = field(default_factory=list)  # start tag, order, flow
    virtual_time: float = 0.0  # within the tenant
    start_tag: float = 0.0
    work_us: float = 0.0
    count: int = 0
    in_heap: bool = False  # whether it is in the heap of all tenants
    backlogged: int = 0  # flows that are not empty
    salt: int = 1  # of the hash of clients to flows


class FairQueues(Generic[Item]):
    """Everything that is queued at one gateway, of all tenants."""

    def __init__(self, shares: Sequence[float], flows: int = 256) -> None:
        self.max_flows = flows
        self.tenants: list[TenantQueue[Item]] = [TenantQueue(max(share, MIN_SHARE)) for share in shares]
        self.heap: list[tuple[float, int, int]] = []  # start tag, order, tenant
        self.virtual_time = 0.0  # work over share
        self.max_catch_up = 0.0  # virtual time that a tenant which had less service may catch up
        self.order = 0
        self.flow_count = 0
        self.backlogged_share = 0.0  # of the tenants that are not empty
        self.entries: dict[Item, Entry[Item]] = {}
        self.work_us = 0.0

    def __len__(self) -> int:
        return len(self.entries)

    def __contains__(self, item: object) -> bool:
        return item in self.entries

    def count_of(self, tenant: int) -> int:
        """How many items of a tenant are queued."""
        return self.tenants[tenant].count

    def work_us_of(self, tenant: int) -> float:
        """Work of the queued items of a tenant."""
        return self.tenants[tenant].work_us

    def set_shares(self, shares: Sequence[float]) -> None:
        """Apply new shares to what is served from now on; past service stays charged as it was."""
        for queue, share in zip(self.tenants, shares, strict=True):
            queue.share = max(share, MIN_SHARE)
        self.backlogged_share = sum(queue.share for queue in self.tenants if queue.count)

    def flow_index(self, tenant: int, client: int) -> int:
        """The number of the flow that a client is hashed to."""
        mixed = (client ^ self.tenants[tenant].salt * HASH_MULTIPLIER) * HASH_MULTIPLIER & HASH_MASK
        return (mixed >> 32) % self.max_flows

    def enqueue(
        self, item: Item, tenant: int, client: int, work_us: float, priority_weight: float, due_us: int
    ) -> None:
        """Queue an item. Of one flow the highest priority weight is served first, then the earliest due."""
        queue = self.tenants[tenant]
        number = self.flow_index(tenant, client)
        flow = queue.flows.get(number)
        if flow is None:
            flow = queue.flows[number] = Flow(start_tag=queue.virtual_time)
            self.flow_count += 1
        entry = Entry(item, tenant, number, work_us)
        self.entries[item] = entry
        self.order += 1
        heapq.heappush(flow.heap, (-priority_weight, due_us, self.order, entry))
        queue.backlogged += not flow.count
        self.backlogged_share += 0.0 if queue.count else queue.share
        flow.work_us += work_us
        flow.count += 1
        queue.work_us += work_us
        queue.count += 1
        self.work_us += work_us
        if not flow.in_heap:
            flow.in_heap = True
            flow.start_tag = max(flow.start_tag, queue.virtual_time)
            heapq.heappush(queue.heap, (flow.start_tag, self.order, number))
        if not queue.in_heap:
            queue.in_heap = True
            queue.start_tag = max(queue.start_tag, self.virtual_time - self.max_catch_up)
            heapq.heappush(self.heap, (queue.start_tag, self.order, tenant))

    def remove(self, item: Item) -> Entry[Item] | None:
        """Take out an item that shall not be served; returns its entry, None if it is not queued."""
        entry = self.entries.pop(item, None)
        if entry is not None:
            self._unlink(entry)
        return entry

    def _unlink(self, entry: Entry[Item]) -> None:
        entry.removed = True
        queue = self.tenants[entry.tenant]
        flow = queue.flows[entry.flow]
        flow.work_us, flow.count = flow.work_us - entry.work_us, flow.count - 1
        queue.work_us, queue.count = queue.work_us - entry.work_us, queue.count - 1
        self.work_us -= entry.work_us
        queue.backlogged -= not flow.count
        self.backlogged_share -= 0.0 if queue.count else queue.share
        if len(flow.heap) > COMPACTION_SIZE and len(flow.heap) > COMPACTION_RATIO * flow.count:
            # For the memory bound: a removed entry would otherwise stay until its turn had come.
            flow.heap = [row for row in flow.heap if not row[3].removed]
            heapq.heapify(flow.heap)

    def peek(self) -> Item | None:
        """The item whose turn it is, or None; it stays queued until `dequeue` or `remove`."""
        while self.heap:
            _, _, tenant = self.heap[0]
            queue = self.tenants[tenant]
            flow = self._first_flow(queue)
            if flow is None:
                heapq.heappop(self.heap)
                queue.in_heap = False
                continue
            return flow.heap[0][3].item
        return None

    def _first_flow(self, queue: TenantQueue[Item]) -> Flow[Item] | None:
        while queue.heap:
            number = queue.heap[0][2]
            flow = queue.flows[number]
            while flow.heap and flow.heap[0][3].removed:
                heapq.heappop(flow.heap)
            if flow.heap:
                return flow
            heapq.heappop(queue.heap)
            flow.in_heap = False
        if queue.count == 0 and queue.flows:
            self._reset(queue)
        return None

    def _reset(self, queue: TenantQueue[Item]) -> None:
        """Drop the flows of an empty tenant that are not ahead, and change the hash if that was all of them.

        A flow that is not ahead of the tenant's virtual time owes no service. While any is ahead the hash
        stays, as another hash would pass its debt to other clients.
        """
        before = len(queue.flows)
        queue.flows = {n: flow for n, flow in queue.flows.items() if flow.start_tag > queue.virtual_time}
        self.flow_count -= before - len(queue.flows)
        if not queue.flows:
            queue.salt = (queue.salt * HASH_MULTIPLIER + 1) & HASH_MASK

    def dequeue(self, item: Item) -> Entry[Item]:
        """Take out the item that `peek` gave, and charge its work to its tenant and its flow."""
        entry = self.entries.pop(item)
        queue = self.tenants[entry.tenant]
        flow = queue.flows[entry.flow]
        self._unlink(entry)
        self.virtual_time = max(self.virtual_time, queue.start_tag)
        queue.start_tag += entry.work_us / queue.share
        queue.virtual_time = max(queue.virtual_time, flow.start_tag)
        flow.start_tag = queue.virtual_time + entry.work_us
        if queue.heap and queue.heap[0][2] == entry.flow:
            self.order += 1
            heapq.heapreplace(queue.heap, (flow.start_tag, self.order, entry.flow))
        if self.heap and self.heap[0][2] == entry.tenant:
            self.order += 1
            heapq.heapreplace(self.heap, (queue.start_tag, self.order, entry.tenant))
        return entry

    def charge(self, tenant: int, client: int, work_us: float) -> None:
        """Charge a client for work that was not queued, such as a retry that came too early."""
        queue = self.tenants[tenant]
        flow = queue.flows.get(self.flow_index(tenant, client))
        if flow is not None:
            flow.start_tag = max(flow.start_tag, queue.virtual_time) + work_us

    def service_fraction(self, tenant: int) -> float:
        """Fraction of the service that a tenant gets now: its share among the backlogged, itself included."""
        queue = self.tenants[tenant]
        others = self.backlogged_share - (queue.share if queue.count else 0.0)
        return queue.share / (queue.share + max(0.0, others))

    def work_ahead_us(self, tenant: int, client: int) -> float:
        """Work that is served before a new item of a client, if the tenant's flows take equal turns.

        That of its own flow, as much of each other flow of its tenant, and the other tenants' fractions
        meanwhile: until virtual time reaches the new item's start.
        """
        queue = self.tenants[tenant]
        flow = queue.flows.get(self.flow_index(tenant, client))
        own_work_us = flow.work_us if flow is not None else 0.0
        mean_work_us = queue.work_us / max(1, queue.count)
        tenant_work_us = min(
            queue.work_us,
            own_work_us + (own_work_us + mean_work_us) * max(0, queue.backlogged - (own_work_us > 0)),
        )
        tenant_start_tag = (
            queue.start_tag if queue.in_heap else max(queue.start_tag, self.virtual_time - self.max_catch_up)
        )
        item_start_tag = tenant_start_tag + tenant_work_us / queue.share
        return min(
            self.work_us,
            max(0.0, item_start_tag - self.virtual_time) * queue.share / self.service_fraction(tenant),
        )


def max_min_fair_shares(demands: Sequence[float], shares: Sequence[float], capacity: float) -> list[float]:
    """Weighted max-min fair allocation of a capacity (Bertsekas, Gallager: Data Networks, 6.5.2).

    A demand below its share is met in full; the rest of that share goes to the others, by their shares. Costs
    n log n for n demands.

    Returns:
        What each demand is granted, in their order.
    """
    grants = [0.0] * len(demands)
    remaining = capacity
    order = sorted(range(len(demands)), key=lambda n: demands[n] / max(shares[n], MIN_SHARE))
    weight = sum(max(shares[n], MIN_SHARE) for n in order)
    for n in order:
        share = max(shares[n], MIN_SHARE)
        grants[n] = min(demands[n], max(0.0, remaining) * share / weight if weight > 0 else 0.0)
        remaining -= grants[n]
        weight -= share
    return grants
