"""Listens for DNS clients over UDP and TCP, limits their connections, and drains them at shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from sagetrack.config.platform import Address
from sagetrack.core.acceptor import BACKLOG, Acceptor
from sagetrack.core.drain import STANDBY_IDLE_DELAY_S
from sagetrack.core.fronts import ClientAdmission
from sagetrack.core.listening_socket import bind_listener
from sagetrack.core.memory_budget import MemoryBudget, OverloadAction
from sagetrack.dns.downstream_connection import DownstreamTcpConnection, UdpListener
from sagetrack.dns.query_handler import QueryHandler

LISTEN_BACKLOG = 256
IDLE_S = 2.0  # time after which an idle connection is closed while memory is short
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
        memory_budget: Memory budget of the process.
        admission: Decides whether one more client is accepted.
        shrink_cache: Gives back a part of the cache while memory is short.
    """

    def __init__(
        self,
        handler: QueryHandler,
        limits: ClientLimits,
        memory_budget: MemoryBudget,
        admission: ClientAdmission,
        shrink_cache: Callable[[], None],
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.memory_budget = memory_budget
        self.admission = admission
        self.shrink_cache = shrink_cache
        self.loop = asyncio.get_running_loop()
        self.udp_transports: list[asyncio.DatagramTransport] = []
        self.acceptors: list[Acceptor] = []
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
        for address in addresses:
            listener = bind_listener(address, LISTEN_BACKLOG, shared)
            acceptor = Acceptor(
                self.has_capacity,
                self.admission.reclaim_idle_client,
                lambda waiting_since_us: DownstreamTcpConnection(self.handler, self),
            )
            acceptor.start(listener)
            self.acceptors.append(acceptor)
            host, port = listener.getsockname()[:2]
            udp, _ = await self.loop.create_datagram_endpoint(
                lambda: UdpListener(self.handler), (host, port), reuse_port=shared
            )
            self.udp_transports.append(udp)
            bound.append((host, port))
        self.admission.add(self)
        return bound

    def has_capacity(self) -> bool:
        """Return whether one more client is accepted; if necessary, an idle one is closed to make room."""
        has_room = self.count_connections() < self.limits.max_connections or self.reclaim_idle(0.0)
        return has_room and self.admission.admit()

    # Interface `Front`

    def count_connections(self) -> int:
        """Return the number of TCP connections that are open or being set up."""
        return len(self.connections) + sum(len(acceptor.pending) for acceptor in self.acceptors)

    def reclaim_idle(self, min_idle_s: float) -> bool:
        """Close the connection that has been idle for longest; False if none was idle for that long."""
        idle = max(self.connections, key=DownstreamTcpConnection.idle_s, default=None)
        if idle is None or idle.idle_s() <= min_idle_s:
            return False
        idle.abort()
        return True

    def sweep(self, action: OverloadAction) -> None:
        """Close connections that are idle during a drain, and carry out an overload action."""
        if self.is_draining():
            while self.reclaim_idle(STANDBY_IDLE_DELAY_S):
                pass
        if action >= OverloadAction.SHRINK_BUFFERS:
            self.shrink_cache()
        if action >= OverloadAction.CLOSE_IDLE:
            while self.reclaim_idle(IDLE_S):
                pass
        if action >= OverloadAction.RESET_STREAMS:
            for connection in list(self.connections):
                if connection.write_paused:
                    connection.abort()

    # Implementation of ConnectionRegistry

    def admit(self, connection: DownstreamTcpConnection) -> bool:
        """Register a connection; returns False if its client is denied or has too many."""
        from_host = sum(other.host == connection.host for other in self.connections)
        if from_host >= self.limits.max_connections_per_client or not self.handler.access.allows(
            connection.host
        ):
            return False
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
        while (self.stop_accepting() or self.handler.waiting) and self.loop.time() < until_s:
            await asyncio.sleep(DRAIN_POLL_S)
        self.close()

    def stop_accepting(self) -> bool:
        """Stop listening once no connection waits to be accepted; True while one does."""
        for acceptor in self.acceptors:
            if acceptor.listener is not None and acceptor.accept(BACKLOG):
                acceptor.stop()
        return any(acceptor.listener is not None or acceptor.pending for acceptor in self.acceptors)

    def close(self) -> None:
        """Close all sockets immediately."""
        for acceptor in self.acceptors:
            acceptor.stop()
        for transport in self.udp_transports:
            transport.close()
        for connection in list(self.connections):
            connection.abort()
