"""A connected UDP socket to an upstream server; several queries wait on it, told apart by id and question.

The kernel chooses a random source port, and a connected socket takes responses from its server's address
alone. A response that matches no query is counted and ignored while the query goes on waiting (RFC 5452).
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from sagetrack.config.platform import Address
from sagetrack.core.clock import now_us
from sagetrack.dns.answer import parse_response
from sagetrack.dns.message import HEADER_BYTES, MAX_MESSAGE_BYTES, MessageError, encode_upstream_query
from sagetrack.dns.upstream_attempt import DnsAttempt, UpstreamCounts, unused_message_id
from sagetrack.policy.events import Outcome

MAX_QUERIES_PER_SOCKET = 256  # then another port takes its place
MAX_SOCKET_AGE_US = 5_000_000
MAX_DATAGRAMS_PER_TURN = 64  # of the event loop


class UdpSocket:
    """One socket.

    Args:
        loop: The running event loop.
        address: Of the server.
        counts: Where its events are counted.
        on_truncated: Takes an attempt whose response was cut short; it no longer waits here.

    Raises:
        OSError: The socket cannot be made or connected.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        counts: UpstreamCounts,
        on_truncated: Callable[[DnsAttempt], None],
    ) -> None:
        self.loop = loop
        self.counts = counts
        self.on_truncated = on_truncated
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.waiting: dict[int, DnsAttempt] = {}
        self.query_count = 0
        self.expires_us = now_us() + MAX_SOCKET_AGE_US
        self.retired = False
        self.closed = False
        try:
            self.socket.connect(address)
        except OSError:
            self.socket.close()
            raise
        loop.add_reader(self.socket.fileno(), self.on_readable)

    def is_used_up(self, now: int) -> bool:
        """Whether another socket, with another port, should take its place."""
        return self.closed or self.query_count >= MAX_QUERIES_PER_SOCKET or now >= self.expires_us

    def send(self, attempt: DnsAttempt) -> bool:
        """Send a query; False if that fails."""
        self.query_count += 1
        id_ = unused_message_id(self.waiting)
        try:
            self.socket.send(encode_upstream_query(attempt.query, id_))
        except OSError:
            return False
        attempt.use_message_id(id_)
        attempt.assign(self)
        self.waiting[id_] = attempt
        return True

    def on_readable(self) -> None:
        """Read a bounded number of datagrams."""
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            if self.closed:
                return
            try:
                data = self.socket.recv(MAX_MESSAGE_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # An ICMP error: the port is closed there, so nothing that waits here has run.
                for attempt in list(self.waiting.values()):
                    attempt.finish(Outcome.CONNECT_FAILED)
                return
            self.on_datagram(data)

    def on_datagram(self, data: bytes) -> None:
        """Match a response with its query."""
        attempt = self.waiting.get(int.from_bytes(data[:2])) if len(data) >= HEADER_BYTES else None
        if attempt is None:
            self.counts.unmatched += 1
            return
        try:
            response = parse_response(data, attempt.query, attempt.id)
        except MessageError:
            self.counts.malformed += 1
            attempt.finish(Outcome.ERROR)
            return
        if response is None:
            self.counts.unmatched += 1
        elif response.truncated:
            self.forget(attempt)
            self.on_truncated(attempt)
        else:
            attempt.complete(response)

    def forget(self, attempt: DnsAttempt) -> None:
        """Drop an attempt; a retired socket is closed with its last one."""
        if self.waiting.get(attempt.id) is attempt:
            del self.waiting[attempt.id]
        if self.retired and not self.waiting:
            self.close()

    def retire(self) -> None:
        """Close it once nothing waits on it; its owner sends nothing more."""
        self.retired = True
        if not self.waiting:
            self.close()

    def close(self) -> None:
        """Close it at once."""
        if not self.closed:
            self.closed = True
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
