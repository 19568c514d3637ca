"""The processes of one run: servers, the fault proxy, gateways with their discovery agents, and clients."""

from __future__ import annotations

import asyncio
import json
import random
from asyncio.subprocess import Process
from dataclasses import dataclass
from pathlib import Path

import msgspec

from sagetrack.lab.processes.resource_usage import free_port
from sagetrack.lab.soak.discovery import DiscoveryAgent, EndpointList
from sagetrack.lab.soak.fault_schedule import WEIGHTS, FaultKind
from sagetrack.lab.soak.gateway import Gateway
from sagetrack.lab.soak.gateway_configuration import GatewayLimits
from sagetrack.lab.soak.process_supervisor import ProcessSupervisor, send_line
from sagetrack.lab.soak.proxy import FaultCommand, Route
from sagetrack.lab.soak.server import Behaviour

FRONTS_MB = 40  # what two processes with a gRPC and a DNS front need more at rest
DEADLINES_S = (1.0, 2.5)  # choices of the longest deadline of a run's requests


@dataclass(slots=True)
class SoakSize:
    """The size of a run. Each client process has `client.CLIENTS` clients."""

    gateways: int = 4
    servers: int = 6
    client_processes: int = 3
    seconds: float = 12.0  # duration of the fault schedule
    gateway_module: str = "sagetrack"  # the module that a gateway process runs
    memory_mb: int = 96  # memory limit of a gateway
    kinds: tuple[FaultKind, ...] = tuple(WEIGHTS)  # of the faults
    sockets: int = 512  # descriptors of a gateway
    # Requests in flight on one connection; with fewer than a batch of 8 no client pipelines steadily.
    max_pipelined: int = 16

    def has_fronts(self, seed: int) -> bool:
        """Return whether the gateways of this seed have a gRPC and a DNS front: those of even seeds."""
        return seed % 2 == 0

    def limit_mb(self, seed: int) -> int:
        """Return the memory limit of a gateway, with what its fronts need more at rest."""
        return self.memory_mb + (FRONTS_MB if self.has_fronts(seed) else 0)


class ClientsEndedError(RuntimeError):
    """A client process ended before the run did. Its log in the run's folder shows the reason."""


class Fleet:
    """Starts and ends all processes of one run, which write their events and logs to the run's folder."""

    def __init__(self, seed: int, size: SoakSize, folder: Path, library: Path | None) -> None:
        self.gateways: list[Gateway] = []
        self.endpoint_list = EndpointList.of(size.servers)
        self._seed = seed
        self._size = size
        self._folder = folder
        self._library = library  # shim library that makes system calls fail; None if there is none
        self._supervisor = ProcessSupervisor(folder, size.gateway_module)
        self._server_ports = [free_port() for _ in range(size.servers)]
        self._servers: dict[int, Process] = {}
        self._proxy: Process | None = None
        self._clients: list[Process] = []

    async def start_upstream(self) -> None:
        """Start the servers, the fault proxy and discovery, and create the gateways without starting them."""
        await asyncio.gather(*(self.start_server(number) for number in range(self._size.servers)))
        addresses = await self._start_proxy()
        servers = self._size.servers
        deadline_s = random.Random(self._seed).choice(DEADLINES_S)
        for number in range(self._size.gateways):
            own_addresses = addresses[number * servers : (number + 1) * servers]
            agent = DiscoveryAgent(number, self.endpoint_list, dict(enumerate(own_addresses)))
            await agent.listen()
            self.gateways.append(
                Gateway(
                    number,
                    self._size.gateways,
                    self._folder,
                    agent,
                    self._supervisor,
                    self._library,
                    GatewayLimits(self._size.limit_mb(self._seed), self._size.sockets, deadline_s),
                    self._size.has_fronts(self._seed),
                )
            )
        peer_addresses = [gateway.peer_address for gateway in self.gateways]
        for gateway in self.gateways:
            gateway.set_peers(peer_addresses)

    async def start_server(self, number: int) -> None:
        """Start a server's process, or replace one that has ended."""
        self._servers[number] = await self._supervisor.start_module(
            "server",
            f"server-{number}",
            str(number),
            str(self._server_ports[number]),
            str(self._folder / f"server-{number}.events"),
            str(self._seed + number),
        )

    def kill_server(self, number: int) -> None:
        """Kill a server's process without waiting for its end."""
        self._servers[number].kill()

    async def wait_for_server(self, number: int) -> None:
        """Wait until a server's process has ended."""
        await self._servers[number].wait()

    def server_process(self, number: int) -> Process:
        """Return a server's current process. A restart creates a new one."""
        return self._servers[number]

    async def start_clients(self) -> None:
        """Start the client processes, which send requests immediately."""
        port_file = self._folder / "gateway-ports.json"
        port_file.write_bytes(msgspec.json.encode([gateway.port for gateway in self.gateways]))
        for number in range(self._size.client_processes):
            client = await self._supervisor.start_module(
                "client",
                f"client-{number}",
                str(number),
                str(self._seed),
                str(self._folder / f"client-{number}.events"),
                str(port_file),
                str(self._size.max_pipelined),
            )
            self._clients.append(client)

    async def end_clients(self) -> None:
        """End the client processes and wait for them.

        Raises:
            ClientsEndedError: A client process had already ended, or has failed.
        """
        ended_early = [client for client in self._clients if client.returncode is not None]
        for client in self._clients:
            assert client.stdin is not None
            client.stdin.close()
        exit_codes = await asyncio.gather(*(client.wait() for client in self._clients))
        if ended_early or any(exit_codes):
            raise ClientsEndedError(
                f"a client process of seed {self._seed} ended early, see its log in {self._folder}"
            )

    def send_fault_command(self, command: FaultCommand) -> None:
        """Tell the proxy to apply a fault to a route."""
        assert self._proxy is not None
        send_line(self._proxy, msgspec.json.encode(command))

    def end(self) -> None:
        """Kill all processes that are still running, and close the gateways' sockets."""
        self._supervisor.kill_all()
        for gateway in self.gateways:
            gateway.close()

    async def _start_proxy(self) -> list[str]:
        """Start the fault proxy.

        Returns:
            The address of each route: from the first gateway to all servers, then from the next gateway.
        """
        routes = [
            Route(gateway, server, self._server_ports[server])
            for gateway in range(self._size.gateways)
            for server in range(self._size.servers)
        ]
        plan = self._folder / "routes.json"
        plan.write_bytes(msgspec.json.encode(routes))
        events = self._folder / "proxy.events"
        self._proxy = await self._supervisor.start_module("proxy", "proxy", str(plan), str(events))
        assert self._proxy.stdout is not None
        addresses: list[str] = json.loads(await self._proxy.stdout.readline())
        return addresses


def set_behaviour(server: Process, behaviour: Behaviour) -> None:
    """Set the behaviour of a server's process. Does nothing if the process has ended."""
    send_line(server, behaviour.value.encode())
