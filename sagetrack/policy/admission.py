"""What the module asks at the door: whether a call may come in, whose turn it is, and when to come back.

Puts fair queues, limits and promises together. It decides nothing about servers: the module does, and asks
here before. Pure; the module gives it the time and the draws.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

from sagetrack.policy.concurrency_limit import (
    ConcurrencyLimit,
    Rate,
    RateLimiter,
    Reservations,
    RetryBudget,
    TenantDemand,
)
from sagetrack.policy.fair_queue import FairQueues

Item = TypeVar("Item", bound=Hashable)
# What one of each holds, in bytes, as measured (docs/operators/fairness.md)
QUEUE_ENTRY_BYTES, FLOW_BYTES, RESERVATION_BYTES, RATE_ENTRY_BYTES = 3500, 700, 420, 240
MIN_COST_SAMPLES = 50  # with fewer, a class's cost is learnt in a jam too, and drawn towards what all cost
PRIOR_SAMPLES = 20.0  # answers that what all cost counts for then
COST_SMOOTHING = 0.01  # share of the newest answer
DEFAULT_WORK_US = 50_000.0  # work of any call before the first answers
SERVICE_RATE_DECAY_US = 1_000_000  # what was served counts by 1/e after this
MAX_CATCH_UP_US = 1_000_000  # a member may catch up on what it could have had within this
MAX_SERVICE_GAP_US = (
    250_000  # one gap counts for no longer: a clock that goes on at once tells nothing of the rate
)
RESERVATION_PRIORITY = 1e9  # beyond any class's: who comes back as told goes ahead of newcomers of its client


@dataclass(slots=True, frozen=True)
class AdmissionSettings:
    """Fair queues and limits, as the operator has them."""

    shares: tuple[float, ...] = ()  # by member; where there are none, the members' shares of the platform
    flows: int = 256  # that the clients of a member are hashed to
    max_wait_fraction: float = 0.5  # part of the slack under its aim that a call may wait here
    memory_bytes: int = 16 * 1024 * 1024
    adaptive: bool = True  # limit calls in work by latency
    retry_ratio: float = 0.2  # clients' repeats that a first try pays for, while there is not enough for all
    tenant_rate: Rate | None = None
    client_rate: Rate | None = None
    class_rates: tuple[Rate | None, ...] = ()

    def __post_init__(self) -> None:
        if not 0.0 <= self.max_wait_fraction <= 0.5 or self.flows < 1 or self.memory_bytes < 64 * 1024:
            raise ValueError("patience is not within 0 to 0.5, there are no flows, or memory is below 64 KiB")


class AdmissionDenial(Enum):
    """Why a call is turned away, for the stats."""

    BEFORE_RETRY_AFTER = "early"  # it was told to come later
    RATE_LIMIT = "rate"
    MEMORY_LIMIT = "memory"
    RETRY_BUDGET = "repeat"
    OVER_QUOTA = "share"  # its member or client asks for more than its part
    NO_SERVER = "servers"  # no server may be used now
    WAIT_TOO_LONG = "late"  # it could not be served in time


@dataclass(slots=True)
class TenantCounters:
    """What became of one member's calls."""

    requested: int = 0
    served: int = 0
    rejected: int = 0
    waiting: int = 0


class AdmissionController(Generic[Item]):
    """One gateway's door. Costs of all operations follow members, classes and flows, not clients."""

    def __init__(self, settings: AdmissionSettings, shares: Sequence[float]) -> None:
        self.settings = settings
        given = settings.shares if len(settings.shares) == len(shares) else shares
        self.shares = list(given) if any(share > 0 for share in given) else [1.0] * len(given)
        count = len(self.shares)
        self.queues: FairQueues[Item] = FairQueues(self.shares, settings.flows)
        self.concurrency_limit = ConcurrencyLimit()
        self.demand = TenantDemand(self.shares)
        room = settings.memory_bytes // 4  # a quarter for each kind of table; a quarter for what waits
        self.reservations = Reservations(count, room // RESERVATION_BYTES)
        self.retry_budget = RetryBudget(count, settings.retry_ratio)
        counters = room // (2 * RATE_ENTRY_BYTES)
        self.tenant_rate = RateLimiter(settings.tenant_rate, counters) if settings.tenant_rate else None
        self.client_rate = RateLimiter(settings.client_rate, counters) if settings.client_rate else None
        self.class_rates = [RateLimiter(r, count) if r else None for r in settings.class_rates]
        rated = (self.tenant_rate, self.client_rate, *self.class_rates)
        self.limits_rates = any(buckets is not None for buckets in rated)
        self.counters = [TenantCounters() for _ in range(count)]
        self.reserve = min(settings.memory_bytes // 4, count * (QUEUE_ENTRY_BYTES + FLOW_BYTES))
        self.rejections = dict.fromkeys(AdmissionDenial, 0)
        self.costs: list[tuple[float, int]] = []  # by class: mean work, and the answers that it is from
        self.work_us, self.time_us = 0.0, 0.0  # served from the queues, and in what time
        self.busy_us: int | None = None  # the last service, if something has waited ever since
        self.assumed_service_rate = 1.0  # work a microsecond, until it is known

    # Who may come in

    def tenant_index(self, tenant: int) -> int:
        return tenant if 0 <= tenant < len(self.counters) else 0

    def check_arrival(
        self, now_us: int, member: int, client: int, key: int, klass: int, work_us: float, repeat: bool
    ) -> tuple[AdmissionDenial, int] | bool:
        """What is known at once of a call: why it is turned away and for how long, else if it was promised.

        A wait of 0 means that `retry_after_us` tells it. What was promised has paid for its place already.
        """
        row = self.counters[member]
        row.requested += 1
        left = self.settings.memory_bytes - self.memory_used() - FLOW_BYTES
        self.demand.record(member, self.queues.flow_index(member, client), work_us, now_us, left >= 0)
        told = self.reservations.claim(member, client, key, now_us) if self.reservations.count else None
        if told == 0:
            return True
        if not (repeat or key or client > 0):
            told = None  # an address may be that of many clients: this is another call, for all that is known
        pressed = bool(len(self.queues)) or self.reservations.wait_us(member, now_us) > 0
        if told is not None and pressed:
            # It pays for its haste out of its own part, and what was promised to it stands.
            self.reservations.ignored[member] += 1
            self.queues.charge(member, client, work_us)
            return AdmissionDenial.BEFORE_RETRY_AFTER, told
        pays = self.buckets(member, client, klass) if self.limits_rates else []
        wait_us = max((buckets.wait_us(whose, now_us) for buckets, whose in pays), default=0)
        if wait_us > 0:
            return AdmissionDenial.RATE_LIMIT, wait_us
        left -= QUEUE_ENTRY_BYTES + len(pays) * RATE_ENTRY_BYTES
        if left < 0 or (left < self.reserve and self.is_costly(member, work_us)):
            return AdmissionDenial.MEMORY_LIMIT, 0
        if repeat:
            if pressed and not self.retry_budget.repeat(member):
                return AdmissionDenial.RETRY_BUDGET, 0
        else:
            self.retry_budget.first(member)
        for buckets, whose in pays:
            buckets.take(whose, now_us)
        return False

    def buckets(self, member: int, client: int, klass: int) -> list[tuple[RateLimiter, Hashable]]:
        found: list[tuple[RateLimiter, Hashable]] = []
        if self.tenant_rate is not None:
            found.append((self.tenant_rate, member))
        if self.client_rate is not None:
            found.append((self.client_rate, (member, client)))
        of_class = self.class_rates[klass] if klass < len(self.class_rates) else None
        if of_class is not None:
            found.append((of_class, member))
        return found

    def is_costly(self, member: int, work_us: float) -> bool:
        """Near the bound in bytes: whether something of its member waits already, or it costs more.

        Nothing that was taken is dropped. What is left then is kept for members of whom nothing waits.
        """
        return self.queues.members[member].count > 0 or work_us > self.mean_work_us()

    def mean_work_us(self) -> float:
        return self.queues.work_us / max(1, len(self.queues))

    def rejection_fraction(self, now_us: int, member: int, client: int, rejected: float, dear: bool) -> float:
        """Part of a client's calls to refuse so that this part of all work is refused, fairly."""
        return self.demand.rejection_fraction(
            member, self.queues.flow_index(member, client), rejected, now_us, dear
        )

    # Waiting and its end

    def rate(self) -> float:
        """Work served in a microsecond, by all servers that this gateway has, while something waits."""
        if self.time_us < MAX_SERVICE_GAP_US / 5:
            return self.assumed_service_rate
        return max(1e-6, self.work_us / self.time_us)

    def wait_us(self, now_us: int, member: int, client: int) -> float:
        """How long a newcomer would wait here."""
        return self.queues.work_ahead_us(member, client) / self.rate()

    def enqueue(
        self,
        item: Item,
        now_us: int,
        member: int,
        client: int,
        work_us: float,
        priority_weight: float,
        due_us: int,
    ) -> None:
        self.queues.credit = self.rate() * MAX_CATCH_UP_US / sum(self.shares)
        self.queues.enqueue(item, member, client, work_us, priority_weight, due_us)
        self.counters[member].waiting += 1

    def has_capacity(self, in_work: int) -> bool:
        """Whether there may be one more in work."""
        return not self.settings.adaptive or self.concurrency_limit.has_capacity(in_work)

    def peek(self, in_work: int) -> Item | None:
        """Whose turn it is, if there may be one more in work."""
        return self.queues.peek() if self.has_capacity(in_work) else None

    def dequeue(self, item: Item, now_us: int) -> None:
        """It is being served."""
        entry = self.queues.entries[item]
        self.counters[entry.member].waiting -= 1
        self.queues.dequeue(item)
        if self.busy_us is not None:
            gap_us = min(max(0, now_us - self.busy_us), MAX_SERVICE_GAP_US)
            faded = math.exp(-gap_us / SERVICE_RATE_DECAY_US)
            self.work_us = self.work_us * faded + entry.work_us
            self.time_us = self.time_us * faded + gap_us
        self.busy_us = now_us if len(self.queues) else None

    def remove(self, item: Item) -> None:
        """It waits no longer, and is not served."""
        entry = self.queues.entries.get(item)
        if entry is not None and self.queues.remove(item):
            self.counters[entry.member].waiting -= 1
            if not len(self.queues):
                self.busy_us = None

    # What is learnt and told

    def record_completion(
        self, klass: int, latency_us: float, size: float, in_work: int, good: bool, turned_back: bool
    ) -> None:
        """An attempt is over: what its class costs is learnt where nothing waits, or nothing is known."""
        if self.settings.adaptive and klass < len(self.costs) and self.costs[klass][1] >= MIN_COST_SAMPLES:
            self.concurrency_limit.update(
                latency_us, self.estimated_work_us(klass, size), in_work, turned_back
            )
        if not good:
            return
        while klass >= len(self.costs):
            self.costs.append((0.0, 0))
        mean, answers = self.costs[klass]
        if answers >= MIN_COST_SAMPLES and len(self.queues):
            return
        answers += 1
        mean += (latency_us / size - mean) * max(COST_SMOOTHING, 1.0 / answers)
        self.costs[klass] = mean, answers

    def estimated_work_us(self, klass: int, size: float) -> float:
        """Work that a call of a class costs, in microseconds; that of the others while it is not known."""
        mean, answers = self.costs[klass] if klass < len(self.costs) else (0.0, 0)
        if answers < MIN_COST_SAMPLES:
            # A few answers tell more of chance than of the class: it is taken for any other till then.
            whole = sum(n for _, n in self.costs)
            usual = sum(mean * n for mean, n in self.costs) / whole if whole else DEFAULT_WORK_US
            mean = (answers * mean + PRIOR_SAMPLES * usual) / (answers + PRIOR_SAMPLES)
        return mean * size

    def retry_after_us(
        self,
        now_us: int,
        member: int,
        client: int,
        key: int,
        work_us: float,
        draw: float,
        most_us: int,
        left_us: int,
    ) -> int:
        """When a call that is sent away is to come back, and the promise that it is let in then.

        `left_us`: until its client gives up.
        """
        part = self.rate() * self.queues.service_fraction(member)
        first_us = self.queues.members[member].work_us / part
        own_us = work_us / part
        if self.memory_used() + RESERVATION_BYTES > self.settings.memory_bytes:
            left_us = 0  # nothing more is promised
        return self.reservations.reserve(
            member, client, key, now_us, first_us, own_us, draw, most_us, left_us
        )

    def record_peer_demands(self, gateway: int, demands: list[float], now_us: int, gateways: int) -> None:
        """What another gateway is asked for: shares are to hold for all together."""
        self.demand.record_peer_demands(gateway, demands, now_us)
        self.queues.set_shares(self.demand.local_shares(now_us, gateways))

    def set_shares(self, shares: Sequence[float]) -> None:
        """New shares, from now on."""
        if len(shares) == len(self.shares):
            self.shares[:] = shares
            self.queues.set_shares(shares)

    def memory_used(self) -> int:
        """What all tables hold, by their sizes and the measured cost of a row."""
        counters = sum(len(b.table) for b in (self.tenant_rate, self.client_rate) if b is not None)
        held = (
            len(self.queues) * QUEUE_ENTRY_BYTES + (self.queues.flow_count + self.demand.count) * FLOW_BYTES
        )
        return held + self.reservations.count * RESERVATION_BYTES + counters * RATE_ENTRY_BYTES

    def figures(self, names: Sequence[str]) -> dict[str, float]:
        """For the stats."""
        found: dict[str, float] = {
            "door_limit": round(self.concurrency_limit.limit, 1),
            "door_waiting": len(self.queues),
            "door_bytes": self.memory_used(),
            "door_promised": self.reservations.count,
        }
        for why, count in self.rejections.items():
            found[f"door_refused_{why.value}_total"] = count
        for number, row in enumerate(self.counters):
            name = names[number] if number < len(names) else str(number)
            found |= {
                f"member_{name}_share": round(self.shares[number] / sum(self.shares), 4),
                f"member_{name}_asked_total": row.requested,
                f"member_{name}_served_total": row.served,
                f"member_{name}_refused_total": row.rejected,
                f"member_{name}_waiting": row.waiting,
                f"member_{name}_advised_total": self.reservations.issued[number],
                f"member_{name}_kept_total": self.reservations.honored[number],
                f"member_{name}_ignored_total": self.reservations.ignored[number],
            }
        return found
