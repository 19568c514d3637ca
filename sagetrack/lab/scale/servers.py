"""Probes of the connections and handshakes that servers receive from the gateways."""

from __future__ import annotations

import heapq
import random
from typing import NamedTuple

from sagetrack.lab.scale.gateway import FEW_TENANTS
from sagetrack.lab.scale.meter import Meter, Values
from sagetrack.lab.scale.probe import Probe
from sagetrack.lab.scale.simulated_gateway import START_US, SimulatedGateway
from sagetrack.lab.scale.target_fleet import TargetFleet

OBSERVED_S = 30.0  # simulated time
IDLE_TIMEOUT_S = 10.0  # idle time after which a connection is closed


class IdleCheck(NamedTuple):
    """A check at `due_s` that closes a connection if it has been idle for the timeout."""

    due_s: float
    gateway: int
    server: int


class ConnectionTable:
    """The open connections from all gateways to the servers of a service, at most one per pair."""

    def __init__(self, servers: int) -> None:
        self.open_by_server = [0] * servers
        self.max_open = 0  # highest number of connections at one server at any time
        self.handshakes = 0
        self.attempts = 0
        self._used_s: dict[tuple[int, int], float] = {}  # time of last use by (gateway, server)
        self._idle_checks: list[IdleCheck] = []  # a heap

    def close_idle(self, now_s: float) -> None:
        """Close the connections that have been idle for the timeout."""
        while self._idle_checks and self._idle_checks[0].due_s <= now_s:
            _, gateway, server = heapq.heappop(self._idle_checks)
            used_s = self._used_s.get((gateway, server))
            if used_s is not None and used_s + IDLE_TIMEOUT_S <= now_s:
                del self._used_s[gateway, server]
                self.open_by_server[server] -= 1

    def use(self, gateway: int, server: int, now_s: float) -> None:
        """Send an attempt over a gateway's connection to a server; open the connection if there is none."""
        self.attempts += 1
        if (gateway, server) not in self._used_s:
            self.handshakes += 1
            self.open_by_server[server] += 1
            self.max_open = max(self.max_open, self.open_by_server[server])
        self._used_s[gateway, server] = now_s
        heapq.heappush(self._idle_checks, IdleCheck(now_s + IDLE_TIMEOUT_S, gateway, server))


def connections_by_gateways(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Measure the connections to a mean-sized service; Poisson arrivals go to random gateways."""
    rng = random.Random(f"{fleet.seed}/connections")
    servers = fleet.sizes.servers_per_service
    settings = [fleet.settings(FEW_TENANTS, size, number) for number in range(size)]
    listed = fleet.listed_servers(servers)
    gateways = [SimulatedGateway(settings[number], listed, number) for number in range(size)]
    rate_per_s = fleet.sizes.requests_per_s / fleet.sizes.services
    connections = ConnectionTable(servers)
    now_s = 0.0
    while now_s < OBSERVED_S:
        now_s += rng.expovariate(rate_per_s)
        number = rng.randrange(size)
        gateway = gateways[number]
        gateway.now_us = max(gateway.now_us, int(START_US + now_s * 1e6))
        connections.close_idle(now_s)
        for server in gateway.send_request():
            connections.use(number, server, now_s)
    return {
        "open_each": sum(connections.open_by_server) / servers,
        "open_most": float(connections.max_open),
        "calls": float(connections.attempts),
        "handshakes_per_call": connections.handshakes / max(1, connections.attempts),
        "messages_per_s": connections.handshakes / OBSERVED_S / servers,
    }


PROBES = (
    Probe(
        name="connections-by-gateways",
        role="servers",
        event="connections held to one server of the mean service",
        axis="gateways",
        fixed="one service of the mean size at its part of the load, 10 s idle",
        mechanism="sagetrack/http1/connection_pool.py: ConnectionPools; "
        "sagetrack/policy/selection.py: subset",
        run=connections_by_gateways,
        smallest=3,
        simulated=("open_each", "open_most", "handshakes_per_call", "messages_per_s"),
    ),
)
