"""Queries, clients and a running service for tests of DNS."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import dns.edns
import dns.flags
import dns.message
import dns.rcode
import dns.rdatatype

from sagetrack.dns.service import DnsConfig, DnsService
from sagetrack.lab.stand_ins.dns_server import Nameserver, NameserverBehaviour
from tests.sockets import wait_until


def query(name: str = "a.example.", rdtype: str = "A", **options: Any) -> bytes:
    return dns.message.make_query(name, rdtype, **options).to_wire()


def response_to(data: bytes, ttl: int = 60, **behaviour: Any) -> bytes:
    return Nameserver(NameserverBehaviour(ttl=ttl, **behaviour)).responses(data, False)[0]


@asynccontextmanager
async def running_service(
    *upstreams: Nameserver, **options: Any
) -> AsyncIterator[tuple[DnsService, tuple[str, int]]]:
    service = DnsService(
        DnsConfig([("127.0.0.1", 0)], [upstream.address for upstream in upstreams], **options), 1
    )
    (address,) = await service.start()
    try:
        yield service, address
    finally:
        service.close()


class UdpClient(asyncio.DatagramProtocol):
    """Asks over UDP."""

    def __init__(self) -> None:
        self.responses: list[dns.message.Message] = []

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.responses.append(dns.message.from_wire(data))

    @classmethod
    async def to(cls, address: tuple[str, int]) -> UdpClient:
        loop = asyncio.get_running_loop()
        transport, client = await loop.create_datagram_endpoint(cls, remote_addr=address)
        client.transport = transport
        return client

    transport: asyncio.DatagramTransport

    async def exchange(self, data: bytes) -> dns.message.Message:
        count_before = len(self.responses)
        self.transport.sendto(data)
        await wait_until(lambda: len(self.responses) > count_before)
        return self.responses[-1]


def extended_errors(message: dns.message.Message) -> list[int]:
    return [int(o.code) for o in message.options if isinstance(o, dns.edns.EDEOption)]


async def read_tcp_responses(reader: asyncio.StreamReader, count: int) -> list[dns.message.Message]:
    messages = []
    for _ in range(count):
        length = int.from_bytes(await reader.readexactly(2))
        messages.append(dns.message.from_wire(await reader.readexactly(length)))
    return messages
