"""Retention: expiry of records by age, and eviction of the oldest records at the size limit of the store."""

from __future__ import annotations

from dataclasses import dataclass, field

from sagetrack.store.format import Record
from sagetrack.store.options import StoreOptions

AGE_BUCKET_MS = 60_000  # evictable bytes are counted per minute of record time


@dataclass(slots=True)
class LiveBytes:
    """Counts of payload bytes.

    Attributes:
        evictable: Bytes by evictable space and by age bucket.
        retained: Bytes of all spaces that are not evictable.
    """

    evictable: dict[str, dict[int, int]] = field(default_factory=dict)
    retained: int = 0


class Retention:
    """Decides which records are expired or to be evicted, based on counts of live bytes."""

    __slots__ = ("_live", "_options")

    def __init__(self, options: StoreOptions) -> None:
        self._options = options
        self._live = LiveBytes()

    def count(self, space: str, at_ms: int, size: int) -> None:
        """Add a record to the counts.

        Args:
            space: Key space of the record.
            at_ms: Unix time of the record in milliseconds.
            size: Size of the record in bytes.
        """
        policy = self._options.spaces.get(space)
        if policy is not None and policy.evictable:
            buckets = self._live.evictable.setdefault(space, {})
            bucket = at_ms // AGE_BUCKET_MS
            buckets[bucket] = buckets.get(bucket, 0) + size
        else:
            self._live.retained += size

    def begin_recount(self) -> LiveBytes:
        """Reset the counts at the start of a compaction; return the previous counts for `restore`."""
        previous, self._live = self._live, LiveBytes()
        return previous

    def restore(self, previous: LiveBytes) -> None:
        """Restore the previous counts after a failed compaction."""
        self._live = previous

    def visible_value(self, record: Record, now_ms: int) -> bytes | None:
        """Return the value of a record; None if the record is expired or a tombstone."""
        policy = self._options.spaces.get(record.space)
        expired = policy is not None and 0 < policy.max_age_ms <= now_ms - record.at_ms
        return None if expired else record.value

    def eviction_cutoffs(self) -> dict[str, int]:
        """Return the eviction cutoffs of the spaces that must shrink to keep the limit on live bytes.

        Records older than the cutoff, a Unix time in milliseconds, are evicted. The capacity that retained
        spaces leave is divided among the evictable spaces in proportion to their bytes. No records are
        evicted from spaces that are not in the result.
        """
        capacity = max(0, self._options.max_live_bytes - self._live.retained)
        total = sum(sum(buckets.values()) for buckets in self._live.evictable.values())
        if total <= capacity:
            return {}
        cutoffs = {}
        for space, buckets in self._live.evictable.items():
            remaining = capacity * sum(buckets.values()) / total
            for bucket in sorted(buckets, reverse=True):
                remaining -= buckets[bucket]
                if remaining < 0:
                    cutoffs[space] = (bucket + 1) * AGE_BUCKET_MS
                    break
        return cutoffs
