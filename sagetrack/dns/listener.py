"""Listens for DNS clients over UDP and TCP, limits their connections, and drains them at shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from sagetrack.config.platform import Address
from sagetrack.core.transient_errors import require_sockets
from sagetrack.dns.downstream_connection import DownstreamTcpConnection, UdpListener
from sagetrack.dns.query_handler import QueryHandler

LISTEN_BACKLOG = 256
DRAIN_POLL_S = 0.02


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Limits on the queries in flight and the TCP connections, per client and in total."""

    max_queries_per_client: int = 256
    max_queries: int = 10_000
    max_connections: int = 256
    max_connections_per_client: int = 16


class DnsListener:
    """The listening sockets and the TCP connections of DNS clients.

    Args:
        handler: Handles the queries.
        limits: Limits on the number of connections.
    """

    def __init__(self, handler: QueryHandler, limits: ClientLimits) -> None:
        self.handler = handler
        self.limits = limits
        self.loop = asyncio.get_running_loop()
        self.udp_transports: list[asyncio.DatagramTransport] = []
        self.tcp_servers: list[asyncio.Server] = []
        self.connections: dict[DownstreamTcpConnection, None] = {}  # an ordered set, oldest first
        self.shutting_down = False
        self.is_standby: Callable[[], bool] = lambda: False

    async def start(self, addresses: list[Address], shared: bool = False) -> list[Address]:
        """Listen over UDP and TCP on each address, with `SO_REUSEPORT` if `shared`.

        Returns:
            The bound addresses; port 0 is replaced by the port that the system chose.

        Raises:
            OSError: An address cannot be bound.
        """
        bound = []
        for host, port in addresses:
            tcp = await self.loop.create_server(
                lambda: DownstreamTcpConnection(self.handler, self),
                host,
                port,
                backlog=LISTEN_BACKLOG,
                reuse_port=shared,
            )
            self.tcp_servers.append(require_sockets(tcp))
            port = tcp.sockets[0].getsockname()[1]
            udp, _ = await self.loop.create_datagram_endpoint(
                lambda: UdpListener(self.handler), (host, port), reuse_port=shared
            )
            self.udp_transports.append(udp)
            bound.append((host, port))
        return bound

    # Implementation of ConnectionRegistry

    def admit(self, connection: DownstreamTcpConnection) -> bool:
        """Register a connection, unless its client is denied or has too many.

        At the total limit, the oldest connection without queries in flight is closed to make room; if there
        is none, the new connection is rejected.

        Returns:
            True if the connection was registered.
        """
        from_host = sum(other.host == connection.host for other in self.connections)
        if from_host >= self.limits.max_connections_per_client or not self.handler.access.allows(
            connection.host
        ):
            return False
        if len(self.connections) >= self.limits.max_connections:
            idle = next((other for other in self.connections if not other.queries_in_flight), None)
            if idle is None:
                return False
            idle.abort()
        self.connections[connection] = None
        return True

    def discard(self, connection: DownstreamTcpConnection) -> None:
        """Remove a connection that has closed."""
        self.connections.pop(connection, None)

    def is_draining(self) -> bool:
        """Return whether connections should close once their queries are answered."""
        return self.shutting_down or self.is_standby()

    # Shutdown

    async def shut_down(self, until_s: float) -> None:
        """Shut down gracefully: accept no more connections, and wait for the queries in flight.

        Args:
            until_s: Time on the clock of the event loop at which all sockets are closed in any case.
        """
        self.shutting_down = True
        for server in self.tcp_servers:
            server.close()
        while self.handler.waiting and self.loop.time() < until_s:
            await asyncio.sleep(DRAIN_POLL_S)
        self.close()

    def close(self) -> None:
        """Close all sockets immediately."""
        for server in self.tcp_servers:
            server.close()
        for transport in self.udp_transports:
            transport.close()
        for connection in list(self.connections):
            connection.abort()
