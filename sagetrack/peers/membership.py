"""Who of the gateways is alive: SWIM with Lifeguard's refinements, as a state machine without I/O.

SWIM (Das, Gupta, Motivala 2002): in each period a member pings one other, in a shuffled round; without an
answer it asks a few others to ping for it; then it suspects. Who is suspected refutes with a higher
incarnation. Word of changes rides on the pings. Lifeguard (Dadgar, Phillips, Currey 2017): a member that
hears little suspects itself and takes more time (local health); a suspicion lasts longer the fewer members
share it; who is suspected is told first.

The members are a fixed list of addresses; one that is dead is asked now and then for good, so that a
partition heals and one that comes back is found. An incarnation begins at the start's Unix time, so that a
gateway which has died and come back overrules word of its death.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from sagetrack.peers.codec import (
    LIMIT,
    Ack,
    Datagram,
    Message,
    Nack,
    Ping,
    PingRequest,
    Update,
    size,
)


class State(IntEnum):
    """Of a member. With equal incarnations the higher one overrules."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(slots=True, frozen=True)
class Settings:
    """Periods in microseconds."""

    period_us: int = 1_000_000  # between pings
    timeout_us: int = 300_000  # for an answer; then others are asked
    helpers: int = 3  # who are asked to ping for us
    suspicion: float = 3.0  # times the period and the fleet's logarithm: the shortest suspicion
    longest: float = 4.0  # times that: with nobody who shares it
    sharers: int = 3  # who share a suspicion for it to be at its shortest
    repeats: float = 3.0  # times the fleet's logarithm: how often an update is passed on
    dead_every: int = 4  # periods between pings of members that are dead
    sends_per_s: float = 12.0  # datagrams, in the long run
    burst: float = 24.0


RETURNING = 4  # dead members that are asked in a period once one has come back
MOST_HEALTH = 8  # of the local health multiplier: no answer lets the period grow further


@dataclass(slots=True)
class Peer:
    """What is known of one member."""

    state: State = State.ALIVE
    incarnation: int = 0
    since_us: int = 0
    suspected_until_us: int = 0
    sharers: set[int] = field(default_factory=set)

    @property
    def rank(self) -> tuple[int, State]:
        """What is overruled by what."""
        return self.incarnation, self.state


@dataclass(slots=True)
class Probe:
    """A ping that is out."""

    number: int
    target: int
    again_us: int  # when it is asked once more
    indirect_us: int  # when others are asked
    end_us: int
    again: bool = False
    asked: bool = False
    helpers: set[int] = field(default_factory=set)  # of whom nothing has been heard


@dataclass(slots=True)
class Relayed:
    """A ping for another member."""

    number: int
    asker: int
    their_number: int
    target: int
    nack_us: int
    nacked: bool = False


@dataclass(slots=True)
class Counts:
    """Since the start."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    rejected: int = 0  # could not be read, or from nobody on the list
    unanswered: int = 0  # pings, which tells of losses
    held_back: int = 0  # datagrams that the bound on sending kept
    refuted: int = 0  # word of our own death
    deaths: int = 0  # declared or believed


Send = Callable[[int, Datagram], None]


class Membership:
    """One member's view. Call `handle` with what comes and `tick` no later than `next_us`."""

    def __init__(
        self,
        me: int,
        count: int,
        settings: Settings,
        seed: int,
        now_us: int,
        send: Send,
        incarnation: int = 1,
    ) -> None:
        self.me, self.settings, self.send_to = me, settings, send
        self.random = random.Random(seed)
        self.incarnation = incarnation
        self.peers = {number: Peer(since_us=now_us) for number in range(count) if number != me}
        self.counts = Counts()
        self.health = 0
        self.round: list[int] = []
        self.returning: list[int] = []  # dead members that are asked soon
        self.turns = 0
        self.number = self.random.getrandbits(40)
        self.probe: Probe | None = None
        self.relayed: dict[int, Relayed] = {}
        self.updates: dict[int, list[int]] = {}  # member: how often it was passed on
        self.next_ping_us = now_us + int(self.random.random() * settings.period_us)
        self.tokens, self.tokens_us = settings.burst, now_us
        self.on_change: Callable[[int, State], None] = lambda member, state: None

    # Views

    @property
    def alive(self) -> int:
        """Members that count as alive: ourselves, and all that are not dead. Doubt counts as alive."""
        return 1 + sum(peer.state is not State.DEAD for peer in self.peers.values())

    @property
    def logarithm(self) -> float:
        return max(1.0, math.log10(len(self.peers) + 2))

    def members(self, *states: State) -> list[int]:
        return [number for number, peer in self.peers.items() if peer.state in states]

    # Time

    def next_us(self) -> int:
        """When something is due."""
        due = [self.next_ping_us]
        if self.probe is not None:
            probe = self.probe
            due.append(probe.end_us if probe.asked else probe.indirect_us if probe.again else probe.again_us)
        due += [relayed.nack_us for relayed in self.relayed.values()]
        due += [peer.suspected_until_us for peer in self.peers.values() if peer.state is State.SUSPECT]
        return min(due)

    def tick(self, now_us: int) -> None:
        """Do what is due."""
        for member in self.members(State.SUSPECT):
            peer = self.peers[member]
            if now_us >= peer.suspected_until_us:
                self.change(now_us, member, State.DEAD, peer.incarnation, self.me)
        for number, relayed in list(self.relayed.items()):
            if now_us >= relayed.nack_us:
                if not relayed.nacked:
                    relayed.nacked = True
                    self.send(now_us, relayed.asker, Nack(relayed.their_number, relayed.target))
                    relayed.nack_us = now_us + self.settings.period_us
                else:
                    del self.relayed[number]
        probe = self.probe
        if probe is not None and not probe.again and now_us >= probe.again_us:
            probe.again = True  # a lost datagram is likelier than a death
            self.send(now_us, probe.target, Ping(probe.number, probe.target))
        if probe is not None and not probe.asked and now_us >= probe.indirect_us:
            self.ask_others(now_us, probe)
        if probe is not None and now_us >= probe.end_us:
            self.give_up(now_us, probe)
        if now_us >= self.next_ping_us:
            self.next_ping_us = now_us + self.stretched(self.settings.period_us)
            self.ping_next(now_us)

    def stretched(self, time_us: int) -> int:
        """Longer while this member itself seems to hear badly (Lifeguard's local health)."""
        return time_us * (self.health + 1)

    # Probes

    def ping_next(self, now_us: int) -> None:
        if self.probe is not None:
            self.give_up(now_us, self.probe)
        self.turns += 1
        dead = self.members(State.DEAD)
        living = len(dead) < len(self.peers)
        self.returning = [m for m in self.returning if self.peers[m].state is State.DEAD]
        if self.returning:
            for target in self.returning[:RETURNING]:
                self.ask_dead(now_us, target)
            del self.returning[:RETURNING]
        elif dead and (self.turns % self.settings.dead_every == 0 or not living):
            self.ask_dead(now_us, self.random.choice(dead))
        if not living:
            return
        while True:
            if not self.round:
                self.round = list(self.peers)
                self.random.shuffle(self.round)
            target = self.round.pop()
            if self.peers[target].state is not State.DEAD:
                break
            if not living:
                return
        number = self.next_number()
        timeout = self.stretched(self.settings.timeout_us)
        end = now_us + self.stretched(self.settings.period_us) * 9 // 10
        self.probe = Probe(number, target, now_us + timeout // 2, now_us + timeout, end)
        self.send(now_us, target, Ping(number, target))

    def ask_dead(self, now_us: int, target: int) -> None:
        """With word of its death ahead of the ping: one that was only cut off refutes it in its answer."""
        self.send(now_us, target, Ping(self.next_number(), target), first=self.update_of(target))

    def next_number(self) -> int:
        self.number += 1
        return self.number

    def ask_others(self, now_us: int, probe: Probe) -> None:
        probe.asked = True
        others = [m for m in self.members(State.ALIVE) if m != probe.target]
        for helper in self.random.sample(others, min(self.settings.helpers, len(others))):
            probe.helpers.add(helper)
            self.send(now_us, helper, PingRequest(probe.number, probe.target))

    def give_up(self, now_us: int, probe: Probe) -> None:
        """No answer: suspect it, and ourselves a little, the more the fewer helpers were heard."""
        self.probe = None
        self.counts.unanswered += 1
        peer = self.peers[probe.target]
        silent = len(probe.helpers)
        self.health = min(MOST_HEALTH, self.health + (1 if silent or not probe.asked else 0))
        if peer.state is State.ALIVE:
            self.change(now_us, probe.target, State.SUSPECT, peer.incarnation, self.me)
        elif peer.state is State.SUSPECT:
            self.share(now_us, probe.target, peer, self.me)

    # Messages

    def handle(self, now_us: int, datagram: Datagram) -> None:
        """Take what another member says. Who speaks is alive, but only its own incarnation says so."""
        sender = datagram.sender
        if sender == self.me or sender not in self.peers:
            self.counts.rejected += 1
            return
        self.hear(now_us, Update(sender, State.ALIVE, datagram.incarnation, sender))
        known = self.peers[sender]
        if known.state is not State.ALIVE:
            # It has not heard of it yet: told first, so that it can refute (Lifeguard's buddy system).
            self.updates.setdefault(sender, [0])[0] = 0
        for message in datagram.messages:
            match message:
                case Ping():
                    if message.target == self.me:
                        self.send(now_us, sender, Ack(message.number, self.me))
                case Ack():
                    self.take_ack(now_us, sender, message)
                case PingRequest():
                    self.relay(now_us, sender, message)
                case Nack():
                    if self.probe is not None and self.probe.number == message.number:
                        self.probe.helpers.discard(sender)
                case Update():
                    self.hear(now_us, message)

    def take_ack(self, now_us: int, sender: int, ack: Ack) -> None:
        probe = self.probe
        if probe is not None and probe.number == ack.number and probe.target == ack.target:
            self.probe = None
            self.health = max(0, self.health - 1)
        relayed = self.relayed.pop(ack.number, None)
        if relayed is not None and sender == relayed.target:
            self.send(now_us, relayed.asker, Ack(relayed.their_number, relayed.target))

    def relay(self, now_us: int, asker: int, request: PingRequest) -> None:
        if request.target not in self.peers or request.target == asker or len(self.relayed) >= 64:
            return
        number = self.next_number()
        nack = now_us + self.settings.timeout_us
        self.relayed[number] = Relayed(number, asker, request.number, request.target, nack)
        self.send(now_us, request.target, Ping(number, request.target))

    # What is known

    def hear(self, now_us: int, update: Update) -> None:
        """Take word of a member."""
        member, state = update.member, State(update.state)
        if member == self.me:
            if state is not State.ALIVE and update.incarnation >= self.incarnation:
                self.incarnation = update.incarnation + 1
                self.counts.refuted += 1
                self.health = min(MOST_HEALTH, self.health + 1)
                self.updates[self.me] = [0]
            return
        peer = self.peers.get(member)
        if peer is None:
            return
        if peer.rank == (update.incarnation, state) and state is State.SUSPECT:
            self.share(now_us, member, peer, update.by)
        elif (update.incarnation, state) > peer.rank:
            self.change(now_us, member, state, update.incarnation, update.by)

    def share(self, now_us: int, member: int, peer: Peer, by: int) -> None:
        """One more member suspects it too: the suspicion grows shorter."""
        if by in peer.sharers or len(peer.sharers) > self.settings.sharers:
            return
        peer.sharers.add(by)
        peer.suspected_until_us = peer.since_us + self.suspicion_us(len(peer.sharers) - 1)
        self.updates[member] = [0]

    def suspicion_us(self, sharers: int) -> int:
        """How long a suspicion lasts, by Lifeguard's rule, with so many who share it."""
        settings = self.settings
        least = settings.suspicion * self.logarithm * settings.period_us
        most = least * settings.longest
        wanted = min(settings.sharers, max(0, len(self.peers) - 1))
        if wanted < 1:
            return int(least)
        share = math.log(sharers + 1) / math.log(wanted + 1)
        return int(max(least, most - (most - least) * share))

    def change(self, now_us: int, member: int, state: State, incarnation: int, by: int) -> None:
        peer = self.peers[member]
        before = peer.state
        peer.state, peer.incarnation = state, incarnation
        if state is State.SUSPECT:
            peer.sharers = {by}
            peer.since_us = now_us
            peer.suspected_until_us = now_us + self.suspicion_us(0)
        elif before is not state:
            peer.since_us = now_us
        self.updates[member] = [0]
        if before is State.DEAD and state is State.ALIVE and not self.returning:
            # One came back: where it was a cut that healed, the others have too.
            self.returning = self.members(State.DEAD)
            self.random.shuffle(self.returning)
        if before is not state:
            self.counts.deaths += state is State.DEAD
            self.on_change(member, state)

    # Sending

    def update_of(self, member: int) -> Update:
        if member == self.me:
            return Update(self.me, State.ALIVE, self.incarnation, self.me)
        peer = self.peers[member]
        by = min(peer.sharers) if peer.state is State.SUSPECT and self.me not in peer.sharers else self.me
        return Update(member, peer.state, peer.incarnation, by)

    def riders(self, target: int, used: int) -> Iterator[Update]:
        """Updates that fit, the least passed on first; what concerns the target before all."""
        most = math.ceil(self.settings.repeats * self.logarithm)
        waiting = sorted(self.updates, key=lambda member: (member != target, self.updates[member][0], member))
        for member in waiting:
            update = self.update_of(member)
            used += size([update]) - size([])
            if used > LIMIT:
                return
            self.updates[member][0] += 1
            if self.updates[member][0] >= most:
                del self.updates[member]
            yield update

    def may_send(self, now_us: int) -> bool:
        """The bound on what one member sends, whatever the fleet's size."""
        settings = self.settings
        gained = (now_us - self.tokens_us) / 1e6 * settings.sends_per_s
        self.tokens, self.tokens_us = min(settings.burst, self.tokens + gained), now_us
        if self.tokens < 1.0:
            self.counts.held_back += 1
            return False
        self.tokens -= 1.0
        return True

    def send(self, now_us: int, target: int, message: Message, first: Message | None = None) -> None:
        if not self.may_send(now_us):
            return
        messages: list[Message] = [message] if first is None else [first, message]
        messages += self.riders(target, size(messages))
        self.send_to(target, Datagram(self.me, self.incarnation, messages))
