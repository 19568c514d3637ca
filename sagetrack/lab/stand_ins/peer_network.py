"""Datagrams between gateways, passed on with the network's delays, losses and partitions."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

from sagetrack.lab.model.world import World

DATAGRAM_BYTES_MAX = 256  # a longer one breaks the platform's rule, and is recorded


class PeerNetwork:
    """One relay address for each pair of gateways, so that the sender of each datagram is known.

    A gateway is configured with the addresses of its own relays in place of its peers'.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.relays: dict[tuple[int, int], PeerRelay] = {}  # by sender and receiver
        self.listen_addresses: dict[int, tuple[str, int]] = {}  # of the gateways themselves

    async def open(self) -> None:
        """Find each gateway an address to listen at, and bind the relays."""
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
        """The "host:port" at which a gateway is to listen for datagrams."""
        host, port = self.listen_addresses[gateway]
        return f"{host}:{port}"

    def peer_addresses(self, gateway: int) -> list[str]:
        """The "host:port" of all gateways, as this one is to know them."""
        return [self.relays[gateway, other].address for other in self.world.gateway_fleet.alive]

    def close(self) -> None:
        """Close every relay."""
        for relay in self.relays.values():
            relay.close()


class PeerRelay(asyncio.DatagramProtocol):
    """The address that stands for one gateway towards another: what comes is passed on, late or never."""

    def __init__(self, network: PeerNetwork, source: int, target: int) -> None:
        self.network = network
        self.source = source
        self.target = target
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    @property
    def address(self) -> str:
        """The relay's own "host:port"."""
        assert self.transport is not None
        return "{}:{}".format(*self.transport.get_extra_info("sockname"))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on after a drawn delay, unless it is lost or a partition is in force."""
        world = self.network.world
        settings = world.scenario.network
        if len(data) > DATAGRAM_BYTES_MAX:
            world.records.add("trouble", world.clock.now_us(), "long-datagram", "begins", len(data))
        is_lost = world.context.random.peers.random() < settings.peer_loss
        if is_lost or not world.network.can_peers_reach(self.source, self.target):
            return
        due_us = world.clock.now_us() + int(world.context.random.peers.uniform(*settings.peer_ms) * 1000)
        # The target knows the sender by the address of the relay in the other direction.
        reverse = self.network.relays[self.target, self.source]
        world.clock.call_at(due_us, lambda: reverse.send_to_owner(data))

    def send_to_owner(self, data: bytes) -> None:
        """Send a datagram to the gateway that this relay belongs to."""
        if self.transport is not None:
            self.transport.sendto(data, self.network.listen_addresses[self.source])

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there now: the datagram is lost."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the transport."""
        self.transport = None

    def close(self) -> None:
        """Close the relay's socket."""
        if self.transport is not None:
            self.transport.close()
