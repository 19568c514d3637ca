"""Conversion of observations and latencies to and from the entries of a datagram."""

from __future__ import annotations

from collections.abc import Iterable

from sagetrack.peers.codec import LatencyEntry, ServerEntry
from sagetrack.policy.peer_observations import ClassLatency, Observation

START_IDS = 2**24  # number of distinct start ids
LATENCY_UNIT_US = 100
MAX_LATENCY_UNITS = 2**32 - 1
COOLDOWN_UNIT_US = 100_000
MAX_COOLDOWN_UNITS = 255
AGE_UNIT_US = 10_000
MAX_AGE_UNITS = 65_535
WORK_UNIT_US = 1000
MAX_WORK_UNITS = 65_535
WEIGHT_UNITS = 100  # encoded value of weight 1.0


def start_id(started_us: int) -> int:
    """Return the number that identifies an incarnation of a server in a datagram, by its start time."""
    return started_us // 1000 % START_IDS


def encode_latency(latency: ClassLatency) -> LatencyEntry:
    """Encode the latencies of a request class; each is at least one unit."""

    def units(time_us: float) -> int:
        return min(MAX_LATENCY_UNITS, max(1, round(time_us / LATENCY_UNIT_US)))

    return LatencyEntry(latency.class_index, units(latency.smoothed_us), units(latency.baseline_us))


def encode_observation(observation: Observation, now_us: int) -> ServerEntry:
    """Encode an observation; the remaining cooldown is rounded up, the age down."""
    cooldown = -(-max(0, observation.open_until_us - now_us) // COOLDOWN_UNIT_US)
    return ServerEntry(
        observation.server,
        start_id(observation.started_us),
        observation.state,
        observation.overloaded,
        round(WEIGHT_UNITS * observation.weight),
        min(MAX_COOLDOWN_UNITS, cooldown),
        min(MAX_AGE_UNITS, max(0, now_us - observation.seen_us) // AGE_UNIT_US),
        min(MAX_WORK_UNITS, max(0, observation.slow_start_used_us) // WORK_UNIT_US),
    )


def decode_observations(
    reporter: int, entries: Iterable[ServerEntry], start_times: dict[int, int], now_us: int
) -> list[Observation]:
    """Decode a peer's observations; drop those of servers or incarnations that are not listed here.

    Args:
        reporter: Number of the peer.
        entries: Received entries.
        start_times: Start time in microseconds of each listed server, by server id.
        now_us: Current time; the transit time of the datagram is not added to the ages.
    """
    observations = []
    for entry in entries:
        started_us = start_times.get(entry.server)
        if started_us is None or start_id(started_us) != entry.start_id:
            continue
        observations.append(
            Observation(
                entry.server,
                started_us,
                reporter,
                now_us - entry.age * AGE_UNIT_US,
                entry.state,
                now_us + entry.cooldown * COOLDOWN_UNIT_US,
                entry.weight / WEIGHT_UNITS,
                entry.overloaded,
                entry.slow_start_used * WORK_UNIT_US,
            )
        )
    return observations


def decode_latencies(entries: Iterable[LatencyEntry]) -> tuple[ClassLatency, ...]:
    """Decode the latencies of request classes from a peer."""
    unit_us = float(LATENCY_UNIT_US)
    return tuple(
        ClassLatency(entry.class_index, entry.smoothed * unit_us, entry.baseline * unit_us)
        for entry in entries
    )
