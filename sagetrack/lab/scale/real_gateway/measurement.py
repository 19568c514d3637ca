"""Runs the phases of the real gateway, then the start of another process with all that it knew."""

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
from sagetrack.lab.scale.real_gateway.trial import FIRST_SERVERS, LoadTrial
from sagetrack.lab.scale.target_fleet import TargetFleet
from sagetrack.lab.stand_ins.scripted import ScriptedServer, scripted_server

NAME = "real-gateway"  # beside the names of the probes
STEPS = 5  # that `measure` reports
PHASE_S, QUICK_PHASE_S = 15.0, 5.0
WARM_UP_S = 1.0
ECHO_SERVERS = 64  # whose addresses the entries share
DESCRIPTORS = 1000  # that this process needs


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
    """Start a process that knows the whole list, and return how long it took."""
    known = json.loads(discovery.list_text())
    discovery.forget_polls()
    gateway = launcher.start(known)
    ready_s = await wait_until_ready(gateway.process)
    await discovery.wait_until_taken()
    return {"ready_full_list_s": ready_s, "ready_memory_mb": memory_mb(gateway.pid)}


async def _release_polls(discovery: ScriptedDiscovery, listener: ScriptedServer) -> None:
    """Answer the polls that wait, and wait until their ended callers' connections are seen to be closed."""
    discovery.change([])
    async with asyncio.timeout(START_TIMEOUT_S):
        while listener.closed_connections < listener.opened_connections:
            await asyncio.sleep(0.01)


@asynccontextmanager
async def _echo_servers(count: int) -> AsyncIterator[list[str]]:
    """Run echo servers, and yield their addresses."""
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
    """All phases of a gateway, then the start of another one with all that it knew."""
    with tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder:
        async with _echo_servers(ECHO_SERVERS) as addresses:
            discovery = ScriptedDiscovery(fleet, addresses)
            discovery.change(range(FIRST_SERVERS))
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
    """Return the figures of a real gateway by their stored names; `on_step` is called 5 times.

    The gateway has the first core that this process may use; this process uses the others meanwhile.

    Raises:
        LabError: It cannot be measured here.
    """
    require_file_descriptors(DESCRIPTORS)
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 2:
        raise LabError("one core is too few: the gateway and the load need one each")
    try:
        os.sched_setaffinity(0, cores[1:])
        figures = uvloop.run(_measure(fleet, phase_s, cores[0], on_step))
    finally:
        os.sched_setaffinity(0, cores)
    return {name: float(f"{value:.4g}") for name, value in figures.items()}
