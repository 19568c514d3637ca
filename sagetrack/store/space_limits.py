"""Expiry of records, and eviction of the oldest ones of evictable spaces at the limit of the store."""

from __future__ import annotations

from dataclasses import dataclass, field

from sagetrack.store.format import Record
from sagetrack.store.options import StoreOptions

AGE_BUCKET_MS = 60_000  # resolution of ages by which evictable bytes are counted


@dataclass(slots=True)
class LiveBytes:
    """Payload bytes by retention.

    Attributes:
        evictable: Bytes by evictable space and age bucket.
        retained: Bytes of all other spaces.
    """

    evictable: dict[str, dict[int, int]] = field(default_factory=dict)
    retained: int = 0


class Retention:
    """Decides which records expire and which are evicted, and counts the bytes for that."""

    __slots__ = ("_live", "_options")

    def __init__(self, options: StoreOptions) -> None:
        self._options = options
        self._live = LiveBytes()

    def count(self, space: str, at_ms: int, size: int) -> None:
        """Count a record of so many bytes."""
        policy = self._options.spaces.get(space)
        if policy is not None and policy.evictable:
            buckets = self._live.evictable.setdefault(space, {})
            bucket = at_ms // AGE_BUCKET_MS
            buckets[bucket] = buckets.get(bucket, 0) + size
        else:
            self._live.retained += size

    def begin_recount(self) -> LiveBytes:
        """Count from zero, as a compaction does; returns the counts before, for `restore`."""
        before, self._live = self._live, LiveBytes()
        return before

    def restore(self, before: LiveBytes) -> None:
        """Take back a recount that was not finished."""
        self._live = before

    def visible_value(self, record: Record, now_ms: int) -> bytes | None:
        """A record's value; None if the record is expired or a tombstone."""
        policy = self._options.spaces.get(record.space)
        expired = policy is not None and 0 < policy.max_age_ms <= now_ms - record.at_ms
        return None if expired else record.value

    def eviction_cutoffs(self) -> dict[str, int]:
        """By evictable space the time before which records are evicted, so that live bytes keep their limit.

        The capacity that retained spaces leave is divided among evictable spaces in proportion to their
        bytes. Spaces that are not in the result lose nothing. Times are Unix times in milliseconds.
        """
        capacity = max(0, self._options.max_live_bytes - self._live.retained)
        total = sum(sum(buckets.values()) for buckets in self._live.evictable.values())
        if total <= capacity:
            return {}
        cutoffs = {}
        for space, buckets in self._live.evictable.items():
            left = capacity * sum(buckets.values()) / total
            for bucket in sorted(buckets, reverse=True):
                left -= buckets[bucket]
                if left < 0:
                    cutoffs[space] = (bucket + 1) * AGE_BUCKET_MS
                    break
        return cutoffs
