"""`sagetrack check`: reports every fault of configuration files without starting anything."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import Annotated

import typer


def check(
    config: Annotated[str, typer.Option(help="the platform's configuration file; default: $LB_CONFIG")] = "",
    operator: Annotated[str, typer.Option(help="the operator's file; default: $LB_OPERATOR")] = "",
    scenario: Annotated[list[str] | None, typer.Argument(help="scenario files of the lab")] = None,
) -> None:
    """Report every fault of configuration files, with file, line and key; exit 2 if there is one."""
    from sagetrack.config.check import check as check_platform
    from sagetrack.config.errors import FileError
    from sagetrack.config.operator import load
    from sagetrack.lab.model.scenario import load_scenario

    config = config or os.environ.get("LB_CONFIG", "")
    operator = operator or os.environ.get("LB_OPERATOR", "")
    checks: list[tuple[str, Callable[[str], object]]] = []
    checks += [(config, check_platform)] if config else []
    checks += [(operator, load)] if operator else []
    checks += [(path, load_scenario) for path in scenario or []]
    if not checks:
        print("sagetrack: nothing to check: pass --config, --operator or scenario files", file=sys.stderr)
        raise typer.Exit(2)
    faults: list[str] = []
    for path, check_file in checks:
        try:
            check_file(path)
            print(f"{path}: fine")
        except FileError as error:
            faults += error.faults
    for fault in faults:
        print(f"sagetrack: {fault}", file=sys.stderr)
    raise typer.Exit(2 if faults else 0)
