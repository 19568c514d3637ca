"""One real gateway process with the full list and all tenants, under its part of the load.

It is measured while the servers are listed, while 200 of them change within a second, and while a zone is
lost. The servers are so many entries at a few addresses, since one echo server answers for many of them.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any

import uvloop

from sagetrack.lab.benchmarks.throughput import _Echo, _load, _Run
from sagetrack.lab.errors import LabError
from sagetrack.lab.processes.fleet import GatewayProcess, need_files
from sagetrack.lab.processes.resource_usage import cpu_s, free_port, memory_mb
from sagetrack.lab.scale.gateway_admin import START_TIMEOUT_S, request_totals, wait_until_ready
from sagetrack.lab.scale.scripted_discovery import ScriptedDiscovery
from sagetrack.lab.scale.target_fleet import TargetFleet
from sagetrack.lab.stand_ins.scripted import Peer, peer

NAME = "real-gateway"
STEPS = 5  # that `measure` reports
PHASE_S, QUICK_PHASE_S = 15.0, 5.0
WARM_UP_S = 1.0
ECHO_SERVERS = 64  # whose addresses the entries share
CHANGED_SERVERS, CHANGE_S = 200, 1.0
FIRST_SERVERS = 25  # in the list that it starts with
CONNECTIONS = 32  # of the load
MEMORY_LIMIT_MB = 512
SOCKET_LIMIT = 4096
DESCRIPTORS = 1000  # that this process needs
TICK_S = 0.001


async def longest_gap_ms() -> float:
    """Return for how long this process's own event loop was blocked at most, until cancelled.

    So much of the longest latency may be the lab's own.
    """
    longest_s = 0.0
    last_s = time.monotonic()
    try:
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            longest_s = max(longest_s, now_s - last_s - TICK_S)
            last_s = now_s
    except asyncio.CancelledError:
        return longest_s * 1000


def percentile_ms(run: _Run, percentile: float) -> float:
    """Return a percentile of a load's latencies."""
    return float(run.times.get_value_at_percentile(percentile)) / 1000


@dataclass(slots=True, frozen=True)
class RunningGateway:
    """A gateway process and the port that clients reach it on."""

    port: int
    process: GatewayProcess

    @property
    def pid(self) -> int:
        """Its process id."""
        return self.process.process.pid

    def kill(self) -> None:
        """End it by its id, and wait until it has ended."""
        if self.process.process.poll() is None:
            os.kill(self.pid, signal.SIGKILL)
        self.process.process.wait()


class GatewayLauncher:
    """Starts the gateway's processes, one after another; as a context it ends those that are left."""

    def __init__(self, fleet: TargetFleet, folder: Path, discovery: str, core: int) -> None:
        self.fleet = fleet
        self.folder = folder
        self.discovery = discovery  # its address
        self.core = core
        self.started: list[RunningGateway] = []

    def __enter__(self) -> GatewayLauncher:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for gateway in self.started:
            gateway.kill()

    def start(self, known: dict[str, object]) -> RunningGateway:
        """Start a process that knows a list (in discovery's form; empty: none), on its core."""
        incarnation = len(self.started) + 1
        # It inherits a listening socket: without one it would not write its list for the next process.
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            config = self._config(incarnation, port, known)
            process = GatewayProcess(self.folder, config, listener, incarnation)
        gateway = RunningGateway(port, process)
        self.started.append(gateway)
        os.sched_setaffinity(gateway.pid, {self.core})
        return gateway

    def _config(self, incarnation: int, port: int, known: dict[str, object]) -> dict[str, Any]:
        """The configuration file; its keys are the file's."""
        return {
            "name": f"g{incarnation}",
            "listen": f"127.0.0.1:{port}",
            "discovery": self.discovery,
            "seed": "1",
            "admin": f"127.0.0.1:{free_port()}",
            "known": known,
            "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": SOCKET_LIMIT},
            "settings": self.fleet.platform_settings(self.fleet.sizes.tenants) | {"balancers": 1},
        }


class LoadTrial:
    """One running gateway under load, and the changes of its list. Figures have their stored names."""

    def __init__(self, fleet: TargetFleet, discovery: ScriptedDiscovery, gateway: RunningGateway) -> None:
        self.fleet = fleet
        self.discovery = discovery
        self.gateway = gateway
        self.figures: dict[str, float] = {}

    async def run_phase(
        self, name: str, seconds: float, change: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Put load on the gateway during a change; store latencies, counts and CPU under the phase's name."""
        process = self.gateway.process
        sizes = self.fleet.sizes
        totals_before = await request_totals(process)
        cpu_before_s = cpu_s(self.gateway.pid)
        began_s = time.monotonic()
        gap = asyncio.create_task(longest_gap_ms())
        change_task = asyncio.create_task(change())
        load_task = asyncio.create_task(
            _load(self.gateway.port, CONNECTIONS, seconds, sizes.requests_per_s / sizes.gateways)
        )
        await change_task
        change_s = time.monotonic() - began_s
        run = await load_task
        gap.cancel()
        # The gateway's own counts: the load counts also those requests as failed that it cuts off at its end.
        totals = await request_totals(process) - totals_before
        self.figures |= {
            f"{name}_own_hold_ms": await gap,
            f"{name}_p50_ms": percentile_ms(run, 50),
            f"{name}_p99_ms": percentile_ms(run, 99),
            f"{name}_longest_ms": float(run.times.get_max_value()) / 1000,
            f"{name}_refused": totals.rejected,
            f"{name}_failed": totals.failed,
            f"{name}_done": float(run.finished),
            f"{name}_core": (cpu_s(self.gateway.pid) - cpu_before_s) / (time.monotonic() - began_s),
            f"{name}_over_s": change_s,
            f"{name}_memory_mb": memory_mb(self.gateway.pid),
        }

    async def change_nothing(self) -> None:
        """Leave the list as it is."""

    async def list_all(self) -> None:
        """List all servers at once."""
        await self._change([range(FIRST_SERVERS, self.fleet.sizes.servers)], "SERVING", 0.0)

    async def change_some(self) -> None:
        """Set 200 servers to draining, one after another within a second; a quarter of a smaller fleet."""
        changed = min(CHANGED_SERVERS, self.fleet.sizes.servers // 4)
        batches = [range(number, number + 1) for number in range(changed)]
        await self._change(batches, "DRAINING", CHANGE_S / changed)

    async def lose_zone(self) -> None:
        """Delete the servers of the last zone at once."""
        sizes = self.fleet.sizes
        await self._change([self.fleet.servers_in_zone(sizes.zones - 1, sizes.servers)], "DELETED", 0.0)

    async def _change(self, batches: Sequence[Sequence[int]], status: str, interval_s: float) -> None:
        """Change the list in batches, and wait until the gateway has taken all of them."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for count, numbers in enumerate(batches, 1):
            self.discovery.change(numbers, status)
            await asyncio.sleep(max(0.0, began_s + count * interval_s - loop.time()))
        await self.discovery.wait_until_taken()


async def _run_trial(trial: LoadTrial, phase_s: float, on_step: Callable[[], None]) -> None:
    """All phases of one gateway, from its start with a short list."""
    figures = trial.figures
    figures["ready_short_list_s"] = await wait_until_ready(trial.gateway.process)
    await trial.run_phase("warm", min(WARM_UP_S, phase_s), trial.change_nothing)
    on_step()
    await trial.run_phase("calm", phase_s, trial.change_nothing)
    on_step()
    await trial.run_phase("listing", phase_s, trial.list_all)
    figures["listing_bytes"] = float(trial.discovery.sent_bytes)
    on_step()
    await trial.run_phase("changes", phase_s, trial.change_some)
    on_step()
    await trial.run_phase("zone", phase_s, trial.lose_zone)
    figures["all_answered"] = (await request_totals(trial.gateway.process)).served


async def _start_with_full_list(launcher: GatewayLauncher, discovery: ScriptedDiscovery) -> dict[str, float]:
    """The start of a process that knows the whole list."""
    known = json.loads(discovery.list_text())
    discovery.forget_polls()
    gateway = launcher.start(known)
    ready_s = await wait_until_ready(gateway.process)
    await discovery.wait_until_taken()
    return {"ready_full_list_s": ready_s, "ready_memory_mb": memory_mb(gateway.pid)}


async def _release_polls(discovery: ScriptedDiscovery, listener: Peer) -> None:
    """Answer the polls that wait, and wait until their ended callers' connections are seen to be closed."""
    discovery.change([])
    async with asyncio.timeout(START_TIMEOUT_S):
        while listener.ended < listener.opened:
            await asyncio.sleep(0.01)


@asynccontextmanager
async def _echo_servers(count: int) -> AsyncIterator[list[str]]:
    """Addresses of so many echo servers."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(_Echo, "127.0.0.1", 0, backlog=256) for _ in range(count)]
    try:
        yield [f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers]
    finally:
        for server in servers:
            server.close()


async def _measure(
    fleet: TargetFleet, phase_s: float, core: int, on_step: Callable[[], None]
) -> dict[str, float]:
    """All phases of a gateway, then the start of another one with all that it knew."""
    with tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder:
        async with _echo_servers(ECHO_SERVERS) as addresses:
            discovery = ScriptedDiscovery(fleet, addresses)
            discovery.change(range(FIRST_SERVERS))
            async with peer(discovery.serve) as listener:
                with GatewayLauncher(fleet, Path(folder), listener.address, core) as launcher:
                    trial = LoadTrial(fleet, discovery, launcher.start({}))
                    await _run_trial(trial, phase_s, on_step)
                    trial.gateway.kill()
                    figures = trial.figures | await _start_with_full_list(launcher, discovery)
                    on_step()
                await _release_polls(discovery, listener)
    for name in ("listing", "changes", "zone"):
        figures[f"{name}_added_p99_ms"] = figures[f"{name}_p99_ms"] - figures["calm_p99_ms"]
    return figures


def measure(fleet: TargetFleet, phase_s: float, on_step: Callable[[], None]) -> dict[str, float]:
    """Return the figures of a real gateway by their stored names; `on_step` is called 5 times.

    The gateway has the first core that this process may use; this process uses the others meanwhile.

    Raises:
        LabError: It cannot be measured here.
    """
    need_files(DESCRIPTORS)
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 2:
        raise LabError("one core is too few: the gateway and the load need one each")
    try:
        os.sched_setaffinity(0, cores[1:])
        figures = uvloop.run(_measure(fleet, phase_s, cores[0], on_step))
    finally:
        os.sched_setaffinity(0, cores)
    return {name: float(f"{value:.4g}") for name, value in figures.items()}
