"""`sagetrack lab scale …`: what grows with the fleet, and how; the page that its figures fill."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Annotated, Any

import typer

from sagetrack.cli.lab_app import error_exit, measuring

COLUMNS = ("probe", "measure", "swept", "points", "exponent", "slope", "at the target", "size")


def parse_integer(option: str, text: str, least: int, most: int) -> int:
    """An integer within bounds; else exit 2 with one line, where typer's own checks would print several."""
    number = int(text) if text.isascii() and text.isdigit() and len(text) < 20 else -1
    if not least <= number <= most:
        raise error_exit(f"{option} {text}: a whole number from {least} to {most}")
    return number


def check_writable(path: Path) -> None:
    """Exit 2 now for a file that could not be written later."""
    if path.is_dir() or not path.resolve().parent.is_dir():
        raise error_exit(f"{path}: no file can be written there")


def write_atomically(path: Path, text: str) -> None:
    """Write all of the file or nothing of it; exit 2 with one line for an error."""
    fresh = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        fresh.write_text(text)
        os.replace(fresh, path)
    except OSError as error:
        raise error_exit(f"{path}: {error.strerror}") from None
    finally:
        fresh.unlink(missing_ok=True)


def scale(
    gateways: Annotated[str, typer.Option(help="of the fleet ahead, from 3")] = "730",
    servers: Annotated[str, typer.Option(help="address servers, from 25")] = "9600",
    services: Annotated[str, typer.Option(help="that these are in, from 4")] = "390",
    tenants: Annotated[str, typer.Option(help="members of all services, from 10")] = "39000",
    probe: Annotated[list[str] | None, typer.Option(help="this one alone; may be given again")] = None,
    seed: Annotated[str, typer.Option(help="the seed of the generated fleet")] = "1",
    quick: Annotated[bool, typer.Option("--quick", help="smaller fleets where they are slow")] = False,
    counts: Annotated[
        bool, typer.Option("--counts", help="no times: only what is the same on a busy machine")
    ] = False,
    file: Annotated[str, typer.Option("--json", help="write all figures here")] = "",
) -> None:
    """Sweep each size of a large fleet over gateways without sockets and a real one: what grows, how fast."""
    from sagetrack.lab.scale.run import ScaleError, check_sizes, run_probes, select_probes
    from sagetrack.lab.scale.target import Sizes

    sizes = Sizes(
        parse_integer("--gateways", gateways, 3, 65_535),
        parse_integer("--servers", servers, 25, 10_000_000),
        parse_integer("--services", services, 4, 10_000_000),
        parse_integer("--tenants", tenants, 10, 100_000_000),
    )
    from_seed = parse_integer("--seed", seed, 0, 2**63)
    if file:
        check_writable(Path(file))
    try:
        check_sizes(sizes)
        select_probes(probe or [])
        with measuring("scale", False) as progress:
            results = run_probes(sizes, from_seed, probe or [], progress, quick=quick, times=not counts)
    except ScaleError as error:
        raise error_exit(str(error)) from None
    if file:
        write_atomically(Path(file), json.dumps(results, indent=1) + "\n")
    print_results(results, seed)


def print_results(results: dict[str, Any], seed: str) -> None:
    """The results as a table."""
    from rich.console import Console
    from rich.table import Table

    from sagetrack.lab.scale.run import result_table

    shown = Table(title=f"{results['seconds']:g} s, seed {seed}; routes: nothing has any, none was swept")
    for name in COLUMNS:
        shown.add_column(name)
    for line in result_table(results):
        shown.add_row(*line)
    Console(width=190).print(shown)


def scale_page(
    file: Annotated[str, typer.Argument(help="what `lab scale --json` wrote")],
    page: Annotated[str, typer.Option(help="whose table it fills")] = "docs/CAPACITY.md",
    after: Annotated[str, typer.Option(help="the same after improvements")] = "",
    check: Annotated[bool, typer.Option("--check", help="whether they agree; exit 1 if not")] = False,
) -> None:
    """Fill the measured part of docs/CAPACITY.md from figures, or see that it agrees with them."""
    from sagetrack.lab.scale.page.rendering import render_page

    def read(path: str) -> dict[str, Any]:
        try:
            results = json.loads(Path(path).read_text())
        except OSError as error:
            raise error_exit(f"{path}: {error.strerror}") from None
        except ValueError as error:
            raise error_exit(f"{path} is not JSON: {error}") from None
        if not isinstance(results, dict) or "rows" not in results:
            raise error_exit(f"{path} is not what `lab scale --json` writes")
        return results

    before, later = read(file), read(after) if after else None
    try:
        text = Path(page).read_text()
        fresh = render_page(text, before, later)
    except OSError as error:
        raise error_exit(f"{page}: {error.strerror}") from None
    except (KeyError, TypeError, ValueError) as error:
        raise error_exit(f"{page} cannot be filled from {file}: {error}") from None
    if check:
        raise typer.Exit(0 if fresh == text else 1)
    write_atomically(Path(page), fresh)
    print(page)
