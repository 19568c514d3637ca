"""Answers kept for as long as they may be, and a little longer for when all upstream servers fail. No I/O, no
clock.

TTLs after RFC 2181, negative answers after RFC 2308, stale ones after RFC 8767. The cache holds a stated
number of bytes; at the bound the least recently used answer goes.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from sagetrack.dns.message import Answer

OVERHEAD = 700  # bytes that an entry costs beside its message: resident memory over 100,000 names
STALE_TTL_S = 30  # told to clients of a stale answer (RFC 8767, section 4)
PREFETCH_SHARE = 0.1  # of its time left: a popular answer is asked for again before it runs out
POPULAR = 3  # hits that make it popular
Subject = tuple[Any, ...]


@dataclass(slots=True)
class Kept:
    """One answer."""

    answer: Answer
    since_us: int
    until_us: int
    hits: int = 0
    refreshing: bool = False


@dataclass(slots=True)
class Hit:
    """What was found."""

    answer: Answer
    age_s: int
    stale: bool = False
    prefetch: bool = False  # the caller should ask for it again


@dataclass(slots=True)
class CacheCounts:
    """Since the start."""

    hits: int = 0
    misses: int = 0
    stale: int = 0
    prefetched: int = 0
    evicted: int = 0


class Cache:
    """Bounded by bytes. Times are microseconds of the caller's clock."""

    def __init__(self, limit: int, stale_s: float = 86_400.0, longest_s: int = 86_400) -> None:
        self.limit, self.stale_us, self.longest_s = limit, int(stale_s * 1e6), longest_s
        self.entries: OrderedDict[Subject, Kept] = OrderedDict()
        self.bytes = 0
        self.counts = CacheCounts()

    @staticmethod
    def cost(subject: Subject, answer: Answer) -> int:
        return OVERHEAD + len(subject[0]) + answer.size + 36 * len(answer.ttls)

    def get(self, subject: Subject, now_us: int) -> Hit | None:
        """A fresh answer; None if there is none."""
        kept = self.entries.get(subject)
        if kept is None or now_us >= kept.until_us:
            self.counts.misses += 1
            return None
        self.entries.move_to_end(subject)
        self.counts.hits += 1
        kept.hits += 1
        left = kept.until_us - now_us
        prefetch = (
            not kept.refreshing
            and kept.hits >= POPULAR
            and left <= PREFETCH_SHARE * (kept.until_us - kept.since_us)
        )
        if prefetch:
            kept.refreshing = True
            self.counts.prefetched += 1
        return Hit(kept.answer, (now_us - kept.since_us) // 1_000_000, prefetch=prefetch)

    def get_stale(self, subject: Subject, now_us: int) -> Hit | None:
        """An answer whose time is over, for when no upstream server answers."""
        kept = self.entries.get(subject)
        if kept is None or now_us >= kept.until_us + self.stale_us:
            return None
        self.counts.stale += 1
        return Hit(kept.answer, 0, stale=True)

    def put(self, subject: Subject, answer: Answer, now_us: int) -> None:
        """Keep an answer for its time; what may not be kept is not, and a failure overrules no answer."""
        if answer.ttl <= 0:
            return
        cost = self.cost(subject, answer)
        if cost > self.limit:
            return
        self.drop(subject)
        ttl = min(answer.ttl, self.longest_s)
        self.entries[subject] = Kept(answer, now_us, now_us + ttl * 1_000_000)
        self.bytes += cost
        while self.bytes > self.limit:
            self.drop(next(iter(self.entries)))
            self.counts.evicted += 1

    def not_refreshed(self, subject: Subject) -> None:
        """A prefetch came to nothing: the next hit may try again."""
        kept = self.entries.get(subject)
        if kept is not None:
            kept.refreshing = False

    def drop(self, subject: Subject) -> None:
        kept = self.entries.pop(subject, None)
        if kept is not None:
            self.bytes -= self.cost(subject, kept.answer)
