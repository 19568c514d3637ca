"""`sagetrack lab slow-start`, `overload`: simulate fleets of several sizes and print a row per run."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING, Annotated, Any, NamedTuple

import typer

from sagetrack.cli.lab_app import INTERRUPTED, check_fault, error_exit, parse_integers, progress_bar

if TYPE_CHECKING:
    from sagetrack.lab.analysis.violations import Violation

MAX_SEEDS = 1000
MAX_BURST = 20.0  # multiple of the usual load
OVERLOAD_HEADER = (
    "gateways  load  seed  before: served  goodput in it  after  held 50 90 99 all  jammed  served"
)
SLOW_START_HEADER = (
    "case         gateways  seed  windows past  most of budget  used of could  answered  in time"
)

GatewaysOption = Annotated[str, typer.Option(help="fleet sizes, comma-separated")]
SeedOption = Annotated[int, typer.Option(help="first seed of the random numbers")]
SeedsOption = Annotated[int, typer.Option(help="number of seeds")]
FaultOption = Annotated[str, typer.Option(help="inject this bug into the gateways")]
JsonOption = Annotated[bool, typer.Option("--json", help="print one JSON array as the last line")]


class PlayResult(NamedTuple):
    """The results of one run: its figures, a line that shows them, and the violations."""

    figures: dict[str, Any]
    line: str
    violations: list[Violation]


def parse_fleet_sizes(text: str, most: int) -> list[int]:
    """Parse the value of `--gateways`, such as `3,20,30`; exit with status 2 if it is invalid."""
    return parse_integers("--gateways", text, "3,20,30", most)


def seed_range(seed: int, seeds: int) -> range:
    """Return the seeds to run; exit with status 2 if a number is out of range."""
    if not 0 <= seed < 2**63:
        raise error_exit(f"--seed {seed}: it must be from 0 to 2^63 - 1")
    if not 1 <= seeds <= MAX_SEEDS:
        raise error_exit(f"--seeds {seeds}: they must be from 1 to {MAX_SEEDS}")
    return range(seed, seed + seeds)


def play_all(
    description: str, header: str, plays: Sequence[Callable[[], PlayResult]], as_json: bool
) -> typer.Exit:
    """Run the plays one after the other and print a row for each.

    Returns:
        The exit exception: status 0 if no rule is broken, 1 if one is, 130 after an interrupt.
    """
    rows, broken = [], 0
    if not as_json:
        print(header)
    try:
        with progress_bar(description, as_json) as progress:
            for done, play in enumerate(plays):
                progress(done / len(plays))
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
    cases: Annotated[str, typer.Option("--case", help="cases, comma-separated; all: every case")] = "all",
    seed: SeedOption = 1,
    seeds: SeedsOption = 1,
    fault: FaultOption = "",
    as_json: JsonOption = False,
) -> None:
    """Measure whether a simulated fleet exceeds the request budget of cold servers, and how much it uses.

    Exit 0 only if no rule is broken.
    """
    from sagetrack.lab.benchmarks.slow_start import CASES, MAX_GATEWAYS, measure
    from sagetrack.lab.virtual.faulty_gateways import SLOW_START_FAULTS

    sizes = parse_fleet_sizes(gateways, MAX_GATEWAYS)
    names = list(CASES) if cases == "all" else cases.split(",")
    if not set(names) <= set(CASES):
        raise error_exit(f"--case {cases}: allowed are {', '.join(CASES)}")
    numbers = seed_range(seed, seeds)
    check_fault(fault, SLOW_START_FAULTS)

    def play(size: int, name: str, number: int) -> PlayResult:
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
        return PlayResult(results.to_json(), line, violations)

    plays = [partial(play, size, name, n) for name in names for size in sizes for n in numbers]
    raise play_all("slow-start", SLOW_START_HEADER, plays, as_json)


def overload(
    gateways: GatewaysOption = "3,10,50,200",
    sizes: Annotated[
        str, typer.Option("--size", help="burst sizes, as multiples of the usual load")
    ] = "1.5,2.5",
    seed: SeedOption = 1,
    seeds: SeedsOption = 1,
    fault: FaultOption = "",
    as_json: JsonOption = False,
) -> None:
    """Simulate a burst: goodput before, during and after it, and the requests in flight at servers.

    Exit 0 only if no rule is broken.
    """
    from sagetrack.lab.benchmarks.overload import MAX_GATEWAYS, measure
    from sagetrack.lab.virtual.faulty_gateways import OVERLOAD_FAULTS

    counts = parse_fleet_sizes(gateways, MAX_GATEWAYS)
    try:
        bursts = [float(size) for size in sizes.split(",")]
    except ValueError:
        raise error_exit(f"--size {sizes}: the form is 1.5,2.5") from None
    if not all(1.0 <= size <= MAX_BURST for size in bursts):
        raise error_exit(f"--size {sizes}: each must be from 1 to {MAX_BURST:g}")
    check_fault(fault, OVERLOAD_FAULTS)

    def play(count: int, size: float, number: int) -> PlayResult:
        results, violations = measure(count, size, number, fault)
        held = " ".join(f"{value:3}" for value in results.in_flight.values())
        line = (
            f"{count:8} {size:5.1f} {number:5}  {results.served_share_before:13.3f}  "
            f"{results.goodput_during:14.2f} {results.goodput_after:6.2f}      {held}  "
            f"{results.overloaded_share:6.2f}  {results.served_share:6.3f}"
        )
        return PlayResult(results.to_json(), line, violations)

    numbers = seed_range(seed, seeds)
    plays = [partial(play, count, size, n) for count in counts for size in bursts for n in numbers]
    raise play_all("overload", OVERLOAD_HEADER, plays, as_json)
