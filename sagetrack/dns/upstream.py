"""Upstream DNS servers: attempts over UDP, the same attempt over TCP when the answer is cut; how each ends.

Ids are random and unique on a socket, source ports the kernel's random ones, changed every few seconds;
sockets are connected, so that an answer from another address never reaches us. What does not match is counted
and passed over, and the attempt goes on waiting (RFC 5452).
"""

from __future__ import annotations

import asyncio
import secrets
import socket
from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import cast

from sagetrack.config.platform import Address
from sagetrack.core.clock import now_us
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.interfaces import AttemptObserver, Call
from sagetrack.core.send_rules import ServerState
from sagetrack.dns.message import Answer, MessageError, Query, Rcode, parse_answer, upstream_query
from sagetrack.policy.events import LoadReport, Outcome, ServerStatus
from sagetrack.policy.settings import Settings

SOCKETS = 4  # to one server at once
SOCKET_QUERIES = 256  # then it gives way to one with another port
SOCKET_US = 5_000_000
READ_AT_ONCE = 64  # datagrams taken in one turn of the loop
TCP_IDLE_S = 8.0
GOOD = frozenset({Rcode.NOERROR, Rcode.NXDOMAIN})


@dataclass(slots=True)
class BackCounts:
    """Since the start."""

    udp: int = 0
    tcp: int = 0  # attempts that went on over TCP
    unmatched: int = 0  # late, forged or doubled
    spoilt: int = 0


@dataclass(slots=True, eq=False)
class Upstream:
    """One server as it is listed."""

    id: int
    name: str
    address: Address
    started_us: int = 0
    drained_us: int | None = None
    sockets: list[UdpSocket] = field(default_factory=list)
    line: TcpLine | None = None
    turn: int = 0

    @property
    def state(self) -> ServerState:
        return ServerState.SERVING if self.drained_us is None else ServerState.WITHDRAWN


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a query, until its outcome."""

    upstream: Upstream
    query: Query
    watcher: AttemptObserver
    sent_us: int
    latency_us: int = 0
    ended: bool = False
    timer: asyncio.TimerHandle | None = None
    at: UdpSocket | TcpLine | None = None
    id: int = 0
    written: bool = False

    @property
    def server(self) -> int:
        return self.upstream.id


class UdpSocket:
    """One connected socket; several queries wait on it, told apart by id and question."""

    def __init__(self, pool: Upstreams, upstream: Upstream) -> None:
        self.pool, self.upstream = pool, upstream
        family = socket.AF_INET6 if ":" in upstream.address[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.waiting: dict[int, Attempt] = {}
        self.used = 0
        self.until_us = now_us() + SOCKET_US
        self.retired = False
        self.closed = False
        try:
            self.socket.connect(upstream.address)
        except OSError:
            self.socket.close()
            raise
        pool.loop.add_reader(self.socket.fileno(), self.on_readable)

    def send(self, attempt: Attempt) -> bool:
        """False if it could not be sent."""
        self.used += 1
        id_ = secrets.randbits(16)
        while id_ in self.waiting:
            id_ = secrets.randbits(16)
        try:
            self.socket.send(upstream_query(attempt.query, id_))
        except OSError:
            return False
        attempt.id, attempt.at = id_, self
        self.waiting[id_] = attempt
        return True

    def on_readable(self) -> None:
        for _ in range(READ_AT_ONCE):
            if self.closed:
                return
            try:
                data = self.socket.recv(65_535)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # The port is closed there: nothing that waits here has run.
                for attempt in list(self.waiting.values()):
                    self.pool.end(attempt, Outcome.CONNECT_FAILED)
                return
            self.take(data)

    def take(self, data: bytes) -> None:
        attempt = self.waiting.get(int.from_bytes(data[:2])) if len(data) >= 12 else None
        if attempt is None:
            self.pool.counts.unmatched += 1
            return
        try:
            answer = parse_answer(data, attempt.query, attempt.id)
        except MessageError:
            self.pool.counts.spoilt += 1
            self.pool.end(attempt, Outcome.ERROR)
            return
        if answer is None:
            self.pool.counts.unmatched += 1
        elif answer.truncated:
            self.forget(attempt)
            self.pool.over_tcp(attempt)
        else:
            self.pool.answered(attempt, answer)

    def forget(self, attempt: Attempt) -> None:
        if self.waiting.get(attempt.id) is attempt:
            del self.waiting[attempt.id]
        if self.retired and not self.waiting:
            self.close()

    def retire(self) -> None:
        """Take no more; closed once nothing waits."""
        self.retired = True
        if not self.waiting:
            self.close()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.pool.loop.remove_reader(self.socket.fileno())
            self.socket.close()


class TcpLine(asyncio.Protocol):
    """A connection to one server: many queries at once, answered in any order (RFC 7766)."""

    def __init__(self, pool: Upstreams, upstream: Upstream) -> None:
        self.pool, self.upstream = pool, upstream
        self.transport: asyncio.Transport | None = None
        self.waiting: dict[int, Attempt] = {}
        self.early: deque[Attempt] = deque()
        self.buffer = bytearray()
        self.idle: asyncio.TimerHandle | None = None
        self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        while self.early:
            attempt = self.early.popleft()
            if attempt.watcher.may_begin(self.upstream.state):
                self.write(attempt)
            else:
                self.pool.end(attempt, Outcome.CANCELLED)  # it has run over UDP

    def send(self, attempt: Attempt) -> None:
        attempt.at = self
        if self.transport is None:
            self.early.append(attempt)
        else:
            self.write(attempt)

    def write(self, attempt: Attempt) -> None:
        assert self.transport is not None
        if attempt.ended:
            return
        id_ = secrets.randbits(16)
        while id_ in self.waiting:
            id_ = secrets.randbits(16)
        attempt.id = id_
        self.waiting[id_] = attempt
        data = upstream_query(attempt.query, id_)
        self.transport.write(len(data).to_bytes(2) + data)
        if self.idle is not None:
            self.idle.cancel()
            self.idle = None

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while len(self.buffer) >= 2 and not self.over:
            length = int.from_bytes(self.buffer[:2])
            if len(self.buffer) < 2 + length:
                return
            message = bytes(self.buffer[2 : 2 + length])
            del self.buffer[: 2 + length]
            self.take(message)

    def take(self, data: bytes) -> None:
        attempt = self.waiting.get(int.from_bytes(data[:2])) if len(data) >= 12 else None
        if attempt is None:
            self.pool.counts.unmatched += 1
            if len(data) < 12:
                self.close()  # it does not speak DNS, or a length went wrong
            return
        try:
            answer = parse_answer(data, attempt.query, attempt.id)
        except MessageError:
            answer = None
        if answer is None:
            self.pool.counts.spoilt += 1
            self.pool.end(attempt, Outcome.ERROR)
        else:
            self.pool.answered(attempt, answer)

    def forget(self, attempt: Attempt) -> None:
        if self.waiting.get(attempt.id) is attempt:
            del self.waiting[attempt.id]
        if attempt in self.early:
            self.early.remove(attempt)
        if not self.waiting and not self.early and self.idle is None:
            self.idle = self.pool.loop.call_later(TCP_IDLE_S, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail(Outcome.RESET)

    def fail(self, outcome: Outcome) -> None:
        self.over = True
        if self.idle is not None:
            self.idle.cancel()
        if self.upstream.line is self:
            self.upstream.line = None
        for attempt in [*self.waiting.values(), *self.early]:
            self.pool.end(attempt, outcome)

    def close(self) -> None:
        if self.upstream.line is self:
            self.upstream.line = None
        if self.transport is not None:
            self.transport.abort()


class Upstreams:
    """Carries queries to upstream servers. Every attempt ends once, by its watcher's `on_attempt_ended`."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.servers: dict[int, Upstream] = {}
        self.counts = BackCounts()
        self.opening: set[asyncio.Task[object]] = set()

    @property
    def listed(self) -> Collection[int]:
        return self.servers.keys()

    def server_start_times(self) -> dict[int, int]:
        return {number: server.started_us for number, server in self.servers.items()}

    def put(self, entry: Endpoint) -> None:
        listed = entry.listed
        known = self.servers.get(listed.server)
        if known is None or (known.address, known.started_us) != (entry.address, listed.started_us):
            if known is not None:
                self.close_idle(known.id)
            known = Upstream(listed.server, entry.name, entry.address, listed.started_us)
            self.servers[listed.server] = known
        if listed.status is ServerStatus.READY:
            known.drained_us = None
        elif known.drained_us is None:
            known.drained_us = now_us()

    def remove(self, server: int) -> None:
        known = self.servers.pop(server, None)
        if known is not None:
            known.drained_us = known.drained_us or now_us()
            self.retire(known)

    def retire(self, upstream: Upstream) -> None:
        for udp in upstream.sockets:
            udp.retire()
        upstream.sockets.clear()

    def close_idle(self, server: int) -> None:
        known = self.servers.get(server)
        if known is not None:
            self.retire(known)
            if known.line is not None and not known.line.waiting:
                known.line.close()

    def probe(self, server: int, told: Callable[[Outcome, int, LoadReport | None], None]) -> None:
        """Upstream servers are never probed."""

    # Attempts

    def begin(self, call: Call, server: int, wait_us: int, watcher: AttemptObserver) -> Attempt | None:
        upstream = self.servers.get(server)
        if upstream is None:
            return None
        now = now_us()
        attempt = Attempt(upstream, call.message, watcher, now)
        if not watcher.may_begin(upstream.state):
            self.end(attempt, Outcome.NOT_SENT)  # see http/back
            return attempt
        attempt.timer = self.loop.call_later(wait_us / 1e6, self.on_timeout, attempt)
        watcher.on_first_byte()
        try:
            sent = self.socket_to(upstream, now).send(attempt)
        except OSError:
            sent = False
        if not sent:
            self.end(attempt, Outcome.CONNECT_FAILED)
            return attempt
        self.counts.udp += 1
        attempt.written = True
        watcher.on_request_sent()
        return attempt

    def socket_to(self, upstream: Upstream, now: int) -> UdpSocket:
        """The next of a few sockets in turn; one that has served its time gives way to another port."""
        upstream.turn = (upstream.turn + 1) % SOCKETS
        if upstream.turn >= len(upstream.sockets):
            upstream.sockets.append(UdpSocket(self, upstream))
            return upstream.sockets[-1]
        udp = upstream.sockets[upstream.turn]
        if udp.closed or udp.used >= SOCKET_QUERIES or now >= udp.until_us:
            udp.retire()
            udp = upstream.sockets[upstream.turn] = UdpSocket(self, upstream)
        return udp

    def over_tcp(self, attempt: Attempt) -> None:
        """The answer did not fit: the same attempt asks again over TCP, and its time runs on."""
        self.counts.tcp += 1
        upstream = attempt.upstream
        line = upstream.line
        if line is None or line.over:
            line = upstream.line = TcpLine(self, upstream)
            task: asyncio.Task[object] = self.loop.create_task(self.open(line))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)
        line.send(attempt)

    async def open(self, line: TcpLine) -> None:
        try:
            async with asyncio.timeout(self.settings.connect_timeout_us / 1e6):
                await self.loop.create_connection(lambda: line, *line.upstream.address)
        except (OSError, TimeoutError):
            line.fail(Outcome.ERROR)  # the query has run over UDP

    def answered(self, attempt: Attempt, answer: Answer) -> None:
        good = answer.rcode in GOOD
        self.end(attempt, Outcome.OK if good else Outcome.ERROR, answer if good else None)

    def on_timeout(self, attempt: Attempt) -> None:
        self.end(attempt, Outcome.TIMEOUT)

    def cancel(self, attempt: Attempt) -> None:
        self.end(attempt, Outcome.CANCELLED)

    def cancel_unsent(self, attempt: Attempt) -> None:
        if isinstance(attempt.at, TcpLine) and attempt in attempt.at.early:
            self.end(attempt, Outcome.CANCELLED)  # it has run over UDP

    def end(self, attempt: Attempt, outcome: Outcome, answer: Answer | None = None) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        attempt.latency_us = now_us() - attempt.sent_us
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.at is not None:
            attempt.at.forget(attempt)
        attempt.watcher.on_attempt_ended(attempt, outcome, answer, None)

    def close(self) -> None:
        for task in self.opening:
            task.cancel()
        for upstream in self.servers.values():
            for udp in upstream.sockets:
                udp.close()
            if upstream.line is not None:
                upstream.line.close()
