"""`sagetrack run`: runs one gateway process."""

from __future__ import annotations

import os
from typing import Annotated

import typer


def run(
    config: Annotated[str, typer.Option(help="the platform's configuration file; default: $LB_CONFIG")] = "",
    operator: Annotated[str, typer.Option(help="the operator's file; default: $LB_OPERATOR")] = "",
) -> None:
    """Run one gateway until a signal stops it."""
    from sagetrack.server.process import main

    if config:
        os.environ["LB_CONFIG"] = config
    if operator:
        os.environ["LB_OPERATOR"] = operator
    raise typer.Exit(main())
