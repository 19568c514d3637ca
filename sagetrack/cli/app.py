"""The command-line application, with one module per command.

A gateway that the platform starts through LB_CONFIG imports none of these modules.
"""

from __future__ import annotations

import sys

import typer

from sagetrack import __version__
from sagetrack.cli import check, demo, lab, peers, run, store

app = typer.Typer(
    help="A gateway for fleets of servers, and a lab that simulates such a fleet on this machine.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
app.command("run")(run.run)
app.command("check")(check.check)
app.command("demo")(demo.demo)
app.command("peers")(peers.peers)
app.add_typer(lab.app, name="lab")
app.add_typer(store.app, name="store")


@app.command("version")
def version() -> None:
    """Print the version."""
    print(__version__)


def main() -> int:
    """Run the command given on the command line; return the exit status."""
    from sagetrack.config.errors import FileError

    try:
        app(prog_name="sagetrack", standalone_mode=True)
    except FileError as error:
        for fault in error.faults:
            print(f"sagetrack: {fault}", file=sys.stderr)
        return 2
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else 1
    return 0
