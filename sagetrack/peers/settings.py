"""Parameters of the membership protocol, named as in SWIM and Lifeguard."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class MembershipSettings:
    """Parameters of the membership protocol; times are in microseconds.

    Attributes:
        period_us: SWIM's protocol period: the interval between probes.
        timeout_us: Time to wait for an acknowledgement before indirect pings are requested.
        indirect_pings: Number of members that are asked for an indirect ping (SWIM's k).
        suspicion_multiplier: Minimum duration of a suspicion in periods, per decimal logarithm of the fleet
            size.
        max_suspicion_multiplier: Ratio of the longest suspicion, without confirmations, to the shortest.
        confirmations: Number of confirmations at which a suspicion reaches its minimum duration.
        retransmit_multiplier: Transmissions of each update per decimal logarithm of the fleet size.
        dead_ping_periods: Number of periods between pings of dead members.
        datagrams_per_s: Sustained rate limit of membership datagrams.
        burst: Number of datagrams that may be sent at once.
    """

    period_us: int = 1_000_000
    timeout_us: int = 300_000
    indirect_pings: int = 3
    suspicion_multiplier: float = 3.0
    max_suspicion_multiplier: float = 4.0
    confirmations: int = 3
    retransmit_multiplier: float = 3.0
    dead_ping_periods: int = 4
    datagrams_per_s: float = 12.0
    burst: float = 24.0
