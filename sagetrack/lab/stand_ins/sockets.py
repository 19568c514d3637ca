"""The world's parties on loopback sockets: address servers, discovery agents, and members' connections.

Each gateway reaches every party at addresses of its own, so that the lab knows who calls and can cut one way
alone.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import httptools

from sagetrack.lab.model.endpoint_entry import GONE, EndpointEntry
from sagetrack.lab.model.server import Job, Result, Server
from sagetrack.lab.model.world import World
from sagetrack.lab.stand_ins.grpc_server import NewServerConnection

TOLD_LATEST_US = 6_000_000  # after the agent has it, a change counts as told
BODY = b"x" * 64


def _open_listener(host: str, backlog: int = 1024) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, 0))
        listener.listen(backlog)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


class Door:
    """A listening socket that can fall silent: a connection to it then never comes up, unexplained."""

    def __init__(self, host: str, protocol: Callable[[], asyncio.Protocol]) -> None:
        self.loop = asyncio.get_running_loop()
        self.protocol = protocol
        self.listener = _open_listener(host)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.fillers: list[socket.socket] = []
        self.muted = False
        self.closed = False
        self.loop.add_reader(self.listener.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(32):
            try:
                accepted, _ = self.listener.accept()
            except OSError:
                return
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self.loop.create_task(self.loop.connect_accepted_socket(self.protocol, accepted))
            task.add_done_callback(lambda done: done.cancelled() or done.exception())

    def mute(self) -> None:
        """Fill the queue of connections that wait: the kernel drops the next ones' SYNs."""
        if self.muted or self.closed:
            return
        self.muted = True
        self.loop.remove_reader(self.listener.fileno())
        self.listener.listen(0)
        for _ in range(3):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)

    def unmute(self) -> None:
        if not self.muted or self.closed:
            return
        self.muted = False
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.listener.listen(1024)
        self.loop.add_reader(self.listener.fileno(), self._accept)

    def close(self) -> None:
        if self.closed:
            return
        self.unmute()
        self.closed = True
        self.loop.remove_reader(self.listener.fileno())
        self.listener.close()


class Message:
    """One HTTP message as it comes in."""

    __slots__ = ("body", "headers", "status", "target")

    def __init__(self) -> None:
        self.target = b""
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = 0


class Reader:
    """Whole messages from a connection's bytes; bodies are counted, not kept."""

    def __init__(self, of_requests: bool, on_message: Callable[[Message, bool], None]) -> None:
        self.parser: Any = (
            httptools.HttpRequestParser(self) if of_requests else httptools.HttpResponseParser(self)
        )
        self.of_requests, self.given = of_requests, on_message
        self.message = Message()

    def feed(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.message = Message()

    def on_url(self, url: bytes) -> None:
        self.message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.message.headers[name.lower()] = value.strip()

    def on_headers_complete(self) -> None:
        if not self.of_requests:
            self.message.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        self.message.body += len(data)

    def on_message_complete(self) -> None:
        if self.of_requests or self.message.status >= 200:
            self.given(self.message, self.parser.should_keep_alive())


class ServerConnection(asyncio.Protocol):
    """One connection of a gateway to an address server."""

    def __init__(self, host: ServerHost, gateway: int) -> None:
        self.host, self.gateway = host, gateway
        self.transport: asyncio.Transport | None = None
        self.reader = Reader(True, self.on_request)
        self.job: Job | None = None
        self.fresh = True
        self.idle: asyncio.TimerHandle | None = None
        self.first_byte_us = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        host = self.host
        host.connections.add(self)
        if len(host.connections) > host.world.scenario.fleet.connections:
            self.transport.abort()
            return
        self.rest()

    def rest(self) -> None:
        self.idle = asyncio.get_running_loop().call_later(self.host.world.scenario.fleet.idle_s, self.close)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        world = self.host.world
        if self.first_byte_us < 0:
            self.first_byte_us = world.clock.now_us()
        if not world.network.reaches(self.gateway, self.host.server.number) or self.host.server.silent:
            return  # it never got here
        try:
            self.reader.feed(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_request(self, message: Message, keep: bool) -> None:
        world, host = self.host.world, self.host
        if self.idle is not None:
            self.idle.cancel()
        call = message.headers.get(b"x-call-id", b"").decode("latin-1")
        this = host.calls.get(call)
        if this is None:
            self.answer(b"HTTP/1.1 400 No Such Call\r\nContent-Length: 0\r\n\r\n")
            return
        sent_us, self.first_byte_us = self.first_byte_us, -1
        request = this.request
        work = request.work_us + (world.scenario.fleet.handshake_ms * 1000 if self.fresh else 0.0)
        way = host.distance_us(self.gateway)
        ways = 3 if self.fresh else 1  # a handshake takes a round trip more
        self.fresh = False
        patience = int(message.headers.get(b"x-budget-ms", b"0") or 0) * 1000
        job = self.job = Job(
            call,
            work,
            request.key,
            int(request.request_class.window_ms * 1000),
            request.request_class.scope,
            sent_us + patience,
            lambda job, result: self.served(job, result),
        )
        world.clock.at(world.clock.now_us() + way * ways, lambda: self.deliver(job, sent_us))

    def deliver(self, job: Job, sent_us: int) -> None:
        host = self.host
        if job.ended or self.job is not job or host.server.number not in host.world.server_fleet.servers:
            return
        if host.world.server_fleet.receive(host.server, job, self.gateway, sent_us) is Result.REJECTED:
            self.served(job, Result.REJECTED)

    def served(self, job: Job, result: Result) -> None:
        if self.job is not job:
            return
        self.job = None
        if result is Result.RESET:
            if self.transport is not None:
                self.transport.abort()
            return
        world = self.host.world
        data = {
            Result.SERVED: b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY),
            Result.ERROR: b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
            Result.REJECTED: b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
            Result.SPOILT: b"HTP/9 nonsense\x00\x01\r\n\r\n" + BODY,
        }[result]
        world.clock.at(world.clock.now_us() + self.host.distance_us(self.gateway), lambda: self.answer(data))

    def answer(self, data: bytes) -> None:
        if self.transport is not None and self.host.world.network.reaches(
            self.gateway, self.host.server.number
        ):
            self.transport.write(data)
            self.rest()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.host.connections.discard(self)
        if self.idle is not None:
            self.idle.cancel()
        job, self.job = self.job, None
        if job is not None and not job.ended:
            self.host.world.server_fleet.give_up(self.host.server, job)


class ServerHost:
    """One address server with a door for each gateway."""

    def __init__(
        self, world: World, server: Server, calls: dict[str, Any], distance_us: Callable[[int, int], int]
    ) -> None:
        self.world, self.server, self.calls = world, server, calls
        self.connections: set[ServerConnection | NewServerConnection] = set()
        speaks = NewServerConnection if server.number in world.server_fleet.newer else ServerConnection
        self.distance_us: Callable[[int], int] = lambda gateway: distance_us(gateway, server.number)
        self.doors = {
            gateway: Door(
                f"127.20.{gateway + 1}.{server.number % 250 + 1}",
                lambda g=gateway: speaks(self, g),  # type: ignore[misc]
            )
            for gateway in world.gateway_fleet.alive
        }

    def silence(self) -> None:
        """Vanish: what is open stays open and says nothing."""
        for door in self.doors.values():
            door.mute()

    def close(self) -> None:
        for door in self.doors.values():
            door.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


class Agent:
    """Discovery as one gateway has it: its own list, which changes when the world tells."""

    def __init__(
        self, world: World, gateway: int, addresses: Callable[[int, int], str], base_ms: int
    ) -> None:
        self.world, self.gateway, self.addresses, self.base_ms = world, gateway, addresses, base_ms
        self.index = 1
        self.entries: dict[int, EndpointEntry] = {}
        self.changes: list[tuple[int, list[EndpointEntry], bool]] = []  # index, entries, whole
        self.waiting: list[tuple[AgentConnection, int]] = []
        self.untold: list[tuple[int, list[EndpointEntry]]] = []  # index, entries
        self.door = Door(f"127.30.{gateway + 1}.1", lambda: AgentConnection(self))

    def endpoint(self, entry: EndpointEntry) -> dict[str, Any]:
        since = self.world.network.start_time_us(self.gateway, entry)
        return {
            "name": f"s-{entry.server}",
            "address": self.addresses(self.gateway, entry.server),
            "zone": self.world.scenario.fleet.zones[entry.zone],
            "type": "v2" if entry.server in self.world.server_fleet.newer else "plain",
            "group": entry.rack,
            "status": entry.status,
            "weight": 1.0,
            "since_ms": self.base_ms + since // 1000 if since else 0,
        }

    def known(self) -> dict[str, Any]:
        """The whole list in discovery's form."""
        endpoints = [self.endpoint(entry) for entry in self.entries.values()]
        return {"index": self.index, "snapshot": True, "endpoints": endpoints}

    def take(self, entries: list[EndpointEntry], whole: bool) -> None:
        """The world tells of changes."""
        if whole:
            self.entries = {}
        for entry in entries:
            if entry.status == GONE:
                self.entries.pop(entry.server, None)
            else:
                self.entries[entry.server] = EndpointEntry(
                    entry.server, entry.zone, entry.rack, entry.status, entry.since_us
                )
        self.index += 1
        index = self.index
        self.changes.append((index, entries, whole))
        del self.changes[:-1000]
        self.untold.append((index, entries))
        clock = self.world.clock
        clock.at(clock.now_us() + TOLD_LATEST_US, lambda: self._count_as_told(index))
        self.flush()

    def flush(self) -> None:
        waiting, self.waiting = self.waiting, []
        for connection, since in waiting:
            self.answer(connection, since)

    def _count_as_told(self, index: int) -> None:
        for change in [change for change in self.untold if change[0] <= index]:
            self.untold.remove(change)
            self.world.registry.record_received(self.gateway, change[1])

    def answer(self, connection: AgentConnection, since: int | None) -> None:
        """Answer a call, or keep it until there is news."""
        if self.world.registry.down or (since is not None and since >= self.index):
            self.waiting.append((connection, since if since is not None else 0))
            return
        oldest = self.changes[0][0] if self.changes else self.index
        newer = [change for change in self.changes if since is not None and change[0] > since]
        if since is None or since < oldest - 1 or any(change[2] for change in newer):
            raw = self.known()
        else:
            latest = {entry.server: entry for _, entries, _ in newer for entry in entries}
            endpoints = [self.endpoint(entry) for entry in latest.values()]
            raw = {"index": self.index, "snapshot": False, "endpoints": endpoints}
        connection.write(json.dumps(raw).encode())
        self._count_as_told(self.index)


class AgentConnection(asyncio.Protocol):
    """One connection of a gateway to its agent."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.transport: asyncio.Transport | None = None
        self.reader = Reader(True, self.on_request)
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        try:
            self.reader.feed(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_request(self, message: Message, keep: bool) -> None:
        query = parse_qs(urlsplit(message.target.decode("latin-1")).query)
        since = int(query["from"][0]) if "from" in query else None
        hold_s = int(query.get("hold_ms", ["0"])[0]) / 1000
        self.agent.answer(self, since)
        if any(connection is self for connection, _ in self.agent.waiting) and hold_s:
            self.timer = asyncio.get_running_loop().call_later(hold_s, self.nothing_new)

    def nothing_new(self) -> None:
        agent = self.agent
        if agent.world.registry.down or not any(connection is self for connection, _ in agent.waiting):
            return
        agent.waiting = [(connection, since) for connection, since in agent.waiting if connection is not self]
        self.write(json.dumps({"index": agent.index, "snapshot": False, "endpoints": []}).encode())

    def write(self, body: bytes) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        agent = self.agent
        agent.waiting = [(connection, since) for connection, since in agent.waiting if connection is not self]
        if self.timer is not None:
            self.timer.cancel()


class Way(asyncio.DatagramProtocol):
    """One gateway's address for another: what it sends there is passed on, late or not at all."""

    def __init__(self, world: World, source: int, target: int, ways: dict[tuple[int, int], Way]) -> None:
        self.world, self.source, self.target, self.ways = world, source, target, ways
        self.transport: asyncio.DatagramTransport | None = None
        self.gateway: tuple[str, int] = ("", 0)  # where the gateway listens that this address is for

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    @property
    def address(self) -> str:
        assert self.transport is not None
        return "{}:{}".format(*self.transport.get_extra_info("sockname"))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        world, network = self.world, self.world.scenario.network
        if len(data) > 256:
            world.records.add("trouble", world.clock.now_us(), "long-datagram", "begins", len(data))
        lost = world.context.random.peers.random() < network.peer_loss
        if lost or not world.network.peers_reach(self.source, self.target):
            return
        due = world.clock.now_us() + int(world.context.random.peers.uniform(*network.peer_ms) * 1000)
        back = self.ways[self.target, self.source]  # the target knows the sender by this address

        def arrive() -> None:
            if back.transport is not None:
                back.transport.sendto(data, back.gateway)

        world.clock.at(due, arrive)

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there now: it is lost."""

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None


OnAnswer = Callable[
    [int, float], None
]  # status (0: the connection broke, -1: it never came up), retry-after in s


class ClientConnection(asyncio.Protocol):
    """A member's connection to a gateway: one request at a time."""

    def __init__(self, on_idle: Callable[[ClientConnection], None]) -> None:
        self.on_idle = on_idle
        self.transport: asyncio.Transport | None = None
        self.reader = Reader(False, self.on_reply)
        self.waits: OnAnswer | None = None
        self.last: OnAnswer | None = None
        self.used = False
        self.slow = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    @property
    def is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def ask(self, data: bytes, waits: OnAnswer) -> None:
        assert self.transport is not None
        self.waits = waits
        self.transport.write(data)
        if self.slow:
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(1.0, self._read_on)

    def _read_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        try:
            self.reader.feed(data)
        except httptools.HttpParserError:
            self.close()

    def on_reply(self, message: Message, keep: bool) -> None:
        waits, self.waits = self.waits, None
        retry = float(message.headers.get(b"retry-after", b"0") or 0)
        if waits is None:
            # An answer that nobody asked for: it can only be a second one to the request before.
            if self.last is not None:
                self.last(message.status, retry)
            return
        self.last = waits
        self.used = True
        if keep and message.headers.get(b"connection", b"").lower() != b"close":
            self.on_idle(self)
        else:
            self.close()
        waits(message.status, retry)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        waits, self.waits = self.waits, None
        if waits is not None:
            waits(0, 0.0)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
