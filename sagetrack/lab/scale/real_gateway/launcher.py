"""Starts and ends gateway processes on a dedicated core."""

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
    """A gateway process and the port on which it serves clients."""

    port: int
    process: GatewayProcess

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.process.pid

    def kill(self) -> None:
        """Kill the process, and wait until it has ended."""
        if self.process.process.poll() is None:
            os.kill(self.pid, signal.SIGKILL)
        self.process.process.wait()


class GatewayLauncher:
    """Starts gateway processes; as a context manager it kills the remaining ones on exit."""

    def __init__(self, fleet: TargetFleet, folder: Path, discovery: str, core: int) -> None:
        self.fleet = fleet
        self.folder = folder
        self.discovery = discovery  # address of the discovery service
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
        """Start a process with an initial endpoint list in the JSON form of discovery; empty for none."""
        incarnation = len(self.started) + 1
        # Without an inherited listening socket, the process would not write its list for the next process.
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            config = self._config(incarnation, port, known)
            process = GatewayProcess(self.folder, config, listener, incarnation)
        gateway = RunningGateway(port, process)
        self.started.append(gateway)
        os.sched_setaffinity(gateway.pid, {self.core})
        return gateway

    def _config(self, incarnation: int, port: int, known: dict[str, object]) -> dict[str, Any]:
        """Return the content of the configuration file."""
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
