"""The flight recorder: records of one second, and the latency histogram."""

from __future__ import annotations

import msgspec
import pytest

from sagetrack.store.recorder import (
    MAX_EVENTS,
    Recorder,
    bucket_lower_bound_us,
    decode_second,
    latency_bucket,
)


def test_the_record_of_a_second_round_trips_and_newer_versions_are_rejected() -> None:
    recorder = Recorder(2)
    for latency_us in (1, 64, 100, 5_000, 10**9):
        assert bucket_lower_bound_us(latency_bucket(latency_us)) <= max(64, latency_us)
    recorder.record_attempt(1, "ok", 5_000, True)
    recorder.record_attempt(1, "reset", 9, False)
    for n in range(MAX_EVENTS + 3):
        recorder.record_event(f"breaker {n}")
    value = recorder.end_second(7, [[1, 2], [0, 0], [0, 1], [1, 3]])
    assert value is not None and recorder.end_second(8, [[1, 2], [0, 0], [0, 1], [1, 3]]) is None
    decoded = decode_second(value)
    assert (
        decoded.answered == [1, 2]
        and decoded.outcomes == {"ok": 1, "reset": 1}
        and decoded.dropped_events == 3
    )
    assert decoded.latencies == [{}, {latency_bucket(5_000): 1}] and len(decoded.events) == MAX_EVENTS
    with pytest.raises(ValueError, match="version 9"):
        decode_second(msgspec.msgpack.encode(msgspec.structs.replace(decoded, version=9)))
