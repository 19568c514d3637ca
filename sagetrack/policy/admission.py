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
    RepeatBudget,
    Reservations,
    TenantDemand,
)
from sagetrack.policy.fair_queue import FairQueues

Item = TypeVar("Item", bound=Hashable)
# What one of each holds, in bytes, as measured (docs/operators/fairness.md)
ENTRY_BYTES, FLOW_BYTES, PROMISE_BYTES, ROW_BYTES = 3500, 700, 420, 240
FEW_ANSWERS = 50  # with fewer, a class's cost is learnt in a jam too, and drawn towards what all cost
DOUBT = 20.0  # answers that what all cost counts for then
COST_SMOOTHING = 0.01  # share of the newest answer
UNKNOWN_US = 50_000.0  # work of any call before the first answers
RATE_US = 1_000_000  # what was served counts by 1/e after this
CREDIT_US = 1_000_000  # a member may catch up on what it could have had within this
GAP_US = 250_000  # one gap counts for no longer: a clock that goes on at once tells nothing of the rate
PROMISED_WORTH = 1e9  # beyond any class's: who comes back as told goes ahead of newcomers of its client


@dataclass(slots=True, frozen=True)
class AdmissionSettings:
    """Fair queues and limits, as the operator has them."""

    shares: tuple[float, ...] = ()  # by member; where there are none, the members' shares of the platform
    flows: int = 256  # that the clients of a member are hashed to
    patience: float = 0.5  # part of the slack under its aim that a call may wait here
    memory_bytes: int = 16 * 1024 * 1024
    adaptive: bool = True  # limit calls in work by latency
    repeats: float = 0.2  # clients' repeats that a first try pays for, while there is not enough for all
    member_rate: Rate | None = None
    client_rate: Rate | None = None
    class_rates: tuple[Rate | None, ...] = ()

    def __post_init__(self) -> None:
        if not 0.0 <= self.patience <= 0.5 or self.flows < 1 or self.memory_bytes < 64 * 1024:
            raise ValueError("patience is not within 0 to 0.5, there are no flows, or memory is below 64 KiB")


class AdmissionDenial(Enum):
    """Why a call is turned away, for the stats."""

    EARLY = "early"  # it was told to come later
    RATE = "rate"
    MEMORY = "memory"
    REPEAT = "repeat"
    SHARE = "share"  # its member or client asks for more than its part
    SERVERS = "servers"  # no server may be used now
    LATE = "late"  # it could not be served in time


@dataclass(slots=True)
class Row:
    """What became of one member's calls."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    waiting: int = 0


class AdmissionController(Generic[Item]):
    """One gateway's door. Costs of all operations follow members, classes and flows, not clients."""

    def __init__(self, settings: AdmissionSettings, shares: Sequence[float]) -> None:
        self.settings = settings
        given = settings.shares if len(settings.shares) == len(shares) else shares
        self.shares = list(given) if any(share > 0 for share in given) else [1.0] * len(given)
        count = len(self.shares)
        self.queues: FairQueues[Item] = FairQueues(self.shares, settings.flows)
        self.limit = ConcurrencyLimit()
        self.levels = TenantDemand(self.shares)
        room = settings.memory_bytes // 4  # a quarter for each kind of table; a quarter for what waits
        self.promises = Reservations(count, room // PROMISE_BYTES)
        self.repeats = RepeatBudget(count, settings.repeats)
        rows = room // (2 * ROW_BYTES)
        self.member_rate = RateLimiter(settings.member_rate, rows) if settings.member_rate else None
        self.client_rate = RateLimiter(settings.client_rate, rows) if settings.client_rate else None
        self.class_rates = [RateLimiter(r, count) if r else None for r in settings.class_rates]
        rated = (self.member_rate, self.client_rate, *self.class_rates)
        self.limits_rates = any(buckets is not None for buckets in rated)
        self.rows = [Row() for _ in range(count)]
        self.reserve = min(settings.memory_bytes // 4, count * (ENTRY_BYTES + FLOW_BYTES))
        self.reasons = dict.fromkeys(AdmissionDenial, 0)
        self.costs: list[tuple[float, int]] = []  # by class: mean work, and the answers that it is from
        self.work_us, self.time_us = 0.0, 0.0  # served from the queues, and in what time
        self.busy_us: int | None = None  # the last service, if something has waited ever since
        self.prior = 1.0  # work a microsecond, until it is known

    # Who may come in

    def member(self, tenant: int) -> int:
        return tenant if 0 <= tenant < len(self.rows) else 0

    def arrive(
        self, now_us: int, member: int, client: int, key: int, klass: int, work_us: float, repeat: bool
    ) -> tuple[AdmissionDenial, int] | bool:
        """What is known at once of a call: why it is turned away and for how long, else if it was promised.

        A wait of 0 means that `advise` tells it. What was promised has paid for its place already.
        """
        row = self.rows[member]
        row.asked += 1
        left = self.settings.memory_bytes - self.bytes() - FLOW_BYTES
        self.levels.add(member, self.queues.flow_of(member, client), work_us, now_us, left >= 0)
        told = self.promises.comes(member, client, key, now_us) if self.promises.count else None
        if told == 0:
            return True
        if not (repeat or key or client > 0):
            told = None  # an address may be that of many clients: this is another call, for all that is known
        pressed = bool(len(self.queues)) or self.promises.wait_us(member, now_us) > 0
        if told is not None and pressed:
            # It pays for its haste out of its own part, and what was promised to it stands.
            self.promises.ignored[member] += 1
            self.queues.charge(member, client, work_us)
            return AdmissionDenial.EARLY, told
        pays = self.buckets(member, client, klass) if self.limits_rates else []
        wait_us = max((buckets.wait_us(whose, now_us) for buckets, whose in pays), default=0)
        if wait_us > 0:
            return AdmissionDenial.RATE, wait_us
        left -= ENTRY_BYTES + len(pays) * ROW_BYTES
        if left < 0 or (left < self.reserve and self.is_costly(member, work_us)):
            return AdmissionDenial.MEMORY, 0
        if repeat:
            if pressed and not self.repeats.repeat(member):
                return AdmissionDenial.REPEAT, 0
        else:
            self.repeats.first(member)
        for buckets, whose in pays:
            buckets.take(whose, now_us)
        return False

    def buckets(self, member: int, client: int, klass: int) -> list[tuple[RateLimiter, Hashable]]:
        found: list[tuple[RateLimiter, Hashable]] = []
        if self.member_rate is not None:
            found.append((self.member_rate, member))
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

    def beyond(self, now_us: int, member: int, client: int, refused: float, dear: bool) -> float:
        """Part of a client's calls to refuse so that this part of all work is refused, fairly."""
        return self.levels.beyond(member, self.queues.flow_of(member, client), refused, now_us, dear)

    # Waiting and its end

    def rate(self) -> float:
        """Work served in a microsecond, by all servers that this gateway has, while something waits."""
        if self.time_us < GAP_US / 5:
            return self.prior
        return max(1e-6, self.work_us / self.time_us)

    def wait_us(self, now_us: int, member: int, client: int) -> float:
        """How long a newcomer would wait here."""
        return self.queues.ahead_us(member, client) / self.rate()

    def push(
        self,
        item: Item,
        now_us: int,
        member: int,
        client: int,
        work_us: float,
        priority_weight: float,
        due_us: int,
    ) -> None:
        self.queues.credit = self.rate() * CREDIT_US / sum(self.shares)
        self.queues.push(item, member, client, work_us, priority_weight, due_us)
        self.rows[member].waiting += 1

    def has_room(self, in_work: int) -> bool:
        """Whether there may be one more in work."""
        return not self.settings.adaptive or self.limit.has_room(in_work)

    def first(self, in_work: int) -> Item | None:
        """Whose turn it is, if there may be one more in work."""
        return self.queues.first() if self.has_room(in_work) else None

    def serve(self, item: Item, now_us: int) -> None:
        """It is being served."""
        entry = self.queues.entries[item]
        self.rows[entry.member].waiting -= 1
        self.queues.serve(item)
        if self.busy_us is not None:
            gap_us = min(max(0, now_us - self.busy_us), GAP_US)
            faded = math.exp(-gap_us / RATE_US)
            self.work_us = self.work_us * faded + entry.work_us
            self.time_us = self.time_us * faded + gap_us
        self.busy_us = now_us if len(self.queues) else None

    def remove(self, item: Item) -> None:
        """It waits no longer, and is not served."""
        entry = self.queues.entries.get(item)
        if entry is not None and self.queues.remove(item):
            self.rows[entry.member].waiting -= 1
            if not len(self.queues):
                self.busy_us = None

    # What is learnt and told

    def ended(
        self, klass: int, latency_us: float, size: float, in_work: int, good: bool, turned_back: bool
    ) -> None:
        """An attempt is over: what its class costs is learnt where nothing waits, or nothing is known."""
        if self.settings.adaptive and klass < len(self.costs) and self.costs[klass][1] >= FEW_ANSWERS:
            self.limit.learn(latency_us, self.work_of(klass, size), in_work, turned_back)
        if not good:
            return
        while klass >= len(self.costs):
            self.costs.append((0.0, 0))
        mean, answers = self.costs[klass]
        if answers >= FEW_ANSWERS and len(self.queues):
            return
        answers += 1
        mean += (latency_us / size - mean) * max(COST_SMOOTHING, 1.0 / answers)
        self.costs[klass] = mean, answers

    def work_of(self, klass: int, size: float) -> float:
        """Work that a call of a class costs, in microseconds; that of the others while it is not known."""
        mean, answers = self.costs[klass] if klass < len(self.costs) else (0.0, 0)
        if answers < FEW_ANSWERS:
            # A few answers tell more of chance than of the class: it is taken for any other till then.
            whole = sum(n for _, n in self.costs)
            usual = sum(mean * n for mean, n in self.costs) / whole if whole else UNKNOWN_US
            mean = (answers * mean + DOUBT * usual) / (answers + DOUBT)
        return mean * size

    def advise(
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
        part = self.rate() * self.queues.active_share(member)
        first_us = self.queues.members[member].work_us / part
        own_us = work_us / part
        if self.bytes() + PROMISE_BYTES > self.settings.memory_bytes:
            left_us = 0  # nothing more is promised
        return self.promises.promise(member, client, key, now_us, first_us, own_us, draw, most_us, left_us)

    def hear(self, gateway: int, demands: list[float], now_us: int, gateways: int) -> None:
        """What another gateway is asked for: shares are to hold for all together."""
        self.levels.hear(gateway, demands, now_us)
        self.queues.set_shares(self.levels.local_shares(now_us, gateways))

    def set_shares(self, shares: Sequence[float]) -> None:
        """New shares, from now on."""
        if len(shares) == len(self.shares):
            self.shares[:] = shares
            self.queues.set_shares(shares)

    def bytes(self) -> int:
        """What all tables hold, by their sizes and the measured cost of a row."""
        rows = sum(len(b.table) for b in (self.member_rate, self.client_rate) if b is not None)
        held = len(self.queues) * ENTRY_BYTES + (self.queues.flow_count + self.levels.count) * FLOW_BYTES
        return held + self.promises.count * PROMISE_BYTES + rows * ROW_BYTES

    def figures(self, names: Sequence[str]) -> dict[str, float]:
        """For the stats."""
        found: dict[str, float] = {
            "door_limit": round(self.limit.limit, 1),
            "door_waiting": len(self.queues),
            "door_bytes": self.bytes(),
            "door_promised": self.promises.count,
        }
        for why, count in self.reasons.items():
            found[f"door_refused_{why.value}_total"] = count
        for number, row in enumerate(self.rows):
            name = names[number] if number < len(names) else str(number)
            found |= {
                f"member_{name}_share": round(self.shares[number] / sum(self.shares), 4),
                f"member_{name}_asked_total": row.asked,
                f"member_{name}_served_total": row.served,
                f"member_{name}_refused_total": row.refused,
                f"member_{name}_waiting": row.waiting,
                f"member_{name}_advised_total": self.promises.advised[number],
                f"member_{name}_kept_total": self.promises.kept[number],
                f"member_{name}_ignored_total": self.promises.ignored[number],
            }
        return found
