"""What a request costs: the gateway on one core, beside a bare relay on the same core in the same run.

Address servers answer at once, so that all that is measured is the gateway. Rounds of the relay and of each
build take turns; the load comes from other cores, in a closed loop to find the most that passes, then in an
open loop at a share of that, with latencies counted from when each request was due (no coordinated omission).
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import uvloop

from sagetrack.lab.analysis.figures import histogram
from sagetrack.lab.errors import LabError
from sagetrack.lab.model.platform_settings import platform_settings
from sagetrack.lab.model.scenario import Clients, Fleet, RequestClass, Scenario
from sagetrack.lab.processes.fleet import need_files
from sagetrack.lab.processes.resource_usage import cpu_s, free_port, memory_mb
from sagetrack.lab.repository import ROOT

OPEN_SHARE = 0.6  # of the most that passes: the open loop's rate at the most
OPEN_RATE = 1000.0  # the same for all that is measured, so that what a request costs can be compared
CONNECTIONS = 32
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n" + b"x" * 64


@dataclass(slots=True, frozen=True)
class Result:
    """One round."""

    what: str
    servers: int
    per_s: float  # requests served a second, closed loop
    refused: float  # share of requests that were turned away at that, closed loop
    cpu_us: float  # of the measured process for each request, open loop
    p50_ms: float
    p99_ms: float
    p999_ms: float
    memory_mb: float
    late: bool  # the open loop's load ran late


class _Echo(asyncio.Protocol):
    """An address server that answers at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.buffer = b""

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            self.buffer = self.buffer[end + 4 :]
            self.transport.write(REPLY)


def _serve(count: int, core: int, pipe: Any) -> None:
    """A process of echo servers and an empty-handed discovery; tells their ports."""
    os.sched_setaffinity(0, {core})

    async def main() -> None:
        loop = asyncio.get_running_loop()
        ports = []
        for _ in range(count):
            server = await loop.create_server(_Echo, "127.0.0.1", 0, backlog=256)
            ports.append(server.sockets[0].getsockname()[1])
        silent = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        pipe.send((ports, silent.sockets[0].getsockname()[1]))
        await asyncio.Event().wait()

    uvloop.run(main())


def _serve_newer(count: int, core: int, pipe: Any) -> None:
    """The same of the newer format."""
    from sagetrack.lab.stand_ins.grpc_server import NewConnection

    os.sched_setaffinity(0, {core})

    async def main() -> None:
        loop = asyncio.get_running_loop()
        ports = []
        for _ in range(count):
            server = await loop.create_server(
                lambda: NewConnection(lambda connection, asked: connection.answer(asked)), "127.0.0.1", 0
            )
            ports.append(server.sockets[0].getsockname()[1])
        pipe.send(ports)
        await asyncio.Event().wait()

    uvloop.run(main())


class _Side(asyncio.Protocol):
    """One side of a relayed connection."""

    def __init__(self, other: _Side | None) -> None:
        self.other = other
        self.transport: asyncio.Transport | None = None
        self.early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        for data in self.early:
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        other = self.other
        if other is not None and other.transport is not None:
            other.transport.write(data)
        elif other is not None:
            other.early.append(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


def relay(port: int, targets: list[int]) -> None:
    """A bare relay: bytes from each client's connection to one server, and back. Runs until it is killed."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        turn = 0

        def accept() -> _Side:
            nonlocal turn
            turn += 1
            client, server = _Side(None), _Side(None)
            client.other, server.other = server, client
            connecting = loop.create_connection(lambda: server, "127.0.0.1", targets[turn % len(targets)])
            server.task = loop.create_task(connecting)  # type: ignore[attr-defined]
            return client

        await loop.create_server(accept, "127.0.0.1", port)
        await asyncio.Event().wait()

    uvloop.run(main())


class _Loader(asyncio.Protocol):
    """One connection of the load."""

    def __init__(self, run: _Run) -> None:
        self.run = run
        self.buffer = b""
        self.due_s = 0.0
        self.busy = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, due_s: float) -> None:
        self.busy, self.due_s = True, due_s
        self.transport.write(self.run.request())

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0 or len(self.buffer) < end + 4 + 64:
            if end >= 0 and not self.buffer.startswith(b"HTTP/1.1 200"):
                self.run.failed += 1
                self.buffer, self.busy = b"", False
                self.run.free(self)
            return
        self.buffer, self.busy = b"", False
        self.run.done(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.busy:
            self.run.failed += 1


class _Run:
    """The load of one round."""

    def __init__(self) -> None:
        self.count = 0
        self.finished = 0
        self.failed = 0
        self.times = histogram()
        self.closed = True
        self.stop = False
        self.ready: deque[_Loader] = deque()
        self.due: deque[float] = deque()
        self.now = time.perf_counter  # the event loop's own clock counts whole milliseconds
        self.prefix = f"{os.getpid():x}{time.monotonic_ns():x}"

    def request(self) -> bytes:
        self.count += 1
        return (
            b"GET /lookup/1 HTTP/1.1\r\nHost: g\r\nX-Call-Id: %s%x\r\nX-Call-Class: lookup\r\n"
            b"X-Caller: acme\r\nX-Budget-Ms: 3000\r\n\r\n" % (self.prefix.encode(), self.count)
        )

    def done(self, loader: _Loader) -> None:
        self.finished += 1
        self.times.record_value(max(1, int((self.now() - loader.due_s) * 1e6)))
        self.free(loader)

    def free(self, loader: _Loader) -> None:
        if self.stop:
            return
        if self.closed:
            loader.ask(self.now())
        elif self.due:
            loader.ask(self.due.popleft())
        else:
            self.ready.append(loader)


async def _load(port: int, connections: int, seconds: float, rate: float) -> _Run:
    """Load for so long: in a closed loop with a rate of 0, else in an open one."""
    loop = asyncio.get_running_loop()
    run = _Run()
    run.closed = rate <= 0
    loaders = []
    for _ in range(connections):
        _, loader = await loop.create_connection(lambda: _Loader(run), "127.0.0.1", port)
        loaders.append(loader)
    start = run.now()
    if run.closed:
        for loader in loaders:
            loader.ask(run.now())
        await asyncio.sleep(seconds)
    else:
        run.ready.extend(loaders)
        given = 0
        while (now := run.now()) < start + seconds:
            while given < (now - start) * rate:
                due = start + given / rate
                given += 1
                if run.ready:
                    run.ready.popleft().ask(due)
                else:
                    run.due.append(due)
            await asyncio.sleep(0.0005)
    run.stop = True
    await asyncio.sleep(0.05)
    for loader in loaders:
        loader.transport.abort()
    return run


def _await_port(port: int, process: subprocess.Popen[bytes]) -> None:
    end = time.monotonic() + 10
    while time.monotonic() < end:
        if process.poll() is not None:
            break
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
            return
        except OSError:
            time.sleep(0.01)
    raise LabError("the measured process does not listen")


def configuration(
    port: int, ports: list[int], discovery: int, admin: int, type_: str = "plain"
) -> dict[str, Any]:
    kind = RequestClass(name="lookup", work_ms=1, latency_objective_ms=1000, deadline_ms=3000)
    scenario = Scenario(
        name="throughput", fleet=Fleet(servers=len(ports), gateways=1), classes=[kind], clients=Clients()
    )
    return {
        "name": "g0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "1",
        "admin": f"127.0.0.1:{admin}",
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 4096},
        "known": {
            "index": 1,
            "snapshot": True,
            "endpoints": [
                {
                    "name": f"s-{n}",
                    "address": f"127.0.0.1:{p}",
                    "zone": "a",
                    "type": type_,
                    "group": n // 4,
                    "status": "SERVING",
                    "weight": 1.0,
                    "since_ms": 0,
                }
                for n, p in enumerate(ports)
            ],
        },
        "settings": platform_settings(scenario, 0),
    }


def _round(
    what: str,
    build: Path | None,
    servers: int,
    ports: list[int],
    discovery: int,
    core: int,
    seconds: float,
    newer: bool = False,
) -> Result:
    port = free_port()
    with tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder:
        if build is None:
            command = [
                sys.executable,
                "-c",
                f"from sagetrack.lab.benchmarks.throughput import relay; relay({port}, {ports})",
            ]
            process = subprocess.Popen(command, cwd=ROOT, env=os.environ | {"PYTHONPATH": str(ROOT)})
        else:
            file = Path(folder) / "config.json"
            type_ = "newer" if newer else "plain"
            file.write_text(json.dumps(configuration(port, ports, discovery, free_port(), type_)))
            operator = Path(folder) / "operator.toml"
            operator.write_text('[newer]\ntypes = ["newer"]\n')
            module = "sagetrack" if (build / "sagetrack").is_dir() else "cloverkeel"
            environment = os.environ | {"LB_CONFIG": str(file), "PYTHONPATH": str(build), "TMPDIR": folder}
            if newer:
                environment["LB_OPERATOR"] = str(operator)
            process = subprocess.Popen(
                [sys.executable, "-m", module],
                cwd=build,
                env=environment,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
        try:
            os.sched_setaffinity(process.pid, {core})
            _await_port(port, process)

            async def measure() -> tuple[_Run, float, _Run, float]:
                await _load(port, CONNECTIONS, min(1.0, seconds / 3), 0.0)  # all is warm then
                closed = await _load(port, CONNECTIONS, seconds, 0.0)
                rate = max(1.0, min(OPEN_RATE, OPEN_SHARE * closed.finished / seconds))
                before = cpu_s(process.pid)
                open_ = await _load(port, CONNECTIONS * 4, seconds, rate)
                return closed, cpu_s(process.pid) - before, open_, rate

            closed, cpu, open_, rate = uvloop.run(measure())
            done = open_.finished + open_.failed
            if open_.failed > 0.01 * max(1, done):
                raise LabError(f"{what}: {open_.failed} of {done} requests failed at {rate:.0f} a second")

            def at(percentile: float) -> float:
                return float(open_.times.get_value_at_percentile(percentile)) / 1000

            return Result(
                what,
                servers,
                closed.finished / seconds,
                closed.failed / max(1, closed.finished + closed.failed),
                cpu * 1e6 / max(1, done),
                at(50),
                at(99),
                at(99.9),
                memory_mb(process.pid),
                done < 0.99 * rate * seconds,
            )
        finally:
            process.kill()
            process.wait()


def measure(
    sizes: list[int],
    seconds: float,
    rounds: int,
    builds: list[Path],
    progress: Callable[[int, int], None],
    newer: bool = False,
) -> list[Result]:
    """Rounds of the relay and of each build by turns, for each number of servers. LabError if one fails.

    `newer`: this build also before as many servers of the newer format, which have a core of their own.
    """
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 3:
        raise LabError(f"{len(cores)} cores are too few: the gateway, the servers and the load need one each")
    need_files(2000 + max(sizes) * 4)
    results: list[Result] = []
    if newer and len(cores) < 4:
        raise LabError(f"{len(cores)} cores are too few: servers of the newer format need one too")
    total, at = len(sizes) * rounds * (1 + len(builds) + newer), 0
    mine = os.sched_getaffinity(0)
    context = multiprocessing.get_context("fork")
    for size in sizes:
        here, there = context.Pipe()
        servers = context.Process(target=_serve, args=(size, cores[1], there), daemon=True)
        servers.start()
        others = None
        if newer:
            others = context.Process(target=_serve_newer, args=(size, cores[3], there), daemon=True)
        os.sched_setaffinity(0, {cores[2]})
        try:
            ports, discovery = here.recv()
            new_ports = []
            if others is not None:
                others.start()
                new_ports = here.recv()
            for turn in range(rounds):
                order = [None, *builds] if turn % 2 == 0 else [*reversed(builds), None]
                for build in order:
                    what = "relay" if build is None else str(build)
                    results.append(_round(what, build, size, ports, discovery, cores[0], seconds))
                    at += 1
                    progress(at, total)
                    if newer and build == builds[0]:
                        what = f"{what}, newer format"
                        found = _round(what, build, size, new_ports, discovery, cores[0], seconds, True)
                        results.append(found)
                        at += 1
                        progress(at, total)
        finally:
            os.sched_setaffinity(0, mine)
            for process in (servers, others):
                if process is not None and process.pid is not None:
                    os.kill(process.pid, signal.SIGKILL)
                    process.join()
    return results


def summary(results: list[Result]) -> list[dict[str, Any]]:
    """Medians over rounds, with the range of the CPU for a request, and as a multiple of the relay's."""
    rows = []
    for size in dict.fromkeys(r.servers for r in results):
        base = statistics.median(r.cpu_us for r in results if r.servers == size and r.what == "relay")
        for what in dict.fromkeys(r.what for r in results):
            mine = [r for r in results if r.servers == size and r.what == what]
            median = statistics.median
            rows.append(
                {
                    "what": what,
                    "servers": size,
                    "per_s": round(median(r.per_s for r in mine)),
                    "refused": round(median(r.refused for r in mine), 3),
                    "cpu_us": round(median(r.cpu_us for r in mine), 1),
                    "cpu_us_range": [round(edge(r.cpu_us for r in mine), 1) for edge in (min, max)],
                    "times_relay": round(median(r.cpu_us for r in mine) / base, 2) if base else 0.0,
                    "p50_ms": round(median(r.p50_ms for r in mine), 2),
                    "p99_ms": round(median(r.p99_ms for r in mine), 2),
                    "p999_ms": round(median(r.p999_ms for r in mine), 2),
                    "memory_mb": round(median(r.memory_mb for r in mine), 1),
                    "late": any(r.late for r in mine),
                }
            )
    return rows
