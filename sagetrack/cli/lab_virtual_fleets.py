"""`sagetrack lab slow-start`, `overload`: virtual fleets of many sizes, a row for each play, one verdict."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING, Annotated, Any, NamedTuple

import typer

from sagetrack.cli.lab_app import INTERRUPTED, check_fault, fail, integers_of, progress_bar

if TYPE_CHECKING:
    from sagetrack.lab.analysis.violations import Violation

MOST_SEEDS = 1000
LARGEST_BURST = 20.0  # times the usual load
OVERLOAD_HEADER = (
    "gateways  load  seed  before: served  goodput in it  after  held 50 90 99 all  jammed  served"
)
SLOW_START_HEADER = (
    "case         gateways  seed  windows past  most of budget  used of could  answered  in time"
)

GatewaysOption = Annotated[str, typer.Option(help="sizes of the fleet")]
SeedOption = Annotated[int, typer.Option(help="what random figures follow from")]
SeedsOption = Annotated[int, typer.Option(help="how many, from that one on")]
FaultOption = Annotated[str, typer.Option(help="a deliberate fault of the gateways")]
JsonOption = Annotated[bool, typer.Option("--json", help="one JSON array as the last line")]


class Played(NamedTuple):
    """One play: its figures, a line that shows them, and what was broken."""

    figures: dict[str, Any]
    line: str
    violations: list[Violation]


def fleet_sizes_of(text: str, most: int) -> list[int]:
    """The value of `--gateways`, as `3,20,30`; exit 2 with one line for others."""
    return integers_of("--gateways", text, "3,20,30", most)


def seeds_of(seed: int, seeds: int) -> range:
    """Seeds to play; exit 2 with one line for numbers out of range."""
    if not 0 <= seed < 2**63:
        raise fail(f"--seed {seed}: it is from 0 to 2^63 - 1")
    if not 1 <= seeds <= MOST_SEEDS:
        raise fail(f"--seeds {seeds}: they are from 1 to {MOST_SEEDS}")
    return range(seed, seed + seeds)


def play_all(what: str, header: str, plays: Sequence[Callable[[], Played]], as_json: bool) -> typer.Exit:
    """Play one after the other.

    Returns:
        The exit: 0 only if no rule is broken, 130 after an interrupt.
    """
    rows, broken = [], 0
    if not as_json:
        print(header)
    try:
        with progress_bar(what, as_json) as progress:
            for at, play in enumerate(plays):
                progress(at / len(plays))
                figures, line, violations = play()
                broken += len(violations)
                rows.append({**figures, "broken": [str(violation) for violation in violations]})
                if as_json:
                    continue
                print(line, flush=True)
                for violation in violations[:1]:
                    print(f"  broken {len(violations)} times, first: {violation}", flush=True)
    except KeyboardInterrupt:
        return typer.Exit(INTERRUPTED)
    if as_json:
        print(json.dumps(rows))
    return typer.Exit(1 if broken else 0)


def slow_start(
    gateways: GatewaysOption = "3,20,30,200",
    cases: Annotated[str, typer.Option("--case", help="which cases, with commas; all: every one")] = "all",
    seed: SeedOption = 1,
    seeds: SeedsOption = 1,
    fault: FaultOption = "",
    as_json: JsonOption = False,
) -> None:
    """Measure what a virtual fleet sends to cold servers: within their budget, and how much of them is used.

    Exit 0 only if no rule is broken.
    """
    from sagetrack.lab.benchmarks.slow_start import CASES, MAX_GATEWAYS, measure
    from sagetrack.lab.virtual.faulty_gateways import SLOW_START_FAULTS

    sizes = fleet_sizes_of(gateways, MAX_GATEWAYS)
    names = list(CASES) if cases == "all" else cases.split(",")
    if not set(names) <= set(CASES):
        raise fail(f"--case {cases}: there are {', '.join(CASES)}")
    numbers = seeds_of(seed, seeds)
    check_fault(fault, SLOW_START_FAULTS)

    def play(size: int, name: str, number: int) -> Played:
        results, violations = measure(CASES[name], size, number, fault)
        part = (
            f"{results.received_requests:.0f} of {results.usable_requests:.0f}"
            if results.usable_requests
            else "-"
        )
        line = (
            f"{name:12} {size:8}  {number:4}  {results.windows_over_budget:4} of {results.windows:5}  "
            f"{results.max_window_requests:14.2f}  {results.used_share:4.0%} {part:>10} "
            f"{results.answered:8}  {results.served_in_time} of {results.first_attempts}"
        )
        return Played(results.to_json(), line, violations)

    plays = [partial(play, size, name, n) for name in names for size in sizes for n in numbers]
    raise play_all("slow-start", SLOW_START_HEADER, plays, as_json)


def overload(
    gateways: GatewaysOption = "3,10,50,200",
    sizes: Annotated[str, typer.Option("--size", help="bursts, times the usual load")] = "1.5,2.5",
    seed: SeedOption = 1,
    seeds: SeedsOption = 1,
    fault: FaultOption = "",
    as_json: JsonOption = False,
) -> None:
    """Play a burst on a virtual fleet: goodput before, in and after it, and what servers hold meanwhile.

    Exit 0 only if no rule is broken.
    """
    from sagetrack.lab.benchmarks.overload import MAX_GATEWAYS, measure
    from sagetrack.lab.virtual.faulty_gateways import OVERLOAD_FAULTS

    counts = fleet_sizes_of(gateways, MAX_GATEWAYS)
    try:
        bursts = [float(size) for size in sizes.split(",")]
    except ValueError:
        raise fail(f"--size {sizes}: the form is 1.5,2.5") from None
    if not all(1.0 <= size <= LARGEST_BURST for size in bursts):
        raise fail(f"--size {sizes}: each is from 1 to {LARGEST_BURST:g}")
    check_fault(fault, OVERLOAD_FAULTS)

    def play(count: int, size: float, number: int) -> Played:
        results, violations = measure(count, size, number, fault)
        held = " ".join(f"{value:3}" for value in results.in_flight.values())
        line = (
            f"{count:8} {size:5.1f} {number:5}  {results.served_share_before:13.3f}  "
            f"{results.goodput_during:14.2f} {results.goodput_after:6.2f}      {held}  "
            f"{results.overloaded_share:6.2f}  {results.served_share:6.3f}"
        )
        return Played(results.to_json(), line, violations)

    numbers = seeds_of(seed, seeds)
    plays = [partial(play, count, size, n) for count in counts for size in bursts for n in numbers]
    raise play_all("overload", OVERLOAD_HEADER, plays, as_json)
