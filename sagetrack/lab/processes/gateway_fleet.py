"""The gateways of a real-time run: gateway processes and the stand-ins that they reach over loopback."""

from __future__ import annotations

import random
from pathlib import Path

from sagetrack.lab.model.client_requests import ClientAttempt
from sagetrack.lab.model.endpoint_entry import EndpointEntry
from sagetrack.lab.model.scenario import ScheduledFault
from sagetrack.lab.model.server import Server
from sagetrack.lab.model.world import World
from sagetrack.lab.processes.background_tasks import BackgroundTasks
from sagetrack.lab.processes.client_traffic import ClientTraffic
from sagetrack.lab.processes.gateway_settings import GatewaySettings, gateway_config, operator_settings
from sagetrack.lab.processes.gateway_supervisor import GatewaySupervisor
from sagetrack.lab.processes.hostile_clients import HostileClients
from sagetrack.lab.stand_ins.address_server import AddressServer
from sagetrack.lab.stand_ins.discovery_agent import DiscoveryAgent
from sagetrack.lab.stand_ins.dns_clients import DnsTraffic
from sagetrack.lab.stand_ins.grpc_address_server import GrpcAddressServerConnection
from sagetrack.lab.stand_ins.http1_address_server import Http1ServerConnection
from sagetrack.lab.stand_ins.peer_network import PeerNetwork


class GatewayFleet:
    """Real-time driver of the model's gateway fleet.

    `folder` holds the files of the processes. `base_ms` is the Unix time of the run's start in milliseconds.
    Must be created while an event loop is running. `stop` ends every process and closes every socket.
    """

    def __init__(self, world: World, folder: Path, base_ms: int) -> None:
        self.world = world
        self.base_ms = base_ms
        self.rng = random.Random(f"{world.seed}/net")
        self.background = BackgroundTasks()
        self.supervisor = GatewaySupervisor(world, folder, self.background, self._settings)
        self.clients = ClientTraffic(world, self.supervisor.ports, self.rng, self.background)
        self.hostile_clients = HostileClients(self.supervisor.ports, self.rng, self.background)
        self.servers: dict[int, AddressServer] = {}
        self.agents: dict[int, DiscoveryAgent] = {}  # discovery agents by gateway
        self.peers = PeerNetwork(world) if world.scenario.peers.use else None
        self.dns = DnsTraffic(world) if world.scenario.dns.rate else None
        world.server_fleet.observer.on_started = self._add_server
        world.server_fleet.observer.on_ended = self._remove_server

    # Upstream servers

    def _add_server(self, server: Server) -> None:
        speaks_grpc = server.number in self.world.server_fleet.grpc_servers
        connection_factory = GrpcAddressServerConnection if speaks_grpc else Http1ServerConnection
        self.servers[server.number] = AddressServer(
            self.world, server, self.clients.attempts, self._network_delay_us, connection_factory
        )

    def _remove_server(self, number: int) -> None:
        server = self.servers.get(number)
        if server is None:
            return
        if number in self.world.server_fleet.unresponsive:
            server.silence()
        else:
            server.close()

    def _server_address(self, gateway: int, number: int) -> str:
        """The "host:port" at which a gateway reaches a server.

        For a server that never existed, it is an address without a listener.
        """
        server = self.servers.get(number)
        return server.listeners[gateway].address if server is not None else f"127.20.{gateway + 1}.254:9"

    def _network_delay_us(self, gateway: int, number: int) -> int:
        """Return a one-way delay between a gateway and a server, with the scenario's random jitter."""
        network = self.world.scenario.network
        entry = self.world.registry.entries.get(number)
        zone_count = len(self.world.scenario.fleet.zones)
        is_same_zone = entry is None or entry.zone == gateway % zone_count
        base_ms = network.same_zone_ms if is_same_zone else network.cross_zone_ms
        return int(base_ms * 1000 * (1.0 + network.jitter * self.rng.random()))

    # Gateways

    def _settings(self, gateway: int, process_number: int, folder: Path) -> GatewaySettings:
        port = self.supervisor.ports[gateway]
        agent = self.agents[gateway]
        return GatewaySettings(
            gateway_config(self.world, gateway, port, process_number, agent, self.peers),
            operator_settings(self.world.scenario, gateway, folder, self.dns),
        )

    def start(self) -> None:
        """Open the discovery listeners and reserve a port for each gateway.

        `start_all` starts the processes.
        """
        for gateway in self.world.gateway_fleet.alive:
            agent = DiscoveryAgent(self.world, gateway, self._server_address, self.base_ms)
            for entry in self.world.registry.all_entries():
                agent.entries[entry.server] = EndpointEntry(entry.server, entry.zone, entry.rack)
            self.agents[gateway] = agent
            self.supervisor.reserve_port(gateway)

    async def start_all(self) -> None:
        """Start the processes and wait until all are ready. Raises LabError if one is not."""
        if self.peers is not None:
            await self.peers.open()
        if self.dns is not None:
            await self.dns.prepare()
        await self.supervisor.start_all()

    def kill(self, gateway: int) -> None:
        """Kill a gateway's processes."""
        self.supervisor.kill(gateway)

    def restart(self, gateway: int) -> None:
        """Start a killed gateway again in the background.

        It starts with the endpoint list that it last had, and then gets the current one from discovery.
        """
        self.background.spawn(self._restart(gateway))

    async def _restart(self, gateway: int) -> None:
        await self.supervisor.restart(gateway)
        self.world.on_gateway_ready(gateway)
        self.send_endpoints(gateway, self.world.registry.all_entries(), True)

    def upgrade(self, gateway: int) -> None:
        """Replace a gateway's process with a new one in the background."""
        self.supervisor.upgrade(gateway)

    def send_endpoints(self, gateway: int, entries: list[EndpointEntry], is_complete: bool) -> None:
        """Change the endpoint list that discovery serves to a gateway.

        With `is_complete` the entries replace the list, otherwise they are changes to it.
        """
        self.agents[gateway].apply(entries, is_complete)

    def set_base_time(self, base_ms: int) -> None:
        """Set the Unix time of the run's start, in milliseconds."""
        for agent in self.agents.values():
            agent.base_ms = base_ms

    # Clients

    def send(self, attempt: ClientAttempt) -> None:
        """Send a client's attempt."""
        self.clients.send(attempt)

    def disconnect(self, attempt: ClientAttempt) -> None:
        """Stop waiting for a client's attempt."""
        self.clients.abandon(attempt)

    @property
    def open_dns_queries(self) -> int:
        """The number of DNS queries that have no outcome yet."""
        return self.dns.open_queries if self.dns is not None else 0

    # Faults that need real sockets

    def set_fault(self, fault: ScheduledFault, is_on: bool) -> None:
        """Begin or end a fault. Kinds that the model alone simulates are ignored."""
        match fault.kind:
            case "reload" if is_on:
                self.supervisor.reload_all()
            case "goaway" if is_on:
                self._send_goaway()
            case "slow-dns" if self.dns is not None:
                self.dns.slow_upstreams(fault, is_on)
            case "discovery-down" if not is_on:
                for agent in self.agents.values():
                    agent.respond_to_pending_polls()
            case "crowd" | "rude" as kind if is_on:
                self.hostile_clients.start(kind, int(fault.size))
            case "crowd" | "rude" as kind:
                self.hostile_clients.stop(kind)
            case _:
                pass

    def _send_goaway(self) -> None:
        for server in self.servers.values():
            for connection in list(server.connections):
                if isinstance(connection, GrpcAddressServerConnection):
                    connection.goaway()

    # Shutdown

    def stop(self) -> None:
        """End every process and close every socket."""
        self.clients.stop()
        self.background.cancel_all()
        self.supervisor.stop()
        for server in self.servers.values():
            server.close()
        for agent in self.agents.values():
            agent.listener.close()
        if self.dns is not None:
            self.dns.close()
        if self.peers is not None:
            self.peers.close()
