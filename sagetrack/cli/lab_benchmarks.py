"""`sagetrack lab throughput`, `dns`, `together`, `door`, `bodies`, `membership`, `readiness`: benchmarks."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from sagetrack.cli.lab_app import INTERRUPTED, bar, fail

if TYPE_CHECKING:
    pass


def throughput(
    servers: Annotated[str, typer.Option(help="numbers of servers")] = "8,64,400",
    seconds: Annotated[float, typer.Option(help="of each measurement", min=0.5, max=600)] = 3.0,
    rounds: Annotated[int, typer.Option(help="of each, by turns", min=1, max=100)] = 3,
    build: Annotated[
        list[str] | None, typer.Option(help="another checkout to measure beside this one; may be given again")
    ] = None,
    newer: Annotated[bool, typer.Option("--newer", help="servers of the newer format too")] = False,
    as_json: Annotated[bool, typer.Option("--json", help="one JSON array as the last line")] = False,
) -> None:
    """Measure what a request costs on one core, against a bare relay on the same core in the same run."""
    from sagetrack.lab.benchmarks.throughput import measure, summary
    from sagetrack.lab.errors import LabError
    from sagetrack.lab.repository import ROOT

    try:
        sizes = [int(size) for size in servers.split(",")]
    except ValueError:
        raise fail(f"--servers {servers}: the form is 8,64,400") from None
    if not sizes or min(sizes) < 1 or max(sizes) > 5000:
        raise fail(f"--servers {servers}: each is from 1 to 5000")
    builds = [ROOT, *(Path(path).resolve() for path in build or [])]
    for path in builds:
        if not any((path / name).is_dir() for name in ("sagetrack", "cloverkeel")):
            raise fail(f"--build {path}: no gateway there")
    try:
        with bar("throughput", as_json) as tell:
            rows = summary(measure(sizes, seconds, rounds, builds, lambda at, of: tell(at / of), newer))
    except LabError as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    if as_json:
        print(json.dumps(rows))
    else:
        from rich.console import Console
        from rich.table import Table

        table = Table(title=f"one core, {rounds} rounds of {seconds:g} s")
        for name in rows[0]:
            table.add_column(name.replace("_", " "), justify="left" if name == "what" else "right")
        for row in rows:
            name = Path(row["what"]).name
            table.add_row(name, *(str(value) for key, value in row.items() if key != "what"))
        Console(width=150).print(table)
    raise typer.Exit(1 if any(row["late"] for row in rows) else 0)


def membership(
    gateways: Annotated[str, typer.Option(help="sizes of the fleet")] = "8,50",
    loss: Annotated[str, typer.Option(help="shares of datagrams that are lost")] = "0,0.05,0.2",
    seeds: Annotated[int, typer.Option(help="runs of each", min=1, max=1000)] = 3,
    seconds: Annotated[float, typer.Option(help="played after the death", min=5, max=3600)] = 60.0,
) -> None:
    """Play membership in virtual time: how soon a death is known, who is wrongly declared, what it costs."""
    from sagetrack.lab.benchmarks.membership import death, partition

    try:
        sizes = [int(size) for size in gateways.split(",")]
        losses = [float(share) for share in loss.split(",")]
    except ValueError:
        raise fail("--gateways and --loss are lists of numbers, as in 8,50 and 0,0.05") from None
    if min(sizes) < 2 or not all(0 <= share < 1 for share in losses):
        raise fail("--gateways are from 2, --loss from 0 to below 1")
    print("gateways  loss  known after (median, p99)  missed  false deaths  sent/s (most)  bytes/s  healed")
    with bar("membership", False) as tell:
        for number, (size, share) in enumerate((size, share) for size in sizes for share in losses):
            runs = [death(size, seed, share, seconds) for seed in range(1, seeds + 1)]
            healed = [partition(size, seed, share).healed_s for seed in range(1, seeds + 1)]
            middle = sorted(run.median_s for run in runs)[len(runs) // 2]
            last = max(run.p99_s for run in runs)
            missed, false = sum(run.missed for run in runs), sum(run.false_deaths for run in runs)
            sent = sum(run.sent_per_s for run in runs) / len(runs)
            size_s = sum(run.bytes_per_s for run in runs) / len(runs)
            most = max(run.most_per_s for run in runs)
            heal = "never" if min(healed) < 0 else f"{max(healed):.1f} s at most"
            print(
                f"{size:8}  {share:4.2f}  {middle:8.1f} s, {last:.1f} s  {missed:13}  {false:12}  "
                f"{sent:6.1f} ({most:.1f})  {size_s:7.0f}  {heal}",
                flush=True,
            )
            tell((number + 1) / (len(sizes) * len(losses)))


def dns(
    seconds: Annotated[float, typer.Option(help="of each measurement", min=0.5, max=600)] = 3.0,
    rounds: Annotated[int, typer.Option(help="of each, by turns", min=1, max=100)] = 3,
    names: Annotated[int, typer.Option(help="names to keep in one more run, 0: none", min=0)] = 0,
) -> None:
    """Measure DNS queries a second on one core, cached and forwarded, against a bare UDP relay."""
    from sagetrack.lab.benchmarks.dns_throughput import measure as measure_dns
    from sagetrack.lab.errors import LabError

    try:
        with bar("dns", False) as tell:
            rows = measure_dns(seconds, rounds, names, lambda at, of: tell(at / of))
    except LabError as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"one core, {rounds} rounds of {seconds:g} s")
    for name in rows[0]:
        table.add_column(name.replace("_", " "), justify="left" if name == "what" else "right")
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    Console().print(table)


def together(
    share: Annotated[float, typer.Option(help="of what passes alone, each", min=0.01, max=1)] = 0.5,
    seconds: Annotated[float, typer.Option(help="of each measurement", min=1, max=600)] = 10.0,
    rounds: Annotated[int, typer.Option(help="of each, by turns", min=1, max=100)] = 3,
    json_: Annotated[bool, typer.Option("--json", help="as one JSON object")] = False,
) -> None:
    """Measure DNS and HTTP on one gateway with one slow server of each, alone and together."""
    from sagetrack.lab.benchmarks.mixed_protocols import measure as measure_both
    from sagetrack.lab.errors import LabError

    try:
        with bar("together", json_) as tell:
            found = measure_both(share, seconds, rounds, tell)
    except LabError as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    if json_:
        print(json.dumps(found))
        return
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"alone: HTTP {found['capacity_http']}/s, DNS {found['capacity_dns']}/s")
    for name in found["rows"][0]:
        table.add_column(name.replace("_", " "), justify="right")
    for row in found["rows"]:
        table.add_row(*(str(value) for value in row.values()))
    Console().print(table)


def door(
    clients: Annotated[str, typer.Option(help="numbers of clients")] = "10,1000,50000",
    calls: Annotated[int, typer.Option(help="of each round", min=100, max=10_000_000)] = 10_000,
    rounds: Annotated[int, typer.Option(help="of each, by turns", min=1, max=100)] = 3,
    memory_kb: Annotated[int, typer.Option(help="the door's bound", min=64)] = 16 * 1024,
    load: Annotated[float, typer.Option(help="times what the servers can do", min=0.01, max=100.0)] = 2.0,
) -> None:
    """Measure what fair queues cost, in a crowd or in calm: time of a call, memory."""
    from sagetrack.lab.benchmarks.fair_queue import measure as measure_door

    try:
        sizes = [int(size) for size in clients.split(",")]
    except ValueError:
        raise fail(f"--clients {clients}: numbers with commas, as in 10,1000") from None
    if min(sizes) < 1:
        raise fail(f"--clients {clients}: each is at least 1")
    try:
        with bar("door", False) as tell:
            rows = measure_door(sizes, calls, rounds, memory_kb, tell, load)
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"{rounds} rounds of {calls} calls at {load:g} times what the servers do")
    for name in rows[0]:
        table.add_column(name.replace("_", " "), justify="right")
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    Console(width=150).print(table)


def bodies(
    streams: Annotated[int, typer.Option(help="calls under way at once", min=1, max=5000)] = 1000,
    body_kb: Annotated[int, typer.Option(help="of each body, both ways", min=1, max=32_000)] = 1000,
) -> None:
    """Measure the gateway's memory while long bodies pass to and from servers of the newer format."""
    from sagetrack.lab.benchmarks.bodies import measure as measure_bodies
    from sagetrack.lab.errors import LabError

    try:
        with bar("bodies", False) as tell:
            found = measure_bodies(streams, body_kb, tell)
    except LabError as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    print(
        f"{found.complete} of {found.streams} calls whole in {found.seconds} s, {found.body_kb} kB each way; "
        f"memory {found.idle_mb} MB idle, {found.sending_mb} while bodies came, {found.peak_mb} at the most: "
        f"{found.per_stream_kb} kB a call"
    )
    raise typer.Exit(0 if found.complete == found.streams else 1)


def readiness(
    rounds: Annotated[int, typer.Option(help="of each case", min=1, max=100)] = 3,
    only: Annotated[str, typer.Option(help="cases whose name contains this")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="a JSON line for each case")] = False,
) -> None:
    """Measure CPU time from a gateway's start to ready; exit 1 if a quarter of a core is too little."""
    from sagetrack.lab.benchmarks.readiness import CASES, MOST_S, measure, nine_in_ten
    from sagetrack.lab.errors import LabError

    cases = tuple(case for case in CASES if only in case.name)
    if not cases:
        raise fail(f"--only {only}: no case has that in its name")
    slow = False
    try:
        with bar("readiness", as_json) as tell:
            for one in measure(rounds, cases, tell):
                slow |= one.quarter_s > MOST_S
                cpu, elapsed = nine_in_ten(one.cpu_s), nine_in_ten(one.elapsed_s)
                if as_json:
                    row = {"case": one.case.name, "starts": len(one.cpu_s), "cpu_s": cpu}
                    row |= {"quarter_s": one.quarter_s, "elapsed_s": elapsed, "parts": one.parts}
                    print(json.dumps(row), flush=True)
                    continue
                print(
                    f"{one.case.name}: {len(one.cpu_s)} starts, nine in ten within {cpu:.2f} s of CPU "
                    f"({one.quarter_s:.1f} s on a quarter of a core), {elapsed:.1f} s elapsed\n"
                    f"    {one.parts}",
                    flush=True,
                )
    except LabError as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    raise typer.Exit(1 if slow else 0)
