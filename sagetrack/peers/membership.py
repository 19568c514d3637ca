"""Membership of the gateways: SWIM with Lifeguard's refinements, as a state machine without I/O.

SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol", 2002) has two parts: a failure detector (`failure_detector`) and the dissemination of updates,
which are piggybacked on the detector's messages (`dissemination`). An unresponsive member is suspected before
it is declared dead, and it can refute the suspicion with a higher incarnation. Lifeguard (Dadgar, Phillips,
Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018) adds local health,
suspicions that become shorter with each confirmation, and the buddy system: a suspected member is notified
first.

The members are a fixed list of addresses. Dead members are pinged at a low rate without end, so that
partitions heal and returned members are detected. The incarnation of a member starts at the Unix time of its
start in seconds, so that a gateway that has died and returned overrides the updates about its death.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from sagetrack.peers.codec import (
    Ack,
    Datagram,
    Message,
    Nack,
    Ping,
    PingRequest,
    Update,
    encoded_size,
)
from sagetrack.peers.dissemination import UpdateQueue, max_transmissions
from sagetrack.peers.failure_detector import FailureDetector
from sagetrack.peers.member_table import MemberRecord, MemberState, MemberTable
from sagetrack.peers.settings import MembershipSettings
from sagetrack.peers.token_bucket import TokenBucket


@dataclass(slots=True)
class MembershipCounts:
    """Counters since the start of the process.

    Attributes:
        sent: Datagrams sent.
        sent_bytes: Bytes of the datagrams sent.
        received: Datagrams received.
        received_bytes: Bytes of the datagrams received.
        rejected: Datagrams that were malformed or not from a member, and unrequested warm start responses.
        unanswered: Failed probes, which indicate packet loss or failed members.
        rate_limited: Datagrams that were not sent because of the rate limit.
        refuted: Refutations of updates that declared this member suspected or dead.
        deaths: Transitions of members to the dead state, by a local timeout or by an update.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    rejected: int = 0
    unanswered: int = 0
    rate_limited: int = 0
    refuted: int = 0
    deaths: int = 0


Send = Callable[[int, Datagram], None]


class Membership:
    """The view of one member. The caller passes received datagrams to `handle` and calls `tick` at `next_us`.

    Attributes:
        own_number: Number of this member.
        incarnation: Incarnation of this member.
        counts: Counters since the start of the process.
        on_change: Called with a member and its new state whenever the state changes.
    """

    def __init__(
        self,
        own_number: int,
        member_count: int,
        settings: MembershipSettings,
        seed: int,
        now_us: int,
        send: Send,
        incarnation: int = 1,
    ) -> None:
        """Create a view in which all members are alive.

        Args:
            own_number: Number of this member.
            member_count: Number of members, including this one; members are numbered from 0.
            settings: Parameters of the protocol.
            seed: Seed of the random number generator.
            now_us: Current time.
            send: Sends a datagram to a member.
            incarnation: Initial incarnation of this member; must be higher than its previous ones.
        """
        self.own_number = own_number
        self.incarnation = incarnation
        self.counts = MembershipCounts()
        self.on_change: Callable[[int, MemberState], None] = lambda member, state: None
        self._settings = settings
        self._send_datagram = send
        self._table = MemberTable(own_number, member_count, settings, now_us)
        self._updates = UpdateQueue(self._current_update)
        self._bucket = TokenBucket(settings.datagrams_per_s, settings.burst, now_us)
        self._detector = FailureDetector(
            self._table,
            settings,
            random.Random(seed),
            now_us,
            self._send,
            self._current_update,
            self._suspect,
        )

    @property
    def peers(self) -> dict[int, MemberRecord]:
        """Records of the other members by number; read-only for callers."""
        return self._table.peers

    @property
    def alive(self) -> int:
        """Number of members that are not dead, including this one; suspected members count as alive."""
        return self._table.alive

    def members(self, *states: MemberState) -> list[int]:
        """Return the numbers of the other members in these states, in ascending order."""
        return self._table.members(*states)

    def next_us(self) -> int:
        """Return the time at which `tick` is due."""
        return min([self._detector.next_us(), *self._table.suspicion_deadlines_us()])

    def tick(self, now_us: int) -> None:
        """Perform all actions that are due."""
        for member in self._table.expired_suspects(now_us):
            incarnation = self._table.peers[member].incarnation
            self._change(now_us, member, MemberState.DEAD, incarnation, self.own_number)
        self._detector.tick(now_us)

    def handle(self, now_us: int, datagram: Datagram) -> None:
        """Process a received datagram.

        The datagram shows that its sender was alive in the incarnation that it names. It may have been sent
        before the sender died, so it does not override a death in the same incarnation.
        """
        sender = datagram.sender
        if sender == self.own_number or sender not in self._table.peers:
            self.counts.rejected += 1
            return
        self.apply_update(now_us, Update(sender, MemberState.ALIVE, datagram.incarnation, sender))
        if self._table.peers[sender].state is not MemberState.ALIVE:
            # Notifies the sender, so that it can refute the suspicion or death (Lifeguard's buddy system).
            self._updates.enqueue(sender)
        for message in datagram.messages:
            self._handle_message(now_us, sender, message)

    def _handle_message(self, now_us: int, sender: int, message: Message) -> None:
        match message:
            case Ping():
                if message.target == self.own_number:
                    self._send(now_us, sender, Ack(message.sequence, self.own_number))
            case Ack():
                self._detector.on_ack(now_us, sender, message)
            case PingRequest():
                self._detector.on_ping_request(now_us, sender, message)
            case Nack():
                self._detector.on_nack(sender, message)
            case Update():
                self.apply_update(now_us, message)

    def apply_update(self, now_us: int, update: Update) -> None:
        """Process an update; it is applied and disseminated if it overrides the current state."""
        member, state = update.member, MemberState(update.state)
        if member == self.own_number:
            if state is not MemberState.ALIVE and update.incarnation >= self.incarnation:
                self._refute(update.incarnation)
            return
        peer = self._table.peers.get(member)
        if peer is None:
            return
        if peer.precedence == (update.incarnation, state) and state is MemberState.SUSPECT:
            self._confirm_suspicion(member, update.reporter)
        elif (update.incarnation, state) > peer.precedence:
            self._change(now_us, member, state, update.incarnation, update.reporter)

    def _refute(self, incarnation: int) -> None:
        self.incarnation = incarnation + 1
        self.counts.refuted += 1
        self._detector.health.worsen()
        self._updates.enqueue(self.own_number)

    def _suspect(self, now_us: int, member: int) -> None:
        """Suspect a member whose probe has failed, or confirm an existing suspicion."""
        self.counts.unanswered += 1
        peer = self._table.peers[member]
        if peer.state is MemberState.ALIVE:
            self._change(now_us, member, MemberState.SUSPECT, peer.incarnation, self.own_number)
        elif peer.state is MemberState.SUSPECT:
            self._confirm_suspicion(member, self.own_number)

    def _confirm_suspicion(self, member: int, reporter: int) -> None:
        if self._table.confirm_suspicion(member, reporter):
            self._updates.enqueue(member)

    def _change(self, now_us: int, member: int, state: MemberState, incarnation: int, reporter: int) -> None:
        previous = self._table.set_state(now_us, member, state, incarnation, reporter)
        self._updates.enqueue(member)
        if previous is MemberState.DEAD and state is MemberState.ALIVE:
            self._detector.on_member_returned()
        if previous is not state:
            self.counts.deaths += state is MemberState.DEAD
            self.on_change(member, state)

    def _current_update(self, member: int) -> Update:
        """Return the update with the current state of a member."""
        if member == self.own_number:
            return Update(self.own_number, MemberState.ALIVE, self.incarnation, self.own_number)
        peer = self._table.peers[member]
        return Update(member, peer.state, peer.incarnation, self._table.reporter(member))

    def _send(self, now_us: int, target: int, message: Message, first: Message | None = None) -> None:
        """Send messages with piggybacked updates; the rate limit does not depend on the fleet size."""
        if not self._bucket.take(now_us, 1):
            self.counts.rate_limited += 1
            return
        messages: list[Message] = [message] if first is None else [first, message]
        transmission_limit = max_transmissions(self._settings.retransmit_multiplier, self._table.log_size)
        messages += self._updates.piggyback(target, encoded_size(messages), transmission_limit)
        self._send_datagram(target, Datagram(self.own_number, self.incarnation, messages))
