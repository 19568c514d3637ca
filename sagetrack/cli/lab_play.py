"""`sagetrack lab list`, `run`, `plot`: scenarios played once, judged and drawn."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from sagetrack.cli.lab_app import INTERRUPTED, SHOWN, SetOption, bar, fail, scenario_from

if TYPE_CHECKING:
    from sagetrack.lab.analysis.figures import Figures
    from sagetrack.lab.analysis.records import Records
    from sagetrack.lab.analysis.violations import Violation
    from sagetrack.lab.model.scenario import Scenario


def list_scenarios(folder: Annotated[str, typer.Argument(help="where they lie")] = "") -> None:
    """Scenarios, a line each."""
    from sagetrack.lab.model.scenario import load
    from sagetrack.lab.repository import SCENARIOS

    place = Path(folder) if folder else SCENARIOS
    paths = sorted(place.glob("*.toml"))
    if not paths:
        raise fail(f"{place}: no scenarios there")
    for path in paths:
        print(f"{path.stem:16} {load(path).about}")


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
    if fault and fault not in FAULTS:
        raise fail(f"--fault {fault}: allowed are {', '.join(FAULTS)}")
    if fault and not virtual:
        raise fail("--fault needs --virtual")
    sample_s = 0.25 if plot else 0.0
    try:
        if virtual:
            from sagetrack.lab.virtual.simulation import play as play_virtual

            with bar(played.name, as_json) as tell:
                try:
                    records: Records = play_virtual(played, seed, tell, sample_s, fault)
                except ValueError as error:
                    raise fail(str(error)) from None
        else:
            records = play_real(played, seed, as_json, sample_s)
    except KeyboardInterrupt:
        print("sagetrack: ended; nothing is left running", file=sys.stderr)
        raise typer.Exit(INTERRUPTED) from None
    violations = judge(records, played)
    made = figures(records, played, violations)
    try:
        if records_file:
            records.write(records_file)
        if plot:
            from sagetrack.lab.analysis.plots import draw

            draw(records, plot)
    except (OSError, ValueError) as error:
        raise fail(f"the run is played, but cannot be written: {error}") from None
    if as_json:
        header = {name: records.header[name] for name in ("scenario", "seed", "driver")}
        extra = {k: v for k, v in records.header.items() if k.startswith("gateway_")}
        shown = [str(violation) for violation in violations[:SHOWN]]
        extra |= {"http_service": round(made.service, 4)} if made.dns_queries else {}
        extra |= {"service_by_member": {name: round(part, 4) for name, part in made.by_member.items()}}
        print(json.dumps({**header, **made.plain(), **extra, "violations": shown}))
    else:
        show(played, made, violations, records)
    raise typer.Exit(0 if not violations and made.expect_held and not made.late else 1)


def play_real(scenario: Scenario, seed: int, quiet: bool, sample_s: float) -> Records:
    """Play in real time behind a bar; one plain line and exit 2 if the lab cannot."""
    from sagetrack.lab.errors import LabError
    from sagetrack.lab.processes.fleet import play

    try:
        with bar(scenario.name, quiet) as tell:
            return play(scenario, seed, lambda share, world: tell(share), sample_s)
    except LabError as error:
        raise fail(str(error)) from None


def show(scenario: Scenario, made: Figures, violations: list[Violation], records: Records) -> None:
    """The figures for people."""
    from rich.console import Console
    from rich.table import Table

    out = Console()
    table = Table(title=f"{scenario.name}, seed {records.header['seed']}, {records.header['driver']} time")
    for column in ("", "service"):
        table.add_column(column, justify="right" if column else "left")
    table.add_row("all", f"{made.service:.3f}")
    for name, share in made.by_class.items():
        table.add_row(f"class {name}", f"{share:.3f}")
    for name, share in made.by_member.items():
        table.add_row(f"member {name}", f"{share:.3f}")
    table.add_row("worst 5 s", f"{made.worst_window:.3f}")
    out.print(table)
    for violation in violations[:SHOWN]:
        out.print(f"[red]broken[/red] {violation}", highlight=False)
    if len(violations) > SHOWN:
        out.print(f"and {len(violations) - SHOWN} more")
    for words in made.expect_missed:
        out.print(f"[red]missed[/red] {words}", highlight=False)
    if made.late:
        out.print("[red]late[/red] the load ran late: this run is not to be scored", highlight=False)
    print(verdict(made))


def verdict(made: Figures) -> str:
    """A run in one line."""
    broken = sum(made.rules_broken.values())
    held = "expectations held" if made.expect_held else "expectations missed"
    return (
        f"{made.requests} calls: {made.served} served, {made.too_late} too late, {made.refused} refused, "
        f"{made.failed + made.unanswered} failed; p50 {made.p50_ms:.0f} ms, p99 {made.p99_ms:.0f} ms; "
        f"{broken} rules broken; {held}"
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
