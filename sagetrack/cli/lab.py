"""`sagetrack lab …`: its commands, in the order in which the help lists them."""

from __future__ import annotations

from collections.abc import Callable

import typer

from sagetrack.cli import lab_benchmarks, lab_hostile_input, lab_play, lab_sweep
from sagetrack.cli.lab_virtual_fleets import overload, slow_start
from sagetrack.cli.scale import scale, scale_page
from sagetrack.cli.soak import soak

COMMANDS: dict[str, Callable[..., None]] = {
    "slow-start": slow_start,
    "overload": overload,
    "soak": soak,
    "list": lab_play.list_scenarios,
    "run": lab_play.run,
    "sweep": lab_sweep.sweep,
    "compare": lab_sweep.compare,
    "throughput": lab_benchmarks.throughput,
    "membership": lab_benchmarks.membership,
    "dns": lab_benchmarks.dns,
    "mixed-protocols": lab_benchmarks.mixed_protocols,
    "spoof-dns": lab_hostile_input.spoof_dns,
    "fair-queue": lab_benchmarks.fair_queue,
    "bodies": lab_benchmarks.bodies,
    "fuzz-h2": lab_hostile_input.fuzz_h2,
    "fuzz-dns": lab_hostile_input.fuzz_dns,
    "restart": lab_sweep.restart,
    "readiness": lab_benchmarks.readiness,
    "plot": lab_play.plot,
    "scale": scale,
    "scale-page": scale_page,
}
ALIASES = {
    "cold": "slow-start",
    "jams": "overload",
    "together": "mixed-protocols",
    "forge-dns": "spoof-dns",
    "door": "fair-queue",
}
"""Command names of earlier versions, kept for existing scripts and hidden from the help."""

app = typer.Typer(
    help="Simulate a whole fleet on this machine, in real or in virtual time.", no_args_is_help=True
)

for _name, _command in COMMANDS.items():
    app.command(_name)(_command)
for _alias, _name in ALIASES.items():
    app.command(_alias, hidden=True)(COMMANDS[_name])
