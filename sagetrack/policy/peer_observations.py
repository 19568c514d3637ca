"""Health observations of servers that gateways exchange: how they are merged and weighed.

An observation is what one gateway has measured of one incarnation of one server. Of two observations by the
same gateway the newer one is kept; observations by different gateways are kept side by side. So merging is a
semilattice join: commutative, associative and idempotent, as gossip requires.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

HALF_LIFE_US = 6_000_000  # age at which an observation counts half
MAX_OBSERVATION_AGE_US = 60_000_000  # age from which an observation is ignored
MAX_EJECTED_FRACTION = 1 / 3  # largest fraction of the ready servers that peers' observations may eject
MIN_CONFIDENCE_TO_EJECT = 0.3  # minimum sum of the confidences of unhealthy observations
OVERLOAD_EJECTION_US = 250_000  # ejection time of an overloaded server

CLOSED, OPEN, HALF_OPEN = 0, 1, 2  # circuit breaker states, as sent to peers
NOT_EJECTED = -1  # value of ServerAdvice.open_us


@dataclass(slots=True, frozen=True)
class Observation:
    """One gateway's measurements of one server. Times are in microseconds on the local gateway's clock."""

    server: int
    started_us: int  # identifies the server's incarnation
    by: int  # number of the observing gateway
    seen_us: int  # time of the last observation
    state: int = CLOSED
    open_until_us: int = 0
    weight: float = 1.0
    overloaded: bool = False  # an attempt was in flight for longer than the stall timeout
    slow_start_used_us: int = 0  # level of the slow-start bucket: see SlowStart

    @property
    def precedence(self) -> tuple[int, int, int, int, float, bool, int]:
        """The sort key for observations of one server by one gateway; the highest one is kept."""
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
        """True if the gateway has ejected the server or found it overloaded."""
        return self.state != CLOSED or self.overloaded


@dataclass(slots=True, frozen=True)
class ClassLatency:
    """One gateway's latency measurements of one request class, in microseconds."""

    class_index: int
    smoothed_us: float
    baseline_us: float  # latency without queueing


def merge_observations(*sources: Iterable[Observation]) -> dict[tuple[int, int], Observation]:
    """Merge observations from several sources into one per server and gateway.

    The result does not depend on the order or on duplicates.
    """
    merged: dict[tuple[int, int], Observation] = {}
    for observations in sources:
        for observation in observations:
            key = observation.server, observation.by
            known = merged.get(key)
            if known is None or observation.precedence > known.precedence:
                merged[key] = observation
    return merged


@dataclass(slots=True, frozen=True)
class ServerAdvice:
    """The combined result of peers' observations of one server."""

    server: int
    confidence: float  # confidence of the newest observation, from 0 to 1
    weight: float  # average of the observed weights, weighted by confidence
    open_us: int  # ejection time, or NOT_EJECTED


def confidence(age_us: int) -> float:
    """Return the weight of an observation of this age: 1 if new, half after each half-life, finally 0."""
    if age_us >= MAX_OBSERVATION_AGE_US:
        return 0.0
    return float(0.5 ** (max(0, age_us) / HALF_LIFE_US))


def weigh_observations(
    observations: Iterable[Observation],
    incarnations: Mapping[int, int],
    now_us: int,
    max_ejected: int,
) -> list[ServerAdvice]:
    """Combine peers' observations into advice for each server, the unhealthiest first.

    Observations of earlier incarnations and of servers that are not ready are ignored. A gateway that reports
    every server as unhealthy does little harm: the number of ejections is bounded, each needs a majority by
    confidence, and equally low weights of all servers do not change weighted selection.

    Args:
        observations: The observations of any number of gateways, in any order.
        incarnations: Start times of the ready servers, by server id.
        now_us: The current time.
        max_ejected: The maximum number of servers to eject.
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
        item if index < max_ejected or item.open_us < 0 else replace(item, open_us=NOT_EJECTED)
        for index, item in enumerate(advice)
    ]


def _advice_for(server: int, weighted: list[tuple[float, Observation]], now_us: int) -> ServerAdvice:
    """Combine the observations of one server, each given with its confidence."""
    total = sum(weight for weight, _ in weighted)
    mean = sum(weight * observation.weight for weight, observation in weighted) / total
    unhealthy = [(weight, observation) for weight, observation in weighted if observation.is_unhealthy]
    unhealthy_confidence = sum(weight for weight, _ in unhealthy)
    open_us = NOT_EJECTED
    if unhealthy_confidence > total / 2 and unhealthy_confidence >= MIN_CONFIDENCE_TO_EJECT:
        # A breaker whose cooldown is over does not eject the server; an overload does, for a fixed time.
        left_us = max(o.open_until_us - now_us if o.state == OPEN else 0 for _, o in unhealthy)
        if left_us > 0:
            open_us = left_us
        elif any(o.overloaded for _, o in unhealthy):
            open_us = OVERLOAD_EJECTION_US
    return ServerAdvice(server, min(1.0, max(weight for weight, _ in weighted)), mean, open_us)
