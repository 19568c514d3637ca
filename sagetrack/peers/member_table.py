"""The state of every other member, as one member sees it: alive, suspected or dead, and the incarnation.

The precedence of updates is SWIM's (Das, Gupta, Motivala 2002, section 4.2): a higher incarnation overrides a
lower one; within an incarnation, dead overrides suspected and suspected overrides alive. Therefore all
members converge to the same view, in whatever order updates arrive. The duration of a suspicion follows
Lifeguard (Dadgar, Phillips, Currey 2018): each independent confirmation shortens it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum

from sagetrack.peers.settings import MembershipSettings


class MemberState(IntEnum):
    """State of a member; within an incarnation, a higher value overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(slots=True)
class MemberRecord:
    """The local view of one member.

    Attributes:
        state: State of the member.
        incarnation: Incarnation to which the state applies.
        since_us: Time at which the state began.
        suspicion_deadline_us: Time at which the member is declared dead, if it is still suspected.
        confirmations: Members that suspect this member.
    """

    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    since_us: int = 0
    suspicion_deadline_us: int = 0
    confirmations: set[int] = field(default_factory=set)

    @property
    def precedence(self) -> tuple[int, MemberState]:
        """Precedence of the state: an update applies only if its precedence is higher."""
        return self.incarnation, self.state


class MemberTable:
    """All other members, as one member sees them.

    Attributes:
        peers: Records by member number; the set of members is fixed.
    """

    def __init__(self, own_number: int, member_count: int, settings: MembershipSettings, now_us: int) -> None:
        """Create a table in which all members are alive.

        Args:
            own_number: Number of the member whose view this is.
            member_count: Number of members, including this one.
            settings: Parameters of the protocol.
            now_us: Current time.
        """
        self.peers = {
            number: MemberRecord(since_us=now_us) for number in range(member_count) if number != own_number
        }
        self._own_number = own_number
        self._settings = settings

    @property
    def alive(self) -> int:
        """Number of members that are not dead, including this one; suspected members count as alive."""
        return 1 + sum(peer.state is not MemberState.DEAD for peer in self.peers.values())

    @property
    def log_size(self) -> float:
        """Decimal logarithm of the fleet size, at least 1; suspicions and retransmissions scale with it."""
        return max(1.0, math.log10(len(self.peers) + 2))

    def members(self, *states: MemberState) -> list[int]:
        """Return the numbers of the other members in these states, in ascending order."""
        return [number for number, peer in self.peers.items() if peer.state in states]

    def suspicion_deadlines_us(self) -> list[int]:
        """Return the times at which the suspected members are declared dead."""
        suspects = (peer for peer in self.peers.values() if peer.state is MemberState.SUSPECT)
        return [peer.suspicion_deadline_us for peer in suspects]

    def expired_suspects(self, now_us: int) -> list[int]:
        """Return the members whose suspicion has ended and that are to be declared dead."""
        suspects = self.members(MemberState.SUSPECT)
        return [member for member in suspects if now_us >= self.peers[member].suspicion_deadline_us]

    def set_state(
        self, now_us: int, member: int, state: MemberState, incarnation: int, reporter: int
    ) -> MemberState:
        """Set the state of a member; the caller has checked that it overrides the current state.

        Returns:
            The previous state.
        """
        peer = self.peers[member]
        previous = peer.state
        peer.state = state
        peer.incarnation = incarnation
        if state is MemberState.SUSPECT:
            peer.confirmations = {reporter}
            peer.since_us = now_us
            peer.suspicion_deadline_us = now_us + self.suspicion_us(0)
        elif previous is not state:
            peer.since_us = now_us
        return previous

    def confirm_suspicion(self, member: int, reporter: int) -> bool:
        """Add a member's confirmation of a suspicion, which shortens the suspicion.

        Returns:
            True if the confirmation is new and the limit of confirmations was not reached before.
        """
        peer = self.peers[member]
        if reporter in peer.confirmations or len(peer.confirmations) > self._settings.confirmations:
            return False
        peer.confirmations.add(reporter)
        peer.suspicion_deadline_us = peer.since_us + self.suspicion_us(len(peer.confirmations) - 1)
        return True

    def reporter(self, member: int) -> int:
        """Return the reporter to name in updates about a member: this member or one that suspects it."""
        peer = self.peers[member]
        if peer.state is MemberState.SUSPECT and self._own_number not in peer.confirmations:
            return min(peer.confirmations)
        return self._own_number

    def suspicion_us(self, confirmations: int) -> int:
        """Return the duration of a suspicion by its number of confirmations (Lifeguard's LHA-Suspicion)."""
        settings = self._settings
        shortest = settings.suspicion_multiplier * self.log_size * settings.period_us
        longest = shortest * settings.max_suspicion_multiplier
        expected = min(settings.confirmations, max(0, len(self.peers) - 1))
        if expected < 1:
            return int(shortest)
        fraction = math.log(confirmations + 1) / math.log(expected + 1)
        return int(max(shortest, longest - (longest - shortest) * fraction))
