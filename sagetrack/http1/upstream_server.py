"""One upstream server, as far as its connection pool knows it: address, drain state and open connections."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

from sagetrack.config.platform import Address
from sagetrack.core.clock import now_us
from sagetrack.core.send_rules import ServerState

Incarnation = tuple[Address, int]  # where a server listens and when it started
Connection = TypeVar("Connection")


@dataclass(slots=True, eq=False)
class UpstreamServer(Generic[Connection]):
    """One upstream server, with the connections to it.

    The server does not use its connections, so that their type is a parameter: `IdleConnections` decides
    which of them are kept and used.

    Attributes:
        id: Its number in the endpoint list.
        name: Its name there.
        address: Where it listens.
        started_us: When it started, as service discovery reports it.
        drained_us: When this gateway learned that it drains or is gone; None while it serves.
        idle: The connections that wait for an attempt, the most recently used last.
        open_connections: How many connections are up or coming up.
    """

    id: int
    name: str
    address: Address
    started_us: int = 0
    drained_us: int | None = None
    idle: list[Connection] = field(default_factory=list)
    open_connections: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """The address and start time that tell a restarted or moved server from the one before."""
        return self.address, self.started_us

    def state(self, incarnation: Incarnation) -> ServerState:
        """Return what has become of the server since it was this incarnation."""
        if self.drained_us is not None:
            return ServerState.WITHDRAWN
        return ServerState.SERVING if self.incarnation == incarnation else ServerState.RESTARTED

    def move_to(self, incarnation: Incarnation) -> bool:
        """Take over the address and start time of a newer endpoint list; True if either has changed."""
        if self.incarnation == incarnation:
            return False
        self.address, self.started_us = incarnation
        return True

    def mark_drained(self) -> None:
        """Note that the server drains or is gone, from the first notice of that on."""
        if self.drained_us is None:
            self.drained_us = now_us()

    def mark_serving(self) -> None:
        """Note that the server is ready, perhaps again."""
        self.drained_us = None

    def on_connection_opening(self) -> None:
        """Count a connection that is about to be opened."""
        self.open_connections += 1

    def on_connection_ended(self) -> None:
        """Count a connection that has ended or did not come up."""
        self.open_connections -= 1
