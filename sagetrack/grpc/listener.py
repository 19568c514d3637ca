"""Accepts connections of gRPC clients, and drains them at shutdown."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable

from sagetrack.config.platform import Address
from sagetrack.core.acceptor import BACKLOG, Acceptor
from sagetrack.core.clock import now_us
from sagetrack.core.fronts import ClientAdmission
from sagetrack.core.gateway import Gateway
from sagetrack.core.listening_socket import bind_listener
from sagetrack.core.memory_budget import MemoryBudget, OverloadAction
from sagetrack.grpc.downstream_connection import GrpcDownstreamConnection
from sagetrack.grpc.overload import GrpcOverload
from sagetrack.grpc.read_scheduler import ReadScheduler
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
        admission: Decides whether one more client is accepted.

    Attributes:
        addresses: The addresses at which this listens, with the ports that the system chose.
    """

    def __init__(
        self,
        gateway: Gateway,
        request_builder: RequestBuilder,
        is_standby: Callable[[], bool],
        memory_budget: MemoryBudget,
        admission: ClientAdmission,
    ) -> None:
        self.intake = RequestIntake(gateway, request_builder, memory_budget)
        self.is_standby = is_standby
        self.connections: set[GrpcDownstreamConnection] = set()
        self.acceptors: list[Acceptor] = []
        self.addresses: list[Address] = []
        self.admission = admission
        self.overload = GrpcOverload(memory_budget, self.connections)
        self.reads = ReadScheduler()
        memory_budget.sources.append(lambda: self.reads.held_bytes)
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
        for address in addresses:
            listener = bind_listener(address, LISTEN_BACKLOG, shared)
            self.addresses.append(listener.getsockname()[:2])
            acceptor = Acceptor(
                self.admit,
                self.admission.reclaim_idle_client,
                lambda waiting_since_us: GrpcDownstreamConnection(self.intake, self),
                tls,
            )
            acceptor.start(listener)
            self.acceptors.append(acceptor)
        self.admission.add(self)
        self.check_timeouts()
        return self.addresses

    def admit(self) -> bool:
        """Return whether one more client is accepted; others wait in the listening socket."""
        return self.count_connections() < MAX_CONNECTIONS and self.admission.admit()

    # Interface `Front`

    def count_connections(self) -> int:
        """Return the number of connections that are open or being set up."""
        return len(self.connections) + sum(len(acceptor.pending) for acceptor in self.acceptors)

    def reclaim_idle(self, min_idle_s: float) -> bool:
        """Close the connection that has been idle for longest; False if none was idle for that long."""
        now = now_us()
        idle = max(self.connections, key=lambda connection: connection.idle_us(now), default=None)
        if idle is None or idle.idle_us(now) <= min_idle_s * 1e6:
            return False
        idle.drain()
        idle.close()
        return True

    def sweep(self, action: OverloadAction) -> None:
        """Carry out an overload action on the connections and their streams."""
        self.overload.relieve(action, now_us())

    # Interface `ConnectionRegistry`

    def add(self, connection: GrpcDownstreamConnection) -> None:
        """Register a connection that was accepted."""
        self.connections.add(connection)

    def discard(self, connection: GrpcDownstreamConnection) -> None:
        """Remove a connection that has closed."""
        self.connections.discard(connection)

    def is_draining(self) -> bool:
        """Return whether connections should accept no new streams."""
        return self.shutting_down or self.is_standby()

    def check_timeouts(self) -> None:
        """Check the timeouts of all connections, and schedule the next check."""
        self.sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.check_timeouts)
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
        for connection in list(self.connections):
            connection.drain()
        loop = asyncio.get_running_loop()
        while (self.stop_accepting() or self.count_connections()) and loop.time() < until_s:
            await asyncio.sleep(DRAIN_POLL_S)
        self.close()

    def stop_accepting(self) -> bool:
        """Stop listening once no connection waits to be accepted; True while one does.

        A client whose connection waits has perhaps sent a request already; GOAWAY tells it to send it again.
        """
        for acceptor in self.acceptors:
            if acceptor.listener is not None and acceptor.accept(BACKLOG):
                acceptor.stop()
        return any(acceptor.listener is not None for acceptor in self.acceptors)

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
        for acceptor in self.acceptors:
            acceptor.stop()
        for connection in list(self.connections):
            connection.close()
