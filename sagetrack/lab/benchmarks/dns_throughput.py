"""Queries a second on one core, cached and forwarded, beside a bare UDP relay in the same run."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, cast

import uvloop

from sagetrack.lab.analysis.figures import histogram
from sagetrack.lab.benchmarks.throughput import configuration
from sagetrack.lab.errors import LabError
from sagetrack.lab.processes.resource_usage import cpu_s, free_port, memory_mb
from sagetrack.lab.repository import ROOT
from sagetrack.lab.stand_ins.dns_clients import wire_query

WINDOW = 64  # queries out at once
SOCKETS = 8
CACHED = 100  # names, where they are to come from the cache
RECORD = b"\xc0\x0c\0\1\0\1\0\0\x0e\x10\0\4\xc0\0\2\1"  # an A record of the question's name, for an hour


@dataclass(slots=True, frozen=True)
class Result:
    """One measurement."""

    what: str  # relay, cached or forwarded
    per_s: float
    cpu_us: float  # of the measured process for each query
    p50_ms: float
    p99_ms: float
    memory_mb: float
    unanswered: int


def answer_to(query: bytes) -> bytes:
    """A true answer to an A query, made without a codec."""
    end = 12
    while query[end]:
        end += 1 + query[end]
    end += 5
    return query[:2] + b"\x81\x80\0\1\0\1\0\0\0\0" + query[12:end] + RECORD


class _Fast(asyncio.DatagramProtocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.transport.sendto(answer_to(data), addr)


def _upstream(core: int, pipe: Any) -> None:
    os.sched_setaffinity(0, {core})

    async def main() -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(_Fast, ("127.0.0.1", 0))
        pipe.send(transport.get_extra_info("sockname")[1])
        await asyncio.Event().wait()

    uvloop.run(main())


def relay(port: int, target: int) -> None:
    """A bare relay of datagrams: each client has its own socket towards the server. Runs until killed."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        ways: dict[Any, asyncio.DatagramTransport] = {}
        opening: set[asyncio.Task[None]] = set()

        class UpstreamSocket(asyncio.DatagramProtocol):
            def __init__(self, front: asyncio.DatagramTransport, addr: Any) -> None:
                self.front, self.addr = front, addr

            def datagram_received(self, data: bytes, addr: Any) -> None:
                self.front.sendto(data, self.addr)

        class Side(asyncio.DatagramProtocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                self.transport = cast(asyncio.DatagramTransport, transport)

            def datagram_received(self, data: bytes, addr: Any) -> None:
                way = ways.get(addr)
                if way is not None:
                    way.sendto(data)
                else:
                    task = loop.create_task(self.open(data, addr))
                    opening.add(task)
                    task.add_done_callback(opening.discard)

            async def open(self, data: bytes, addr: Any) -> None:
                back, _ = await loop.create_datagram_endpoint(
                    lambda: UpstreamSocket(self.transport, addr), remote_addr=("127.0.0.1", target)
                )
                ways[addr] = back
                back.sendto(data)

        await loop.create_datagram_endpoint(Side, ("127.0.0.1", port))
        await asyncio.Event().wait()

    uvloop.run(main())


class _Load(asyncio.DatagramProtocol):
    """One socket of the load: a window of queries, the next as soon as one is answered or given up."""

    def __init__(self, run: _Run, number: int) -> None:
        self.run, self.number = run, number
        self.sent: dict[int, float] = {}
        self.order: deque[tuple[int, float]] = deque()
        self.id = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def ask(self) -> None:
        self.id = (self.id + 1) % 65_536
        now = time.perf_counter()
        self.sent[self.id] = now
        self.order.append((self.id, now))
        self.transport.sendto(wire_query(self.run.name(), self.id))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        began = self.sent.pop(int.from_bytes(data[:2]), None)
        if began is None:
            return
        run = self.run
        if data[3] & 0xF or data[7] == 0:
            run.bad += 1
        run.done += 1
        run.times.record_value(max(1, int((time.perf_counter() - began) * 1e6)))
        if not run.stop:
            self.ask()

    def give_up(self, before: float) -> None:
        while self.order and self.order[0][1] < before:
            id_, began = self.order.popleft()
            if self.sent.get(id_) == began:
                del self.sent[id_]
                self.run.lost += 1
                if not self.run.stop:
                    self.ask()


class _Run:
    def __init__(self, unique: bool) -> None:
        self.loop = asyncio.get_running_loop()
        self.unique = unique
        self.count = self.done = self.lost = self.bad = 0
        self.stop = False
        self.times = histogram()
        self.prefix = f"{time.monotonic_ns():x}"

    def name(self) -> str:
        self.count += 1
        return f"n{self.count}.{self.prefix}.example" if self.unique else f"n{self.count % CACHED}.example"


async def _load(port: int, seconds: float, unique: bool, most: int = 0) -> _Run:
    loop = asyncio.get_running_loop()
    run = _Run(unique)
    loads = []
    for number in range(SOCKETS):
        _, load = await loop.create_datagram_endpoint(
            lambda n=number: _Load(run, n),  # type: ignore[misc]
            remote_addr=("127.0.0.1", port),
        )
        loads.append(load)
    for load in loads:
        for _ in range(WINDOW // SOCKETS):
            load.ask()
    end = loop.time() + seconds
    while loop.time() < end and (not most or run.done < most):
        await asyncio.sleep(0.05)
        for load in loads:
            load.give_up(time.perf_counter() - 2.0)
    run.stop = True
    await asyncio.sleep(0.1)
    for load in loads:
        load.transport.close()
    return run


def _await_answer(port: int, process: subprocess.Popen[bytes]) -> None:
    end = time.monotonic() + 10
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.settimeout(0.1)
        while time.monotonic() < end and process.poll() is None:
            try:
                probe.sendto(wire_query("ready.example", 1), ("127.0.0.1", port))
                probe.recv(600)
                return
            except OSError:
                time.sleep(0.02)
    raise LabError("the measured process does not answer DNS")


def _round(what: str, core: int, upstream: int, seconds: float, names: int) -> Result:
    port = free_port()
    with tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder:
        environment = os.environ | {"PYTHONPATH": str(ROOT), "TMPDIR": folder}
        if what == "relay":
            code = f"from sagetrack.lab.benchmarks.dns_throughput import relay; relay({port}, {upstream})"
            command = [sys.executable, "-c", code]
        else:
            config, operator = Path(folder) / "config.json", Path(folder) / "operator.toml"
            plain = configuration(free_port(), [free_port()], free_port(), free_port())
            config.write_text(json.dumps(plain))
            operator.write_text(
                f'[dns]\nlisten = ["127.0.0.1:{port}"]\nupstreams = ["127.0.0.1:{upstream}"]\n'
                "cache_mb = 512\nqueries_each = 1000\n"
            )
            environment |= {"LB_CONFIG": str(config), "LB_OPERATOR": str(operator)}
            command = [sys.executable, "-m", "sagetrack"]
        process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )
        try:
            os.sched_setaffinity(process.pid, {core})
            _await_answer(port, process)

            async def measure() -> tuple[_Run, float, float]:
                await _load(port, min(0.5, seconds / 3), False)
                before, began = cpu_s(process.pid), time.monotonic()
                run = await _load(port, seconds if not names else 600.0, what == "forwarded", names)
                return run, cpu_s(process.pid) - before, time.monotonic() - began - 0.1

            run, cpu, took = uvloop.run(measure())
            if run.bad > 0.01 * max(1, run.done):
                raise LabError(f"{what}: {run.bad} of {run.done} answers were no good")
            return Result(
                what,
                run.done / took,
                cpu * 1e6 / max(1, run.done),
                run.times.get_value_at_percentile(50) / 1000,
                run.times.get_value_at_percentile(99) / 1000,
                memory_mb(process.pid),
                run.lost,
            )
        finally:
            process.kill()
            process.wait()


def measure(
    seconds: float, rounds: int, names: int, progress: Callable[[int, int], None]
) -> list[dict[str, Any]]:
    """Medians of relay, cached and forwarded by turns; with `names`, one more run that caches so many."""
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 3:
        raise LabError(f"{len(cores)} cores are too few: gateway, upstream and load need one each")
    here, there = multiprocessing.Pipe()
    upstream = multiprocessing.get_context("fork").Process(
        target=_upstream, args=(cores[1], there), daemon=True
    )
    upstream.start()
    mine = os.sched_getaffinity(0)
    os.sched_setaffinity(0, {cores[2]})
    found: dict[str, list[Result]] = {}
    total = 3 * rounds + bool(names)
    try:
        port = here.recv()
        for number in range(rounds):
            for place, what in enumerate(("relay", "cached", "forwarded")):
                found.setdefault(what, []).append(_round(what, cores[0], port, seconds, 0))
                progress(3 * number + place + 1, total)
        if names:
            found[f"forwarded, {names} names kept"] = [_round("forwarded", cores[0], port, seconds, names)]
            progress(total, total)
    finally:
        os.sched_setaffinity(0, mine)
        upstream.kill()
        upstream.join()
    rows = []
    base = statistics.median(r.cpu_us for r in found["relay"])
    for what, results in found.items():
        plain: dict[str, Any] = {
            name: round(statistics.median(getattr(r, name) for r in results), 2)
            for name in asdict(results[0])
            if name != "what"
        }
        rows.append({"what": what, **plain, "times_relay": round(plain["cpu_us"] / base, 2)})
    return rows
