"""The flight recorder's record of one second: counts by class, latencies, what happened to servers. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

VERSION = 1
STEPS = 64  # of a latency's histogram: its bound doubles with every second step, from 64 us on
EVENTS = 50  # of one second that are kept word for word


def step_of(latency_us: int) -> int:
    """The place of a latency in the histogram."""
    value = max(1, latency_us >> 6)
    top = value.bit_length() - 1
    half = (value >> (top - 1)) & 1 if top else 0
    return min(STEPS - 1, 2 * top + half)


def bound_us(step: int) -> int:
    """The latency that this step begins at."""
    top, half = divmod(step, 2)
    return (1 << top) * 64 + half * ((1 << top) * 32)


class Second(msgspec.Struct, array_like=True):
    """One second as it is stored, MessagePack; later versions add fields at the end."""

    version: int
    at_s: int  # Unix time
    answered: list[int]  # by class
    refused: list[int]
    failed: list[int]
    sent: list[int]  # attempts
    outcomes: dict[str, int]  # of attempts, by how they ended
    latencies: list[dict[int, int]]  # by class: of attempts that were answered, step to count
    events: list[str]
    lost: int  # events beyond those


@dataclass(slots=True)
class Recorder:
    """Gathers a second at a time."""

    classes: int
    outcomes: dict[str, int] = field(default_factory=dict)
    latencies: list[dict[int, int]] = field(default_factory=list)
    events: list[str] = field(default_factory=list)
    lost: int = 0
    before: list[list[int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.latencies = [{} for _ in range(self.classes)]
        self.before = [[0] * self.classes for _ in range(4)]

    def attempt(self, klass: int, outcome: str, latency_us: int, good: bool) -> None:
        """An attempt is over."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        if good:
            steps, step = self.latencies[klass], step_of(latency_us)
            steps[step] = steps.get(step, 0) + 1

    def event(self, line: str) -> None:
        if len(self.events) < EVENTS:
            self.events.append(line)
        else:
            self.lost += 1

    def second(self, at_s: int, counters: Sequence[Sequence[int]]) -> bytes | None:
        """The second that ends: counters (answered, refused, failed, sent by class) are since the start.

        None if nothing happened.
        """
        rows = zip(counters, self.before, strict=True)
        grown = [[a - b for a, b in zip(now, before, strict=True)] for now, before in rows]
        self.before = [list(row) for row in counters]
        if not self.outcomes and not self.events and not any(map(any, grown)):
            return None
        answered, refused, failed, sent = grown
        made = Second(
            VERSION,
            at_s,
            answered,
            refused,
            failed,
            sent,
            self.outcomes,
            self.latencies,
            self.events,
            self.lost,
        )
        self.outcomes, self.events, self.lost = {}, [], 0
        self.latencies = [{} for _ in range(self.classes)]
        return msgspec.msgpack.encode(made)


def read_second(value: bytes) -> Second:
    """msgspec.DecodeError for what is none, ValueError for one of a later version."""
    made: Second = msgspec.msgpack.decode(value, type=Second)
    if made.version > VERSION:
        raise ValueError(f"a record of version {made.version}; this program knows {VERSION}")
    return made
