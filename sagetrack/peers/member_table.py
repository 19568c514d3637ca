"""What one member believes of each other one: alive, suspected or dead, and in which incarnation.

The rules by which one belief overrides another are SWIM's (Das, Gupta, Motivala 2002, section 4.2): a higher
incarnation overrides a lower one; within one, dead overrides suspected and suspected overrides alive. So all
members arrive at the same view, in whatever order updates come. The duration of a suspicion is Lifeguard's
(Dadgar, Phillips, Currey 2018): the shorter, the more members have confirmed it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum

from sagetrack.peers.settings import MembershipSettings


class MemberState(IntEnum):
    """State of a member; within an incarnation the higher one overrides."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(slots=True)
class MemberRecord:
    """What is believed of one member.

    Attributes:
        state: Its state.
        incarnation: The incarnation that the state is about.
        since_us: When the state began.
        suspicion_deadline_us: When it is declared dead, if it is suspected then.
        confirmations: Members that suspect it.
    """

    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    since_us: int = 0
    suspicion_deadline_us: int = 0
    confirmations: set[int] = field(default_factory=set)

    @property
    def precedence(self) -> tuple[int, MemberState]:
        """A belief overrides one of lower precedence."""
        return self.incarnation, self.state


class MemberTable:
    """All other members, as one member sees them.

    Attributes:
        peers: The records, by member; the members themselves are fixed.
    """

    def __init__(self, own_number: int, count: int, settings: MembershipSettings, now_us: int) -> None:
        """Begin with all members alive.

        Args:
            own_number: The member whose view this is.
            count: Members in all.
            settings: Parameters of suspicion.
            now_us: The time.
        """
        self.peers = {
            number: MemberRecord(since_us=now_us) for number in range(count) if number != own_number
        }
        self._own_number = own_number
        self._settings = settings

    @property
    def alive(self) -> int:
        """Members that count as alive: this one, and all that are not dead. A suspected one is alive."""
        return 1 + sum(peer.state is not MemberState.DEAD for peer in self.peers.values())

    @property
    def log_size(self) -> float:
        """The logarithm of the fleet's size, by which durations and retransmissions scale; at least 1."""
        return max(1.0, math.log10(len(self.peers) + 2))

    def members(self, *states: MemberState) -> list[int]:
        """Return the members in these states, in a fixed order."""
        return [number for number, peer in self.peers.items() if peer.state in states]

    def suspicion_deadlines_us(self) -> list[int]:
        """Return when suspicions end."""
        suspects = (peer for peer in self.peers.values() if peer.state is MemberState.SUSPECT)
        return [peer.suspicion_deadline_us for peer in suspects]

    def expired_suspects(self, now_us: int) -> list[int]:
        """Return the suspected members that are to be declared dead."""
        suspects = self.members(MemberState.SUSPECT)
        return [member for member in suspects if now_us >= self.peers[member].suspicion_deadline_us]

    def set_state(
        self, now_us: int, member: int, state: MemberState, incarnation: int, reporter: int
    ) -> MemberState:
        """Take over a belief that overrides the present one.

        Returns:
            The state before.
        """
        peer = self.peers[member]
        before = peer.state
        peer.state = state
        peer.incarnation = incarnation
        if state is MemberState.SUSPECT:
            peer.confirmations = {reporter}
            peer.since_us = now_us
            peer.suspicion_deadline_us = now_us + self.suspicion_us(0)
        elif before is not state:
            peer.since_us = now_us
        return before

    def confirm_suspicion(self, member: int, reporter: int) -> bool:
        """Let one more member suspect a suspected one, which shortens the suspicion.

        Returns:
            Whether that is new, and still counts.
        """
        peer = self.peers[member]
        if reporter in peer.confirmations or len(peer.confirmations) > self._settings.confirmations:
            return False
        peer.confirmations.add(reporter)
        peer.suspicion_deadline_us = peer.since_us + self.suspicion_us(len(peer.confirmations) - 1)
        return True

    def reporter(self, member: int) -> int:
        """Return in whose name the state of a member is passed on: its own view, or one that suspects it."""
        peer = self.peers[member]
        if peer.state is MemberState.SUSPECT and self._own_number not in peer.confirmations:
            return min(peer.confirmations)
        return self._own_number

    def suspicion_us(self, confirmations: int) -> int:
        """Return how long a suspicion lasts with so many confirmations (Lifeguard's LHA-Suspicion)."""
        settings = self._settings
        shortest = settings.suspicion_multiplier * self.log_size * settings.period_us
        longest = shortest * settings.max_suspicion_multiplier
        expected = min(settings.confirmations, max(0, len(self.peers) - 1))
        if expected < 1:
            return int(shortest)
        part = math.log(confirmations + 1) / math.log(expected + 1)
        return int(max(shortest, longest - (longest - shortest) * part))
