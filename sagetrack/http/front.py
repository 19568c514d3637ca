"""Clients' connections: accepted within limits, answered, given up when silent; the way out at a restart."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from typing import cast

from sagetrack.core.bodies import Allowance, Upload
from sagetrack.config.platform import Config, stable_id
from sagetrack.core.drain import LEAVE_ACCEPT_S, Drain
from sagetrack.core.gateway import Gateway
from sagetrack.core.interfaces import Call, Source
from sagetrack.core.calls import Alone, Header, Reply, Roster, Siblings
from sagetrack.core.hangup import Hangups, hung_up
from sagetrack.core.log import log
from sagetrack.http.back import Pools
from sagetrack.http.http1 import end_to_end
from sagetrack.http.requests import Request, RequestError, RequestReader, read_call

BACKLOG = 1024  # connections that may wait to be accepted
READY_PATH = b"/health/ready"
POLL_S = 0.02  # between looks at what is still to end, during a drain
PIPELINED = 16  # requests read ahead on one connection
ACCEPT_AT_ONCE = 16  # connections taken in one turn of the loop
ACCEPT_AGAIN_S = 0.01  # where there is no room, and nobody can yield
# How long a connection may stay as it is, in seconds
SILENT_S = 2.0  # accepted, and no byte has come
READING_S = 2.4  # the head of a request has begun to come; for the first one since it was accepted
BODY_RATE = 64_000  # bytes a second that a body comes at, at the least
BODY_GRACE_S = 2.0  # on top of that
READ_SIZE = 64 * 1024  # bytes taken from a connection at once
KEPT_S = 20.0  # between requests
KEPT_CROWDED_S = 2.0  # the same where many connections are up
LINGER_S = 0.5  # for the client to read an answer that it did not expect
STUCK_S = 2.4  # an answer is not being read
# The same for one that passes through: the kernel takes more only once a third of what it holds has been
# read, which may be more than a megabyte, and a slow client has done nothing wrong.
STREAM_STUCK_S = 30.0
SWEEP_S = 0.2
HURRIED_S = 0.3  # who says nothing for so long goes first where descriptors run short
# Descriptors
RESERVE = 32  # for all but connections of clients and to hosts: discovery, the loop, files
HOSTS_SHARE = 0.35  # of the rest that clients leave to hosts
NOT_PASSED_BACK = frozenset({b"x-load-report", b"x-rejected"})
REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    413: b"Content Too Large", 417: b"Expectation Failed", 431: b"Request Header Fields Too Large",
    501: b"Not Implemented", 502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}  # fmt: skip
Phase = dict["ClientConnection", float]  # since when each is in it, the longest first


class Server:
    """All connections of clients."""

    def __init__(self, config: Config, gateway: Gateway, pools: Pools) -> None:
        self.config, self.gateway, self.pools = config, gateway, pools
        self.connections: set[ClientConnection] = set()
        self.silent: Phase = {}
        self.reading: Phase = {}
        self.bodies: Phase = {}
        self.kept: Phase = {}
        self.ending: Phase = {}
        self.paused: set[ClientConnection] = set()  # nothing is read on them for now
        self.hangups = Hangups()  # of those
        self.accepting: set[asyncio.Task[object]] = set()
        self.allowance = Allowance(config.memory_mb)
        self.buffer = memoryview(bytearray(READ_SIZE))  # of all connections: what is read is copied at once
        longest_us = max(klass.give_up_us for klass in config.settings.classes)
        self.drain = Drain(longest_us / 1e6)
        self.overlap: Siblings = Alone()
        self.objection: Callable[[bytes], str | None] | None = None  # why a call cannot be served here
        self.describe_peers: Callable[[], list[str]] = lambda: ["messages between gateways are off"]
        self.listener: socket.socket | None = None
        self.sweeper: asyncio.TimerHandle | None = None
        self.drainer: asyncio.TimerHandle | None = None
        pools.room = self.make_room

    def prepare(self, roster: Roster) -> None:
        """Have servers from this roster: nobody is let in before there is a list of them."""
        self.gateway.share(1 + self.overlap.others)
        self.gateway.start(roster)

    def start(self, listener: socket.socket) -> None:
        """Take clients from this socket, which listens."""
        self.listener = listener
        loop = asyncio.get_running_loop()
        loop.add_reader(self.listener.fileno(), self.accept)
        self.sweeper = loop.call_later(SWEEP_S, self.sweep)
        self.overlap.serve()

    @property
    def is_ready(self) -> bool:
        return not self.drain.is_on and self.listener is not None and self.gateway.can_serve

    # Connections in

    def accept(self, most: int = ACCEPT_AT_ONCE) -> bool:
        """Take what waits, a few in a turn, so that a crowd is met by giving up others, not by an error.

        True if nothing waits any more.
        """
        loop = asyncio.get_running_loop()
        for _ in range(most):
            if self.listener is None:
                return True
            if not self.prepare_room():
                # What has been accepted is read first: some of it will be able to yield, or be answered.
                loop.remove_reader(self.listener.fileno())
                loop.call_later(ACCEPT_AGAIN_S, self.accept_on)
                return False
            try:
                accepted, _ = self.listener.accept()
            except BlockingIOError:
                return True
            except (InterruptedError, ConnectionError):
                return False
            except OSError as error:
                log(f"cannot accept: {error.strerror}")
                self.give_up_client(0.0)
                return False
            task: asyncio.Task[object] = loop.create_task(self.take(accepted))
            self.accepting.add(task)
            task.add_done_callback(self.accepting.discard)
        return False

    def accept_on(self) -> None:
        if self.listener is not None:
            asyncio.get_running_loop().add_reader(self.listener.fileno(), self.accept)

    def prepare_room(self) -> bool:
        """Have a descriptor for one more client, if need be by giving up another."""
        if self.has_room() or self.give_up_client(HURRIED_S):
            return True
        return not self.is_full() or self.give_up_client(0.0)

    async def take(self, accepted: socket.socket) -> None:
        try:
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await asyncio.get_running_loop().connect_accepted_socket(lambda: ClientConnection(self), accepted)
        except OSError:
            accepted.close()  # it has gone already

    # Descriptors

    @property
    def sockets(self) -> int:
        """Descriptors that this process may hold: the limit is for all processes of the gateway together."""
        return self.config.sockets // (1 + self.overlap.others)

    @property
    def most(self) -> int:
        """Connections of clients, so that hosts keep their part."""
        return int((self.sockets - RESERVE) * (1 - HOSTS_SHARE))

    @property
    def clients(self) -> int:
        return len(self.connections) + len(self.accepting)

    def has_room(self) -> bool:
        return self.clients < self.most and not self.is_full()

    def is_full(self) -> bool:
        return self.clients + self.pools.open + RESERVE >= self.sockets

    def make_room(self) -> None:
        """Before a connection to a host is opened: clients that ask nothing yield first.

        Guards against a handshake for each request, as silent clients crowd out kept connections to hosts.
        """
        if self.is_full() and not self.give_up_client(0.0):
            self.pools.give_up_idle()

    def make_way(self) -> None:
        """Come down to our part where it has become smaller: a second process of this gateway has started.

        Guards against both together holding more than the limit: whoever comes later, perhaps the next
        process's call to discovery, would find no descriptor.
        """
        over = self.clients + self.pools.open + RESERVE - self.sockets
        if over <= 0:
            return
        for _ in range(over - sum(connection.deaf for connection in self.ending)):
            if not (self.give_up_client(HURRIED_S) or self.give_up_client(0.0) or self.pools.give_up_idle()):
                return

    def give_up_client(self, age_s: float) -> bool:
        """Close a connection on which nothing is asked, or not yet all of it: the oldest such.

        Who had 2 s for a head goes first, then who never spoke or was kept; who is still writing goes last,
        and only where no more than `age_s` of 0 is asked for.
        """
        now_s = asyncio.get_running_loop().time()
        overdue = [(phase, SILENT_S) for phase in (self.silent, self.reading, self.bodies)]
        asking = [(phase, 0.0) for phase in (self.reading, self.bodies) if age_s <= 0.0]
        for phase, least_s in (*overdue, (self.silent, age_s), (self.kept, age_s), *asking):
            for connection, since_s in phase.items():
                if now_s - since_s < least_s:
                    break
                if connection.may_yield():
                    connection.close()
                    return True
        return False

    def sweep(self) -> None:
        """Close what has stayed as it is for too long."""
        loop = asyncio.get_running_loop()
        others = self.overlap.others
        self.overlap.look()
        if self.overlap.others != others:
            self.gateway.share(1 + self.overlap.others)
        self.make_way()
        self.sweeper = loop.call_later(SWEEP_S, self.sweep)
        now_s = loop.time()
        kept_s = KEPT_CROWDED_S if self.clients > self.most / 3 else KEPT_S
        for phase, limit_s in ((self.silent, SILENT_S), (self.kept, kept_s)):
            for connection, since_s in list(phase.items()):
                if now_s - since_s < limit_s:
                    break
                if connection.is_idle():
                    connection.close()
        for connection, since_s in list(self.reading.items()):
            if now_s - since_s >= READING_S:
                connection.give_up_reading()
        for connection, since_s in list(self.bodies.items()):
            connection.check_pace(now_s, since_s)
        for connection, end_s in list(self.ending.items()):
            if now_s >= end_s:
                connection.abort()

    # Drains and the way out

    def status(self) -> bool:
        return self.is_ready

    def stats(self) -> str:
        return self.gateway.metrics.render()

    def peers(self) -> str:
        return "".join(f"{line}\n" for line in self.describe_peers())

    def standby(self) -> bool:
        """Begin a drain, which lasts until `active`."""
        begun = self.drain.standby(asyncio.get_running_loop().time())
        if begun and self.drainer is None:
            self.close_idle()
        return begun

    def active(self) -> bool:
        """End a drain."""
        return self.drain.active(asyncio.get_running_loop().time())

    async def leave(self) -> None:
        """The way out: every request that was taken, or waits to be accepted, is answered first.

        It takes as long as that does. What is still unanswered shortly before the process may be killed is
        given up then, in words.
        """
        loop = asyncio.get_running_loop()
        self.drain.leave(loop.time())
        self.gateway.leave_by(self.drain.words_s - loop.time())
        self.overlap.begin_leaving()
        self.overlap.look()
        if self.overlap.serving:
            self.stop_listening()  # another process takes what waits and what comes
        self.close_idle()
        while self.listener is not None or self.connections or self.accepting:
            if self.listener is not None and loop.time() >= self.drain.since_s + LEAVE_ACCEPT_S:
                self.stop_listening()
            if self.listener is None and not self.drain.awaits_unfinished(loop.time()):
                for connection in list(self.connections):
                    connection.turn_away()
            await asyncio.sleep(POLL_S)

    def stop_listening(self) -> None:
        """Close our descriptor; a shared socket goes on, and what waits there is another's if one serves."""
        if self.listener is not None:
            if not self.overlap.serving and not self.accept(BACKLOG):
                return  # there is no room for one that waits, until others have had their answers
            asyncio.get_running_loop().remove_reader(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def close_idle(self) -> None:
        """During a drain: close what has nothing to do, as soon as its time has come."""
        loop = asyncio.get_running_loop()
        self.drainer = loop.call_later(POLL_S, self.close_idle) if self.drain.is_on else None
        now_s = loop.time()
        for connection in list(self.connections):
            if self.drain.closes_idle(now_s, connection.opened_s, connection.served) and connection.is_idle():
                connection.close()

    def close(self) -> None:
        """Give up everything at once."""
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener.fileno())
            self.listener.close()
            self.listener = None
        for timer in (self.sweeper, self.drainer):
            if timer is not None:
                timer.cancel()
        self.overlap.leave()
        for connection in list(self.connections):
            connection.abort()
        self.hangups.close()


class ClientConnection(asyncio.BufferedProtocol):
    """One connection of a client; its requests are answered one after the other."""

    __slots__ = (
        "call", "chunked", "current", "deaf", "descriptor", "last", "opened_s", "paused_s", "phase", "poll",
        "reader", "served", "server", "source", "stuck", "swallowing", "transport",
    )  # fmt: skip

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.reader = RequestReader(server.allowance)
        self.source: Source | None = None  # of the answer that passes through
        self.chunked = False  # how that one is framed
        self.last = False  # and whether the connection ends with it
        self.swallowing: Upload | None = None  # the rest of a body whose request has had its answer
        self.paused_s: float | None = None  # since when nothing is read
        self.phase: Phase | None = None
        self.opened_s = 0.0
        self.served = False  # has had an answer
        self.current: Request | None = None  # taken and not yet answered
        self.call: Call | None = None  # the same in the module's terms
        self.deaf = False  # nothing more is read as a request
        self.stuck = False  # the client does not read its answers
        self.descriptor = -1
        self.poll = select.poll()

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.descriptor = transport.get_extra_info("socket").fileno()
        self.poll.register(self.descriptor, select.POLLIN | select.POLLRDHUP)
        self.opened_s = asyncio.get_running_loop().time()
        self.server.connections.add(self)
        self.enter(self.server.silent, self.opened_s)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)
        self.unwatch()
        self.enter(None)
        self.deaf = True
        self.drop_calls()

    def eof_received(self) -> None:
        """The client has gone, though what was written to it may still be flushed."""
        self.drop_calls()
        self.close()

    def drop_calls(self) -> None:
        """Nothing goes on for a client that has gone, and nothing of what it has sent is taken."""
        self.reader.done.clear()
        self.source = None
        call, self.call = self.call, None
        if call is not None:
            self.server.gateway.leave(call.id)
        if self.reader.upload is not None:
            self.reader.upload.fail()

    def unwatch(self) -> None:
        if self in self.server.paused:
            self.server.paused.discard(self)
            self.server.hangups.forget(self.descriptor)

    def enter(self, phase: Phase | None, since_s: float | None = None) -> None:
        """Note what this connection waits for, for the sweep."""
        if phase is self.phase:
            return
        if self.phase is not None:
            self.phase.pop(self, None)
        self.phase = phase
        if phase is not None:
            phase[self] = asyncio.get_running_loop().time() if since_s is None else since_s

    def settle(self) -> None:
        """Enter the phase that follows from what has come and what is owed."""
        server = self.server
        if self.deaf:
            return
        upload = self.reader.upload
        if self.stuck:
            stuck_s = STUCK_S if self.source is None else STREAM_STUCK_S
            self.enter(server.ending, asyncio.get_running_loop().time() + stuck_s)
        elif upload is not None and self.current is not None and self.current.upload is upload:
            self.enter(server.bodies)
        elif self.current is not None or self.reader.done:
            self.enter(None)
        elif self.reader.in_body:
            self.enter(server.bodies)
        elif self.reader.has_begun:
            self.enter(server.reading, None if self.served else self.opened_s)
        elif self.served or self.phase is not server.silent:
            self.enter(server.kept)

    def is_idle(self) -> bool:
        """Whether it may be closed: nothing is owed, nothing has begun, nothing waits to be read.

        Guards against losing a request that has reached this machine and not yet this program, and one that a
        client sends for the second time, on a new connection, since the first crossed the end of its old one.
        """
        if self.deaf or self.current is not None or self.reader.done or self.reader.has_begun:
            return False
        return not self.poll.poll(0)

    def may_yield(self) -> bool:
        """Whether it may be closed to make room: nothing on it was taken."""
        if self.phase is self.server.silent or self.phase is self.server.kept:
            return self.is_idle()
        # What has reached this machine may be the end of a request.
        return self.current is None and not self.reader.done and not self.deaf and not self.poll.poll(0)

    def heed_end(self) -> None:
        """Hear that the client has gone while nothing is read here, where the loop does not look."""
        if hung_up(self.poll):
            self.on_hangup()

    def on_hangup(self) -> None:
        self.abort()
        self.drop_calls()

    def has_gone(self) -> bool:
        """Whether the client of a call has hung up, heard or not: asked before anything goes out for it."""
        return self.transport is None or self.transport.is_closing() or hung_up(self.poll)

    def turn_away(self) -> None:
        """On the way out: refuse in words a request that has begun and is not whole by now.

        A close without a word could cross its last byte, with which it is owed an answer.
        """
        if not self.may_yield():
            return
        if self.phase is self.server.reading or self.phase is self.server.bodies:
            self.give_up_reading(RequestError(503, "this gateway is leaving: ask again"))
        else:
            self.close()

    def close(self) -> None:
        """Close once what was written is with the client, and within bounds."""
        self.deaf = True
        if self.transport is not None:
            self.enter(self.server.ending, asyncio.get_running_loop().time() + STUCK_S)
            self.transport.close()

    def abort(self) -> None:
        self.deaf = True
        self.enter(None)
        if self.transport is not None:
            self.transport.abort()

    def pause_writing(self) -> None:
        self.stuck = True
        if self.source is not None:
            self.source.pause()
        self.settle()

    def resume_writing(self) -> None:
        self.stuck = False
        if self.source is not None:
            self.source.resume()
        self.settle()
        self.take_next_soon()

    # Reading

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.server.buffer

    def buffer_updated(self, size: int) -> None:
        self.data_received(bytes(self.server.buffer[:size]))

    def data_received(self, data: bytes) -> None:
        if self.deaf:
            return  # what follows a request that can't be read, until the connection ends
        self.read(data)
        self.take_next()
        self.settle()

    def read(self, data: bytes) -> None:
        assert self.transport is not None
        self.reader.feed(data, PIPELINED)
        self.heed_fault()
        if self.deaf:
            return
        if self.reader.is_broken or self.reader.rest:
            if self.paused_s is None:
                self.paused_s = asyncio.get_running_loop().time()
                self.transport.pause_reading()
                self.server.paused.add(self)
                self.server.hangups.watch(self.descriptor, self.on_hangup)
        elif self.paused_s is not None:
            if self in self.server.bodies:  # the pause was not the client's
                self.server.bodies[self] += asyncio.get_running_loop().time() - self.paused_s
            self.paused_s = None
            self.unwatch()
            self.transport.resume_reading()
        self.invite()

    def read_on(self) -> None:
        """There is room again for what was left unparsed."""
        if self.transport is None or self.deaf or self.transport.is_closing():
            return
        if self.reader.rest:
            self.read(b"")
            self.take_next()
        self.settle()

    def read_on_soon(self) -> None:
        asyncio.get_running_loop().call_soon(self.read_on)

    def invite(self) -> None:
        """Say `100 Continue` to a client that waits for it, once its request is the next to be answered."""
        reader = self.reader
        ahead = self.current is not None and self.current is not reader.reading
        ahead = ahead or any(request is not reader.reading for request in reader.done)
        if not reader.expects or ahead or self.deaf or self.swallowing is not None or self.transport is None:
            return
        reader.expects = False
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def heed_fault(self) -> None:
        """A long body that was being passed on can't be read to its end."""
        request = self.current
        if self.swallowing is not None and self.reader.is_broken:
            self.close()
        if request is None or request.upload is None or request.fault is None:
            return
        call, self.call = self.call, None
        if call is not None:
            self.server.gateway.leave(call.id)
        if self.source is not None:
            self.abort()  # its answer has begun: the client can tell that it is not whole
        else:
            self.answer(request.fault.status, request.fault.headers, f"{request.fault}\n".encode())

    def check_pace(self, now_s: float, since_s: float) -> None:
        """Give up a body that comes too slowly, unless it is we who do not read."""
        if self.paused_s is None and now_s - since_s > BODY_GRACE_S + self.reader.received / BODY_RATE:
            self.give_up_reading()

    def give_up_reading(self, fault: RequestError | None = None) -> None:
        """The rest of a request has not come in time."""
        self.reader.break_off(fault or RequestError(408, "the request did not come in time"))
        self.heed_fault()
        self.take_next()

    # Answering

    def take_next(self) -> None:
        """Take the next request that was read, once the one before is answered."""
        if self.current is not None or self.stuck or self.transport is None or self.deaf:
            return
        if self.paused_s is not None:
            self.heed_end()
        if not self.reader.done and self.reader.rest:
            self.read(b"")
        if not self.reader.done or self.deaf or self.swallowing is not None:
            return
        request = self.current = self.reader.done.popleft()
        try:
            self.take(request)
        except RequestError as error:
            self.answer(error.status, error.headers, f"{error}\n".encode())
        self.invite()

    def take(self, request: Request) -> None:
        if request.fault is not None:
            raise request.fault
        if request.upload is not None:
            request.upload.on_room = self.read_on_soon
        path = request.target.partition(b"?")[0]
        if path == READY_PATH:
            if request.method not in (b"GET", b"HEAD"):
                raise RequestError(405, "GET it", (b"Allow", b"GET, HEAD"))
            self.answer(200 if self.server.is_ready else 503, [], b"")
            return
        call = read_call(request, path, self.server.config, self)
        objection = self.server.objection
        if objection is not None and (why := objection(call.message.head)) is not None:
            raise RequestError(400, why)
        self.call = call
        call.has_gone = self.has_gone
        if not call.who and self.server.config.settings.door is not None:
            call.who = self.address_id()
        if not self.server.gateway.arrive(call):
            self.call = None
            raise RequestError(400, "this X-Call-Id is in use")

    def address_id(self) -> int:
        """A client that has no name is known by its address, which it may share: hence the sign."""
        assert self.transport is not None
        peer = self.transport.get_extra_info("peername")
        return -stable_id(peer[0], 8) if peer else 0

    def on_served(self, call: Call, reply: Reply) -> None:
        if self.call is call:
            self.answer(200, end_to_end(reply.headers, NOT_PASSED_BACK), reply.body)

    def on_refused(self, call: Call, retry_after_us: int) -> None:
        if self.call is call:
            told = b"%.3f" % (retry_after_us / 1e6)
            if self.server.config.whole_seconds:  # not before it is due
                told = b"%d" % -(-retry_after_us // 1_000_000)
            after = [(b"Retry-After", told)] if retry_after_us > 0 else []
            self.answer(503, after, b"")

    def on_failed(self, call: Call, timed_out: bool) -> None:
        if self.call is call:
            self.answer(504 if timed_out else 502, [], b"")

    def answer(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write the whole answer at once, and go on with the next request."""
        request, transport = self.current, self.transport
        assert request is not None and transport is not None
        lines = [b"HTTP/1.1 %d %s" % (status, REASONS[status])]
        lines += [b"%s: %s" % pair for pair in headers]
        lines += [b"Content-Length: %d" % len(body)]
        last = self.is_last(request)
        if last:
            lines.append(b"Connection: close")
        if request.method == b"HEAD":
            body = b""
        transport.write(b"%s\r\n\r\n%s" % (b"\r\n".join(lines), body))
        self.go_on(request, last)

    def is_last(self, request: Request) -> bool:
        """Whether the connection ends with the answer to this request."""
        if request.upload is not None and not request.upload.ended:
            return True  # its body is not whole yet, and nobody waits for the rest
        # What was read is answered, on the way out too, but not without end.
        more = bool(self.reader.done) or self.reader.has_begun
        drain = self.server.drain
        if drain.is_on and more and drain.is_past_words(asyncio.get_running_loop().time()):
            more = False
        return not request.keep_alive or (drain.is_on and not more)

    def go_on(self, request: Request, last: bool) -> None:
        """After an answer: the next request, or the end."""
        self.current = self.call = None
        self.served = True
        if not last:
            self.take_next_soon()
            self.settle()
            return
        self.reader.done.clear()
        if request.upload is not None and not request.upload.is_over:
            self.swallow(request.upload)
        else:
            self.end(linger=request.fault is not None)

    def swallow(self, upload: Upload) -> None:
        """Read the rest of a body that nobody wants, and close then.

        Guards against a reset that overtakes the answer: the client reads it when it has sent everything.
        """
        self.swallowing = upload
        upload.discard()
        upload.on_end = self.close
        self.enter(self.server.bodies)

    def on_begun(self, call: Call, head: Reply, source: Source) -> None:
        request, transport = self.current, self.transport
        if self.call is not call or request is None or transport is None:
            return
        self.source = source
        self.chunked = head.length is None and request.version == "1.1"
        self.last = self.is_last(request) or (head.length is None and not self.chunked)
        lines = [b"HTTP/1.1 200 OK"]
        lines += [b"%s: %s" % pair for pair in end_to_end(head.headers, NOT_PASSED_BACK)]
        if head.length is not None:
            lines.append(b"Content-Length: %d" % head.length)
        elif self.chunked:
            lines.append(b"Transfer-Encoding: chunked")
        if self.last:
            lines.append(b"Connection: close")
        transport.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def on_piece(self, call: Call, data: bytes) -> None:
        if self.call is call and self.transport is not None and data:
            self.transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self.chunked else data)

    def on_ended(self, call: Call, reply: Reply) -> None:
        request = self.current
        if self.call is not call or request is None or self.transport is None:
            return
        self.on_piece(call, reply.body)
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self.source = None
        self.go_on(request, self.last)

    def on_broken(self, call: Call) -> None:
        if self.call is call:
            self.call = self.source = None
            self.abort()  # the client can tell that what it has is not whole

    def take_next_soon(self) -> None:
        if self.reader.done or self.reader.rest:
            asyncio.get_running_loop().call_soon(self.take_next)

    def end(self, linger: bool) -> None:
        """Close once the answer is written.

        Guards against a reset that overtakes the answer where the client has still more to say: then it is
        left to read first. What it says meanwhile is left with the kernel, which holds little of it.
        """
        if not linger:
            self.close()
            return
        self.deaf = True
        assert self.transport is not None
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.enter(self.server.ending, asyncio.get_running_loop().time() + LINGER_S)
