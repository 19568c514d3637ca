"""Connection to an upstream server: writes the request of an attempt and reads the response."""

from __future__ import annotations

import asyncio
import select
from typing import Protocol, TypeAlias, cast

from sagetrack.core.memory_budget import MIN_STREAM_BUFFER, MemoryBudget, MemoryClaim, OverloadAction
from sagetrack.core.responses import Response
from sagetrack.http1.attempt import Attempt
from sagetrack.http1.codec import ResponseError, ResponseReader
from sagetrack.http1.upstream_server import UpstreamServer

STREAM_AFTER_S = 0.05  # time after which an incomplete response of unknown length is streamed


class ConnectionOwner(Protocol):
    """The interface that an upstream connection uses to report its events to the object that opened it."""

    loop: asyncio.AbstractEventLoop
    buffer: memoryview  # read buffer of all connections; its content is copied after each read
    memory_budget: MemoryBudget

    def on_connected(self, connection: UpstreamConnection) -> None:
        """Handle an established connection."""

    def on_response(self, connection: UpstreamConnection, response: Response) -> None:
        """Handle a complete response."""

    def on_protocol_error(self, connection: UpstreamConnection) -> None:
        """Handle data from the server that is not a valid response."""

    def on_stream_started(self, attempt: Attempt) -> None:
        """Handle the start of a streamed response."""

    def on_lost(self, connection: UpstreamConnection) -> None:
        """Handle the end of the connection."""


class UpstreamConnection(asyncio.BufferedProtocol):
    """One connection to an upstream server, which carries one attempt at a time.

    Attributes:
        owner: The object that opened the connection and receives its events.
        upstream: The upstream server.
        incarnation: The incarnation of the server to which the connection was opened.
        attempt: The attempt that uses the connection.
        waiting_attempt: The next attempt, which waits until the connection may be reused.
        has_sent: True if any byte of the current attempt may have been sent.
        transport: The transport; None until the connection is established.
        responses: The parser of responses.
        is_paused: True if reading is paused because the client reads too slowly.
        is_flushed: True if the kernel has accepted all written data.
        idle_since_us: Time of the last response, while the connection is idle.
        last_response_us: Duration of the last response, from the start of its attempt.
    """

    __slots__ = (
        "attempt",
        "body_written",
        "claim",
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
        self.claim = MemoryClaim(owner.memory_budget)  # of unsent data and of a buffered response
        self.stream_timer: asyncio.TimerHandle | None = None  # starts to stream a response of unknown length
        self.is_paused = False
        self.body_written = True  # True if the whole request has been passed to the transport
        self.is_flushed = True
        self.idle_since_us = 0
        self.last_response_us = 0
        self.poll = select.poll()  # detects data and a close that the event loop has not processed yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class is not a subclass of it
        # With a limit of 0, pause_writing is called whenever the kernel has not accepted all written data.
        self.transport.set_write_buffer_limits(high=0)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.owner.on_connected(self)

    @property
    def is_up(self) -> bool:
        """True if the connection has ever been established."""
        return self.transport is not None

    def is_usable(self) -> bool:
        """Return whether a request may be sent: not if the server has closed the connection or sent data.

        This polls the socket, as the event loop may not have processed a close yet. A request sent on a
        connection that the server has closed would end with a reset, and it would be unknown whether the
        server has executed it.
        """
        transport = self.transport
        return transport is not None and not transport.is_closing() and not self.poll.poll(0)

    def send(self, attempt: Attempt) -> bool:
        """Send the request of an attempt; if the write fails, close the connection and return False."""
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
        """Make this attempt wait until the connection may be reused."""
        self.waiting_attempt = attempt
        attempt.connection = self

    def take_waiting(self) -> Attempt | None:
        """Remove and return the attempt that waits for the connection; None if there is none."""
        attempt = self.waiting_attempt
        self.waiting_attempt = None
        if attempt is None or attempt.ended:
            return None
        attempt.connection = None
        return attempt

    def take_attempt(self) -> Attempt | None:
        """Remove and return the attempt that uses the connection; None if there is none."""
        attempt = self.attempt
        self.attempt = None
        return attempt

    def write(self, data: bytes) -> bool:
        """Write data; return False if the connection was closing before or failed during the write."""
        assert self.transport is not None
        if self.transport.is_closing():
            return False
        self.transport.write(data)
        self.update_memory()
        return not self.transport.is_closing()

    def update_memory(self) -> None:
        """Report the memory of unsent data, and of a response that is buffered until it is complete."""
        unsent_bytes = self.transport.get_write_buffer_size() if self.transport is not None else 0
        self.claim.update(self.responses.buffered_bytes + unsent_bytes)

    def close(self) -> None:
        """Close at once; data that is still in the write buffer is lost."""
        self.cancel_stream_timer()
        if self.transport is not None:
            self.transport.abort()

    def abandon(self) -> None:
        """Close at once, and drop the attempts that use or wait for the connection."""
        self.attempt = None
        self.waiting_attempt = None
        self.close()

    # Streamed request bodies

    def start_body(self, attempt: Attempt) -> None:
        """Start sending the streamed body, if the request has one."""
        self.body_written = attempt.streamed_body is None
        if attempt.streamed_body is not None:
            attempt.record_progress()
            attempt.streamed_body.on_data = self.write_body
        self.write_body()

    def write_body(self) -> None:
        """Write the available part of the body, until the write buffer is no longer empty."""
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
        """Handle a non-empty write buffer; called by the event loop."""
        self.is_flushed = False

    def resume_writing(self) -> None:
        """Continue when the kernel has accepted all written data; called by the event loop."""
        self.is_flushed = True
        self.update_memory()
        self.write_body()

    # Responses

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return a part of the owner's buffer as long as may be read; called by the event loop."""
        attempt = self.attempt
        if attempt is not None and attempt.is_streaming:
            return self.owner.buffer[: self.owner.memory_budget.stream_buffer_bytes]
        return self.owner.buffer

    def buffer_updated(self, size: int) -> None:
        """Process the data read into the buffer; called by the event loop."""
        self.data_received(bytes(self.owner.buffer[:size]))

    def data_received(self, data: bytes) -> None:
        """Parse data from the server, and forward a complete response or a part of a streamed one."""
        try:
            response = self.responses.feed(data)
        except ResponseError:
            self.owner.on_protocol_error(self)
            return
        self.update_memory()
        attempt = self.attempt
        if response is not None:
            self.cancel_stream_timer()
            self.owner.on_response(self, response)
        elif attempt is None:
            self.close()
        elif attempt.is_streaming:
            attempt.on_response_data(self.responses.take_body())
        elif self.responses.needs_streaming or self.must_stream:
            self.start_stream()
        elif self.responses.has_unknown_length and self.stream_timer is None:
            self.stream_timer = self.owner.loop.call_later(STREAM_AFTER_S, self.start_stream)

    @property
    def must_stream(self) -> bool:
        """True if the response in progress is not buffered until it is complete, as memory is short."""
        shrinks = self.owner.memory_budget.action >= OverloadAction.SHRINK_BUFFERS
        return shrinks and self.responses.in_body and self.responses.buffered_bytes > MIN_STREAM_BUFFER

    def eof_received(self) -> None:
        """Forward a response that ends with the connection; called by the event loop."""
        response = self.responses.finish()
        if response is not None:
            self.owner.on_response(self, response)

    def cancel_stream_timer(self) -> None:
        """Cancel the timer after which a response of unknown length is streamed."""
        if self.stream_timer is not None:
            self.stream_timer.cancel()
            self.stream_timer = None

    def start_stream(self) -> None:
        """Start to stream the response, which has been buffered so far."""
        self.cancel_stream_timer()
        attempt = self.attempt
        if attempt is None or attempt.on_response_started is None:
            return
        if not attempt.written:
            self.owner.on_protocol_error(self)  # a streamed response must not precede the end of its request
            return
        self.owner.on_stream_started(attempt)
        attempt.on_response_started(attempt, self.responses.head(), self)
        body = self.responses.take_body()
        self.update_memory()
        if self.attempt is attempt and body:
            attempt.on_response_data(body)

    def pause(self) -> None:
        """Pause reading, because the client reads too slowly."""
        if self.transport is not None and not self.is_paused and not self.transport.is_closing():
            self.is_paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading after `pause`."""
        if self.transport is not None and self.is_paused and not self.transport.is_closing():
            self.is_paused = False
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection; called by the event loop."""
        self.claim.update(0)
        self.owner.on_lost(self)


PooledServer: TypeAlias = UpstreamServer[UpstreamConnection]
