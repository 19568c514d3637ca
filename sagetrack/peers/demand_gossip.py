"""Gossip of tenant demand: each gateway sends its own demand to a few random peers every second.

Tenant quotas apply to all gateways together. Each gateway extrapolates from the demand that it receives to
the whole fleet, so the number of datagrams that it sends does not depend on the size of the fleet.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from sagetrack.peers.codec import DemandGossip

INTERVAL_US = 1_000_000
FANOUT = 6  # gateways that receive the demand in each interval
MAX_DEMANDS = 24  # tenants per datagram; those with the highest demand are sent
MIN_DEMAND_US = 1000  # work per second; lower demand is not sent


def demand_message(demands: Sequence[float]) -> DemandGossip | None:
    """Return the message that carries the highest demands, or None if no tenant has demand.

    Args:
        demands: Demand by tenant index, in microseconds of work per second.
    """
    in_ms = ((int(us / 1000), tenant) for tenant, us in enumerate(demands) if us >= MIN_DEMAND_US)
    highest = sorted(in_ms, reverse=True)[:MAX_DEMANDS]
    return DemandGossip([(tenant, ms) for ms, tenant in highest]) if highest else None


def decode_demands(message: DemandGossip, tenants: int) -> tuple[float, ...]:
    """Return the demands in a message by tenant index; tenants that are not configured here are ignored.

    Args:
        message: The message of a peer.
        tenants: Number of tenants in the settings.

    Returns:
        Demand in microseconds of work per second.
    """
    demands = [0.0] * tenants
    for tenant, ms in message.demands:
        if tenant < tenants:
            demands[tenant] = ms * 1000.0
    return tuple(demands)


class DemandGossipSchedule:
    """Schedules the transmissions of the demand and selects their targets.

    Attributes:
        due_us: Time of the next transmission.
    """

    def __init__(self, own_number: int, member_count: int, seed: int, now_us: int) -> None:
        """Schedule the first transmission at a random time within the first interval.

        Args:
            own_number: Number of this gateway.
            member_count: Number of gateways, including this one.
            seed: Seed of the random number generator.
            now_us: Current time.
        """
        self._others = [number for number in range(member_count) if number != own_number]
        self._random = random.Random(seed)
        # Spreads the datagrams of gateways that are restarted at the same time.
        self.due_us = now_us + int(self._random.random() * INTERVAL_US)

    def targets(self, now_us: int) -> list[int]:
        """Return the gateways to send to; empty before `due_us`, otherwise the next interval begins."""
        if now_us < self.due_us:
            return []
        self.due_us = now_us + INTERVAL_US
        return self._random.sample(self._others, min(FANOUT, len(self._others)))
