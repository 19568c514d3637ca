"""One connection to an upstream server: it writes a request and reads the response to it."""

from __future__ import annotations

import asyncio
import select
from typing import Protocol, TypeAlias, cast

from sagetrack.core.responses import Response
from sagetrack.http1.attempt import Attempt
from sagetrack.http1.codec import ResponseError, ResponseReader
from sagetrack.http1.upstream_server import UpstreamServer

STREAM_AFTER_S = 0.05  # a response of unknown length that is incomplete by then is streamed


class ConnectionOwner(Protocol):
    """What an upstream connection needs of the one that opened it."""

    loop: asyncio.AbstractEventLoop
    buffer: memoryview  # shared by all connections: what is read is copied at once

    def on_connected(self, connection: UpstreamConnection) -> None:
        """The connection is up."""

    def on_response(self, connection: UpstreamConnection, response: Response) -> None:
        """A response is complete."""

    def on_protocol_error(self, connection: UpstreamConnection) -> None:
        """The server sent something that is no valid response."""

    def on_stream_started(self, attempt: Attempt) -> None:
        """The response is streamed from here on."""

    def on_lost(self, connection: UpstreamConnection) -> None:
        """The connection has ended."""


class UpstreamConnection(asyncio.BufferedProtocol):
    """One connection to an upstream server; it carries one attempt at a time.

    Attributes:
        owner: Opened it, and is informed of its events.
        upstream: The server.
        incarnation: The incarnation of the server that it leads to.
        attempt: The attempt that it carries.
        waiting_attempt: The next one, while it waits until the connection may be reused.
        has_sent: Whether some of the attempt may have been sent.
        transport: Its transport, from the moment that it is up.
        responses: Parses what the server sends.
        is_paused: Whether it is not read for now, as the client takes no more.
        is_flushed: Whether the last byte of what was written is with the kernel.
        idle_since_us: When it last had a response, while it is idle.
        last_response_us: How long its last response took.
    """

    __slots__ = (
        "attempt",
        "body_written",
        "has_sent",
        "idle_since_us",
        "incarnation",
        "is_flushed",
        "is_paused",
        "last_response_us",
        "owner",
        "poll",
        "responses",
        "stream_timer",
        "transport",
        "upstream",
        "waiting_attempt",
    )

    def __init__(self, owner: ConnectionOwner, upstream: PooledServer, attempt: Attempt | None) -> None:
        self.owner = owner
        self.upstream = upstream
        self.attempt = attempt
        self.incarnation = upstream.incarnation
        self.has_sent = False
        self.waiting_attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.responses = ResponseReader(streams=True)
        self.stream_timer: asyncio.TimerHandle | None = None  # until a response of unknown length is streamed
        self.is_paused = False
        self.body_written = True  # the whole request has been handed to the transport
        self.is_flushed = True
        self.idle_since_us = 0
        self.last_response_us = 0
        self.poll = select.poll()  # asks the kernel what the loop has not seen yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; called by the loop."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        # With no buffer allowed, pause_writing is called at once while the last byte is not yet written.
        self.transport.set_write_buffer_limits(high=0)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.owner.on_connected(self)

    @property
    def is_up(self) -> bool:
        """Whether the connection has ever been established."""
        return self.transport is not None

    def is_usable(self) -> bool:
        """Return whether a request may be written: not if the server has closed it or sent anything.

        The kernel is asked, since the loop may not have seen it yet: a request on a connection that the
        server has closed would end as a reset, and it could not be known whether it has run.
        """
        transport = self.transport
        return transport is not None and not transport.is_closing() and not self.poll.poll(0)

    def send(self, attempt: Attempt) -> bool:
        """Write an attempt; False, with the connection closed, if the write failed."""
        self.attempt = attempt
        attempt.connection = self
        self.has_sent = True
        attempt.on_first_byte()
        if self.write(attempt.payload(attempt.remaining_us)):
            self.start_body(attempt)
            return True
        self.attempt = None
        attempt.connection = None
        self.close()
        return False

    def await_reuse(self, attempt: Attempt) -> None:
        """Have this attempt wait until the connection may be reused."""
        self.waiting_attempt = attempt
        attempt.connection = self

    def take_waiting(self) -> Attempt | None:
        """Return and forget the attempt that waits for the connection; None if there is none."""
        attempt = self.waiting_attempt
        self.waiting_attempt = None
        if attempt is None or attempt.ended:
            return None
        attempt.connection = None
        return attempt

    def take_attempt(self) -> Attempt | None:
        """Return and forget the attempt that the connection carries; None if there is none."""
        attempt = self.attempt
        self.attempt = None
        return attempt

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

    def abandon(self) -> None:
        """Close at once, and forget the attempts on it, which are given up."""
        self.attempt = None
        self.waiting_attempt = None
        self.close()

    # A request body that is streamed

    def start_body(self, attempt: Attempt) -> None:
        """Begin to send what follows the payload, if anything does."""
        self.body_written = attempt.streamed_body is None
        if attempt.streamed_body is not None:
            attempt.record_progress()
            attempt.streamed_body.on_data = self.write_body
        self.write_body()

    def write_body(self) -> None:
        """Write what there is of the body, for as long as the server takes it."""
        attempt = self.attempt
        if attempt is None or self.transport is None:
            return
        streamed_body = attempt.streamed_body
        while streamed_body is not None and self.is_flushed and streamed_body.chunks:
            data = streamed_body.take()
            attempt.record_progress()
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
        if self.body_written and self.is_flushed and not attempt.written and not self.transport.is_closing():
            attempt.written = True
            attempt.on_request_sent()

    def pause_writing(self) -> None:
        """The server takes no more for now; called by the loop."""
        self.is_flushed = False

    def resume_writing(self) -> None:
        """All that was written is with the kernel; called by the loop."""
        self.is_flushed = True
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
            attempt.record_progress()
            attempt.on_response_data(self.responses.take_body())
        elif self.responses.needs_streaming:
            self.start_stream()
        elif self.responses.has_unknown_length and self.stream_timer is None:
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
        body = self.responses.take_body()
        if self.attempt is attempt and body:
            attempt.on_response_data(body)

    def pause(self) -> None:
        """Stop reading: the client takes no more for now."""
        if self.transport is not None and not self.is_paused and not self.transport.is_closing():
            self.is_paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read again after `pause`."""
        if self.transport is not None and self.is_paused and not self.transport.is_closing():
            self.is_paused = False
            if self.attempt is not None:
                self.attempt.record_progress()
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection; called by the loop."""
        self.owner.on_lost(self)


PooledServer: TypeAlias = UpstreamServer[UpstreamConnection]
