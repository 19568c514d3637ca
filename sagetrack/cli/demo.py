"""`sagetrack demo`: a small fleet in real time, with troubles, and a live table."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Annotated

import typer

if TYPE_CHECKING:
    from rich.table import Table

    from sagetrack.lab.model.world import World

PLANNED_S = 30.0
REFRESH = 4  # times a second


def demo(
    seconds: Annotated[
        float, typer.Option(help="how long; troubles move with it", min=5, max=600)
    ] = PLANNED_S,
    seed: Annotated[int, typer.Option(help="what random figures follow from", min=0)] = 1,
) -> None:
    """Play nine servers and three gateways through a slow server, a burst, a deploy and a gateway's death."""
    from rich.console import Console
    from rich.live import Live

    from sagetrack.cli.lab_app import INTERRUPTED, fail
    from sagetrack.cli.lab_play import verdict
    from sagetrack.lab.analysis.figures import figures
    from sagetrack.lab.analysis.judges import judge
    from sagetrack.lab.analysis.records import Records
    from sagetrack.lab.errors import LabError
    from sagetrack.lab.model.scenario import altered, load
    from sagetrack.lab.processes.run import play
    from sagetrack.lab.repository import SCENARIOS

    scenario = load(SCENARIOS / "demo.toml")
    if seconds != PLANNED_S:
        share = seconds / PLANNED_S
        changes: dict[str, float] = {"seconds": seconds}
        for number, trouble in enumerate(scenario.faults, 1):
            changes[f"trouble.{number}.at_s"] = trouble.at_s * share
            changes[f"trouble.{number}.seconds"] = max(0.5, trouble.seconds * share)
        scenario = altered(scenario, changes)
    out = Console()
    records = Records()
    try:
        if out.is_terminal:
            with Live(console=out, refresh_per_second=REFRESH, transient=False) as live:
                play(scenario, seed, lambda share, world: live.update(table(world, records)), 0.0, records)
        else:
            told = [0]

            def tell(share: float, world: World) -> None:
                if int(share * 4) > told[0]:
                    told[0] = int(share * 4)
                    print(f"{share:4.0%} played, {world.arrivals.count} calls", file=sys.stderr, flush=True)

            play(scenario, seed, tell, 0.0, records)
    except LabError as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        print("sagetrack: ended; nothing is left running", file=sys.stderr)
        raise typer.Exit(INTERRUPTED) from None
    violations = judge(records, scenario)
    made = figures(records, scenario, violations)
    for violation in violations[:10]:
        print(f"broken: {violation}")
    if made.late:
        print("late: this machine was too busy for the load to come in time")
    print(verdict(made))
    raise typer.Exit(1 if violations else 0)


def table(world: World, records: object) -> Table:
    """The fleet as it stands."""
    from rich.table import Table

    from sagetrack.lab.analysis.records import Records

    assert isinstance(records, Records)
    now = world.clock.now_us()
    recent = [row for row in records.rows[-600:] if row[0] == "request" and now - row[1] < 2_000_000]
    good = sum(row[5] == "served" for row in recent)
    on: list[str] = []
    for row in records.of("trouble"):
        if row[3] == "begins":
            on.append(row[2])
        elif row[2] in on:
            on.remove(row[2])
    made = Table(
        title=f"{now / 1e6:5.1f} s   {world.arrivals.count} calls   now: {', '.join(on) or 'nothing special'}"
    )
    for column in ("server", "zone", "state", "held", "", "gateway", "state", "last 2 s"):
        made.add_column(column)
    servers = sorted(world.server_fleet.servers.values(), key=lambda server: server.number)
    gateways = list(world.gateway_fleet.alive)
    for place in range(max(len(servers), len(gateways))):
        left, right = ["", "", "", ""], ["", "", ""]
        if place < len(servers):
            server = servers[place]
            entry = world.registry.entries.get(server.number)
            state = "unlisted" if entry is None else "drains" if entry.status == "DRAINING" else "ready"
            state = (
                "slow" if server.slow > 1 else f"cold {server.warmth(now):.0%}" if server.is_cold else state
            )
            held = server.request_count
            left = [f"s-{server.number}", world.scenario.fleet.zones[server.zone], state, "▇" * min(held, 24)]
        if place < len(gateways):
            gateway = gateways[place]
            right = [f"g{gateway}", "up" if world.gateway_fleet.alive[gateway] else "dead", ""]
        if place == 0 and recent:
            right[2] = f"{good / len(recent):.0%} served"
        made.add_row(*left, "", *right)
    return made
