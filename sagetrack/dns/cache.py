"""Answers cached for their TTL, and beyond it for when all upstream servers fail.

TTLs as in RFC 2181, negative answers as in RFC 2308, stale ones as in RFC 8767. The cache is limited in
bytes; at the limit the least recently used answer is evicted.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from sagetrack.dns.answer import DnsResponse

ENTRY_OVERHEAD_BYTES = 700  # beside the message: resident memory measured over 100,000 names
TTL_OVERHEAD_BYTES = 36  # for each TTL offset
STALE_TTL_S = 30  # of a stale answer, as clients see it (RFC 8767, section 4)
PREFETCH_FRACTION = 0.1  # of its TTL remaining_us: a popular answer is refreshed before it expires
PREFETCH_MIN_HITS = 3  # that make an answer popular
CacheKey = tuple[Any, ...]


@dataclass(slots=True)
class CachedResponse:
    """One answer with its times."""

    response: DnsResponse
    cached_us: int
    expires_us: int
    hits: int = 0
    refreshing: bool = False


@dataclass(slots=True)
class CacheHit:
    """A cached answer that was found."""

    response: DnsResponse
    age_s: int
    stale: bool = False
    should_prefetch: bool = False  # the caller should refresh it now


@dataclass(slots=True)
class CacheCounts:
    """Totals since the start."""

    hits: int = 0
    misses: int = 0
    stale: int = 0
    prefetched: int = 0
    evicted: int = 0


class ResponseCache:
    """Cache of answers; times are microseconds of the caller's clock.

    Args:
        max_bytes: Bytes that it may hold.
        stale_s: For how long an expired answer may still be served when no upstream server answers.
        max_ttl_s: Longer TTLs count as this.
    """

    def __init__(self, max_bytes: int, stale_s: float = 86_400.0, max_ttl_s: int = 86_400) -> None:
        self.max_bytes, self.stale_us, self.max_ttl_s = max_bytes, int(stale_s * 1e6), max_ttl_s
        self.entries: OrderedDict[CacheKey, CachedResponse] = OrderedDict()
        self.size_bytes = 0
        self.counts = CacheCounts()

    @staticmethod
    def cost(key: CacheKey, response: DnsResponse) -> int:
        """Bytes that an entry counts."""
        return (
            ENTRY_OVERHEAD_BYTES
            + len(key[0])
            + response.size
            + TTL_OVERHEAD_BYTES * len(response.ttl_offsets)
        )

    def get(self, key: CacheKey, now_us: int) -> CacheHit | None:
        """A fresh answer; None if there is none."""
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
        """An answer that may have expired, for when no upstream server answers; None if there is none."""
        entry = self.entries.get(key)
        if entry is None or now_us >= entry.expires_us + self.stale_us:
            return None
        self.counts.stale += 1
        return CacheHit(entry.response, 0, stale=True)

    def put(self, key: CacheKey, response: DnsResponse, now_us: int) -> None:
        """Cache an answer for its TTL; one that may not be cached replaces nothing."""
        if response.ttl <= 0:
            return
        cost = self.cost(key, response)
        if cost > self.max_bytes:
            return
        self.remove(key)
        ttl = min(response.ttl, self.max_ttl_s)
        self.entries[key] = CachedResponse(response, now_us, now_us + ttl * 1_000_000)
        self.size_bytes += cost
        while self.size_bytes > self.max_bytes:
            self.remove(next(iter(self.entries)))
            self.counts.evicted += 1

    def prefetch_failed(self, key: CacheKey) -> None:
        """Let the next hit try again to refresh an answer."""
        entry = self.entries.get(key)
        if entry is not None:
            entry.refreshing = False

    def remove(self, key: CacheKey) -> None:
        """Remove an answer."""
        entry = self.entries.pop(key, None)
        if entry is not None:
            self.size_bytes -= self.cost(key, entry.response)
