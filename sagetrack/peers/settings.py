"""Parameters of membership, as SWIM and Lifeguard name them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class MembershipSettings:
    """Parameters of membership; times in microseconds.

    Attributes:
        period_us: SWIM's protocol period, between pings.
        timeout_us: Until an acknowledgement; then others are asked for an indirect ping.
        indirect_pings: SWIM's k: members that are asked for an indirect ping.
        suspicion_multiplier: The shortest suspicion, in periods times the logarithm of the fleet's size.
        max_suspicion_multiplier: The longest suspicion, with no confirmation, in shortest ones.
        confirmations: Independent suspicions of a member after which its suspicion is at its shortest.
        retransmit_multiplier: Transmissions of an update, times the logarithm of the fleet's size.
        dead_ping_periods: Periods between pings of dead members.
        datagrams_per_s: Limit of datagrams sent, in the long run.
        burst: Datagrams that may be sent at once.
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
