"""One client's connection: its requests are read ahead, and handled and responded to one after the other."""

from __future__ import annotations

import asyncio
import select
from typing import cast

from sagetrack.core.bodies import BodyMemoryBudget, StreamedBody
from sagetrack.core.drain import Drain
from sagetrack.core.peer_close import PeerCloseWatcher, has_peer_closed
from sagetrack.core.send_rules import ClientConnectionState, CloseReason, DenialReason, may_close
from sagetrack.http1.client_closes import ABORTED, CLIENT_LEFT, DRAINED, RESPONDED, ClientCloses
from sagetrack.http1.codec import READ_SIZE
from sagetrack.http1.connection_phases import ConnectionPhases, PhaseTracker
from sagetrack.http1.exchange import Exchange, ExchangeContext
from sagetrack.http1.read_pause import ReadPause
from sagetrack.http1.request_reader import RequestReader
from sagetrack.http1.requests import HttpRequest, RequestError

MAX_PIPELINED = 16  # requests read ahead on one connection
MIN_BODY_RATE = 64_000  # bytes a second at which a body has to come
BODY_GRACE_S = 2.0  # on top of that
LINGER_S = 0.5  # for the client to read a response that it did not expect
WRITE_TIMEOUT_S = 2.4  # for the client to read a response
# The same for one that is streamed: the kernel takes more only once a third of what it holds has been read,
# which may be more than a megabyte, and a slow client has done nothing wrong.
STREAM_WRITE_TIMEOUT_S = 30.0


class ClientContext:
    """What all clients' connections share, and the list of them.

    Attributes:
        exchange_context: How their requests are handled.
        drain: The phase of the process.
        connections: Those that are up.
        phases: What each of them waits for.
        paused: Those on which nothing is read for now.
        close_watcher: Has the kernel report the end of those.
        body_budget: The memory of all streamed bodies.
        buffer: What any connection reads into: it is copied at once.
        closes: Why this process has closed connections.
    """

    def __init__(self, exchange_context: ExchangeContext, drain: Drain) -> None:
        self.exchange_context = exchange_context
        self.drain = drain
        self.connections: set[ClientConnection] = set()
        self.phases = ConnectionPhases()
        self.paused: set[ClientConnection] = set()
        self.close_watcher = PeerCloseWatcher()
        self.body_budget = BodyMemoryBudget(exchange_context.config.memory_mb)
        self.buffer = memoryview(bytearray(READ_SIZE))
        self.closes = ClientCloses(exchange_context.gateway)

    def watch_paused(self, connection: ClientConnection) -> None:
        """Have the kernel report the end of a connection on which nothing is read."""
        self.paused.add(connection)
        self.close_watcher.watch(connection.descriptor, connection.on_hangup)

    def unwatch(self, connection: ClientConnection) -> None:
        """Stop watching a connection, which is read again or has ended."""
        if connection in self.paused:
            self.paused.discard(connection)
            self.close_watcher.unwatch(connection.descriptor)


class ClientConnection(asyncio.BufferedProtocol):
    """One connection of a client; its requests are handled one after the other."""

    __slots__ = (
        "context",
        "descriptor",
        "discarded_body",
        "exchange",
        "is_closing",
        "opened_s",
        "phase",
        "poll",
        "read_pause",
        "reader",
        "transport",
        "write_blocked",
    )

    def __init__(self, context: ClientContext) -> None:
        self.context = context
        self.transport: asyncio.Transport | None = None
        self.reader = RequestReader(context.body_budget)
        self.exchange = Exchange(self, context.exchange_context)
        self.discarded_body: StreamedBody | None = None  # its request has had its response already
        self.phase = PhaseTracker(self, context.phases)
        self.read_pause = ReadPause(self.phase)
        self.opened_s = 0.0  # by the clock of the loop
        self.is_closing = False  # nothing more is read as a request
        self.write_blocked = False  # the client does not read its responses
        self.descriptor = -1
        self.poll = select.poll()  # asks the kernel what the loop has not seen yet

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; called by the loop."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.exchange.transport = self.transport
        self.descriptor = transport.get_extra_info("socket").fileno()
        self.poll.register(self.descriptor, select.POLLIN | select.POLLRDHUP)
        self.opened_s = asyncio.get_running_loop().time()
        self.context.connections.add(self)
        self.phase.enter(self.context.phases.awaiting_first_byte, self.opened_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Clean up after the end; called by the loop."""
        self.context.connections.discard(self)
        self.context.unwatch(self)
        self.phase.enter(None)
        self.is_closing = True
        self.cancel_requests()

    def eof_received(self) -> None:
        """The client has closed, though what was written to it may still be flushed; called by the loop."""
        self.cancel_requests()
        self.close(CLIENT_LEFT)

    def cancel_requests(self) -> None:
        """Cancel the request of a client that has gone, and handle none of those read ahead."""
        self.reader.requests.clear()
        self.exchange.cancel()
        if self.reader.streamed_body is not None:
            self.reader.streamed_body.abort()

    def on_hangup(self) -> None:
        """The client has gone while nothing is read here, where the loop does not see it."""
        self.abort(CLIENT_LEFT)
        self.cancel_requests()

    def has_disconnected(self) -> bool:
        """Return whether the client has closed, also where the loop has not seen it yet."""
        return self.transport is None or self.transport.is_closing() or has_peer_closed(self.poll)

    # Phases

    def update_phase(self) -> None:
        """Enter the phase that follows from what has come and which response is due."""
        if self.is_closing:
            return
        reader = self.reader
        message = self.exchange.message
        body = reader.streamed_body
        if self.write_blocked:
            timeout_s = WRITE_TIMEOUT_S if self.exchange.source is None else STREAM_WRITE_TIMEOUT_S
            self.phase.enter_closing(timeout_s)
        elif message is not None and body is not None and message.streamed_body is body:
            self.phase.enter(self.context.phases.receiving_body)
        elif message is not None or reader.requests:
            self.phase.enter(None)
        else:
            has_responded = self.exchange.has_responded
            self.phase.await_request(reader.in_body, reader.has_partial_request, has_responded, self.opened_s)

    def check_body_rate(self, now_s: float, since_s: float) -> None:
        """Give up a request whose body comes too slowly, unless it is this process that does not read."""
        allowed_s = BODY_GRACE_S + self.reader.body_received / MIN_BODY_RATE
        if not self.read_pause.is_active and now_s - since_s > allowed_s:
            self.abandon_request()

    def abandon_request(self, error: RequestError | None = None) -> None:
        """Respond to a request of which the rest has not come in time, and read nothing more."""
        self.reader.fail(error or RequestError(408, "the request did not come in time"))
        self.handle_read_error()
        self.take_next()

    # Closing

    def may_close(self, purpose: CloseReason) -> DenialReason | None:
        """Return why it may not be closed now without a response; None if it may."""
        state = ClientConnectionState(
            response_pending=self.is_closing or self.exchange.is_busy or bool(self.reader.requests),
            request_incomplete=self.reader.has_partial_request,
            has_sent_data=self.exchange.has_responded or self.reader.has_partial_request,
            age_s=asyncio.get_running_loop().time() - self.phase.since_s(self.opened_s),
            has_unread_data=lambda: bool(self.poll.poll(0)),
        )
        return may_close(state, purpose)

    def reject_incomplete(self) -> None:
        """During a shutdown: respond to a request of which only a part has come by now.

        A close without a response could cross its last byte, with which a response is due.
        """
        if self.reader.has_partial_request:
            if self.may_close(CloseReason.DESCRIPTORS_EXHAUSTED) is None:
                self.abandon_request(RequestError(503, "this gateway is leaving: ask again"))
        elif self.may_close(CloseReason.IDLE) is None:
            self.close(DRAINED)

    def close(self, reason: str = RESPONDED) -> None:
        """Close once what was written is with the client, and within `WRITE_TIMEOUT_S`."""
        self._record_close(reason)
        self.is_closing = True
        if self.transport is not None:
            self.phase.enter_closing(WRITE_TIMEOUT_S)
            self.transport.close()

    def abort(self, reason: str = ABORTED) -> None:
        """Close at once; what the client has not taken yet is lost."""
        self._record_close(reason)
        self.is_closing = True
        self.phase.enter(None)
        if self.transport is not None:
            self.transport.abort()

    def _record_close(self, reason: str) -> None:
        """Count why this process closes the connection, unless it does so already."""
        if self.transport is not None and not self.transport.is_closing():
            awaits_response = self.exchange.awaits_response and not self.write_blocked
            self.context.closes.record(reason, self.exchange.request, awaits_response, self.has_disconnected)

    def _linger(self) -> None:
        """Close after a response that the client does not expect yet, once it has had `LINGER_S` to read it.

        The client may still be sending, and a reset could overtake the response. What it sends meanwhile
        stays with the kernel, which holds little of it.
        """
        self.is_closing = True
        assert self.transport is not None
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.phase.enter_closing(LINGER_S)

    # Reading

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the shared buffer, whatever size is suggested; called by the loop."""
        return self.context.buffer

    def buffer_updated(self, size: int) -> None:
        """Make requests of what was read into the buffer, and handle the next one; called by the loop."""
        if self.is_closing:
            return  # it follows a request that cannot be read: nothing is known to begin here
        self.parse(bytes(self.context.buffer[:size]))
        self.take_next()
        self.update_phase()

    def parse(self, data: bytes) -> None:
        """Parse these bytes after those that were left; reading pauses while some are left again."""
        assert self.transport is not None
        self.reader.feed(data, MAX_PIPELINED)
        self.handle_read_error()
        if self.is_closing:
            return
        if self.reader.has_failed or self.reader.unparsed:
            if self.read_pause.begin(self.transport):
                self.context.watch_paused(self)
        elif self.read_pause.end(self.transport):
            self.context.unwatch(self)
        self.send_continue()

    def resume_parsing(self) -> None:
        """Parse what was left, as there is capacity again."""
        if self.transport is None or self.is_closing or self.transport.is_closing():
            return
        if self.reader.unparsed:
            self.parse(b"")
            self.take_next()
        self.update_phase()

    def resume_parsing_soon(self) -> None:
        """Parse what was left, in the next turn of the loop."""
        asyncio.get_running_loop().call_soon(self.resume_parsing)

    def send_continue(self) -> None:
        """Write `100 Continue` to a client that waits for it, once its request is the next to be handled."""
        reader = self.reader
        if not reader.expects_continue or self.is_closing or self.discarded_body is not None:
            return
        ahead = (self.exchange.message, *reader.requests)
        if any(message is not None and message is not reader.current_request for message in ahead):
            return
        if self.transport is not None:
            reader.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def handle_read_error(self) -> None:
        """Respond where the body of the request in progress cannot be read to its end."""
        if self.discarded_body is not None and self.reader.has_failed:
            self.close()
        self.exchange.fail_body()

    # Requests and responses

    def take_next(self) -> None:
        """Handle the next request that was read, once the one before has had its response."""
        if self.transport is None or self.is_closing or self.write_blocked or self.exchange.is_busy:
            return
        if self.read_pause.is_active and has_peer_closed(self.poll):
            self.on_hangup()
        if not self.reader.requests and self.reader.unparsed:
            self.parse(b"")
        if not self.reader.requests or self.is_closing or self.discarded_body is not None:
            return
        self.exchange.start(self.reader.requests.popleft())
        self.send_continue()

    def take_next_soon(self) -> None:
        """Handle the next request in the next turn of the loop, if one may have come."""
        if self.reader.requests or self.reader.unparsed:
            asyncio.get_running_loop().call_soon(self.take_next)

    def is_last(self, message: HttpRequest) -> bool:
        """Return whether the connection ends with the response to this request."""
        if message.streamed_body is not None and not message.streamed_body.is_complete:
            return True  # its body is incomplete, and the rest is not waited for
        if not message.keep_alive:
            return True
        drain = self.context.drain
        if not drain.is_draining:
            return False
        # Requests that were read get their responses, also in a shutdown, but not without end.
        has_more = bool(self.reader.requests) or self.reader.has_partial_request
        return not has_more or drain.is_past_response_cutoff(asyncio.get_running_loop().time())

    def on_response_written(self, message: HttpRequest, is_last: bool) -> None:
        """Go on with the next request, or close the connection after its last response."""
        if not is_last:
            self.take_next_soon()
            self.update_phase()
            return
        self.reader.requests.clear()
        if message.streamed_body is not None and not message.streamed_body.is_finished:
            self._discard(message.streamed_body)
        elif message.error is not None:
            self._linger()
        else:
            self.close()

    def _discard(self, streamed_body: StreamedBody) -> None:
        """Read the rest of a body that is not needed, and close then.

        A close before could reset the connection, which would overtake the response: the client reads it when
        it has sent everything.
        """
        self.discarded_body = streamed_body
        streamed_body.discard()
        streamed_body.on_complete = self.close
        self.phase.enter(self.context.phases.receiving_body)

    def pause_writing(self) -> None:
        """The client takes no more for now; called by the loop."""
        self.write_blocked = True
        self.exchange.pause()
        self.update_phase()

    def resume_writing(self) -> None:
        """The client takes more again; called by the loop."""
        self.write_blocked = False
        self.exchange.resume()
        self.update_phase()
        self.take_next_soon()
