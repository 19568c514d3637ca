"""Throughput, latency and CPU cost of a request: the gateway on one core, compared with a minimal relay.

Servers respond immediately, so that only the gateway is measured. Rounds of the relay and of each build
alternate on the same core. The load runs on another core: a closed loop finds the maximum throughput, then an
open loop runs at a fixed rate or at a share of the maximum, whichever is lower; see `http_load`.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path
from subprocess import Popen
from typing import Any, NamedTuple

import uvloop

from sagetrack.lab.benchmarks.gateway_files import (
    NEWER_OPERATOR_SETTINGS,
    NEWER_TYPE,
    gateway_configuration,
    gateway_environment,
)
from sagetrack.lab.benchmarks.http_load import FixedResponseServer, HttpLoad, run_http_load
from sagetrack.lab.benchmarks.measured_process import (
    forked_process,
    measured_process,
    open_servers,
    pinned_to,
    require_cores,
    wait_until_listening,
)
from sagetrack.lab.benchmarks.relays import relay_command, relay_environment
from sagetrack.lab.errors import LabError
from sagetrack.lab.processes.child_process import require_file_descriptors
from sagetrack.lab.processes.resource_usage import cpu_s, free_port, memory_mb

RELAY = "relay"
OPEN_LOOP_SHARE = 0.6  # upper limit of the open loop's rate, as a share of the maximum throughput
# Requests per second. All subjects have the same rate, so that their CPU time per request is comparable.
OPEN_LOOP_RATE = 1000.0
CLOSED_LOOP_CONNECTIONS = 32
OPEN_LOOP_CONNECTIONS = 4 * CLOSED_LOOP_CONNECTIONS
MAX_WARM_UP_S = 1.0  # maximum duration of the load before a measurement
MAX_FAILED = 0.01  # a measurement with a larger share of failed open-loop requests is rejected
MIN_COMPLETED = 0.99  # with a smaller share of the planned requests completed, the load ran late
GATEWAY_CORE, SERVER_CORE, LOAD_CORE, NEWER_SERVER_CORE = range(4)  # positions in the list of available cores
SPARE_FILES = 2000
FILES_PER_SERVER = 4
PACKAGE, PACKAGE_OF_OLD_BUILDS = "sagetrack", "cloverkeel"


@dataclass(slots=True, frozen=True)
class Subject:
    """A measured program: the relay, or a build of the gateway."""

    name: str
    build: Path | None = None  # source checkout of the gateway; None for the relay
    newer: bool = False  # the servers use the newer protocol format (gRPC)


@dataclass(slots=True, frozen=True)
class Result:
    """Result of one round."""

    subject: str
    servers: int
    requests_per_s: float  # requests served per second in the closed loop
    failed_share: float  # share of the closed loop's requests
    cpu_us: float  # CPU time of the measured process per request of the open loop
    p50_ms: float  # latency percentiles of the open loop
    p99_ms: float
    p999_ms: float
    memory_mb: float
    is_late: bool  # the load generator fell behind its rate, so the result is unreliable


class _Servers(NamedTuple):
    """Ports of the servers of a round."""

    ports: list[int]
    newer_ports: list[int]
    discovery_port: int


class _Measurement(NamedTuple):
    closed_loop: HttpLoad
    open_loop: HttpLoad
    open_loop_rate: float
    open_loop_cpu_s: float


def _serve(count: int, core: int, pipe: Connection) -> None:
    """Run servers and a discovery that never responds until killed, and send their ports through the pipe."""
    os.sched_setaffinity(0, {core})

    async def main() -> None:
        ports = await open_servers(FixedResponseServer, count, backlog=256)
        (discovery_port,) = await open_servers(asyncio.Protocol, 1)
        pipe.send((ports, discovery_port))
        await asyncio.Event().wait()

    uvloop.run(main())


def _serve_newer(count: int, core: int, pipe: Connection) -> None:
    """Run servers of the newer format until killed, and send their ports through the pipe."""
    from sagetrack.lab.stand_ins.grpc_server import GrpcServerConnection

    os.sched_setaffinity(0, {core})

    async def main() -> None:
        pipe.send(
            await open_servers(
                lambda: GrpcServerConnection(lambda connection, request: connection.respond(request)),
                count,
            )
        )
        await asyncio.Event().wait()

    uvloop.run(main())


@contextmanager
def _running_servers(count: int, cores: list[int], newer: bool) -> Iterator[_Servers]:
    with ExitStack() as stack:
        pipe = stack.enter_context(forked_process(_serve, count, cores[SERVER_CORE]))
        newer_ports: list[int] = []
        if newer:
            newer_pipe = stack.enter_context(forked_process(_serve_newer, count, cores[NEWER_SERVER_CORE]))
            newer_ports = newer_pipe.recv()
        ports, discovery_port = pipe.recv()
        yield _Servers(ports, newer_ports, discovery_port)


def _start(
    subject: Subject, port: int, servers: _Servers, folder: Path, core: int
) -> AbstractContextManager[Popen[bytes]]:
    if subject.build is None:
        command = relay_command("relay_tcp", port, servers.ports)
        return measured_process(command, relay_environment(), core, stdout=None, stderr=None)
    configuration = gateway_configuration(
        port,
        servers.newer_ports if subject.newer else servers.ports,
        servers.discovery_port,
        free_port(),
        NEWER_TYPE if subject.newer else "plain",
    )
    operator_settings = NEWER_OPERATOR_SETTINGS if subject.newer else ""
    environment = gateway_environment(folder, configuration, operator_settings, subject.build)
    module = PACKAGE if (subject.build / PACKAGE).is_dir() else PACKAGE_OF_OLD_BUILDS
    return measured_process([sys.executable, "-m", module], environment, core, subject.build)


async def _run_load(port: int, pid: int, seconds: float) -> _Measurement:
    """Warm up, find the maximum throughput in a closed loop, then measure in an open loop."""
    await run_http_load(port, CLOSED_LOOP_CONNECTIONS, min(MAX_WARM_UP_S, seconds / 3))
    closed_loop = await run_http_load(port, CLOSED_LOOP_CONNECTIONS, seconds)
    rate = max(1.0, min(OPEN_LOOP_RATE, OPEN_LOOP_SHARE * closed_loop.succeeded / seconds))
    cpu_before_s = cpu_s(pid)
    open_loop = await run_http_load(port, OPEN_LOOP_CONNECTIONS, seconds, rate)
    return _Measurement(closed_loop, open_loop, rate, cpu_s(pid) - cpu_before_s)


def _measure_round(subject: Subject, servers: _Servers, core: int, seconds: float) -> Result:
    port = free_port()
    with (
        tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder,
        _start(subject, port, servers, Path(folder), core) as process,
    ):
        wait_until_listening(port, process)
        closed_loop, open_loop, rate, spent_s = uvloop.run(_run_load(port, process.pid, seconds))
        completed = open_loop.succeeded + open_loop.failed
        if open_loop.failed > MAX_FAILED * max(1, completed):
            raise LabError(
                f"{subject.name}: {open_loop.failed} of {completed} requests failed at {rate:.0f} requests/s"
            )
        return Result(
            subject=subject.name,
            servers=len(servers.ports),
            requests_per_s=closed_loop.succeeded / seconds,
            failed_share=closed_loop.failed / max(1, closed_loop.succeeded + closed_loop.failed),
            cpu_us=spent_s * 1e6 / max(1, completed),
            p50_ms=open_loop.latency_ms(50),
            p99_ms=open_loop.latency_ms(99),
            p999_ms=open_loop.latency_ms(99.9),
            memory_mb=memory_mb(process.pid),
            is_late=completed < MIN_COMPLETED * rate * seconds,
        )


def _subjects(round_number: int, builds: list[Path], newer: bool) -> Iterator[Subject]:
    """Yield the subjects of a round: relay first, then the builds; in the reverse order in odd rounds."""
    order = [None, *builds] if round_number % 2 == 0 else [*reversed(builds), None]
    for build in order:
        if build is None:
            yield Subject(RELAY)
            continue
        yield Subject(str(build), build)
        if newer and build == builds[0]:
            yield Subject(f"{build}, newer format", build, newer=True)


def measure(
    sizes: list[int],
    seconds: float,
    rounds: int,
    builds: list[Path],
    progress: Callable[[int, int], None],
    newer: bool = False,
) -> list[Result]:
    """Measure the relay and each build in alternation, for each number of servers.

    Args:
        sizes: numbers of servers to measure with.
        seconds: duration of each load.
        rounds: number of measurements of each subject at each size.
        builds: source checkouts of the gateway.
        progress: called with the number of finished measurements and the number of all measurements.
        newer: also measure the first build with servers of the newer format, which need a fourth core.

    Raises:
        LabError: too few cores or file descriptors are available, or a round failed.
    """
    cores = require_cores(3, "the gateway, the servers and the load need one each")
    require_file_descriptors(SPARE_FILES + FILES_PER_SERVER * max(sizes))
    if newer:
        require_cores(4, "servers of the newer format need one too")
    total = len(sizes) * rounds * (1 + len(builds) + newer)
    results: list[Result] = []
    for size in sizes:
        with _running_servers(size, cores, newer) as servers, pinned_to(cores[LOAD_CORE]):
            for number in range(rounds):
                for subject in _subjects(number, builds, newer):
                    results.append(_measure_round(subject, servers, cores[GATEWAY_CORE], seconds))
                    progress(len(results), total)
    return results


def summary(results: list[Result]) -> list[dict[str, Any]]:
    """Return a row of medians over the rounds per size and subject, for JSON and the printed table.

    `cpu_us_range` is the smallest and the largest CPU time per request over the rounds. `times_relay` is the
    median CPU time per request as a multiple of the relay's.
    """
    rows = []
    for size in dict.fromkeys(result.servers for result in results):
        of_size = [result for result in results if result.servers == size]
        relay_cpu_us = statistics.median(result.cpu_us for result in of_size if result.subject == RELAY)
        for subject in dict.fromkeys(result.subject for result in results):
            rounds = [result for result in of_size if result.subject == subject]
            rows.append(_summary_row(rounds, relay_cpu_us))
    return rows


def _summary_row(rounds: list[Result], relay_cpu_us: float) -> dict[str, Any]:
    def median(field: str) -> float:
        return float(statistics.median(getattr(result, field) for result in rounds))

    cpu_us = [result.cpu_us for result in rounds]
    # The keys are kept for compatibility with stored results, so some differ from the field names.
    return {
        "what": rounds[0].subject,
        "servers": rounds[0].servers,
        "per_s": round(median("requests_per_s")),
        "refused": round(median("failed_share"), 3),
        "cpu_us": round(median("cpu_us"), 1),
        "cpu_us_range": [round(min(cpu_us), 1), round(max(cpu_us), 1)],
        "times_relay": round(median("cpu_us") / relay_cpu_us, 2) if relay_cpu_us else 0.0,
        "p50_ms": round(median("p50_ms"), 2),
        "p99_ms": round(median("p99_ms"), 2),
        "p999_ms": round(median("p999_ms"), 2),
        "memory_mb": round(median("memory_mb"), 1),
        "late": any(result.is_late for result in rounds),
    }
