"""Limits on clients: access by prefix, response rate, and queries in flight.

Response rate limiting protects third parties: a spoofed source gets few responses, and every other one of the
rest is truncated, which a real client repeats over TCP (as BIND and NSD describe it). All tables are bounded.
"""

from __future__ import annotations

import ipaddress
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

MAX_TABLE_ENTRIES = 20_000  # hosts or prefixes that are remembered; the oldest is forgotten first
IPV4_PREFIX_BITS, IPV6_PREFIX_BITS = 24, 56  # that share a rate


class RateLimitAction(Enum):
    """What becomes of a response."""

    SEND = "answer"
    TRUNCATE = "cut"  # only the question, with TC
    DROP = "drop"


class AccessRules:
    """Prefixes that may ask; the longest match decides, and a host without match may not.

    Args:
        allowed: Prefixes in CIDR notation.
        denied: Prefixes in CIDR notation.
    """

    def __init__(self, allowed: Iterable[str], denied: Iterable[str] = ()) -> None:
        rules = [(ipaddress.ip_network(prefix, strict=False), True) for prefix in allowed]
        rules += [(ipaddress.ip_network(prefix, strict=False), False) for prefix in denied]
        self.rules = sorted(rules, key=lambda rule: -rule[0].prefixlen)
        self.by_host: OrderedDict[str, bool] = OrderedDict()

    def allows(self, host: str) -> bool:
        """Whether a host may ask."""
        is_allowed = self.by_host.get(host)
        if is_allowed is None:
            address = ipaddress.ip_address(host.partition("%")[0])
            is_allowed = next(
                (
                    allowed
                    for network, allowed in self.rules
                    if network.version == address.version and address in network
                ),
                False,
            )
            self.by_host[host] = is_allowed
            if len(self.by_host) > MAX_TABLE_ENTRIES:
                self.by_host.popitem(last=False)
        return is_allowed


@dataclass(slots=True)
class RateBucket:
    """Token bucket of one prefix."""

    tokens: float
    updated_us: int
    limited: int = 0  # responses over the rate


class ResponseRateLimiter:
    """Limits responses to one prefix over UDP.

    Args:
        responses_per_s: Responses a second; 0: no limit.
        burst: Responses at once; twice those of a second if not given.
    """

    def __init__(self, responses_per_s: float, burst: float | None = None) -> None:
        self.responses_per_s = responses_per_s
        self.burst = burst if burst is not None else 2 * responses_per_s
        self.buckets: OrderedDict[bytes, RateBucket] = OrderedDict()
        self.truncated = 0
        self.dropped = 0

    @staticmethod
    def prefix(host: str) -> bytes:
        """The prefix whose hosts share a rate."""
        address = ipaddress.ip_address(host.partition("%")[0])
        return address.packed[: (IPV4_PREFIX_BITS if address.version == 4 else IPV6_PREFIX_BITS) // 8]

    def decide(self, host: str, now_us: int) -> RateLimitAction:
        """What to do with one response to this host."""
        if self.responses_per_s <= 0:
            return RateLimitAction.SEND
        key = self.prefix(host)
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = self.buckets[key] = RateBucket(self.burst, now_us)
            if len(self.buckets) > MAX_TABLE_ENTRIES:
                self.buckets.popitem(last=False)
        else:
            self.buckets.move_to_end(key)
        bucket.tokens = min(
            self.burst, bucket.tokens + (now_us - bucket.updated_us) / 1e6 * self.responses_per_s
        )
        bucket.updated_us = now_us
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return RateLimitAction.SEND
        bucket.limited += 1
        if bucket.limited % 2:
            self.truncated += 1
            return RateLimitAction.TRUNCATE
        self.dropped += 1
        return RateLimitAction.DROP


class QueriesInFlight:
    """Queries in flight, limited for each client and in total.

    Args:
        per_client: Limit for each client.
        total: Limit for all together.
    """

    def __init__(self, per_client: int, total: int) -> None:
        self.per_client = per_client
        self.total = total
        self.by_host: dict[str, int] = {}
        self.count = 0

    def try_add(self, host: str) -> bool:
        """Count one more; False if that exceeds a limit."""
        if self.count >= self.total or self.by_host.get(host, 0) >= self.per_client:
            return False
        self.by_host[host] = self.by_host.get(host, 0) + 1
        self.count += 1
        return True

    def remove(self, host: str) -> None:
        """Count one less."""
        remaining = self.by_host[host] - 1
        self.count -= 1
        if remaining:
            self.by_host[host] = remaining
        else:
            del self.by_host[host]
