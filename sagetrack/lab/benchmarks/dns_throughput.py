"""DNS throughput and CPU cost on one core, cached and forwarded, compared with a minimal UDP relay."""

from __future__ import annotations

import asyncio
import os
import statistics
import tempfile
import time
from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path
from subprocess import Popen
from typing import Any, NamedTuple

import uvloop

from sagetrack.lab.benchmarks.dns_load import RESPONSE_GRACE_S, DnsLoad, DnsServer, run_dns_load
from sagetrack.lab.benchmarks.gateway_files import (
    GATEWAY_COMMAND,
    gateway_configuration,
    gateway_environment,
)
from sagetrack.lab.benchmarks.measured_process import (
    forked_process,
    measured_process,
    pinned_to,
    require_cores,
    wait_for_dns_response,
)
from sagetrack.lab.benchmarks.relays import relay_command, relay_environment
from sagetrack.lab.errors import LabError
from sagetrack.lab.processes.resource_usage import cpu_s, free_port, memory_mb

RELAY, CACHED, FORWARDED = "relay", "cached", "forwarded"
SUBJECTS = (RELAY, CACHED, FORWARDED)
MAX_WARM_UP_S = 0.5  # maximum duration of the load before a measurement
FILL_TIMEOUT_S = 600.0  # limit of a run that lasts until the cache holds a given number of names
MEDIAN_COLUMNS = ("per_s", "cpu_us", "p50_ms", "p99_ms", "memory_mb", "unanswered")
MAX_INVALID = 0.01  # a measurement with a larger share of invalid responses is rejected


@dataclass(slots=True, frozen=True)
class Result:
    """Result of one measurement."""

    subject: str  # an element of `SUBJECTS`
    per_s: float
    cpu_us: float  # CPU time of the measured process per query
    p50_ms: float
    p99_ms: float
    memory_mb: float
    unanswered: int


class _Measurement(NamedTuple):
    load: DnsLoad
    cpu_s: float  # CPU time of the measured process
    elapsed_s: float


def _serve_upstream(core: int, pipe: Connection) -> None:
    """Run the upstream server until killed, and send its port through the pipe."""
    os.sched_setaffinity(0, {core})

    async def main() -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(DnsServer, ("127.0.0.1", 0))
        pipe.send(transport.get_extra_info("sockname")[1])
        await asyncio.Event().wait()

    uvloop.run(main())


def _start(
    subject: str, port: int, upstream_port: int, folder: Path, core: int
) -> AbstractContextManager[Popen[bytes]]:
    if subject == RELAY:
        return measured_process(relay_command("relay_udp", port, upstream_port), relay_environment(), core)
    configuration = gateway_configuration(free_port(), [free_port()], free_port(), free_port())
    operator_settings = (
        f'[dns]\nlisten = ["127.0.0.1:{port}"]\nupstreams = ["127.0.0.1:{upstream_port}"]\n'
        "cache_mb = 512\nqueries_each = 1000\n"
    )
    environment = gateway_environment(folder, configuration, operator_settings)
    return measured_process(GATEWAY_COMMAND, environment, core)


async def _run_load(subject: str, port: int, pid: int, seconds: float, names: int) -> _Measurement:
    await run_dns_load(port, min(MAX_WARM_UP_S, seconds / 3), False)
    cpu_before_s = cpu_s(pid)
    start_s = time.monotonic()
    limit_s = FILL_TIMEOUT_S if names else seconds
    load = await run_dns_load(port, limit_s, subject == FORWARDED, names)
    return _Measurement(load, cpu_s(pid) - cpu_before_s, time.monotonic() - start_s - RESPONSE_GRACE_S)


def _measure_round(subject: str, core: int, upstream_port: int, seconds: float, names: int = 0) -> Result:
    """Measure one subject for `seconds`, or until `names` queries are answered if it is not 0."""
    port = free_port()
    with (
        tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder,
        _start(subject, port, upstream_port, Path(folder), core) as process,
    ):
        wait_for_dns_response(port, process)
        load, spent_s, elapsed_s = uvloop.run(_run_load(subject, port, process.pid, seconds, names))
        answered = max(1, load.answered)
        if load.invalid > MAX_INVALID * answered:
            raise LabError(
                f"{subject}: {load.invalid} of {load.answered} responses had an error or no record"
            )
        return Result(
            subject=subject,
            per_s=load.answered / elapsed_s,
            cpu_us=spent_s * 1e6 / answered,
            p50_ms=load.latencies.get_value_at_percentile(50) / 1000,
            p99_ms=load.latencies.get_value_at_percentile(99) / 1000,
            memory_mb=memory_mb(process.pid),
            unanswered=load.lost,
        )


def _summary(results: dict[str, list[Result]]) -> list[dict[str, Any]]:
    """Return a row of medians per subject, with the CPU time per query as a multiple of the relay's."""
    relay_cpu_us = statistics.median(result.cpu_us for result in results[RELAY])
    rows = []
    for subject, rounds in results.items():
        medians = {
            column: round(statistics.median(getattr(result, column) for result in rounds), 2)
            for column in MEDIAN_COLUMNS
        }
        rows.append({"what": subject, **medians, "times_relay": round(medians["cpu_us"] / relay_cpu_us, 2)})
    return rows


def measure(
    seconds: float, rounds: int, names: int, progress: Callable[[int, int], None]
) -> list[dict[str, Any]]:
    """Measure the relay, cached queries and forwarded queries, in alternation.

    Args:
        seconds: duration of each measurement.
        rounds: number of measurements of each subject.
        names: if not 0, one more measurement forwards queries until the cache holds this many names.
        progress: called with the number of finished measurements and the number of all measurements.

    Returns:
        A row per subject: `what` (its name), medians of the fields of `Result`, and `times_relay`.

    Raises:
        LabError: fewer than 3 cores are available, or a measurement failed.
    """
    cores = require_cores(3, "gateway, upstream and load need one each")
    total = len(SUBJECTS) * rounds + bool(names)
    results: dict[str, list[Result]] = {subject: [] for subject in SUBJECTS}
    with forked_process(_serve_upstream, cores[1]) as upstream, pinned_to(cores[2]):
        port = upstream.recv()
        for number in range(rounds):
            for place, subject in enumerate(SUBJECTS, 1):
                results[subject].append(_measure_round(subject, cores[0], port, seconds))
                progress(len(SUBJECTS) * number + place, total)
        if names:
            filled = _measure_round(FORWARDED, cores[0], port, seconds, names)
            results[f"forwarded, {names} names kept"] = [filled]
            progress(total, total)
    return _summary(results)
