"""Options of a store: size limits and retention policies."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class RetentionPolicy:
    """Retention of one key space.

    Attributes:
        max_age_ms: Age at which a record expires, in milliseconds; 0 means never.
        evictable: True if the oldest records of the space may be evicted when the store reaches its limit.
    """

    max_age_ms: int = 0
    evictable: bool = False


@dataclass(slots=True, frozen=True)
class StoreOptions:
    """Size limits in bytes, and retention policies of key spaces.

    Attributes:
        segment_bytes: Size at which the log moves on to a new segment.
        max_bytes: Limit on the total size of all files.
        spaces: Retention policy by key space; records of other spaces are kept until they are deleted.
        verify: Verify all records of the checkpoints on opening; otherwise each is verified when it is read.
    """

    segment_bytes: int = 8 * 1024 * 1024
    max_bytes: int = 256 * 1024 * 1024
    spaces: dict[str, RetentionPolicy] = field(default_factory=dict)
    verify: bool = True

    @property
    def max_live_bytes(self) -> int:
        """Limit on live records: two checkpoints, a third one being written, and the log must fit on disk."""
        return self.max_bytes // 4
