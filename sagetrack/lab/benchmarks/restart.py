"""What a gateway's restart costs: service in its first seconds, beside one that never died, by paired seeds.

Each seed is played four times: the gateway never dies, it comes back without help, it comes back and asks
its peers, it comes back with a store of its own. Counted are the requests whose first attempt went to the
gateways that died, from when they were up again.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import NamedTuple

from sagetrack.lab.analysis.judges import judge
from sagetrack.lab.analysis.records import Records
from sagetrack.lab.model.scenario import Scenario, with_overrides

MEASURED_S = 10.0  # after a gateway is up again
VARIANTS = ("never", "without", "with", "store")
VARIANT_LABELS = {"without": "without help", "with": "with help", "store": "with a store"}
Play = Callable[[Scenario, int], Records]


class Restart(NamedTuple):
    """A gateway that came back."""

    gateway: int
    up_us: int

    def covers(self, gateway: int, time_us: int, seconds: float) -> bool:
        """Return whether a time is within the gateway's first seconds."""
        return gateway == self.gateway and self.up_us <= time_us < self.up_us + seconds * 1e6


@dataclass(slots=True)
class SeedResult:
    """One seed in its variants."""

    seed: int
    service: dict[str, float] = field(default_factory=dict)  # share of the priority weight served, by variant
    latency_ms: dict[str, float] = field(default_factory=dict)  # mean, by variant
    violations: int = 0  # of rules, in all variants


def variants(scenario: Scenario) -> dict[str, Scenario]:
    """Return what is played, by the names in `VARIANTS`.

    Raises:
        ValueError: no gateway dies in the scenario.
    """
    deaths = [n for n, fault in enumerate(scenario.faults, 1) if fault.kind == "gateway-death"]
    if not deaths:
        raise ValueError(f"{scenario.name}: no gateway dies in it")
    no_saved_state = {"peers.use": False, "store.use": False}
    no_deaths = {f"trouble.{n}.kind": "reload" for n in deaths}
    return {
        "never": with_overrides(scenario, no_saved_state | no_deaths),
        "without": with_overrides(scenario, no_saved_state),
        "with": with_overrides(scenario, no_saved_state | {"peers.use": True}),
        "store": with_overrides(scenario, no_saved_state | {"store.use": True}),
    }


def restarts(records: Records) -> list[Restart]:
    """Return the gateways that came back, and when."""
    return [
        Restart(gateway, time_us)
        for _, time_us, gateway, state in records.of("gateway")
        if state == "up" and time_us > 0
    ]


def service_after_restarts(
    records: Records, scenario: Scenario, counted: list[Restart], seconds: float = MEASURED_S
) -> tuple[float, float]:
    """Return the service and the mean latency of requests in the gateways' first seconds.

    Returns:
        The share of the requests' priority weight that was served, and the mean latency in milliseconds of
        the requests that were served.
    """
    first_attempts = {row[8]: row for row in records.of("ask") if row[9] == 1}  # by request
    total_weight = 0.0
    served_weight = 0.0
    latencies_ms = []
    for _, time_us, request, class_index, _, outcome, due_us, _ in records.of("request"):
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
    """Play one seed in its variants."""
    result = SeedResult(seed)
    scenarios = variants(scenario)
    records = {name: play(variant, seed) for name, variant in scenarios.items()}
    reference = restarts(records["with"])
    for name, played in records.items():
        counted = reference if name == "never" else restarts(played)
        result.service[name], result.latency_ms[name] = service_after_restarts(played, scenario, counted)
        result.violations += len(judge(played, scenarios[name]))
    return result


def play_seeds(
    scenario: Scenario, seeds: range, play: Play, workers: int, progress: Callable[[float], None]
) -> list[SeedResult]:
    """Play all seeds, so many at a time; `progress` is called with the share that is done."""
    results = []
    with ThreadPoolExecutor(workers) as pool:
        for result in pool.map(lambda seed: play_seed(scenario, seed, play), seeds):
            results.append(result)
            progress(len(results) / len(seeds))
    return results


def summary(results: list[SeedResult]) -> list[str]:
    """Return lines for people, with the spread over seeds."""
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
    lines.append(f"lost {', '.join(losses)}, over {len(results)} seeds; {violations} rules broken")
    return lines
