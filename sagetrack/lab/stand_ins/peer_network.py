"""Relays the datagrams between gateways, with simulated delay, loss and partitions."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

from sagetrack.lab.model.world import World

MAX_DATAGRAM_BYTES = 256  # limit set by the platform; longer datagrams are recorded


class PeerNetwork:
    """One relay for each ordered pair of gateways, so that the sender of each datagram is known.

    Gateways are configured with the addresses of their relays in place of their peers' addresses.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.relays: dict[tuple[int, int], PeerRelay] = {}  # by (sender, receiver)
        self.listen_addresses: dict[int, tuple[str, int]] = {}  # (host, port) by gateway

    async def open(self) -> None:
        """Choose a listening address for each gateway and bind the relays."""
        loop = asyncio.get_running_loop()
        gateways = list(self.world.gateway_fleet.alive)
        for source in gateways:
            host = f"127.10.{source + 1}.1"
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                probe.bind((host, 0))
                self.listen_addresses[source] = (host, probe.getsockname()[1])
            for target in gateways:
                relay = PeerRelay(self, source, target)
                self.relays[source, target] = relay
                relay_address = (f"127.40.{source + 1}.{target + 1}", 0)
                await loop.create_datagram_endpoint(lambda relay=relay: relay, relay_address)  # type: ignore[misc]

    def listen_address(self, gateway: int) -> str:
        """Return the "host:port" on which a gateway must listen for datagrams."""
        host, port = self.listen_addresses[gateway]
        return f"{host}:{port}"

    def peer_addresses(self, gateway: int) -> list[str]:
        """Return the "host:port" of each of a gateway's relays, as its configured peer addresses."""
        return [self.relays[gateway, other].address for other in self.world.gateway_fleet.alive]

    def close(self) -> None:
        """Close every relay."""
        for relay in self.relays.values():
            relay.close()


class PeerRelay(asyncio.DatagramProtocol):
    """Forwards datagrams from gateway `source` to gateway `target` with delay and loss.

    It is the address at which `source` reaches `target`.
    """

    def __init__(self, network: PeerNetwork, source: int, target: int) -> None:
        self.network = network
        self.source = source
        self.target = target
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    @property
    def address(self) -> str:
        """The relay's own "host:port"."""
        assert self.transport is not None
        return "{}:{}".format(*self.transport.get_extra_info("sockname"))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram after a random delay, unless it is lost or a partition blocks it."""
        world = self.network.world
        settings = world.scenario.network
        if len(data) > MAX_DATAGRAM_BYTES:
            world.records.add("trouble", world.clock.now_us(), "long-datagram", "begins", len(data))
        is_lost = world.context.random.peers.random() < settings.peer_loss
        if is_lost or not world.network.can_peers_reach(self.source, self.target):
            return
        due_us = world.clock.now_us() + int(world.context.random.peers.uniform(*settings.peer_ms) * 1000)
        # The target knows the sender by the address of the reverse relay, so that relay sends the datagram.
        reverse = self.network.relays[self.target, self.source]
        world.clock.call_at(due_us, lambda: reverse.send_to_source(data))

    def send_to_source(self, data: bytes) -> None:
        """Send a datagram to this relay's source gateway."""
        if self.transport is not None:
            self.transport.sendto(data, self.network.listen_addresses[self.source])

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: the gateway is not listening, so the datagram is lost."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Clear the transport."""
        self.transport = None

    def close(self) -> None:
        """Close the relay's socket."""
        if self.transport is not None:
            self.transport.close()
