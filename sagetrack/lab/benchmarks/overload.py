"""A virtual fleet under more load than usual: whether its servers jam, and what goodput is left.

The scenario is scenarios/fleet-burst.toml: servers that are crowded for a while turn slow and stay so until
they have been left alone. A collapse sustains itself: goodput falls far under what it was with less load, and
does not return when the load does. The clock is simulated: the same figures for the same seed everywhere.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict, dataclass, field
from typing import Any

from msgspec.structs import replace

from sagetrack.lab.analysis.judges import judge
from sagetrack.lab.analysis.records import Records
from sagetrack.lab.analysis.violations import Violation
from sagetrack.lab.model.scenario import Scenario, Trouble, altered, load
from sagetrack.lab.repository import SCENARIOS
from sagetrack.lab.virtual.simulation import play

SCENARIO = SCENARIOS / "fleet-burst.toml"
SAMPLE_S = 0.25  # between two looks at what servers hold
SETTLED_S = 4.0  # of the run, after which the usual goodput is taken
RISEN_S = 2.0  # of the burst, after which its goodput is taken
BACK_S = 5.0  # after the burst's end, by when goodput has to be back
MOST_GATEWAYS = 1000


@dataclass(slots=True)
class JamFigures:
    """What a burst came to. Goodput is what is served in a second."""

    gateways: int
    size: float  # times the usual load
    seed: int
    before: float = 0.0  # served a second
    served_before: float = 0.0  # share of what was asked for
    during: float = 0.0  # share of `before`
    after: float = 0.0  # share of `before`, from BACK_S after the end on
    served: float = 0.0  # share of what was asked for, over the whole run
    held: dict[str, int] = field(default_factory=dict)  # at a server in the burst, by all: percentiles
    jammed: float = 0.0  # share of servers and moments in which a server was jammed

    def plain(self) -> dict[str, Any]:
        """Rounded, for JSON."""
        return {k: round(v, 4) if isinstance(v, float) else v for k, v in asdict(self).items()}


def scenario_for(gateways: int, size: float, more: dict[str, Any] | None = None) -> Scenario:
    """The scenario at a size; `checked.FileError` for values out of range."""
    return altered(load(SCENARIO), {"fleet.gateways": gateways, "trouble.1.size": size, **(more or {})})


def percentiles(values: Counter[int]) -> dict[str, int]:
    """Of counted whole numbers; zeros where there are none."""
    found, total, seen = {}, values.total(), 0
    wanted = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)]
    for value in sorted(values):
        seen += values[value]
        while wanted and seen >= wanted[0][1] * total:
            found[wanted.pop(0)[0]] = value
    return {name: found.get(name, 0) for name in ("p50", "p90", "p99", "max")}


def figures(records: Records, scenario: Scenario) -> JamFigures:
    """Work out the figures from a run's records, with `load` sampled."""
    burst = scenario.troubles[0]
    made = JamFigures(scenario.fleet.gateways, burst.size, int(records.header["seed"]))
    asked: Counter[int] = Counter()
    served: Counter[int] = Counter()
    for row in records.of("request"):
        second = int(row[6] // 1_000_000)
        asked[second] += 1
        served[second] += row[5] == "served"
    end = burst.at_s + burst.seconds

    def goodput(from_s: float, to_s: float) -> float:
        return sum(served[s] for s in range(int(from_s), int(to_s))) / max(1, int(to_s) - int(from_s))

    made.before = goodput(SETTLED_S, burst.at_s)
    whole = sum(asked[s] for s in range(int(SETTLED_S), int(burst.at_s)))
    made.served_before = made.before * (int(burst.at_s) - int(SETTLED_S)) / max(1, whole)
    made.during = goodput(burst.at_s + RISEN_S, end) / max(1e-9, made.before)
    made.after = goodput(end + BACK_S, scenario.seconds) / max(1e-9, made.before)
    made.served = served.total() / max(1, asked.total())
    held: Counter[int] = Counter()
    jammed = looks = 0
    for row in records.of("load"):
        looks += 1
        jammed += row[5]
        if burst.at_s <= row[1] / 1e6 < end:
            held[row[3]] += 1
    made.held, made.jammed = percentiles(held), jammed / max(1, looks)
    return made


def measure(
    gateways: int,
    size: float,
    seed: int,
    fault: str = "",
    more: dict[str, Any] | None = None,
    dead: float = 0.0,
) -> tuple[JamFigures, list[Violation]]:
    """Play the burst and judge it by all rules; `checked.FileError` for values out of range.

    `dead`: so many of the gateways die as the burst begins and stay dead, and the others are not told.
    """
    scenario = scenario_for(gateways, size, more)
    if dead:
        at_s = scenario.troubles[0].at_s
        death = Trouble(kind="gateway-death", at_s=at_s, seconds=scenario.seconds, part=dead)
        scenario = replace(scenario, troubles=[*scenario.troubles, death])
    records = play(scenario, seed, None, SAMPLE_S, fault)
    return figures(records, scenario), judge(records, scenario)
