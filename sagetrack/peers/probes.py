"""What the failure detector keeps of its pings: probes, pings for other members and the local health."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_LOCAL_HEALTH = 8  # the period and timeout are at most this much longer, plus one


class LocalHealth:
    """How badly this member seems to receive others (Lifeguard's local health multiplier); 0 is well."""

    def __init__(self) -> None:
        self._score = 0

    def worsen(self) -> None:
        """An acknowledgement or nack was missed, or this member itself was suspected."""
        self._score = min(MAX_LOCAL_HEALTH, self._score + 1)

    def improve(self) -> None:
        """An acknowledgement was received."""
        self._score = max(0, self._score - 1)

    def scale(self, time_us: int) -> int:
        """Return a period or timeout, longer the worse the health."""
        return time_us * (self._score + 1)


@dataclass(slots=True)
class Probe:
    """A ping of which the outcome is awaited.

    Attributes:
        sequence: Its sequence number.
        target: The member that is pinged.
        retry_us: When it is pinged once more.
        indirect_us: When others are asked for an indirect ping.
        deadline_us: When it counts as not acknowledged.
        was_retried: Whether it was pinged once more.
        is_indirect: Whether others were asked.
        unresponsive_helpers: Others that were asked and have not answered at all.
    """

    sequence: int
    target: int
    retry_us: int
    indirect_us: int
    deadline_us: int
    was_retried: bool = False
    is_indirect: bool = False
    unresponsive_helpers: set[int] = field(default_factory=set)

    @property
    def next_us(self) -> int:
        """When something is due."""
        if self.is_indirect:
            return self.deadline_us
        return self.indirect_us if self.was_retried else self.retry_us


@dataclass(slots=True)
class RelayedPing:
    """An indirect ping that is made for another member.

    Attributes:
        requester: The member that asked for it.
        requester_sequence: The sequence number that it asked with.
        target: The member that is pinged.
        due_us: When the nack is sent, and after that when the ping is forgotten.
        was_nacked: Whether the nack was sent.
    """

    requester: int
    requester_sequence: int
    target: int
    due_us: int
    was_nacked: bool = False
