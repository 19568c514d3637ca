"""Sizes and rules that a store is opened with."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class RetentionPolicy:
    """Retention of one key space.

    Attributes:
        max_age_ms: Age at which a record expires; 0 means never.
        evictable: Whether its oldest records may be evicted when the store reaches its limit.
    """

    max_age_ms: int = 0
    evictable: bool = False


@dataclass(slots=True, frozen=True)
class StoreOptions:
    """Sizes in bytes, and the policies of key spaces.

    Attributes:
        segment_bytes: Size at which a log segment is closed and the next one begun.
        max_bytes: Limit of all files together.
        spaces: Policy by key space; a space without one keeps its records for ever.
        verify: Read all of a checkpoint on opening; else its records are verified when they are read.
    """

    segment_bytes: int = 8 * 1024 * 1024
    max_bytes: int = 256 * 1024 * 1024
    spaces: dict[str, RetentionPolicy] = field(default_factory=dict)
    verify: bool = True

    @property
    def max_live_bytes(self) -> int:
        """Limit of live records: two checkpoints, a third being written, and the log have to fit."""
        return self.max_bytes // 4
