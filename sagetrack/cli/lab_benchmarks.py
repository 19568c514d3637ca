"""The benchmark commands of `sagetrack lab`, such as `throughput`, `dns`, `fair-queue` and `bodies`."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from sagetrack.cli.lab_app import error_exit, measuring, parse_integers, print_table, progress_bar

if TYPE_CHECKING:
    from sagetrack.lab.benchmarks.membership import MembershipResult
    from sagetrack.lab.benchmarks.readiness import CaseResult

MAX_SERVERS = 5000
GATEWAY_PACKAGES = ("sagetrack", "cloverkeel")  # package name of the gateway: current, and in old versions


def resolve_builds(paths: list[str] | None) -> list[Path]:
    """Return this checkout and the others to compare; exit with status 2 if one has no gateway package."""
    from sagetrack.lab.repository import ROOT

    builds = [ROOT, *(Path(path).resolve() for path in paths or [])]
    for build in builds:
        if not any((build / module).is_dir() for module in GATEWAY_PACKAGES):
            raise error_exit(f"--build {build}: this directory contains no gateway package")
    return builds


def throughput(
    servers: Annotated[str, typer.Option(help="numbers of servers, comma-separated")] = "8,64,400",
    seconds: Annotated[float, typer.Option(help="duration of each measurement", min=0.5, max=600)] = 3.0,
    rounds: Annotated[int, typer.Option(help="rounds of each measurement, interleaved", min=1, max=100)] = 3,
    build: Annotated[
        list[str] | None, typer.Option(help="another checkout to compare with this one; repeatable")
    ] = None,
    newer: Annotated[bool, typer.Option("--newer", help="also measure gRPC servers")] = False,
    as_json: Annotated[bool, typer.Option("--json", help="print one JSON array as the last line")] = False,
) -> None:
    """Measure the CPU cost of a request on one core, compared with a plain TCP relay in the same run."""
    from sagetrack.lab.benchmarks.throughput import measure, summary

    sizes = parse_integers("--servers", servers, "8,64,400", MAX_SERVERS)
    builds = resolve_builds(build)
    with measuring("throughput", as_json) as progress:
        rows = summary(
            measure(sizes, seconds, rounds, builds, lambda done, total: progress(done / total), newer)
        )
    if as_json:
        print(json.dumps(rows))
    else:
        shown = [{**row, "what": Path(row["what"]).name} for row in rows]
        print_table(f"one core, {rounds} rounds of {seconds:g} s", shown, 150, left=["what"])
    raise typer.Exit(1 if any(row["late"] for row in rows) else 0)


def membership(
    gateways: Annotated[str, typer.Option(help="fleet sizes, comma-separated")] = "8,50",
    loss: Annotated[str, typer.Option(help="datagram loss rates, comma-separated")] = "0,0.05,0.2",
    seeds: Annotated[int, typer.Option(help="runs per combination", min=1, max=1000)] = 3,
    seconds: Annotated[float, typer.Option(help="simulated time after the death", min=5, max=3600)] = 60.0,
) -> None:
    """Simulate membership in virtual time: detection time of a death, false deaths, and message cost."""
    from sagetrack.lab.benchmarks.membership import simulate_deaths, simulate_partition

    try:
        sizes = [int(size) for size in gateways.split(",")]
        losses = [float(share) for share in loss.split(",")]
    except ValueError:
        raise error_exit("--gateways and --loss take lists of numbers, for example 8,50 and 0,0.05") from None
    if min(sizes) < 2 or not all(0 <= share < 1 for share in losses):
        raise error_exit("--gateways must be at least 2, --loss from 0 to below 1")
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
    seconds: Annotated[float, typer.Option(help="duration of each measurement", min=0.5, max=600)] = 3.0,
    rounds: Annotated[int, typer.Option(help="rounds of each measurement, interleaved", min=1, max=100)] = 3,
    names: Annotated[
        int, typer.Option(help="distinct names to cache in an extra run; 0: no extra run", min=0)
    ] = 0,
) -> None:
    """Measure DNS queries per second on one core, cached and forwarded, compared with a plain UDP relay."""
    from sagetrack.lab.benchmarks.dns_throughput import measure as measure_dns

    with measuring("dns", False) as progress:
        rows = measure_dns(seconds, rounds, names, lambda done, total: progress(done / total))
    print_table(f"one core, {rounds} rounds of {seconds:g} s", rows, left=["what"])


def mixed_protocols(
    share: Annotated[
        float, typer.Option(help="load of each protocol, as a share of its capacity alone", min=0.01, max=1)
    ] = 0.5,
    seconds: Annotated[float, typer.Option(help="duration of each measurement", min=1, max=600)] = 10.0,
    rounds: Annotated[int, typer.Option(help="rounds of each measurement, interleaved", min=1, max=100)] = 3,
    json_: Annotated[bool, typer.Option("--json", help="print one JSON object")] = False,
) -> None:
    """Measure DNS and HTTP on one gateway, separately and together, with one slow server per protocol."""
    from sagetrack.lab.benchmarks.mixed_protocols import measure as measure_both

    with measuring("mixed-protocols", json_) as progress:
        results = measure_both(share, seconds, rounds, progress)
    if json_:
        print(json.dumps(results))
        return
    print_table(f"alone: HTTP {results['capacity_http']}/s, DNS {results['capacity_dns']}/s", results["rows"])


def fair_queue(
    clients: Annotated[str, typer.Option(help="numbers of clients, comma-separated")] = "10,1000,50000",
    calls: Annotated[int, typer.Option(help="calls per round", min=100, max=10_000_000)] = 10_000,
    rounds: Annotated[int, typer.Option(help="rounds of each measurement, interleaved", min=1, max=100)] = 3,
    memory_kb: Annotated[int, typer.Option(help="memory limit of the queues in KiB", min=64)] = 16 * 1024,
    load: Annotated[
        float, typer.Option(help="load, as a multiple of server capacity", min=0.01, max=100.0)
    ] = 2.0,
) -> None:
    """Measure the cost of fair queueing at a given load: time per call and memory."""
    from sagetrack.lab.benchmarks.fair_queue import measure as measure_fair_queue

    sizes = parse_integers("--clients", clients, "10,1000")
    with measuring("fair-queue", False) as progress:
        rows = measure_fair_queue(sizes, calls, rounds, memory_kb, progress, load)
    print_table(f"{rounds} rounds of {calls} calls at {load:g} times server capacity", rows, 150)


def bodies(
    streams: Annotated[int, typer.Option(help="concurrent calls", min=1, max=5000)] = 1000,
    body_kb: Annotated[
        int, typer.Option(help="size of each request and response body in kB", min=1, max=32_000)
    ] = 1000,
) -> None:
    """Measure the gateway's memory while it forwards large bodies to and from gRPC servers."""
    from sagetrack.lab.benchmarks.bodies import measure as measure_bodies

    with measuring("bodies", False) as progress:
        report = measure_bodies(streams, body_kb, progress)
    print(
        f"{report.complete} of {report.streams} calls complete in {report.seconds} s, "
        f"{report.body_kb} kB each way; "
        f"memory {report.idle_mb} MB idle, {report.sending_mb} MB while receiving bodies, "
        f"{report.peak_mb} MB at peak: "
        f"{report.per_stream_kb} kB per call"
    )
    raise typer.Exit(0 if report.complete == report.streams else 1)


def readiness(
    rounds: Annotated[int, typer.Option(help="starts per case", min=1, max=100)] = 3,
    only: Annotated[str, typer.Option(help="run only cases whose name contains this")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="print a JSON line per case")] = False,
) -> None:
    """Measure the CPU time from a gateway's start to ready; exit 1 if a quarter of a core is too slow."""
    from sagetrack.lab.benchmarks.readiness import CASES, READY_LIMIT_S, measure

    cases = tuple(case for case in CASES if only in case.name)
    if not cases:
        raise error_exit(f"--only {only}: no case name contains this")
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
        f"{reading.case.name}: {len(reading.cpu_s)} starts, 90% within "
        f"{percentile_90(reading.cpu_s):.2f} s of CPU "
        f"({reading.quarter_core_s:.1f} s on a quarter of a core), "
        f"{percentile_90(reading.elapsed_s):.1f} s elapsed\n    {reading.phases}"
    )
