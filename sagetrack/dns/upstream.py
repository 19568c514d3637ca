"""Upstream DNS servers: attempts over UDP, repeated over TCP if the response is truncated (RFC 7766)."""

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
    """The UDP sockets and the TCP connection to one server.

    Args:
        loop: The running event loop.
        server: The server.
        counts: Counters of upstream events.
        retry_over_tcp: Called with an attempt whose response over UDP was truncated.
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
        self.udp_sockets: list[UdpSocket] = []
        self.tcp_connection: UpstreamTcpConnection | None = None
        self.last_socket_index = 0

    def next_udp_socket(self, now: int) -> UdpSocket:
        """Return the next socket in turn; a used-up one is first replaced by a new one with another port.

        Raises:
            OSError: A new socket cannot be created or connected.
        """
        self.last_socket_index = (self.last_socket_index + 1) % SOCKETS_PER_SERVER
        if self.last_socket_index >= len(self.udp_sockets):
            self.udp_sockets.append(self.open_udp_socket())
            return self.udp_sockets[-1]
        udp = self.udp_sockets[self.last_socket_index]
        if udp.is_used_up(now):
            udp.retire()
            udp = self.udp_sockets[self.last_socket_index] = self.open_udp_socket()
        return udp

    def open_udp_socket(self) -> UdpSocket:
        """Open a UDP socket with a random source port."""
        return UdpSocket(self.loop, self.server.address, self.counts, self.on_truncated)

    def on_truncated(self, attempt: DnsAttempt) -> None:
        """Repeat an attempt over TCP after a truncated response over UDP."""
        self.retry_over_tcp(self, attempt)

    def new_tcp_connection(self) -> UpstreamTcpConnection:
        """Create a TCP connection object, which the caller has yet to connect."""
        self.tcp_connection = UpstreamTcpConnection(self.loop, self.server, self.counts, self.discard)
        return self.tcp_connection

    def discard(self, connection: UpstreamTcpConnection) -> None:
        """Drop a TCP connection that has closed."""
        if self.tcp_connection is connection:
            self.tcp_connection = None

    @property
    def open_count(self) -> int:
        """The number of open sockets."""
        return len(self.udp_sockets) + (self.tcp_connection is not None)

    def retire_udp(self) -> None:
        """Send no more queries over the current UDP sockets; each closes once no attempt waits on it."""
        for udp in self.udp_sockets:
            udp.retire()
        self.udp_sockets.clear()

    def close_idle(self) -> None:
        """Retire the UDP sockets, and close the TCP connection if no attempt waits on it."""
        self.retire_udp()
        if self.tcp_connection is not None and not self.tcp_connection.waiting:
            self.tcp_connection.close()

    def close(self) -> None:
        """Close all sockets immediately."""
        for udp in self.udp_sockets:
            udp.close()
        if self.tcp_connection is not None:
            self.tcp_connection.close()


class DnsUpstreams:
    """The pool of upstream DNS servers.

    Every attempt ends with exactly one call of its observer's `on_attempt_ended`.

    Args:
        settings: Settings of the load balancer, for the connect timeout.
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
        """The ids of the listed servers."""
        return self.servers.keys()

    @property
    def open_sockets(self) -> int:
        """The number of sockets to all servers."""
        return sum(sockets.open_count for sockets in self.servers.values())

    def server_start_times(self) -> dict[int, int]:
        """Return the start time in microseconds of each listed server."""
        return {number: sockets.server.started_us for number, sockets in self.servers.items()}

    def put(self, entry: Endpoint) -> None:
        """Add a server, or update its address, start time and status."""
        listed = entry.listed
        sockets = self.servers.get(listed.server)
        if sockets is not None and not sockets.server.is_same_incarnation(entry):
            sockets.close_idle()
            sockets = None
        if sockets is None:
            server = UpstreamServerRecord.from_endpoint(entry)
            sockets = DnsServerSockets(self.loop, server, self.counts, self.retry_over_tcp)
            self.servers[listed.server] = sockets
        sockets.server.update_status(listed.status)

    def remove(self, server: int) -> None:
        """Remove a server; queries in flight to it can still complete."""
        sockets = self.servers.pop(server, None)
        if sockets is not None:
            sockets.server.mark_withdrawn()
            sockets.retire_udp()

    def close_idle(self, server: int) -> None:
        """Close the sockets to an earlier incarnation of a server; UDP sockets in use close once idle."""
        sockets = self.servers.get(server)
        if sockets is not None:
            sockets.close_idle()

    def probe(self, server: int, on_result: Callable[[Outcome, int, LoadReport | None], None]) -> None:
        """Do nothing: upstream DNS servers are never probed."""

    # Attempts

    def begin(
        self, request: Request, server: int, timeout_us: int, observer: AttemptObserver
    ) -> DnsAttempt | None:
        """Start an attempt that times out after `timeout_us`; returns None if the server is not listed."""
        sockets = self.servers.get(server)
        if sockets is None:
            return None
        now = now_us()
        attempt = DnsAttempt(sockets.server, request.message, observer, now)
        if not observer.may_begin(sockets.server.state):
            attempt.finish(Outcome.NOT_SENT)
            return attempt
        attempt.start_timeout(self.loop.call_later(timeout_us / 1e6, attempt.finish, Outcome.TIMEOUT))
        observer.on_first_byte()
        try:
            sent = sockets.next_udp_socket(now).send(attempt)
        except OSError:
            sent = False
        if not sent:
            attempt.finish(Outcome.CONNECT_FAILED)
            return attempt
        self.counts.udp_attempts += 1
        attempt.on_request_sent()
        return attempt

    def retry_over_tcp(self, sockets: DnsServerSockets, attempt: DnsAttempt) -> None:
        """Repeat a query over TCP, within the same attempt and its timeout."""
        self.counts.tcp_retries += 1
        connection = sockets.tcp_connection
        if connection is None or connection.closed:
            connection = sockets.new_tcp_connection()
            task: asyncio.Task[object] = self.loop.create_task(self.connect(connection))
            self.connecting.add(task)
            task.add_done_callback(self.connecting.discard)
        connection.send(attempt)

    async def connect(self, connection: UpstreamTcpConnection) -> None:
        """Connect a TCP connection; on failure or timeout, end its attempts with an error."""
        try:
            async with asyncio.timeout(self.settings.connect_timeout_us / 1e6):
                await self.loop.create_connection(lambda: connection, *connection.server.address)
        except (OSError, TimeoutError):
            connection.fail(Outcome.ERROR)  # not CONNECT_FAILED: the server has executed the query over UDP

    def cancel(self, attempt: DnsAttempt) -> None:
        """Cancel an attempt."""
        attempt.finish(Outcome.CANCELLED)

    def end(self, attempt: DnsAttempt, outcome: Outcome) -> None:
        """End an attempt with this outcome."""
        attempt.finish(outcome)

    def cancel_unsent(self, attempt: DnsAttempt) -> None:
        """Cancel an attempt that waits for a TCP connection; all others have been sent over UDP or TCP."""
        carrier = attempt.carrier
        if isinstance(carrier, UpstreamTcpConnection) and attempt in carrier.awaiting_connect:
            attempt.finish(Outcome.CANCELLED)  # not NOT_SENT: the server has executed the query over UDP

    def close(self) -> None:
        """Close all sockets immediately."""
        for task in self.connecting:
            task.cancel()
        for sockets in self.servers.values():
            sockets.close()
