"""Observations and latencies in the units of a datagram, and back."""

from __future__ import annotations

from collections.abc import Iterable

from sagetrack.peers.codec import LatencyEntry, ServerEntry
from sagetrack.policy.peer_observations import ClassLatency, Observation

START_IDS = 2**24
LATENCY_UNIT_US = 100
MAX_LATENCY_UNITS = 2**32 - 1
COOLDOWN_UNIT_US = 100_000
MAX_COOLDOWN_UNITS = 255
AGE_UNIT_US = 10_000
MAX_AGE_UNITS = 65_535
WORK_UNIT_US = 1000
MAX_WORK_UNITS = 65_535
WEIGHT_UNITS = 100  # of a weight of 1


def start_id(started_us: int) -> int:
    """Return what distinguishes a server's incarnations in a datagram."""
    return started_us // 1000 % START_IDS


def encode_latency(latency: ClassLatency) -> LatencyEntry:
    """Return latencies in a datagram's units; at least one unit."""

    def units(time_us: float) -> int:
        return min(MAX_LATENCY_UNITS, max(1, round(time_us / LATENCY_UNIT_US)))

    return LatencyEntry(latency.class_index, units(latency.smoothed_us), units(latency.baseline_us))


def encode_observation(observation: Observation, now_us: int) -> ServerEntry:
    """Return an observation in a datagram's units; a cooldown is rounded up, an age down."""
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
    """Return a peer's observations of servers that this gateway lists in the same incarnation.

    Args:
        reporter: The peer.
        entries: As received.
        start_times: When each listed server started, in microseconds, by its id.
        now_us: The time; ages are taken as they were sent, without the time on the way.
    """
    found = []
    for entry in entries:
        started_us = start_times.get(entry.server)
        if started_us is None or start_id(started_us) != entry.start_id:
            continue
        found.append(
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
    return found


def decode_latencies(entries: Iterable[LatencyEntry]) -> tuple[ClassLatency, ...]:
    """Return the latencies by request class that a peer has sent."""
    unit_us = float(LATENCY_UNIT_US)
    return tuple(
        ClassLatency(entry.class_index, entry.smoothed * unit_us, entry.baseline * unit_us)
        for entry in entries
    )
