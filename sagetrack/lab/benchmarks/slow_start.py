"""A virtual fleet aimed at cold servers: whether the sum of what all gateways send stays within what these
bear, and how much of what these could do is used.

Each case is scenarios/cold-fleet.toml, altered. The clock is simulated: the same figures for the same case,
size and seed on every machine.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from sagetrack.lab.analysis.judges import judge
from sagetrack.lab.analysis.records import Records
from sagetrack.lab.analysis.violations import Violation
from sagetrack.lab.analysis.warm_up import warm_up_windows
from sagetrack.lab.model.scenario import Scenario, Trouble, altered, load
from sagetrack.lab.model.world import Listed, Try, World
from sagetrack.lab.repository import SCENARIOS
from sagetrack.lab.virtual.simulation import SimClock, VirtualGateway, VirtualGateways, play
from sagetrack.policy.events import (
    EndpointList,
    Event,
    FleetSizeChanged,
    ListKind,
    ObservationsReceived,
    ProcessCountChanged,
)

SCENARIO = SCENARIOS / "cold-fleet.toml"
FIRST_US = 12_000_000  # of a cold server's life: what it could do then is held against what it was sent
STEP_US = 100_000  # in which work that is there and capacity are compared
MOST_GATEWAYS = 1000
OVERLAP_S = 6.0  # that an old and a new process both take calls


@dataclass(slots=True, frozen=True)
class Case:
    """One way in which cold servers come."""

    name: str
    about: str
    settings: dict[str, Any] = field(default_factory=dict)  # of the scenario, as `lab run --set` has them
    troubles: tuple[Trouble, ...] = ()
    number_late_s: float = 0.0  # until all know how many gateways live; 0: nobody is told
    overlap_s: float = 0.0  # that both processes of an upgrade take calls
    orderly: bool = False  # gateways that end keep at their end what they know; else once a second

    def scenario(self, gateways: int, seconds: float = 0.0) -> Scenario:
        """What is played; `checked.FileError` for values out of range. `seconds`: another length."""
        settings = {"fleet.gateways": gateways, **self.settings}
        base = altered(load(SCENARIO), settings | ({"seconds": seconds} if seconds else {}))
        troubles = [t for t in (*base.troubles, *self.troubles) if t.at_s < base.seconds]
        return msgspec.structs.replace(base, name=f"{base.name}-{self.name}", troubles=troubles)


FEW = {"trouble.1.part": 0.12}
SHORT = {"class.1.aim_ms": 1000, "class.1.deadline_ms": 3000}  # attempts are cut short: places come free soon


def dies(at_s: float, seconds: float, part: float) -> Trouble:
    return Trouble(kind="gateway-death", at_s=at_s, seconds=seconds, part=part)


JUMP = Trouble(kind="burst", at_s=3.5, seconds=14.5, size=2.5)  # right as the cold ones are told of
RELEASE = tuple(dies(4.0 + 0.6 * n, 0.1, 1.0) for n in range(12))
CASES = {
    case.name: case
    for case in (
        Case("most", "six in ten servers cold, steady load"),
        Case("few", "three of 25 servers cold, steady load", FEW),
        Case("most-jump", "six in ten cold, short aims, load jumps 2.5 times", SHORT, (JUMP,)),
        Case("few-jump", "three of 25 cold, load jumps 2.5 times", FEW | {"load.rate": 120}, (JUMP,)),
        Case(
            "deaths",
            "a third of the gateways is killed four times; the number is known 5 s late",
            {},
            tuple(dies(at_s, 0.3, 0.34) for at_s in (4.5, 5.5, 7.0, 10.0)),
            number_late_s=5.0,
        ),
        Case(
            "restarts",
            "all gateways end in order and start again every 0.6 s",
            SHORT,
            (JUMP, *RELEASE),
            orderly=True,
        ),
        Case(
            "late-number",
            "four in ten gateways die and return; the others know 5 s later",
            {},
            (dies(0.5, 6.0, 0.4),),
            number_late_s=5.0,
        ),
        Case(
            "overlap",
            "all gateways are upgraded: old and new process take calls for 6 s",
            {},
            (Trouble(kind="gateway-upgrade", at_s=3.5, seconds=1, part=1.0),),
            overlap_s=OVERLAP_S,
        ),
    )
}


class ColdGateways(VirtualGateways):
    """Gateways that are told late how many of them live, and whose old process takes calls beside the new."""

    def __init__(
        self, case: Case, world: World, clock: SimClock, make: Callable[..., VirtualGateway]
    ) -> None:
        super().__init__(world, clock, make)
        self.case = case
        self.olds: dict[int, VirtualGateway] = {}  # by gateway: the process that leaves
        self.turn = 0  # of the two processes

    def both(self, number: int, event: Event) -> None:
        """An event for every process of a gateway."""
        for process in (self.up.get(number), self.olds.get(number)):
            if process is not None:
                process.handle(event)

    def kill(self, gateway: int) -> None:
        if self.case.orderly:
            sights, latencies = self.up[gateway].balancer.own_observations()
            self.kept[gateway] = ObservationsReceived(tuple(sights), tuple(latencies))
        super().kill(gateway)
        self.number_changed()

    def revive(self, gateway: int) -> None:
        super().revive(gateway)
        self.number_changed()

    def number_changed(self) -> None:
        """All who live learn late how many they are now."""
        if self.case.number_late_s:
            alive = len(self.up)
            due = self.clock.now_us() + int(self.case.number_late_s * 1e6)
            self.clock.at(due, lambda: self.all_learn(alive))

    def all_learn(self, alive: int) -> None:
        for number in sorted(self.up):
            self.both(number, FleetSizeChanged(alive))

    def upgrade(self, gateway: int) -> None:
        old = self.up[gateway]
        super().upgrade(gateway)
        self.olds[gateway] = old
        self.both(gateway, ProcessCountChanged(2))

        def leave() -> None:
            del self.olds[gateway]
            self.both(gateway, ProcessCountChanged(1))

        self.clock.at(self.clock.now_us() + int(self.case.overlap_s * 1e6), leave)

    def ask(self, this: Try) -> None:
        old = self.olds.get(this.gateway)
        self.turn += 1
        if old is None or self.turn % 2:
            super().ask(this)
            return
        self.clock.at(self.clock.now_us() + self._client_us(), lambda: old.take(this))

    def leave(self, this: Try) -> None:
        super().leave(this)
        if (old := self.olds.get(this.gateway)) is not None:
            old.leave(this)

    def tell(self, gateway: int, entries: list[Listed], whole: bool) -> None:
        super().tell(gateway, entries, whole)
        if (old := self.olds.get(gateway)) is not None:
            kind = ListKind.FULL if whole else ListKind.DELTA
            old.handle(EndpointList(kind, self._listed(gateway, entries)))


@dataclass(slots=True)
class ColdFigures:
    """What cold servers were sent, over all gateways. Shares are of 1, calls of mean work."""

    gateways: int
    case: str
    seed: int
    cold: int  # servers that started cold
    fell: int  # of these
    windows: int = 0
    past_budget: int = 0  # windows with more than N + 2 x root of N + 2 calls
    most_calls: float = 0.0  # of a window's budget that was sent
    most_work: float = 0.0  # the same by the work that was drawn for each call
    could: float = (
        0.0  # calls that cold servers could have done in their first 12 s, as far as there was work
    )
    sent: float = 0.0  # that reached them then, no more of them than a server can do
    answered: int = 0  # by them then, and taken by the client
    asked: int = 0  # first tries in that time
    in_time: int = 0  # requests asked for in that time that were answered within their aim

    @property
    def used(self) -> float:
        """Share of what cold servers could have done that was used; 1 where there was no work for them."""
        return min(1.0, self.sent / self.could) if self.could else 1.0

    def plain(self) -> dict[str, Any]:
        """For JSON."""
        names = self.__dataclass_fields__
        rounded = {n: round(v, 4) if isinstance(v := getattr(self, n), float) else v for n in names}
        return {**rounded, "used": round(self.used, 4)}


def figures(records: Records, scenario: Scenario, case: str = "") -> ColdFigures:
    """Work out the figures from a run's records alone.

    The work that is there for cold servers is what is asked for by first tries in the second before, beyond
    what the warm servers can do; what they could have done is the smaller of that and of their capacity, step
    by step, as they warm.
    """
    fleet = scenario.fleet
    starts = {row[2]: row for row in records.of("start")}
    cold = {number: row for number, row in starts.items() if row[5]}
    stops = {row[2]: row for row in records.of("stop")}
    fell = sum(stops[number][3] == "fell" for number in cold if number in stops)
    made = ColdFigures(fleet.gateways, case, int(records.header["seed"]), len(cold), fell)
    for window in warm_up_windows(records, scenario):
        made.windows += 1
        made.past_budget += window.calls > window.budget
        made.most_calls = max(made.most_calls, window.calls / window.budget)
        made.most_work = max(made.most_work, window.work / window.budget)
    if not cold:
        return made
    mean = scenario.mean_work_ms * 1000
    first = min(row[1] for row in cold.values())
    asked: dict[int, float] = defaultdict(float)  # by step: work asked for, in microseconds
    spans = range(first // STEP_US, (first + FIRST_US) // STEP_US)
    for row in records.of("ask"):
        if row[9] == 1:
            asked[row[1] // STEP_US] += scenario.classes[row[4]].work_ms * 1000
            made.asked += row[1] // STEP_US in spans
    second = 1_000_000 // STEP_US
    could: dict[int, float] = defaultdict(float)  # by cold server
    for step in spans:
        at = step * STEP_US
        there = math.fsum(asked[step - n] for n in range(second)) / second
        warm = math.fsum(
            row[6] for n, row in starts.items() if n not in cold and (n not in stops or stops[n][1] > at)
        )
        rates = {
            n: row[6] * warmth(scenario, at + STEP_US // 2 - row[1])
            for n, row in cold.items()
            if row[1] <= at and (n not in stops or stops[n][1] > at)
        }
        whole = math.fsum(rates.values()) * STEP_US
        share = min(1.0, max(0.0, there - warm * STEP_US) / whole) if whole else 0.0
        made.could += share * whole / mean
        for number, rate in rates.items():
            could[number] += rate * STEP_US / mean
    last = first + FIRST_US
    came: dict[int, int] = defaultdict(int)
    at_last: dict[str, int] = {}  # by call: the server that took it last
    for row in records.of("recv"):
        if row[5] == "taken":
            at_last[row[2]] = row[3]
            came[row[3]] += row[3] in cold and row[1] < last
    made.sent = math.fsum(min(float(count), could[n]) for n, count in came.items() if n in cold)
    made.answered = sum(
        row[4] == "served" and row[1] < last and at_last.get(row[2]) in cold for row in records.of("answer")
    )
    made.in_time = sum(row[5] == "served" and row[6] // STEP_US in spans for row in records.of("request"))
    return made


def warmth(scenario: Scenario, age_us: int) -> float:
    """Share of its capacity that a server which started cold has at that age, as the model has it."""
    fleet = scenario.fleet
    if age_us >= fleet.cold_s * 1e6:
        return 1.0
    return fleet.cold_share + (1.0 - fleet.cold_share) * max(0, age_us) / (fleet.cold_s * 1e6)


def measure(
    case: Case,
    gateways: int,
    seed: int,
    fault: str = "",
    tell: Callable[[float], None] | None = None,
    seconds: float = 0.0,
) -> tuple[ColdFigures, list[Violation]]:
    """Play a case and judge it by all rules; `checked.FileError` for sizes out of range."""
    scenario = case.scenario(gateways, seconds)
    records = play(
        scenario,
        seed,
        tell,
        fault=fault,
        fleet=lambda world, clock, make: ColdGateways(case, world, clock, make),
    )
    return figures(records, scenario, case.name), judge(records, scenario)
