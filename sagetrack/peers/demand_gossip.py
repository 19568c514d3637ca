"""The demand of tenants at this gateway, gossiped to a few others each second.

Quotas are to hold for all gateways together: each sends its tenants' demand to a few others drawn at random,
and extrapolates from what it receives to all. So a gateway sends the same few datagrams in a fleet of any
size.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from sagetrack.peers.codec import DemandGossip

INTERVAL_US = 1_000_000
FANOUT = 6  # gateways that it is sent to each time
MAX_DEMANDS = 24  # tenants that fit into a datagram, those of the highest demand
LEAST_DEMAND_US = 1000  # of work for a second; less is not sent


def demand_message(demands: Sequence[float]) -> DemandGossip | None:
    """Return the message, or None if there is no demand.

    Args:
        demands: Microseconds of work for a second, by tenant.
    """
    in_ms = ((int(us / 1000), tenant) for tenant, us in enumerate(demands) if us >= LEAST_DEMAND_US)
    highest = sorted(in_ms, reverse=True)[:MAX_DEMANDS]
    return DemandGossip([(tenant, ms) for ms, tenant in highest]) if highest else None


def decode_demands(message: DemandGossip, tenants: int) -> tuple[float, ...]:
    """Return a message's demands, in microseconds by tenant; unknown tenants are ignored.

    Args:
        message: As received.
        tenants: How many tenants the settings have.
    """
    demands = [0.0] * tenants
    for tenant, ms in message.demands:
        if tenant < tenants:
            demands[tenant] = ms * 1000.0
    return tuple(demands)


class DemandGossipSchedule:
    """When to send the demand, and to whom.

    Attributes:
        due_us: When it is to be sent next.
    """

    def __init__(self, me: int, count: int, seed: int, now_us: int) -> None:
        """Begin at a random time within the first interval.

        Args:
            me: This gateway's number.
            count: Gateways in all.
            seed: Of the randomness.
            now_us: The time.
        """
        self._others = [number for number in range(count) if number != me]
        self._random = random.Random(seed)
        # Not all at the same time: a restart of many must not make their datagrams coincide.
        self.due_us = now_us + int(self._random.random() * INTERVAL_US)

    def targets(self, now_us: int) -> list[int]:
        """Return the gateways to send to now, none before it is due; the next interval begins."""
        if now_us < self.due_us:
            return []
        self.due_us = now_us + INTERVAL_US
        return self._random.sample(self._others, min(FANOUT, len(self._others)))
