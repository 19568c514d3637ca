"""`sagetrack lab throughput`, `dns`, `mixed-protocols`, `fair-queue`, `bodies` and others: benchmarks."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from sagetrack.cli.lab_app import fail, integers_of, measuring, print_table, progress_bar

if TYPE_CHECKING:
    from sagetrack.lab.benchmarks.membership import MembershipResult
    from sagetrack.lab.benchmarks.readiness import CaseResult

MOST_SERVERS = 5000
MODULES = ("sagetrack", "cloverkeel")  # a checkout of any version of the gateway has one of these


def builds_of(paths: list[str] | None) -> list[Path]:
    """This checkout and the others to measure beside it; exit 2 with one line for one without a gateway."""
    from sagetrack.lab.repository import ROOT

    builds = [ROOT, *(Path(path).resolve() for path in paths or [])]
    for build in builds:
        if not any((build / module).is_dir() for module in MODULES):
            raise fail(f"--build {build}: no gateway there")
    return builds


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

    sizes = integers_of("--servers", servers, "8,64,400", MOST_SERVERS)
    builds = builds_of(build)
    with measuring("throughput", as_json) as progress:
        rows = summary(measure(sizes, seconds, rounds, builds, lambda at, of: progress(at / of), newer))
    if as_json:
        print(json.dumps(rows))
    else:
        shown = [{**row, "what": Path(row["what"]).name} for row in rows]
        print_table(f"one core, {rounds} rounds of {seconds:g} s", shown, 150, left=["what"])
    raise typer.Exit(1 if any(row["late"] for row in rows) else 0)


def membership(
    gateways: Annotated[str, typer.Option(help="sizes of the fleet")] = "8,50",
    loss: Annotated[str, typer.Option(help="shares of datagrams that are lost")] = "0,0.05,0.2",
    seeds: Annotated[int, typer.Option(help="runs of each", min=1, max=1000)] = 3,
    seconds: Annotated[float, typer.Option(help="played after the death", min=5, max=3600)] = 60.0,
) -> None:
    """Play membership in virtual time: how soon a death is known, who is wrongly declared, what it costs."""
    from sagetrack.lab.benchmarks.membership import simulate_deaths, simulate_partition

    try:
        sizes = [int(size) for size in gateways.split(",")]
        losses = [float(share) for share in loss.split(",")]
    except ValueError:
        raise fail("--gateways and --loss are lists of numbers, as in 8,50 and 0,0.05") from None
    if min(sizes) < 2 or not all(0 <= share < 1 for share in losses):
        raise fail("--gateways are from 2, --loss from 0 to below 1")
    print("gateways  loss  known after (median, p99)  missed  false deaths  sent/s (most)  bytes/s  healed")
    with progress_bar("membership", False) as progress:
        for number, (size, share) in enumerate((size, share) for size in sizes for share in losses):
            runs = [simulate_deaths(size, seed, share, seconds) for seed in range(1, seeds + 1)]
            partitions = [simulate_partition(size, seed, share) for seed in range(1, seeds + 1)]
            print(_membership_line(size, share, runs, partitions), flush=True)
            progress((number + 1) / (len(sizes) * len(losses)))


def _membership_line(
    size: int, loss: float, runs: list[MembershipResult], partitions: list[MembershipResult]
) -> str:
    median_s = sorted(run.median_s for run in runs)[len(runs) // 2]
    last_s = max(run.p99_s for run in runs)
    missed = sum(run.undetected for run in runs)
    false_deaths = sum(run.false_deaths for run in runs)
    sent_per_s = sum(run.sent_per_s for run in runs) / len(runs)
    most_per_s = max(run.max_sent_per_s for run in runs)
    bytes_per_s = sum(run.bytes_per_s for run in runs) / len(runs)
    healed_s = [run.convergence_s for run in partitions]
    healed = "never" if min(healed_s) < 0 else f"{max(healed_s):.1f} s at most"
    return (
        f"{size:8}  {loss:4.2f}  {median_s:8.1f} s, {last_s:.1f} s  {missed:13}  {false_deaths:12}  "
        f"{sent_per_s:6.1f} ({most_per_s:.1f})  {bytes_per_s:7.0f}  {healed}"
    )


def dns(
    seconds: Annotated[float, typer.Option(help="of each measurement", min=0.5, max=600)] = 3.0,
    rounds: Annotated[int, typer.Option(help="of each, by turns", min=1, max=100)] = 3,
    names: Annotated[int, typer.Option(help="names to keep in one more run, 0: none", min=0)] = 0,
) -> None:
    """Measure DNS queries a second on one core, cached and forwarded, against a bare UDP relay."""
    from sagetrack.lab.benchmarks.dns_throughput import measure as measure_dns

    with measuring("dns", False) as progress:
        rows = measure_dns(seconds, rounds, names, lambda at, of: progress(at / of))
    print_table(f"one core, {rounds} rounds of {seconds:g} s", rows, left=["what"])


def mixed_protocols(
    share: Annotated[float, typer.Option(help="of what passes alone, each", min=0.01, max=1)] = 0.5,
    seconds: Annotated[float, typer.Option(help="of each measurement", min=1, max=600)] = 10.0,
    rounds: Annotated[int, typer.Option(help="of each, by turns", min=1, max=100)] = 3,
    json_: Annotated[bool, typer.Option("--json", help="as one JSON object")] = False,
) -> None:
    """Measure DNS and HTTP on one gateway with one slow server of each, alone and together."""
    from sagetrack.lab.benchmarks.mixed_protocols import measure as measure_both

    with measuring("mixed-protocols", json_) as progress:
        results = measure_both(share, seconds, rounds, progress)
    if json_:
        print(json.dumps(results))
        return
    print_table(f"alone: HTTP {results['capacity_http']}/s, DNS {results['capacity_dns']}/s", results["rows"])


def fair_queue(
    clients: Annotated[str, typer.Option(help="numbers of clients")] = "10,1000,50000",
    calls: Annotated[int, typer.Option(help="of each round", min=100, max=10_000_000)] = 10_000,
    rounds: Annotated[int, typer.Option(help="of each, by turns", min=1, max=100)] = 3,
    memory_kb: Annotated[int, typer.Option(help="the bound on the queues' memory", min=64)] = 16 * 1024,
    load: Annotated[float, typer.Option(help="times what the servers can do", min=0.01, max=100.0)] = 2.0,
) -> None:
    """Measure what fair queues cost, overloaded or not: time of a call, memory."""
    from sagetrack.lab.benchmarks.fair_queue import measure as measure_fair_queue

    sizes = integers_of("--clients", clients, "10,1000")
    with measuring("fair-queue", False) as progress:
        rows = measure_fair_queue(sizes, calls, rounds, memory_kb, progress, load)
    print_table(f"{rounds} rounds of {calls} calls at {load:g} times what the servers do", rows, 150)


def bodies(
    streams: Annotated[int, typer.Option(help="calls under way at once", min=1, max=5000)] = 1000,
    body_kb: Annotated[int, typer.Option(help="of each body, both ways", min=1, max=32_000)] = 1000,
) -> None:
    """Measure the gateway's memory while long bodies pass to and from servers of the newer format."""
    from sagetrack.lab.benchmarks.bodies import measure as measure_bodies

    with measuring("bodies", False) as progress:
        report = measure_bodies(streams, body_kb, progress)
    print(
        f"{report.complete} of {report.streams} calls whole in {report.seconds} s, "
        f"{report.body_kb} kB each way; "
        f"memory {report.idle_mb} MB idle, {report.sending_mb} while bodies came, "
        f"{report.peak_mb} at the most: "
        f"{report.per_stream_kb} kB a call"
    )
    raise typer.Exit(0 if report.complete == report.streams else 1)


def readiness(
    rounds: Annotated[int, typer.Option(help="of each case", min=1, max=100)] = 3,
    only: Annotated[str, typer.Option(help="cases whose name contains this")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="a JSON line for each case")] = False,
) -> None:
    """Measure CPU time from a gateway's start to ready; exit 1 if a quarter of a core is too little."""
    from sagetrack.lab.benchmarks.readiness import CASES, READY_LIMIT_S, measure

    cases = tuple(case for case in CASES if only in case.name)
    if not cases:
        raise fail(f"--only {only}: no case has that in its name")
    slow = False
    with measuring("readiness", as_json) as progress:
        for reading in measure(rounds, cases, progress):
            slow |= reading.quarter_core_s > READY_LIMIT_S
            print(_readiness_json(reading) if as_json else _readiness_lines(reading), flush=True)
    raise typer.Exit(1 if slow else 0)


def _readiness_json(reading: CaseResult) -> str:
    from sagetrack.lab.benchmarks.readiness import percentile_90

    row: dict[str, Any] = {
        "case": reading.case.name,
        "starts": len(reading.cpu_s),
        "cpu_s": percentile_90(reading.cpu_s),
        "quarter_s": reading.quarter_core_s,
        "elapsed_s": percentile_90(reading.elapsed_s),
        "parts": reading.phases,
    }
    return json.dumps(row)


def _readiness_lines(reading: CaseResult) -> str:
    from sagetrack.lab.benchmarks.readiness import percentile_90

    return (
        f"{reading.case.name}: {len(reading.cpu_s)} starts, nine in ten within "
        f"{percentile_90(reading.cpu_s):.2f} s of CPU "
        f"({reading.quarter_core_s:.1f} s on a quarter of a core), "
        f"{percentile_90(reading.elapsed_s):.1f} s elapsed\n    {reading.phases}"
    )
