"""`sagetrack demo`: runs a small fleet in real time with faults, and shows it in a live table."""

from __future__ import annotations

import sys
from itertools import zip_longest
from typing import TYPE_CHECKING, Annotated

import typer

from sagetrack.cli.lab_app import INTERRUPTED, MAX_PRINTED_FAILURES, error_exit

if TYPE_CHECKING:
    from rich.console import Console
    from rich.table import Table

    from sagetrack.lab.analysis.records import Record, Records
    from sagetrack.lab.model.scenario import Scenario
    from sagetrack.lab.model.server import Server
    from sagetrack.lab.model.world import World

DEFAULT_DURATION_S = 30.0
REFRESHES_PER_S = 4
PROGRESS_REPORTS = 4  # progress lines printed if there is no terminal
RECENT_US = 2_000_000
RECENT_RECORDS = 600  # newest records searched; they cover the last RECENT_US
MAX_BAR_LENGTH = 24  # requests in flight that the bar of a server can show
COLUMNS = ("server", "zone", "state", "held", "", "gateway", "state", "last 2 s")


def demo(
    seconds: Annotated[
        float, typer.Option(help="duration; the times of the faults scale with it", min=5, max=600)
    ] = DEFAULT_DURATION_S,
    seed: Annotated[int, typer.Option(help="seed of the random numbers", min=0)] = 1,
) -> None:
    """Run nine servers and three gateways through a slow server, a burst, a deploy and a gateway crash."""
    from rich.console import Console

    from sagetrack.cli.lab_play import verdict
    from sagetrack.lab.analysis.figures import compute_figures
    from sagetrack.lab.analysis.judges import find_violations
    from sagetrack.lab.analysis.records import Records
    from sagetrack.lab.errors import LabError

    scenario = demo_scenario(seconds)
    records = Records()
    try:
        play_with_display(scenario, seed, records, Console())
    except LabError as error:
        raise error_exit(str(error)) from None
    except KeyboardInterrupt:
        print("sagetrack: interrupted; nothing is left running", file=sys.stderr)
        raise typer.Exit(INTERRUPTED) from None
    violations = find_violations(records, scenario)
    results = compute_figures(records, scenario, violations)
    for violation in violations[:MAX_PRINTED_FAILURES]:
        print(f"broken: {violation}")
    if results.late:
        print("late: this machine was too busy to send the load on schedule")
    print(verdict(results))
    raise typer.Exit(1 if violations else 0)


def demo_scenario(seconds: float) -> Scenario:
    """Load the demo's scenario, with the times of its faults scaled to the duration."""
    from sagetrack.lab.model.scenario import load_scenario, with_overrides
    from sagetrack.lab.repository import SCENARIOS

    scenario = load_scenario(SCENARIOS / "demo.toml")
    if seconds == DEFAULT_DURATION_S:
        return scenario
    scale = seconds / DEFAULT_DURATION_S
    changes: dict[str, float] = {"seconds": seconds}
    for number, fault in enumerate(scenario.faults, 1):
        changes[f"trouble.{number}.at_s"] = fault.at_s * scale
        changes[f"trouble.{number}.seconds"] = max(0.5, fault.seconds * scale)
    return with_overrides(scenario, changes)


def play_with_display(scenario: Scenario, seed: int, records: Records, console: Console) -> None:
    """Play a scenario and show a live table, or without a terminal a line after each quarter."""
    from rich.live import Live

    from sagetrack.lab.processes.run import play

    if console.is_terminal:
        with Live(console=console, refresh_per_second=REFRESHES_PER_S, transient=False) as live:
            play(scenario, seed, lambda share, world: live.update(fleet_table(world, records)), 0.0, records)
        return
    reported = 0

    def report(share: float, world: World) -> None:
        nonlocal reported
        if int(share * PROGRESS_REPORTS) > reported:
            reported = int(share * PROGRESS_REPORTS)
            print(f"{share:4.0%} played, {world.arrivals.count} calls", file=sys.stderr, flush=True)

    play(scenario, seed, report, 0.0, records)


def fleet_table(world: World, records: Records) -> Table:
    """Build the table of the fleet's current state."""
    from rich.table import Table

    now_us = world.clock.now_us()
    faults = active_faults(records)
    shown = Table(
        title=f"{now_us / 1e6:5.1f} s   {world.arrivals.count} calls   "
        f"now: {', '.join(faults) or 'no fault'}"
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
    """Return the kinds of the faults that are in effect."""
    from sagetrack.lab.analysis.records import FaultStateChanged

    active: list[str] = []
    for change in records.of_type(FaultStateChanged):
        if change.state == "begins":
            active.append(change.fault)
        elif change.fault in active:
            active.remove(change.fault)
    return active


def recently_served(records: Records, now_us: int) -> float | None:
    """Return the share of the last RECENT_US's requests that were served in time; None if there are none."""
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
    return [f"s-{server.number}", zone, state, "▇" * min(server.request_count, MAX_BAR_LENGTH)]
