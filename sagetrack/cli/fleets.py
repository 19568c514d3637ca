"""What commands share that play virtual fleets of many sizes: options checked, a row a play, one verdict."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Annotated, Any

import typer

if TYPE_CHECKING:
    from sagetrack.lab.analysis.violations import Violation

    # figures, a line of them, what was broken
    Play = Callable[[], tuple[dict[str, Any], str, list[Violation]]]

MOST_SEEDS = 1000

SeedOption = Annotated[int, typer.Option(help="what random figures follow from")]
SeedsOption = Annotated[int, typer.Option(help="how many, from that one on")]
FaultOption = Annotated[str, typer.Option(help="a deliberate fault of the gateways")]
JsonOption = Annotated[bool, typer.Option("--json", help="one JSON array as the last line")]


def sizes_of(text: str, most: int) -> list[int]:
    """Sizes of fleets, as `3,20,30`; exit 2 with one line for others."""
    from sagetrack.cli.lab_app import fail

    try:
        sizes = [int(size) for size in text.split(",")]
    except ValueError:
        raise fail(f"--gateways {text}: the form is 3,20,30") from None
    if min(sizes) < 1 or max(sizes) > most:
        raise fail(f"--gateways {text}: each is from 1 to {most}")
    return sizes


def seeds_of(seed: int, seeds: int) -> range:
    """Seeds to play; exit 2 with one line for numbers out of range."""
    from sagetrack.cli.lab_app import fail

    if not 0 <= seed < 2**63:
        raise fail(f"--seed {seed}: it is from 0 to 2^63 - 1")
    if not 1 <= seeds <= MOST_SEEDS:
        raise fail(f"--seeds {seeds}: they are from 1 to {MOST_SEEDS}")
    return range(seed, seed + seeds)


def check_fault(fault: str, known: tuple[str, ...]) -> None:
    """Exit 2 with one line for a deliberate fault that is not known."""
    from sagetrack.cli.lab_app import fail

    if fault and fault not in known:
        raise fail(f"--fault {fault}: allowed are {', '.join(known)}")


def play_all(what: str, header: str, plays: list[Play], as_json: bool) -> typer.Exit:
    """Play one after the other; exit 0 only if no rule is broken."""
    from sagetrack.cli.lab_app import INTERRUPTED, bar

    rows, broken = [], 0
    if not as_json:
        print(header)
    try:
        with bar(what, as_json) as tell:
            for at, play in enumerate(plays):
                tell(at / len(plays))
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
