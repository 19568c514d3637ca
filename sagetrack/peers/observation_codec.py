"""Observations and latencies in the units of a datagram, and back."""

from __future__ import annotations

from collections.abc import Iterable

from sagetrack.peers.codec import ClassFact, ServerFact
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


def class_fact(latency: ClassLatency) -> ClassFact:
    """Return latencies in a datagram's units; at least one unit."""

    def units(time_us: float) -> int:
        return min(MAX_LATENCY_UNITS, max(1, round(time_us / LATENCY_UNIT_US)))

    return ClassFact(latency.class_index, units(latency.smoothed_us), units(latency.baseline_us))


def server_fact(observation: Observation, now_us: int) -> ServerFact:
    """Return an observation in a datagram's units; a cooldown is rounded up, an age down."""
    cooldown = -(-max(0, observation.open_until_us - now_us) // COOLDOWN_UNIT_US)
    return ServerFact(
        observation.server,
        start_id(observation.started_us),
        observation.state,
        observation.overloaded,
        round(WEIGHT_UNITS * observation.weight),
        min(MAX_COOLDOWN_UNITS, cooldown),
        min(MAX_AGE_UNITS, max(0, now_us - observation.seen_us) // AGE_UNIT_US),
        min(MAX_WORK_UNITS, max(0, observation.slow_start_used_us) // WORK_UNIT_US),
    )


def observations_from(
    by: int, facts: Iterable[ServerFact], start_times: dict[int, int], now_us: int
) -> list[Observation]:
    """Return a peer's observations of servers that this gateway lists in the same incarnation.

    Args:
        by: The peer.
        facts: As received.
        start_times: When each listed server started, in microseconds, by its id.
        now_us: The time; ages are taken as they were sent, without the time on the way.
    """
    found = []
    for fact in facts:
        started_us = start_times.get(fact.server)
        if started_us is None or start_id(started_us) != fact.start_id:
            continue
        found.append(
            Observation(
                fact.server,
                started_us,
                by,
                now_us - fact.age * AGE_UNIT_US,
                fact.state,
                now_us + fact.cooldown * COOLDOWN_UNIT_US,
                fact.weight / WEIGHT_UNITS,
                fact.overloaded,
                fact.slow_start_used * WORK_UNIT_US,
            )
        )
    return found


def latencies_from(facts: Iterable[ClassFact]) -> tuple[ClassLatency, ...]:
    """Return the latencies by request class that a peer has sent."""
    unit_us = float(LATENCY_UNIT_US)
    return tuple(
        ClassLatency(fact.class_index, fact.smoothed * unit_us, fact.baseline * unit_us) for fact in facts
    )
