"""DNS and HTTP on one gateway, each at a share of what it takes alone, with one slow server of each.

The gateway has one core; address servers, DNS servers and each load have cores of their own. What passes at
the most is found in closed loops first; then each load runs alone, and both together, in open loops, with
latencies counted from when each request was due.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, cast

import uvloop

from sagetrack.lab.analysis.figures import histogram
from sagetrack.lab.benchmarks import dns_throughput, throughput
from sagetrack.lab.benchmarks.dns_throughput import answer_to
from sagetrack.lab.errors import LabError
from sagetrack.lab.processes.resource_usage import cpu_s, free_port
from sagetrack.lab.repository import ROOT
from sagetrack.lab.stand_ins.dns_clients import wire_query

HTTP_AIM_S, DNS_AIM_S = 0.25, 0.5
HTTP_SLOW_S, DNS_SLOW_S = 0.4, 1.0  # what a slow server takes
SLOW_AFTER = 0.3  # of the time, that all are well first
SERVERS = 8
CONNECTIONS = 128
LOST_S = 2.0


@dataclass(slots=True, frozen=True)
class Part:
    """What became of one load."""

    load: str  # http or dns
    beside: str  # what ran beside it
    rate: float  # a second
    asked: int
    within: float  # share served within its aim
    refused: float  # share refused or failed
    lost: int
    p50_ms: float
    p99_ms: float
    cpu: float  # of the gateway's core, all told
    late: bool  # the load itself ran late


class _Echo(asyncio.Protocol):
    def __init__(self, slow: Callable[[], bool]) -> None:
        self.slow = slow
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            self.buffer = self.buffer[end + 4 :]
            if self.slow():
                asyncio.get_running_loop().call_later(HTTP_SLOW_S, self.answer)
            else:
                self.answer()

    def answer(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(throughput.REPLY)


class _Names(asyncio.DatagramProtocol):
    def __init__(self, slow: Callable[[], bool]) -> None:
        self.slow = slow

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if self.slow():
            loop = asyncio.get_running_loop()
            loop.call_later(DNS_SLOW_S, self.transport.sendto, answer_to(data), addr)
        else:
            self.transport.sendto(answer_to(data), addr)


def _serve(core: int, dns: bool, slow: Any, pipe: Any) -> None:
    """Servers of one kind, the first of which turns slow; tells their ports. Runs until killed."""
    os.sched_setaffinity(0, {core})

    async def main() -> None:
        loop = asyncio.get_running_loop()
        ports = []
        for number in range(SERVERS):

            def turned(number: int = number) -> bool:
                return number == 0 and bool(slow.value)

            if dns:
                made, _ = await loop.create_datagram_endpoint(
                    lambda turned=turned: _Names(turned),  # type: ignore[misc]
                    ("127.0.0.1", 0),
                )
                ports.append(made.get_extra_info("sockname")[1])
            else:
                server = await loop.create_server(
                    lambda turned=turned: _Echo(turned),  # type: ignore[misc]
                    "127.0.0.1",
                    0,
                    backlog=256,
                )
                ports.append(server.sockets[0].getsockname()[1])
        pipe.send(ports)
        await asyncio.Event().wait()

    uvloop.run(main())


class _Timed(throughput._Run):
    """An HTTP load that counts what was within its aim."""

    def __init__(self) -> None:
        super().__init__()
        self.within = 0

    def done(self, loader: throughput._Loader) -> None:
        self.within += self.now() - loader.due_s <= HTTP_AIM_S
        super().done(loader)


async def _http(port: int, rate: float, seconds: float, turn: Callable[[], None]) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    run = _Timed()
    run.closed = False
    loaders = [
        (await loop.create_connection(lambda: throughput._Loader(run), "127.0.0.1", port))[1]
        for _ in range(CONNECTIONS)
    ]
    run.ready.extend(loaders)
    given = 0

    def ask(due: float) -> None:
        nonlocal given
        given += 1
        if run.ready:
            run.ready.popleft().ask(due)
        else:
            run.due.append(due)

    worst = await _pace(rate, seconds, ask, turn)
    await asyncio.sleep(LOST_S)
    run.stop = True
    for loader in loaders:
        loader.transport.abort()
    lost = given - run.finished - run.failed
    return _told(given, run.within, run.failed, lost, run.times, worst)


class _Dns(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.waiting: dict[int, float] = {}
        self.within = self.bad = self.done = self.given = 0
        self.times = histogram()
        self.prefix = f"{time.monotonic_ns():x}"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def ask(self, due: float) -> None:
        self.given += 1
        id_ = self.given % 65_536
        if id_ not in self.waiting:
            self.waiting[id_] = due
            name = f"n{self.given}.{self.prefix}.example"
            self.transport.sendto(wire_query(name, id_))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        due = self.waiting.pop(int.from_bytes(data[:2]), None)
        if due is None:
            return
        took = time.perf_counter() - due
        self.times.record_value(max(1, int(took * 1e6)))
        if data[3] & 0xF or data[7] == 0:
            self.bad += 1
        else:
            self.done += 1
            self.within += took <= DNS_AIM_S


async def _names(port: int, rate: float, seconds: float, turn: Callable[[], None]) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    loads = [
        (await loop.create_datagram_endpoint(_Dns, remote_addr=("127.0.0.1", port)))[1] for _ in range(8)
    ]
    at = 0

    def ask(due: float) -> None:
        nonlocal at
        at += 1
        loads[at % len(loads)].ask(due)

    worst = await _pace(rate, seconds, ask, turn)
    await asyncio.sleep(LOST_S + DNS_SLOW_S)
    times = loads[0].times
    for load in loads[1:]:
        times.add(load.times)
    for load in loads:
        load.transport.close()
    given, bad = sum(load.given for load in loads), sum(load.bad for load in loads)
    lost = given - bad - sum(load.done for load in loads)
    return _told(given, sum(load.within for load in loads), bad, lost, times, worst)


def _told(given: int, within: int, bad: int, lost: int, times: Any, worst: float) -> dict[str, Any]:
    of = max(1, given)
    return {
        "asked": given,
        "within": within / of,
        "refused": bad / of,
        "lost": lost,
        "p50_ms": times.get_value_at_percentile(50) / 1000,
        "p99_ms": times.get_value_at_percentile(99) / 1000,
        "late": worst > 0.02,
    }


async def _pace(rate: float, seconds: float, ask: Callable[[float], None], turn: Callable[[], None]) -> float:
    """Ask at an even rate; returns by how much the load itself was late at the worst, in seconds."""
    start, given, worst, turned = time.perf_counter(), 0, 0.0, False
    while (now := time.perf_counter()) < start + seconds:
        if not turned and now > start + SLOW_AFTER * seconds:
            turn()
            turned = True
        while given < (now - start) * rate:
            due = start + given / rate
            given += 1
            worst = max(worst, time.perf_counter() - due)
            ask(due)
        await asyncio.sleep(0.0005)
    return worst


def _load(core: int, dns: bool, port: int, rate: float, seconds: float, slow: Any, pipe: Any) -> None:
    os.sched_setaffinity(0, {core})

    def turn() -> None:
        slow.value = 1

    pipe.send(uvloop.run((_names if dns else _http)(port, rate, seconds, turn)))


def measure(
    share: float, seconds: float, rounds: int, progress: Callable[[float], None] = lambda share: None
) -> dict[str, Any]:
    """Capacities, then each load alone and both together by turns. LabError if the machine is too small."""
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 5:
        raise LabError(f"{len(cores)} cores are too few: 5 are needed, one for each process")
    context = multiprocessing.get_context("fork")
    slow = {dns: context.Value("i", 0) for dns in (False, True)}
    fleets, ports = [], {}
    for dns in (False, True):
        here, there = context.Pipe()
        fleet = context.Process(target=_serve, args=(cores[1 + dns], dns, slow[dns], there), daemon=True)
        fleet.start()
        fleets.append(fleet)
        ports[dns] = here.recv()
    mine = os.sched_getaffinity(0)
    os.sched_setaffinity(0, {cores[3]})
    try:
        return _measure(share, seconds, rounds, cores, ports, slow, progress)
    finally:
        os.sched_setaffinity(0, mine)
        for fleet in fleets:
            fleet.kill()
            fleet.join()


def _measure(
    share: float,
    seconds: float,
    rounds: int,
    cores: list[int],
    ports: dict[bool, list[int]],
    slow: dict[bool, Any],
    progress: Callable[[float], None],
) -> dict[str, Any]:
    parts: list[Part] = []
    context = multiprocessing.get_context("fork")
    with tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder:
        listen = {False: free_port(), True: free_port()}
        config, operator = Path(folder) / "config.json", Path(folder) / "operator.toml"
        plain = throughput.configuration(listen[False], ports[False], free_port(), free_port())
        plain["settings"]["lanes"][0]["aimUs"] = int(HTTP_AIM_S * 1e6)
        config.write_text(json.dumps(plain))
        places = ", ".join(f'"127.0.0.1:{port}"' for port in ports[True])
        operator.write_text(
            f'[dns]\nlisten = ["127.0.0.1:{listen[True]}"]\nupstreams = [{places}]\nqueries_each = 100000\n'
            f"queries = 100000\naim_ms = {DNS_AIM_S * 1000:.0f}\n"
        )
        environment = os.environ | {
            "PYTHONPATH": str(ROOT),
            "TMPDIR": folder,
            "LB_CONFIG": str(config),
            "LB_OPERATOR": str(operator),
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "sagetrack"],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            os.sched_setaffinity(process.pid, {cores[0]})
            dns_throughput._await_answer(listen[True], process)
            closed = uvloop.run(throughput._load(listen[False], throughput.CONNECTIONS, 3.0, 0.0))
            most = {False: closed.finished / 3.0}
            asked = uvloop.run(dns_throughput._load(listen[True], 3.0, True))
            most[True] = asked.done / 3.1
            plans = [(False,), (True,), (False, True)]
            for number in range(rounds * len(plans)):
                plan = plans[number % len(plans)]
                before, began, pipes = cpu_s(process.pid), time.monotonic(), {}
                for dns in plan:
                    pipes[dns], there = context.Pipe()
                    rate = share * most[dns]
                    task = (cores[3 + dns], dns, listen[dns], rate, seconds, slow[dns], there)
                    context.Process(target=_load, args=task, daemon=True).start()
                time.sleep(seconds)
                cpu = (cpu_s(process.pid) - before) / (time.monotonic() - began)
                for dns in plan:
                    other = ("http" if dns else "dns") if len(plan) > 1 else "-"
                    found = pipes[dns].recv()
                    parts.append(Part("dns" if dns else "http", other, share * most[dns], cpu=cpu, **found))
                    slow[dns].value = 0
                time.sleep(HTTP_SLOW_S + DNS_SLOW_S + 8.0)  # breakers close again
                progress((number + 1) / (rounds * len(plans)))
        finally:
            process.kill()
            process.wait()
    rows = [
        {k: round(v, 4) if isinstance(v, float) else v for k, v in asdict(part).items()} for part in parts
    ]
    return {"capacity_http": round(most[False]), "capacity_dns": round(most[True]), "rows": rows}
