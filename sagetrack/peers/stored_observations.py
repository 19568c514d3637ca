"""The form in which observations of server health are stored: in the hand-over file and in the durable store.

A record is an array, and an observation in it a map. The keys of the maps are older than the names in the
code and stay as they are, so that every version reads what the others wrote.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from sagetrack.policy.peer_observations import CLOSED, ClassLatency, Observation

STORED_OBSERVATION_KEYS = {"overloaded": "jammed", "slow_start_used_us": "spent_us"}
STORED_LATENCY_KEYS = {"class_index": "klass", "baseline_us": "unhindered_us"}


@dataclass(slots=True, frozen=True)
class HandoverRecord:
    """What a process has observed, for one that comes after it.

    Attributes:
        gateway: The gateway's name.
        written_us: When it was written.
        observations: Of servers.
        latencies: By request class.
    """

    gateway: str
    written_us: int
    observations: Sequence[Observation]
    latencies: Sequence[ClassLatency]


class StoredObservation(msgspec.Struct, frozen=True, rename=STORED_OBSERVATION_KEYS):
    """An `Observation` as it is stored; the order of the fields is that of the bytes."""

    server: int
    started_us: int
    by: int
    seen_us: int
    state: int = CLOSED
    open_until_us: int = 0
    weight: float = 1.0
    overloaded: bool = False
    slow_start_used_us: int = 0


class StoredClassLatency(msgspec.Struct, frozen=True, rename=STORED_LATENCY_KEYS):
    """A `ClassLatency` as it is stored."""

    class_index: int
    smoothed_us: float
    baseline_us: float


class StoredRecord(msgspec.Struct, array_like=True, frozen=True):
    """A `HandoverRecord` as it is stored; the order of the fields is its format."""

    gateway: str
    written_us: int
    observations: list[StoredObservation]
    latencies: list[StoredClassLatency]


_decoder: msgspec.msgpack.Decoder[StoredRecord] = msgspec.msgpack.Decoder(StoredRecord)


def encode_record(record: HandoverRecord) -> bytes:
    """Return the bytes of a record."""
    stored = StoredRecord(
        record.gateway,
        record.written_us,
        [_stored_observation(one) for one in record.observations],
        [StoredClassLatency(one.class_index, one.smoothed_us, one.baseline_us) for one in record.latencies],
    )
    return msgspec.msgpack.encode(stored)


def decode_record(data: bytes) -> HandoverRecord:
    """Return the record in these bytes.

    Raises:
        msgspec.DecodeError: They hold none.
    """
    stored = _decoder.decode(data)
    return HandoverRecord(
        stored.gateway,
        stored.written_us,
        [_observation(one) for one in stored.observations],
        [ClassLatency(one.class_index, one.smoothed_us, one.baseline_us) for one in stored.latencies],
    )


def _stored_observation(observation: Observation) -> StoredObservation:
    return StoredObservation(
        server=observation.server,
        started_us=observation.started_us,
        by=observation.by,
        seen_us=observation.seen_us,
        state=observation.state,
        open_until_us=observation.open_until_us,
        weight=observation.weight,
        overloaded=observation.overloaded,
        slow_start_used_us=observation.slow_start_used_us,
    )


def _observation(stored: StoredObservation) -> Observation:
    return Observation(
        server=stored.server,
        started_us=stored.started_us,
        by=stored.by,
        seen_us=stored.seen_us,
        state=stored.state,
        open_until_us=stored.open_until_us,
        weight=stored.weight,
        overloaded=stored.overloaded,
        slow_start_used_us=stored.slow_start_used_us,
    )
