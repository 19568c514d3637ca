"""`sagetrack lab sweep`, `compare`, `restart`: run scenarios over seeds and settings, and compare results."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from sagetrack.cli.lab_app import (
    INTERRUPTED,
    SetOption,
    error_exit,
    load_altered_scenario,
    parse_set_options,
    parse_toml_value,
    progress_bar,
)

if TYPE_CHECKING:
    from sagetrack.lab.analysis.records import Records
    from sagetrack.lab.model.scenario import Scenario


def sweep(
    scenario: Annotated[list[str], typer.Argument(help="scenario files")],
    out: Annotated[str, typer.Option(help="results file, a JSON line per run; a sweep resumes from it")],
    seeds: Annotated[str, typer.Option(help="number of seeds, from 1 on, or FIRST-LAST")] = "10",
    settings: Annotated[
        list[str] | None,
        typer.Option("--set", help="values to combine, for example load.use=0.5,0.7; repeatable"),
    ] = None,
    workers: Annotated[int, typer.Option(help="number of processes; 0: one per core", min=0)] = 0,
    fault: Annotated[str, typer.Option(help="inject this bug into the gateways")] = "",
) -> None:
    """Run scenarios in virtual time with all combinations of seeds and settings, on all cores."""
    from sagetrack.lab.benchmarks import sweep as sweeps
    from sagetrack.lab.model.scenario import load_scenario

    numbers = parse_seed_range(seeds)
    values = {
        name: [parse_toml_value(v) for v in text.split(",")]
        for name, text in parse_set_options(settings).items()
    }
    jobs = [job for path in scenario for job in sweeps.plan(load_scenario(path), numbers, values, fault)]
    processes = workers or len(os.sched_getaffinity(0))
    try:
        with progress_bar("sweep", False) as progress:
            rows = sweeps.sweep(
                jobs, Path(out), processes, lambda done, total: progress(done / max(1, total))
            )
    except KeyboardInterrupt:
        print(
            f"sagetrack: interrupted; {out} has the finished runs, and the same command resumes",
            file=sys.stderr,
        )
        raise typer.Exit(INTERRUPTED) from None
    except OSError as error:
        raise error_exit(f"{out}: {error.strerror}") from None
    for line in sweep_lines(rows):
        print(line)
    raise typer.Exit(1 if any(rules_broken(row) for row in rows) else 0)


def parse_seed_range(text: str) -> range:
    """Parse seeds given as a count, `10`, or as a range, `3-12`; exit with status 2 for other forms."""
    first, mark, last = text.partition("-")
    try:
        numbers = range(int(first), int(last) + 1) if mark else range(1, int(first) + 1)
    except ValueError:
        raise error_exit(f"--seeds {text}: the form is 10 or 3-12") from None
    if not numbers:
        raise error_exit(f"--seeds {text}: the range is empty")
    return numbers


def rules_broken(row: dict[str, Any]) -> int:
    """Return the number of rule violations in a run of a sweep."""
    return sum(row["rules_broken"].values())


def sweep_lines(rows: list[dict[str, Any]]) -> Iterator[str]:
    """Yield a line for each scenario and combination of settings, aggregated over the seeds."""
    groups: dict[str, list[dict[str, Any]]] = {}
    for row in rows:
        chosen = " ".join(f"{name}={value}" for name, value in row["settings"].items())
        groups.setdefault(f"{row['scenario']} {chosen}".strip(), []).append(row)
    for name, group in groups.items():
        service = [row["service"] for row in group]
        broken = sum(rules_broken(row) for row in group)
        held = sum(row["expect_held"] for row in group)
        yield (
            f"{name}: {len(group)} runs, service {sum(service) / len(service):.4f} "
            f"({min(service):.4f} to {max(service):.4f}), {broken} rules broken, expectations held in {held}"
        )


def compare(
    a: Annotated[str, typer.Argument(help="results file of a sweep")],
    b: Annotated[str, typer.Argument(help="results file of another sweep with seeds in common")],
    figure: Annotated[str, typer.Option(help="figure to compare")] = "service",
) -> None:
    """Compare two sweeps in pairs of runs with the same seed, with a 95% confidence interval."""
    from sagetrack.lab.benchmarks.comparison import compare as compare_files

    try:
        result = compare_files(Path(a), Path(b), figure)
    except (OSError, ValueError) as error:
        raise error_exit(str(error)) from None
    verdict = "clear" if result.is_significant else "within the noise"
    print(
        f"{result.figure}: A {result.mean_a:.4f}, B {result.mean_b:.4f}, B - A {result.difference:+.4f} "
        f"± {result.half_width:.4f} over {result.pairs} pairs ({result.larger_in_b} with B larger): {verdict}"
    )


def restart(
    scenario: Annotated[str, typer.Argument(help="a scenario in which a gateway crashes")],
    seeds: Annotated[int, typer.Option(help="number of seeds, from 1 on", min=1, max=1000)] = 10,
    virtual: Annotated[bool, typer.Option("--virtual", help="simulate the clock and the network")] = False,
    lanes: Annotated[int, typer.Option(help="concurrent runs in real time", min=1, max=64)] = 3,
    settings: SetOption = None,
) -> None:
    """Measure the cost of a restart in a gateway's first 10 s, with and without observations from peers."""
    from sagetrack.lab.benchmarks import restart as restarts
    from sagetrack.lab.virtual.simulation import simulate

    played = load_altered_scenario(scenario, settings)
    play = simulate if virtual else play_in_process
    try:
        with progress_bar("restart", False) as progress:
            pairs = restarts.play_seeds(played, range(1, seeds + 1), play, 1 if virtual else lanes, progress)
    except (ValueError, RuntimeError) as error:
        raise error_exit(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    for line in restarts.summary(pairs):
        print(line)
    raise typer.Exit(1 if any(pair.violations for pair in pairs) else 0)


def play_in_process(scenario: Scenario, seed: int) -> Records:
    """Run in real time in a separate process, as signals and event loops need a main thread.

    Raises:
        RuntimeError: the run failed or was late; the message says why.
    """
    import tempfile

    import msgspec

    from sagetrack.lab.analysis.records import read_records

    with tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder:
        scenario_file = Path(folder) / "scenario.json"
        records_file = Path(folder) / "records.gz"
        plain = msgspec.to_builtins(scenario)
        if plain["expect"].get("p99_ms_max") is None:
            plain["expect"].pop("p99_ms_max", None)
        scenario_file.write_text(json.dumps(plain))
        arguments = [
            "lab",
            "run",
            str(scenario_file),
            "--seed",
            str(seed),
            "--records",
            str(records_file),
            "--json",
        ]
        completed = subprocess.run(
            [sys.executable, "-m", "sagetrack", *arguments], capture_output=True, text=True
        )
        if completed.returncode not in (0, 1) or not records_file.exists():
            raise RuntimeError(
                completed.stderr.strip().splitlines()[-1] if completed.stderr else "the run wrote no records"
            )
        if json.loads(completed.stdout.splitlines()[-1])["late"]:
            raise RuntimeError(f"seed {seed}: the load was sent late; lower --lanes")
        return read_records(records_file)
