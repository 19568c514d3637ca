"""The simulated network: delay and loss between clients, gateways and servers."""

from __future__ import annotations

import random
from collections.abc import Mapping
from functools import partial
from typing import Protocol

from sagetrack.lab.model.client_requests import ClientAttempt
from sagetrack.lab.model.world import World
from sagetrack.lab.virtual.clock import SimClock
from sagetrack.policy.actions import SendToPeers
from sagetrack.policy.events import Event, PeerMessage


class PeerEndpoint(Protocol):
    """A gateway as the receiver of peer messages."""

    def handle(self, event: Event) -> None:
        """Pass an event to the decision module."""
        ...

    def receive_datagram(self, data: bytes) -> None:
        """Receive a datagram of the peer protocol."""
        ...


class VirtualNetwork:
    """Delivers messages and owns the random stream for delay and loss."""

    def __init__(self, world: World, clock: SimClock, gateways: Mapping[int, PeerEndpoint]) -> None:
        """Create the network; `gateways` maps the numbers of the running gateways to receivers."""
        self.world = world
        self.clock = clock
        self._gateways = gateways
        self._random = random.Random(f"{world.seed}/net")

    def client_delay_us(self) -> int:
        """Draw the one-way delay between a client and a gateway."""
        network = self.world.scenario.network
        return int(network.client_ms * 1000 * self._draw_jitter())

    def server_delay_us(self, gateway: int, server: int) -> int:
        """Draw the one-way delay between a gateway and a server; an unlisted server counts as same-zone."""
        network = self.world.scenario.network
        entry = self.world.registry.entries.get(server)
        is_same_zone = entry is None or entry.zone == gateway % self.world.context.zone_count
        base_ms = network.same_zone_ms if is_same_zone else network.cross_zone_ms
        return int(base_ms * 1000 * self._draw_jitter())

    def respond(self, attempt: ClientAttempt, verdict: str, retry_after_us: int) -> None:
        """Send the response to an attempt to its client."""
        due_us = self.clock.now_us() + self.client_delay_us()
        self.clock.call_at(due_us, lambda: self.world.clients.on_response(attempt, verdict, retry_after_us))

    def send_peer_message(self, sender: int, action: SendToPeers) -> None:
        """Send a message of the decision module to one gateway, or to all others if `peer` is negative."""
        for target in self._gateways if action.peer < 0 else [action.peer]:
            if target == sender or self._is_lost():
                continue
            message = PeerMessage(sender, action.payload)
            self.clock.call_at(self._peer_arrival_us(), partial(self._deliver_message, target, message))

    def send_datagram(self, sender: int, target: int, data: bytes) -> None:
        """Send a datagram of the peer protocol, unless it is lost or a partition separates the gateways."""
        if self._is_lost() or not self.world.network.can_peers_reach(sender, target):
            return
        self.clock.call_at(self._peer_arrival_us(), partial(self._deliver_datagram, target, data))

    def _draw_jitter(self) -> float:
        return 1.0 + self.world.scenario.network.jitter * self._random.random()

    def _is_lost(self) -> bool:
        return self._random.random() < self.world.scenario.network.peer_loss

    def _peer_arrival_us(self) -> int:
        delay_ms = self._random.uniform(*self.world.scenario.network.peer_ms)
        return self.clock.now_us() + int(delay_ms * 1000)

    def _deliver_message(self, target: int, message: PeerMessage) -> None:
        if target in self._gateways:
            self._gateways[target].handle(message)

    def _deliver_datagram(self, target: int, data: bytes) -> None:
        if target in self._gateways:
            self._gateways[target].receive_datagram(data)
