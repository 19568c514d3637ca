"""Client-side protocols: UDP datagrams, and TCP connections with length-prefixed messages (RFC 7766)."""

from __future__ import annotations

import asyncio
import select
from typing import Any, Protocol, cast

from sagetrack.core.memory_budget import MemoryBudget, MemoryClaim
from sagetrack.core.peer_close import has_peer_closed
from sagetrack.dns.message import HEADER_BYTES
from sagetrack.dns.query_handler import QueryHandler

MAX_PIPELINED_QUERIES = 64  # limit on the queries in flight on one TCP connection
IDLE_TIMEOUT_S = 10.0
STALLED_S = 1.0  # a client that has sent nothing of a message for this time counts as stalled
CONNECTION_BYTES = 5 * 1024  # estimated memory of the objects of a connection
LINGER_S = 0.3  # time that a client has to read its last responses during a drain
UNREAD_TIMEOUT_S = 3.0  # a client that does not read its responses for this time is disconnected
MAX_UNREAD_BYTES = 128 * 1024  # above this size of unsent responses, no more queries are read


class UdpListener(asyncio.DatagramProtocol):
    """A UDP socket that receives queries of all clients."""

    def __init__(self, handler: QueryHandler) -> None:
        self.handler = handler
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, which sends the responses."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Handle a message of a client."""
        transport = self.transport
        if transport is not None:
            self.handler.handle(data, addr[0], addr, True, lambda response: transport.sendto(response, addr))

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: the client has closed its socket and no longer waits for the response."""


class ConnectionRegistry(Protocol):
    """Tracks client connections; implemented by the listener that accepts them."""

    def admit(self, connection: DownstreamTcpConnection) -> bool:
        """Register a connection; returns False if it is denied or there are too many."""

    def discard(self, connection: DownstreamTcpConnection) -> None:
        """Remove a connection that has closed."""

    def is_draining(self) -> bool:
        """Return whether connections should close once their queries are answered."""

    @property
    def memory_budget(self) -> MemoryBudget:
        """The memory budget of the process."""


class DownstreamTcpConnection(asyncio.Protocol):
    """A TCP connection of a client; its queries are answered in any order.

    Args:
        handler: Handles the queries.
        registry: The listener that accepted the connection.
    """

    def __init__(self, handler: QueryHandler, registry: ConnectionRegistry) -> None:
        self.handler = handler
        self.registry = registry
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.host = ""
        self.buffer = bytearray()
        self.queries_in_flight = 0
        self.read_paused = False
        self.write_paused = False
        self.is_ending = False  # all responses are written, and no more queries are read
        self.timeout_timer: asyncio.TimerHandle | None = None
        self.claim = MemoryClaim(registry.memory_budget)
        self.moved_s = self.loop.time()  # time at which the client last sent a message or part of one
        self.poll = select.poll()  # detects data and a close that the event loop has not processed yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or abort it if the registry does not admit it."""
        self.transport = cast(asyncio.Transport, transport)
        peer = transport.get_extra_info("peername")
        self.host = peer[0] if peer else ""
        self.transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)
        if not peer or not self.registry.admit(self):
            self.transport.abort()
            return
        descriptor = transport.get_extra_info("socket").fileno()
        self.poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
        self.set_timeout(IDLE_TIMEOUT_S)
        self.update_memory()

    def update_memory(self) -> None:
        """Report what the connection holds to the memory budget."""
        if self.transport is not None:
            unsent = self.transport.get_write_buffer_size()
            self.claim.update(CONNECTION_BYTES + len(self.buffer) + unsent)

    def has_disconnected(self) -> bool:
        """Return whether the client has closed, even if the event loop has not processed it yet."""
        return self.transport is None or self.transport.is_closing() or has_peer_closed(self.poll)

    def idle_s(self) -> float:
        """Return for how long the client has sent nothing; 0 if it is due a response or has just sent data.

        A client that has stopped within a message counts only after `STALLED_S`.
        """
        if self.queries_in_flight or self.write_paused or self.transport is None or self.poll.poll(0):
            return 0.0
        silent_s = self.loop.time() - self.moved_s
        return 0.0 if self.buffer and silent_s < STALLED_S else silent_s

    def set_timeout(self, timeout_s: float | None) -> None:
        """Abort the connection after this time, in place of any earlier timeout; None for no timeout."""
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        self.timeout_timer = None if timeout_s is None else self.loop.call_later(timeout_s, self.abort)

    def data_received(self, data: bytes) -> None:
        """Buffer the received bytes, and handle the complete messages."""
        self.buffer += data
        self.moved_s = self.loop.time()
        self.read_messages()
        self.update_memory()
        if not self.read_paused and self.registry.memory_budget.rejects_incomplete(len(self.buffer)):
            self.abort()

    def read_messages(self) -> None:
        """Handle complete messages up to the limit on queries in flight; pause reading at the limit."""
        while (
            len(self.buffer) >= 2 and self.queries_in_flight < MAX_PIPELINED_QUERIES and not self.write_paused
        ):
            length = int.from_bytes(self.buffer[:2])
            if length < HEADER_BYTES:
                self.abort()  # no DNS message is this short, so the peer does not speak DNS
                return
            if len(self.buffer) < 2 + length:
                break
            message = bytes(self.buffer[2 : 2 + length])
            del self.buffer[: 2 + length]
            self.handle_message(message)
        self.update_reading()
        if not self.write_paused:
            self.set_timeout(None if self.queries_in_flight else IDLE_TIMEOUT_S)

    def update_reading(self) -> None:
        """Pause reading from the client while a limit is reached, and resume it otherwise."""
        should_pause = (
            self.queries_in_flight >= MAX_PIPELINED_QUERIES
            or self.write_paused
            or (self.registry.is_draining() and self.queries_in_flight > 0)
        )
        if self.transport is None or should_pause == self.read_paused or self.transport.is_closing():
            return
        if self.is_ending:
            return
        self.read_paused = should_pause
        if should_pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def handle_message(self, message: bytes) -> None:
        """Handle a message of the client."""
        self.queries_in_flight += 1
        has_responded = False

        def write(response: bytes) -> None:
            nonlocal has_responded
            has_responded = True
            self.queries_in_flight -= 1
            if self.transport is not None and not self.transport.is_closing():
                self.transport.write(len(response).to_bytes(2) + response)
                self.update_memory()
                self.loop.call_soon(self.continue_reading)

        will_respond = self.handler.handle(message, self.host, self, False, write, self.has_disconnected)
        if not will_respond and not has_responded:
            self.queries_in_flight -= 1  # a retransmission or an invalid message, which gets no response

    def continue_reading(self) -> None:
        """Read more queries after a response; if draining, close the connection after the last response."""
        if self.transport is not None and not self.transport.is_closing():
            self.read_messages()
            if self.registry.is_draining() and not self.is_ending and not self.queries_in_flight:
                self.end()

    def end(self) -> None:
        """Close the connection a little later: a close over unread data would reset the last responses."""
        if self.transport is not None and not self.transport.is_closing():
            self.is_ending = True
            if not self.read_paused:
                self.transport.pause_reading()
            self.transport.write_eof()
            self.set_timeout(LINGER_S)

    def pause_writing(self) -> None:
        """Stop reading queries from a client that does not read, and abort the connection on timeout."""
        self.write_paused = True
        self.read_messages()
        self.set_timeout(UNREAD_TIMEOUT_S)

    def resume_writing(self) -> None:
        """Read queries again, as the client has read enough responses."""
        self.write_paused = False
        self.read_messages()
        self.update_memory()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the connection."""
        self.transport = None
        if self.queries_in_flight:
            self.handler.cancel_queries(self)
        self.claim.update(0)
        self.registry.discard(self)
        self.set_timeout(None)

    def abort(self) -> None:
        """Abort the connection."""
        self.registry.discard(self)
        if self.transport is not None:
            self.transport.abort()
