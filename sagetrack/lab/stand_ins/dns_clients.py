"""DNS traffic of a run: stand-in upstream nameservers, and clients that query gateways in an open loop."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections.abc import Callable
from functools import partial
from typing import Any, cast

from sagetrack.lab.model.scenario import Scenario, ScheduledFault
from sagetrack.lab.model.world import World
from sagetrack.lab.stand_ins.dns_server import Nameserver, NameserverBehaviour

SOCKETS_PER_GATEWAY = 4
HEADER_BYTES = 12
RECURSION_DESIRED = 0x0100
QUERY_ID_COUNT = 65_536
ANSWERED_RCODES = (0, 3)  # NOERROR and NXDOMAIN
TIMEOUT_SLACK_S = 0.2  # a query counts as unanswered this long after its deadline


def wire_query(name: str, query_id: int) -> bytes:
    """Encode an A query with the recursion-desired flag and without EDNS."""
    labels = b"".join(bytes([len(part)]) + part.encode() for part in name.strip(".").split("."))
    header = struct.pack("!HHHHHH", query_id, RECURSION_DESIRED, 1, 0, 0, 0)
    return header + labels + b"\0\0\1\0\1"


class DnsClientSocket(asyncio.DatagramProtocol):
    """One client socket.

    `on_response_by_id` maps the IDs of open queries to callbacks that receive the response's RCODE.
    """

    def __init__(self) -> None:
        self.transport: asyncio.DatagramTransport | None = None
        self.on_response_by_id: dict[int, Callable[[int], None]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a response's RCODE to the query with its ID; drop responses without an open query."""
        if len(data) >= HEADER_BYTES:
            on_response = self.on_response_by_id.pop(int.from_bytes(data[:2]), None)
            if on_response is not None:
                on_response(data[3] & 0xF)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: the gateway is down, and the query will time out."""

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()


class DnsTraffic:
    """The upstream nameservers and DNS clients of a run.

    `open_queries` is the number of queries without an outcome.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.scenario: Scenario = world.scenario
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(f"{world.seed}/dns")
        load = self.scenario.dns
        self.upstreams = [
            Nameserver(
                NameserverBehaviour(delay_s=load.delay_ms / 1000, ttl=load.ttl_s), host=f"127.50.1.{n + 1}"
            )
            for n in range(load.upstreams)
        ]
        self.ports: dict[int, int] = {}  # DNS port by gateway
        self.sockets: dict[int, list[DnsClientSocket]] = {}  # client sockets by gateway
        self.last_id = 0
        self.next_query_s = 0.0
        self.names = [f"host{rank}.shops.example." for rank in range(load.names)]
        weights = [1.0 / (rank + 1) for rank in range(load.names)]  # Zipf's law
        total = sum(weights)
        self.weights = [weight / total for weight in weights]
        self.open_queries = 0

    async def prepare(self) -> None:
        """Start the upstream nameservers and choose a free DNS port for each gateway."""
        for upstream in self.upstreams:
            await upstream.start()
        for gateway in self.world.gateway_fleet.alive:
            with socket.socket() as probe:
                probe.bind((f"127.10.{gateway + 1}.1", 0))
                self.ports[gateway] = probe.getsockname()[1]

    def operator_settings(self, gateway: int) -> str:
        """Build the DNS table of a gateway's operator file."""
        load = self.scenario.dns
        upstreams = ", ".join(f'"{upstream.host}:{upstream.port}"' for upstream in self.upstreams)
        listen = f"127.10.{gateway + 1}.1:{self.ports[gateway]}"
        return (
            f'[dns]\nlisten = ["{listen}"]\nupstreams = [{upstreams}]\n'
            f"aim_ms = {load.latency_objective_ms:.0f}\ndeadline_ms = {load.deadline_ms:.0f}\n"
            "queries_each = 10000\n"
        )

    async def begin(self) -> None:
        """Open the clients' sockets and start to send queries."""
        for gateway in self.world.gateway_fleet.alive:
            self.sockets[gateway] = []
            remote = (f"127.10.{gateway + 1}.1", self.ports[gateway])
            for _ in range(SOCKETS_PER_GATEWAY):
                _, client = await self.loop.create_datagram_endpoint(DnsClientSocket, remote_addr=remote)
                self.sockets[gateway].append(client)
        self.next_query_s = 0.0
        self._plan_query()

    def _plan_query(self) -> None:
        self.next_query_s += self.rng.expovariate(self.scenario.dns.rate)
        if self.next_query_s < self.scenario.seconds:
            self.world.clock.call_at(int(self.next_query_s * 1e6), self._send_query)

    def _send_query(self) -> None:
        due_us = int(self.next_query_s * 1e6)
        name = self.rng.choices(self.names, self.weights)[0]
        reachable = [gateway for gateway, is_up in self.world.gateway_fleet.in_rotation.items() if is_up]
        gateway = self.rng.choice(reachable or list(self.ports))
        client = self.rng.choice(self.sockets[gateway])
        self._plan_query()
        self.last_id = (self.last_id + 1) % QUERY_ID_COUNT
        query_id = self.last_id
        if client.transport is None or query_id in client.on_response_by_id:
            return
        self.open_queries += 1
        timeout_s = self.scenario.dns.deadline_ms / 1000 + TIMEOUT_SLACK_S
        timer = self.loop.call_later(timeout_s, self._on_timeout, client, query_id, gateway, due_us)
        client.on_response_by_id[query_id] = partial(self._on_response, gateway, due_us, timer)
        client.transport.sendto(wire_query(name, query_id))

    def _on_response(self, gateway: int, due_us: int, timer: asyncio.TimerHandle, rcode: int) -> None:
        timer.cancel()
        is_late = self.world.clock.now_us() - due_us > self.scenario.dns.latency_objective_ms * 1000
        if rcode not in ANSWERED_RCODES:
            outcome = "refused"
        elif is_late:
            outcome = "late"
        else:
            outcome = "served"
        self._record(outcome, gateway, due_us)

    def _on_timeout(self, client: DnsClientSocket, query_id: int, gateway: int, due_us: int) -> None:
        if client.on_response_by_id.pop(query_id, None) is not None:
            self._record("unanswered", gateway, due_us)

    def _record(self, outcome: str, gateway: int, due_us: int) -> None:
        self.open_queries -= 1
        self.world.records.add("dns", self.world.clock.now_us(), gateway, outcome, due_us)

    def slow_upstreams(self, fault: ScheduledFault, is_on: bool) -> None:
        """Slow down the fault's share of the upstream nameservers, or restore their normal delay."""
        count = max(1, round(fault.share * len(self.upstreams)))
        factor = fault.size if is_on else 1.0
        for upstream in self.upstreams[:count]:
            upstream.behaviour.delay_s = self.scenario.dns.delay_ms / 1000 * factor

    def close(self) -> None:
        """Close every socket."""
        for clients in self.sockets.values():
            for client in clients:
                client.close()
        for upstream in self.upstreams:
            upstream.close()
