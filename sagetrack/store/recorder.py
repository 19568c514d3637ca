"""The flight recorder's record of one second: counts by class, latencies, events. No I/O or clock."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

RECORD_VERSION = 1
LATENCY_BUCKETS = 64
BUCKET_UNIT_SHIFT = 6  # the first bucket ends at 2**6 us
MAX_EVENTS = 50  # of one second that are recorded in full; others are counted
COUNTERS = 4  # completed, rejected, failed requests; attempts


def latency_bucket(latency_us: int) -> int:
    """The histogram bucket of a latency: bounds double with every second bucket, from 64 us on."""
    units = max(1, latency_us >> BUCKET_UNIT_SHIFT)
    exponent = units.bit_length() - 1
    upper_half = (units >> (exponent - 1)) & 1 if exponent else 0
    return min(LATENCY_BUCKETS - 1, 2 * exponent + upper_half)


def bucket_lower_bound_us(bucket: int) -> int:
    """The latency that a histogram bucket begins at."""
    exponent, upper_half = divmod(bucket, 2)
    return ((1 << exponent) << BUCKET_UNIT_SHIFT) + upper_half * ((1 << exponent) << (BUCKET_UNIT_SHIFT - 1))


class SecondRecord(msgspec.Struct, array_like=True):
    """One second as it is stored, as a MessagePack array: the order of fields is the format.

    Later versions add fields at the end.

    Attributes:
        version: `RECORD_VERSION` of the writer.
        at_s: Unix time of the second's end.
        answered: Requests that got a response, by class.
        rejected: Requests rejected by admission control, by class.
        failed: Requests that failed, by class.
        attempts: Attempts that were sent, by class.
        outcomes: Attempts by how they ended.
        latencies: By class the histogram of attempts that succeeded: count by bucket.
        events: What happened, a line each.
        dropped_events: Events beyond `MAX_EVENTS`.
    """

    version: int
    at_s: int
    answered: list[int]
    rejected: list[int]
    failed: list[int]
    attempts: list[int]
    outcomes: dict[str, int]
    latencies: list[dict[int, int]]
    events: list[str]
    dropped_events: int


@dataclass(slots=True)
class Recorder:
    """Gathers what happens in one second after the other.

    Attributes:
        class_count: Number of request classes.
    """

    class_count: int
    _outcomes: dict[str, int] = field(default_factory=dict, init=False)
    _latencies: list[dict[int, int]] = field(default_factory=list, init=False)
    _events: list[str] = field(default_factory=list, init=False)
    _dropped_events: int = field(default=0, init=False)
    _totals_before: list[list[int]] = field(default_factory=list, init=False)

    def __post_init__(self) -> None:
        self._latencies = [{} for _ in range(self.class_count)]
        self._totals_before = [[0] * self.class_count for _ in range(COUNTERS)]

    def record_attempt(self, class_index: int, outcome: str, latency_us: int, succeeded: bool) -> None:
        """Record the end of an attempt; its latency counts if it succeeded."""
        self._outcomes[outcome] = self._outcomes.get(outcome, 0) + 1
        if succeeded:
            histogram, bucket = self._latencies[class_index], latency_bucket(latency_us)
            histogram[bucket] = histogram.get(bucket, 0) + 1

    def record_event(self, line: str) -> None:
        """Record an event; beyond `MAX_EVENTS` it is only counted."""
        if len(self._events) < MAX_EVENTS:
            self._events.append(line)
        else:
            self._dropped_events += 1

    def end_second(self, at_s: int, counters: Sequence[Sequence[int]]) -> bytes | None:
        """End a second and begin the next.

        Args:
            at_s: Unix time.
            counters: Totals since the start by class: answered, rejected, failed requests, and attempts.

        Returns:
            The encoded `SecondRecord`; None if nothing happened.
        """
        rows = zip(counters, self._totals_before, strict=True)
        increases = [[now - then for now, then in zip(row, before, strict=True)] for row, before in rows]
        self._totals_before = [list(row) for row in counters]
        if not self._outcomes and not self._events and not any(map(any, increases)):
            return None
        answered, rejected, failed, attempts = increases
        record = SecondRecord(
            version=RECORD_VERSION,
            at_s=at_s,
            answered=answered,
            rejected=rejected,
            failed=failed,
            attempts=attempts,
            outcomes=self._outcomes,
            latencies=self._latencies,
            events=self._events,
            dropped_events=self._dropped_events,
        )
        self._outcomes = {}
        self._events = []
        self._dropped_events = 0
        self._latencies = [{} for _ in range(self.class_count)]
        return msgspec.msgpack.encode(record)


def decode_second(value: bytes) -> SecondRecord:
    """Decode a stored second.

    Raises:
        msgspec.DecodeError: The bytes are no record.
        ValueError: A later version wrote it.
    """
    record: SecondRecord = msgspec.msgpack.decode(value, type=SecondRecord)
    if record.version > RECORD_VERSION:
        raise ValueError(f"a record of version {record.version}; this program knows {RECORD_VERSION}")
    return record
