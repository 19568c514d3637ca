"""What a gateway's restart costs: its service in its first seconds, beside one that never died, by paired
seeds.

Each seed is played four times: the gateway never dies, it comes back without help, it comes back and asks
the others, it comes back with a store of its own. Counted are the requests whose first try went to the
gateways that died, from when they were up again.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from sagetrack.lab.analysis.judges import judge
from sagetrack.lab.analysis.records import Records
from sagetrack.lab.model.scenario import Scenario, altered

FIRST_S = 10.0
VARIANTS = ("never", "without", "with", "store")
Play = Callable[[Scenario, int], Records]


@dataclass(slots=True)
class Pair:
    """One seed: shares of the worth that was served in time, and mean latencies in milliseconds."""

    seed: int
    service: dict[str, float]
    latency_ms: dict[str, float]
    broken: int  # rules, in all of them


def variants(scenario: Scenario) -> dict[str, Scenario]:
    """The three plays; ValueError if no gateway dies in the scenario."""
    deaths = [n for n, trouble in enumerate(scenario.faults, 1) if trouble.kind == "gateway-death"]
    if not deaths:
        raise ValueError(f"{scenario.name}: no gateway dies in it")
    off = {"peers.use": False, "store.use": False}
    spared = {f"trouble.{n}.kind": "reload" for n in deaths}
    return {
        "never": altered(scenario, off | spared),
        "without": altered(scenario, off),
        "with": altered(scenario, off | {"peers.use": True}),
        "store": altered(scenario, off | {"store.use": True}),
    }


def revivals(records: Records) -> list[tuple[int, int]]:
    """Gateways that came back, and when."""
    return [(row[2], row[1]) for row in records.of("gateway") if row[3] == "up" and row[1] > 0]


def first_seconds(
    records: Records, scenario: Scenario, back: list[tuple[int, int]], seconds: float = FIRST_S
) -> tuple[float, float]:
    """Service and mean latency of what was first asked of these gateways, in their first seconds."""
    first = {row[8]: row for row in records.of("ask") if row[9] == 1}
    worth = got = 0.0
    times = []
    for row in records.of("request"):
        _, time, request, class_index, _, outcome, due, _ = row
        ask = first[request]
        if not any(ask[3] == gateway and up <= ask[1] < up + seconds * 1e6 for gateway, up in back):
            continue
        worth += scenario.classes[class_index].priority_weight
        if outcome == "served":
            got += scenario.classes[class_index].priority_weight
            times.append((time - due) / 1000)
    return got / worth if worth else 1.0, statistics.fmean(times) if times else 0.0


def pair(scenario: Scenario, seed: int, play: Play) -> Pair:
    """One seed in its variants."""
    made = Pair(seed, {}, {}, 0)
    plays = variants(scenario)
    records = {name: play(variant, seed) for name, variant in plays.items()}
    back = revivals(records["with"])
    for name, of in records.items():
        mine = back if name == "never" else revivals(of)
        made.service[name], made.latency_ms[name] = first_seconds(of, scenario, mine)
        made.broken += len(judge(of, plays[name]))
    return made


def pairs(
    scenario: Scenario, seeds: range, play: Play, lanes: int, progress: Callable[[float], None]
) -> list[Pair]:
    """All seeds, so many at a time."""
    done = 0
    made = []
    with ThreadPoolExecutor(lanes) as pool:
        for one in pool.map(lambda seed: pair(scenario, seed, play), seeds):
            made.append(one)
            done += 1
            progress(done / len(seeds))
    return made


def summary(made: list[Pair]) -> list[str]:
    """For people, with the spread over seeds."""
    lines = []
    for name in VARIANTS:
        service = [one.service[name] for one in made]
        latency = statistics.fmean(one.latency_ms[name] for one in made)
        lines.append(
            f"{name:8} service {statistics.fmean(service):.4f} ({min(service):.4f} to {max(service):.4f}), "
            f"mean latency {latency:.0f} ms"
        )
    told = []
    for what, name in (("without help", "without"), ("with help", "with"), ("with a store", "store")):
        lost = [one.service["never"] - one.service[name] for one in made]
        spread = statistics.stdev(lost) if len(lost) > 1 else 0.0
        told.append(f"{what} {statistics.fmean(lost):+.4f} (sd {spread:.4f})")
    broken = sum(one.broken for one in made)
    lines.append(f"lost {', '.join(told)}, over {len(made)} seeds; {broken} rules broken")
    return lines
