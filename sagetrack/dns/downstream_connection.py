"""Sockets of DNS clients: datagrams, and TCP connections with two-byte lengths (RFC 7766)."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol, cast

from sagetrack.dns.message import HEADER_BYTES
from sagetrack.dns.query_handler import QueryHandler

MAX_PIPELINED_QUERIES = 64  # in flight on one TCP connection
IDLE_TIMEOUT_S = 10.0
UNREAD_TIMEOUT_S = 3.0  # for a client that does not read its responses
MAX_UNREAD_BYTES = 128 * 1024  # of responses; nothing more is read from the client until there are fewer


class UdpListener(asyncio.DatagramProtocol):
    """One address over UDP."""

    def __init__(self, handler: QueryHandler) -> None:
        self.handler = handler
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is ready."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Handle one message."""
        transport = self.transport
        if transport is not None:
            self.handler.handle(data, addr[0], addr, True, lambda response: transport.sendto(response, addr))

    def error_received(self, exc: Exception) -> None:
        """Ignore it: a client has gone, and nobody waits for the response."""


class ConnectionRegistry(Protocol):
    """What a connection asks of the listener that accepted it."""

    def admit(self, connection: DownstreamTcpConnection) -> bool:
        """Register a connection; False if there are too many."""

    def discard(self, connection: DownstreamTcpConnection) -> None:
        """Forget a connection that has closed."""

    def is_draining(self) -> bool:
        """Whether connections should close once their queries are answered."""


class DownstreamTcpConnection(asyncio.Protocol):
    """One TCP connection of a client; queries are answered in any order.

    Args:
        handler: Where queries go.
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
        self.timeout_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or abort it if there are too many."""
        self.transport = cast(asyncio.Transport, transport)
        peer = transport.get_extra_info("peername")
        self.host = peer[0] if peer else ""
        self.transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)
        if not peer or not self.registry.admit(self):
            self.transport.abort()
            return
        self.set_timeout(IDLE_TIMEOUT_S)

    def set_timeout(self, timeout_s: float | None) -> None:
        """Abort the connection after a time; None: not at all."""
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        self.timeout_timer = None if timeout_s is None else self.loop.call_later(timeout_s, self.abort)

    def data_received(self, data: bytes) -> None:
        """Handle the messages that are complete."""
        self.buffer += data
        self.read_messages()

    def read_messages(self) -> None:
        """Handle buffered messages, as many as may be in flight at once; pause reading beyond that."""
        while (
            len(self.buffer) >= 2 and self.queries_in_flight < MAX_PIPELINED_QUERIES and not self.write_paused
        ):
            length = int.from_bytes(self.buffer[:2])
            if length < HEADER_BYTES:
                self.abort()  # no message is shorter: this is no DNS
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
        """Pause or resume reading from the client."""
        should_pause = self.queries_in_flight >= MAX_PIPELINED_QUERIES or self.write_paused
        if self.transport is None or should_pause == self.read_paused or self.transport.is_closing():
            return
        self.read_paused = should_pause
        if should_pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def handle_message(self, message: bytes) -> None:
        """Handle one message."""
        self.queries_in_flight += 1
        has_responded = False

        def write(response: bytes) -> None:
            nonlocal has_responded
            has_responded = True
            self.queries_in_flight -= 1
            if self.transport is not None and not self.transport.is_closing():
                self.transport.write(len(response).to_bytes(2) + response)
                self.loop.call_soon(self.continue_reading)

        will_respond = self.handler.handle(message, self.host, self, False, write)
        if not will_respond and not has_responded:
            self.queries_in_flight -= 1  # a repeat, whose response is due, or nothing that can be answered

    def continue_reading(self) -> None:
        """Go on after a response; a draining connection closes after its last one."""
        if self.transport is not None and not self.transport.is_closing():
            if self.registry.is_draining() and not self.queries_in_flight:
                self.transport.close()
            else:
                self.read_messages()

    def pause_writing(self) -> None:
        """The client does not read: take no more queries, and abort the connection unless it reads soon."""
        self.write_paused = True
        self.read_messages()
        self.set_timeout(UNREAD_TIMEOUT_S)

    def resume_writing(self) -> None:
        """The client reads again."""
        self.write_paused = False
        self.read_messages()

    def connection_lost(self, exc: Exception | None) -> None:
        """The socket is gone."""
        self.transport = None
        self.registry.discard(self)
        self.set_timeout(None)

    def abort(self) -> None:
        """Abort the connection."""
        self.registry.discard(self)
        if self.transport is not None:
            self.transport.abort()
