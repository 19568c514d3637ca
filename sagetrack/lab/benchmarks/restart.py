"""Effect of a gateway restart: service in the first seconds after it, compared with no restart at all.

Each seed runs in four variants: the gateway never dies, it restarts without any state, it restarts and
requests state from its peers, or it restarts with a persistent store. Only requests whose first attempt goes
to a restarted gateway within `MEASURED_S` after its restart count.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import NamedTuple

from sagetrack.lab.analysis.judges import find_violations
from sagetrack.lab.analysis.records import Records
from sagetrack.lab.model.scenario import Scenario, with_overrides

MEASURED_S = 10.0  # time after a restart in which requests count
VARIANTS = ("never", "without", "with", "store")
VARIANT_LABELS = {"without": "without saved state", "with": "with state from peers", "store": "with a store"}
Play = Callable[[Scenario, int], Records]


class Restart(NamedTuple):
    """A restart of a gateway."""

    gateway: int
    up_us: int

    def covers(self, gateway: int, time_us: int, seconds: float) -> bool:
        """Return whether `time_us` at this gateway is within `seconds` after the restart."""
        return gateway == self.gateway and self.up_us <= time_us < self.up_us + seconds * 1e6


@dataclass(slots=True)
class SeedResult:
    """Results of one seed, over all variants."""

    seed: int
    service: dict[str, float] = field(default_factory=dict)  # served share of the priority weight, by variant
    latency_ms: dict[str, float] = field(default_factory=dict)  # mean latency, by variant
    violations: int = 0  # rule violations over all variants


def variants(scenario: Scenario) -> dict[str, Scenario]:
    """Return the scenario of each variant, keyed by the names in `VARIANTS`.

    Raises:
        ValueError: the scenario has no gateway death.
    """
    deaths = [n for n, fault in enumerate(scenario.faults, 1) if fault.kind == "gateway-death"]
    if not deaths:
        raise ValueError(f"{scenario.name}: the scenario has no gateway death")
    no_saved_state = {"peers.use": False, "store.use": False}
    no_deaths = {f"trouble.{n}.kind": "reload" for n in deaths}
    return {
        "never": with_overrides(scenario, no_saved_state | no_deaths),
        "without": with_overrides(scenario, no_saved_state),
        "with": with_overrides(scenario, no_saved_state | {"peers.use": True}),
        "store": with_overrides(scenario, no_saved_state | {"store.use": True}),
    }


def restarts(records: Records) -> list[Restart]:
    """Return the restarts of gateways in a run."""
    return [
        Restart(gateway, time_us)
        for _, time_us, gateway, state in records.rows_of("gateway")
        if state == "up" and time_us > 0
    ]


def service_after_restarts(
    records: Records, scenario: Scenario, counted: list[Restart], seconds: float = MEASURED_S
) -> tuple[float, float]:
    """Return the service and the mean latency of the requests within `seconds` after the given restarts.

    Returns:
        The served share of the requests' priority weight, and the mean latency of the served requests in
        milliseconds.
    """
    first_attempts = {row[8]: row for row in records.rows_of("ask") if row[9] == 1}  # keyed by request
    total_weight = 0.0
    served_weight = 0.0
    latencies_ms = []
    for _, time_us, request, class_index, _, outcome, due_us, _ in records.rows_of("request"):
        _, sent_us, _, gateway, *_ = first_attempts[request]
        if not any(restart.covers(gateway, sent_us, seconds) for restart in counted):
            continue
        weight = scenario.classes[class_index].priority_weight
        total_weight += weight
        if outcome == "served":
            served_weight += weight
            latencies_ms.append((time_us - due_us) / 1000)
    service = served_weight / total_weight if total_weight else 1.0
    return service, statistics.fmean(latencies_ms) if latencies_ms else 0.0


def play_seed(scenario: Scenario, seed: int, play: Play) -> SeedResult:
    """Run one seed in all variants."""
    result = SeedResult(seed)
    scenarios = variants(scenario)
    records = {name: play(variant, seed) for name, variant in scenarios.items()}
    reference = restarts(records["with"])  # the measured times of the variant without restarts
    for name, played in records.items():
        counted = reference if name == "never" else restarts(played)
        result.service[name], result.latency_ms[name] = service_after_restarts(played, scenario, counted)
        result.violations += len(find_violations(played, scenarios[name]))
    return result


def play_seeds(
    scenario: Scenario, seeds: range, play: Play, workers: int, progress: Callable[[float], None]
) -> list[SeedResult]:
    """Run all seeds, `workers` at a time; `progress` is called with the share of finished seeds."""
    results = []
    with ThreadPoolExecutor(workers) as pool:
        for result in pool.map(lambda seed: play_seed(scenario, seed, play), seeds):
            results.append(result)
            progress(len(results) / len(seeds))
    return results


def summary(results: list[SeedResult]) -> list[str]:
    """Return a human-readable summary: means over the seeds, with their range and standard deviation."""
    lines = []
    for name in VARIANTS:
        service = [result.service[name] for result in results]
        latency_ms = statistics.fmean(result.latency_ms[name] for result in results)
        lines.append(
            f"{name:8} service {statistics.fmean(service):.4f} ({min(service):.4f} to {max(service):.4f}), "
            f"mean latency {latency_ms:.0f} ms"
        )
    losses = []
    for name, description in VARIANT_LABELS.items():
        lost = [result.service["never"] - result.service[name] for result in results]
        spread = statistics.stdev(lost) if len(lost) > 1 else 0.0
        losses.append(f"{description} {statistics.fmean(lost):+.4f} (sd {spread:.4f})")
    violations = sum(result.violations for result in results)
    lines.append(f"service lost {', '.join(losses)}, over {len(results)} seeds; {violations} rule violations")
    return lines
