"""Stand-in DNS servers on loopback, UDP and TCP: slow, lossy, cutting, forging, spoilt or silent as told."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, cast

import dns.flags
import dns.message
import dns.rcode
import dns.rdatatype
import dns.rrset


@dataclass(slots=True)
class Manner:
    """How a stand-in behaves; it may be changed while it runs."""

    delay_s: float = 0.0
    loss: float = 0.0  # share of queries over UDP that are not answered
    cut: bool = False  # over UDP every answer is cut short
    forge: int = 0  # forged answers ahead of each true one: wrong ids, wrong questions
    stranger: bool = False  # a false answer that matches comes first, from another address
    spoilt: bool = False
    silent: bool = False
    rcode: int = 0
    ttl: int = 60
    records: int = 1
    negative: bool = False
    address: str = "192.0.2.1"


@dataclass
class Nameserver:
    """One stand-in. It answers A queries with `address`, and counts what it gets."""

    manner: Manner = field(default_factory=Manner)
    host: str = "127.0.0.1"
    port: int = 0
    udp_queries: int = 0
    tcp_queries: int = 0
    seen: list[tuple[str, int, int]] = field(default_factory=list)  # name as it came, id, source port
    draw: random.Random = field(default_factory=lambda: random.Random(7))
    servers: list[Any] = field(default_factory=list)

    @property
    def place(self) -> tuple[str, int]:
        return self.host, self.port

    def answers(self, data: bytes, over_udp: bool) -> list[bytes]:
        """What is sent back for a query, in order."""
        manner = self.manner
        query = dns.message.from_wire(data)
        reply = dns.message.make_response(query)
        reply.flags |= dns.flags.RA
        question = query.question[0]
        if manner.rcode:
            reply.set_rcode(dns.rcode.Rcode(manner.rcode))
        elif manner.negative:
            reply.set_rcode(dns.rcode.NXDOMAIN)
            text = f"ns.invalid. root.invalid. 1 60 60 60 {manner.ttl}"
            reply.authority.append(dns.rrset.from_text("invalid.", 3600, "IN", "SOA", text))
        elif question.rdtype == dns.rdatatype.A:
            addresses = [f"192.0.2.{n % 250 + 1}" for n in range(manner.records)]
            addresses[0] = manner.address
            reply.answer.append(dns.rrset.from_text(question.name, manner.ttl, "IN", "A", *addresses))
        if over_udp and manner.cut:
            reply.answer.clear()
            reply.flags |= dns.flags.TC
        wire = reply.to_wire(max_size=65_535)
        if manner.spoilt:
            wire = wire[: len(wire) - 6]
        forged = []
        for number in range(manner.forge):
            false = bytearray(wire)
            if number % 2:
                false[0] ^= 0xFF  # another id
            else:
                false[13] ^= 0x01  # another question
            false[-1] ^= 0xAA
            forged.append(bytes(false))
        return [*forged, wire]

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        tcp = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = tcp.sockets[0].getsockname()[1]
        udp, _ = await loop.create_datagram_endpoint(lambda: _Udp(self), self.place)
        self.servers = [tcp, udp]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                length = int.from_bytes(await reader.readexactly(2))
                data = await reader.readexactly(length)
                self.tcp_queries += 1
                if self.manner.silent:
                    continue
                if self.manner.delay_s:
                    await asyncio.sleep(self.manner.delay_s)
                for wire in self.answers(data, False):
                    writer.write(len(wire).to_bytes(2) + wire)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    def close(self) -> None:
        for server in self.servers:
            server.close()


class _Udp(asyncio.DatagramProtocol):
    def __init__(self, server: Nameserver) -> None:
        self.server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        server = self.server
        server.udp_queries += 1
        name = dns.message.from_wire(data).question[0].name.to_text()
        server.seen.append((name, int.from_bytes(data[:2]), addr[1]))
        manner = server.manner
        if manner.silent or server.draw.random() < manner.loss:
            return

        def send() -> None:
            if manner.stranger:
                false = bytearray(server.answers(data, True)[-1])
                false[-1] ^= 0xAA
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
                    other.sendto(bytes(false), addr)
            for wire in server.answers(data, True):
                self.transport.sendto(wire, addr)

        if manner.delay_s:
            asyncio.get_running_loop().call_later(manner.delay_s, send)
        else:
            send()


@asynccontextmanager
async def nameserver(manner: Manner | None = None, port: int = 0) -> AsyncIterator[Nameserver]:
    """A stand-in that runs for as long as it is asked for."""
    made = Nameserver(manner or Manner(), port=port)
    await made.start()
    try:
        yield made
    finally:
        made.close()
