"""Shared code of the `sagetrack lab` commands: options, exit statuses, errors, progress, tables."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import TYPE_CHECKING, Annotated, Any

import typer

if TYPE_CHECKING:
    from sagetrack.lab.model.scenario import Scenario

INTERRUPTED = 130  # exit status after SIGINT, as shells report it
MAX_PRINTED_FAILURES = 10

SetOption = Annotated[
    list[str] | None,
    typer.Option("--set", help="override a scenario value, for example load.use=0.7; repeatable"),
]


def error_exit(line: str) -> typer.Exit:
    """Print a one-line error; return the exception that exits with status 2."""
    print(f"sagetrack: {line}", file=sys.stderr)
    return typer.Exit(2)


def check_fault(fault: str, known: Sequence[str]) -> None:
    """Reject an unknown name of an injected fault: print one line and exit with status 2."""
    if fault and fault not in known:
        raise error_exit(f"--fault {fault}: allowed are {', '.join(known)}")


def failures_exit(failures: list[str]) -> typer.Exit:
    """Print the first failures; return the exception that exits with status 1 if there are any."""
    for line in failures[:MAX_PRINTED_FAILURES]:
        print(line)
    return typer.Exit(1 if failures else 0)


def parse_integers(option: str, text: str, example: str, most: int | None = None) -> list[int]:
    """Parse positive integers such as `3,20,30`, each at most `most`; exit 2 if invalid."""
    try:
        numbers = [int(part) for part in text.split(",")]
    except ValueError:
        raise error_exit(f"{option} {text}: the form is {example}") from None
    if most is None and min(numbers) < 1:
        raise error_exit(f"{option} {text}: each is at least 1")
    if most is not None and not all(1 <= number <= most for number in numbers):
        raise error_exit(f"{option} {text}: each is from 1 to {most}")
    return numbers


def parse_toml_value(text: str) -> Any:
    """Parse a TOML value; text that is not TOML is returned as a string."""
    import tomllib

    try:
        return tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        return text


def parse_set_options(pairs: list[str] | None) -> dict[str, str]:
    """Parse all `--set key=value` options into a dict; exit with status 2 if one has another form."""
    values = {}
    for pair in pairs or []:
        name, separator, value = pair.partition("=")
        if not separator or not name:
            raise error_exit(f"--set {pair}: the form is key=value, for example load.use=0.7")
        values[name.strip()] = value.strip()
    return values


@contextmanager
def progress_bar(description: str, quiet: bool) -> Iterator[Callable[[float], None]]:
    """Show a progress bar if standard error is a terminal; yield a function that sets the completed share."""
    if quiet or not sys.stderr.isatty():
        yield lambda share: None
        return
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TaskProgressColumn, TextColumn, TimeRemainingColumn

    columns = (TextColumn(description), BarColumn(), TaskProgressColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True), transient=True) as shown:
        task = shown.add_task(description, total=1.0)
        yield lambda share: shown.update(task, completed=share)


@contextmanager
def measuring(description: str, quiet: bool) -> Iterator[Callable[[float], None]]:
    """Show a progress bar during a measurement; LabError exits with status 2 and SIGINT with 130."""
    from sagetrack.lab.errors import LabError

    try:
        with progress_bar(description, quiet) as progress:
            yield progress
    except LabError as error:
        raise error_exit(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None


def print_table(
    title: str, rows: Sequence[Mapping[str, object]], width: int | None = None, left: Iterable[str] = ()
) -> None:
    """Print rows with the same keys as a table; columns not named in `left` are right-aligned."""
    from rich.console import Console
    from rich.table import Table

    table = Table(title=title)
    for name in rows[0]:
        table.add_column(name.replace("_", " "), justify="left" if name in left else "right")
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    Console(width=width).print(table)


def load_altered_scenario(path: str, settings: list[str] | None) -> Scenario:
    """Load a scenario and apply all `--set` options to it."""
    from sagetrack.lab.model.scenario import load_scenario, with_overrides

    scenario = load_scenario(path)
    chosen = {name: parse_toml_value(value) for name, value in parse_set_options(settings).items()}
    return with_overrides(scenario, chosen) if chosen else scenario
