"""The flight recorder: aggregates counts by class, latencies and events into one record per second.

It does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

RECORD_VERSION = 1
LATENCY_BUCKETS = 64
BUCKET_UNIT_SHIFT = 6  # resolution of the histogram: latencies are counted in units of 2**6 us
MAX_EVENTS = 50  # events per second that are recorded with their text; further ones are only counted
COUNTER_COUNT = 4  # counters by class: answered, rejected and failed requests, and attempts


def latency_bucket(latency_us: int) -> int:
    """Return the histogram bucket of a latency; each power of two from 64 us is split into two buckets."""
    units = max(1, latency_us >> BUCKET_UNIT_SHIFT)
    exponent = units.bit_length() - 1
    upper_half = (units >> (exponent - 1)) & 1 if exponent else 0
    return min(LATENCY_BUCKETS - 1, 2 * exponent + upper_half)


def bucket_lower_bound_us(bucket: int) -> int:
    """Return the lower bound of a histogram bucket."""
    exponent, upper_half = divmod(bucket, 2)
    return ((1 << exponent) << BUCKET_UNIT_SHIFT) + upper_half * ((1 << exponent) << (BUCKET_UNIT_SHIFT - 1))


class SecondRecord(msgspec.Struct, array_like=True):
    """The stored record of one second.

    It is encoded as a MessagePack array, so the order of the fields defines the format. Later versions may
    add fields at the end only.

    Attributes:
        version: `RECORD_VERSION` of the program that wrote the record.
        at_s: Unix time in seconds at the end of the recorded second.
        answered: Requests that received a response, by class.
        rejected: Requests rejected by admission control, by class.
        failed: Requests that failed, by class.
        attempts: Attempts that were sent, by class.
        outcomes: Number of attempts by outcome.
        latencies: Latency histogram of successful attempts by class; each maps a bucket to a count.
        events: Log lines of events, in order.
        dropped_events: Number of events beyond `MAX_EVENTS`, which are not in `events`.
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
    """Aggregates attempts and events, and produces one record per second.

    Attributes:
        class_count: Number of request classes.
    """

    class_count: int
    _outcomes: dict[str, int] = field(default_factory=dict, init=False)
    _latencies: list[dict[int, int]] = field(default_factory=list, init=False)
    _events: list[str] = field(default_factory=list, init=False)
    _dropped_events: int = field(default=0, init=False)
    _previous_totals: list[list[int]] = field(default_factory=list, init=False)

    def __post_init__(self) -> None:
        self._latencies = [{} for _ in range(self.class_count)]
        self._previous_totals = [[0] * self.class_count for _ in range(COUNTER_COUNT)]

    def record_attempt(self, class_index: int, outcome: str, latency_us: int, succeeded: bool) -> None:
        """Record the end of an attempt; only successful attempts enter the latency histogram."""
        self._outcomes[outcome] = self._outcomes.get(outcome, 0) + 1
        if succeeded:
            histogram, bucket = self._latencies[class_index], latency_bucket(latency_us)
            histogram[bucket] = histogram.get(bucket, 0) + 1

    def record_event(self, line: str) -> None:
        """Record the line of an event; beyond `MAX_EVENTS` per second, events are only counted."""
        if len(self._events) < MAX_EVENTS:
            self._events.append(line)
        else:
            self._dropped_events += 1

    def end_second(self, at_s: int, counters: Sequence[Sequence[int]]) -> bytes | None:
        """Finish the record of a second and begin the next one.

        Args:
            at_s: Current Unix time in seconds.
            counters: Totals by class since the start: answered, rejected and failed requests, and attempts.

        Returns:
            The encoded `SecondRecord`; None if there was no activity.
        """
        rows = zip(counters, self._previous_totals, strict=True)
        increases = [[new - old for new, old in zip(row, previous, strict=True)] for row, previous in rows]
        self._previous_totals = [list(row) for row in counters]
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
    """Decode the stored record of a second.

    Raises:
        msgspec.DecodeError: The bytes are not a valid record.
        ValueError: A later version of the program wrote the record.
    """
    record: SecondRecord = msgspec.msgpack.decode(value, type=SecondRecord)
    if record.version > RECORD_VERSION:
        raise ValueError(
            f"record of version {record.version}; this program supports versions up to {RECORD_VERSION}"
        )
    return record
