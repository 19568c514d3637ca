"""One real gateway with the whole list and all tenants, under its part of the load: while the servers are
listed, while 200 of them change within a second, while a zone goes. A process, reached over sockets.

The servers are so many entries at a few addresses, since one echo server answers for many of them: what is
measured is the gateway. Discovery is a scripted one, whose list this file changes.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import uvloop

from sagetrack.lab.benchmarks.http_load import EchoServer, HttpLoad, run_http_load
from sagetrack.lab.errors import LabError
from sagetrack.lab.processes.fleet import GatewayProcess, need_files
from sagetrack.lab.processes.resource_usage import cpu_s, free_port, memory_mb
from sagetrack.lab.scale.world import FleetAhead
from sagetrack.lab.stand_ins.scripted import Exchange, peer, reply

NAME = "real-gateway"
STEPS = 5
SECONDS, QUICK_SECONDS = 15.0, 5.0  # of each part
DOORS = 64  # addresses that the entries share
CHANGED, CHANGED_S = 200, 1.0
CONNECTIONS = 32
STARTED_S = 90.0  # for the gateway to take clients: its one core may be busy with other work
LISTED_S = 30.0  # for the whole list to be taken
FIRST = 25  # servers in the list that it starts with


class EndpointSource:
    """Discovery's side: the list as it stands, and who waits for news of it.

    All texts are made beforehand: the load runs on the same event loop, which must not be held.
    """

    def __init__(self, fleet: FleetAhead, doors: list[str]) -> None:
        self.texts = {
            status: [
                json.dumps(fleet.endpoint(number, status, doors[number % len(doors)])).encode()
                for number in range(fleet.sizes.servers)
            ]
            for status in ("SERVING", "DRAINING", "DELETED")
        }
        self.index = 1
        self.entries: dict[int, bytes] = {}
        self.changes: list[tuple[int, list[bytes]]] = []  # index, entries
        self.news = asyncio.Event()
        self.asked_from: asyncio.Queue[int] = asyncio.Queue()  # -1: a call for the whole list
        self.told_bytes = 0

    def change(self, numbers: Sequence[int], status: str = "SERVING") -> None:
        """These servers are in that status from now on."""
        self.index += 1
        told = [self.texts[status][number] for number in numbers]
        self.changes.append((self.index, told))
        for number, text in zip(numbers, told, strict=True):
            if status == "DELETED":
                self.entries.pop(number, None)
            else:
                self.entries[number] = text
        self.news.set()
        self.news = asyncio.Event()

    def text(self, since: int) -> bytes:
        """The changes after a version; the whole list after -1."""
        whole = since < 0
        newer = (entry for index, told in self.changes if index > since for entry in told)
        entries = b", ".join(self.entries.values() if whole else newer)
        return b'{"index": %d, "snapshot": %s, "endpoints": [%s]}' % (
            self.index,
            b"true" if whole else b"false",
            entries,
        )

    async def serve(self, exchange: Exchange) -> None:
        query = parse_qs(urlsplit(exchange.message.first.split(" ")[1]).query)
        since = int(query["from"][0]) if "from" in query else -1
        self.asked_from.put_nowait(since)
        if since >= self.index:
            with suppress(TimeoutError):
                async with asyncio.timeout(int(query["hold_ms"][0]) / 1000):
                    await self.news.wait()
        data = reply(200, self.text(since))
        self.told_bytes += len(data)
        exchange.answer(data)

    async def taken(self, index: int) -> None:
        """Wait until the gateway asks for what comes after a version: it has taken that."""
        try:
            async with asyncio.timeout(LISTED_S):
                while await self.asked_from.get() < index:
                    pass
        except TimeoutError:
            raise LabError(f"the gateway has not taken its list within {LISTED_S:g} s") from None


async def ask(process: GatewayProcess, call: bytes, end: bytes) -> bytes:
    """The gateway's answer to an operator's call."""
    host, _, port = process.admin.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(call + b"\n")
        return await reader.readuntil(end)
    finally:
        writer.close()


async def until_ready(process: GatewayProcess) -> float:
    """Seconds until it says that it takes clients; LabError if it ends or never does."""
    began = time.monotonic()
    while process.process.poll() is None and time.monotonic() < began + STARTED_S:
        with suppress(OSError, asyncio.IncompleteReadError):
            if (await ask(process, b"status", b"\n")).startswith(b"SUCCESS"):
                return time.monotonic() - began
        await asyncio.sleep(0.01)
    raise LabError(f"the gateway is not ready: {process.last_words()}")


async def longest_gap_ms() -> float:
    """How long this process's own loop was held at the most, until cancelled: so much may be its own."""
    longest_s, last_s = 0.0, time.monotonic()
    try:
        while True:
            await asyncio.sleep(0.001)
            now_s = time.monotonic()
            longest_s, last_s = max(longest_s, now_s - last_s - 0.001), now_s
    except asyncio.CancelledError:
        return longest_s * 1000


def ms_at(run: HttpLoad, percentile: float) -> float:
    return float(run.latencies.get_value_at_percentile(percentile)) / 1000


async def totals(process: GatewayProcess) -> dict[str, float]:
    """The gateway's own count of requests served, refused and failed."""
    text = (await ask(process, b"stats", b"EOT\n")).decode()
    found = dict.fromkeys(("answered", "deferred", "errored"), 0.0)
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        for kind in found:
            if name.startswith(f"svc_{kind}_total"):
                found[kind] += float(value)
    return found


class Trial:
    """One gateway process and what is done to it."""

    def __init__(self, fleet: FleetAhead, roster: EndpointSource, port: int, process: GatewayProcess) -> None:
        self.fleet, self.roster, self.port, self.process = fleet, roster, port, process
        self.found: dict[str, float] = {}

    async def during(self, name: str, seconds: float, act: Callable[[], asyncio.Task[None]]) -> None:
        """Load while something is done; its latencies, failures and CPU go under this name."""
        pid, sizes = self.process.process.pid, self.fleet.sizes
        already = await totals(self.process)
        before_s, began = cpu_s(pid), time.monotonic()
        ticking = asyncio.create_task(longest_gap_ms())
        task = act()
        load = asyncio.create_task(
            run_http_load(self.port, CONNECTIONS, seconds, sizes.requests_per_s / sizes.gateways)
        )
        await task
        over_s = time.monotonic() - began
        run = await load
        ticking.cancel()
        # By the gateway's word: the load counts as failed also what it cuts off itself at its end.
        counts = await totals(self.process)
        refused, failed = (counts[kind] - already[kind] for kind in ("deferred", "errored"))
        self.found |= {
            f"{name}_own_hold_ms": await ticking,
            f"{name}_p50_ms": ms_at(run, 50),
            f"{name}_p99_ms": ms_at(run, 99),
            f"{name}_longest_ms": float(run.latencies.get_max_value()) / 1000,
            f"{name}_refused": refused,
            f"{name}_failed": failed,
            f"{name}_done": float(run.succeeded),
            f"{name}_core": (cpu_s(pid) - before_s) / (time.monotonic() - began),
            f"{name}_over_s": over_s,
            f"{name}_memory_mb": memory_mb(pid),
        }

    def quiet(self) -> asyncio.Task[None]:
        return asyncio.create_task(asyncio.sleep(0))

    def list_all(self) -> asyncio.Task[None]:
        return asyncio.create_task(self._tell([range(FIRST, self.fleet.sizes.servers)], "SERVING", 0.0))

    def change_some(self) -> asyncio.Task[None]:
        changed = min(CHANGED, self.fleet.sizes.servers // 4)  # the others go on serving
        return asyncio.create_task(
            self._tell([range(n, n + 1) for n in range(changed)], "DRAINING", CHANGED_S / changed)
        )

    def lose_zone(self) -> asyncio.Task[None]:
        zone = self.fleet.zone(self.fleet.sizes.zones - 1, self.fleet.sizes.servers)
        return asyncio.create_task(self._tell([zone], "DELETED", 0.0))

    async def _tell(self, turns: Sequence[Sequence[int]], status: str, gap_s: float) -> None:
        """Change the list in so many turns and wait until the gateway has all of it."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        for turn, numbers in enumerate(turns):
            self.roster.change(numbers, status)
            await asyncio.sleep(max(0.0, began + (turn + 1) * gap_s - loop.time()))
        await self.roster.taken(self.roster.index)


async def play(
    fleet: FleetAhead, seconds: float, cores: list[int], step: Callable[[], None]
) -> dict[str, float]:
    """A gateway with a short list, the load, the long list, changes, a zone; then a start with it all."""
    loop = asyncio.get_running_loop()
    doors = [await loop.create_server(EchoServer, "127.0.0.1", 0, backlog=256) for _ in range(DOORS)]
    addresses = [f"127.0.0.1:{door.sockets[0].getsockname()[1]}" for door in doors]
    roster = EndpointSource(fleet, addresses)
    roster.change(range(FIRST))
    processes: list[GatewayProcess] = []
    with tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder:
        try:
            async with peer(roster.serve) as discovery:

                def start(life: int, known: dict[str, object]) -> tuple[int, GatewayProcess]:
                    # A listening socket that it inherits: only then it hands its list on, as in earnest.
                    listener = socket.create_server(("127.0.0.1", 0))
                    port = listener.getsockname()[1]
                    config = {
                        "name": f"g{life}",
                        "listen": f"127.0.0.1:{port}",
                        "discovery": discovery.address,
                        "seed": "1",
                        "admin": f"127.0.0.1:{free_port()}",
                        "known": known,
                        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 4096},
                        "settings": fleet.platform(fleet.sizes.tenants) | {"balancers": 1},
                    }
                    with listener:
                        process = GatewayProcess(Path(folder), config, listener, life)
                    processes.append(process)
                    os.sched_setaffinity(process.process.pid, {cores[0]})
                    return port, process

                port, process = start(1, {})
                trial = Trial(fleet, roster, port, process)
                trial.found["ready_short_list_s"] = await until_ready(process)
                await trial.during("warm", min(1.0, seconds), trial.quiet)
                step()
                await trial.during("calm", seconds, trial.quiet)
                step()
                await trial.during("listing", seconds, trial.list_all)
                trial.found["listing_bytes"] = float(roster.told_bytes)
                step()
                await trial.during("changes", seconds, trial.change_some)
                step()
                await trial.during("zone", seconds, trial.lose_zone)
                trial.found["all_answered"] = (await totals(process))["answered"]
                end(process)
                everything = json.loads(roster.text(-1))
                while not roster.asked_from.empty():
                    roster.asked_from.get_nowait()  # of the process before
                port, process = start(2, everything)
                trial.found["ready_full_list_s"] = await until_ready(process)
                await roster.taken(roster.index)
                trial.found["ready_memory_mb"] = memory_mb(process.process.pid)
                step()
                for name in ("listing", "changes", "zone"):
                    added = trial.found[f"{name}_p99_ms"] - trial.found["calm_p99_ms"]
                    trial.found[f"{name}_added_p99_ms"] = added
                end(process)
                roster.change([])  # who still waits for news hears it, and finds its caller gone
                async with asyncio.timeout(STARTED_S):
                    while discovery.ended < discovery.opened:
                        await asyncio.sleep(0.01)
                return trial.found
        finally:
            for one in processes:
                end(one)
            for door in doors:
                door.close()


def end(process: GatewayProcess) -> None:
    """By its id, and waited for."""
    if process.process.poll() is None:
        os.kill(process.process.pid, signal.SIGKILL)
    process.process.wait()


def measure(fleet: FleetAhead, seconds: float, step: Callable[[], None]) -> dict[str, float]:
    """Figures by name; LabError if it cannot be played."""
    need_files(1000)
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 2:
        raise LabError("one core is too few: the gateway and the load need one each")
    try:
        os.sched_setaffinity(0, cores[1:])
        found = uvloop.run(play(fleet, seconds, cores, step))
    finally:
        os.sched_setaffinity(0, cores)
    return {name: float(f"{value:.4g}") for name, value in found.items()}
