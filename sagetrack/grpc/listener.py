"""Accepts connections of gRPC clients, and drains them at shutdown."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable

from sagetrack.config.platform import Address
from sagetrack.core.clock import now_us
from sagetrack.core.gateway import Gateway
from sagetrack.core.memory_budget import MemoryBudget
from sagetrack.core.transient_errors import require_sockets
from sagetrack.grpc.downstream_connection import GrpcDownstreamConnection
from sagetrack.grpc.request_intake import RequestBuilder, RequestIntake

MAX_CONNECTIONS = 256
LISTEN_BACKLOG = 256
SWEEP_INTERVAL_S = 0.5
DRAIN_POLL_S = 0.02


class GrpcListener:
    """The listening sockets for gRPC clients, and the open connections.

    Args:
        gateway: Handles the requests.
        request_builder: Creates a request of the gateway from its parts.
        is_standby: Returns whether the process is on standby, so that connections drain.
        memory_budget: Memory budget of the process.
    """

    def __init__(
        self,
        gateway: Gateway,
        request_builder: RequestBuilder,
        is_standby: Callable[[], bool],
        memory_budget: MemoryBudget,
    ) -> None:
        self.intake = RequestIntake(gateway, request_builder, memory_budget)
        self.is_standby = is_standby
        self.connections: set[GrpcDownstreamConnection] = set()
        self.servers: list[asyncio.Server] = []
        self.shutting_down = False
        self.sweep_timer: asyncio.TimerHandle | None = None

    async def start(
        self, addresses: list[Address], tls: ssl.SSLContext | None = None, shared: bool = False
    ) -> list[Address]:
        """Listen on each address, with `SO_REUSEPORT` if `shared`.

        Returns:
            The addresses, with the ports chosen by the system in place of port 0.

        Raises:
            OSError: An address cannot be bound.
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

    # Interface `ConnectionRegistry`

    def add(self, connection: GrpcDownstreamConnection) -> bool:
        """Register a connection; returns False if `MAX_CONNECTIONS` are open already."""
        if len(self.connections) >= MAX_CONNECTIONS:
            return False
        self.connections.add(connection)
        return True

    def discard(self, connection: GrpcDownstreamConnection) -> None:
        """Remove a connection that has closed."""
        self.connections.discard(connection)

    def is_draining(self) -> bool:
        """Return whether connections should accept no new streams."""
        return self.shutting_down or self.is_standby()

    def sweep(self) -> None:
        """Check the timeouts of all connections, and schedule the next check."""
        self.sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)
        now = now_us()
        for connection in list(self.connections):
            if self.is_draining():
                connection.drain()
            connection.sweep(now)

    async def shut_down(self, until_s: float) -> None:
        """Shut down gracefully: send GOAWAY to all clients, and wait for open streams to complete.

        Args:
            until_s: Time on the event loop's clock at which connections that are still open are closed.
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
        """Return the values of the exported metrics."""
        counts = self.intake.counts
        return {
            "new_clients": len(self.connections),
            "new_clients_total": counts.connections,
            "new_calls_total": counts.requests,
            "new_unreadable_total": counts.invalid_requests,
            "new_clients_calmed_total": counts.closed_for_violations,
        }

    def close(self) -> None:
        """Stop listening, and close all connections immediately."""
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        for server in self.servers:
            server.close()
        for connection in list(self.connections):
            connection.close()
