"""State of the failure detector: the current probe, relayed pings, and the local health."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_LOCAL_HEALTH = 8  # maximum score; periods and timeouts are multiplied by the score plus one


class LocalHealth:
    """Lifeguard's local health multiplier: a score of 0 is healthy.

    A higher score means that this member probably receives or processes messages too slowly.
    """

    def __init__(self) -> None:
        self._score = 0

    def worsen(self) -> None:
        """Raise the score: an acknowledgement or nack was missed, or others suspected this member."""
        self._score = min(MAX_LOCAL_HEALTH, self._score + 1)

    def improve(self) -> None:
        """Lower the score: an acknowledgement was received in time."""
        self._score = max(0, self._score - 1)

    def scale(self, time_us: int) -> int:
        """Return a period or timeout, multiplied by the score plus one."""
        return time_us * (self._score + 1)


@dataclass(slots=True)
class Probe:
    """A ping that has not been acknowledged yet.

    Attributes:
        sequence: Sequence number of the ping.
        target: The member that is pinged.
        retry_us: Time at which the ping is sent once more.
        indirect_us: Time at which other members are asked for an indirect ping.
        deadline_us: Time at which the probe fails.
        was_retried: True if the ping was sent once more.
        is_indirect: True if other members were asked for an indirect ping.
        unresponsive_helpers: Members that were asked for an indirect ping and have not sent a nack.
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
        """Time of the next step of the probe."""
        if self.is_indirect:
            return self.deadline_us
        return self.indirect_us if self.was_retried else self.retry_us


@dataclass(slots=True)
class RelayedPing:
    """An indirect ping on behalf of another member.

    Attributes:
        requester: The member that requested the ping.
        requester_sequence: Sequence number of the request.
        target: The member that is pinged.
        due_us: Time at which the nack is sent; after that, the time at which the ping is discarded.
        was_nacked: True if the nack was sent.
    """

    requester: int
    requester_sequence: int
    target: int
    due_us: int
    was_nacked: bool = False
