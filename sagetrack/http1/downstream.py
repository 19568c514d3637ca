"""Client connections: pipelined requests are read ahead and handled in order, one at a time."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import cast

from sagetrack.core.bodies import StreamedBody
from sagetrack.core.drain import Drain
from sagetrack.core.memory_budget import MemoryBudget
from sagetrack.core.peer_close import PeerCloseWatcher, has_peer_closed
from sagetrack.core.send_rules import ClientConnectionState, CloseReason, DenialReason, may_close
from sagetrack.http1.body_discard import BodyDiscard, ends_connection
from sagetrack.http1.client_closes import ABORTED, CLIENT_DISCONNECTED, RESPONDED, ClientCloses
from sagetrack.http1.codec import READ_SIZE
from sagetrack.http1.connection_phases import ConnectionPhases, PhaseTracker
from sagetrack.http1.exchange import WRITE_BUFFER_BYTES, Exchange, ExchangeContext
from sagetrack.http1.read_ahead import ReadAhead
from sagetrack.http1.read_pause import ReadPause
from sagetrack.http1.request_memory import CLIENT_CONNECTION_BYTES
from sagetrack.http1.request_reader import RequestReader
from sagetrack.http1.requests import HttpRequest, RequestError
from sagetrack.http1.socket_state import unread_bytes
from sagetrack.http1.waiting_data import WaitingData
from sagetrack.http1.write_progress import WriteProgress

MIN_BODY_RATE = 64_000  # minimum average rate of a request body, in bytes per second
BODY_GRACE_S = 2.0  # time allowed for a request body in addition to its time at `MIN_BODY_RATE`
LINGER_S = 0.5  # time that the client has to read an error response to a request it is still sending
DRAIN_LINGER_S = 0.1  # the same for a client that pipelines, shortly before the process may be killed
CLOSE_TIMEOUT_S = 2.4  # time for a close after which nothing is left to be sent


class ClientContext:
    """The state that all client connections share, and the set of these connections.

    Attributes:
        exchange_context: The configuration and gateway with which requests are handled.
        drain: The drain phase of this process.
        connections: The open connections.
        phases: The connections that wait for their client, by phase.
        paused: The connections on which reading is paused.
        close_watcher: Detects that a client has closed a connection on which reading is paused.
        memory_budget: The memory budget of the process.
        buffer: The read buffer of all connections; its content is copied right after each read.
        closes: Counts the connections that this process closes, by reason.
    """

    def __init__(self, exchange_context: ExchangeContext, drain: Drain, memory_budget: MemoryBudget) -> None:
        self.exchange_context = exchange_context
        self.drain = drain
        self.connections: set[ClientConnection] = set()
        self.phases = ConnectionPhases()
        self.paused: set[ClientConnection] = set()
        self.close_watcher = PeerCloseWatcher()
        self.memory_budget = memory_budget
        self.memory_budget.sources.append(lambda: len(self.connections) * CLIENT_CONNECTION_BYTES)
        self.buffer = memoryview(bytearray(READ_SIZE))
        self.closes = ClientCloses(exchange_context.gateway)

    def watch_paused(self, connection: ClientConnection) -> None:
        """Detect a close by the client on a connection on which reading is paused."""
        self.paused.add(connection)
        self.close_watcher.watch(connection.descriptor, connection.on_hangup)

    def unwatch(self, connection: ClientConnection) -> None:
        """Stop watching a connection on which reading has resumed or that has ended."""
        if connection in self.paused:
            self.paused.discard(connection)
            self.close_watcher.unwatch(connection.descriptor)


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection, whose requests are handled in order, one at a time."""

    __slots__ = (
        "context",
        "descriptor",
        "discard",
        "exchange",
        "is_closing",
        "is_pipelining",
        "moved_s",
        "opened_s",
        "phase",
        "poll",
        "read_ahead",
        "read_pause",
        "reader",
        "transport",
        "waiting_data",
        "write_blocked",
        "write_progress",
    )

    def __init__(self, context: ClientContext, waiting_since_us: int | None = None) -> None:
        """Create a connection whose first data may have waited since this time; None if it has not waited."""
        self.context = context
        self.waiting_data = WaitingData(waiting_since_us)
        self.transport: asyncio.Transport | None = None
        self.reader = RequestReader(context.memory_budget)
        self.exchange = Exchange(self, context.exchange_context)
        self.read_ahead = ReadAhead(context.memory_budget, self.reader, self.exchange)
        self.discard = BodyDiscard()  # of a body that is read to its end after the response
        self.phase = PhaseTracker(self, context.phases)
        self.read_pause = ReadPause(self.phase)
        self.opened_s = 0.0  # time at which the connection was accepted, in event loop time
        self.moved_s = 0.0  # time at which the client last sent or took data, in event loop time
        self.is_closing = False  # the connection is being closed and no more requests are parsed
        self.is_pipelining = False  # another request had arrived when one was answered during a drain
        self.write_blocked = False  # the write buffer is full because the client reads too slowly
        self.descriptor = -1
        self.poll = select.poll()  # detects data and a close that the event loop has not processed yet

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class is not a subclass of it
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.exchange.transport = self.transport
        self.descriptor = transport.get_extra_info("socket").fileno()
        self.write_progress = WriteProgress(self.transport, self.descriptor)
        self.poll.register(self.descriptor, select.POLLIN | select.POLLRDHUP)
        self.opened_s = self.moved_s = asyncio.get_running_loop().time()
        self.context.connections.add(self)
        self.phase.enter(self.context.phases.awaiting_first_byte, self.opened_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Clean up after the connection has ended; called by the event loop."""
        self.context.connections.discard(self)
        self.context.unwatch(self)
        self.phase.enter(None)
        self.is_closing = True
        self.cancel_requests()
        self.reader.release()
        self.discard.release()
        self.read_ahead.release_memory()

    def eof_received(self) -> None:
        """Handle a close by the client; data that was written is still flushed. Called by the event loop."""
        self.cancel_requests()
        self.close(CLIENT_DISCONNECTED)

    def cancel_requests(self) -> None:
        """Cancel the request of a disconnected client, and drop those that were read ahead."""
        self.reader.requests.clear()
        self.exchange.cancel()
        if self.reader.streamed_body is not None:
            self.reader.streamed_body.abort()

    def on_hangup(self) -> None:
        """Handle a disconnect while reading is paused and the event loop cannot see it."""
        self.abort(CLIENT_DISCONNECTED)
        self.cancel_requests()

    def has_disconnected(self) -> bool:
        """Return whether the client has closed, even if the event loop has not processed it yet."""
        return self.transport is None or self.transport.is_closing() or has_peer_closed(self.poll)

    # Phases

    def update_phase(self) -> None:
        """Enter the phase that matches the data received and the state of the response."""
        if self.is_closing:
            return
        reader = self.reader
        message = self.exchange.message
        body = reader.streamed_body
        if self.write_blocked:
            self._await_delivery()
        elif message is not None and body is not None and message.streamed_body is body:
            self.phase.enter(self.context.phases.receiving_body)
        elif message is not None or reader.requests:
            self.phase.enter(None)
        else:
            has_responded = self.exchange.has_responded
            self.phase.await_request(reader.in_body, reader.has_partial_request, has_responded, self.opened_s)

    def check_body_rate(self, now_s: float, since_s: float) -> None:
        """Abandon a request whose body arrives too slowly, unless this process has paused reading."""
        allowed_s = BODY_GRACE_S + self.reader.body_received / MIN_BODY_RATE
        if not self.read_pause.is_active and now_s - since_s > allowed_s:
            self.abandon_request()

    def abandon_request(self, error: RequestError | None = None) -> None:
        """Respond with an error, by default 408, to an incomplete request, and stop reading."""
        self.reader.fail(error or RequestError(408, "the request did not come in time"))
        self.handle_read_error()
        self.handle_next()

    # Closing

    def may_close(self, reason: CloseReason) -> DenialReason | None:
        """Return why the connection may not be closed now without a response; None if it may."""
        return may_close(_state_of(self), reason)

    def _await_delivery(self) -> None:
        """Enter the phase in which the client has to take data that was written."""
        if self.phase.enter(self.context.phases.sending):
            self.write_progress.has_advanced()

    def close(self, reason: str = RESPONDED) -> None:
        """Close when the client has taken all written data, or has stopped reading."""
        _record_close(self, reason)
        self.is_closing = True
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size():
            self._await_delivery()
        else:
            self.phase.enter_closing(CLOSE_TIMEOUT_S)
        self.transport.close()

    def abort(self, reason: str = ABORTED) -> None:
        """Close at once; data that is still in the write buffer is lost."""
        _record_close(self, reason)
        self.is_closing = True
        self.phase.enter(None)
        if self.transport is not None:
            self.transport.abort()

    def _linger(self, linger_s: float) -> None:
        """Close some time after the last response, so that the client can read it.

        The client may still be sending, and closing at once would cause a TCP reset that could arrive before
        it has read the response. Data that it sends meanwhile is not read and stays in the kernel's receive
        buffer, which is small.
        """
        self.is_closing = True
        assert self.transport is not None
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.phase.enter_closing(linger_s)

    # Reading

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return a part of the shared buffer as long as may be read; called by the event loop."""
        return self.context.buffer[: self.waiting_data.limit(self.reader.read_bytes)]

    def buffer_updated(self, size: int) -> None:
        """Parse the data read into the buffer, and handle the next request; called by the event loop."""
        if self.is_closing:
            return  # after a malformed request, the start of the next one is unknown
        self.moved_s = asyncio.get_running_loop().time()
        arrived_us = self.waiting_data.take(size, self.descriptor)
        self.parse(bytes(self.context.buffer[:size]), arrived_us)
        self.handle_next()
        self.update_phase()
        self.read_ahead.update_memory()

    def parse(self, data: bytes, arrived_us: int = 0) -> None:
        """Parse `data`, which arrived at this time (0: now); reading pauses while any stays unparsed."""
        assert self.transport is not None
        self.reader.feed(data, self.read_ahead.limit, arrived_us)
        self.handle_read_error()
        if self.is_closing:
            return
        if self.reader.has_failed or self.reader.unparsed:
            if self.read_pause.begin(self.transport):
                self.waiting_data.begin_pause(self.descriptor, arrived_us)
                self.context.watch_paused(self)
        elif self.read_pause.end(self.transport):
            self.waiting_data.sample(self.descriptor)
            self.context.unwatch(self)
        self.send_continue()

    def resume_parsing(self) -> None:
        """Parse the unparsed data, now that there is capacity for it."""
        if self.transport is None or self.is_closing or self.transport.is_closing():
            return
        if self.reader.unparsed:
            self.parse(b"")
            self.handle_next()
            self.read_ahead.update_memory()
        self.update_phase()

    def resume_parsing_soon(self) -> None:
        """Call `resume_parsing` in the next iteration of the event loop."""
        asyncio.get_running_loop().call_soon(self.resume_parsing)

    def send_continue(self) -> None:
        """Send `100 Continue` if the client waits for it and no earlier request is in progress or queued."""
        if self.transport is not None and _may_continue(self):
            self.reader.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def handle_read_error(self) -> None:
        """Respond if the body of the request in progress cannot be read completely."""
        if self.discard.is_active and self.reader.has_failed:
            self.close()
        self.exchange.fail_body()

    # Requests and responses

    def handle_next(self) -> None:
        """Handle the next request that was read, if none is in progress."""
        if self.transport is None or self.is_closing or self.write_blocked or self.exchange.is_busy:
            return
        if self.read_pause.is_active and has_peer_closed(self.poll):
            self.on_hangup()
        if not self.reader.requests and self.reader.unparsed:
            self.parse(b"")
        if not self.reader.requests or self.is_closing or self.discard.is_active:
            return
        self.exchange.start(_with_rejection(self, self.reader.requests.popleft()))
        self.send_continue()
        self.read_ahead.update_memory()
        if self.reader.unparsed and self.reader.streamed_body is not None:
            self.resume_parsing_soon()  # parsing may have stopped within the body of this request

    def handle_next_soon(self) -> None:
        """Handle the next request in the next iteration of the event loop, if there may be one."""
        if self.reader.requests or self.reader.unparsed:
            asyncio.get_running_loop().call_soon(self.handle_next)

    def is_last(self, message: HttpRequest) -> bool:
        """Return whether the connection is closed after the response to this request."""
        if ends_connection(message.streamed_body, self.reader.expects_continue):
            return True
        if not message.keep_alive:
            return True
        return self.context.drain.ends_connection(_has_more(self))

    def on_response_written(self, message: HttpRequest, is_last: bool) -> None:
        """Continue with the next request, or close the connection after its last response."""
        if not is_last:
            self.is_pipelining = self.context.drain.is_draining
            if message.streamed_body is not None and not message.streamed_body.is_finished:
                self._discard(message.streamed_body, self._continue_after_body)
                return
            self.handle_next_soon()
            self.update_phase()
            self.read_ahead.update_memory()
            return
        self.reader.requests.clear()
        self.read_ahead.update_memory()
        if message.streamed_body is not None and not message.streamed_body.is_finished:
            self._discard(message.streamed_body, self.close)
        elif message.error is not None:
            self._linger(LINGER_S)
        elif self.is_pipelining:
            self._linger(DRAIN_LINGER_S)  # a close over what still arrives would reset the responses
        else:
            self.close()

    def _discard(self, streamed_body: StreamedBody, on_complete: Callable[[], None]) -> None:
        self.discard.begin(streamed_body, on_complete)
        self.phase.enter(self.context.phases.receiving_body)

    def _continue_after_body(self) -> None:
        """Handle the next request, as the body of the previous one was read to its end."""
        self.handle_next_soon()
        self.update_phase()

    def pause_writing(self) -> None:
        """Pause the response because the write buffer is full; called by the event loop."""
        self.write_blocked = True
        self.exchange.pause()
        self.update_phase()
        self.read_ahead.update_memory()

    def resume_writing(self) -> None:
        """Resume the response because the write buffer has room again; called by the event loop."""
        self.write_blocked = False
        self.moved_s = asyncio.get_running_loop().time()
        self.exchange.resume()
        self.update_phase()
        self.read_ahead.update_memory()
        self.handle_next_soon()


def _record_close(connection: ClientConnection, reason: str) -> None:
    """Count a close with its reason, unless the connection is already being closed."""
    if connection.transport is None or connection.transport.is_closing():
        return
    exchange = connection.exchange
    awaits_response = exchange.awaits_response and not connection.write_blocked
    connection.context.closes.record(reason, exchange.request, awaits_response, connection.has_disconnected)


def _has_more(connection: ClientConnection) -> bool:
    """Return whether a further request, or a part of one, has arrived.

    A drain that comes to its end asks the kernel too, as the client may never stop sending.
    """
    reader = connection.reader
    if reader.requests or reader.has_partial_request or reader.unparsed:
        return True
    drain = connection.context.drain
    now_s = asyncio.get_running_loop().time()
    ends_soon = drain.is_past_response_cutoff(now_s) or drain.rejects_pipelined(now_s)
    return ends_soon and unread_bytes(connection.descriptor) > 0


def _with_rejection(connection: ClientConnection, message: HttpRequest) -> HttpRequest:
    """Return the request; with an error if it keeps a connection open that should have ended."""
    rejects = connection.context.drain.rejects_pipelined(asyncio.get_running_loop().time())
    if rejects and connection.exchange.has_responded and message.error is None:
        message.error = RequestError(503, "this gateway is on standby: ask another")
    return message


def _may_continue(connection: ClientConnection) -> bool:
    """Return whether the client waits for `100 Continue` and no earlier request is in progress or queued."""
    reader = connection.reader
    if not reader.expects_continue or connection.is_closing or connection.discard.is_active:
        return False
    ahead = (connection.exchange.message, *reader.requests)
    return all(message is None or message is reader.current_request for message in ahead)


def _state_of(connection: ClientConnection) -> ClientConnectionState:
    """Return the properties of a connection that determine whether it may be closed now."""
    reader = connection.reader
    return ClientConnectionState(
        response_pending=connection.is_closing or connection.exchange.is_busy or bool(reader.requests),
        request_incomplete=reader.has_partial_request,
        has_sent_data=connection.exchange.has_responded or reader.has_partial_request,
        age_s=asyncio.get_running_loop().time() - connection.phase.since_s(connection.opened_s),
        has_unread_data=lambda: bool(connection.poll.poll(0)),
    )
