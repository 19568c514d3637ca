"""Health observations of servers that gateways share: how they merge, and how far to trust them.

An observation is what one gateway itself measured of one incarnation of one server. Of two by the same
gateway the newer one stands; those by different gateways stand side by side. So merging is a join of a
semilattice: commutative, associative and idempotent, as gossip needs it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

HALF_LIFE_US = 6_000_000  # an observation of this age counts half
MAX_OBSERVATION_AGE_US = 60_000_000  # an older one counts nothing
MAX_EJECTED_FRACTION = 1 / 3  # of the ready servers that peers' observations may eject
MIN_CONFIDENCE_TO_EJECT = 0.3  # a peer's observation with less ejects no server
OVERLOAD_EJECTION_US = 250_000  # how long an overloaded server is ejected

CLOSED, OPEN, HALF_OPEN = 0, 1, 2  # states of a circuit breaker, as they are sent to peers
NOT_EJECTED = -1


@dataclass(slots=True, frozen=True)
class Observation:
    """What one gateway measured of one server. Times are readings of the holder's clock, in microseconds."""

    server: int
    started_us: int  # of the server's incarnation
    by: int  # the gateway, by its number
    seen_us: int
    state: int = CLOSED
    open_until_us: int = 0
    weight: float = 1.0
    overloaded: bool = False  # an attempt has been in flight for longer than the stall timeout
    slow_start_used_us: int = 0  # used of the slow-start budget

    @property
    def rank(self) -> tuple[int, int, int, int, float, bool, int]:
        """A total order: the higher one replaces the lower one of the same server by the same gateway."""
        return (
            self.started_us,
            self.seen_us,
            self.state,
            self.open_until_us,
            -self.weight,
            self.overloaded,
            self.slow_start_used_us,
        )

    @property
    def is_unhealthy(self) -> bool:
        """Whether the gateway has ejected the server or found it overloaded."""
        return self.state != CLOSED or self.overloaded


@dataclass(slots=True, frozen=True)
class ClassLatency:
    """What one gateway measured of one class, in microseconds."""

    class_index: int
    smoothed_us: float
    baseline_us: float  # the baseline latency, without queueing


def merge_observations(*sources: Iterable[Observation]) -> dict[tuple[int, int], Observation]:
    """Merge observations of several sources, by server and gateway.

    The result does not depend on their order or on how often one occurs.
    """
    merged: dict[tuple[int, int], Observation] = {}
    for observations in sources:
        for observation in observations:
            key = observation.server, observation.by
            known = merged.get(key)
            if known is None or observation.rank > known.rank:
                merged[key] = observation
    return merged


@dataclass(slots=True, frozen=True)
class ServerAdvice:
    """What peers' observations of one server come to."""

    server: int
    confidence: float  # 0 to 1: that of the newest observation
    weight: float
    open_us: int  # how long to eject it; NOT_EJECTED: not at all


def confidence(age_us: int) -> float:
    """How much an observation of that age counts: 1 at first, half after the half-life, 0 in the end."""
    if age_us >= MAX_OBSERVATION_AGE_US:
        return 0.0
    return float(0.5 ** (max(0, age_us) / HALF_LIFE_US))


def weigh_observations(
    observations: Iterable[Observation],
    incarnations: Mapping[int, int],
    now_us: int,
    max_ejected: int,
) -> list[ServerAdvice]:
    """Combine peers' observations into advice by server, the unhealthiest first.

    Ignored are observations of servers that are not ready and of earlier incarnations. A gateway that finds
    every server unhealthy does little harm: ejections are bounded in number and need a majority of the
    confidence, and a low weight of all servers alike changes nothing in weighted selection.

    Args:
        observations: From any number of gateways, in any order.
        incarnations: The ready servers: when each was started.
        now_us: The time.
        max_ejected: How many servers may be ejected at the most.
    """
    by_server: dict[int, list[tuple[float, Observation]]] = {}
    for observation in merge_observations(observations).values():
        if incarnations.get(observation.server) != observation.started_us:
            continue
        weight = confidence(now_us - observation.seen_us)
        if weight > 0.0:
            by_server.setdefault(observation.server, []).append((weight, observation))
    advice = [_advice_for(server, weighted, now_us) for server, weighted in by_server.items()]
    advice.sort(key=lambda a: (-a.open_us, a.weight, a.server))
    return [
        one if rank < max_ejected or one.open_us < 0 else replace(one, open_us=NOT_EJECTED)
        for rank, one in enumerate(advice)
    ]


def _advice_for(server: int, weighted: list[tuple[float, Observation]], now_us: int) -> ServerAdvice:
    """Combine the observations of one server, each with its confidence."""
    total = sum(weight for weight, _ in weighted)
    mean = sum(weight * observation.weight for weight, observation in weighted) / total
    unhealthy = [(weight, observation) for weight, observation in weighted if observation.is_unhealthy]
    unhealthy_confidence = sum(weight for weight, _ in unhealthy)
    open_us = NOT_EJECTED
    if unhealthy_confidence > total / 2 and unhealthy_confidence >= MIN_CONFIDENCE_TO_EJECT:
        # A breaker whose cooldown is over ejects nothing; an overload ejects for OVERLOAD_EJECTION_US.
        left_us = max(o.open_until_us - now_us if o.state == OPEN else 0 for _, o in unhealthy)
        if left_us > 0:
            open_us = left_us
        elif any(o.overloaded for _, o in unhealthy):
            open_us = OVERLOAD_EJECTION_US
    return ServerAdvice(server, min(1.0, max(weight for weight, _ in weighted)), mean, open_us)
