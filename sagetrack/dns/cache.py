"""A cache of responses, which are served for their TTL, and longer if the upstream servers fail.

Follows RFC 2181 (TTLs), RFC 2308 (negative responses) and RFC 8767 (stale responses). The cache is limited in
bytes; at the limit, the least recently used response is evicted.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from sagetrack.dns.answer import DnsResponse

ENTRY_OVERHEAD_BYTES = 700  # resident memory per entry besides the message
TTL_OVERHEAD_BYTES = 36  # memory per TTL offset
STALE_TTL_S = 30  # TTL that clients see in a stale response (RFC 8767, section 4)
# A popular response is refreshed once this fraction of its TTL remains, so that it does not expire.
PREFETCH_FRACTION = 0.1
PREFETCH_MIN_HITS = 3  # a response with this many hits is popular
CacheKey = tuple[Any, ...]


@dataclass(slots=True)
class CachedResponse:
    """A cached response with its times."""

    response: DnsResponse
    cached_us: int
    expires_us: int
    hits: int = 0
    refreshing: bool = False


@dataclass(slots=True)
class CacheHit:
    """A response found in the cache."""

    response: DnsResponse
    age_s: int
    stale: bool = False
    should_prefetch: bool = False  # if set, the caller should refresh the response now


@dataclass(slots=True)
class CacheCounts:
    """Counters since the start of the process."""

    hits: int = 0
    misses: int = 0
    stale: int = 0
    prefetched: int = 0
    evicted: int = 0


class ResponseCache:
    """A cache of responses by cache key; times are microseconds of the caller's clock.

    Args:
        max_bytes: Limit on the size of all entries.
        stale_s: Time after expiry for which a response may still be served if no upstream server responds.
        max_ttl_s: Upper limit on the time for which a response is cached.
    """

    def __init__(self, max_bytes: int, stale_s: float = 86_400.0, max_ttl_s: int = 86_400) -> None:
        self.max_bytes, self.stale_us, self.max_ttl_s = max_bytes, int(stale_s * 1e6), max_ttl_s
        self.entries: OrderedDict[CacheKey, CachedResponse] = OrderedDict()
        self.size_bytes = 0
        self.counts = CacheCounts()

    @staticmethod
    def entry_bytes(key: CacheKey, response: DnsResponse) -> int:
        """Return the estimated memory in bytes of an entry."""
        return (
            ENTRY_OVERHEAD_BYTES
            + len(key[0])
            + response.size
            + TTL_OVERHEAD_BYTES * len(response.ttl_offsets)
        )

    def get(self, key: CacheKey, now_us: int) -> CacheHit | None:
        """Return the cached response, or None if there is none or it has expired."""
        entry = self.entries.get(key)
        if entry is None or now_us >= entry.expires_us:
            self.counts.misses += 1
            return None
        self.entries.move_to_end(key)
        self.counts.hits += 1
        entry.hits += 1
        remaining_us = entry.expires_us - now_us
        should_prefetch = (
            not entry.refreshing
            and entry.hits >= PREFETCH_MIN_HITS
            and remaining_us <= PREFETCH_FRACTION * (entry.expires_us - entry.cached_us)
        )
        if should_prefetch:
            entry.refreshing = True
            self.counts.prefetched += 1
        return CacheHit(
            entry.response, (now_us - entry.cached_us) // 1_000_000, should_prefetch=should_prefetch
        )

    def get_stale(self, key: CacheKey, now_us: int) -> CacheHit | None:
        """Return the cached response even if it has expired, or None if there is none or it is too old.

        For use when no upstream server responds.
        """
        entry = self.entries.get(key)
        if entry is None or now_us >= entry.expires_us + self.stale_us:
            return None
        self.counts.stale += 1
        return CacheHit(entry.response, 0, stale=True)

    def put(self, key: CacheKey, response: DnsResponse, now_us: int) -> None:
        """Cache a response for its TTL; a response that must not be cached or is too large is ignored."""
        if response.ttl <= 0:
            return
        entry_bytes = self.entry_bytes(key, response)
        if entry_bytes > self.max_bytes:
            return
        self.remove(key)
        ttl = min(response.ttl, self.max_ttl_s)
        self.entries[key] = CachedResponse(response, now_us, now_us + ttl * 1_000_000)
        self.size_bytes += entry_bytes
        while self.size_bytes > self.max_bytes:
            self.remove(next(iter(self.entries)))
            self.counts.evicted += 1

    def shrink(self) -> None:
        """Remove the entries that were not used for longest, a quarter of the size, as memory is short."""
        target_bytes = self.size_bytes * 3 // 4
        while self.entries and self.size_bytes > target_bytes:
            self.remove(next(iter(self.entries)))
            self.counts.evicted += 1

    def prefetch_failed(self, key: CacheKey) -> None:
        """Allow the next hit to trigger another refresh of the response."""
        entry = self.entries.get(key)
        if entry is not None:
            entry.refreshing = False

    def remove(self, key: CacheKey) -> None:
        """Remove an entry, if it exists."""
        entry = self.entries.pop(key, None)
        if entry is not None:
            self.size_bytes -= self.entry_bytes(key, entry.response)
