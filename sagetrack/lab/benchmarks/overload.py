"""A virtual fleet under more load than usual: whether its servers are overloaded, and what goodput is left.

The scenario is scenarios/fleet-burst.toml: servers that hold too many requests for a while turn slow and stay
so until they have been left alone. A collapse sustains itself: goodput falls far under what it was with less
load, and does not return when the load does. The clock is simulated: the same figures for the same seed
everywhere.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from msgspec.structs import replace

from sagetrack.lab.analysis.judges import judge
from sagetrack.lab.analysis.records import Records
from sagetrack.lab.analysis.violations import Violation
from sagetrack.lab.benchmarks.rows import rounded
from sagetrack.lab.model.scenario import Scenario, ScheduledFault, load_scenario, with_overrides
from sagetrack.lab.repository import SCENARIOS
from sagetrack.lab.virtual.simulation import simulate

SCENARIO = SCENARIOS / "fleet-burst.toml"
SAMPLE_INTERVAL_S = 0.25  # between two samples of what servers hold
SETTLED_S = 4.0  # of the run, after which the usual goodput is taken
RAMP_UP_S = 2.0  # of the burst, after which its goodput is taken
RECOVERY_S = 5.0  # after the burst's end, by when goodput has to be back
MAX_GATEWAYS = 1000
PERCENTILES = (("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0))


@dataclass(slots=True)
class OverloadFigures:
    """What a burst came to. Goodput is the number of requests that are served in a second."""

    gateways: int
    burst_size: float  # times the usual load
    seed: int
    goodput_before: float = 0.0
    served_share_before: float = 0.0  # share of the requests before the burst
    goodput_during: float = 0.0  # goodput in the burst, as a share of `goodput_before`
    goodput_after: float = 0.0  # the same from RECOVERY_S after the burst on
    served_share: float = 0.0  # share of all requests of the run
    in_flight: dict[str, int] = field(default_factory=dict)  # at a server in the burst: percentiles by name
    overloaded_share: float = 0.0  # share of servers and samples in which a server was overloaded

    def to_json(self) -> dict[str, Any]:
        """Return the figures rounded to 4 digits.

        The keys stay as they were stored from the first; the fields have today's names.
        """
        row = {
            "gateways": self.gateways,
            "size": self.burst_size,
            "seed": self.seed,
            "before": self.goodput_before,
            "served_before": self.served_share_before,
            "during": self.goodput_during,
            "after": self.goodput_after,
            "served": self.served_share,
            "held": self.in_flight,
            "jammed": self.overloaded_share,
        }
        return rounded(row, 4)


def scenario_for(gateways: int, size: float, settings: dict[str, Any] | None = None) -> Scenario:
    """Return the scenario with so many gateways, a burst of this size and further settings.

    Raises:
        FileError: a value is out of range.
    """
    sizes = {"fleet.gateways": gateways, "trouble.1.size": size}
    return with_overrides(load_scenario(SCENARIO), {**sizes, **(settings or {})})


def percentiles_by_name(counts: Counter[int]) -> dict[str, int]:
    """Return the percentiles of counted whole numbers by name; zeros where there are none."""
    result = {name: 0 for name, _ in PERCENTILES}
    missing = list(PERCENTILES)
    total = counts.total()
    seen = 0
    for value in sorted(counts):
        seen += counts[value]
        while missing and seen >= missing[0][1] * total:
            name, _ = missing.pop(0)
            result[name] = value
    return result


class _RequestCounts:
    """Requests of a run, and those of them that were served, by the second in which they were sent."""

    def __init__(self, records: Records) -> None:
        self.sent: Counter[int] = Counter()
        self.served: Counter[int] = Counter()
        for _, _, _, _, _, outcome, due_us, _ in records.of("request"):
            second = int(due_us // 1_000_000)
            self.sent[second] += 1
            self.served[second] += outcome == "served"

    def goodput(self, from_s: float, to_s: float) -> float:
        """Return the requests served in a second between two whole seconds."""
        served = sum(self.served[second] for second in range(int(from_s), int(to_s)))
        return served / max(1, int(to_s) - int(from_s))

    def sent_between(self, from_s: float, to_s: float) -> int:
        """Return the requests that were sent between two whole seconds."""
        return sum(self.sent[second] for second in range(int(from_s), int(to_s)))

    def served_share(self) -> float:
        """Return the share of all requests that were served."""
        return self.served.total() / max(1, self.sent.total())


def figures(records: Records, scenario: Scenario) -> OverloadFigures:
    """Work out the figures from a run's records, with `load` sampled."""
    burst = scenario.faults[0]
    burst_end_s = burst.at_s + burst.seconds
    counts = _RequestCounts(records)
    result = OverloadFigures(scenario.fleet.gateways, burst.size, int(records.header["seed"]))
    result.goodput_before = counts.goodput(SETTLED_S, burst.at_s)
    settled_s = int(burst.at_s) - int(SETTLED_S)
    sent_before = counts.sent_between(SETTLED_S, burst.at_s)
    result.served_share_before = result.goodput_before * settled_s / max(1, sent_before)
    usual_goodput = max(1e-9, result.goodput_before)
    result.goodput_during = counts.goodput(burst.at_s + RAMP_UP_S, burst_end_s) / usual_goodput
    result.goodput_after = counts.goodput(burst_end_s + RECOVERY_S, scenario.seconds) / usual_goodput
    result.served_share = counts.served_share()
    in_flight: Counter[int] = Counter()
    overloaded = samples = 0
    for _, time_us, _, requests, _, is_overloaded in records.of("load"):
        samples += 1
        overloaded += is_overloaded
        if burst.at_s <= time_us / 1e6 < burst_end_s:
            in_flight[requests] += 1
    result.in_flight = percentiles_by_name(in_flight)
    result.overloaded_share = overloaded / max(1, samples)
    return result


def measure(
    gateways: int,
    size: float,
    seed: int,
    fault: str = "",
    settings: dict[str, Any] | None = None,
    dead_share: float = 0.0,
) -> tuple[OverloadFigures, list[Violation]]:
    """Play the burst and judge it by all rules.

    Args:
        gateways: their number.
        size: of the burst, times the usual load.
        seed: of all that is drawn.
        fault: a deliberate fault of the gateways, by its name; none if empty.
        settings: further ones of the scenario, as `lab run --set` has them.
        dead_share: of the gateways that die as the burst begins and stay dead; the others don't learn it.

    Raises:
        FileError: a value is out of range.
    """
    scenario = scenario_for(gateways, size, settings)
    if dead_share:
        at_s = scenario.faults[0].at_s
        death = ScheduledFault(kind="gateway-death", at_s=at_s, seconds=scenario.seconds, share=dead_share)
        scenario = replace(scenario, faults=[*scenario.faults, death])
    records = simulate(scenario, seed, None, SAMPLE_INTERVAL_S, fault)
    return figures(records, scenario), judge(records, scenario)
