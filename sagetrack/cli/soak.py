"""`sagetrack lab soak`: real processes under random faults that overlap, and an oracle of the rules."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer


def soak(
    seed: Annotated[int, typer.Option(help="the first seed")] = 1,
    seeds: Annotated[int, typer.Option(help="how many seeds, one after the other")] = 1,
    seconds: Annotated[float, typer.Option(help="of troubles, for each seed")] = 12.0,
    gateways: Annotated[int, typer.Option(help="gateway processes")] = 4,
    servers: Annotated[int, typer.Option(help="address server processes")] = 6,
    clients: Annotated[int, typer.Option(help="client processes, of ten clients each")] = 3,
    folder: Annotated[Path | None, typer.Option(help="keeps every party's events and log")] = None,
) -> None:
    """Play random faults on real processes; each seed draws its own, and is played again by its number.

    Exit 0 only if no rule is broken in any seed.
    """
    from sagetrack.cli.lab_app import fail
    from sagetrack.lab.soak.run import Size, fresh_folder
    from sagetrack.lab.soak.run import soak as play

    if seeds < 1 or seconds < 3.0 or min(gateways, servers, clients) < 1:
        raise fail("--seeds, --gateways, --servers and --clients are at least 1, --seconds at least 3")
    size = Size(gateways, servers, clients, seconds)
    kept = folder if folder is not None else fresh_folder()
    broken = 0
    for number in range(seed, seed + seeds):
        report = play(number, size, kept / f"seed-{number}")
        verdict = "passed" if not report.breaks else f"{len(report.breaks)} breaks"
        print(
            f"seed {number}: {verdict}, {report.served} of {report.sent} served, {len(report.troubles)} "
            f"troubles, {report.failed_calls} failed system calls"
        )
        for line in report.without:
            print(f"  without {line}")
        for one in report.breaks[:20]:
            print(f"  {one}")
        if report.breaks:
            for trouble in report.troubles:
                print(f"    {trouble}")
        broken += bool(report.breaks)
    print(f"{seeds - broken} of {seeds} seeds passed; events and logs in {kept}")
    raise typer.Exit(1 if broken else 0)
