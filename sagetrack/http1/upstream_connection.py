"""An upstream server, the attempts at it, and one connection to it."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, cast

from sagetrack.config.platform import Address
from sagetrack.core.bodies import StreamedBody, do_nothing
from sagetrack.core.clock import now_us
from sagetrack.core.responses import Response
from sagetrack.core.send_rules import ServerState
from sagetrack.http1.codec import ResponseError, ResponseReader
from sagetrack.policy.events import Outcome

STREAM_AFTER_S = 0.05  # a response of unknown length that is incomplete by then is streamed

Incarnation = tuple[Address, int]  # where a server listens and when it started


def if_serving(server: ServerState) -> bool:
    """The send rule of attempts without a client, as probes: as long as the server is there."""
    return server is ServerState.SERVING


@dataclass(slots=True, eq=False)
class UpstreamServer:
    """One upstream server: its address, its drain state and its pool of idle connections."""

    id: int
    name: str
    address: Address
    started_us: int = 0  # as discovery reports it
    drained_us: int | None = None  # when this gateway learned that it drains or is gone
    idle: list[UpstreamConnection] = field(default_factory=list)  # the most recently used last
    open: int = 0  # connections up or coming up

    @property
    def incarnation(self) -> Incarnation:
        """The address and start time that tell a restarted or moved server from the one before."""
        return self.address, self.started_us

    def state(self, incarnation: Incarnation) -> ServerState:
        """Return what has become of the server since it was this incarnation."""
        if self.drained_us is not None:
            return ServerState.WITHDRAWN
        return ServerState.SERVING if self.incarnation == incarnation else ServerState.RESTARTED


@dataclass(slots=True, eq=False)
class Attempt:
    """One request to one upstream server, until its outcome."""

    upstream: UpstreamServer
    payload: Callable[[int], bytes]  # takes the microseconds that are left when its first byte goes out
    timeout_us: int
    on_attempt_ended: Callable[[Attempt, Outcome, Response | None], None]
    may_send: Callable[[ServerState], bool] = if_serving
    on_first_byte: Callable[[], None] = do_nothing  # which goes out in this turn of the loop
    on_request_sent: Callable[[], None] = do_nothing  # its last byte is with the kernel
    on_response_started: Callable[[Attempt, Response, UpstreamConnection], None] | None = (
        None  # the response is streamed
    )
    on_response_data: Callable[[bytes], None] = lambda data: None
    streamed_body: StreamedBody | None = None  # what follows the payload
    written: bool = False
    is_streaming: bool = False  # its response is passed on as it comes
    last_progress_us: int = 0  # when a byte of a long body last moved
    sent_us: int = 0
    latency_us: int = 0
    connection: UpstreamConnection | None = None
    opening: asyncio.Task[object] | None = None
    timers: list[asyncio.TimerHandle] = field(default_factory=list)
    ended: bool = False

    @property
    def server(self) -> int:
        """The number of the upstream server."""
        return self.upstream.id

    @property
    def left_us(self) -> int:
        """How long its response is still waited for; the time of a request counts from its last byte."""
        if self.streamed_body is not None and not self.streamed_body.is_complete:
            return self.timeout_us
        return self.timeout_us - (now_us() - self.sent_us)

    def cancel_timers(self) -> None:
        """Cancel its timeouts."""
        for timer in self.timers:
            timer.cancel()


@dataclass(slots=True, frozen=True)
class Message:
    """A request as it is forwarded to an upstream server."""

    head: bytes  # request line and headers, all but the budget and the empty line
    body: bytes


class ConnectionOwner(Protocol):
    """What an upstream connection needs of the one that opened it."""

    loop: asyncio.AbstractEventLoop
    buffer: memoryview  # shared by all connections: what is read is copied at once

    def on_connected(self, connection: UpstreamConnection) -> None:
        """The connection is up."""

    def on_response(self, connection: UpstreamConnection, response: Response) -> None:
        """A response is complete."""

    def on_protocol_error(self, connection: UpstreamConnection) -> None:
        """The server sent what is no valid response."""

    def on_stream_started(self, attempt: Attempt) -> None:
        """The response is streamed from here on."""

    def on_lost(self, connection: UpstreamConnection) -> None:
        """The connection has ended."""


class UpstreamConnection(asyncio.BufferedProtocol):
    """One connection to an upstream server; it carries one attempt at a time."""

    __slots__ = (
        "attempt",
        "body_written",
        "flushed",
        "has_sent",
        "idle_since_us",
        "incarnation",
        "is_counted",
        "last_response_us",
        "owner",
        "paused",
        "poll",
        "responses",
        "stream_timer",
        "transport",
        "upstream",
        "waiting_attempt",
    )

    def __init__(self, owner: ConnectionOwner, upstream: UpstreamServer, attempt: Attempt | None) -> None:
        self.owner, self.upstream, self.attempt = owner, upstream, attempt
        self.incarnation = upstream.incarnation  # the one that it leads to
        self.has_sent = False  # some of the attempt may have been sent
        self.waiting_attempt: Attempt | None = None  # the next one, until the connection may be reused
        self.transport: asyncio.Transport | None = None
        self.responses = ResponseReader(streams=True)
        self.stream_timer: asyncio.TimerHandle | None = None  # until a response of unknown length is streamed
        self.paused = False  # the client takes no more for now
        self.body_written = True  # no more of the request is to be written
        self.flushed = True  # the last byte of what was written is with the kernel
        self.idle_since_us = 0
        self.last_response_us = 0  # how long its last response took
        self.is_counted = False
        self.poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; called by the loop."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        # Without room in the buffer, pause_writing tells at once that the last byte is not yet written.
        self.transport.set_write_buffer_limits(high=0)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.owner.on_connected(self)

    def is_usable(self) -> bool:
        """Whether a request may be written: False once the server has closed it or sent something unasked.

        The kernel is asked, since the loop may not have seen it yet: a request on a connection that the
        server has closed would end as a reset, and it could not be known whether it has run.
        """
        transport = self.transport
        return transport is not None and not transport.is_closing() and not self.poll.poll(0)

    def write(self, data: bytes) -> bool:
        """Write; False if the connection turned out broken before the last byte was written."""
        assert self.transport is not None
        if self.transport.is_closing():
            return False
        self.transport.write(data)
        return not self.transport.is_closing()

    def close(self) -> None:
        """Close at once; what is not yet written is lost."""
        self.cancel_stream_timer()
        if self.transport is not None:
            self.transport.abort()

    # A request body that is streamed

    def carry(self, attempt: Attempt) -> None:
        """Begin to send what follows the payload, if anything does."""
        self.body_written = attempt.streamed_body is None
        if attempt.streamed_body is not None:
            attempt.last_progress_us = now_us()
            attempt.streamed_body.on_data = self.write_body
        self.write_body()

    def write_body(self) -> None:
        """Write what there is of the body, for as long as the server takes it."""
        attempt = self.attempt
        if attempt is None or self.transport is None:
            return
        streamed_body = attempt.streamed_body
        while streamed_body is not None and self.flushed and streamed_body.chunks:
            data = streamed_body.take()
            attempt.last_progress_us = now_us()
            self.write(data if streamed_body.length is not None else b"%x\r\n%s\r\n" % (len(data), data))
        if (
            streamed_body is not None
            and streamed_body.is_complete
            and not streamed_body.chunks
            and not self.body_written
        ):
            self.body_written = True
            if streamed_body.length is None:
                self.write(b"0\r\n\r\n")
        if self.body_written and self.flushed and not attempt.written and not self.transport.is_closing():
            attempt.written = True
            attempt.on_request_sent()

    def pause_writing(self) -> None:
        """The server takes no more for now; called by the loop."""
        self.flushed = False

    def resume_writing(self) -> None:
        """All that was written is with the kernel; called by the loop."""
        self.flushed = True
        self.write_body()

    # Responses

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the owner's buffer, whatever size is suggested; called by the loop."""
        return self.owner.buffer

    def buffer_updated(self, size: int) -> None:
        """Take what was read into the buffer; called by the loop."""
        self.data_received(bytes(self.owner.buffer[:size]))

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the server, and pass on what they complete."""
        try:
            response = self.responses.feed(data)
        except ResponseError:
            self.owner.on_protocol_error(self)
            return
        attempt = self.attempt
        if response is not None:
            self.cancel_stream_timer()
            self.owner.on_response(self, response)
        elif attempt is None:
            self.close()
        elif attempt.is_streaming:
            attempt.last_progress_us = now_us()
            attempt.on_response_data(self.responses.take())
        elif self.responses.is_long:
            self.start_stream()
        elif self.responses.may_be_long and self.stream_timer is None:
            self.stream_timer = self.owner.loop.call_later(STREAM_AFTER_S, self.start_stream)

    def cancel_stream_timer(self) -> None:
        """Do not begin to stream the response by the clock."""
        if self.stream_timer is not None:
            self.stream_timer.cancel()
            self.stream_timer = None

    def start_stream(self) -> None:
        """Pass the response on as it comes from here on."""
        self.cancel_stream_timer()
        attempt = self.attempt
        if attempt is None or attempt.on_response_started is None:
            return
        if not attempt.written:
            self.owner.on_protocol_error(self)  # no response can precede the end of its request
            return
        self.owner.on_stream_started(attempt)
        attempt.on_response_started(attempt, self.responses.head(), self)
        body = self.responses.take()
        if self.attempt is attempt and body:
            attempt.on_response_data(body)

    def pause(self) -> None:
        """Stop reading: the client takes no more for now."""
        if self.transport is not None and not self.paused and not self.transport.is_closing():
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read again after `pause`."""
        if self.transport is not None and self.paused and not self.transport.is_closing():
            self.paused = False
            if self.attempt is not None:
                self.attempt.last_progress_us = now_us()
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection; called by the loop."""
        self.owner.on_lost(self)
