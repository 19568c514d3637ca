"""Goodput and server overload of a virtual fleet during and after a burst.

In the scenario, scenarios/fleet-burst.toml, a server with too many requests in flight for some time becomes
slow, and stays slow until its load has dropped for a while. This allows a metastable collapse: goodput falls
far below that of the usual load, and does not recover when the load returns to normal. The clock is
simulated, so a seed gives the same figures on every machine.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from msgspec.structs import replace

from sagetrack.lab.analysis.judges import find_violations
from sagetrack.lab.analysis.records import Records
from sagetrack.lab.analysis.violations import Violation
from sagetrack.lab.benchmarks.rows import rounded
from sagetrack.lab.model.scenario import Scenario, ScheduledFault, load_scenario, with_overrides
from sagetrack.lab.repository import SCENARIOS
from sagetrack.lab.virtual.simulation import simulate

SCENARIO = SCENARIOS / "fleet-burst.toml"
SAMPLE_INTERVAL_S = 0.25  # interval at which the requests in flight at servers are sampled
SETTLED_S = 4.0  # start of the period, within the run, in which the usual goodput is measured
RAMP_UP_S = 2.0  # initial part of the burst that is excluded from its goodput
RECOVERY_S = 5.0  # time after the end of the burst by which goodput has to have recovered
MAX_GATEWAYS = 1000
PERCENTILES = (("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0))


@dataclass(slots=True)
class OverloadFigures:
    """Figures of one run. Goodput is the number of requests served per second."""

    gateways: int
    burst_size: float  # multiple of the usual load
    seed: int
    goodput_before: float = 0.0
    served_share_before: float = 0.0  # served share of the requests before the burst
    goodput_during: float = 0.0  # goodput in the burst, relative to `goodput_before`
    goodput_after: float = 0.0  # goodput from RECOVERY_S after the burst, relative to `goodput_before`
    served_share: float = 0.0  # served share of all requests of the run
    # Percentiles, by name, of the requests in flight at a server during the burst.
    in_flight: dict[str, int] = field(default_factory=dict)
    overloaded_share: float = 0.0  # share of the load samples, over all servers, with the server overloaded

    def to_json(self) -> dict[str, Any]:
        """Return the figures rounded to 4 digits.

        The keys are kept for compatibility with stored results, so some differ from the field names.
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
    """Return the scenario with the given number of gateways, burst size and further settings.

    Raises:
        FileError: a value is out of range.
    """
    sizes = {"fleet.gateways": gateways, "trouble.1.size": size}
    return with_overrides(load_scenario(SCENARIO), {**sizes, **(settings or {})})


def percentiles_by_name(counts: Counter[int]) -> dict[str, int]:
    """Return percentiles of a distribution of integers, by name; all 0 if it is empty."""
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
    """All requests and the served requests of a run, by the second in which they were due."""

    def __init__(self, records: Records) -> None:
        self.sent: Counter[int] = Counter()
        self.served: Counter[int] = Counter()
        for _, _, _, _, _, outcome, due_us, _ in records.rows_of("request"):
            second = int(due_us // 1_000_000)
            self.sent[second] += 1
            self.served[second] += outcome == "served"

    def goodput(self, from_s: float, to_s: float) -> float:
        """Return the requests served per second, of those due between two whole seconds."""
        served = sum(self.served[second] for second in range(int(from_s), int(to_s)))
        return served / max(1, int(to_s) - int(from_s))

    def sent_between(self, from_s: float, to_s: float) -> int:
        """Return the number of requests due between two whole seconds."""
        return sum(self.sent[second] for second in range(int(from_s), int(to_s)))

    def served_share(self) -> float:
        """Return the served share of all requests."""
        return self.served.total() / max(1, self.sent.total())


def figures(records: Records, scenario: Scenario) -> OverloadFigures:
    """Compute the figures of a run from its records, which must include `load` samples."""
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
    for _, time_us, _, requests, _, is_overloaded in records.rows_of("load"):
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
    """Run the scenario and check all rules.

    Args:
        gateways: number of gateways.
        size: load during the burst as a multiple of the usual load.
        seed: seed of the random numbers.
        fault: name of the fault to inject into the gateways; empty for none.
        settings: further scenario settings, named as for `lab run --set`.
        dead_share: share of the gateways that die for good when the burst begins; the others are not told.

    Raises:
        FileError: a value is out of range.
    """
    scenario = scenario_for(gateways, size, settings)
    if dead_share:
        at_s = scenario.faults[0].at_s
        death = ScheduledFault(kind="gateway-death", at_s=at_s, seconds=scenario.seconds, share=dead_share)
        scenario = replace(scenario, faults=[*scenario.faults, death])
    records = simulate(scenario, seed, None, SAMPLE_INTERVAL_S, fault)
    return figures(records, scenario), find_violations(records, scenario)
