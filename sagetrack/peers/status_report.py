"""Status lines about datagrams and the warm start for the admin endpoint.

The operators' manual (docs/operators/peers.md) documents the texts, so they keep their wording where the code
uses other terms.
"""

from __future__ import annotations

from sagetrack.peers.membership import MembershipCounts
from sagetrack.peers.warm_start import WarmStartResult


def describe_datagrams(counts: MembershipCounts, responses_rate_limited: int) -> str:
    """Return the line about the datagrams of this gateway.

    Args:
        counts: Counters of membership.
        responses_rate_limited: Parts of warm start responses that were not sent because of their rate limit.
    """
    rate_limited = counts.rate_limited + responses_rate_limited
    return (
        f"datagrams sent {counts.sent} ({counts.sent_bytes} bytes), "
        f"received {counts.received} ({counts.received_bytes} bytes), "
        f"rejected {counts.rejected}, held back {rate_limited}, "
        f"pings unanswered {counts.unanswered}, refuted {counts.refuted}"
    )


def describe_warm_start(result: WarmStartResult | None) -> str:
    """Return the line about the warm start; `result` is None if warm start is off."""
    if result is None or not result.observations:
        return "taken over at the start: nothing"
    return (
        f"taken over at the start: {result.observations} sights from {result.peers} whole answers within "
        f"{result.completed_us / 1e6:.2f} s, "
        f"{result.youngest_us / 1e6:.1f} to {result.oldest_us / 1e6:.1f} s old"
    )
