"""Starts, kills, restarts and upgrades the gateway processes of a run."""

from __future__ import annotations

import asyncio
import signal
import socket
import subprocess
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from sagetrack.lab.errors import LabError
from sagetrack.lab.model.world import World
from sagetrack.lab.processes.background_tasks import BackgroundTasks
from sagetrack.lab.processes.gateway_process import GatewayProcess, Usage
from sagetrack.lab.processes.gateway_settings import GatewaySettings

BACKLOG = 1024
UPGRADE_SETTLE_S = 0.3  # between an upgrade's new process being ready and the old one's SIGTERM
UPGRADE_TERMINATION_TIMEOUT_S = 4.0  # for a gateway to end after SIGTERM, in an upgrade
FINAL_TERMINATION_TIMEOUT_S = 1.0  # for all gateways to end after SIGTERM, at the end of a run

MakeSettings = Callable[[int, int, Path], GatewaySettings]  # gateway, number of the process, its folder


class GatewaySupervisor:
    """All processes of all gateways.

    `processes` has those of each gateway, the newest last. `ports` has the port at which each listens for
    clients; it stays the same over all processes of a gateway.
    """

    def __init__(
        self, world: World, folder: Path, background: BackgroundTasks, make_settings: MakeSettings
    ) -> None:
        self.world = world
        self.folder = folder
        self.background = background
        self.make_settings = make_settings
        self.processes: dict[int, list[GatewayProcess]] = {}
        self.ports: dict[int, int] = {}
        self.listeners: dict[int, socket.socket] = {}
        self.upgrades: dict[int, set[asyncio.Task[Any]]] = {}  # under way, by gateway
        self.launch_count = 0
        self.ended_cpu_s = 0.0  # of killed processes
        # An upgrade hands the listening socket over, so the lab holds it.
        self.passes_listeners = any(t.kind == "gateway-upgrade" for t in world.scenario.faults)

    # Starting

    def reserve_port(self, gateway: int) -> None:
        """Find a gateway its port, or bind the one it had; LabError if that is taken.

        The listening socket stays open for the processes to inherit if the run has upgrades.
        """
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((f"127.10.{gateway + 1}.1", self.ports.get(gateway, 0)))
        except OSError as error:
            listener.close()
            raise LabError(f"no address for gateway {gateway}: {error.strerror}") from None
        self.ports[gateway] = listener.getsockname()[1]
        if self.passes_listeners:
            listener.listen(BACKLOG)
            self.listeners[gateway] = listener
        else:
            listener.close()

    def launch(self, gateway: int) -> GatewayProcess:
        """Start a process of a gateway without waiting for it."""
        self.launch_count += 1
        number = self.launch_count
        folder = self.folder / f"g{gateway}"
        folder.mkdir(exist_ok=True)
        settings = self.make_settings(gateway, number, folder)
        listener = self.listeners.get(gateway)
        process = GatewayProcess(folder, settings.config, listener, number, settings.operator)
        self.processes.setdefault(gateway, []).append(process)
        return process

    async def wait_until_ready(self, gateway: int, process: GatewayProcess) -> None:
        """Wait until a process takes clients; LabError if it ends or is not ready in time."""
        await process.wait_until_ready(f"gateway {gateway}")

    async def start_all(self) -> None:
        """Start all gateways at once and wait until each is ready; LabError if one is not."""
        processes = {gateway: self.launch(gateway) for gateway in self.world.gateway_fleet.alive}
        await asyncio.gather(
            *(self.wait_until_ready(gateway, process) for gateway, process in processes.items())
        )

    # Changes during a run

    def kill(self, gateway: int) -> None:
        """Kill all processes of a gateway, and cancel an upgrade that is under way.

        On a busy machine the upgrade's new process may not be ready yet: so its end is no failure.
        """
        for task in self.upgrades.pop(gateway, set()):
            task.cancel()
        for process in self.processes[gateway]:
            self.ended_cpu_s += process.usage().cpu_s
            process.process.kill()
        listener = self.listeners.pop(gateway, None)
        if listener is not None:
            listener.close()

    async def restart(self, gateway: int) -> None:
        """Start a killed gateway again and wait until it is ready; LabError if it is not."""
        for process in self.processes[gateway]:
            await asyncio.to_thread(process.process.wait)
        if self.passes_listeners:
            self.reserve_port(gateway)
        await self.wait_until_ready(gateway, self.launch(gateway))

    def upgrade(self, gateway: int) -> None:
        """Replace a gateway's process by a new one in the background."""
        task = self.background.spawn(self._replace_newest_process(gateway))
        self.upgrades.setdefault(gateway, set()).add(task)

    async def _replace_newest_process(self, gateway: int) -> None:
        old = self.processes[gateway][-1]
        new = self.launch(gateway)
        await self.wait_until_ready(gateway, new)
        await asyncio.sleep(UPGRADE_SETTLE_S)
        old.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.to_thread(old.process.wait, UPGRADE_TERMINATION_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            old.process.kill()

    def reload_all(self) -> None:
        """Have every gateway that is up reload its configuration."""
        for process in self._newest_processes().values():
            process.process.send_signal(signal.SIGHUP)

    # Observation

    def _newest_processes(self) -> dict[int, GatewayProcess]:
        return {
            gateway: processes[-1]
            for gateway, processes in self.processes.items()
            if self.world.gateway_fleet.alive[gateway]
        }

    def usage(self) -> Usage:
        """CPU seconds of all gateways so far, and the resident megabytes of the largest."""
        usages = [process.usage() for process in self._newest_processes().values()]
        return Usage(
            self.ended_cpu_s + sum(usage.cpu_s for usage in usages),
            max((usage.memory_mb for usage in usages), default=0.0),
        )

    def crashes(self) -> list[str]:
        """A line about each gateway that ended though nobody ended it."""
        return [
            f"gateway {gateway} {process.describe_exit()}"
            for gateway, process in self._newest_processes().items()
            if not process.is_running
        ]

    # The end

    def stop(self) -> None:
        """End every process, by SIGTERM and then SIGKILL, and wait for it; close the listening sockets."""
        children = [process.process for processes in self.processes.values() for process in processes]
        for child in children:
            if child.poll() is None:
                child.terminate()
        end_s = time.monotonic() + FINAL_TERMINATION_TIMEOUT_S
        for child in children:
            try:
                child.wait(max(0.0, end_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()
        for listener in self.listeners.values():
            listener.close()
