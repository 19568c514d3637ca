"""A run of a scenario in real time, with gateway processes over loopback sockets.

However a run ends, nothing that it started stays behind: gateways are ended by process id, and the kernel
ends them if this process is killed.
"""

from __future__ import annotations

import asyncio
import shutil
import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import uvloop

from sagetrack.lab.analysis.records import Records
from sagetrack.lab.errors import LabError
from sagetrack.lab.model.scenario import Scenario
from sagetrack.lab.model.world import World
from sagetrack.lab.processes.child_process import require_file_descriptors
from sagetrack.lab.processes.clock import RealClock
from sagetrack.lab.processes.gateway_fleet import GatewayFleet

SPARE_DESCRIPTORS = 200
DESCRIPTORS_PER_GATEWAY = 20
REQUEST_S = 4  # of requests whose connections may be open at once
CHECK_S = 0.05  # between two looks at how the run is going
FINAL_SLACK_US = 200_000  # beyond the longest deadline, until a run ends at the latest

Progress = Callable[[float, World], None]  # the share of the run that is over


def play(
    scenario: Scenario,
    seed: int,
    progress: Progress | None = None,
    sample_s: float = 0.0,
    records: Records | None = None,
) -> Records:
    """Play a scenario in real time.

    `progress` is called with the share of the run that is over. With `sample_s`, each server's load is
    recorded that often. What happens goes into `records`, which are returned; by default they are new ones.
    LabError if the scenario cannot be played; KeyboardInterrupt, once everything is ended, on SIGINT, SIGTERM
    or SIGHUP.
    """
    run_records = records if records is not None else Records()

    async def main() -> None:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        for signum in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            loop.add_signal_handler(signum, task.cancel)
        await _play(scenario, seed, run_records, progress, sample_s)

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(main())
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None
    except OSError as error:
        raise LabError(f"no socket could be had: {error.strerror or error}") from None
    return run_records


async def _play(
    scenario: Scenario, seed: int, records: Records, progress: Progress | None, sample_s: float
) -> None:
    require_file_descriptors(_descriptor_count(scenario))
    folder = Path(tempfile.mkdtemp(prefix="sagetrack-lab-"))
    clock = RealClock()
    world = World(scenario, seed, clock, records)
    records.header["driver"] = "real"
    gateways = GatewayFleet(world, folder, _unix_ms())
    world.gateway_fleet.driver = gateways
    try:
        world.prepare()
        gateways.start()
        await gateways.start_all()
        _restart_time(clock, world, gateways)
        start_usage = gateways.supervisor.usage()
        world.start()
        if gateways.dns is not None:
            await gateways.dns.begin()
        await _wait_for_end(world, gateways, progress, LoadSampler(world, sample_s))
        usage = gateways.supervisor.usage()
        records.header["gateway_cpu_s"] = round(usage.cpu_s - start_usage.cpu_s, 3)
        records.header["gateway_memory_mb"] = round(usage.memory_mb, 1)
    finally:
        gateways.stop()
        shutil.rmtree(folder, ignore_errors=True)


def _descriptor_count(scenario: Scenario) -> int:
    """Descriptors that this process may need at once."""
    fleet = scenario.fleet
    replacements = sum(trouble.kind in ("deploy", "vanish") for trouble in scenario.faults)
    listeners = (fleet.servers * (1 + replacements) + 1) * fleet.gateways
    clients = int(scenario.rate * REQUEST_S)
    return listeners + clients + fleet.gateways * DESCRIPTORS_PER_GATEWAY + SPARE_DESCRIPTORS


def _unix_ms() -> int:
    return time.time_ns() // 1_000_000


def _restart_time(clock: RealClock, world: World, gateways: GatewayFleet) -> None:
    """Begin the run now that all gateways are ready: what came before counts as time 0."""
    clock.restart()
    gateways.restart_base_time(_unix_ms())
    for server in world.server_fleet.servers.values():
        server.now_us = 0
        server.started_us = 0
    world.records.rows = [(row[0], 0, *row[2:]) for row in world.records.rows]


async def _wait_for_end(
    world: World, gateways: GatewayFleet, progress: Progress | None, sampler: LoadSampler
) -> None:
    """Wait until every request has its outcome or none can have one; LabError if a gateway fails."""
    scenario = world.scenario
    arrivals_end_us = int(scenario.seconds * 1e6)
    longest_deadline_us = max(int(request_class.deadline_ms * 1000) for request_class in scenario.classes)
    end_us = arrivals_end_us + longest_deadline_us + FINAL_SLACK_US
    while world.clock.now_us() < end_us:
        await asyncio.sleep(CHECK_S)
        now_us = world.clock.now_us()
        _raise_failure(gateways)
        if progress is not None:
            progress(min(1.0, now_us / arrivals_end_us), world)
        sampler.sample_if_due(now_us)
        has_open_requests = bool(world.clients.pending) or gateways.open_dns_queries > 0
        if now_us > arrivals_end_us and world.arrivals.finished and not has_open_requests:
            return


def _raise_failure(gateways: GatewayFleet) -> None:
    if gateways.background.failure is not None:
        raise LabError(gateways.background.failure)
    crashes = gateways.supervisor.crashes()
    if crashes:
        raise LabError(crashes[0])


class LoadSampler:
    """Records each server's load every so many seconds; never, with a period of 0."""

    def __init__(self, world: World, period_s: float) -> None:
        self.world = world
        self.period_s = period_s
        self.next_s = 0.0

    def sample_if_due(self, now_us: int) -> None:
        """Record the load if the time has come."""
        now_s = now_us / 1e6
        if not self.period_s or now_s < self.next_s:
            return
        self.next_s = now_s + self.period_s
        for server in self.world.server_fleet.servers.values():
            is_overloaded = server.is_degraded
            self.world.records.add(
                "load", now_us, server.number, server.request_count, len(server.running), is_overloaded
            )
