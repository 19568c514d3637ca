"""State of an upstream server in the connection pool: address, drain state and connections."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

from sagetrack.config.platform import Address
from sagetrack.core.clock import now_us
from sagetrack.core.send_rules import ServerState

Incarnation = tuple[Address, int]  # address and start time of a server
Connection = TypeVar("Connection")


@dataclass(slots=True, eq=False)
class UpstreamServer(Generic[Connection]):
    """One upstream server and its connections.

    This class only stores the connections, so that their type is a type parameter. `IdleConnections` decides
    which connections are kept and reused.

    Attributes:
        id: The id of the server in the endpoint list.
        name: The name of the server in the endpoint list.
        address: The address on which the server listens.
        started_us: The start time of the server, as reported by service discovery.
        withdrawn_since_us: Time since which the server is draining or gone; None while it is serving.
        idle: The idle connections, the most recently used last.
        open_connections: The number of connections that are open or connecting.
    """

    id: int
    name: str
    address: Address
    started_us: int = 0
    withdrawn_since_us: int | None = None
    idle: list[Connection] = field(default_factory=list)
    open_connections: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """The address and start time, which change when the server is restarted or moved."""
        return self.address, self.started_us

    def state(self, incarnation: Incarnation) -> ServerState:
        """Return the current state of the server, compared with this earlier incarnation."""
        if self.withdrawn_since_us is not None:
            return ServerState.WITHDRAWN
        return ServerState.SERVING if self.incarnation == incarnation else ServerState.RESTARTED

    def move_to(self, incarnation: Incarnation) -> bool:
        """Update the address and start time; return whether either has changed."""
        if self.incarnation == incarnation:
            return False
        self.address, self.started_us = incarnation
        return True

    def mark_withdrawn(self) -> None:
        """Mark the server as draining or gone; the time of the first call is kept."""
        if self.withdrawn_since_us is None:
            self.withdrawn_since_us = now_us()

    def mark_serving(self) -> None:
        """Mark the server as serving."""
        self.withdrawn_since_us = None

    def on_connection_opening(self) -> None:
        """Count a connection that is about to be opened."""
        self.open_connections += 1

    def on_connection_ended(self) -> None:
        """Uncount a connection that has ended or could not be opened."""
        self.open_connections -= 1
