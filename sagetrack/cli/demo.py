"""`sagetrack demo`: a small fleet in real time, with faults, and a live table."""

from __future__ import annotations

import sys
from itertools import zip_longest
from typing import TYPE_CHECKING, Annotated

import typer

from sagetrack.cli.lab_app import INTERRUPTED, SHOWN, fail

if TYPE_CHECKING:
    from rich.console import Console
    from rich.table import Table

    from sagetrack.lab.analysis.records import Record, Records
    from sagetrack.lab.model.scenario import Scenario
    from sagetrack.lab.model.server import Server
    from sagetrack.lab.model.world import World

PLANNED_S = 30.0
REFRESH = 4  # times a second
REPORTS = 4  # of the progress, where there is no terminal
RECENT_US = 2_000_000
RECENT_RECORDS = 600  # among them are those of the last two seconds
LONGEST_BAR = 24  # requests that a row of the table shows
COLUMNS = ("server", "zone", "state", "held", "", "gateway", "state", "last 2 s")


def demo(
    seconds: Annotated[
        float, typer.Option(help="how long; the faults move with it", min=5, max=600)
    ] = PLANNED_S,
    seed: Annotated[int, typer.Option(help="what random figures follow from", min=0)] = 1,
) -> None:
    """Play nine servers and three gateways through a slow server, a burst, a deploy and a gateway's death."""
    from rich.console import Console

    from sagetrack.cli.lab_play import verdict
    from sagetrack.lab.analysis.figures import figures
    from sagetrack.lab.analysis.judges import judge
    from sagetrack.lab.analysis.records import Records
    from sagetrack.lab.errors import LabError

    scenario = demo_scenario(seconds)
    records = Records()
    try:
        play_shown(scenario, seed, records, Console())
    except LabError as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        print("sagetrack: ended; nothing is left running", file=sys.stderr)
        raise typer.Exit(INTERRUPTED) from None
    violations = judge(records, scenario)
    results = figures(records, scenario, violations)
    for violation in violations[:SHOWN]:
        print(f"broken: {violation}")
    if results.late:
        print("late: this machine was too busy for the load to come in time")
    print(verdict(results))
    raise typer.Exit(1 if violations else 0)


def demo_scenario(seconds: float) -> Scenario:
    """The demo's scenario, its faults moved in proportion to its length."""
    from sagetrack.lab.model.scenario import load_scenario, with_overrides
    from sagetrack.lab.repository import SCENARIOS

    scenario = load_scenario(SCENARIOS / "demo.toml")
    if seconds == PLANNED_S:
        return scenario
    share = seconds / PLANNED_S
    changes: dict[str, float] = {"seconds": seconds}
    for number, fault in enumerate(scenario.faults, 1):
        changes[f"trouble.{number}.at_s"] = fault.at_s * share
        changes[f"trouble.{number}.seconds"] = max(0.5, fault.seconds * share)
    return with_overrides(scenario, changes)


def play_shown(scenario: Scenario, seed: int, records: Records, console: Console) -> None:
    """Play a scenario behind a live table; without a terminal, behind a line for each quarter of it."""
    from rich.live import Live

    from sagetrack.lab.processes.run import play

    if console.is_terminal:
        with Live(console=console, refresh_per_second=REFRESH, transient=False) as live:
            play(scenario, seed, lambda share, world: live.update(table(world, records)), 0.0, records)
        return
    reported = 0

    def report(share: float, world: World) -> None:
        nonlocal reported
        if int(share * REPORTS) > reported:
            reported = int(share * REPORTS)
            print(f"{share:4.0%} played, {world.arrivals.count} calls", file=sys.stderr, flush=True)

    play(scenario, seed, report, 0.0, records)


def table(world: World, records: Records) -> Table:
    """The fleet as it stands."""
    from rich.table import Table

    now_us = world.clock.now_us()
    faults = active_faults(records)
    shown = Table(
        title=f"{now_us / 1e6:5.1f} s   {world.arrivals.count} calls   "
        f"now: {', '.join(faults) or 'nothing special'}"
    )
    for column in COLUMNS:
        shown.add_column(column)
    server_cells = [
        _server_cells(world, server, now_us)
        for server in sorted(world.server_fleet.servers.values(), key=lambda server: server.number)
    ]
    gateway_cells = [
        [f"g{gateway}", "up" if is_alive else "dead", ""]
        for gateway, is_alive in world.gateway_fleet.alive.items()
    ]
    served = recently_served(records, now_us)
    if served is not None and gateway_cells:
        gateway_cells[0][2] = f"{served:.0%} served"
    for left, right in zip_longest(server_cells, gateway_cells):
        shown.add_row(*(left or [""] * 4), "", *(right or [""] * 3))
    return shown


def active_faults(records: Records) -> list[str]:
    """The kinds of the faults that have begun and not ended."""
    from sagetrack.lab.analysis.records import FaultStateChanged

    active: list[str] = []
    for change in records.typed(FaultStateChanged):
        if change.state == "begins":
            active.append(change.fault)
        elif change.fault in active:
            active.remove(change.fault)
    return active


def recently_served(records: Records, now_us: int) -> float | None:
    """The share of requests of the last two seconds that were served in time; None without any."""
    from sagetrack.lab.analysis.records import RequestFinished

    newest: list[Record] = records.rows[-RECENT_RECORDS:]
    finished = [RequestFinished(*row) for row in newest if row[0] == "request"]
    recent = [request for request in finished if now_us - request.time_us < RECENT_US]
    if not recent:
        return None
    return sum(request.outcome == "served" for request in recent) / len(recent)


def _server_cells(world: World, server: Server, now_us: int) -> list[str]:
    entry = world.registry.entries.get(server.number)
    if server.slowdown > 1:
        state = "slow"
    elif server.is_cold:
        state = f"cold {server.capacity_share(now_us):.0%}"
    elif entry is None:
        state = "unlisted"
    else:
        state = "drains" if entry.status == "DRAINING" else "ready"
    zone = world.scenario.fleet.zones[server.zone]
    return [f"s-{server.number}", zone, state, "▇" * min(server.request_count, LONGEST_BAR)]
