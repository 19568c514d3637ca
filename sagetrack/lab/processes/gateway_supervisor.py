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
UPGRADE_SETTLE_S = 0.3  # delay in an upgrade between the new process being ready and SIGTERM to the old one
UPGRADE_TERMINATION_TIMEOUT_S = 4.0  # in an upgrade, time from SIGTERM until the old process is killed
FINAL_TERMINATION_TIMEOUT_S = 1.0  # at the end of a run, time from SIGTERM until the gateways are killed

MakeSettings = Callable[[int, int, Path], GatewaySettings]  # arguments: gateway, process number, folder


class GatewaySupervisor:
    """Manages the processes of all gateways.

    `processes` lists the processes of each gateway, the newest last. `ports` maps each gateway to the port on
    which it listens for clients; all processes of a gateway use the same port.
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
        self.upgrades: dict[int, set[asyncio.Task[Any]]] = {}  # upgrade tasks by gateway
        self.launch_count = 0
        self.ended_cpu_s = 0.0  # CPU seconds of killed processes
        # In an upgrade both processes accept from the same listening socket, so the lab opens and keeps it.
        self.passes_listeners = any(fault.kind == "gateway-upgrade" for fault in world.scenario.faults)

    # Starting

    def reserve_port(self, gateway: int) -> None:
        """Choose a free port for a gateway, or bind the port that it had before.

        If the run has upgrades, the listening socket stays open for the processes to inherit. Raises LabError
        if the port is taken.
        """
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((f"127.10.{gateway + 1}.1", self.ports.get(gateway, 0)))
        except OSError as error:
            listener.close()
            raise LabError(
                f"cannot bind a listening address for gateway {gateway}: {error.strerror}"
            ) from None
        self.ports[gateway] = listener.getsockname()[1]
        if self.passes_listeners:
            listener.listen(BACKLOG)
            self.listeners[gateway] = listener
        else:
            listener.close()

    def launch(self, gateway: int) -> GatewayProcess:
        """Start a process of a gateway without waiting until it is ready."""
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
        """Wait until a process accepts clients. Raises LabError if it ends or is not ready in time."""
        await process.wait_until_ready(f"gateway {gateway}")

    async def start_all(self) -> None:
        """Start all gateways concurrently and wait until each is ready. Raises LabError if one is not."""
        processes = {gateway: self.launch(gateway) for gateway in self.world.gateway_fleet.alive}
        await asyncio.gather(
            *(self.wait_until_ready(gateway, process) for gateway, process in processes.items())
        )

    # Changes during a run

    def kill(self, gateway: int) -> None:
        """Kill all processes of a gateway and cancel its upgrade, if one is in progress.

        On a busy machine the upgrade's new process may not be ready yet. Without the cancellation, its death
        would be reported as a failure.
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
        """Start a killed gateway again and wait until it is ready. Raises LabError if it is not."""
        for process in self.processes[gateway]:
            await asyncio.to_thread(process.process.wait)
        if self.passes_listeners:
            self.reserve_port(gateway)
        await self.wait_until_ready(gateway, self.launch(gateway))

    def upgrade(self, gateway: int) -> None:
        """Replace a gateway's process with a new one in the background."""
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
        """Make every running gateway reload its configuration."""
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
        """Return the CPU seconds of all gateways so far and the resident megabytes of the largest one."""
        usages = [process.usage() for process in self._newest_processes().values()]
        return Usage(
            self.ended_cpu_s + sum(usage.cpu_s for usage in usages),
            max((usage.memory_mb for usage in usages), default=0.0),
        )

    def crashes(self) -> list[str]:
        """Return one line for each gateway that ended without being killed."""
        return [
            f"gateway {gateway} {process.describe_exit()}"
            for gateway, process in self._newest_processes().items()
            if not process.is_running
        ]

    # Shutdown

    def stop(self) -> None:
        """Close the listening sockets, and end every process by SIGTERM or, after a timeout, SIGKILL."""
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
