"""Membership among many gateways in virtual time: how soon a death is known, who is wrongly declared, what it
costs.

The state machines are those of the gateways; the way between them loses and delays datagrams as it is told.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field

from sagetrack.lab.virtual.clock import SimClock
from sagetrack.peers.codec import Datagram, decode, encode
from sagetrack.peers.member_table import MemberState
from sagetrack.peers.membership import Membership
from sagetrack.peers.settings import MembershipSettings

WARM_US = 5_000_000  # before anything happens


@dataclass(slots=True)
class Outcome:
    """What one run showed. Times in seconds."""

    gateways: int
    loss: float
    known_s: list[float] = field(default_factory=list)  # for each survivor, until it knew of a death
    missed: int = 0  # pairs of survivor and dead that never became known
    false_deaths: int = 0  # pairs of a member and a living one that it declared or believed dead
    sent_per_s: float = 0.0  # datagrams a gateway
    bytes_per_s: float = 0.0
    most_per_s: float = 0.0  # of the gateway that sent the most
    healed_s: float = -1.0  # after a partition, until all views were equal and all alive

    @property
    def median_s(self) -> float:
        return statistics.median(self.known_s) if self.known_s else -1.0

    @property
    def p99_s(self) -> float:
        return sorted(self.known_s)[int(0.99 * (len(self.known_s) - 1))] if self.known_s else -1.0


class Fleet:
    """So many members on one simulated clock."""

    def __init__(
        self,
        count: int,
        seed: int,
        loss: float,
        settings: MembershipSettings,
        delay_us: tuple[int, int] = (1_000, 10_000),
    ) -> None:
        self.clock = SimClock()
        self.draw = random.Random(f"{seed}/membership")
        self.loss, self.delay_us, self.settings, self.count = loss, delay_us, settings, count
        self.dead: set[int] = set()
        self.sides: dict[int, int] = {}  # while partitioned: each one's side
        self.members: dict[int, Membership] = {}
        self.planned: dict[int, int] = {}  # when each is looked at next
        self.changed: list[tuple[int, int, int, MemberState]] = []  # time, who, of whom, to what
        for number in range(count):
            self.start(number, 1)

    def start(self, number: int, incarnation: int) -> None:
        """A member begins, or begins again with a higher incarnation."""
        self.dead.discard(number)
        member = Membership(
            number,
            self.count,
            self.settings,
            self.draw.getrandbits(32),
            self.clock.now_us(),
            self._sender(number),
            incarnation,
        )
        member.on_change = lambda of, state: self.changed.append((self.clock.now_us(), number, of, state))
        self.members[number] = member
        self._wake(number, member)

    def _sender(self, source: int) -> Callable[[int, Datagram], None]:
        def send(target: int, datagram: Datagram) -> None:
            data = encode(datagram)
            member = self.members[source]
            member.counts.sent += 1
            member.counts.sent_bytes += len(data)
            apart = self.sides.get(source, 0) != self.sides.get(target, 0)
            if apart or self.draw.random() < self.loss:
                return
            due = self.clock.now_us() + self.draw.randint(*self.delay_us)
            self.clock.at(due, lambda: self._deliver(target, data))

        return send

    def _deliver(self, target: int, data: bytes) -> None:
        if target in self.dead:
            return
        member = self.members[target]
        member.handle(self.clock.now_us(), decode(data))
        self._wake(target, member)

    def _wake(self, number: int, member: Membership) -> None:
        def tick() -> None:
            if number in self.dead or self.members[number] is not member:
                return
            if self.clock.now_us() >= member.next_us():
                member.tick(self.clock.now_us())
            self._wake(number, member)

        due = member.next_us()
        planned = self.planned.get(number, -1)
        if planned == due and planned > self.clock.now_us():
            return
        self.planned[number] = due
        self.clock.at(due, tick)

    def run(self, until_us: int) -> None:
        """Let time pass up to then."""
        over = [False]
        self.clock.at(until_us, lambda: over.__setitem__(0, True))
        self.clock.run(lambda: over[0], lambda: until_us)

    def views_equal(self) -> bool:
        """Whether every living member takes every dead one for dead, and no other."""
        return all(
            (peer.state is MemberState.DEAD) == (other in self.dead)
            for number, member in self.members.items()
            if number not in self.dead
            for other, peer in member.peers.items()
        )


def death(
    count: int,
    seed: int,
    loss: float,
    seconds: float = 60.0,
    deaths: int = 1,
    settings: MembershipSettings | None = None,
) -> Outcome:
    """Some die at once, after a while; until when is it known, and who else is taken for dead?"""
    fleet = Fleet(count, seed, loss, settings or MembershipSettings())
    made = Outcome(count, loss)
    fleet.run(WARM_US)
    fleet.dead = set(fleet.draw.sample(range(count), deaths))
    victims = set(fleet.dead)
    fleet.run(WARM_US + int(seconds * 1e6))
    known: dict[tuple[int, int], float] = {}
    for time, who, of, state in fleet.changed:
        if state is MemberState.DEAD and of in victims and time >= WARM_US:
            known.setdefault((who, of), (time - WARM_US) / 1e6)
        elif state is MemberState.DEAD and of not in victims:
            made.false_deaths += 1
    survivors = [number for number in range(count) if number not in victims]
    made.known_s = [known[s, v] for s in survivors for v in victims if (s, v) in known]
    made.missed = len(survivors) * len(victims) - len(made.known_s)
    whole = WARM_US / 1e6 + seconds
    rates = [fleet.members[s].counts.sent / whole for s in survivors]
    made.sent_per_s, made.most_per_s = statistics.fmean(rates), max(rates)
    made.bytes_per_s = statistics.fmean(fleet.members[s].counts.sent_bytes / whole for s in survivors)
    return made


def partition(count: int, seed: int, loss: float, seconds: float = 10.0, longest: float = 120.0) -> Outcome:
    """A third is cut off for a while; how long after its end are all views equal again?"""
    fleet = Fleet(count, seed, loss, MembershipSettings())
    made = Outcome(count, loss)
    fleet.run(WARM_US)
    fleet.sides = {number: int(number < count // 3) for number in range(count)}
    end = WARM_US + int(seconds * 1e6)
    fleet.run(end)
    fleet.sides = {}
    while fleet.clock.now_us() < end + longest * 1e6:
        if fleet.views_equal():
            made.healed_s = (fleet.clock.now_us() - end) / 1e6
            break
        fleet.run(fleet.clock.now_us() + 250_000)
    return made
