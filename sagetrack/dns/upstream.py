"""Upstream DNS servers: attempts over UDP, and over TCP where the response was cut short (RFC 7766)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from sagetrack.core.clock import now_us
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.interfaces import AttemptObserver
from sagetrack.core.requests import Request
from sagetrack.core.upstream_server import UpstreamServerRecord
from sagetrack.dns.tcp_connection import UpstreamTcpConnection
from sagetrack.dns.udp_socket import UdpSocket
from sagetrack.dns.upstream_attempt import DnsAttempt, UpstreamCounts
from sagetrack.policy.events import LoadReport, Outcome
from sagetrack.policy.settings import Settings

SOCKETS_PER_SERVER = 4


class DnsServerSockets:
    """The sockets to one server.

    Args:
        loop: The running event loop.
        server: The server.
        counts: Where events are counted.
        retry_over_tcp: Takes an attempt whose response over UDP was cut short.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        server: UpstreamServerRecord,
        counts: UpstreamCounts,
        retry_over_tcp: Callable[[DnsServerSockets, DnsAttempt], None],
    ) -> None:
        self.loop = loop
        self.server = server
        self.counts = counts
        self.retry_over_tcp = retry_over_tcp
        self.udp: list[UdpSocket] = []
        self.tcp: UpstreamTcpConnection | None = None
        self.last_index = 0

    def next_udp_socket(self, now: int) -> UdpSocket:
        """The next socket in turn; one that is used up is replaced by one with another port.

        Raises:
            OSError: A new socket cannot be made or connected.
        """
        self.last_index = (self.last_index + 1) % SOCKETS_PER_SERVER
        if self.last_index >= len(self.udp):
            self.udp.append(self.open_udp_socket())
            return self.udp[-1]
        udp = self.udp[self.last_index]
        if udp.is_used_up(now):
            udp.retire()
            udp = self.udp[self.last_index] = self.open_udp_socket()
        return udp

    def open_udp_socket(self) -> UdpSocket:
        """Open a socket with a random source port."""
        return UdpSocket(self.loop, self.server.address, self.counts, self.on_truncated)

    def on_truncated(self, attempt: DnsAttempt) -> None:
        """A response over UDP was cut short."""
        self.retry_over_tcp(self, attempt)

    def new_tcp_connection(self) -> UpstreamTcpConnection:
        """Make a connection that is still to be connected."""
        self.tcp = UpstreamTcpConnection(self.loop, self.server, self.counts, self.discard)
        return self.tcp

    def discard(self, connection: UpstreamTcpConnection) -> None:
        """Forget a connection that has closed."""
        if self.tcp is connection:
            self.tcp = None

    def retire_udp(self) -> None:
        """Send nothing more over today's UDP sockets; each closes when nothing waits on it."""
        for udp in self.udp:
            udp.retire()
        self.udp.clear()

    def close_idle(self) -> None:
        """Retire the UDP sockets, and close the TCP connection unless a response is due on it."""
        self.retire_udp()
        if self.tcp is not None and not self.tcp.waiting:
            self.tcp.close()

    def close(self) -> None:
        """Close all at once."""
        for udp in self.udp:
            udp.close()
        if self.tcp is not None:
            self.tcp.close()


class DnsUpstreams:
    """The upstream servers. Every attempt ends once, by its observer's `on_attempt_ended`.

    Args:
        settings: Timeouts.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.servers: dict[int, DnsServerSockets] = {}
        self.counts = UpstreamCounts()
        self.connecting: set[asyncio.Task[object]] = set()

    # Endpoint list

    @property
    def listed(self) -> Collection[int]:
        """Numbers of the listed servers."""
        return self.servers.keys()

    def server_start_times(self) -> dict[int, int]:
        """When each listed server started."""
        return {number: sockets.server.started_us for number, sockets in self.servers.items()}

    def put(self, entry: Endpoint) -> None:
        """Add a server, or take over its new address, start time or status."""
        listed = entry.listed
        known = self.servers.get(listed.server)
        if known is not None and not known.server.is_same_incarnation(entry):
            known.close_idle()
            known = None
        if known is None:
            server = UpstreamServerRecord.from_endpoint(entry)
            known = DnsServerSockets(self.loop, server, self.counts, self.retry_over_tcp)
            self.servers[listed.server] = known
        known.server.update_status(listed.status)

    def remove(self, server: int) -> None:
        """Drop a server; queries that wait there end as they would."""
        known = self.servers.pop(server, None)
        if known is not None:
            known.server.mark_withdrawn()
            known.retire_udp()

    def close_idle(self, server: int) -> None:
        """Close the sockets to a server's earlier incarnation, as they become idle."""
        known = self.servers.get(server)
        if known is not None:
            known.close_idle()

    def probe(self, server: int, on_result: Callable[[Outcome, int, LoadReport | None], None]) -> None:
        """Do nothing: upstream DNS servers are never probed."""

    # Attempts

    def begin(
        self, request: Request, server: int, wait_us: int, observer: AttemptObserver
    ) -> DnsAttempt | None:
        """Send a query to a server and wait `wait_us` for its response; None if it is not listed."""
        sockets = self.servers.get(server)
        if sockets is None:
            return None
        now = now_us()
        attempt = DnsAttempt(sockets.server, request.message, observer, now)
        if not observer.may_begin(sockets.server.state):
            attempt.finish(Outcome.NOT_SENT)
            return attempt
        attempt.start_timeout(self.loop.call_later(wait_us / 1e6, attempt.finish, Outcome.TIMEOUT))
        observer.on_first_byte()
        try:
            sent = sockets.next_udp_socket(now).send(attempt)
        except OSError:
            sent = False
        if not sent:
            attempt.finish(Outcome.CONNECT_FAILED)
            return attempt
        self.counts.udp += 1
        attempt.on_request_sent()
        return attempt

    def retry_over_tcp(self, sockets: DnsServerSockets, attempt: DnsAttempt) -> None:
        """Repeat a query over TCP, as part of the same attempt and within its timeout."""
        self.counts.tcp += 1
        connection = sockets.tcp
        if connection is None or connection.closed:
            connection = sockets.new_tcp_connection()
            task: asyncio.Task[object] = self.loop.create_task(self.connect(connection))
            self.connecting.add(task)
            task.add_done_callback(self.connecting.discard)
        connection.send(attempt)

    async def connect(self, connection: UpstreamTcpConnection) -> None:
        """Connect within the connect timeout, or fail the connection."""
        try:
            async with asyncio.timeout(self.settings.connect_timeout_us / 1e6):
                await self.loop.create_connection(lambda: connection, *connection.server.address)
        except (OSError, TimeoutError):
            connection.fail(Outcome.ERROR)  # the query has run over UDP

    def cancel(self, attempt: DnsAttempt) -> None:
        """Stop waiting for a response."""
        attempt.finish(Outcome.CANCELLED)

    def cancel_unsent(self, attempt: DnsAttempt) -> None:
        """End an attempt that waits for a TCP connection; over UDP all else has been sent."""
        carrier = attempt.carrier
        if isinstance(carrier, UpstreamTcpConnection) and attempt in carrier.awaiting_connect:
            attempt.finish(Outcome.CANCELLED)  # it has run over UDP

    def close(self) -> None:
        """Close all sockets at once."""
        for task in self.connecting:
            task.cancel()
        for sockets in self.servers.values():
            sockets.close()
