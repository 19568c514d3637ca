"""`sagetrack lab list`, `run`, `plot`: scenarios played once, exit_with and drawn."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from sagetrack.cli.lab_app import (
    INTERRUPTED,
    SHOWN,
    SetOption,
    check_fault,
    fail,
    progress_bar,
    scenario_from,
)

if TYPE_CHECKING:
    from sagetrack.lab.analysis.figures import Figures
    from sagetrack.lab.analysis.records import Records
    from sagetrack.lab.analysis.violations import Violation
    from sagetrack.lab.model.scenario import Scenario

PLOT_SAMPLE_S = 0.25  # between samples of the servers' load


def list_scenarios(folder: Annotated[str, typer.Argument(help="their folder")] = "") -> None:
    """List the scenarios, a line each."""
    from sagetrack.lab.model.scenario import load_scenario
    from sagetrack.lab.repository import SCENARIOS

    place = Path(folder) if folder else SCENARIOS
    paths = sorted(place.glob("*.toml"))
    if not paths:
        raise fail(f"{place}: no scenarios there")
    for path in paths:
        print(f"{path.stem:16} {load_scenario(path).about}")


def run(
    scenario: Annotated[str, typer.Argument(help="a scenario's file")],
    virtual: Annotated[bool, typer.Option("--virtual", help="on a simulated clock, without sockets")] = False,
    seed: Annotated[int, typer.Option(help="what random figures follow from", min=0)] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="one JSON object as the last line")] = False,
    settings: SetOption = None,
    records_file: Annotated[
        str, typer.Option("--records", help="write all records here (.jsonl or .gz)")
    ] = "",
    plot: Annotated[str, typer.Option(help="draw the run here (.png or .svg)")] = "",
    fault: Annotated[str, typer.Option(help="a deliberate fault of the gateways; with --virtual")] = "",
) -> None:
    """Play a scenario and judge it; exit 0 only if no rule is broken and every expectation holds."""
    from sagetrack.lab.analysis.figures import figures
    from sagetrack.lab.analysis.judges import judge
    from sagetrack.lab.virtual.faulty_gateways import FAULTS

    played = scenario_from(scenario, settings)
    check_fault(fault, FAULTS)
    if fault and not virtual:
        raise fail("--fault needs --virtual")
    sample_s = PLOT_SAMPLE_S if plot else 0.0
    try:
        if virtual:
            records = play_virtual(played, seed, as_json, sample_s, fault)
        else:
            records = play_real(played, seed, as_json, sample_s)
    except KeyboardInterrupt:
        print("sagetrack: ended; nothing is left running", file=sys.stderr)
        raise typer.Exit(INTERRUPTED) from None
    violations = judge(records, played)
    results = figures(records, played, violations)
    write_files(records, records_file, plot)
    if as_json:
        print(json_of(records, results, violations))
    else:
        show(played, results, violations, records)
    raise typer.Exit(0 if not violations and results.expect_held and not results.late else 1)


def write_files(records: Records, records_file: str, plot: str) -> None:
    """Write the records and the plot where they are to go; exit 2 with one line if that fails."""
    try:
        if records_file:
            records.write(records_file)
        if plot:
            from sagetrack.lab.analysis.plots import draw

            draw(records, plot)
    except (OSError, ValueError) as error:
        raise fail(f"the run is played, but cannot be written: {error}") from None


def json_of(records: Records, results: Figures, violations: list[Violation]) -> str:
    """A run as one JSON object."""
    row = {name: records.header[name] for name in ("scenario", "seed", "driver")}
    row |= results.plain()
    row |= {key: value for key, value in records.header.items() if key.startswith("gateway_")}
    if results.dns_queries:
        row["http_service"] = round(results.service, 4)
    row["service_by_member"] = {name: round(part, 4) for name, part in results.by_member.items()}
    row["violations"] = [str(violation) for violation in violations[:SHOWN]]
    return json.dumps(row)


def play_virtual(scenario: Scenario, seed: int, quiet: bool, sample_s: float, fault: str) -> Records:
    """Play in virtual time behind a bar; one plain line and exit 2 if the lab cannot."""
    from sagetrack.lab.virtual.simulation import simulate

    with progress_bar(scenario.name, quiet) as progress:
        try:
            return simulate(scenario, seed, progress, sample_s, fault)
        except ValueError as error:
            raise fail(str(error)) from None


def play_real(scenario: Scenario, seed: int, quiet: bool, sample_s: float) -> Records:
    """Play in real time behind a bar; one plain line and exit 2 if the lab cannot."""
    from sagetrack.lab.errors import LabError
    from sagetrack.lab.processes.run import play

    try:
        with progress_bar(scenario.name, quiet) as progress:
            return play(scenario, seed, lambda share, world: progress(share), sample_s)
    except LabError as error:
        raise fail(str(error)) from None


def show(scenario: Scenario, results: Figures, violations: list[Violation], records: Records) -> None:
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
    for violation in violations[:SHOWN]:
        out.print(f"[red]broken[/red] {violation}", highlight=False)
    if len(violations) > SHOWN:
        out.print(f"and {len(violations) - SHOWN} more")
    for words in results.expect_missed:
        out.print(f"[red]missed[/red] {words}", highlight=False)
    if results.late:
        out.print("[red]late[/red] the load ran late: this run is not to be scored", highlight=False)
    print(verdict(results))


def verdict(results: Figures) -> str:
    """A run's results in one line."""
    broken = sum(results.rules_broken.values())
    held = "expectations held" if results.expect_held else "expectations missed"
    return (
        f"{results.requests} calls: {results.served} served, {results.too_late} too late, "
        f"{results.refused} refused, {results.failed + results.unanswered} failed; "
        f"p50 {results.p50_ms:.0f} ms, p99 {results.p99_ms:.0f} ms; {broken} rules broken; {held}"
    )


def plot(
    records_file: Annotated[str, typer.Argument(help="records that `lab run --records` wrote")],
    out: Annotated[str, typer.Argument(help="a .png or .svg")],
) -> None:
    """Draw a run from its records."""
    from sagetrack.lab.analysis.plots import draw
    from sagetrack.lab.analysis.records import read

    try:
        draw(read(records_file), out)
    except (OSError, ValueError) as error:
        raise fail(str(error)) from None
    print(out)
