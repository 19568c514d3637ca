"""DNS beside HTTP in a run: stand-in upstream servers, and clients that ask every gateway in an open loop."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections.abc import Callable
from typing import Any, cast

from sagetrack.lab.model.scenario import Scenario, ScheduledFault
from sagetrack.lab.model.world import World
from sagetrack.lab.stand_ins.dns_server import Manner, Nameserver

SOCKETS = 4  # of the clients of each gateway


def wire_query(name: str, id_: int) -> bytes:
    """An A query with recursion desired, without EDNS."""
    labels = b"".join(bytes([len(part)]) + part.encode() for part in name.strip(".").split("."))
    return struct.pack("!HHHHHH", id_, 0x0100, 1, 0, 0, 0) + labels + b"\0\0\1\0\1"


class Asker(asyncio.DatagramProtocol):
    """One client socket: queries are told apart by their id."""

    def __init__(self) -> None:
        self.transport: asyncio.DatagramTransport | None = None
        self.waiting: dict[int, Callable[[int], None]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if len(data) >= 12:
            done = self.waiting.pop(int.from_bytes(data[:2]), None)
            if done is not None:
                done(data[3] & 0xF)

    def error_received(self, exc: Exception) -> None:
        """The gateway is down just now: the query times out."""


class DnsSide:
    """All of a run that is DNS."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.scenario: Scenario = world.scenario
        self.loop = asyncio.get_running_loop()
        self.draw = random.Random(f"{world.seed}/dns")
        load = self.scenario.dns
        manner = {"delay_s": load.delay_ms / 1000, "ttl": load.ttl_s}
        self.upstreams = [
            Nameserver(Manner(**manner), host=f"127.50.1.{n + 1}")  # type: ignore[arg-type]
            for n in range(load.upstreams)
        ]
        self.ports: dict[int, int] = {}
        self.askers: dict[int, list[Asker]] = {}
        self.number = 0
        self.next_s = 0.0
        weights = [1.0 / (rank + 1) for rank in range(load.names)]  # Zipf's law
        self.names = [f"host{rank}.shops.example." for rank in range(load.names)]
        total = sum(weights)
        self.weights = [weight / total for weight in weights]
        self.open = 0

    async def prepare(self) -> None:
        """Start the upstream servers, and find each gateway an address for DNS."""
        for upstream in self.upstreams:
            await upstream.start()
        for gateway in self.world.gateway_fleet.alive:
            with socket.socket() as probe:
                probe.bind((f"127.10.{gateway + 1}.1", 0))
                self.ports[gateway] = probe.getsockname()[1]

    def operator(self, gateway: int) -> str:
        """What the operator's file of a gateway says."""
        load = self.scenario.dns
        places = ", ".join(f'"{host}:{port}"' for host, port in (u.place for u in self.upstreams))
        return (
            f'[dns]\nlisten = ["127.10.{gateway + 1}.1:{self.ports[gateway]}"]\nupstreams = [{places}]\n'
            f"aim_ms = {load.latency_objective_ms:.0f}\ndeadline_ms = {load.deadline_ms:.0f}\n"
            "queries_each = 10000\n"
        )

    async def begin(self) -> None:
        for gateway in self.world.gateway_fleet.alive:
            self.askers[gateway] = []
            for _ in range(SOCKETS):
                place = (f"127.10.{gateway + 1}.1", self.ports[gateway])
                _, asker = await self.loop.create_datagram_endpoint(Asker, remote_addr=place)
                self.askers[gateway].append(asker)
        self.next_s = 0.0
        self.plan()

    def plan(self) -> None:
        self.next_s += self.draw.expovariate(self.scenario.dns.rate)
        if self.next_s < self.scenario.seconds:
            self.world.clock.at(int(self.next_s * 1e6), self.arrive)

    def arrive(self) -> None:
        due_us = int(self.next_s * 1e6)
        name = self.draw.choices(self.names, self.weights)[0]
        gateway = self.draw.choice(
            [g for g, up in self.world.gateway_fleet.in_rotation.items() if up] or list(self.ports)
        )
        asker = self.draw.choice(self.askers[gateway])
        self.plan()
        self.number = (self.number + 1) % 65_536
        id_ = self.number
        if asker.transport is None or id_ in asker.waiting:
            return
        self.open += 1

        def over(outcome: str) -> None:
            self.open -= 1
            timer.cancel()
            self.world.records.add("dns", self.world.clock.now_us(), gateway, outcome, due_us)

        def done(rcode: int) -> None:
            late = self.world.clock.now_us() - due_us > self.scenario.dns.latency_objective_ms * 1000
            over("refused" if rcode not in (0, 3) else "late" if late else "served")

        def silent() -> None:
            if asker.waiting.pop(id_, None) is not None:
                over("unanswered")

        asker.waiting[id_] = done
        timer = self.loop.call_later(self.scenario.dns.deadline_ms / 1000 + 0.2, silent)
        asker.transport.sendto(wire_query(name, id_))

    def slow(self, trouble: ScheduledFault, on: bool) -> list[int]:
        """Make part of the upstream servers slow, or well again."""
        count = max(1, round(trouble.share * len(self.upstreams)))
        for upstream in self.upstreams[:count]:
            upstream.manner.delay_s = self.scenario.dns.delay_ms / 1000 * (trouble.size if on else 1.0)
        return list(range(count))

    def close(self) -> None:
        for askers in self.askers.values():
            for asker in askers:
                if asker.transport is not None:
                    asker.transport.close()
        for upstream in self.upstreams:
            upstream.close()
