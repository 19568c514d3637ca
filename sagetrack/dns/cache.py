"""Answers cached for their TTL, and beyond it for when all upstream servers fail.

TTLs as in RFC 2181, negative answers as in RFC 2308, stale ones as in RFC 8767. The cache is limited in
bytes; at the limit the least recently used answer is evicted.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from sagetrack.dns.answer import Answer

ENTRY_OVERHEAD_BYTES = 700  # beside the message: resident memory measured over 100,000 names
TTL_OVERHEAD_BYTES = 36  # for each TTL offset
STALE_TTL_S = 30  # of a stale answer, as clients see it (RFC 8767, section 4)
PREFETCH_FRACTION = 0.1  # of its TTL remaining_us: a popular answer is refreshed before it expires
PREFETCH_MIN_HITS = 3  # that make an answer popular
CacheKey = tuple[Any, ...]


@dataclass(slots=True)
class CachedAnswer:
    """One answer with its times."""

    answer: Answer
    cached_us: int
    expires_us: int
    hits: int = 0
    refreshing: bool = False


@dataclass(slots=True)
class CacheHit:
    """A cached answer that was found."""

    answer: Answer
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


class AnswerCache:
    """Cache of answers; times are microseconds of the caller's clock.

    Args:
        limit: Bytes that it may hold.
        stale_s: For how long an expired answer may still be served when no upstream server answers.
        max_ttl_s: Longer TTLs count as this.
    """

    def __init__(self, limit: int, stale_s: float = 86_400.0, max_ttl_s: int = 86_400) -> None:
        self.limit, self.stale_us, self.max_ttl_s = limit, int(stale_s * 1e6), max_ttl_s
        self.entries: OrderedDict[CacheKey, CachedAnswer] = OrderedDict()
        self.bytes = 0
        self.counts = CacheCounts()

    @staticmethod
    def cost(key: CacheKey, answer: Answer) -> int:
        """Bytes that an entry counts."""
        return ENTRY_OVERHEAD_BYTES + len(key[0]) + answer.size + TTL_OVERHEAD_BYTES * len(answer.ttl_offsets)

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
            entry.answer, (now_us - entry.cached_us) // 1_000_000, should_prefetch=should_prefetch
        )

    def get_stale(self, key: CacheKey, now_us: int) -> CacheHit | None:
        """An answer that may have expired, for when no upstream server answers; None if there is none."""
        entry = self.entries.get(key)
        if entry is None or now_us >= entry.expires_us + self.stale_us:
            return None
        self.counts.stale += 1
        return CacheHit(entry.answer, 0, stale=True)

    def put(self, key: CacheKey, answer: Answer, now_us: int) -> None:
        """Cache an answer for its TTL; one that may not be cached replaces nothing."""
        if answer.ttl <= 0:
            return
        cost = self.cost(key, answer)
        if cost > self.limit:
            return
        self.drop(key)
        ttl = min(answer.ttl, self.max_ttl_s)
        self.entries[key] = CachedAnswer(answer, now_us, now_us + ttl * 1_000_000)
        self.bytes += cost
        while self.bytes > self.limit:
            self.drop(next(iter(self.entries)))
            self.counts.evicted += 1

    def prefetch_failed(self, key: CacheKey) -> None:
        """Let the next hit try again to refresh an answer."""
        entry = self.entries.get(key)
        if entry is not None:
            entry.refreshing = False

    def drop(self, key: CacheKey) -> None:
        """Remove an answer."""
        entry = self.entries.pop(key, None)
        if entry is not None:
            self.bytes -= self.cost(key, entry.answer)
