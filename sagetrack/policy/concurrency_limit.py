"""Limits at the door: calls in work, rates with bursts, repeats; and when a client that is sent away is due.

Pure: times are readings of the caller's clock in whole microseconds. Tables are bounded; at the bound the key
that was used longest ago gives way where it owes nothing, and otherwise the newcomer is not entered.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field

from sagetrack.policy.fair_queue import max_min_fair_shares

# The limit on calls in work
TOLERANCE = 2.0  # times the unhindered latency that is no sign of a crowd
LEAST_GRADIENT = 0.5  # the most that one adjustment takes away
LIMIT_SMOOTHING = 0.2  # share of the newest value
LATENCY_SMOOTHING = 0.1
LEAST_LIMIT = 1.0
MOST_RATIO = 2 * TOLERANCE  # one call counts for no more: a slow server among many is no crowd of calls
# What is asked for
DEMAND_US = 1_000_000  # after this, what was asked for counts by 1/e: idle shares come back within it
HEARD_US = 3 * DEMAND_US  # what another gateway told counts for so long
LEVEL_US = 50_000  # between two looks at who asks for more than its part
LEVEL_MOVE = 0.2  # unless the part that has to be refused has moved by this since
# Promises
EARLY = 0.2  # of an advised wait: who comes back sooner has ignored it
LATE_US = 3_000_000  # a promise that was not kept is void after this
SPREAD = 0.1  # of an advised wait, drawn at random: who were sent away together come back apart
PROMISES_EACH = 64  # of one client at once: who asks for ever more does not lengthen the line for others
SOON_US = 10_000  # a shorter wait is not worth a journey


class ConcurrencyLimit:
    """An adaptive limit on calls in work, from latency against the unhindered one.

    The gradient method of Netflix's concurrency limits (2018, public description), near to TCP Vegas (Brakmo,
    Peterson, 1995): the limit is multiplied by how much faster an unhindered call is, and gains the square
    root of itself as headroom. It grows only while it is used. It never falls below `minimum`, which its
    owner sets to what the servers hold without waiting: calls that hang at a few servers would else keep all
    other servers idle.
    """

    __slots__ = ("limit", "minimum", "most", "ratio")

    def __init__(self, first: float = 20.0, most: float = 10_000.0) -> None:
        self.limit, self.most = first, most
        self.minimum = LEAST_LIMIT
        self.ratio = 1.0  # smoothed latency over the unhindered one

    def update(self, latency_us: float, unhindered_us: float, in_work: int, dropped: bool = False) -> None:
        """Take the latency of one call that has ended, or that it was dropped by an overloaded server."""
        ratio = latency_us / max(1.0, unhindered_us)
        self.ratio += LATENCY_SMOOTHING * (min(ratio, MOST_RATIO) - self.ratio)
        gradient = LEAST_GRADIENT if dropped else min(1.0, TOLERANCE / max(self.ratio, 1e-9))
        gradient = max(LEAST_GRADIENT, gradient)
        if gradient >= 1.0 and in_work < self.limit / 2:
            return
        wanted = self.limit * gradient + math.sqrt(self.limit)
        if dropped:
            wanted = self.limit * gradient
        # Many calls end within one latency: each moves the limit by its part.
        weight = LIMIT_SMOOTHING / max(1.0, min(self.limit, in_work))
        self.limit += weight * (wanted - self.limit)
        self.limit = min(self.most, max(self.minimum, self.limit))

    def has_capacity(self, in_work: int) -> bool:
        return in_work < max(self.minimum, self.limit)


class Table:
    """Numbers by key, bounded: the longest unused gives way."""

    __slots__ = ("most", "rows")

    def __init__(self, most: int) -> None:
        self.most = most
        self.rows: OrderedDict[Hashable, float] = OrderedDict()

    def get(self, key: Hashable, default: float) -> float:
        return self.rows.get(key, default)

    def put(self, key: Hashable, value: float, free_below: float = math.inf) -> bool:
        """Enter a number; False if the table is full and the oldest owes something (`free_below` or more)."""
        if key not in self.rows and len(self.rows) >= self.most:
            oldest = next(iter(self.rows), None)
            if oldest is None or self.rows[oldest] >= free_below:
                return False
            del self.rows[oldest]
        self.rows[key] = value
        self.rows.move_to_end(key)
        return True

    def __len__(self) -> int:
        return len(self.rows)


@dataclass(slots=True, frozen=True)
class Rate:
    """A bound on requests, as a bucket of tokens."""

    per_s: float
    burst: float = 1.0


class RateLimiter:
    """Token buckets by key, as the generic cell rate algorithm has them (ITU-T I.371): one number each."""

    def __init__(self, rate: Rate, most: int) -> None:
        self.rate = rate
        self.table = Table(most)

    def wait_us(self, key: Hashable, now_us: int) -> int:
        """How long until one more may come: 0 now. Takes nothing."""
        gap_us = 1e6 / self.rate.per_s
        due = self.table.get(key, float(now_us))
        return max(0, math.ceil(due - now_us - gap_us * (self.rate.burst - 1.0)))

    def take(self, key: Hashable, now_us: int) -> None:
        """Take a token. A key for which the table has no room goes uncounted; other limits still hold it."""
        gap_us = 1e6 / self.rate.per_s
        due = max(self.table.get(key, 0.0), float(now_us)) + gap_us
        self.table.put(key, due, float(now_us))


@dataclass(slots=True, eq=False)
class TokenBucket:
    """Tokens for repeats: each first try pays a part of one in."""

    tokens: float
    most: float

    def pay(self, part: float) -> None:
        self.tokens = min(self.most, self.tokens + part)

    def take(self) -> bool:
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RetryBudget:
    """Clients' repeats, by member and for all, who both must pay (Finagle's retry budget, in tiers).

    Guards against repeats that feed an overload: one member's cannot use up what others' first tries paid.
    """

    def __init__(self, members: int, part: float = 0.2, burst: float = 10.0) -> None:
        self.part = part
        self.members = [TokenBucket(burst, burst) for _ in range(members)]
        self.whole = TokenBucket(2 * burst, 2 * burst)

    def first(self, member: int) -> None:
        self.members[member].pay(self.part)
        self.whole.pay(self.part)

    def repeat(self, member: int) -> bool:
        """Whether a repeat may come now; it is paid for if so."""
        if self.whole.tokens < 1.0 or not self.members[member].take():
            return False
        return self.whole.take()


class DecayedDemand:
    """Work asked for of late, by key of a fixed range: a sum that decays by time."""

    __slots__ = ("at_us", "sums")

    def __init__(self, count: int) -> None:
        self.sums = [0.0] * count
        self.at_us = [0] * count

    def record(self, key: int, work_us: float, now_us: int) -> None:
        self.sums[key] = self.of(key, now_us) + work_us
        self.at_us[key] = now_us

    def of(self, key: int, now_us: int) -> float:
        """Work asked for over the last second or so, in microseconds for each DEMAND_US."""
        if not self.sums[key]:
            return 0.0
        return self.sums[key] * math.exp((self.at_us[key] - now_us) / DEMAND_US)


@dataclass(slots=True, eq=False)
class FairLimits:
    """Who was over its part at one moment."""

    excess_fraction: list[float]  # by member: part of its demand that is beyond its part
    flow_limit_us: list[float]  # by member: work that one flow may ask for
    at_us: int = -LEVEL_US
    reject_fraction: float = -1.0  # part of all that had to be refused


@dataclass(slots=True, eq=False)
class TenantDemand:
    """Who asks for more than its part while something has to be refused.

    Weighted max-min fairness by member, then evenly by flow within a member: who is within its part yields
    nothing. Looked at every LEVEL_US; a look costs by members and by flows of members that are over. Cheap
    calls and all others are refused at rates of their own, and each has its own look: one for both would be
    taken anew with each call, which cost a busy gateway a millisecond a call and so fed the crowd.
    """

    shares: Sequence[float]
    members: DecayedDemand = field(init=False)
    by_flow: list[dict[int, list[float]]] = field(init=False)  # by member: flow to (sum, at)
    peer_demands: dict[int, tuple[list[float], int]] = field(
        default_factory=dict
    )  # by gateway: demands, when
    count: int = 0  # of flows that are known
    fair_limits: tuple[FairLimits, FairLimits] = field(init=False)  # for cheap calls, for all others
    evaluations: int = 0  # looks that were taken

    def __post_init__(self) -> None:
        count = len(self.shares)
        self.members = DecayedDemand(count)
        self.by_flow = [{} for _ in range(count)]
        first, second = (FairLimits([0.0] * count, [math.inf] * count) for _ in range(2))
        self.fair_limits = first, second

    def record(self, member: int, flow: int, work_us: float, now_us: int, room: bool = True) -> None:
        """Enter what is asked for, served or not; without room, only for a flow that is known."""
        self.members.record(member, work_us, now_us)
        row = self.by_flow[member].get(flow)
        if row is None:
            if room:
                self.by_flow[member][flow] = [work_us, float(now_us)]
                self.count += 1
        else:
            row[0] = row[0] * math.exp((row[1] - now_us) / DEMAND_US) + work_us
            row[1] = float(now_us)

    def record_peer_demands(self, gateway: int, demands: list[float], now_us: int) -> None:
        """What another gateway sees asked for, in the same terms."""
        if len(demands) == len(self.shares):
            self.peer_demands[gateway] = (demands, now_us)

    def fleet_demands(self, now_us: int, gateways: int) -> list[float]:
        """What all gateways are asked for, as far as is known: those that told stand for those that did not.

        Where nobody has told, own figures are all there is, and shares hold at each gateway by itself.
        """
        own = self.local_demands(now_us)
        heard = [told for told, at_us in self.peer_demands.values() if now_us - at_us < HEARD_US]
        if not heard:
            return own
        scale = max(0, gateways - 1) / len(heard)
        return [mine + scale * sum(told[n] for told in heard) for n, mine in enumerate(own)]

    def local_shares(self, now_us: int, gateways: int) -> list[float]:
        """The members' shares at this gateway, so that they hold for all gateways together.

        Of a member's share, each gateway has the part that it sees of the member's demand. A part is never
        below a hundredth: who has not asked here of late must be let in when it does.
        """
        own, whole = self.local_demands(now_us), self.fleet_demands(now_us, gateways)
        return [
            share * (max(0.01, mine / total) if total > mine else 1.0)
            for share, mine, total in zip(self.shares, own, whole, strict=True)
        ]

    def local_demands(self, now_us: int) -> list[float]:
        return [self.members.of(member, now_us) for member in range(len(self.shares))]

    def look(self, reject_fraction: float, now_us: int, dear: bool = False) -> FairLimits:
        """Work out who is over when this part of all that is asked for has to be refused."""
        look = self.fair_limits[dear]
        if now_us - look.at_us < LEVEL_US and abs(reject_fraction - look.reject_fraction) < LEVEL_MOVE:
            return look
        look.at_us, look.reject_fraction = now_us, reject_fraction
        self.evaluations += 1
        demands = self.fleet_demands(now_us, 1 + len(self.peer_demands))
        parts = max_min_fair_shares(demands, self.shares, (1.0 - reject_fraction) * sum(demands))
        for member, demand in enumerate(demands):
            look.excess_fraction[member] = 1.0 - parts[member] / demand if demand > 0 else 0.0
            if look.excess_fraction[member] > 0.001:
                self._look_inside(look, member, now_us)
        return look

    def _look_inside(self, look: FairLimits, member: int, now_us: int) -> None:
        rows = self.by_flow[member]
        asked = {flow: row[0] * math.exp((row[1] - now_us) / DEMAND_US) for flow, row in rows.items()}
        for flow in [flow for flow, work in asked.items() if work < 1.0]:
            del rows[flow], asked[flow]
            self.count -= 1
        demands = list(asked.values())
        total = sum(demands)
        parts = max_min_fair_shares(
            demands, [1.0] * len(demands), (1.0 - look.excess_fraction[member]) * total
        )
        cut = [part for part, demand in zip(parts, demands, strict=True) if part < demand]
        look.flow_limit_us[member] = max(cut, default=math.inf)

    def rejection_fraction(
        self, member: int, flow: int, reject_fraction: float, now_us: int, dear: bool = False
    ) -> float:
        """Part of a flow's demand to refuse so that this part of all is refused; 0 within its part."""
        if reject_fraction <= 0.0:
            return 0.0
        look = self.look(reject_fraction, now_us, dear)
        if look.excess_fraction[member] <= 0.001:
            return 0.0
        row = self.by_flow[member].get(flow)
        asked = row[0] * math.exp((row[1] - now_us) / DEMAND_US) if row is not None else 0.0
        return 1.0 - look.flow_limit_us[member] / asked if asked > look.flow_limit_us[member] else 0.0


class Reservations:
    """What clients that were sent away have been told, and who keeps to it.

    Each member has a line in time: a call that is sent away is due when the member's part of the service has
    done all that was promised before it. Whoever comes back when told is let in ahead of newcomers, whose own
    wait counts what is still promised.
    """

    def __init__(self, members: int, most: int) -> None:
        self.table: OrderedDict[tuple[int, int, int], list[tuple[int, int]]] = OrderedDict()
        # by member, client and key: when each call is due, and from when on it may come
        self.most, self.count = most, 0
        self.each: dict[tuple[int, int], int] = {}  # by member and client, where it is known
        self.booked_until_us = [0.0] * members  # by member: up to when its part of the service is promised
        self.issued, self.honored, self.ignored = [0] * members, [0] * members, [0] * members

    def wait_us(self, member: int, now_us: int) -> float:
        """How long the member's part of the service is promised already."""
        return max(0.0, self.booked_until_us[member] - now_us)

    def reserve(
        self,
        member: int,
        client: int,
        key: int,
        now_us: int,
        first_us: float,
        work_us: float,
        draw: float,
        most_us: int,
        left_us: int,
    ) -> int:
        """The wait that is told, in microseconds, for a call that takes this long of the member's part.

        `first_us`: what waits here already takes so long. `draw`: even between 0 and 1. What would be due
        after `most_us`, or when its client has given up in `left_us`, is told so and nothing is promised:
        then the line is not lengthened by who will not come.
        """
        due = max(self.booked_until_us[member], now_us + first_us)
        wait_us = max(float(SOON_US), due - now_us) * (1.0 + SPREAD * draw)
        self.issued[member] += 1
        full = self.count >= self.most or self.each.get((member, client), 0) >= PROMISES_EACH
        if wait_us > min(most_us, left_us) or full:
            return min(int(wait_us), most_us)
        self.booked_until_us[member] = due + work_us
        dues = self.table.setdefault((member, client, key), [])
        dues.append((now_us + int(wait_us), now_us + int((1.0 - EARLY) * wait_us)))
        self.table.move_to_end((member, client, key))
        self.count += 1
        if client:
            self.each[member, client] = self.each.get((member, client), 0) + 1
        return int(wait_us)

    def claim(self, member: int, client: int, key: int, now_us: int) -> int | None:
        """A client asks again: 0 if it was told to come about now, how long it has to wait if it is early.

        None if nothing was promised to it.
        """
        self._void(now_us)
        dues = self.table.get((member, client, key))
        if not dues:
            return None
        due, from_us = min(dues)
        if now_us < from_us:
            return due - now_us
        dues.remove((due, from_us))
        self._drop(member, client, 1)
        self.honored[member] += 1
        if not dues:
            del self.table[member, client, key]
        return 0

    def _drop(self, member: int, client: int, count: int) -> None:
        self.count -= count
        if client:
            self.each[member, client] -= count
            if not self.each[member, client]:
                del self.each[member, client]

    def _void(self, now_us: int) -> None:
        """Forget promises that nobody has come for: from the oldest client on, a few at a time."""
        for _ in range(2):
            key = next(iter(self.table), None)
            if key is None or max(self.table[key])[0] > now_us - LATE_US:
                return
            self._drop(key[0], key[1], len(self.table.pop(key)))
