"""Clients that ask over UDP and TCP: accepted within limits, each query answered once, from the cache or
upstream.

Equal questions in work share one call. What the module gives up is answered at once, from a stale answer if
there is one, else with SERVFAIL and an extended error; nobody is left to wait for a time-out.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

from sagetrack.config.platform import Address
from sagetrack.core.clock import now_us
from sagetrack.core.gateway import Gateway
from sagetrack.core.interfaces import Call, Source
from sagetrack.core.transient_errors import require_sockets
from sagetrack.dns.cache import STALE_TTL_S, Cache, Hit, Subject
from sagetrack.dns.limits import Access, InWork, ResponseRate, Verdict
from sagetrack.dns.message import (
    MOST,
    OUR_SIZE,
    PLAIN_SIZE,
    TC,
    Answer,
    Extended,
    MessageError,
    Query,
    Rcode,
    error,
    parse_query,
    refused_unread,
    reply,
)

PIPELINED = 64  # queries in work on one TCP connection
IDLE_S = 10.0  # of a TCP connection with nothing to do
STUCK_S = 3.0  # an answer is not being read
HIGH = 128 * 1024  # bytes of answers that wait to be read: nothing more is taken until there are fewer
Own = Callable[[Query], Answer | None]  # an answer of our own zones


@dataclass(slots=True)
class FrontCounts:
    """Since the start. Every query taken ends as just one of answered, refused and failed."""

    queries: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    joined: int = 0  # repeats of a query in work
    shared: int = 0  # that had the same question as another
    denied: int = 0
    unreadable: int = 0
    cut: int = 0  # to fit a datagram


@dataclass(slots=True, frozen=True)
class Limits:
    """What clients may do."""

    each: int = 256  # queries in work of one client
    total: int = 10_000
    connections: int = 256
    connections_each: int = 16


@dataclass(slots=True, eq=False)
class Pending:
    """One question on its way upstream, and who waits for it."""

    subject: Subject
    waiters: list[Waiter] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Waiter:
    """One query of one client."""

    query: Query
    host: str
    key: tuple[Any, ...]
    limit: int  # bytes of its answer
    write: Callable[[bytes], None]
    udp: bool


class Front:
    """All clients of DNS."""

    def __init__(
        self,
        gateway: Gateway,
        cache: Cache,
        access: Access,
        rate: ResponseRate,
        limits: Limits,
        client_timeout_us: int,
        own: Own = lambda query: None,
        forwards: bool = True,
    ) -> None:
        self.gateway, self.cache, self.access, self.rate, self.limits = gateway, cache, access, rate, limits
        self.client_timeout_us, self.own, self.forwards = client_timeout_us, own, forwards
        self.loop = asyncio.get_running_loop()
        self.counts = FrontCounts()
        self.in_work = InWork(limits.each, limits.total)
        self.waiting: dict[tuple[Any, ...], Waiter] = {}
        self.pending: dict[Subject, Pending] = {}
        self.calls: dict[str, Pending] = {}
        self.number = 0
        self.udp: list[asyncio.DatagramTransport] = []
        self.tcp: list[asyncio.Server] = []
        self.connections: dict[TcpClient, None] = {}  # the longest idle first
        self.draining = False
        self.stands_by: Callable[[], bool] = lambda: False

    async def start(self, addresses: list[Address], shared: bool = False) -> list[Address]:
        """Listen over UDP and TCP at each; OSError if that cannot be. Returns where, ports chosen."""
        bound = []
        for host, port in addresses:
            tcp = await self.loop.create_server(
                lambda: TcpClient(self), host, port, backlog=256, reuse_port=shared
            )
            self.tcp.append(require_sockets(tcp))
            port = tcp.sockets[0].getsockname()[1]
            udp, _ = await self.loop.create_datagram_endpoint(
                lambda: UdpFront(self), (host, port), reuse_port=shared
            )
            self.udp.append(udp)
            bound.append((host, port))
        return bound

    # Queries

    def take(self, data: bytes, host: str, key: Any, udp: bool, write: Callable[[bytes], None]) -> bool:
        """One message of a client. `write` is called once at the most; False if not at all."""
        if not self.access.allows(host):
            self.counts.denied += 1
            self.answer_denied(data, host, udp, write)
            return False
        try:
            query = parse_query(data)
        except MessageError as fault:
            self.counts.unreadable += 1
            said = refused_unread(data, fault.rcode) if fault.rcode is not None else None
            if said is not None and self.may_answer(host, udp) is Verdict.ANSWER:
                write(said)
            return False
        full = (key, query.id, query.question)
        if full in self.waiting:
            self.counts.joined += 1  # the client asks again: its answer is on the way
            return False
        self.counts.queries += 1
        limit = min(max(query.size, PLAIN_SIZE), OUR_SIZE) if udp else MOST
        waiter = Waiter(query, host, full, limit, write, udp)
        own = self.own(query)
        if own is not None:
            self.counts.answered += 1
            self.give(waiter, reply(query, own, limit))
            return True
        if not self.gateway.can_serve:
            self.counts.refused += 1
            code, why = (
                (Rcode.SERVFAIL, Extended.NOT_READY)
                if self.forwards
                else (Rcode.REFUSED, Extended.NOT_AUTHORITATIVE)
            )
            self.give(waiter, error(query, code, why))
            return True
        now = now_us()
        hit = self.cache.get(query.subject, now)
        if hit is not None:
            self.counts.answered += 1
            self.give(waiter, reply(query, hit.answer, limit, hit.age_s))
            if hit.prefetch:
                self.ask(query)
            return True
        if not self.in_work.enter(host):
            self.counts.refused += 1
            self.give(waiter, error(query, Rcode.SERVFAIL, Extended.OTHER, "too many queries in work"))
            return True
        self.waiting[full] = waiter
        pending = self.pending.get(query.subject)
        if pending is not None:
            self.counts.shared += 1
            pending.waiters.append(waiter)
            return True
        self.ask(query, waiter)
        return True

    def answer_denied(self, data: bytes, host: str, udp: bool, write: Callable[[bytes], None]) -> None:
        try:
            said: bytes | None = error(parse_query(data), Rcode.REFUSED, Extended.PROHIBITED)
        except MessageError:
            said = refused_unread(data, Rcode.REFUSED)
        if said is not None and self.may_answer(host, udp) is Verdict.ANSWER:
            write(said)

    def ask(self, query: Query, waiter: Waiter | None = None) -> None:
        """Begin a call for a question; without a waiter it only refreshes the cache."""
        pending = self.pending[query.subject] = Pending(query.subject, [waiter] if waiter else [])
        self.number += 1
        call = Call(f"q{self.number:x}", 0, self.client_timeout_us, None, None, False, 0, query, self)
        self.calls[call.id] = pending
        self.gateway.submit(call)

    def over(self, call: Call) -> list[Waiter]:
        """A call is over: whoever waits for it is to be answered now."""
        pending = self.calls.pop(call.id, None)
        if pending is None:
            return []
        if self.pending.get(pending.subject) is pending:
            del self.pending[pending.subject]
        for waiter in pending.waiters:
            self.in_work.leave(waiter.host)
            self.waiting.pop(waiter.key, None)
        return pending.waiters

    def on_response(self, call: Call, answer: Answer) -> None:
        self.cache.put(call.message.subject, answer, now_us())
        for waiter in self.over(call):
            self.counts.answered += 1
            self.give(waiter, reply(waiter.query, answer, waiter.limit))

    def on_rejected(self, call: Call, retry_after_us: int) -> None:
        text = f"come back in {retry_after_us / 1e6:.1f} s" if retry_after_us else "busy"
        self.given_up(call, Extended.NOT_READY, text, refused=True)

    def on_failed(self, call: Call, timed_out: bool) -> None:
        code = Extended.NO_REACHABLE_AUTHORITY if timed_out else Extended.NETWORK_ERROR
        self.given_up(call, code, "", refused=False)

    def given_up(self, call: Call, code: Extended, text: str, refused: bool) -> None:
        subject, now = call.message.subject, now_us()
        self.cache.not_refreshed(subject)
        stale: Hit | None = self.cache.get_stale(subject, now)
        for waiter in self.over(call):
            query = waiter.query
            if stale is not None:
                self.counts.answered += 1
                answer = stale.answer
                why = Extended.STALE_NXDOMAIN if answer.rcode == Rcode.NXDOMAIN else Extended.STALE_ANSWER
                self.give(waiter, reply(query, answer, waiter.limit, 0, STALE_TTL_S, why))
                continue
            if refused:
                self.counts.refused += 1
            else:
                self.counts.failed += 1
            self.give(waiter, error(query, Rcode.SERVFAIL, code, text))

    def may_answer(self, host: str, udp: bool) -> Verdict:
        return self.rate.judge(host, now_us()) if udp else Verdict.ANSWER

    def give(self, waiter: Waiter, data: bytes) -> None:
        """The one answer to a query."""
        verdict = self.may_answer(waiter.host, waiter.udp)
        if verdict is Verdict.DROP:
            return
        if verdict is Verdict.CUT:
            data = error(waiter.query, Rcode.NOERROR, flags=TC)
        self.counts.cut += waiter.udp and bool(data[2] & 0x02)
        waiter.write(data)

    # Not of DNS: answers do not pass through in pieces

    def on_response_started(self, call: Call, head: Any, source: Source) -> None:
        raise AssertionError("DNS answers come whole")

    def on_response_data(self, call: Call, data: bytes) -> None:
        raise AssertionError("DNS answers come whole")

    def on_response_ended(self, call: Call, answer: Any) -> None:
        raise AssertionError("DNS answers come whole")

    def on_response_aborted(self, call: Call) -> None:
        raise AssertionError("DNS answers come whole")

    # Connections

    def let_in(self, client: TcpClient) -> bool:
        """Take a connection; the longest idle one yields where there are too many."""
        mine = sum(other.host == client.host for other in self.connections)
        if mine >= self.limits.connections_each or not self.access.allows(client.host):
            return False
        if len(self.connections) >= self.limits.connections:
            idle = next((other for other in self.connections if not other.busy), None)
            if idle is None:
                return False
            idle.abort()
        self.connections[client] = None
        return True

    async def leave(self, until_s: float) -> None:
        """The way out: no new connections, what is in work is answered first."""
        self.draining = True
        for server in self.tcp:
            server.close()
        while self.waiting and self.loop.time() < until_s:
            await asyncio.sleep(0.02)
        self.close()

    def close(self) -> None:
        for server in self.tcp:
            server.close()
        for transport in self.udp:
            transport.close()
        for client in list(self.connections):
            client.abort()


class UdpFront(asyncio.DatagramProtocol):
    """One address over UDP."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        transport = self.transport
        if transport is not None:
            self.front.take(data, addr[0], addr, True, lambda answer: transport.sendto(answer, addr))

    def error_received(self, exc: Exception) -> None:
        """A client has gone; its answer with it."""


class TcpClient(asyncio.Protocol):
    """One connection of a client: two-byte lengths in pieces of any size, answers in any order."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.transport: asyncio.Transport | None = None
        self.host = ""
        self.buffer = bytearray()
        self.busy = 0
        self.paused = False
        self.stuck = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        peer = transport.get_extra_info("peername")
        self.host = peer[0] if peer else ""
        self.transport.set_write_buffer_limits(high=HIGH)
        if not peer or not self.front.let_in(self):
            self.transport.abort()
            return
        self.wait(IDLE_S)

    def wait(self, time_s: float | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None if time_s is None else self.front.loop.call_later(time_s, self.abort)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        self.read()

    def read(self) -> None:
        """Take what is whole, as many as may be in work at once."""
        while len(self.buffer) >= 2 and self.busy < PIPELINED and not self.stuck:
            length = int.from_bytes(self.buffer[:2])
            if length < 12:
                self.abort()  # no message is shorter: this is no DNS
                return
            if len(self.buffer) < 2 + length:
                break
            message = bytes(self.buffer[2 : 2 + length])
            del self.buffer[: 2 + length]
            self.take(message)
        full = self.busy >= PIPELINED or self.stuck
        if self.transport is not None and full != self.paused and not self.transport.is_closing():
            self.paused = full
            if full:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()
        if not self.stuck:
            self.wait(None if self.busy else IDLE_S)

    def take(self, message: bytes) -> None:
        self.busy += 1
        said = [False]

        def write(answer: bytes) -> None:
            said[0] = True
            self.busy -= 1
            if self.transport is not None and not self.transport.is_closing():
                self.transport.write(len(answer).to_bytes(2) + answer)
                self.front.loop.call_soon(self.read_on)

        comes = self.front.take(message, self.host, self, False, write)
        if not comes and not said[0]:
            self.busy -= 1  # a repeat, whose answer is on its way, or nothing that can be answered

    def read_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            if (self.front.draining or self.front.stands_by()) and not self.busy:
                self.transport.close()
            else:
                self.read()

    def pause_writing(self) -> None:
        """The client does not read: it is given a moment, and nothing more is taken from it."""
        self.stuck = True
        self.read()
        self.wait(STUCK_S)

    def resume_writing(self) -> None:
        self.stuck = False
        self.read()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.front.connections.pop(self, None)
        self.wait(None)

    def abort(self) -> None:
        self.front.connections.pop(self, None)
        if self.transport is not None:
            self.transport.abort()
