"""Storage format of observations of server health, in the hand-over file and in the durable store.

A record is a MessagePack array, and each observation in it a map. Some keys of the maps differ from the field
names in the code; they must not change, so that all versions can read each other's records.
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
    """The observations of a process, to be read by a later process of the same gateway.

    Attributes:
        gateway: Name of the gateway.
        written_us: Time at which the record was written.
        observations: Observations of servers.
        latencies: Latencies of request classes.
    """

    gateway: str
    written_us: int
    observations: Sequence[Observation]
    latencies: Sequence[ClassLatency]


class StoredObservation(msgspec.Struct, frozen=True, rename=STORED_OBSERVATION_KEYS):
    """Stored form of an `Observation`; the order of the fields is the order of the encoded keys."""

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
    """Stored form of a `ClassLatency`."""

    class_index: int
    smoothed_us: float
    baseline_us: float


class StoredRecord(msgspec.Struct, array_like=True, frozen=True):
    """Stored form of a `HandoverRecord`; the order of the fields defines the format."""

    gateway: str
    written_us: int
    observations: list[StoredObservation]
    latencies: list[StoredClassLatency]


_decoder: msgspec.msgpack.Decoder[StoredRecord] = msgspec.msgpack.Decoder(StoredRecord)


def encode_record(record: HandoverRecord) -> bytes:
    """Encode a record."""
    stored = StoredRecord(
        record.gateway,
        record.written_us,
        [_stored_observation(observation) for observation in record.observations],
        [
            StoredClassLatency(latency.class_index, latency.smoothed_us, latency.baseline_us)
            for latency in record.latencies
        ],
    )
    return msgspec.msgpack.encode(stored)


def decode_record(data: bytes) -> HandoverRecord:
    """Decode a record.

    Raises:
        msgspec.DecodeError: The bytes are not a valid record.
    """
    stored = _decoder.decode(data)
    return HandoverRecord(
        stored.gateway,
        stored.written_us,
        [_observation(observation) for observation in stored.observations],
        [
            ClassLatency(latency.class_index, latency.smoothed_us, latency.baseline_us)
            for latency in stored.latencies
        ],
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
