"""Listens for gRPC clients, keeps their connections and drains them at shutdown."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable

from sagetrack.config.platform import Address
from sagetrack.core.bodies import BodyMemoryBudget
from sagetrack.core.clock import now_us
from sagetrack.core.gateway import Gateway
from sagetrack.core.transient_errors import require_sockets
from sagetrack.grpc.downstream_connection import GrpcDownstreamConnection
from sagetrack.grpc.request_intake import RequestIntake, RequestReader

MAX_CONNECTIONS = 256
LISTEN_BACKLOG = 256
SWEEP_INTERVAL_S = 0.5
DRAIN_POLL_S = 0.02


class GrpcListener:
    """All gRPC clients.

    Args:
        gateway: Where requests go.
        read: Makes a request of the gateway from what was received.
        stands_by: Whether the process is on standby, and its connections should drain.
        allowance: Memory for streamed bodies.
    """

    def __init__(
        self,
        gateway: Gateway,
        read: RequestReader,
        stands_by: Callable[[], bool],
        body_budget: BodyMemoryBudget,
    ) -> None:
        self.intake = RequestIntake(gateway, read, body_budget)
        self.stands_by = stands_by
        self.connections: set[GrpcDownstreamConnection] = set()
        self.servers: list[asyncio.Server] = []
        self.shutting_down = False
        self.sweep_timer: asyncio.TimerHandle | None = None

    async def start(
        self, addresses: list[Address], tls: ssl.SSLContext | None = None, shared: bool = False
    ) -> list[Address]:
        """Listen on each address, with `SO_REUSEPORT` if `shared`.

        Returns:
            The addresses with the ports that the system chose for port 0.

        Raises:
            OSError: An address cannot be listened on.
        """
        loop = asyncio.get_running_loop()
        for host, port in addresses:
            server = await loop.create_server(
                lambda: GrpcDownstreamConnection(self.intake, self),
                host,
                port,
                ssl=tls,
                backlog=LISTEN_BACKLOG,
                reuse_port=shared,
            )
            self.servers.append(require_sockets(server))
        self.sweep()
        return [server.sockets[0].getsockname()[:2] for server in self.servers]

    # As the registry of its connections

    def add(self, connection: GrpcDownstreamConnection) -> bool:
        """Register a connection; False if there are `MAX_CONNECTIONS` already."""
        if len(self.connections) >= MAX_CONNECTIONS:
            return False
        self.connections.add(connection)
        return True

    def discard(self, connection: GrpcDownstreamConnection) -> None:
        """Forget a connection that has closed."""
        self.connections.discard(connection)

    def is_draining(self) -> bool:
        """Whether connections should take no new streams."""
        return self.shutting_down or self.stands_by()

    def sweep(self) -> None:
        """Check the timeouts of each connection, periodically."""
        self.sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)
        now = now_us()
        for connection in list(self.connections):
            if self.is_draining():
                connection.drain()
            connection.sweep(now)

    async def shut_down(self, until_s: float) -> None:
        """Shut down gracefully: GOAWAY to all, then wait for open streams.

        Args:
            until_s: When to close what is left, by the clock of the event loop.
        """
        self.shutting_down = True
        for server in self.servers:
            server.close()
        for connection in list(self.connections):
            connection.drain()
        loop = asyncio.get_running_loop()
        while self.connections and loop.time() < until_s:
            await asyncio.sleep(DRAIN_POLL_S)
        self.close()

    def metric_values(self) -> dict[str, float]:
        """Values for the exported metrics."""
        counts = self.intake.counts
        return {
            "new_clients": len(self.connections),
            "new_clients_total": counts.connections,
            "new_calls_total": counts.calls,
            "new_unreadable_total": counts.unreadable,
            "new_clients_calmed_total": counts.closed_for_flooding,
        }

    def close(self) -> None:
        """Stop listening and close all connections at once."""
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        for server in self.servers:
            server.close()
        for connection in list(self.connections):
            connection.close()
