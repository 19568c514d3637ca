"""The fault proxy between gateways and servers: `python -m sagetrack.lab.soak.proxy PLAN FILE`.

PLAN lists the routes, FILE receives the events. Each gateway connects to each server at a separate address,
so that a fault affects one route only. Attempts are recorded on arrival, before any fault delays them.
Standard input carries the faults, one JSON `FaultCommand` per line.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from pathlib import Path
from typing import NamedTuple

import httptools
import msgspec

from sagetrack.lab.soak.events import AttemptReceived, AttemptStarted, EventWriter, now_us
from sagetrack.lab.stand_ins.listener import SilenceableListener

NO_BUDGET_MS = -1  # recorded for an attempt without a budget header


class RouteFault(Enum):
    """A change of a route's state."""

    MUTE = "mute"  # new connections are not established
    UNMUTE = "unmute"  # new connections are established again
    RESET = "reset"  # all open connections are reset
    STALL = "stall"  # no data passes in either direction
    RESUME = "resume"  # stalled data is forwarded, and data passes again


class Route(msgspec.Struct, frozen=True):
    """The route from one gateway to one server."""

    gateway: int
    server: int
    server_port: int


class FaultCommand(msgspec.Struct):
    """A fault to be applied to one route immediately."""

    fault: RouteFault
    gateway: int
    server: int


class AttemptObserver:
    """Records the requests in the byte stream of one connection; invalid HTTP is ignored."""

    def __init__(self, route: Route, events: EventWriter) -> None:
        self._route = route
        self._events = events
        self._parser = httptools.HttpRequestParser(self)
        self._is_parsable = True
        self._started_us = 0
        self._request_id = ""
        self._budget_ms = NO_BUDGET_MS

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the connection."""
        if not self._is_parsable:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._is_parsable = False

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin a new request."""
        self._started_us = now_us()
        self._request_id = ""
        self._budget_ms = NO_BUDGET_MS

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the request ID and the budget from the header fields."""
        if name.lower() == b"x-call-id":
            self._request_id = value.decode("latin-1").strip()
        elif name.lower() == b"x-budget-ms":
            self._budget_ms = int(value)

    def on_headers_complete(self) -> None:
        """Record the start of the attempt, with the time of its first byte."""
        gateway, server = self._route.gateway, self._route.server
        self._events.write(
            AttemptStarted(self._started_us, self._request_id, gateway, server, self._budget_ms)
        )

    def on_message_complete(self) -> None:
        """Record that the request has arrived completely."""
        route = self._route
        self._events.write(AttemptReceived(now_us(), self._request_id, route.gateway, route.server))


class Relay(asyncio.Protocol):
    """Forwards data between a gateway's connection and its own connection to the server."""

    def __init__(self, route: RouteProxy, observer: AttemptObserver) -> None:
        self._route = route
        self._observer = observer
        self._downstream: asyncio.Transport | None = None
        self._upstream: asyncio.Transport | None = None
        self._before_upstream: list[bytes] = []  # data received before the upstream connection is open

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, which also connects to the server."""
        assert isinstance(transport, asyncio.Transport)
        self._downstream = transport
        self._route.add(self)

    async def connect_upstream(self, port: int) -> None:
        """Connect to the server. If that fails, the gateway's connection is reset."""
        try:
            upstream, _ = await asyncio.get_running_loop().create_connection(
                lambda: UpstreamConnection(self), "127.0.0.1", port
            )
        except OSError:
            self.abort()
            return
        self._upstream = upstream
        for data in self._before_upstream:
            upstream.write(data)

    def data_received(self, data: bytes) -> None:
        """Record data from the gateway, then forward it unless the route is stalled."""
        self._observer.feed(data)
        self._route.forward(self._send_upstream, data)

    def response_received(self, data: bytes) -> None:
        """Forward data from the server unless the route is stalled."""
        self._route.forward(self._send_downstream, data)

    def upstream_lost(self) -> None:
        """Flush and close the gateway's connection after the server's connection has ended."""
        if self._downstream is not None:
            self._downstream.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reset the server's connection after the gateway's connection has ended."""
        self._downstream = None
        self.abort()

    def abort(self) -> None:
        """Reset both connections."""
        self._route.discard(self)
        for transport in (self._downstream, self._upstream):
            if transport is not None:
                transport.abort()

    def _send_upstream(self, data: bytes) -> None:
        if self._upstream is None:
            self._before_upstream.append(data)
        else:
            self._upstream.write(data)

    def _send_downstream(self, data: bytes) -> None:
        if self._downstream is not None:
            self._downstream.write(data)


class UpstreamConnection(asyncio.Protocol):
    """A relay's connection to the server."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    def data_received(self, data: bytes) -> None:
        """Pass data from the server to the relay."""
        self._relay.response_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report to the relay that the server's connection has ended."""
        self._relay.upstream_lost()


class StalledData(NamedTuple):
    """Data held back by a stall, and the function that sends it afterwards."""

    send: Callable[[bytes], None]
    data: bytes


class RouteProxy:
    """The listener and the connections of one route. It applies faults to them."""

    def __init__(self, route: Route, events: EventWriter) -> None:
        self._route = route
        self._relays: set[Relay] = set()
        self._connecting: set[asyncio.Task[None]] = set()
        self._stalled_data: list[StalledData] = []
        self._is_stalled = False
        self._listener = SilenceableListener("127.0.0.1", lambda: Relay(self, AttemptObserver(route, events)))

    @property
    def address(self) -> str:
        """The address at which the gateway reaches the server."""
        return self._listener.address

    def add(self, relay: Relay) -> None:
        """Add a new connection of the gateway, and connect it to the server."""
        self._relays.add(relay)
        task = asyncio.get_running_loop().create_task(relay.connect_upstream(self._route.server_port))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    def discard(self, relay: Relay) -> None:
        """Remove a connection that has ended."""
        self._relays.discard(relay)

    def forward(self, send: Callable[[bytes], None], data: bytes) -> None:
        """Send data now or, if the route is stalled, in order when the stall ends."""
        if self._is_stalled:
            self._stalled_data.append(StalledData(send, data))
        else:
            send(data)

    def apply(self, fault: RouteFault) -> None:
        """Begin or end a fault."""
        match fault:
            case RouteFault.MUTE:
                self._listener.mute()
            case RouteFault.UNMUTE:
                self._listener.unmute()
            case RouteFault.RESET:
                for relay in list(self._relays):
                    relay.abort()
            case RouteFault.STALL:
                self._is_stalled = True
            case RouteFault.RESUME:
                self._resume()

    def _resume(self) -> None:
        self._is_stalled = False
        stalled_data = self._stalled_data
        self._stalled_data = []
        for send, data in stalled_data:
            with suppress(RuntimeError):  # the connection has ended in the meantime
                send(data)


async def main(plan: Path, event_file: Path) -> None:
    """Listen for each route of the plan, print the addresses in the same order, and execute the commands."""
    events = EventWriter(event_file)
    routes: list[Route] = msgspec.json.decode(plan.read_bytes(), type=list[Route])
    proxies = {(route.gateway, route.server): RouteProxy(route, events) for route in routes}
    addresses = [proxy.address for proxy in proxies.values()]
    print(msgspec.json.encode(addresses).decode(), flush=True)
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        command: FaultCommand = msgspec.json.decode(line, type=FaultCommand)
        proxies[command.gateway, command.server].apply(command.fault)


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1]), Path(sys.argv[2])))
