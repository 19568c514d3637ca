"""Time from the start of a real gateway process to its first 200 on /health/ready, by startup phase.

The criterion is CPU time, because a restarted process may have as little as a quarter of a core: there,
startup takes four times its CPU time if it waits for nothing else. CPU time is the kernel's count for the
process. Other work on the machine increases the elapsed time, and through shared caches also the CPU time.
The process logs the CPU and elapsed milliseconds of each startup phase itself.
"""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

from sagetrack.lab.analysis.records import Records
from sagetrack.lab.errors import LabError
from sagetrack.lab.model.endpoint_entry import EndpointEntry
from sagetrack.lab.model.platform_settings import platform_settings
from sagetrack.lab.model.scenario import Fleet, Peers, Scenario, Tenant
from sagetrack.lab.model.world import World
from sagetrack.lab.processes.clock import RealClock
from sagetrack.lab.processes.gateway_process import GatewayProcess
from sagetrack.lab.processes.resource_usage import cpu_s, free_port
from sagetrack.lab.stand_ins.discovery_agent import DiscoveryAgent, DiscoveryConnection
from sagetrack.store.directory import DiskDirectory
from sagetrack.store.engine import Store
from sagetrack.store.format import Record
from sagetrack.store.options import StoreOptions

CORE_SHARE = 0.25  # the share of a core that a restarted process may be limited to
READY_LIMIT_S = 10.0  # the time within which 9 of 10 restarted processes have to be ready
READY_TIMEOUT_S = 120.0
POLL_INTERVAL_S = 0.02
SLOW_DISCOVERY_S = 2.0  # response time of a slow discovery
PHASES_PREFIX = "started; ms of CPU/elapsed: "  # of the log line that lists the startup phases
STORED_VALUE = bytes(150)  # as long as the record that a gateway stores every second
STORE_BATCH = 1000  # values per write
SERVERS_PER_RACK = 20
READY_REQUEST = b"GET /health/ready HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n"


class Discovery(StrEnum):
    """Behaviour of discovery while a process starts."""

    ANSWERS = "answers"
    SLOW = "slow"
    SILENT = "silent"
    REFUSES = "refuses"


@dataclass(slots=True, frozen=True)
class Case:
    """Conditions under which a process starts."""

    name: str
    servers: int = 25
    tenants: int = 10
    gateways: int = 1  # only one runs; the others are configured as peers that never respond
    discovery: Discovery = Discovery.ANSWERS
    stored_values: int = 0  # without a store if 0
    simultaneous_starts: int = 1


@dataclass(slots=True)
class CaseResult:
    """Startup times of one case, and the startup phases of the median start."""

    case: Case
    cpu_s: list[float] = field(default_factory=list)  # CPU time of each start, ascending
    elapsed_s: list[float] = field(default_factory=list)  # elapsed time of each start, ascending
    phases: str = ""

    @property
    def quarter_core_s(self) -> float:
        """90th percentile of the time to ready on a quarter of a core, in seconds."""
        return percentile_90(self.cpu_s) / CORE_SHARE


def percentile_90(values: list[float]) -> float:
    """Return the 90th percentile of a non-empty ascending list."""
    return values[-(-9 * len(values) // 10) - 1]


def _target(name: str, **more: Any) -> Case:
    """Return a case of the fleet size that gateways are designed for."""
    return Case(name, servers=9_600, tenants=39_000, gateways=730, **more)


CASES = (
    Case("today"),
    Case("today, discovery slow", discovery=Discovery.SLOW),
    Case("today, discovery silent", discovery=Discovery.SILENT),
    Case("today, discovery refuses", discovery=Discovery.REFUSES),
    _target("target"),
    _target("target, discovery silent", discovery=Discovery.SILENT),
    _target("target, discovery refuses", discovery=Discovery.REFUSES),
    _target("target, long store", stored_values=300_000),
    Case("today, 20 at once", simultaneous_starts=20),
    _target("target, 20 at once", simultaneous_starts=20),
)


class SlowDiscoveryAgent(DiscoveryAgent):
    """A discovery agent that delays its responses."""

    def respond_to_poll(self, connection: DiscoveryConnection, since: int | None) -> None:
        """Respond after `SLOW_DISCOVERY_S`."""
        asyncio.get_running_loop().call_later(SLOW_DISCOVERY_S, super().respond_to_poll, connection, since)


def write_store(folder: Path, values: int) -> None:
    """Write a store with `values` values, as a previous process would have left it."""
    store = Store(DiskDirectory(folder), StoreOptions())
    store.open()
    at_ms = int(time.time() * 1000)
    for first in range(0, values, STORE_BATCH):
        keys = range(first, min(values, first + STORE_BATCH))
        store.write([[Record("seconds", b"%015d g0" % (at_ms - n), STORED_VALUE, at_ms)] for n in keys])
    store.close()


def world_of(case: Case) -> World:
    """Return a simulated environment of the case's size."""
    tenants = [Tenant(f"t-{number}") for number in range(case.tenants)]
    fleet = Fleet(servers=case.servers, gateways=case.gateways)
    scenario = Scenario(name="readiness", fleet=fleet, tenants=tenants, peers=Peers(use=case.gateways > 1))
    return World(scenario, 1, RealClock(), Records())


def address_of(gateway: int, server: int) -> str:
    """Return a server's address. Nothing listens there, because no requests are sent."""
    return f"127.20.{server // 250}.{server % 250 + 1}:8000"


def _discovery_of(case: Case, world: World) -> DiscoveryAgent:
    """Return the case's discovery agent, which lists all servers."""
    agent = (SlowDiscoveryAgent if case.discovery is Discovery.SLOW else DiscoveryAgent)(
        world, 0, address_of, 0
    )
    zones = len(world.scenario.fleet.zones)
    for server in range(1, case.servers + 1):
        agent.entries[server] = EndpointEntry(server, server % zones, server // SERVERS_PER_RACK)
    world.registry.down = case.discovery is Discovery.SILENT
    if case.discovery is Discovery.REFUSES:
        agent.listener.close()
    return agent


class StartedGateway(NamedTuple):
    """A started process and its listen address."""

    process: GatewayProcess
    listen: str
    started_s: float  # time of the event loop's clock

    def logged_phases(self) -> str:
        """Return the startup phases that the process logged; empty if it has not logged them yet."""
        log = self.process.log.read_text(errors="replace")
        return log.partition(PHASES_PREFIX)[2].partition("\n")[0]


class ReadyTime(NamedTuple):
    """Time that a process took until it was ready."""

    cpu_s: float
    elapsed_s: float


def start_gateway(
    case: Case, agent: DiscoveryAgent, settings: dict[str, Any], folder: Path
) -> StartedGateway:
    """Start a gateway process under the conditions of the case.

    Args:
        case: conditions of the start.
        agent: discovery agent of the process.
        settings: platform settings.
        folder: directory to create; its name ends with "-" and a number unique among concurrent starts.
    """
    folder.mkdir()
    operator = ""
    if case.stored_values:
        write_store(folder / "store", case.stored_values)
        operator = f'[log]\nformat = "plain"\nlevel = "debug"\n[store]\nfolder = "{folder / "store"}"\n'
    # Unique per concurrent process, and outside the addresses that requests are sent from.
    host = f"127.11.{int(folder.name.rpartition('-')[2]) + 1}.1"
    listen = f"{host}:{free_port()}"
    config: dict[str, Any] = {
        "name": "g0",
        "listen": listen,
        "admin": f"{host}:{free_port()}",
        "seed": "1",
        "discovery": agent.listener.address,
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": agent.full_list(),
        "settings": settings,
    }
    if case.gateways > 1:
        peers = [f"127.40.{number // 250}.{number % 250 + 1}:9" for number in range(case.gateways)]
        config |= {"peer_listen": f"{host}:{free_port()}", "peers": peers}
    process = GatewayProcess(folder, config, None, 1, operator)
    return StartedGateway(process, listen, asyncio.get_running_loop().time())


async def _is_ready(listen: str) -> bool:
    """Return whether /health/ready responds with 200; raises OSError if the connection fails."""
    host, _, port = listen.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(READY_REQUEST)
    status_line = await reader.readline()
    writer.close()
    return status_line.startswith(b"HTTP/1.1 200")


async def wait_until_ready(start: StartedGateway) -> ReadyTime:
    """Wait until a process is ready, and return the time it took.

    Raises:
        LabError: the process exited, or was not ready within `READY_TIMEOUT_S`.
    """
    loop = asyncio.get_running_loop()
    gateway = start.process
    deadline_s = loop.time() + READY_TIMEOUT_S
    while loop.time() < deadline_s:
        if gateway.process.poll() is not None:
            raise LabError(f"gateway exited during startup; last log line: {gateway.last_log_line()}")
        with suppress(OSError):
            if await _is_ready(start.listen):
                return ReadyTime(cpu_s(gateway.process.pid), loop.time() - start.started_s)
        await asyncio.sleep(POLL_INTERVAL_S)
    raise LabError(
        f"gateway not ready within {READY_TIMEOUT_S:g} s; last log line: {gateway.last_log_line()}"
    )


async def measure_case(case: Case, rounds: int, folder: Path) -> CaseResult:
    """Measure `rounds` rounds of one case.

    Raises:
        LabError: a gateway did not start.
    """
    world = world_of(case)
    settings = platform_settings(world.scenario, 0)
    agent = _discovery_of(case, world)
    results: list[tuple[ReadyTime, str]] = []  # times and startup phases of each start
    for number in range(rounds):
        starts: list[StartedGateway] = []
        try:
            for place in range(case.simultaneous_starts):
                starts.append(start_gateway(case, agent, settings, folder / f"{number}-{place}"))
            ready = await asyncio.gather(*map(wait_until_ready, starts))
            results += zip(ready, (start.logged_phases() for start in starts), strict=True)
        finally:
            for start in starts:
                start.process.process.kill()
                start.process.process.wait()
    agent.listener.close()
    results.sort()
    return CaseResult(
        case,
        cpu_s=[ready.cpu_s for ready, _ in results],
        elapsed_s=sorted(ready.elapsed_s for ready, _ in results),
        phases=results[len(results) // 2][1],
    )


def measure(rounds: int, cases: tuple[Case, ...], progress: Callable[[float], None]) -> Iterator[CaseResult]:
    """Measure `rounds` rounds of every case; `progress` is called with the share of finished cases.

    Raises:
        LabError: a gateway did not start.
    """
    os.environ["SAGETRACK_STARTUP"] = "1"  # makes the process log its startup phases
    with tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder:
        for number, case in enumerate(cases):
            case_folder = Path(folder) / str(number)
            case_folder.mkdir()
            yield asyncio.run(measure_case(case, rounds, case_folder))
            progress((number + 1) / len(cases))
