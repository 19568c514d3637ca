"""Clients' connections: accepted within limits, answered, given up when silent; the way out at a restart."""

from __future__ import annotations

import asyncio
import errno
import resource
import socket
from collections.abc import Callable
from contextlib import suppress

from sagetrack.config.platform import Config
from sagetrack.core.bodies import Allowance
from sagetrack.core.drain import LEAVE_ACCEPT_S, Drain
from sagetrack.core.endpoints import EndpointSource, NoSiblings, SiblingProcesses
from sagetrack.core.event_trace import Step
from sagetrack.core.gateway import Gateway
from sagetrack.core.log import log
from sagetrack.core.metrics import Reasons
from sagetrack.core.peer_close import Hangups
from sagetrack.core.send_rules import FIRST_REQUEST_S, OVERDUE_S, Closing, may_take_clients
from sagetrack.http1.connection_pool import ConnectionPools
from sagetrack.http1.downstream import ClientConnection, Phase

BACKLOG = 1024  # connections that may wait to be accepted
POLL_S = 0.02  # between looks at what is still to end, during a drain
ACCEPT_AT_ONCE = 16  # connections taken in one turn of the loop
ACCEPT_AGAIN_S = 0.01  # where there is no room, and nobody can yield
# Errors of accept that a moment may mend; after any other the next connection may be taken at once
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
EXHAUSTED_TIMES = 10  # of them in a row: this process may hold fewer descriptors than it was told
# How long a connection may stay as it is, in seconds
SILENT_S = OVERDUE_S  # accepted, and no byte has come
READING_S = 2.4  # the head of a request has begun to come; for the first one since it was accepted
READ_SIZE = 64 * 1024  # bytes taken from a connection at once
KEPT_S = 20.0  # between requests
KEPT_CROWDED_S = 2.0  # the same where many connections are up
SWEEP_S = 0.2
HURRIED_S = 0.3  # who says nothing for so long goes first where descriptors run short
# Descriptors
RESERVE = 32  # for all but connections of clients and to hosts: discovery, the loop, files
HOSTS_SHARE = 0.35  # of the rest that clients leave to hosts


def descriptor_limit(wanted: int) -> int:
    """How many descriptors this process may hold, raised to so many where its own hard limit allows that."""
    try:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    except OSError:
        return wanted
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return wanted
    allowed = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
    except (OSError, ValueError):
        allowed = soft
    if allowed < wanted:
        log(f"{wanted} descriptors are configured, and this process may hold {allowed}", "warning")
    return allowed


class Server:
    """All connections of clients."""

    def __init__(self, config: Config, gateway: Gateway, pools: ConnectionPools) -> None:
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
        longest_us = max(klass.request_timeout_us for klass in config.settings.classes)
        self.drain = Drain(longest_us / 1e6)
        self.overlap: SiblingProcesses = NoSiblings()
        self.objection: Callable[[bytes], str | None] | None = None  # why a call cannot be served here
        self.describe_peers: Callable[[], list[str]] = lambda: ["messages between gateways are off"]
        self.listener: socket.socket | None = None
        self.sweeper: asyncio.TimerHandle | None = None
        self.drainer: asyncio.TimerHandle | None = None
        self.own_limit = descriptor_limit(config.sockets)
        self.exhausted = 0  # calls of accept in a row for which there was no descriptor or memory
        self.accept_errors = Reasons("accept_errors_total", "error", ())
        self.closed = Reasons("client_closes_total", "reason", ())  # by this process
        gateway.metrics.more += [self.accept_errors.figures, self.closed.figures]
        pools.on_descriptor_needed(self.make_room)

    def prepare(self, roster: EndpointSource) -> None:
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
        return may_take_clients(self.drain.is_on, self.listener is not None, self.gateway.can_serve) is None

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
            except OSError as error:
                if self.heed_accept_error(error):
                    continue
                return False
            self.exhausted = 0
            task: asyncio.Task[object] = loop.create_task(self.take(accepted))
            self.accepting.add(task)
            task.add_done_callback(self.accepting.discard)
        return False

    def heed_accept_error(self, error: OSError) -> bool:
        """Whether the next connection may be taken at once; else nothing is accepted for a moment.

        No client that is connected is to blame for it, so that none is given up, but where this process has
        used up its descriptors and goes on to fail: then one that asks for nothing.
        """
        name = errno.errorcode.get(error.errno or 0, "other")
        self.accept_errors.add(name)
        if error.errno not in EXHAUSTED:
            log(f"a connection could not be accepted: {name}", "warning", "accept")
            return True
        self.exhausted += 1
        if error.errno == errno.EMFILE and self.exhausted >= EXHAUSTED_TIMES:
            self.give_up_client(Closing.ROOM)
        log(f"nothing can be accepted for a moment: {name}", "warning", "accept")
        assert self.listener is not None
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.listener.fileno())
        loop.call_later(ACCEPT_AGAIN_S, self.accept_on)
        return False

    def accept_on(self) -> None:
        if self.listener is not None:
            asyncio.get_running_loop().add_reader(self.listener.fileno(), self.accept)

    def prepare_room(self) -> bool:
        """Have a descriptor for one more client, if need be by giving up another."""
        if self.has_room() or self.give_up_client(Closing.ROOM, HURRIED_S):
            return True
        return not self.is_full() or self.give_up_client(Closing.EXHAUSTED)

    async def take(self, accepted: socket.socket) -> None:
        with suppress(OSError):  # without it answers are as right, and a little later
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: ClientConnection(self), accepted)
        except OSError:
            accepted.close()  # it has gone already

    # Descriptors

    @property
    def sockets(self) -> int:
        """Descriptors that this process may hold: the limit is for all processes of the gateway together."""
        return min(self.config.sockets // (1 + self.overlap.others), self.own_limit)

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
        if self.is_full() and not (self.give_up_client(Closing.ROOM) or self.pools.reclaim_idle()):
            self.give_up_client(Closing.EXHAUSTED)

    def make_way(self) -> None:
        """Come down to our part where it has become smaller: a second process of this gateway has started.

        Guards against both together holding more than the limit: whoever comes later, perhaps the next
        process's call to discovery, would find no descriptor.
        """
        over = self.clients + self.pools.open + RESERVE - self.sockets
        if over <= 0:
            return
        for _ in range(over - sum(connection.deaf for connection in self.ending)):
            room = self.give_up_client(Closing.ROOM) or self.pools.reclaim_idle()
            if not (room or self.give_up_client(Closing.EXHAUSTED)):
                return

    def give_up_client(self, purpose: Closing, kept_s: float = 0.0) -> bool:
        """Close a connection on which nothing is asked, or not yet all of it: the oldest such.

        Who had its time for a head goes first, then who never spoke, then who was kept for at least `kept_s`.
        Only where nobody else can give a descriptor, who is new or still writing goes too.
        """
        now_s = asyncio.get_running_loop().time()
        candidates = [(phase, OVERDUE_S) for phase in (self.silent, self.reading, self.bodies)]
        candidates += [(self.silent, FIRST_REQUEST_S), (self.kept, kept_s)]
        if purpose is Closing.EXHAUSTED:
            candidates += [(phase, 0.0) for phase in (self.silent, self.reading, self.bodies)]
        for phase, least_s in candidates:
            for connection, since_s in phase.items():
                if now_s - since_s < least_s:
                    break
                if connection.may_close(purpose) is None:
                    connection.close(purpose.value)
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
                if connection.may_close(Closing.IDLE) is None:
                    connection.close("idle")
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

    def trace(self) -> str:
        return "".join(f"{line}\n" for line in self.gateway.trace.lines())

    def standby(self) -> bool:
        """Begin a drain, which lasts until `active`."""
        begun = self.drain.standby(asyncio.get_running_loop().time())
        self.gateway.trace.note(Step.STATE, "process", self.drain.phase.value)
        if begun and self.drainer is None:
            self.close_idle()
        return begun

    def active(self) -> bool:
        """End a drain."""
        ended = self.drain.active(asyncio.get_running_loop().time())
        self.gateway.trace.note(Step.STATE, "process", self.drain.phase.value)
        return ended

    async def leave(self) -> None:
        """The way out: every request that was taken, or waits to be accepted, is answered first.

        It takes as long as that does. What is still unanswered shortly before the process may be killed is
        given up then, in words.
        """
        loop = asyncio.get_running_loop()
        self.drain.leave(loop.time())
        self.gateway.trace.note(Step.STATE, "process", self.drain.phase.value)
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
            due = self.drain.closes_idle(now_s, connection.opened_s, connection.served)
            if due and connection.may_close(Closing.IDLE) is None:
                connection.close("drain")

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
