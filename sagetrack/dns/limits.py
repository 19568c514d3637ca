"""Limits on clients: access by address prefix, response rate, and queries in flight.

Response rate limiting protects third parties whose addresses are spoofed as the source of queries. Of the
responses over the limit, every other one is sent truncated, so that a real client retries over TCP, and the
rest is dropped (as BIND and NSD describe it). All tables are bounded.
"""

from __future__ import annotations

import ipaddress
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

MAX_TABLE_ENTRIES = 20_000  # limit on hosts or prefixes in a table; the oldest is evicted first
IPV4_PREFIX_BITS, IPV6_PREFIX_BITS = 24, 56  # clients with equal prefixes of this length share a rate limit


class RateLimitAction(Enum):
    """The action of the rate limiter on a response."""

    SEND = "answer"
    TRUNCATE = "cut"  # send only the question, with TC set
    DROP = "drop"


class AccessRules:
    """Allows or denies clients by address prefix; the longest match decides, without a match it is denied.

    Args:
        allowed: Allowed prefixes in CIDR notation.
        denied: Denied prefixes in CIDR notation.
    """

    def __init__(self, allowed: Iterable[str], denied: Iterable[str] = ()) -> None:
        rules = [(ipaddress.ip_network(prefix, strict=False), True) for prefix in allowed]
        rules += [(ipaddress.ip_network(prefix, strict=False), False) for prefix in denied]
        self.rules = sorted(rules, key=lambda rule: -rule[0].prefixlen)
        self.by_host: OrderedDict[str, bool] = OrderedDict()

    def allows(self, host: str) -> bool:
        """Return whether a host may send queries."""
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
    """Token bucket of an address prefix."""

    tokens: float
    updated_us: int
    limited: int = 0  # number of responses over the limit


class ResponseRateLimiter:
    """Limits the rate of responses over UDP to each address prefix.

    Args:
        responses_per_s: Limit in responses per second; 0 for no limit.
        burst: Size of the token bucket; defaults to the responses of two seconds.
    """

    def __init__(self, responses_per_s: float, burst: float | None = None) -> None:
        self.responses_per_s = responses_per_s
        self.burst = burst if burst is not None else 2 * responses_per_s
        self.buckets: OrderedDict[bytes, RateBucket] = OrderedDict()
        self.truncated = 0
        self.dropped = 0

    @staticmethod
    def prefix(host: str) -> bytes:
        """Return the prefix of a host's address, whose hosts share a rate limit."""
        address = ipaddress.ip_address(host.partition("%")[0])
        return address.packed[: (IPV4_PREFIX_BITS if address.version == 4 else IPV6_PREFIX_BITS) // 8]

    def decide(self, host: str, now_us: int) -> RateLimitAction:
        """Count a response to this host, and decide what to do with it."""
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
    """Counts and limits the queries in flight, per client and in total.

    Args:
        per_client: Limit for each client.
        total: Limit for all clients together.
    """

    def __init__(self, per_client: int, total: int) -> None:
        self.per_client = per_client
        self.total = total
        self.by_host: dict[str, int] = {}
        self.count = 0

    def try_add(self, host: str) -> bool:
        """Count one more query of a host; return False without counting it if that exceeds a limit."""
        if self.count >= self.total or self.by_host.get(host, 0) >= self.per_client:
            return False
        self.by_host[host] = self.by_host.get(host, 0) + 1
        self.count += 1
        return True

    def remove(self, host: str) -> None:
        """Count one query less for a host."""
        remaining = self.by_host[host] - 1
        self.count -= 1
        if remaining:
            self.by_host[host] = remaining
        else:
            del self.by_host[host]
