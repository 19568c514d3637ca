"""The record that the upstream side of a protocol keeps of a listed server."""

from __future__ import annotations

from dataclasses import dataclass

from sagetrack.config.platform import Address
from sagetrack.core.clock import now_us
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.send_rules import ServerState
from sagetrack.policy.events import ServerStatus


@dataclass(slots=True, eq=False)
class UpstreamServerRecord:
    """A server from the endpoint list.

    Attributes:
        id: The id of the server.
        name: The name of the server in service discovery.
        address: Host and port to connect to.
        started_us: Start time of the server, as reported by service discovery.
        withdrawn_since_us: Time since which the server is draining or gone; None while it is ready.
    """

    id: int
    name: str
    address: Address
    started_us: int = 0
    withdrawn_since_us: int | None = None

    @classmethod
    def from_endpoint(cls, entry: Endpoint) -> UpstreamServerRecord:
        """Create the record of a server that is listed for the first time."""
        return cls(entry.listed.server, entry.name, entry.address, entry.listed.started_us)

    @property
    def state(self) -> ServerState:
        """The server's state for the send rules."""
        return ServerState.SERVING if self.withdrawn_since_us is None else ServerState.WITHDRAWN

    def is_same_incarnation(self, entry: Endpoint) -> bool:
        """Return whether address and start time are unchanged, so that the server was not restarted."""
        return self.address == entry.address and self.started_us == entry.listed.started_us

    def update_incarnation(self, entry: Endpoint) -> None:
        """Set the address and start time of a new incarnation."""
        self.address = entry.address
        self.started_us = entry.listed.started_us

    def update_status(self, status: ServerStatus) -> None:
        """Update the status from the endpoint list; a drain keeps the time at which it began."""
        if status is ServerStatus.READY:
            self.withdrawn_since_us = None
        elif self.withdrawn_since_us is None:
            self.withdrawn_since_us = now_us()

    def mark_withdrawn(self) -> None:
        """Mark the server as removed from the endpoint list."""
        self.withdrawn_since_us = self.withdrawn_since_us or now_us()
