"""`sagetrack lab sweep`, `compare`, `restart`: scenarios over seeds and settings, and what differs."""

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
    fail,
    progress_bar,
    scenario_from,
    settings_of,
    value_of,
)

if TYPE_CHECKING:
    from sagetrack.lab.analysis.records import Records
    from sagetrack.lab.model.scenario import Scenario


def sweep(
    scenario: Annotated[list[str], typer.Argument(help="scenarios' files")],
    out: Annotated[str, typer.Option(help="results, a JSON line for each run; goes on where it stopped")],
    seeds: Annotated[str, typer.Option(help="how many, from 1; or FIRST-LAST")] = "10",
    settings: Annotated[
        list[str] | None,
        typer.Option("--set", help="values to try, as in load.use=0.5,0.7; all combinations"),
    ] = None,
    workers: Annotated[int, typer.Option(help="processes; 0: one a core", min=0)] = 0,
    fault: Annotated[str, typer.Option(help="a deliberate fault of the gateways")] = "",
) -> None:
    """Play scenarios over seeds and settings in virtual time, on all cores."""
    from sagetrack.lab.benchmarks import sweep as sweeps
    from sagetrack.lab.model.scenario import load_scenario

    numbers = seed_range_of(seeds)
    values = {name: [value_of(v) for v in text.split(",")] for name, text in settings_of(settings).items()}
    jobs = [job for path in scenario for job in sweeps.plan(load_scenario(path), numbers, values, fault)]
    processes = workers or len(os.sched_getaffinity(0))
    try:
        with progress_bar("sweep", False) as progress:
            rows = sweeps.sweep(jobs, Path(out), processes, lambda at, of: progress(at / max(1, of)))
    except KeyboardInterrupt:
        print(
            f"sagetrack: ended; what was played stands in {out}, and the same call goes on", file=sys.stderr
        )
        raise typer.Exit(INTERRUPTED) from None
    except OSError as error:
        raise fail(f"{out}: {error.strerror}") from None
    for line in sweep_lines(rows):
        print(line)
    raise typer.Exit(1 if any(rules_broken(row) for row in rows) else 0)


def seed_range_of(text: str) -> range:
    """Seeds as `10`, from 1 on, or `3-12`; exit 2 with one line for other forms."""
    first, mark, last = text.partition("-")
    try:
        numbers = range(int(first), int(last) + 1) if mark else range(1, int(first) + 1)
    except ValueError:
        raise fail(f"--seeds {text}: the form is 10 or 3-12") from None
    if not numbers:
        raise fail(f"--seeds {text}: there are none")
    return numbers


def rules_broken(row: dict[str, Any]) -> int:
    """How many times a run of a sweep broke any rule."""
    return sum(row["rules_broken"].values())


def sweep_lines(rows: list[dict[str, Any]]) -> Iterator[str]:
    """A line for each scenario and choice of settings, over its seeds."""
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
    a: Annotated[str, typer.Argument(help="results of a sweep")],
    b: Annotated[str, typer.Argument(help="results of another, with seeds in common")],
    figure: Annotated[str, typer.Option(help="which figure")] = "service",
) -> None:
    """Compare two sweeps by pairs of one seed, with a 95% confidence interval."""
    from sagetrack.lab.benchmarks.comparison import compare as compare_files

    try:
        result = compare_files(Path(a), Path(b), figure)
    except (OSError, ValueError) as error:
        raise fail(str(error)) from None
    verdict = "clear" if result.is_significant else "within the noise"
    print(
        f"{result.figure}: A {result.mean_a:.4f}, B {result.mean_b:.4f}, B - A {result.difference:+.4f} "
        f"± {result.half_width:.4f} over {result.pairs} pairs ({result.larger_in_b} with B larger): {verdict}"
    )


def restart(
    scenario: Annotated[str, typer.Argument(help="a scenario in which a gateway dies")],
    seeds: Annotated[int, typer.Option(help="how many, from 1", min=1, max=1000)] = 10,
    virtual: Annotated[bool, typer.Option("--virtual", help="on a simulated clock")] = False,
    lanes: Annotated[int, typer.Option(help="runs at once in real time", min=1, max=64)] = 3,
    settings: SetOption = None,
) -> None:
    """Measure what a restart costs in a gateway's first 10 s, with and without the others' help."""
    from sagetrack.lab.benchmarks import restart as restarts
    from sagetrack.lab.virtual.simulation import simulate

    played = scenario_from(scenario, settings)
    play = simulate if virtual else play_in_process
    try:
        with progress_bar("restart", False) as progress:
            pairs = restarts.play_seeds(played, range(1, seeds + 1), play, 1 if virtual else lanes, progress)
    except (ValueError, RuntimeError) as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    for line in restarts.summary(pairs):
        print(line)
    raise typer.Exit(1 if any(pair.violations for pair in pairs) else 0)


def play_in_process(scenario: Scenario, seed: int) -> Records:
    """Play in real time in a process of its own: signals and event loops belong to main threads.

    Raises:
        RuntimeError: the run failed or was late; the message says why.
    """
    import tempfile

    import msgspec

    from sagetrack.lab.analysis.records import read

    with tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder:
        scenario_file = Path(folder) / "scenario.json"
        records_file = Path(folder) / "records.gz"
        plain = msgspec.to_builtins(scenario)
        if plain["expect"].get("p99_ms_max") is None:
            plain["expect"].pop("p99_ms_max", None)
        scenario_file.write_text(json.dumps(plain))
        words = [
            "lab",
            "run",
            str(scenario_file),
            "--seed",
            str(seed),
            "--records",
            str(records_file),
            "--json",
        ]
        done = subprocess.run([sys.executable, "-m", "sagetrack", *words], capture_output=True, text=True)
        if done.returncode not in (0, 1) or not records_file.exists():
            raise RuntimeError(done.stderr.strip().splitlines()[-1] if done.stderr else "no records")
        if json.loads(done.stdout.splitlines()[-1])["late"]:
            raise RuntimeError(f"seed {seed} ran late: lower --lanes")
        return read(records_file)
