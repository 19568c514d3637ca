"""SWIM's failure detector: direct and indirect pings, without I/O.

In each protocol period a member pings one other member, in the order of a shuffled list (SWIM, section 4.3).
Without an acknowledgement it sends the ping once more, then asks a few other members for an indirect ping,
and finally reports that the target is unresponsive. Two refinements are Lifeguard's: a helper whose indirect
ping is not acknowledged sends a nack, and a member that receives fewer acknowledgements and nacks than
expected lengthens its own timeouts and periods (local health, LHA-Probe).
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from sagetrack.peers.codec import Ack, Message, Nack, Ping, PingRequest, Update
from sagetrack.peers.member_table import MemberState, MemberTable
from sagetrack.peers.probes import LocalHealth, Probe, RelayedPing
from sagetrack.peers.settings import MembershipSettings

RETURNED_PINGS = 4  # dead members pinged per period after a dead member has returned
MAX_RELAYED_PINGS = 64  # concurrent indirect pings on behalf of other members
SEQUENCE_BITS = 40  # bits of the initial sequence number, which is random


class SendMessage(Protocol):
    """Sends a message with piggybacked updates, unless the datagram rate limit is exceeded."""

    def __call__(self, now_us: int, target: int, message: Message, first: Message | None = None) -> None:
        """Send `message` to the target in one datagram, preceded by `first` if it is given."""


class FailureDetector:
    """Pings members in turn. The caller calls `tick` at `next_us` and passes in the messages received.

    Attributes:
        health: Local health of this member.
    """

    def __init__(
        self,
        table: MemberTable,
        settings: MembershipSettings,
        rng: random.Random,
        now_us: int,
        send: SendMessage,
        current_update: Callable[[int], Update],
        on_unanswered: Callable[[int, int], None],
    ) -> None:
        """Schedule the first ping at a random time within the first period.

        Args:
            table: States of the other members.
            settings: Parameters of the protocol.
            rng: Random number generator.
            now_us: Current time.
            send: Sends a message.
            current_update: Returns the update with the current state of a member.
            on_unanswered: Called with the time and the member when a probe fails.
        """
        self.health = LocalHealth()
        self._table = table
        self._settings = settings
        self._rng = rng
        self._send = send
        self._current_update = current_update
        self._on_unanswered = on_unanswered
        self._sequence = rng.getrandbits(SEQUENCE_BITS)
        self._next_ping_us = now_us + int(rng.random() * settings.period_us)
        self._probe: Probe | None = None
        self._relayed: dict[int, RelayedPing] = {}  # key: the sequence number of this member's ping
        self._round: list[int] = []  # members not yet pinged in this round
        self._maybe_returned: list[int] = []  # dead members to be pinged in the next periods
        self._periods = 0

    def next_us(self) -> int:
        """Return the time at which `tick` is due."""
        due = [self._next_ping_us]
        if self._probe is not None:
            due.append(self._probe.next_us)
        due += [relayed.due_us for relayed in self._relayed.values()]
        return min(due)

    def tick(self, now_us: int) -> None:
        """Perform all actions that are due."""
        self._expire_relayed(now_us)
        probe = self._probe
        if probe is not None:
            self._continue_probe(now_us, probe)
        if now_us >= self._next_ping_us:
            self._next_ping_us = now_us + self.health.scale(self._settings.period_us)
            self._begin_period(now_us)

    def on_ack(self, now_us: int, sender: int, ack: Ack) -> None:
        """Process an acknowledgement, and forward it if the ping was sent on behalf of another member."""
        probe = self._probe
        if probe is not None and probe.sequence == ack.sequence and probe.target == ack.target:
            self._probe = None
            self.health.improve()
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is not None and sender == relayed.target:
            self._send(now_us, relayed.requester, Ack(relayed.requester_sequence, relayed.target))

    def on_nack(self, sender: int, nack: Nack) -> None:
        """Process a nack; its arrival shows that this member can receive messages."""
        if self._probe is not None and self._probe.sequence == nack.sequence:
            self._probe.unresponsive_helpers.discard(sender)

    def on_ping_request(self, now_us: int, requester: int, request: PingRequest) -> None:
        """Ping a member on behalf of another; the request is ignored beyond `MAX_RELAYED_PINGS`."""
        target = request.target
        if target not in self._table.peers or target == requester or len(self._relayed) >= MAX_RELAYED_PINGS:
            return
        sequence = self._next_sequence()
        due_us = now_us + self._settings.timeout_us
        self._relayed[sequence] = RelayedPing(requester, request.sequence, target, due_us)
        self._send(now_us, target, Ping(sequence, target))

    def on_member_returned(self) -> None:
        """Schedule pings of all dead members: after a partition, many may be reachable again."""
        if not self._maybe_returned:
            self._maybe_returned = self._table.members(MemberState.DEAD)
            self._rng.shuffle(self._maybe_returned)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _expire_relayed(self, now_us: int) -> None:
        for sequence, relayed in list(self._relayed.items()):
            if now_us < relayed.due_us:
                continue
            if relayed.was_nacked:
                del self._relayed[sequence]
            else:
                relayed.was_nacked = True
                self._send(now_us, relayed.requester, Nack(relayed.requester_sequence, relayed.target))
                relayed.due_us = now_us + self._settings.period_us

    def _continue_probe(self, now_us: int, probe: Probe) -> None:
        if not probe.was_retried and now_us >= probe.retry_us:
            probe.was_retried = True  # a lost datagram is more likely than a failed member
            self._send(now_us, probe.target, Ping(probe.sequence, probe.target))
        if not probe.is_indirect and now_us >= probe.indirect_us:
            self._request_indirect_pings(now_us, probe)
        if now_us >= probe.deadline_us:
            self._fail_probe(now_us, probe)

    def _request_indirect_pings(self, now_us: int, probe: Probe) -> None:
        probe.is_indirect = True
        others = [member for member in self._table.members(MemberState.ALIVE) if member != probe.target]
        for helper in self._rng.sample(others, min(self._settings.indirect_pings, len(others))):
            probe.unresponsive_helpers.add(helper)
            self._send(now_us, helper, PingRequest(probe.sequence, probe.target))

    def _fail_probe(self, now_us: int, probe: Probe) -> None:
        self._probe = None
        if probe.unresponsive_helpers or not probe.is_indirect:
            self.health.worsen()
        self._on_unanswered(now_us, probe.target)

    def _begin_period(self, now_us: int) -> None:
        if self._probe is not None:
            self._fail_probe(now_us, self._probe)
        self._periods += 1
        dead = self._table.members(MemberState.DEAD)
        any_alive = len(dead) < len(self._table.peers)
        self._ping_dead_members(now_us, dead, any_alive)
        if not any_alive:
            return
        self._begin_probe(now_us, self._next_target())

    def _begin_probe(self, now_us: int, target: int) -> None:
        """Ping a member; the ping is repeated after half the timeout, and is indirect after the timeout."""
        sequence = self._next_sequence()
        timeout_us = self.health.scale(self._settings.timeout_us)
        self._probe = Probe(
            sequence,
            target,
            retry_us=now_us + timeout_us // 2,
            indirect_us=now_us + timeout_us,
            deadline_us=now_us + self.health.scale(self._settings.period_us) * 9 // 10,
        )
        self._send(now_us, target, Ping(sequence, target))

    def _next_target(self) -> int:
        """Return the next member of the round that is not dead; at least one such member must exist."""
        while True:
            if not self._round:
                self._round = list(self._table.peers)
                self._rng.shuffle(self._round)
            target = self._round.pop()
            if self._table.peers[target].state is not MemberState.DEAD:
                return target

    def _ping_dead_members(self, now_us: int, dead: list[int], any_alive: bool) -> None:
        """Ping dead members at a low rate, without end, to detect returned members and healed partitions."""
        peers = self._table.peers
        self._maybe_returned = [
            member for member in self._maybe_returned if peers[member].state is MemberState.DEAD
        ]
        if self._maybe_returned:
            for target in self._maybe_returned[:RETURNED_PINGS]:
                self._ping_dead(now_us, target)
            del self._maybe_returned[:RETURNED_PINGS]
        elif dead and (self._periods % self._settings.dead_ping_periods == 0 or not any_alive):
            self._ping_dead(now_us, self._rng.choice(dead))

    def _ping_dead(self, now_us: int, target: int) -> None:
        """Ping a dead member, with the update of its death first: if it is alive, it refutes the update."""
        ping = Ping(self._next_sequence(), target)
        self._send(now_us, target, ping, first=self._current_update(target))
