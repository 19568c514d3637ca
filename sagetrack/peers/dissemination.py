"""Dissemination of membership updates, piggybacked on other membership messages as in SWIM (section 4.1)."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from sagetrack.peers.codec import DATAGRAM_LIMIT, Update, encoded_size


class UpdateQueue:
    """Members with a pending update, and the number of transmissions of each update so far."""

    def __init__(self, current_update: Callable[[int], Update]) -> None:
        """Create an empty queue.

        Args:
            current_update: Returns the current update about a member; called at each transmission.
        """
        self._current_update = current_update
        self._transmissions: dict[int, int] = {}

    def enqueue(self, member: int) -> None:
        """Queue an update about a member, or restart the count of its transmissions."""
        self._transmissions[member] = 0

    def piggyback(self, target: int, used: int, max_transmissions: int) -> Iterator[Update]:
        """Yield the updates that fit into a datagram, and count them as transmitted.

        An update about the target comes first, so that the target can refute a suspicion early (Lifeguard's
        buddy system). The others follow in ascending order of their transmissions.

        Args:
            target: Receiver of the datagram.
            used: Bytes of the datagram that are already in use.
            max_transmissions: Number of transmissions after which an update leaves the queue.
        """
        transmissions = self._transmissions
        pending = sorted(transmissions, key=lambda member: (member != target, transmissions[member], member))
        for member in pending:
            update = self._current_update(member)
            used += encoded_size([update]) - encoded_size([])
            if used > DATAGRAM_LIMIT:
                return
            transmissions[member] += 1
            if transmissions[member] >= max_transmissions:
                del transmissions[member]
            yield update


def max_transmissions(multiplier: float, log_size: float) -> int:
    """Return the number of transmissions after which very likely all members have received an update."""
    return math.ceil(multiplier * log_size)
