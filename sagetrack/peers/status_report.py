"""The lines about datagrams and the warm start that an operator sees at the admin address.

docs/operators/peers.md has their texts, which stay as they are, also where the code has other terms by now.
"""

from __future__ import annotations

from sagetrack.peers.membership import MembershipCounters
from sagetrack.peers.warm_start import WarmStartResult


def describe_datagrams(counts: MembershipCounters, responses_rate_limited: int) -> str:
    """Describe what was sent and received.

    Args:
        counts: Datagrams of this gateway.
        responses_rate_limited: Parts of warm start responses that the limit on them held back.
    """
    held_back = counts.rate_limited + responses_rate_limited
    return (
        f"datagrams sent {counts.sent} ({counts.sent_bytes} bytes), "
        f"received {counts.received} ({counts.received_bytes} bytes), "
        f"rejected {counts.rejected}, held back {held_back}, "
        f"pings unanswered {counts.unanswered}, refuted {counts.refuted}"
    )


def describe_warm_start(result: WarmStartResult | None) -> str:
    """Describe what was taken over from other gateways at the start; None where that is off."""
    if result is None or not result.observations:
        return "taken over at the start: nothing"
    return (
        f"taken over at the start: {result.observations} sights from {result.peers} whole answers within "
        f"{result.completed_us / 1e6:.2f} s, "
        f"{result.youngest_us / 1e6:.1f} to {result.oldest_us / 1e6:.1f} s old"
    )
