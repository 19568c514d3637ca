"""What the commands of `sagetrack lab` share: options, exit statuses, errors in one line, a progress bar."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING, Annotated, Any

import typer

if TYPE_CHECKING:
    from sagetrack.lab.model.scenario import Scenario

INTERRUPTED = 130
SHOWN = 10  # violations that are printed

SetOption = Annotated[
    list[str] | None, typer.Option("--set", help="another value, as in load.use=0.7; may be given again")
]


def fail(line: str) -> typer.Exit:
    """Say in one line why a command cannot go on; exit 2."""
    print(f"sagetrack: {line}", file=sys.stderr)
    return typer.Exit(2)


def judged(wrong: list[str]) -> typer.Exit:
    """Print the first of what was wrong; exit 1 if anything was."""
    for line in wrong[:SHOWN]:
        print(line)
    return typer.Exit(1 if wrong else 0)


def value_of(text: str) -> Any:
    """A value as TOML writes it; anything else is a text."""
    import tomllib

    try:
        return tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        return text


def settings_of(pairs: list[str] | None) -> dict[str, str]:
    """Values by key of all `--set key=value`; exit 2 with one line for another form."""
    found = {}
    for pair in pairs or []:
        name, mark, value = pair.partition("=")
        if not mark or not name:
            raise fail(f"--set {pair}: the form is key=value, as in load.use=0.7")
        found[name.strip()] = value.strip()
    return found


@contextmanager
def bar(what: str, quiet: bool) -> Iterator[Callable[[float], None]]:
    """A progress bar on standard error, where that is a terminal."""
    if quiet or not sys.stderr.isatty():
        yield lambda share: None
        return
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TaskProgressColumn, TextColumn, TimeRemainingColumn

    columns = (TextColumn(what), BarColumn(), TaskProgressColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task(what, total=1.0)
        yield lambda share: progress.update(task, completed=share)


def scenario_from(path: str, settings: list[str] | None) -> Scenario:
    """Load a scenario and apply all `--set` options to it."""
    from sagetrack.lab.model.scenario import altered, load

    scenario = load(path)
    chosen = {name: value_of(value) for name, value in settings_of(settings).items()}
    return altered(scenario, chosen) if chosen else scenario
