"""`sagetrack lab …`: all its commands, in the order in which its help lists them."""

from __future__ import annotations

import typer

from sagetrack.cli import lab_benchmarks, lab_hostile_input, lab_play, lab_sweep
from sagetrack.cli.overload import jams
from sagetrack.cli.scale import scale, scale_page
from sagetrack.cli.slow_start import cold
from sagetrack.cli.soak import soak

app = typer.Typer(
    help="Play a whole fleet on this machine, in real or in virtual time.", no_args_is_help=True
)

app.command("cold")(cold)
app.command("jams")(jams)
app.command("soak")(soak)
app.command("list")(lab_play.list_scenarios)
app.command("run")(lab_play.run)
app.command("sweep")(lab_sweep.sweep)
app.command("compare")(lab_sweep.compare)
app.command("throughput")(lab_benchmarks.throughput)
app.command("membership")(lab_benchmarks.membership)
app.command("dns")(lab_benchmarks.dns)
app.command("together")(lab_benchmarks.together)
app.command("forge-dns")(lab_hostile_input.forge_dns)
app.command("door")(lab_benchmarks.door)
app.command("bodies")(lab_benchmarks.bodies)
app.command("fuzz-h2")(lab_hostile_input.fuzz_h2)
app.command("fuzz-dns")(lab_hostile_input.fuzz_dns)
app.command("restart")(lab_sweep.restart)
app.command("readiness")(lab_benchmarks.readiness)
app.command("plot")(lab_play.plot)
app.command("scale")(scale)
app.command("scale-page")(scale_page)
