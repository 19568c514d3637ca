"""Membership of many gateways in virtual time: detection time of failures, false positives, and traffic.

The members run the same state machines as real gateways. The simulated network delays datagrams and drops a
configurable share of them.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from sagetrack.lab.virtual.clock import SimClock
from sagetrack.peers.codec import Datagram, decode, encode
from sagetrack.peers.member_table import MemberState
from sagetrack.peers.membership import Membership
from sagetrack.peers.settings import MembershipSettings

WARM_UP_US = 5_000_000  # simulated time before the failure or partition
VIEW_CHECK_US = 250_000  # interval at which the views are compared after a partition
DELAY_US = (1_000, 10_000)  # minimum and maximum network delay of a datagram
NEVER_S = -1.0  # reported instead of a time if the event did not happen


@dataclass(slots=True)
class MembershipResult:
    """Results of one run."""

    gateways: int
    loss: float  # share of datagrams that are lost
    # Time until the survivor detected the death, for each pair of a survivor and a dead member.
    detection_s: list[float] = field(default_factory=list)
    undetected: int = 0  # pairs of a survivor and a dead member whose death it did not detect
    false_deaths: int = 0  # how often a member took a living one for dead
    sent_per_s: float = 0.0  # mean datagrams sent per second by a gateway
    bytes_per_s: float = 0.0  # mean bytes sent per second by a gateway
    max_sent_per_s: float = 0.0  # datagrams per second of the gateway that sent the most
    convergence_s: float = NEVER_S  # time from the end of a partition until all views are correct

    @property
    def median_s(self) -> float:
        """Median detection time; -1 if no death was detected."""
        return statistics.median(self.detection_s) if self.detection_s else NEVER_S

    @property
    def p99_s(self) -> float:
        """99th percentile of the detection times; -1 if no death was detected."""
        return (
            sorted(self.detection_s)[int(0.99 * (len(self.detection_s) - 1))] if self.detection_s else NEVER_S
        )


class StateChange(NamedTuple):
    """A change of an observer's view of another member."""

    time_us: int
    observer: int
    member: int
    state: MemberState


class Fleet:
    """A simulated network of members on a virtual clock.

    Attributes:
        dead: members that neither receive nor send.
        sides: side of each member while the network is partitioned; members reach only those of their side.
        changes: all changes of the members' views, in chronological order.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        loss: float,
        settings: MembershipSettings,
        delay_us: tuple[int, int] = DELAY_US,
    ) -> None:
        self.clock = SimClock()
        self.rng = random.Random(f"{seed}/membership")
        self.loss = loss
        self.delay_us = delay_us
        self.settings = settings
        self.count = count
        self.dead: set[int] = set()
        self.sides: dict[int, int] = {}
        self.members: dict[int, Membership] = {}
        self.next_tick_us: dict[int, int] = {}  # time of each member's next scheduled tick
        self.changes: list[StateChange] = []
        for number in range(count):
            self.start(number, 1)

    def start(self, number: int, incarnation: int) -> None:
        """Start a member, or restart it with a higher incarnation."""
        self.dead.discard(number)
        member = Membership(
            number,
            self.count,
            self.settings,
            self.rng.getrandbits(32),
            self.clock.now_us(),
            self._sender(number),
            incarnation,
        )
        member.on_change = lambda other, state: self.changes.append(
            StateChange(self.clock.now_us(), number, other, state)
        )
        self.members[number] = member
        self._schedule_tick(number, member)

    def _sender(self, source: int) -> Callable[[int, Datagram], None]:
        def send(target: int, datagram: Datagram) -> None:
            data = encode(datagram)
            member = self.members[source]
            member.counts.sent += 1
            member.counts.sent_bytes += len(data)
            is_cut_off = self.sides.get(source, 0) != self.sides.get(target, 0)
            if is_cut_off or self.rng.random() < self.loss:
                return
            due_us = self.clock.now_us() + self.rng.randint(*self.delay_us)
            self.clock.call_at(due_us, lambda: self._deliver(target, data))

        return send

    def _deliver(self, target: int, data: bytes) -> None:
        if target in self.dead:
            return
        member = self.members[target]
        member.handle(self.clock.now_us(), decode(data))
        self._schedule_tick(target, member)

    def _schedule_tick(self, number: int, member: Membership) -> None:
        def tick() -> None:
            if number in self.dead or self.members[number] is not member:
                return
            if self.clock.now_us() >= member.next_us():
                member.tick(self.clock.now_us())
            self._schedule_tick(number, member)

        due_us = member.next_us()
        next_tick_us = self.next_tick_us.get(number, -1)
        if next_tick_us == due_us and next_tick_us > self.clock.now_us():
            return
        self.next_tick_us[number] = due_us
        self.clock.call_at(due_us, tick)

    def run(self, until_us: int) -> None:
        """Advance the virtual clock to `until_us`."""
        has_ended = False

        def end() -> None:
            nonlocal has_ended
            has_ended = True

        self.clock.call_at(until_us, end)
        self.clock.run(lambda: has_ended, lambda: until_us)

    def views_equal(self) -> bool:
        """Return whether every living member's view has exactly the dead members as dead."""
        return all(
            (peer.state is MemberState.DEAD) == (other in self.dead)
            for number, member in self.members.items()
            if number not in self.dead
            for other, peer in member.peers.items()
        )


def _first_detection_s(deaths_seen: list[StateChange]) -> dict[tuple[int, int], float]:
    """Return the first detection time by observer and member, in seconds after the warm-up."""
    detection_s: dict[tuple[int, int], float] = {}
    for change in deaths_seen:
        if change.time_us >= WARM_UP_US:
            pair = (change.observer, change.member)
            detection_s.setdefault(pair, (change.time_us - WARM_UP_US) / 1e6)
    return detection_s


def simulate_deaths(
    count: int,
    seed: int,
    loss: float,
    seconds: float = 60.0,
    deaths: int = 1,
    settings: MembershipSettings | None = None,
) -> MembershipResult:
    """Stop some members at the same time, and measure detection time, false positives and traffic.

    Args:
        count: number of members.
        seed: seed of the random numbers.
        loss: share of datagrams that are lost.
        seconds: simulated time after the deaths.
        deaths: number of members that die.
        settings: settings of all members; defaults if None.
    """
    fleet = Fleet(count, seed, loss, settings or MembershipSettings())
    fleet.run(WARM_UP_US)
    victims = set(fleet.rng.sample(range(count), deaths))
    fleet.dead = set(victims)
    fleet.run(WARM_UP_US + int(seconds * 1e6))
    outcome = MembershipResult(count, loss)
    deaths_seen = [change for change in fleet.changes if change.state is MemberState.DEAD]
    outcome.false_deaths = sum(change.member not in victims for change in deaths_seen)
    survivors = [number for number in range(count) if number not in victims]
    pairs = [(survivor, victim) for survivor in survivors for victim in victims]
    detection_s = _first_detection_s(deaths_seen)
    outcome.detection_s = [detection_s[pair] for pair in pairs if pair in detection_s]
    outcome.undetected = len(pairs) - len(outcome.detection_s)
    duration_s = WARM_UP_US / 1e6 + seconds
    counts = [fleet.members[survivor].counts for survivor in survivors]
    outcome.sent_per_s = statistics.fmean(each.sent / duration_s for each in counts)
    outcome.max_sent_per_s = max(each.sent / duration_s for each in counts)
    outcome.bytes_per_s = statistics.fmean(each.sent_bytes / duration_s for each in counts)
    return outcome


def simulate_partition(
    count: int, seed: int, loss: float, seconds: float = 10.0, timeout_s: float = 120.0
) -> MembershipResult:
    """Partition a third of the members from the rest, and measure how long the views then take to converge.

    Args:
        count: number of members.
        seed: seed of the random numbers.
        loss: share of datagrams that are lost.
        seconds: duration of the partition.
        timeout_s: how long to wait for convergence after the partition ends.
    """
    fleet = Fleet(count, seed, loss, MembershipSettings())
    outcome = MembershipResult(count, loss)
    fleet.run(WARM_UP_US)
    fleet.sides = {number: int(number < count // 3) for number in range(count)}
    end_us = WARM_UP_US + int(seconds * 1e6)
    fleet.run(end_us)
    fleet.sides = {}
    while fleet.clock.now_us() < end_us + timeout_s * 1e6:
        if fleet.views_equal():
            outcome.convergence_s = (fleet.clock.now_us() - end_us) / 1e6
            break
        fleet.run(fleet.clock.now_us() + VIEW_CHECK_US)
    return outcome
