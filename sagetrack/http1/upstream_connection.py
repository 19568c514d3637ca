"""An address server as this gateway reaches it: attempts at it, and one connection to it."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

from sagetrack.config.platform import Address
from sagetrack.core.bodies import Upload, nothing
from sagetrack.core.clock import now_us
from sagetrack.core.endpoints import Reply
from sagetrack.core.send_rules import ServerState
from sagetrack.http1.codec import ReplyError, ReplyReader
from sagetrack.policy.events import Outcome

if TYPE_CHECKING:
    from sagetrack.http1.connection_pool import Pools

HELD_BACK_S = 0.05  # an answer of unknown length that is not whole by then is passed on as it comes

Life = tuple[Address, int]  # where a host listens and when it started


def if_serving(server: ServerState) -> bool:
    """What nobody can lose interest in may begin while its server is there."""
    return server is ServerState.SERVING


@dataclass(slots=True, eq=False)
class Host:
    """One host as this gateway reaches it."""

    id: int
    name: str
    address: Address
    started_us: int = 0  # as discovery tells it
    drained_us: int | None = None  # when this gateway was told that it drains or is gone
    idle: list[HostConnection] = field(default_factory=list)  # the most recently used last
    open: int = 0  # connections up or coming up

    @property
    def life(self) -> Life:
        return self.address, self.started_us

    def state(self, life: Life) -> ServerState:
        """What has become of the host since it was as it was in that life."""
        if self.drained_us is not None:
            return ServerState.WITHDRAWN
        return ServerState.SERVING if self.life == life else ServerState.RESTARTED


@dataclass(slots=True, eq=False)
class Attempt:
    """One request on its way to one host, until its outcome."""

    host: Host
    payload: Callable[[int], bytes]  # of the microseconds that are left when its first byte goes out
    timeout_us: int
    on_end: Callable[[Attempt, Outcome, Reply | None], None]
    may_begin: Callable[[ServerState], bool] = if_serving
    on_first_byte: Callable[[], None] = nothing  # which goes out in this turn
    on_written: Callable[[], None] = nothing  # its last byte is with the kernel
    on_begun: Callable[[Attempt, Reply, HostConnection], None] | None = None  # the answer passes through
    on_piece: Callable[[bytes], None] = lambda data: None
    upload: Upload | None = None  # what follows the payload
    written: bool = False
    streams: bool = False  # its answer passes through
    moved_us: int = 0  # when a byte of a long body was last seen to move
    sent_us: int = 0
    latency_us: int = 0
    connection: HostConnection | None = None
    opening: asyncio.Task[object] | None = None
    timers: list[asyncio.TimerHandle] = field(default_factory=list)
    ended: bool = False

    @property
    def server(self) -> int:
        return self.host.id

    @property
    def left_us(self) -> int:
        """How long its answer will be waited for; the time of a request counts from its last byte."""
        if self.upload is not None and not self.upload.ended:
            return self.timeout_us
        return self.timeout_us - (now_us() - self.sent_us)


@dataclass(slots=True, frozen=True)
class Message:
    """A request as it goes on to a host."""

    head: bytes  # request line and headers, all but the budget and the end
    body: bytes


class HostConnection(asyncio.BufferedProtocol):
    """One connection to a host; it carries one attempt at a time."""

    __slots__ = (
        "attempt",
        "begun",
        "body_written",
        "counted",
        "flushed",
        "holding",
        "host",
        "idle_since_us",
        "life",
        "parked",
        "paused",
        "poll",
        "pools",
        "replies",
        "took_us",
        "transport",
    )

    def __init__(self, pools: Pools, host: Host, attempt: Attempt | None) -> None:
        self.pools, self.host, self.attempt = pools, host, attempt
        self.life = host.life  # the one that it leads to
        self.begun = False  # something of the attempt may have gone out
        self.parked: Attempt | None = None  # the next one, until the connection has rested
        self.transport: asyncio.Transport | None = None
        self.replies = ReplyReader(passes=True)
        self.holding: asyncio.TimerHandle | None = None  # until an answer of unknown length passes through
        self.paused = False  # the client takes no more for now
        self.body_written = True  # no more of the request is to be written
        self.flushed = True  # the last byte of what was written is with the kernel
        self.idle_since_us = 0
        self.took_us = 0  # its last answer
        self.counted = False
        self.poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        # With no room in the buffer, pause_writing tells at once that the last byte is not yet written.
        self.transport.set_write_buffer_limits(high=0)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.pools.on_connected(self)

    def is_fresh(self) -> bool:
        """False once the host has closed it, or said something unasked, seen by the loop or not yet.

        Guards against writing a request to a connection that the host has closed: it would end as a reset,
        and nobody could tell whether it has run.
        """
        transport = self.transport
        return transport is not None and not transport.is_closing() and not self.poll.poll(0)

    def write(self, data: bytes) -> bool:
        """False if the connection turned out broken before the last byte was written."""
        assert self.transport is not None
        if self.transport.is_closing():
            return False
        self.transport.write(data)
        return not self.transport.is_closing()

    def close(self) -> None:
        self.stop_holding()
        if self.transport is not None:
            self.transport.abort()

    # A request's body that passes through

    def carry(self, attempt: Attempt) -> None:
        """Begin to send what follows the payload, if anything does."""
        self.body_written = attempt.upload is None
        if attempt.upload is not None:
            attempt.moved_us = now_us()
            attempt.upload.on_data = self.pump
        self.pump()

    def pump(self) -> None:
        """Write what there is of the body, for as long as the host takes it."""
        attempt = self.attempt
        if attempt is None or self.transport is None:
            return
        upload = attempt.upload
        while upload is not None and self.flushed and upload.pieces:
            data = upload.take()
            attempt.moved_us = now_us()
            self.write(data if upload.length is not None else b"%x\r\n%s\r\n" % (len(data), data))
        if upload is not None and upload.ended and not upload.pieces and not self.body_written:
            self.body_written = True
            if upload.length is None:
                self.write(b"0\r\n\r\n")
        if self.body_written and self.flushed and not attempt.written and not self.transport.is_closing():
            attempt.written = True
            attempt.on_written()

    def pause_writing(self) -> None:
        self.flushed = False

    def resume_writing(self) -> None:
        self.flushed = True
        self.pump()

    # Answers

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.pools.buffer

    def buffer_updated(self, size: int) -> None:
        self.data_received(bytes(self.pools.buffer[:size]))

    def data_received(self, data: bytes) -> None:
        try:
            reply = self.replies.feed(data)
        except ReplyError:
            self.pools.on_garbage(self)
            return
        attempt = self.attempt
        if reply is not None:
            self.stop_holding()
            self.pools.on_reply(self, reply)
        elif attempt is None:
            self.close()
        elif attempt.streams:
            attempt.moved_us = now_us()
            attempt.on_piece(self.replies.take())
        elif self.replies.is_long:
            self.begin()
        elif self.replies.may_be_long and self.holding is None:
            self.holding = self.pools.loop.call_later(HELD_BACK_S, self.begin)

    def stop_holding(self) -> None:
        if self.holding is not None:
            self.holding.cancel()
            self.holding = None

    def begin(self) -> None:
        """From now on the answer is passed on as it comes."""
        self.stop_holding()
        attempt = self.attempt
        if attempt is None or attempt.on_begun is None:
            return
        if not attempt.written:
            self.pools.on_garbage(self)  # it can't be the answer to what it has not had
            return
        self.pools.begin_stream(attempt)
        attempt.on_begun(attempt, self.replies.begin(), self)
        body = self.replies.take()
        if self.attempt is attempt and body:
            attempt.on_piece(body)

    def pause(self) -> None:
        """The client takes no more for now."""
        if self.transport is not None and not self.paused and not self.transport.is_closing():
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.transport is not None and self.paused and not self.transport.is_closing():
            self.paused = False
            if self.attempt is not None:
                self.attempt.moved_us = now_us()
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.pools.on_lost(self)
