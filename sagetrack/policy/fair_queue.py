"""Fair queues: who is served next when more is asked for than can be done. Pure; no clock, no randomness.

Start-time fair queueing (Goyal, Vin, Cheng: Start-time Fair Queuing, 1996) by member, weighted by share, and
within a member by client, all counted in work and not in requests. Clients are many and come and go, so they
are hashed to a bounded number of flows, and the hash changes whenever a member's queue is empty (McKenney:
Stochastic Fairness Queueing, 1990): two that collide do not do so for long. Within a flow what is worth the
most goes first, and of equal worth what falls due first.

Work is in microseconds of an unhindered server, shares are plain weights. Each operation costs the logarithm
of the flows that wait, whatever the number of clients.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)
MIXER, MASK = 0x9E3779B97F4A7C15, 2**64 - 1  # golden ratio in 64 bits: spreads close numbers apart


@dataclass(slots=True, eq=False)
class Entry(Generic[Item]):
    """One thing that waits."""

    item: Item
    member: int
    flow: int
    work_us: float
    gone: bool = False


@dataclass(slots=True, eq=False)
class Flow(Generic[Item]):
    """What waits of the clients that hash to one place."""

    heap: list[tuple[float, int, int, Entry[Item]]] = field(default_factory=list)
    tag: float = 0.0  # virtual time at which its next work begins
    work_us: float = 0.0
    count: int = 0
    queued: bool = False  # whether it stands in its member's heap


@dataclass(slots=True, eq=False)
class Queue(Generic[Item]):
    """One member's flows."""

    share: float
    flows: dict[int, Flow[Item]] = field(default_factory=dict)
    heap: list[tuple[float, int, int]] = field(default_factory=list)  # tag, order, flow
    now: float = 0.0  # virtual time within the member
    tag: float = 0.0
    work_us: float = 0.0
    count: int = 0
    queued: bool = False
    waiting: int = 0  # flows in which something waits
    salt: int = 1


class FairQueues(Generic[Item]):
    """All that waits at one gateway."""

    def __init__(self, shares: Sequence[float], flows: int = 256) -> None:
        self.most_flows = flows
        self.members: list[Queue[Item]] = [Queue(max(share, 1e-9)) for share in shares]
        self.heap: list[tuple[float, int, int]] = []  # tag, order, member
        self.now = 0.0  # virtual time: work over share
        self.credit = 0.0  # virtual time that a member which had less may catch up
        self.order = 0
        self.flow_count = 0
        self.waiting_share = 0.0  # of the members of whom something waits
        self.entries: dict[Item, Entry[Item]] = {}
        self.work_us = 0.0

    def __len__(self) -> int:
        return len(self.entries)

    def set_shares(self, shares: Sequence[float]) -> None:
        """New shares count for what is served from now on; what was served stays charged as it was."""
        for queue, share in zip(self.members, shares, strict=True):
            queue.share = max(share, 1e-9)
        self.waiting_share = sum(queue.share for queue in self.members if queue.count)

    def flow_index(self, member: int, client: int) -> int:
        """Which flow a client is hashed to."""
        mixed = (client ^ self.members[member].salt * MIXER) * MIXER & MASK
        return (mixed >> 32) % self.most_flows

    def enqueue(
        self, item: Item, member: int, client: int, work_us: float, priority_weight: float, due_us: int
    ) -> None:
        """Let something wait. Of one flow the highest worth is served first, then the earliest due."""
        queue = self.members[member]
        number = self.flow_index(member, client)
        flow = queue.flows.get(number)
        if flow is None:
            flow = queue.flows[number] = Flow(tag=queue.now)
            self.flow_count += 1
        entry = Entry(item, member, number, work_us)
        self.entries[item] = entry
        self.order += 1
        heapq.heappush(flow.heap, (-priority_weight, due_us, self.order, entry))
        queue.waiting += not flow.count
        self.waiting_share += 0.0 if queue.count else queue.share
        flow.work_us += work_us
        flow.count += 1
        queue.work_us += work_us
        queue.count += 1
        self.work_us += work_us
        if not flow.queued:
            flow.queued = True
            flow.tag = max(flow.tag, queue.now)
            heapq.heappush(queue.heap, (flow.tag, self.order, number))
        if not queue.queued:
            queue.queued = True
            queue.tag = max(queue.tag, self.now - self.credit)
            heapq.heappush(self.heap, (queue.tag, self.order, member))

    def remove(self, item: Item) -> bool:
        """Take something out that shall not be served; False if it does not wait."""
        entry = self.entries.pop(item, None)
        if entry is None:
            return False
        self._forget(entry)
        return True

    def _forget(self, entry: Entry[Item]) -> None:
        entry.gone = True
        queue = self.members[entry.member]
        flow = queue.flows[entry.flow]
        flow.work_us, flow.count = flow.work_us - entry.work_us, flow.count - 1
        queue.work_us, queue.count = queue.work_us - entry.work_us, queue.count - 1
        self.work_us -= entry.work_us
        queue.waiting -= not flow.count
        self.waiting_share -= 0.0 if queue.count else queue.share
        if len(flow.heap) > 16 and len(flow.heap) > 4 * flow.count:
            # Guards the memory bound: what was removed must not stay until its turn would have come.
            flow.heap = [place for place in flow.heap if not place[3].gone]
            heapq.heapify(flow.heap)

    def peek(self) -> Item | None:
        """Whose turn it is, or None. It goes on waiting until `dequeue` or `remove`."""
        while self.heap:
            _, _, member = self.heap[0]
            queue = self.members[member]
            flow = self._first_flow(queue)
            if flow is None:
                heapq.heappop(self.heap)
                queue.queued = False
                continue
            return flow.heap[0][3].item
        return None

    def _first_flow(self, queue: Queue[Item]) -> Flow[Item] | None:
        while queue.heap:
            number = queue.heap[0][2]
            flow = queue.flows[number]
            while flow.heap and flow.heap[0][3].gone:
                heapq.heappop(flow.heap)
            if flow.heap:
                return flow
            heapq.heappop(queue.heap)
            flow.queued = False
        if queue.count == 0 and queue.flows:
            self._rest(queue)
        return None

    def _rest(self, queue: Queue[Item]) -> None:
        """Nothing of a member waits: who is ahead keeps that, and the hash changes.

        Flows that are level with the member's virtual time owe nothing and are forgotten. While any is ahead
        the hash stays, as another would hand its debt to other clients.
        """
        before = len(queue.flows)
        queue.flows = {n: flow for n, flow in queue.flows.items() if flow.tag > queue.now}
        self.flow_count -= before - len(queue.flows)
        if not queue.flows:
            queue.salt = (queue.salt * MIXER + 1) & MASK

    def dequeue(self, item: Item) -> None:
        """What `peek` gave is being served: its work is charged to its member and its flow."""
        entry = self.entries.pop(item)
        queue = self.members[entry.member]
        flow = queue.flows[entry.flow]
        self._forget(entry)
        self.now = max(self.now, queue.tag)
        queue.tag += entry.work_us / queue.share
        queue.now = max(queue.now, flow.tag)
        flow.tag = queue.now + entry.work_us
        if queue.heap and queue.heap[0][2] == entry.flow:
            self.order += 1
            heapq.heapreplace(queue.heap, (flow.tag, self.order, entry.flow))
        if self.heap and self.heap[0][2] == entry.member:
            self.order += 1
            heapq.heapreplace(self.heap, (queue.tag, self.order, entry.member))

    def charge(self, member: int, client: int, work_us: float) -> None:
        """Charge a client for work that did not wait here, as for asking again too early."""
        queue = self.members[member]
        flow = queue.flows.get(self.flow_index(member, client))
        if flow is not None:
            flow.tag = max(flow.tag, queue.now) + work_us

    def service_fraction(self, member: int) -> float:
        """Part of the service that a member gets now: its share among those that wait, itself included."""
        queue = self.members[member]
        others = self.waiting_share - (queue.share if queue.count else 0.0)
        return queue.share / (queue.share + max(0.0, others))

    def work_ahead_us(self, member: int, client: int) -> float:
        """Work that is served before a newcomer's, all flows of the member taken by turns.

        Its own flow's, as much of each other flow of its member, and the other members' parts meanwhile:
        until virtual time is where the newcomer's work begins.
        """
        queue = self.members[member]
        flow = queue.flows.get(self.flow_index(member, client))
        mine = flow.work_us if flow is not None else 0.0
        turn = queue.work_us / max(1, queue.count)
        inside = min(queue.work_us, mine + (mine + turn) * max(0, queue.waiting - (mine > 0)))
        tag = queue.tag if queue.queued else max(queue.tag, self.now - self.credit)
        begins = tag + inside / queue.share
        return min(self.work_us, max(0.0, begins - self.now) * queue.share / self.service_fraction(member))


def max_min_fair_shares(demands: Sequence[float], shares: Sequence[float], capacity: float) -> list[float]:
    """Weighted max-min fair parts of a capacity (Bertsekas, Gallager: Data Networks, 6.5.2).

    Who asks for less than its share gets what it asks for; what it leaves is lent to the others by share, and
    is its own again as soon as it asks. Costs n log n for n demands.
    """
    parts = [0.0] * len(demands)
    left = capacity
    order = sorted(range(len(demands)), key=lambda n: demands[n] / max(shares[n], 1e-9))
    weight = sum(max(shares[n], 1e-9) for n in order)
    for n in order:
        share = max(shares[n], 1e-9)
        parts[n] = min(demands[n], max(0.0, left) * share / weight if weight > 0 else 0.0)
        left -= parts[n]
        weight -= share
    return parts
