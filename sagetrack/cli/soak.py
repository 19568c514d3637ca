"""`sagetrack lab soak`: runs real processes under overlapping random faults, with an oracle for the rules."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

if TYPE_CHECKING:
    from sagetrack.lab.soak.verdict import SoakReport

PRINTED_VIOLATIONS = 20  # per seed


def soak(
    seed: Annotated[int, typer.Option(help="the first seed")] = 1,
    seeds: Annotated[int, typer.Option(help="number of seeds, run one after the other")] = 1,
    seconds: Annotated[float, typer.Option(help="duration of the faults per seed")] = 12.0,
    gateways: Annotated[int, typer.Option(help="gateway processes")] = 4,
    servers: Annotated[int, typer.Option(help="upstream server processes")] = 6,
    clients: Annotated[int, typer.Option(help="client processes, of ten clients each")] = 3,
    memory: Annotated[int, typer.Option(help="memory limit of a gateway in MB")] = 96,
    pipelined: Annotated[int, typer.Option(help="requests in flight on one connection")] = 16,
    folder: Annotated[
        Path | None, typer.Option(help="directory for the events and logs of all processes")
    ] = None,
) -> None:
    """Run real processes under random faults; each seed determines its faults, so a run can be repeated.

    Exit 0 only if no rule is violated in any seed.
    """
    from sagetrack.cli.lab_app import error_exit
    from sagetrack.lab.soak.fleet import SoakSize
    from sagetrack.lab.soak.run import create_run_folder, run_soak

    if seeds < 1 or seconds < 3.0 or min(gateways, servers, clients) < 1:
        raise error_exit(
            "--seeds, --gateways, --servers and --clients must be at least 1, --seconds at least 3"
        )
    size = SoakSize(gateways, servers, clients, seconds, memory_mb=memory, max_pipelined=pipelined)
    run_folder = folder if folder is not None else create_run_folder()
    failed_seeds = 0
    for number in range(seed, seed + seeds):
        report = run_soak(number, size, run_folder / f"seed-{number}")
        _print_report(report)
        failed_seeds += bool(report.violations)
    print(f"{seeds - failed_seeds} of {seeds} seeds passed; events and logs in {run_folder}")
    raise typer.Exit(1 if failed_seeds else 0)


def _print_report(report: SoakReport) -> None:
    """Print the verdict of one seed, and for a failed one its violations and faults."""
    verdict = f"{len(report.violations)} violations" if report.violations else "passed"
    print(
        f"seed {report.seed}: {verdict}, {report.served} of {report.sent} served, {len(report.faults)} "
        f"faults, {report.failed_system_calls} failed system calls, {report.peak_memory_mb:.0f} MB at most"
    )
    for limitation in report.limitations:
        print(f"  without {limitation}")
    for violation in report.violations[:PRINTED_VIOLATIONS]:
        print(f"  {violation}")
    if report.violations:
        for fault in report.faults:
            print(f"    {fault}")
