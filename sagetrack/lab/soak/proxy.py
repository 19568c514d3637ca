"""The fault proxy between gateways and address servers, as a process: `… .proxy PLAN FILE`.

Each gateway reaches each server at an address of its own, so that faults strike one way alone. What comes is
written down here, before any fault delays it. Standard input tells of faults: one `Order` in JSON a line.
"""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress
from pathlib import Path
from typing import Literal

import httptools
import msgspec

from sagetrack.lab.soak.events import Begun, Journal, Whole, now_us
from sagetrack.lab.stand_ins.listener import SilenceableListener

PIECE = 16 * 1024
Fault = Literal["mute", "unmute", "reset", "stall", "flow"]


class Route(msgspec.Struct, frozen=True):
    """From one gateway to one server."""

    gateway: int
    server: int
    port: int  # the server's


class Order(msgspec.Struct):
    fault: Fault
    gateway: int
    server: int


class Watch:
    """Tells of requests in the bytes that pass."""

    def __init__(self, route: Route, journal: Journal) -> None:
        self.route, self.journal = route, journal
        self.parser = httptools.HttpRequestParser(self)
        self.begun_us = 0
        self.call, self.told_ms = "", -1
        self.readable = True

    def feed(self, data: bytes) -> None:
        if not self.readable:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.readable = False

    def on_message_begin(self) -> None:
        self.begun_us, self.call, self.told_ms = now_us(), "", -1

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-call-id":
            self.call = value.decode("latin-1").strip()
        elif name.lower() == b"x-budget-ms":
            self.told_ms = int(value)

    def on_headers_complete(self) -> None:
        route = self.route
        self.journal.write(Begun(self.begun_us, self.call, route.gateway, route.server, self.told_ms))

    def on_message_complete(self) -> None:
        self.journal.write(Whole(now_us(), self.call, self.route.gateway, self.route.server))


class Relay(asyncio.Protocol):
    """One connection of a gateway and the one to its server."""

    def __init__(self, way: Way) -> None:
        self.way = way
        self.watch = Watch(way.route, way.journal)
        self.near: asyncio.Transport | None = None
        self.far: asyncio.Transport | None = None
        self.early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.near = transport
        self.way.relays.add(self)
        self.way.tasks.add(task := asyncio.get_running_loop().create_task(self.reach()))
        task.add_done_callback(self.way.tasks.discard)

    async def reach(self) -> None:
        try:
            far, _ = await asyncio.get_running_loop().create_connection(
                lambda: UpstreamPool(self), "127.0.0.1", self.way.route.port
            )
        except OSError:
            self.end()
            return
        self.far = far
        for data in self.early:
            far.write(data)

    def data_received(self, data: bytes) -> None:
        self.watch.feed(data)
        self.way.pass_on(self.forward, data)

    def forward(self, data: bytes) -> None:
        if self.far is None:
            self.early.append(data)
        else:
            self.far.write(data)

    def back(self, data: bytes) -> None:
        if self.near is not None:
            self.near.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.near = None
        self.end()

    def end(self) -> None:
        self.way.relays.discard(self)
        for transport in (self.near, self.far):
            if transport is not None:
                transport.abort()


class UpstreamPool(asyncio.Protocol):
    """The server's side of a relay."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def data_received(self, data: bytes) -> None:
        self.relay.way.pass_on(self.relay.back, data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.relay.near is not None:
            self.relay.near.close()


class Way:
    """All connections of one route, and what befalls them."""

    def __init__(self, route: Route, journal: Journal) -> None:
        self.route, self.journal = route, journal
        self.relays: set[Relay] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.held: list[tuple[object, bytes]] = []
        self.stalled = False
        self.door = SilenceableListener("127.0.0.1", lambda: Relay(self))

    def pass_on(self, forward: object, data: bytes) -> None:
        if self.stalled:
            self.held.append((forward, data))
        else:
            forward(data)  # type: ignore[operator]

    def obey(self, fault: Fault) -> None:
        match fault:
            case "mute":
                self.door.mute()
            case "unmute":
                self.door.unmute()
            case "reset":
                for relay in list(self.relays):
                    relay.end()
            case "stall":
                self.stalled = True
            case "flow":
                self.stalled = False
                held, self.held = self.held, []
                for forward, data in held:
                    with suppress(RuntimeError):
                        self.pass_on(forward, data)


async def main(plan: Path, file: Path) -> None:
    """Listen for each route, say at which ports, and obey."""
    journal = Journal(file)
    routes: list[Route] = msgspec.json.decode(plan.read_bytes(), type=list[Route])
    ways = {(route.gateway, route.server): Way(route, journal) for route in routes}
    print(msgspec.json.encode([way.door.address for way in ways.values()]).decode(), flush=True)
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        order: Order = msgspec.json.decode(line, type=Order)
        ways[order.gateway, order.server].obey(order.fault)


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1]), Path(sys.argv[2])))
