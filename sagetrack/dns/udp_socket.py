"""A connected UDP socket to an upstream server, on which several queries can wait for their responses.

Against spoofing (RFC 5452), the kernel chooses a random source port, and the connected socket receives
datagrams from the server's address only. Responses are matched by message id and question; one that matches
no query is counted and ignored, and the query keeps waiting.
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

MAX_QUERIES_PER_SOCKET = 256  # after this many queries, a socket with another port replaces this one
MAX_SOCKET_AGE_US = 5_000_000  # after this time, a socket with another port replaces this one
MAX_DATAGRAMS_PER_TURN = 64  # limit on datagrams read in one iteration of the event loop


class UdpSocket:
    """A UDP socket to an upstream server.

    Args:
        loop: The running event loop.
        address: Address of the server.
        counts: Counters of upstream events.
        on_truncated: Called with an attempt whose response was truncated, after the socket dropped it.

    Raises:
        OSError: The socket cannot be created or connected.
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
        """Return whether a new socket with another port should replace this one."""
        return self.closed or self.query_count >= MAX_QUERIES_PER_SOCKET or now >= self.expires_us

    def send(self, attempt: DnsAttempt) -> bool:
        """Send a query; returns whether that succeeded."""
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
        """Read up to `MAX_DATAGRAMS_PER_TURN` datagrams."""
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            if self.closed:
                return
            try:
                data = self.socket.recv(MAX_MESSAGE_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # An ICMP error: the server's port is closed, so none of the waiting queries was executed.
                for attempt in list(self.waiting.values()):
                    attempt.finish(Outcome.CONNECT_FAILED)
                return
            self.on_datagram(data)

    def on_datagram(self, data: bytes) -> None:
        """Match a response with the attempt that waits for it."""
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
            self.discard(attempt)
            self.on_truncated(attempt)
        else:
            attempt.complete(response)

    def discard(self, attempt: DnsAttempt) -> None:
        """Remove an attempt; a retired socket closes after its last one."""
        if self.waiting.get(attempt.id) is attempt:
            del self.waiting[attempt.id]
        if self.retired and not self.waiting:
            self.close()

    def retire(self) -> None:
        """Close the socket once no attempt waits on it; the owner sends no more queries over it."""
        self.retired = True
        if not self.waiting:
            self.close()

    def close(self) -> None:
        """Close the socket immediately."""
        if not self.closed:
            self.closed = True
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
