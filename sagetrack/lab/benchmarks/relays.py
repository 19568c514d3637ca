"""Minimal TCP and UDP relays, the baseline that the gateway's cost is compared with.

They do nothing but forward bytes, so their cost is a lower bound for any proxy written in Python. Each relay
runs in its own process until it is killed.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Mapping
from typing import Any, cast

import uvloop

from sagetrack.lab.repository import ROOT


def relay_command(function: str, *arguments: object) -> list[str]:
    """Return the command line that calls a function of this module in a separate Python process."""
    argument_list = ", ".join(repr(argument) for argument in arguments)
    return [sys.executable, "-c", f"from {__name__} import {function}; {function}({argument_list})"]


def relay_environment() -> Mapping[str, str]:
    """Return the environment variables with which the command of `relay_command` can import this module."""
    return os.environ | {"PYTHONPATH": str(ROOT)}


class _RelaySide(asyncio.Protocol):
    """One end of a relayed TCP connection: towards the client or towards the server."""

    def __init__(self) -> None:
        self.other: _RelaySide | None = None
        self.transport: asyncio.Transport | None = None
        # The event loop keeps only weak references to tasks, so this one prevents garbage collection.
        self.connecting: asyncio.Task[Any] | None = None
        self.pending_writes: list[bytes] = []  # received before this end was connected

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        for data in self.pending_writes:
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        other = self.other
        if other is not None and other.transport is not None:
            other.transport.write(data)
        elif other is not None:
            other.pending_writes.append(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


def relay_tcp(port: int, target_ports: list[int]) -> None:
    """Relay each client connection to one of the servers, chosen round-robin, in both directions."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        accepted = 0

        def accept() -> _RelaySide:
            nonlocal accepted
            accepted += 1
            client, server = _RelaySide(), _RelaySide()
            client.other = server
            server.other = client
            target_port = target_ports[accepted % len(target_ports)]
            connecting = loop.create_connection(lambda: server, "127.0.0.1", target_port)
            server.connecting = loop.create_task(connecting)
            return client

        await loop.create_server(accept, "127.0.0.1", port)
        await asyncio.Event().wait()

    uvloop.run(main())


class _RelayedClient(asyncio.DatagramProtocol):
    """The upstream socket of one client: returns the server's datagrams to that client."""

    def __init__(self, listening: asyncio.DatagramTransport, client_address: Any) -> None:
        self.listening = listening
        self.client_address = client_address

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.listening.sendto(data, self.client_address)


class _DatagramRelay(asyncio.DatagramProtocol):
    """The listening socket: forwards each client's datagrams through an upstream socket of its own."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.loop = asyncio.get_running_loop()
        self.sockets: dict[Any, asyncio.DatagramTransport] = {}  # upstream sockets by client address
        self.opening: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        to_server = self.sockets.get(addr)
        if to_server is not None:
            to_server.sendto(data)
            return
        task = self.loop.create_task(self._open_and_send(data, addr))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    async def _open_and_send(self, data: bytes, client_address: Any) -> None:
        to_server, _ = await self.loop.create_datagram_endpoint(
            lambda: _RelayedClient(self.transport, client_address),
            remote_addr=("127.0.0.1", self.target_port),
        )
        self.sockets[client_address] = to_server
        to_server.sendto(data)


def relay_udp(port: int, target_port: int) -> None:
    """Relay datagrams between clients and one server, with one upstream socket per client."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: _DatagramRelay(target_port), ("127.0.0.1", port))
        await asyncio.Event().wait()

    uvloop.run(main())
