"""Stand-in DNS servers on loopback, over UDP and TCP, with configurable misbehaviour."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import NamedTuple, cast

import dns.flags
import dns.message
import dns.rcode
import dns.rdatatype
import dns.rrset

MAX_MESSAGE_BYTES = 65_535
CORRUPT_CUT_BYTES = 6  # bytes removed from the end of a corrupt response
QUESTION_OFFSET = 13  # offset of the first letter of the question's name


@dataclass(slots=True)
class NameserverBehaviour:
    """How a stand-in behaves. It may be changed while the stand-in runs."""

    delay_s: float = 0.0
    loss: float = 0.0  # share of UDP queries that get no response
    truncates: bool = False  # UDP responses have the TC flag and no records
    forgeries: int = 0  # forged responses sent before each genuine one, with a wrong ID or question
    spoofs_source: bool = False  # before each response, a matching false one is sent from another address
    is_corrupt: bool = False
    is_silent: bool = False
    rcode: int = 0
    ttl: int = 60
    records: int = 1
    is_nxdomain: bool = False
    address: str = "192.0.2.1"  # address in the first A record


class ReceivedQuery(NamedTuple):
    """A query received over UDP."""

    name: str  # with the letter case of the query
    id: int
    source_port: int


@dataclass
class Nameserver:
    """A stand-in nameserver that responds to A queries as `behaviour` specifies and counts its queries.

    If `port` is 0, `start` chooses a free port and stores it in `port`.
    """

    behaviour: NameserverBehaviour = field(default_factory=NameserverBehaviour)
    host: str = "127.0.0.1"
    port: int = 0
    udp_queries: int = 0
    tcp_queries: int = 0
    received_queries: list[ReceivedQuery] = field(default_factory=list)
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    servers: list[asyncio.Server | asyncio.DatagramTransport] = field(default_factory=list)

    @property
    def address(self) -> tuple[str, int]:
        """The host and port on which it listens over UDP and TCP."""
        return self.host, self.port

    def responses(self, data: bytes, over_udp: bool) -> list[bytes]:
        """Build the responses to a query in the order in which they are sent, the genuine one last."""
        reply = self._reply(dns.message.from_wire(data))
        if over_udp and self.behaviour.truncates:
            reply.answer.clear()
            reply.flags |= dns.flags.TC
        wire = reply.to_wire(max_size=MAX_MESSAGE_BYTES)
        if self.behaviour.is_corrupt:
            wire = wire[:-CORRUPT_CUT_BYTES]
        return [*self._forgeries(wire), wire]

    def _reply(self, query: dns.message.Message) -> dns.message.Message:
        behaviour = self.behaviour
        reply = dns.message.make_response(query)
        reply.flags |= dns.flags.RA
        question = query.question[0]
        if behaviour.rcode:
            reply.set_rcode(dns.rcode.Rcode(behaviour.rcode))
        elif behaviour.is_nxdomain:
            reply.set_rcode(dns.rcode.NXDOMAIN)
            text = f"ns.invalid. root.invalid. 1 60 60 60 {behaviour.ttl}"
            reply.authority.append(dns.rrset.from_text("invalid.", 3600, "IN", "SOA", text))
        elif question.rdtype == dns.rdatatype.A:
            addresses = [f"192.0.2.{number % 250 + 1}" for number in range(behaviour.records)]
            addresses[0] = behaviour.address
            reply.answer.append(dns.rrset.from_text(question.name, behaviour.ttl, "IN", "A", *addresses))
        return reply

    def _forgeries(self, wire: bytes) -> list[bytes]:
        forgeries = []
        for number in range(self.behaviour.forgeries):
            forged = bytearray(wire)
            if number % 2:
                forged[0] ^= 0xFF  # wrong ID
            else:
                forged[QUESTION_OFFSET] ^= 0x01  # wrong question
            forged[-1] ^= 0xAA
            forgeries.append(bytes(forged))
        return forgeries

    async def start(self) -> None:
        """Listen over TCP and UDP. Raises OSError if the port is taken."""
        loop = asyncio.get_running_loop()
        tcp = await asyncio.start_server(self._serve_tcp, self.host, self.port)
        self.port = tcp.sockets[0].getsockname()[1]
        udp, _ = await loop.create_datagram_endpoint(lambda: _UdpServer(self), self.address)
        self.servers = [tcp, udp]

    async def _serve_tcp(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                length = int.from_bytes(await reader.readexactly(2))
                data = await reader.readexactly(length)
                self.tcp_queries += 1
                if self.behaviour.is_silent:
                    continue
                if self.behaviour.delay_s:
                    await asyncio.sleep(self.behaviour.delay_s)
                for wire in self.responses(data, False):
                    writer.write(len(wire).to_bytes(2) + wire)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    def close(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()


class _UdpServer(asyncio.DatagramProtocol):
    """A nameserver's UDP socket."""

    transport: asyncio.DatagramTransport

    def __init__(self, nameserver: Nameserver) -> None:
        self.nameserver = nameserver

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        nameserver = self.nameserver
        behaviour = nameserver.behaviour
        nameserver.udp_queries += 1
        name = dns.message.from_wire(data).question[0].name.to_text()
        nameserver.received_queries.append(ReceivedQuery(name, int.from_bytes(data[:2]), addr[1]))
        if behaviour.is_silent or nameserver.rng.random() < behaviour.loss:
            return
        if behaviour.delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(behaviour.delay_s, self._respond, behaviour, data, addr)
        else:
            self._respond(behaviour, data, addr)

    def _respond(self, behaviour: NameserverBehaviour, data: bytes, addr: tuple[str, int]) -> None:
        if behaviour.spoofs_source:
            forged = bytearray(self.nameserver.responses(data, True)[-1])
            forged[-1] ^= 0xAA
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as spoofing_socket:
                spoofing_socket.sendto(bytes(forged), addr)
        for wire in self.nameserver.responses(data, True):
            self.transport.sendto(wire, addr)


@asynccontextmanager
async def nameserver(
    behaviour: NameserverBehaviour | None = None, port: int = 0
) -> AsyncIterator[Nameserver]:
    """Run a stand-in nameserver on loopback until the context ends."""
    server = Nameserver(behaviour or NameserverBehaviour(), port=port)
    await server.start()
    try:
        yield server
    finally:
        server.close()
