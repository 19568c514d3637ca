"""`sagetrack lab cold`: what a whole fleet sends to cold servers, against what these bear and could do."""

from __future__ import annotations

from functools import partial
from typing import Annotated, Any

import typer

from sagetrack.cli.fleets import (
    FaultOption,
    JsonOption,
    SeedOption,
    SeedsOption,
    check_fault,
    play_all,
    seeds_of,
    sizes_of,
)

HEADER = "case         gateways  seed  windows past  most of budget  used of could  answered  in time"


def cold(
    gateways: Annotated[str, typer.Option(help="sizes of the fleet")] = "3,20,30,200",
    cases: Annotated[str, typer.Option("--case", help="which cases, with commas; all: every one")] = "all",
    seed: SeedOption = 1,
    seeds: SeedsOption = 1,
    fault: FaultOption = "",
    as_json: JsonOption = False,
) -> None:
    """Aim a virtual fleet at cold servers: is the sum within what they bear, how much of them is used?

    Exit 0 only if no rule is broken.
    """
    from sagetrack.cli.lab_app import fail
    from sagetrack.lab.analysis.violations import Violation
    from sagetrack.lab.benchmarks.slow_start import CASES, MOST_GATEWAYS, measure
    from sagetrack.lab.virtual.faulty_gateways import COLD_FAULTS

    sizes = sizes_of(gateways, MOST_GATEWAYS)
    names = list(CASES) if cases == "all" else cases.split(",")
    if not set(names) <= set(CASES):
        raise fail(f"--case {cases}: there are {', '.join(CASES)}")
    numbers = seeds_of(seed, seeds)
    check_fault(fault, COLD_FAULTS)

    def play(size: int, name: str, number: int) -> tuple[dict[str, Any], str, list[Violation]]:
        made, violations = measure(CASES[name], size, number, fault)
        part = f"{made.sent:.0f} of {made.could:.0f}" if made.could else "-"
        line = (
            f"{name:12} {size:8}  {number:4}  {made.past_budget:4} of {made.windows:5}  "
            f"{made.most_calls:14.2f}  {made.used:4.0%} {part:>10} {made.answered:8}  "
            f"{made.in_time} of {made.asked}"
        )
        return made.plain(), line, violations

    plays = [partial(play, size, name, n) for name in names for size in sizes for n in numbers]
    raise play_all("cold", HEADER, list(plays), as_json)
