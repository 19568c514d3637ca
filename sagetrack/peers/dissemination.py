"""Dissemination of membership updates, piggybacked on pings and acknowledgements as in SWIM (section 4.1)."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from sagetrack.peers.codec import DATAGRAM_LIMIT, Update, encoded_size


class UpdateQueue:
    """Members of which there is an update to pass on, with the transmissions of each so far."""

    def __init__(self, current_update: Callable[[int], Update]) -> None:
        """Begin empty.

        Args:
            current_update: Returns what is believed of a member at the time of a transmission.
        """
        self._current_update = current_update
        self._transmissions: dict[int, int] = {}

    def enqueue(self, member: int) -> None:
        """Pass on what is believed of this member, from now on as if it were new."""
        self._transmissions[member] = 0

    def piggyback(self, target: int, used: int, max_transmissions: int) -> Iterator[Update]:
        """Yield the updates that fit into a datagram, and count them as transmitted.

        What concerns the target comes first, so that it can refute a suspicion soon (Lifeguard's buddy
        system); then what was transmitted the fewest times.

        Args:
            target: The member that the datagram goes to.
            used: Bytes of the datagram that are used already.
            max_transmissions: An update is dropped after so many.
        """
        transmissions = self._transmissions
        waiting = sorted(transmissions, key=lambda member: (member != target, transmissions[member], member))
        for member in waiting:
            update = self._current_update(member)
            used += encoded_size([update]) - encoded_size([])
            if used > DATAGRAM_LIMIT:
                return
            transmissions[member] += 1
            if transmissions[member] >= max_transmissions:
                del transmissions[member]
            yield update


def max_transmissions(multiplier: float, log_size: float) -> int:
    """Return how often an update is transmitted so that all members very likely receive it."""
    return math.ceil(multiplier * log_size)
