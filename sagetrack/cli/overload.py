"""`sagetrack lab jams`: whether a burst makes a whole fleet's servers jam, and what goodput is left."""

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

LARGEST = 20.0  # times the usual load
HEADER = "gateways  load  seed  before: served  goodput in it  after  held 50 90 99 all  jammed  served"


def jams(
    gateways: Annotated[str, typer.Option(help="sizes of the fleet")] = "3,10,50,200",
    sizes: Annotated[str, typer.Option("--size", help="bursts, times the usual load")] = "1.5,2.5",
    seed: SeedOption = 1,
    seeds: SeedsOption = 1,
    fault: FaultOption = "",
    as_json: JsonOption = False,
) -> None:
    """Play a burst on a virtual fleet: goodput before, in and after it, and what servers hold meanwhile.

    Exit 0 only if no rule is broken.
    """
    from sagetrack.cli.lab_app import fail
    from sagetrack.lab.analysis.violations import Violation
    from sagetrack.lab.benchmarks.overload import MOST_GATEWAYS, measure
    from sagetrack.lab.virtual.faulty_gateways import JAM_FAULTS

    counts = sizes_of(gateways, MOST_GATEWAYS)
    try:
        bursts = [float(size) for size in sizes.split(",")]
    except ValueError:
        raise fail(f"--size {sizes}: the form is 1.5,2.5") from None
    if not all(1.0 <= size <= LARGEST for size in bursts):
        raise fail(f"--size {sizes}: each is from 1 to {LARGEST:g}")
    check_fault(fault, JAM_FAULTS)

    def play(count: int, size: float, number: int) -> tuple[dict[str, Any], str, list[Violation]]:
        made, violations = measure(count, size, number, fault)
        held = " ".join(f"{value:3}" for value in made.held.values())
        line = (
            f"{count:8} {size:5.1f} {number:5}  {made.served_before:13.3f}  {made.during:14.2f} "
            f"{made.after:6.2f}      {held}  {made.jammed:6.2f}  {made.served:6.3f}"
        )
        return made.plain(), line, violations

    numbers = seeds_of(seed, seeds)
    plays = [partial(play, count, size, n) for count in counts for size in bursts for n in numbers]
    raise play_all("jams", HEADER, list(plays), as_json)
