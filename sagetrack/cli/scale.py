"""`sagetrack lab scale`, `scale-page`: measure how costs grow with the fleet, and render docs/CAPACITY.md."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Annotated, Any

import typer

from sagetrack.cli.lab_app import error_exit, measuring

COLUMNS = ("probe", "measure", "swept", "points", "exponent", "slope", "at the target", "size")


def parse_integer(option: str, text: str, least: int, most: int) -> int:
    """Parse an integer within bounds, or print one line and exit with status 2; typer would print several."""
    number = int(text) if text.isascii() and text.isdigit() and len(text) < 20 else -1
    if not least <= number <= most:
        raise error_exit(f"{option} {text}: a whole number from {least} to {most}")
    return number


def check_writable(path: Path) -> None:
    """Exit with status 2 before a long measurement if its output file cannot be written."""
    if path.is_dir() or not path.resolve().parent.is_dir():
        raise error_exit(f"{path}: no file can be written there")


def write_atomically(path: Path, text: str) -> None:
    """Write a file atomically; print one line and exit with status 2 on an error."""
    fresh = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        fresh.write_text(text)
        os.replace(fresh, path)
    except OSError as error:
        raise error_exit(f"{path}: {error.strerror}") from None
    finally:
        fresh.unlink(missing_ok=True)


def scale(
    gateways: Annotated[str, typer.Option(help="gateways of the target fleet, from 3")] = "730",
    servers: Annotated[str, typer.Option(help="servers of the target fleet, from 25")] = "9600",
    services: Annotated[str, typer.Option(help="services that the servers belong to, from 4")] = "390",
    tenants: Annotated[str, typer.Option(help="tenants of all services, from 10")] = "39000",
    probe: Annotated[list[str] | None, typer.Option(help="run only this probe; repeatable")] = None,
    seed: Annotated[str, typer.Option(help="the seed of the generated fleet")] = "1",
    quick: Annotated[bool, typer.Option("--quick", help="use smaller fleets in slow probes")] = False,
    counts: Annotated[
        bool, typer.Option("--counts", help="omit times; keep only counts that do not depend on machine load")
    ] = False,
    file: Annotated[str, typer.Option("--json", help="write all figures to this file")] = "",
) -> None:
    """Measure how costs grow with each dimension of a large fleet, on simulated gateways and a real one."""
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
    """Print the results as a table."""
    from rich.console import Console
    from rich.table import Table

    from sagetrack.lab.scale.run import result_table

    shown = Table(title=f"{results['seconds']:g} s, seed {seed}; routes: not swept, as nothing has any")
    for name in COLUMNS:
        shown.add_column(name)
    for line in result_table(results):
        shown.add_row(*line)
    Console(width=190).print(shown)


def scale_page(
    file: Annotated[str, typer.Argument(help="figures written by `lab scale --json`")],
    page: Annotated[str, typer.Option(help="page to update")] = "docs/CAPACITY.md",
    after: Annotated[str, typer.Option(help="figures after improvements, in the same format")] = "",
    check: Annotated[
        bool, typer.Option("--check", help="only check that the page is up to date; exit 1 if not")
    ] = False,
) -> None:
    """Update the measured part of docs/CAPACITY.md from figures, or check that it matches them."""
    from sagetrack.lab.scale.page.rendering import render_page

    def read(path: str) -> dict[str, Any]:
        try:
            results = json.loads(Path(path).read_text())
        except OSError as error:
            raise error_exit(f"{path}: {error.strerror}") from None
        except ValueError as error:
            raise error_exit(f"{path} is not JSON: {error}") from None
        if not isinstance(results, dict) or "rows" not in results:
            raise error_exit(f"{path} is not in the format of `lab scale --json`")
        return results

    before, later = read(file), read(after) if after else None
    try:
        text = Path(page).read_text()
        fresh = render_page(text, before, later)
    except OSError as error:
        raise error_exit(f"{page}: {error.strerror}") from None
    except (KeyError, TypeError, ValueError) as error:
        raise error_exit(f"{page} cannot be updated from {file}: {error}") from None
    if check:
        raise typer.Exit(0 if fresh == text else 1)
    write_atomically(Path(page), fresh)
    print(page)
