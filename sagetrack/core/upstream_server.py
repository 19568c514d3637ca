"""What an upstream side of a protocol knows of one listed server."""

from __future__ import annotations

from dataclasses import dataclass

from sagetrack.config.platform import Address
from sagetrack.core.clock import now_us
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.send_rules import ServerState
from sagetrack.policy.events import ServerStatus


@dataclass(slots=True, eq=False)
class UpstreamServerRecord:
    """One server as discovery lists it.

    Attributes:
        id: The id of the server.
        name: Its name at service discovery.
        address: Host and port to connect to.
        started_us: When it started, as discovery reports it.
        withdrawn_since_us: Since when it is listed as draining or gone; None while it is ready.
    """

    id: int
    name: str
    address: Address
    started_us: int = 0
    withdrawn_since_us: int | None = None

    @classmethod
    def from_endpoint(cls, entry: Endpoint) -> UpstreamServerRecord:
        """Make the record of a server that is listed for the first time."""
        return cls(entry.listed.server, entry.name, entry.address, entry.listed.started_us)

    @property
    def state(self) -> ServerState:
        """What the send rules have to know of it."""
        return ServerState.SERVING if self.withdrawn_since_us is None else ServerState.WITHDRAWN

    def is_same_incarnation(self, entry: Endpoint) -> bool:
        """Return whether the server still has its address and start time, so that it was not restarted."""
        return self.address == entry.address and self.started_us == entry.listed.started_us

    def update_incarnation(self, entry: Endpoint) -> None:
        """Take over the address and start time of another incarnation."""
        self.address = entry.address
        self.started_us = entry.listed.started_us

    def update_status(self, status: ServerStatus) -> None:
        """Take over the status in the endpoint list; the first time of a drain counts."""
        if status is ServerStatus.READY:
            self.withdrawn_since_us = None
        elif self.withdrawn_since_us is None:
            self.withdrawn_since_us = now_us()

    def mark_withdrawn(self) -> None:
        """Note that the server is not listed any more."""
        self.withdrawn_since_us = self.withdrawn_since_us or now_us()
