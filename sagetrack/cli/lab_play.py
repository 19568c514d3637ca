"""`sagetrack lab list`, `run`, `plot`: list scenarios, run one and check its rules, plot a run."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from sagetrack.cli.lab_app import (
    INTERRUPTED,
    MAX_PRINTED_FAILURES,
    SetOption,
    check_fault,
    error_exit,
    load_altered_scenario,
    progress_bar,
)

if TYPE_CHECKING:
    from sagetrack.lab.analysis.figures import Figures
    from sagetrack.lab.analysis.records import Records
    from sagetrack.lab.analysis.violations import Violation
    from sagetrack.lab.model.scenario import Scenario

PLOT_SAMPLE_S = 0.25  # interval between samples of the servers' load


def list_scenarios(
    folder: Annotated[str, typer.Argument(help="the directory of the scenarios")] = "",
) -> None:
    """List the scenarios, one per line."""
    from sagetrack.lab.model.scenario import load_scenario
    from sagetrack.lab.repository import SCENARIOS

    place = Path(folder) if folder else SCENARIOS
    paths = sorted(place.glob("*.toml"))
    if not paths:
        raise error_exit(f"{place}: this directory contains no scenarios (*.toml)")
    for path in paths:
        print(f"{path.stem:16} {load_scenario(path).about}")


def run(
    scenario: Annotated[str, typer.Argument(help="a scenario file")],
    virtual: Annotated[
        bool, typer.Option("--virtual", help="simulate the clock and the network, without sockets")
    ] = False,
    seed: Annotated[int, typer.Option(help="seed of the random numbers", min=0)] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="print one JSON object as the last line")] = False,
    settings: SetOption = None,
    records_file: Annotated[
        str, typer.Option("--records", help="write all records to this file (.jsonl or .gz)")
    ] = "",
    plot: Annotated[str, typer.Option(help="plot the run to this file (.png or .svg)")] = "",
    fault: Annotated[str, typer.Option(help="inject this bug into the gateways; requires --virtual")] = "",
) -> None:
    """Run a scenario; exit 0 only if no rule is broken and every expectation holds."""
    from sagetrack.lab.analysis.figures import compute_figures
    from sagetrack.lab.analysis.judges import find_violations
    from sagetrack.lab.virtual.faulty_gateways import FAULTS

    played = load_altered_scenario(scenario, settings)
    check_fault(fault, FAULTS)
    if fault and not virtual:
        raise error_exit("--fault requires --virtual")
    sample_s = PLOT_SAMPLE_S if plot else 0.0
    try:
        if virtual:
            records = play_virtual(played, seed, as_json, sample_s, fault)
        else:
            records = play_real(played, seed, as_json, sample_s)
    except KeyboardInterrupt:
        print("sagetrack: interrupted; nothing is left running", file=sys.stderr)
        raise typer.Exit(INTERRUPTED) from None
    violations = find_violations(records, played)
    results = compute_figures(records, played, violations)
    write_files(records, records_file, plot)
    if as_json:
        print(to_json(records, results, violations))
    else:
        print_results(played, results, violations, records)
    raise typer.Exit(0 if not violations and results.expect_held and not results.late else 1)


def write_files(records: Records, records_file: str, plot: str) -> None:
    """Write the records and the plot to their files; exit with status 2 if that fails."""
    try:
        if records_file:
            records.write(records_file)
        if plot:
            from sagetrack.lab.analysis.plots import draw_plot

            draw_plot(records, plot)
    except (OSError, ValueError) as error:
        raise error_exit(f"the run is complete, but its results cannot be written: {error}") from None


def to_json(records: Records, results: Figures, violations: list[Violation]) -> str:
    """Return the results of a run as one JSON object."""
    row = {name: records.header[name] for name in ("scenario", "seed", "driver")}
    row |= results.to_json()
    row |= {key: value for key, value in records.header.items() if key.startswith("gateway_")}
    if results.dns_queries:
        row["http_service"] = round(results.service, 4)
    row["service_by_member"] = {name: round(part, 4) for name, part in results.by_member.items()}
    row["violations"] = [str(violation) for violation in violations[:MAX_PRINTED_FAILURES]]
    return json.dumps(row)


def play_virtual(scenario: Scenario, seed: int, quiet: bool, sample_s: float, fault: str) -> Records:
    """Run in virtual time with a progress bar; an error of the lab exits with status 2."""
    from sagetrack.lab.virtual.simulation import simulate

    with progress_bar(scenario.name, quiet) as progress:
        try:
            return simulate(scenario, seed, progress, sample_s, fault)
        except ValueError as error:
            raise error_exit(str(error)) from None


def play_real(scenario: Scenario, seed: int, quiet: bool, sample_s: float) -> Records:
    """Run in real time with a progress bar; an error of the lab exits with status 2."""
    from sagetrack.lab.errors import LabError
    from sagetrack.lab.processes.run import play

    try:
        with progress_bar(scenario.name, quiet) as progress:
            return play(scenario, seed, lambda share, world: progress(share), sample_s)
    except LabError as error:
        raise error_exit(str(error)) from None


def print_results(
    scenario: Scenario, results: Figures, violations: list[Violation], records: Records
) -> None:
    """Print the figures as a table, and the first violations."""
    from rich.console import Console
    from rich.table import Table

    out = Console()
    table = Table(title=f"{scenario.name}, seed {records.header['seed']}, {records.header['driver']} time")
    for column in ("", "service"):
        table.add_column(column, justify="right" if column else "left")
    table.add_row("all", f"{results.service:.3f}")
    for name, share in results.by_class.items():
        table.add_row(f"class {name}", f"{share:.3f}")
    for name, share in results.by_member.items():
        table.add_row(f"member {name}", f"{share:.3f}")
    table.add_row("worst 5 s", f"{results.worst_window:.3f}")
    out.print(table)
    for violation in violations[:MAX_PRINTED_FAILURES]:
        out.print(f"[red]broken[/red] {violation}", highlight=False)
    if len(violations) > MAX_PRINTED_FAILURES:
        out.print(f"and {len(violations) - MAX_PRINTED_FAILURES} more")
    for words in results.expect_missed:
        out.print(f"[red]missed[/red] {words}", highlight=False)
    if results.late:
        out.print(
            "[red]late[/red] the load was sent late: the results of this run are not valid", highlight=False
        )
    print(verdict(results))


def verdict(results: Figures) -> str:
    """Summarize the results of a run in one line."""
    broken = sum(results.rules_broken.values())
    held = "expectations held" if results.expect_held else "expectations missed"
    return (
        f"{results.requests} calls: {results.served} served, {results.too_late} too late, "
        f"{results.refused} refused, {results.failed + results.unanswered} failed; "
        f"p50 {results.p50_ms:.0f} ms, p99 {results.p99_ms:.0f} ms; {broken} rules broken; {held}"
    )


def plot(
    records_file: Annotated[str, typer.Argument(help="records written by `lab run --records`")],
    out: Annotated[str, typer.Argument(help="output file (.png or .svg)")],
) -> None:
    """Plot a run from its records."""
    from sagetrack.lab.analysis.plots import draw_plot
    from sagetrack.lab.analysis.records import read_records

    try:
        draw_plot(read_records(records_file), out)
    except (OSError, ValueError) as error:
        raise error_exit(str(error)) from None
    print(out)
