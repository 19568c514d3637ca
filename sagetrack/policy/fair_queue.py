"""Fair queues: decide which request is served next when demand exceeds capacity.

The algorithm is start-time fair queueing (Goyal, Vin, Cheng: Start-time Fair Queuing, 1996): between tenants
weighted by their shares, and between the clients of a tenant with equal weights. It counts work, not
requests. Because there are many short-lived clients, they are hashed to a bounded number of flows. The hash
changes when a tenant's queue is empty, so that two clients do not collide for long (McKenney: Stochastic
Fairness Queueing, 1990). Within a flow, requests are ordered by priority weight, highest first, and then by
due time.

Work is in microseconds of an idle server; shares are relative weights. Each operation takes time logarithmic
in the number of backlogged flows, regardless of the number of clients. The module uses no clock and no random
numbers.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)
# Multiplicative hashing by the golden ratio in 64 bits, which spreads close numbers apart
HASH_MULTIPLIER, HASH_MASK = 0x9E3779B97F4A7C15, 2**64 - 1
MIN_SHARE = 1e-9  # replaces smaller shares: a share of 0 would never be served
# A flow's heap is rebuilt if it has more rows than this size and than this ratio times its queued entries.
COMPACTION_SIZE, COMPACTION_RATIO = 16, 4


@dataclass(slots=True, eq=False)
class Entry(Generic[Item]):
    """A queued item."""

    item: Item
    tenant: int
    flow: int
    work_us: float
    removed: bool = False  # removed, but still in its flow's heap until it is skipped


@dataclass(slots=True, eq=False)
class Flow(Generic[Item]):
    """The queue of all clients of a tenant that hash to the same flow number."""

    heap: list[tuple[float, int, int, Entry[Item]]] = field(default_factory=list)
    start_tag: float = 0.0  # virtual start time of its next item
    work_us: float = 0.0
    count: int = 0
    in_heap: bool = False  # True if the flow is in its tenant's heap


@dataclass(slots=True, eq=False)
class TenantQueue(Generic[Item]):
    """The flows of one tenant."""

    share: float
    flows: dict[int, Flow[Item]] = field(default_factory=dict)
    # Start tag, insertion order and number of each flow
    heap: list[tuple[float, int, int]] = field(default_factory=list)
    virtual_time: float = 0.0  # virtual time within the tenant
    start_tag: float = 0.0
    work_us: float = 0.0
    count: int = 0
    in_heap: bool = False  # True if the tenant is in the heap of tenants
    backlogged: int = 0  # number of flows that are not empty
    salt: int = 1  # salt of the hash that maps clients to flows


class FairQueues(Generic[Item]):
    """The queued items of all tenants at one gateway."""

    def __init__(self, shares: Sequence[float], flows: int = 256) -> None:
        self.max_flows = flows
        self.tenants: list[TenantQueue[Item]] = [TenantQueue(max(share, MIN_SHARE)) for share in shares]
        self.heap: list[tuple[float, int, int]] = []  # start tag, insertion order, tenant
        self.virtual_time = 0.0  # virtual time of all tenants, in work divided by share
        self.max_catch_up = 0.0  # maximum virtual time by which an idle tenant's start tag may lag behind
        self.order = 0
        self.flow_count = 0
        self.backlogged_share = 0.0  # sum of the shares of tenants with queued items
        self.entries: dict[Item, Entry[Item]] = {}
        self.work_us = 0.0

    def __len__(self) -> int:
        return len(self.entries)

    def __contains__(self, item: object) -> bool:
        return item in self.entries

    def count_of(self, tenant: int) -> int:
        """Return the number of queued items of a tenant."""
        return self.tenants[tenant].count

    def work_us_of(self, tenant: int) -> float:
        """Return the work of the queued items of a tenant, in microseconds."""
        return self.tenants[tenant].work_us

    def set_shares(self, shares: Sequence[float]) -> None:
        """Apply new shares to items served from now on; charges for past service do not change."""
        for queue, share in zip(self.tenants, shares, strict=True):
            queue.share = max(share, MIN_SHARE)
        self.backlogged_share = sum(queue.share for queue in self.tenants if queue.count)

    def flow_index(self, tenant: int, client: int) -> int:
        """Return the number of the flow that a client is hashed to."""
        mixed = (client ^ self.tenants[tenant].salt * HASH_MULTIPLIER) * HASH_MULTIPLIER & HASH_MASK
        return (mixed >> 32) % self.max_flows

    def enqueue(
        self, item: Item, tenant: int, client: int, work_us: float, priority_weight: float, due_us: int
    ) -> None:
        """Queue an item; its flow is ordered by priority weight, highest first, then by due time."""
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
        """Remove an item that will not be served; return its entry, or None if it is not queued."""
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
            # Bounds memory: removed entries would otherwise stay until they reach the top of the heap.
            flow.heap = [row for row in flow.heap if not row[3].removed]
            heapq.heapify(flow.heap)

    def peek(self) -> Item | None:
        """Return the next item without removing it, or None if nothing is queued."""
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
        """Drop the flows of an empty tenant that are not ahead, and change the hash salt if none is left.

        A flow whose start tag is ahead of the tenant's virtual time has had more than its share of service.
        While there is such a flow the salt stays, because a new hash would charge other clients for it.
        """
        before = len(queue.flows)
        queue.flows = {n: flow for n, flow in queue.flows.items() if flow.start_tag > queue.virtual_time}
        self.flow_count -= before - len(queue.flows)
        if not queue.flows:
            queue.salt = (queue.salt * HASH_MULTIPLIER + 1) & HASH_MASK

    def dequeue(self, item: Item) -> Entry[Item]:
        """Remove the item that `peek` returned, and charge its work to its tenant and flow."""
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
        """Charge a client for work that was not queued, such as a retry before its Retry-After."""
        queue = self.tenants[tenant]
        flow = queue.flows.get(self.flow_index(tenant, client))
        if flow is not None:
            flow.start_tag = max(flow.start_tag, queue.virtual_time) + work_us

    def service_fraction(self, tenant: int) -> float:
        """Return the fraction of the service for a tenant: its share among it and the backlogged tenants."""
        queue = self.tenants[tenant]
        others = self.backlogged_share - (queue.share if queue.count else 0.0)
        return queue.share / (queue.share + max(0.0, others))

    def work_ahead_us(self, tenant: int, client: int) -> float:
        """Estimate the work that is served before a new item of a client, in microseconds.

        Assumes that the tenant's flows get equal service: ahead of the item are its own flow's work, as much
        of each other flow of the tenant, and the service that other tenants get until virtual time reaches
        the item's start tag.
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

    Demands below their share are met in full; what they leave is divided among the others by their shares.
    Takes O(n log n) time for n demands.

    Returns:
        The capacity granted to each demand, in the order of `demands`.
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
