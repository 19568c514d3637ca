"""How long a gateway takes from its start to its first 200 on /health/ready, of the real program, by part.

What counts is CPU time, since a restarted process may have as little as a quarter of a core: of CPU seconds
to ready, four times as many pass there if nothing else is waited for. CPU is the kernel's count for the
process: other work on the machine lengthens the elapsed times, and CPU time through caches that it shares.
The parts are as the process tells them itself, in milliseconds of CPU and elapsed.
"""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from sagetrack.lab.analysis.records import Records
from sagetrack.lab.errors import LabError
from sagetrack.lab.model.endpoint_entry import EndpointEntry
from sagetrack.lab.model.platform_settings import platform_settings
from sagetrack.lab.model.scenario import Fleet, Member, Peers, Scenario
from sagetrack.lab.model.world import World
from sagetrack.lab.processes.fleet import GatewayProcess, RealClock
from sagetrack.lab.processes.resource_usage import cpu_s, free_port
from sagetrack.lab.stand_ins.sockets import Agent, AgentConnection
from sagetrack.store.directory import Disk
from sagetrack.store.engine import Store
from sagetrack.store.format import Record
from sagetrack.store.options import StoreOptions

SHARE = 0.25  # of a core
MOST_S = 10.0  # that nine in ten restarted processes may take
GIVE_UP_S = 120.0
POLL_S = 0.02
SLOW_S = 2.0  # that a slow discovery takes for an answer
TOLD = "started; ms of CPU/elapsed: "
VALUE = bytes(150)  # as long as a second's record


@dataclass(slots=True, frozen=True)
class Case:
    """What a process starts with, and who answers."""

    name: str
    servers: int = 25
    tenants: int = 10
    gateways: int = 1  # others listen to no datagram: with more than one, peers are silent
    discovery: str = "answers"  # slow, silent, refuses
    store: int = 0  # values in it; 0: no store
    at_once: int = 1


@dataclass(slots=True)
class Reading:
    """One case: the worst of nine in ten starts, and the parts of the median one."""

    case: Case
    cpu_s: list[float] = field(default_factory=list)  # of each start, in order of size
    elapsed_s: list[float] = field(default_factory=list)
    parts: str = ""

    @property
    def quarter_s(self) -> float:
        """Seconds to ready on a quarter of a core, of nine in ten."""
        return nine_in_ten(self.cpu_s) / SHARE


def nine_in_ten(values: list[float]) -> float:
    """The value that nine in ten do not pass; the list is in order of size."""
    return values[-(-9 * len(values) // 10) - 1]


CASES = (
    Case("today"),
    Case("today, discovery slow", discovery="slow"),
    Case("today, discovery silent", discovery="silent"),
    Case("today, discovery refuses", discovery="refuses"),
    Case("target", 9_600, 39_000, 730),
    Case("target, discovery silent", 9_600, 39_000, 730, "silent"),
    Case("target, discovery refuses", 9_600, 39_000, 730, "refuses"),
    Case("target, long store", 9_600, 39_000, 730, store=300_000),
    Case("today, 20 at once", at_once=20),
    Case("target, 20 at once", 9_600, 39_000, 730, at_once=20),
)


class SlowAgent(Agent):
    """Discovery that takes its time."""

    def answer(self, connection: AgentConnection, since: int | None) -> None:
        asyncio.get_running_loop().call_later(SLOW_S, super().answer, connection, since)


def fill(folder: Path, values: int) -> None:
    """A store of so many values, as the process before left it."""
    store = Store(Disk(folder), StoreOptions())
    store.open()
    at_ms = int(time.time() * 1000)
    for first in range(0, values, 1000):
        keys = range(first, min(values, first + 1000))
        store.write([[Record("seconds", b"%015d g0" % (at_ms - n), VALUE, at_ms)] for n in keys])
    store.close()


def world_of(case: Case) -> World:
    members = [Member(f"t-{number}") for number in range(case.tenants)]
    fleet = Fleet(servers=case.servers, gateways=case.gateways)
    scenario = Scenario(name="readiness", fleet=fleet, members=members, peers=Peers(use=case.gateways > 1))
    return World(scenario, 1, RealClock(), Records())


def address_of(gateway: int, server: int) -> str:
    return f"127.20.{server // 250}.{server % 250 + 1}:8000"  # nobody listens, and nothing is sent


def launch(case: Case, agent: Agent, settings: dict[str, Any], folder: Path) -> tuple[GatewayProcess, str]:
    """Start a process of the case; it and where it will listen."""
    folder.mkdir()
    operator = ""
    if case.store:
        fill(folder / "store", case.store)
        operator = f'[log]\nformat = "plain"\nlevel = "debug"\n[store]\nfolder = "{folder / "store"}"\n'
    host = f"127.11.{int(folder.name.rpartition('-')[2]) + 1}.1"  # nobody calls from there
    listen = f"{host}:{free_port()}"
    config: dict[str, Any] = {
        "name": "g0",
        "listen": listen,
        "admin": f"{host}:{free_port()}",
        "seed": "1",
        "discovery": agent.door.address,
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": agent.known(),
        "settings": settings,
    }
    if case.gateways > 1:
        peers = [f"127.40.{number // 250}.{number % 250 + 1}:9" for number in range(case.gateways)]
        config |= {"peer_listen": f"{host}:{free_port()}", "peers": peers}
    return GatewayProcess(folder, config, None, 1, operator), listen


async def first_ready(process: GatewayProcess, listen: str) -> tuple[float, float]:
    """CPU seconds of a process until its first 200, and when that came on the loop's clock."""
    host, _, port = listen.rpartition(":")
    loop = asyncio.get_running_loop()
    end_s = loop.time() + GIVE_UP_S
    while loop.time() < end_s:
        if process.process.poll() is not None:
            raise LabError(f"a gateway ended as it started: {process.last_words()}")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            if line.startswith(b"HTTP/1.1 200"):
                return cpu_s(process.process.pid), loop.time()
        except OSError:
            pass
        await asyncio.sleep(POLL_S)
    raise LabError(f"a gateway was not ready within {GIVE_UP_S:g} s: {process.last_words()}")


async def play(case: Case, rounds: int, folder: Path) -> Reading:
    """One case, so many times; LabError if a gateway does not start."""
    world = world_of(case)
    settings = platform_settings(world.scenario, 0)
    agent = (SlowAgent if case.discovery == "slow" else Agent)(world, 0, address_of, 0)
    zones = len(world.scenario.fleet.zones)
    for server in range(1, case.servers + 1):
        agent.entries[server] = EndpointEntry(server, server % zones, server // 20)
    world.registry.down = case.discovery == "silent"
    if case.discovery == "refuses":
        agent.door.close()
    found: list[tuple[float, float, str]] = []
    loop = asyncio.get_running_loop()
    for number in range(rounds):
        processes: list[GatewayProcess] = []
        try:
            began, waiting = [], []
            for one in range(case.at_once):
                process, listen = launch(case, agent, settings, folder / f"{number}-{one}")
                began.append(loop.time())
                processes.append(process)
                waiting.append(loop.create_task(first_ready(process, listen)))
            ready = await asyncio.gather(*waiting)
            for start_s, process, (spent, end_s) in zip(began, processes, ready, strict=True):
                words = process.log.read_text(errors="replace")
                found.append((spent, end_s - start_s, words.partition(TOLD)[2].partition("\n")[0]))
        finally:
            for process in processes:
                process.process.kill()
                process.process.wait()
    agent.door.close()
    found.sort()
    parts = found[len(found) // 2][2]
    return Reading(case, [row[0] for row in found], sorted(row[1] for row in found), parts)


def measure(rounds: int, cases: tuple[Case, ...], progress: Callable[[float], None]) -> Iterator[Reading]:
    """Every case, so many rounds each."""
    os.environ["SAGETRACK_STARTUP"] = "1"
    with tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder:
        for number, case in enumerate(cases):
            place = Path(folder) / str(number)
            os.mkdir(place)
            yield asyncio.run(play(case, rounds, place))
            progress((number + 1) / len(cases))
