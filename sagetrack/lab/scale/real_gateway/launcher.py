"""Starts a gateway's processes on a core of their own, and ends them."""

from __future__ import annotations

import os
import signal
import socket
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any

from sagetrack.lab.processes.gateway_process import GatewayProcess
from sagetrack.lab.processes.resource_usage import free_port
from sagetrack.lab.scale.target_fleet import TargetFleet

MEMORY_LIMIT_MB = 512
SOCKET_LIMIT = 4096


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
