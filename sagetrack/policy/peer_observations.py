"""What gateways have seen of servers, in a form that merges in any order, and how much of it to believe.
Pure.

A sight is what one gateway itself saw of one life of one server. Of two sights by the same gateway the newer
one stands; sights by different gateways stand side by side. So merging is a join: commutative, associative,
idempotent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

HALF_LIFE_US = 6_000_000  # word that is so old weighs half
MAX_OBSERVATION_AGE_US = 60_000_000  # word that is older says nothing
MAX_EJECTED_FRACTION = 1 / 3  # of the ready servers that hearsay may take out of use
BELIEVED = 0.3  # trust below which word opens no breaker

JAM_US = 250_000  # a server that was jammed is left alone for

CLOSED, OPEN, HALF_OPEN = 0, 1, 2


@dataclass(slots=True, frozen=True)
class Observation:
    """Times are readings of the holder's clock, in microseconds."""

    server: int
    started_us: int  # of the life that was seen
    by: int  # whose sight it is, by its number among the gateways
    seen_us: int
    state: int = CLOSED
    open_until_us: int = 0
    weight: float = 1.0
    jammed: bool = False
    spent_us: int = 0  # work sent while cold and not yet paid off

    @property
    def rank(self) -> tuple[int, int, int, int, float, bool, int]:
        """What overrules what of the same server by the same gateway: a total order."""
        return (
            self.started_us,
            self.seen_us,
            self.state,
            self.open_until_us,
            -self.weight,
            self.jammed,
            self.spent_us,
        )


@dataclass(slots=True, frozen=True)
class ClassLatency:
    """What one gateway measured of one class, in microseconds."""

    klass: int
    smoothed_us: float
    unhindered_us: float


def merge_observations(*all_: Iterable[Observation]) -> dict[tuple[int, int], Observation]:
    """Everything that is known from several sources, whatever their order and however often they come."""
    joined: dict[tuple[int, int], Observation] = {}
    for sights in all_:
        for sight in sights:
            key = sight.server, sight.by
            known = joined.get(key)
            if known is None or sight.rank > known.rank:
                joined[key] = sight
    return joined


@dataclass(slots=True, frozen=True)
class ServerAdvice:
    """What hearsay comes to for one server."""

    server: int
    confidence: float  # 0 to 1: the newest word's
    weight: float
    open_us: int  # how long to leave it alone; -1: not at all


def confidence(age_us: int) -> float:
    """How much word of that age weighs: 1 at once, half after the half-life, nothing in the end."""
    if age_us >= MAX_OBSERVATION_AGE_US:
        return 0.0
    return float(0.5 ** (max(0, age_us) / HALF_LIFE_US))


def weigh_observations(
    sights: Iterable[Observation], lives: Mapping[int, int], now_us: int, most: int
) -> list[ServerAdvice]:
    """Weigh what was heard of the ready servers, whose lives are given as when each started; the worst first.

    No more than `most` of them are to be opened.

    Guards against word of a server that is not ready or not listed, of an earlier life at the same id, and
    against a peer that calls every server bad: what hearsay takes out of use is bounded, and by the majority
    of what is believed; a low weight of all of them alike changes nothing in a draw.
    """
    heard: dict[int, list[tuple[float, Observation]]] = {}
    for sight in merge_observations(sights).values():
        if lives.get(sight.server) != sight.started_us:
            continue
        weight = confidence(now_us - sight.seen_us)
        if weight > 0.0:
            heard.setdefault(sight.server, []).append((weight, sight))
    advice = []
    for server, words in heard.items():
        total = sum(weight for weight, _ in words)
        mean = sum(weight * sight.weight for weight, sight in words) / total
        bad = [(w, s) for w, s in words if s.state != CLOSED or s.jammed]
        believed = sum(w for w, _ in bad)
        open_us = -1
        if believed > total / 2 and believed >= BELIEVED:
            left_us = max(s.open_until_us - now_us if s.state == OPEN else 0 for _, s in bad)
            # One that was jammed is left alone for a moment; a cooldown that is over says nothing any more.
            open_us = left_us if left_us > 0 else JAM_US if any(s.jammed for _, s in bad) else -1
        advice.append(ServerAdvice(server, min(1.0, max(w for w, _ in words)), mean, open_us))
    advice.sort(key=lambda a: (-a.open_us, a.weight, a.server))
    return [
        a if place < most or a.open_us < 0 else ServerAdvice(a.server, a.confidence, a.weight, -1)
        for place, a in enumerate(advice)
    ]
