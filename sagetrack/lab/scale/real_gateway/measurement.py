"""Measures a real gateway process in all phases, then the start of another process with the full list."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import uvloop

from sagetrack.lab.benchmarks.http_load import FixedResponseServer
from sagetrack.lab.errors import LabError
from sagetrack.lab.processes.child_process import require_file_descriptors
from sagetrack.lab.processes.resource_usage import memory_mb
from sagetrack.lab.scale.real_gateway.admin import START_TIMEOUT_S, request_totals, wait_until_ready
from sagetrack.lab.scale.real_gateway.discovery import ScriptedDiscovery
from sagetrack.lab.scale.real_gateway.launcher import GatewayLauncher
from sagetrack.lab.scale.real_gateway.trial import INITIAL_SERVERS, LoadTrial
from sagetrack.lab.scale.target_fleet import TargetFleet
from sagetrack.lab.stand_ins.scripted import ScriptedServer, scripted_server

NAME = "real-gateway"  # selects this measurement in the list of probe names
STEPS = 5  # number of calls of `on_step`
PHASE_S, QUICK_PHASE_S = 15.0, 5.0
WARM_UP_S = 1.0
ECHO_SERVERS = 64  # the endpoint list entries share their addresses
REQUIRED_DESCRIPTORS = 1000  # file descriptors of this process


async def _run_trial(trial: LoadTrial, phase_s: float, on_step: Callable[[], None]) -> None:
    """Run all phases of a gateway, from its start with a short list."""
    figures = trial.figures
    figures["ready_short_list_s"] = await wait_until_ready(trial.gateway.process)
    await trial.run_phase("warm", min(WARM_UP_S, phase_s), trial.change_nothing)
    on_step()
    await trial.run_phase("calm", phase_s, trial.change_nothing)
    on_step()
    await trial.run_phase("listing", phase_s, trial.list_all)
    figures["listing_bytes"] = float(trial.discovery.sent_bytes)
    on_step()
    await trial.run_phase("changes", phase_s, trial.drain_some)
    on_step()
    await trial.run_phase("zone", phase_s, trial.lose_zone)
    figures["all_answered"] = (await request_totals(trial.gateway.process)).served


async def _start_with_full_list(launcher: GatewayLauncher, discovery: ScriptedDiscovery) -> dict[str, float]:
    """Start a process with the full list; return its time until readiness and its memory."""
    known = json.loads(discovery.list_json())
    discovery.discard_polls()
    gateway = launcher.start(known)
    ready_s = await wait_until_ready(gateway.process)
    await discovery.wait_until_applied()
    return {"ready_full_list_s": ready_s, "ready_memory_mb": memory_mb(gateway.pid)}


async def _release_polls(discovery: ScriptedDiscovery, listener: ScriptedServer) -> None:
    """Release the pending polls of ended gateways, and wait until their connections are closed."""
    discovery.change([])
    async with asyncio.timeout(START_TIMEOUT_S):
        while listener.closed_connections < listener.opened_connections:
            await asyncio.sleep(0.01)


@asynccontextmanager
async def _echo_servers(count: int) -> AsyncIterator[list[str]]:
    """Run `count` echo servers and yield their addresses."""
    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(FixedResponseServer, "127.0.0.1", 0, backlog=256) for _ in range(count)
    ]
    try:
        yield [f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers]
    finally:
        for server in servers:
            server.close()


async def _measure(
    fleet: TargetFleet, phase_s: float, core: int, on_step: Callable[[], None]
) -> dict[str, float]:
    """Run all phases of a gateway, then the start of another one with the full list."""
    with tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder:
        async with _echo_servers(ECHO_SERVERS) as addresses:
            discovery = ScriptedDiscovery(fleet, addresses)
            discovery.change(range(INITIAL_SERVERS))
            async with scripted_server(discovery.serve) as listener:
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
    """Return the measures of a real gateway under their stored names; `on_step` is called 5 times.

    The gateway runs on the first core of this process's CPU affinity, and this process on the other ones.

    Raises:
        LabError: There are too few cores or file descriptors, or a gateway fails to start or respond.
    """
    require_file_descriptors(REQUIRED_DESCRIPTORS)
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 2:
        raise LabError("at least two cores are required: one for the gateway and one for the load")
    try:
        os.sched_setaffinity(0, cores[1:])
        figures = uvloop.run(_measure(fleet, phase_s, cores[0], on_step))
    finally:
        os.sched_setaffinity(0, cores)
    return {name: float(f"{value:.4g}") for name, value in figures.items()}
