"""The context that all components of a world share: scenario, clock, records and random streams."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from sagetrack.lab.analysis.records import Records
from sagetrack.lab.model.scenario import Scenario


class ScheduledCallback(Protocol):
    """A scheduled callback of the clock."""

    def cancel(self) -> None:
        """Cancel the callback."""
        ...


class Clock(Protocol):
    """The clock of a run; times are in microseconds since the run began."""

    def now_us(self) -> int:
        """Return the current time in microseconds."""
        ...

    def call_at(self, time_us: int, callback: Callable[[], None]) -> ScheduledCallback:
        """Schedule a callback; one whose time has passed runs as soon as possible."""
        ...


class RandomStreams:
    """One random stream per concern, so that draws for one concern do not affect those for another."""

    def __init__(self, seed: int) -> None:
        # The names in the seeds determine all draws and must not change: stored results depend on them.
        self.fleet = random.Random(f"{seed}/fleet")
        self.load = random.Random(f"{seed}/load")
        self.faults = random.Random(f"{seed}/trouble")
        self.clients = random.Random(f"{seed}/client")
        self.client_identities = random.Random(f"{seed}/who")
        self.peers = random.Random(f"{seed}/peers")


@dataclass(frozen=True, slots=True)
class RunContext:
    """The scenario of a run, its seed, and its sources of time and randomness."""

    scenario: Scenario
    seed: int
    clock: Clock
    records: Records
    random: RandomStreams

    @property
    def zone_count(self) -> int:
        """Number of zones of the fleet."""
        return len(self.scenario.fleet.zones)

    @property
    def rack_count(self) -> int:
        """Number of racks of the initial fleet, at least 1."""
        fleet = self.scenario.fleet
        return max(1, -(-fleet.servers // fleet.rack_size))

    def record(self, kind: str, *fields: Any) -> None:
        """Add a record with the current time; the kinds are defined in `analysis.records`."""
        self.records.add(kind, self.clock.now_us(), *fields)

    def call_after(self, delay_us: int, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.clock.call_at(self.clock.now_us() + delay_us, callback)

    def draw_delay_us(self, range_s: tuple[float, float]) -> int:
        """Draw a delay from a range in seconds."""
        return int(self.random.fleet.uniform(*range_s) * 1e6)
