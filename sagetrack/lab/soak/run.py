"""One run of the soak: starts the processes, injects the scheduled faults, and evaluates the events."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

from sagetrack.lab.soak.discovery import group_of
from sagetrack.lab.soak.events import read_events
from sagetrack.lab.soak.fault_injection import FaultInjector
from sagetrack.lab.soak.fault_schedule import generate_schedule
from sagetrack.lab.soak.fleet import Fleet, SoakSize
from sagetrack.lab.soak.gateway_checks import (
    record_counted_violations,
    record_leaks,
    record_unexpected_exits,
)
from sagetrack.lab.soak.gateway_lifecycle import GatewayLifecycle
from sagetrack.lab.soak.history import GatewaySpan, History
from sagetrack.lab.soak.memory_watch import MemoryWatch
from sagetrack.lab.soak.shim import ShimError, build_library
from sagetrack.lab.soak.verdict import SoakReport, evaluate_run

FAULT_FREE_S = 0.5  # time from the last fault until the clients end
DRAIN_S = 3.0  # time after the clients end during which long bodies and late connections complete
NO_COMPILER_LIMITATION = "failing system calls: there is no C compiler"


class SoakRun:
    """One run with one seed."""

    def __init__(self, seed: int, size: SoakSize, folder: Path, library: Path | None) -> None:
        self._seed = seed
        self._size = size
        self._folder = folder
        self._library = library
        self._faults = generate_schedule(seed, size.seconds, size.gateways, size.servers, size.kinds)
        server_groups = {server: group_of(server) for server in range(size.servers)}
        self._history = History(server_groups=server_groups)
        self._fleet = Fleet(seed, size, folder, library)
        self._memory_watch = MemoryWatch(self._fleet.gateways, size.limit_mb(seed), self._history)
        self._lifecycle = GatewayLifecycle(self._history)
        self._injector = FaultInjector(self._fleet, self._lifecycle, size.servers, self._history)

    async def execute(self) -> SoakReport:
        """Execute the run and return its report. No process is left behind, even after an error."""
        try:
            await self._start()
            await self._inject_faults()
            await self._finish()
        finally:
            self._fleet.end()
        return self._report()

    async def _start(self) -> None:
        await self._fleet.start_upstream()
        await self._lifecycle.start_all(self._fleet.gateways)
        await self._fleet.start_clients()

    async def _inject_faults(self) -> None:
        """Apply all faults; returns when the last one is over and the planned duration has passed."""
        watch = asyncio.create_task(self._memory_watch.run())
        async with asyncio.TaskGroup() as group:
            for fault in self._faults:
                group.create_task(self._injector.apply_when_due(fault))
            group.create_task(asyncio.sleep(self._size.seconds))
        watch.cancel()
        for gateway in self._fleet.gateways:
            gateway.agent.recover()

    async def _finish(self) -> None:
        """End the clients, check for leaks, and shut down all gateways."""
        await asyncio.sleep(FAULT_FREE_S)
        await self._fleet.end_clients()
        await asyncio.sleep(DRAIN_S)
        gateways = self._fleet.gateways
        for gateway in gateways:
            await record_counted_violations(gateway, self._history)
            await record_leaks(gateway, self._size.servers, self._history)
        await asyncio.gather(
            *(self._lifecycle.shut_down(gateway, gateway.newest_process) for gateway in gateways)
        )

    def _report(self) -> SoakReport:
        history = self._history
        gateways = self._fleet.gateways
        for gateway in gateways:
            spans = [GatewaySpan(gateway.number, *span) for span in gateway.agent.unreachable_spans]
            history.discovery_unreachable += spans
            record_unexpected_exits(gateway, history)
        failed_calls = sum(gateway.system_calls.failed_calls for gateway in gateways)
        events = read_events(self._folder)
        report = evaluate_run(self._seed, events, history, self._faults, failed_calls)
        report.peak_memory_mb = self._memory_watch.peak_mb
        if self._library is None:
            report.limitations.append(NO_COMPILER_LIMITATION)
        return report


def run_soak(seed: int, size: SoakSize, folder: Path) -> SoakReport:
    """Run one seed. All processes write their events and logs to the folder, which is created if needed."""
    folder.mkdir(parents=True, exist_ok=True)
    try:
        library: Path | None = build_library(folder)
    except ShimError:
        library = None

    async def main() -> SoakReport:
        return await SoakRun(seed, size, folder, library).execute()

    return asyncio.run(main())


def create_run_folder() -> Path:
    """Create a temporary folder for the runs of one command."""
    return Path(tempfile.mkdtemp(prefix="sagetrack-soak-"))
