"""What all components of a world share: the scenario, the clock, the records and the random streams."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from sagetrack.lab.analysis.records import Records
from sagetrack.lab.model.scenario import Scenario


class ScheduledCall(Protocol):
    """A call that the clock will make."""

    def cancel(self) -> None:
        """Keep the call from being made."""
        ...


class Clock(Protocol):
    """Microseconds since the run began."""

    def now_us(self) -> int:
        """Return the current time."""
        ...

    def call_at(self, time_us: int, callback: Callable[[], None]) -> ScheduledCall:
        """Schedule a call; one whose time is past is made as soon as possible."""
        ...


class RandomStreams:
    """One random stream for each concern, so that draws of one do not change those of another."""

    def __init__(self, seed: int) -> None:
        # The names in the seeds decide what is drawn: stored results depend on them.
        self.fleet = random.Random(f"{seed}/fleet")
        self.load = random.Random(f"{seed}/load")
        self.faults = random.Random(f"{seed}/trouble")
        self.clients = random.Random(f"{seed}/client")
        self.client_identities = random.Random(f"{seed}/who")
        self.peers = random.Random(f"{seed}/peers")


@dataclass(frozen=True, slots=True)
class RunContext:
    """The scenario that is played, and where time, randomness and records come from."""

    scenario: Scenario
    seed: int
    clock: Clock
    records: Records
    random: RandomStreams

    @property
    def zone_count(self) -> int:
        """How many zones the fleet spans."""
        return len(self.scenario.fleet.zones)

    @property
    def rack_count(self) -> int:
        """How many racks the servers of the first fleet stand in."""
        fleet = self.scenario.fleet
        return max(1, -(-fleet.servers // fleet.rack_size))

    def record(self, kind: str, *fields: Any) -> None:
        """Add a record with the current time; `analysis.records` has the kinds, which are a stored form."""
        self.records.add(kind, self.clock.now_us(), *fields)

    def call_after(self, delay_us: int, callback: Callable[[], None]) -> None:
        """Schedule a call from now."""
        self.clock.call_at(self.clock.now_us() + delay_us, callback)

    def draw_delay_us(self, range_s: tuple[float, float]) -> int:
        """Draw a delay of discovery from a range in seconds."""
        return int(self.random.fleet.uniform(*range_s) * 1e6)
