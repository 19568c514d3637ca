"""One gateway of the soak: its listening socket, its processes and its system call faults."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import time
from asyncio.subprocess import Process
from collections.abc import Iterator
from pathlib import Path

from sagetrack.lab.processes.resource_usage import free_port
from sagetrack.lab.soak.discovery import DiscoveryAgent
from sagetrack.lab.soak.gateway_configuration import (
    FrontPorts,
    GatewayLimits,
    GatewayNetwork,
    gateway_configuration,
    operator_configuration,
)
from sagetrack.lab.soak.process_supervisor import ProcessSupervisor
from sagetrack.lab.soak.shim import FaultControl

READY_TIMEOUT_S = 15.0
READY_POLL_S = 0.02
ADMIN_TIMEOUT_S = 1.0
ADMIN_RESPONSE_BYTES = 1 << 20
BACKLOG = 512
FRONT_PORTS = 3  # of the gRPC front, the DNS front and a nameserver
STATUS_COMMAND = b"status\n"
STATS_COMMAND = b"stats\n"


class FrontReservation:
    """Keeps the ports of a gateway's fronts for its processes, which listen with `SO_REUSEPORT`."""

    def __init__(self, has_fronts: bool) -> None:
        self._sockets = [self._reserve_port() for _ in range(FRONT_PORTS if has_fronts else 0)]
        ports = [reserved.getsockname()[1] for reserved in self._sockets]
        self.ports = FrontPorts(*ports) if ports else None

    @staticmethod
    def _reserve_port() -> socket.socket:
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        reserved.bind(("127.0.0.1", 0))
        return reserved

    def close(self) -> None:
        """Release the ports."""
        for reserved in self._sockets:
            reserved.close()


class GatewayProcess:
    """One process of a gateway, with its own admin address."""

    def __init__(self, process: Process, admin_port: int) -> None:
        self.end_expected = False  # True once the soak has sent SIGTERM or SIGKILL
        self._process = process
        self._admin_port = admin_port

    @property
    def exit_status(self) -> int | None:
        """The exit status, or None while the process runs."""
        return self._process.returncode

    async def admin_response(self, command: bytes) -> str:
        """Send a command to the admin address and return the response; empty if there is none."""
        try:
            async with asyncio.timeout(ADMIN_TIMEOUT_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", self._admin_port)
                writer.write(command)
                response = await reader.read(ADMIN_RESPONSE_BYTES)
                writer.close()
        except OSError:
            return ""
        return response.decode()

    async def stats(self) -> list[str]:
        """Return the lines of the process's metrics; empty if it does not respond."""
        return (await self.admin_response(STATS_COMMAND)).splitlines()

    async def wait_until_ready(self) -> bool:
        """Wait until the process is ready. Returns False if it ends or exceeds `READY_TIMEOUT_S`."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        while self.exit_status is None and time.monotonic() < end_s:
            if (await self.admin_response(STATUS_COMMAND)).startswith("SUCCESS"):
                return True
            await asyncio.sleep(READY_POLL_S)
        return False

    async def wait(self) -> None:
        """Wait until the process has ended."""
        await self._process.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal. Does nothing if the process has ended."""
        if self.exit_status is not None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.end_expected = True
        self._process.send_signal(number)

    def memory_bytes(self) -> int:
        """Return the resident memory; 0 if the process has ended. Raises OSError if it ends meanwhile."""
        if self.exit_status is not None:
            return 0
        pages = int(Path(f"/proc/{self._process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    def open_descriptors(self) -> int:
        """Return the number of the process's open descriptors; 0 if it has ended."""
        if self.exit_status is not None:
            return 0
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))


class Gateway:
    """One gateway. Its processes share a listening socket, a configuration and a folder."""

    def __init__(
        self,
        number: int,
        gateway_count: int,
        folder: Path,
        agent: DiscoveryAgent,
        supervisor: ProcessSupervisor,
        library: Path | None,
        limits: GatewayLimits,
        has_fronts: bool,
    ) -> None:
        """Open the listening socket; no process is started yet.

        Args:
            number: The gateway's number, from 0.
            gateway_count: The number of gateways in the run.
            folder: The folder in which the gateway's own folder is created.
            agent: The gateway's discovery agent, which is already listening.
            supervisor: Starts and ends the processes.
            library: The shim library that makes system calls fail, or None.
            limits: What the platform allows the gateway.
            has_fronts: True if the gateway has a gRPC and a DNS front.
        """
        self._front_reservation = FrontReservation(has_fronts)
        self.limits = limits
        self.number = number
        self.agent = agent
        self.processes: list[GatewayProcess] = []  # the newest last
        self._gateway_count = gateway_count
        self._supervisor = supervisor
        self._library = library
        self._folder = folder / f"g{number}"
        self._temporary_folder = self._folder / "tmp"
        self._temporary_folder.mkdir(parents=True)
        self.system_calls = FaultControl(self._folder / "control", number)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self.port: int = self._listener.getsockname()[1]
        self.peer_address = f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"
        self._network = GatewayNetwork(f"127.0.0.1:{self.port}", self.peer_address)
        self._operator_file.write_text(operator_configuration(str(self._folder / "store"), self.fronts))

    @property
    def _configuration_file(self) -> Path:
        return self._folder / "config.json"

    @property
    def _operator_file(self) -> Path:
        return self._folder / "operator.toml"

    @property
    def fronts(self) -> FrontPorts | None:
        """The ports of the fronts beside HTTP/1.1; None if the gateway has none."""
        return self._front_reservation.ports

    @property
    def newest_process(self) -> GatewayProcess:
        """The process that was started last."""
        return self.processes[-1]

    def memory_bytes(self) -> Iterator[int]:
        """Yield the memory of each process and the size of each file in the temporary folder."""
        for process in self.processes:
            yield process.memory_bytes()
        for path in self._temporary_folder.iterdir():
            yield path.stat().st_size

    def set_peers(self, addresses: list[str]) -> None:
        """Set the peer addresses, in the order of gateway numbers, for processes started from now on."""
        self._network.peers = addresses

    async def start_process(self) -> GatewayProcess:
        """Start another process without waiting until it is ready."""
        self.write_configuration(self.configuration())
        admin_port = free_port()
        listener_fd = self._listener.fileno()
        environment = {
            "LB_CONFIG": str(self._configuration_file),
            "LB_ACCEPT_FD": str(listener_fd),
            "LB_ADMIN": f"127.0.0.1:{admin_port}",
            "LB_OPERATOR": str(self._operator_file),
            "TMPDIR": str(self._temporary_folder),
        }
        if self._library is not None:
            environment |= self.system_calls.environment(self._library)
        log = self._folder / "log"
        child = await self._supervisor.start_gateway(environment, listener_fd, log, self.limits.sockets)
        process = GatewayProcess(child, admin_port)
        self.processes.append(process)
        return process

    def configuration(self) -> bytes:
        """Build the configuration file with the current discovery address and endpoint list."""
        agent = self.agent
        configuration = gateway_configuration(
            self.number, self._gateway_count, self._network, agent.address, agent.snapshot(), self.limits
        )
        return json.dumps(configuration).encode()

    def write_configuration(self, data: bytes) -> None:
        """Write the configuration file, which processes read at their start and on SIGHUP."""
        self._configuration_file.write_bytes(data)

    def close(self) -> None:
        """Close the lab's descriptor of the listening socket; running processes have their own."""
        self._listener.close()
        self._front_reservation.close()
