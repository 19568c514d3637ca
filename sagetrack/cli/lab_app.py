"""What the commands of `sagetrack lab` share: options, exit statuses, plain errors, progress, tables."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import TYPE_CHECKING, Annotated, Any

import typer

if TYPE_CHECKING:
    from sagetrack.lab.model.scenario import Scenario

INTERRUPTED = 130
SHOWN = 10  # violations or failures that are printed

SetOption = Annotated[
    list[str] | None, typer.Option("--set", help="another value, as in load.use=0.7; may be given again")
]


def fail(line: str) -> typer.Exit:
    """Print one line that says why a command cannot continue; exit 2."""
    print(f"sagetrack: {line}", file=sys.stderr)
    return typer.Exit(2)


def check_fault(fault: str, known: Sequence[str]) -> None:
    """Exit 2 with one line for a deliberate fault that is not known."""
    if fault and fault not in known:
        raise fail(f"--fault {fault}: allowed are {', '.join(known)}")


def exit_with(failures: list[str]) -> typer.Exit:
    """Print the first failures; exit 1 if there are any."""
    for line in failures[:SHOWN]:
        print(line)
    return typer.Exit(1 if failures else 0)


def integers_of(option: str, text: str, example: str, most: int | None = None) -> list[int]:
    """Integers from 1, as `3,20,30`; exit 2 with one line for other forms and for larger ones than `most`."""
    try:
        numbers = [int(part) for part in text.split(",")]
    except ValueError:
        raise fail(f"{option} {text}: the form is {example}") from None
    if most is None and min(numbers) < 1:
        raise fail(f"{option} {text}: each is at least 1")
    if most is not None and not all(1 <= number <= most for number in numbers):
        raise fail(f"{option} {text}: each is from 1 to {most}")
    return numbers


def value_of(text: str) -> Any:
    """A value as TOML writes it; anything else is a string."""
    import tomllib

    try:
        return tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        return text


def settings_of(pairs: list[str] | None) -> dict[str, str]:
    """Values by key of all `--set key=value`; exit 2 with one line for another form."""
    values = {}
    for pair in pairs or []:
        name, mark, value = pair.partition("=")
        if not mark or not name:
            raise fail(f"--set {pair}: the form is key=value, as in load.use=0.7")
        values[name.strip()] = value.strip()
    return values


@contextmanager
def progress_bar(what: str, quiet: bool) -> Iterator[Callable[[float], None]]:
    """A progress bar on standard error, where that is a terminal; call what it yields with the share done."""
    if quiet or not sys.stderr.isatty():
        yield lambda share: None
        return
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TaskProgressColumn, TextColumn, TimeRemainingColumn

    columns = (TextColumn(what), BarColumn(), TaskProgressColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True), transient=True) as shown:
        task = shown.add_task(what, total=1.0)
        yield lambda share: shown.update(task, completed=share)


@contextmanager
def measuring(what: str, quiet: bool) -> Iterator[Callable[[float], None]]:
    """A progress bar round a measurement; LabError is one line and exit 2, an interrupt exit 130."""
    from sagetrack.lab.errors import LabError

    try:
        with progress_bar(what, quiet) as progress:
            yield progress
    except LabError as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None


def print_table(
    title: str, rows: Sequence[Mapping[str, object]], width: int | None = None, left: Iterable[str] = ()
) -> None:
    """Rows of the same keys as a table; all columns but the `left` ones are aligned to the right."""
    from rich.console import Console
    from rich.table import Table

    table = Table(title=title)
    for name in rows[0]:
        table.add_column(name.replace("_", " "), justify="left" if name in left else "right")
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    Console(width=width).print(table)


def scenario_from(path: str, settings: list[str] | None) -> Scenario:
    """Load a scenario and apply all `--set` options to it."""
    from sagetrack.lab.model.scenario import load_scenario, with_overrides

    scenario = load_scenario(path)
    chosen = {name: value_of(value) for name, value in settings_of(settings).items()}
    return with_overrides(scenario, chosen) if chosen else scenario
