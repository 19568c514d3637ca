"""A TCP connection to an upstream server, with pipelined queries answered in any order (RFC 7766)."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import cast

from sagetrack.core.upstream_server import UpstreamServerRecord
from sagetrack.dns.answer import parse_response
from sagetrack.dns.message import HEADER_BYTES, MessageError, encode_upstream_query
from sagetrack.dns.upstream_attempt import DnsAttempt, UpstreamCounts, unused_message_id
from sagetrack.policy.events import Outcome

IDLE_TIMEOUT_S = 8.0


class UpstreamTcpConnection(asyncio.Protocol):
    """A TCP connection to an upstream server.

    Args:
        loop: The running event loop.
        server: The server.
        counts: Counters of upstream events.
        on_closed: Called when the connection can carry no more queries.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        server: UpstreamServerRecord,
        counts: UpstreamCounts,
        on_closed: Callable[[UpstreamTcpConnection], None],
    ) -> None:
        self.loop = loop
        self.server = server
        self.counts = counts
        self.on_closed = on_closed
        self.transport: asyncio.Transport | None = None
        self.waiting: dict[int, DnsAttempt] = {}
        self.awaiting_connect: deque[DnsAttempt] = deque()
        self.buffer = bytearray()
        self.idle_timer: asyncio.TimerHandle | None = None
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the queries that wait for the connection to be established."""
        self.transport = cast(asyncio.Transport, transport)
        while self.awaiting_connect:
            attempt = self.awaiting_connect.popleft()
            if attempt.observer.may_begin(self.server.state):
                self.write(attempt)
            else:
                attempt.finish(Outcome.CANCELLED)  # not NOT_SENT: the server executed the query over UDP

    def send(self, attempt: DnsAttempt) -> None:
        """Send a query, now or once the connection is established."""
        attempt.assign(self)
        if self.transport is None:
            self.awaiting_connect.append(attempt)
        else:
            self.write(attempt)

    def write(self, attempt: DnsAttempt) -> None:
        """Write a query with its two-byte length prefix (RFC 1035, 4.2.2)."""
        assert self.transport is not None
        if attempt.ended:
            return
        attempt.use_message_id(unused_message_id(self.waiting))
        self.waiting[attempt.id] = attempt
        data = encode_upstream_query(attempt.query, attempt.id)
        self.transport.write(len(data).to_bytes(2) + data)
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None

    def data_received(self, data: bytes) -> None:
        """Split the received bytes into messages."""
        self.buffer += data
        while len(self.buffer) >= 2 and not self.closed:
            length = int.from_bytes(self.buffer[:2])
            if len(self.buffer) < 2 + length:
                return
            message = bytes(self.buffer[2 : 2 + length])
            del self.buffer[: 2 + length]
            self.on_message(message)

    def on_message(self, data: bytes) -> None:
        """Match a response with the attempt that waits for it."""
        attempt = self.waiting.get(int.from_bytes(data[:2])) if len(data) >= HEADER_BYTES else None
        if attempt is None:
            self.counts.unmatched += 1
            if len(data) < HEADER_BYTES:
                self.close()  # the peer does not speak DNS, or the message boundaries are lost
            return
        try:
            response = parse_response(data, attempt.query, attempt.id)
        except MessageError:
            response = None
        if response is None:
            self.counts.malformed += 1
            attempt.finish(Outcome.ERROR)
        else:
            attempt.complete(response)

    def discard(self, attempt: DnsAttempt) -> None:
        """Remove an attempt; after the last one, the idle timeout starts."""
        if self.waiting.get(attempt.id) is attempt:
            del self.waiting[attempt.id]
        if attempt in self.awaiting_connect:
            self.awaiting_connect.remove(attempt)
        if not self.waiting and not self.awaiting_connect and self.idle_timer is None:
            self.idle_timer = self.loop.call_later(IDLE_TIMEOUT_S, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """End all attempts, as the connection is closed."""
        self.fail(Outcome.RESET)

    def fail(self, outcome: Outcome) -> None:
        """Mark the connection as closed, and end all its attempts with an outcome."""
        self.closed = True
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.on_closed(self)
        for attempt in [*self.waiting.values(), *self.awaiting_connect]:
            attempt.finish(outcome)

    def close(self) -> None:
        """Abort the connection; its attempts end in `connection_lost`."""
        self.on_closed(self)
        if self.transport is not None:
            self.transport.abort()
