"""Runs a scenario in real time, with gateway processes over loopback sockets.

However a run ends, it leaves no process behind: it ends the gateways by process ID, and the kernel kills them
if this process is killed.
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

RESERVED_DESCRIPTORS = 200
DESCRIPTORS_PER_GATEWAY = 20
OPEN_CONNECTION_S = 4  # requests sent within this time may all have open connections at once
POLL_INTERVAL_S = 0.05  # interval between checks whether the run is over or has failed
END_SLACK_US = 200_000  # a run ends at most this long after the last possible deadline of a request

ProgressCallback = Callable[[float, World], None]  # receives the elapsed share of the run (0 to 1)


def play(
    scenario: Scenario,
    seed: int,
    progress: ProgressCallback | None = None,
    sample_s: float = 0.0,
    records: Records | None = None,
) -> Records:
    """Run a scenario in real time and return its records.

    `progress` is called with the elapsed share of the run. If `sample_s` is not 0, each server's load is
    recorded every `sample_s` seconds. Events are added to `records`, or to a new object by default.

    Raises LabError if the scenario cannot be run. On SIGINT, SIGTERM or SIGHUP it ends all processes and
    raises KeyboardInterrupt.
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
        raise LabError(f"cannot open a socket for the run: {error.strerror or error}") from None
    return run_records


async def _play(
    scenario: Scenario, seed: int, records: Records, progress: ProgressCallback | None, sample_s: float
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
        _reset_time_base(clock, world, gateways)
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
    """Return the number of descriptors that this process may need at once."""
    fleet = scenario.fleet
    replacements = sum(fault.kind in ("deploy", "vanish") for fault in scenario.faults)
    listeners = (fleet.servers * (1 + replacements) + 1) * fleet.gateways
    clients = int(scenario.rate * OPEN_CONNECTION_S)
    return listeners + clients + fleet.gateways * DESCRIPTORS_PER_GATEWAY + RESERVED_DESCRIPTORS


def _unix_ms() -> int:
    return time.time_ns() // 1_000_000


def _reset_time_base(clock: RealClock, world: World, gateways: GatewayFleet) -> None:
    """Restart the clock once all gateways are ready; everything recorded before counts as time 0."""
    clock.restart()
    gateways.set_base_time(_unix_ms())
    for server in world.server_fleet.servers.values():
        server.now_us = 0
        server.started_us = 0
    world.records.rows = [(row[0], 0, *row[2:]) for row in world.records.rows]


async def _wait_for_end(
    world: World, gateways: GatewayFleet, progress: ProgressCallback | None, sampler: LoadSampler
) -> None:
    """Wait until every request has an outcome or the longest deadline has passed.

    Raises LabError if a gateway or a background task fails.
    """
    scenario = world.scenario
    arrivals_end_us = int(scenario.seconds * 1e6)
    longest_deadline_us = max(int(request_class.deadline_ms * 1000) for request_class in scenario.classes)
    end_us = arrivals_end_us + longest_deadline_us + END_SLACK_US
    while world.clock.now_us() < end_us:
        await asyncio.sleep(POLL_INTERVAL_S)
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
    """Records each server's load every `period_s` seconds, or never if that is 0."""

    def __init__(self, world: World, period_s: float) -> None:
        self.world = world
        self.period_s = period_s
        self.next_s = 0.0

    def sample_if_due(self, now_us: int) -> None:
        """Record the load if the next sample is due."""
        now_s = now_us / 1e6
        if not self.period_s or now_s < self.next_s:
            return
        self.next_s = now_s + self.period_s
        for server in self.world.server_fleet.servers.values():
            is_overloaded = server.is_degraded
            self.world.records.add(
                "load", now_us, server.number, server.request_count, len(server.running), is_overloaded
            )
