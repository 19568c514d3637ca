"""The gateways as the world sees them: a driver that runs them, and which of them are up."""

from __future__ import annotations

from typing import Protocol

from sagetrack.lab.model.client_requests import ClientAttempt
from sagetrack.lab.model.endpoint_entry import EndpointEntry
from sagetrack.lab.model.scenario import ScheduledFault


class GatewayDriver(Protocol):
    """Runs the gateways: in this process on a simulated clock, or as real processes."""

    def start(self) -> None:
        """Start all gateways."""
        ...

    def send(self, attempt: ClientAttempt, /) -> None:
        """Send a client's attempt; `Clients.on_response` is called once, or never."""
        ...

    def disconnect(self, attempt: ClientAttempt, /) -> None:
        """Close the attempt's connection: the client waits no longer."""
        ...

    def send_endpoints(self, gateway: int, entries: list[EndpointEntry], is_complete: bool, /) -> None:
        """Send a gateway changed entries of the endpoint list, or all entries (`is_complete`)."""
        ...

    def kill(self, gateway: int, /) -> None:
        """End a gateway at once."""
        ...

    def restart(self, gateway: int, /) -> None:
        """Start a killed gateway again, with the endpoint list that it last had."""
        ...

    def upgrade(self, gateway: int, /) -> None:
        """Replace a gateway by a new process while it runs."""
        ...

    def set_fault(self, fault: ScheduledFault, is_on: bool, /) -> None:
        """Begin or end a fault that only the driver can cause; one that it does not know is ignored."""
        ...


class GatewayFleet:
    """The driver, which gateways are up, and which of them the front still sends to."""

    def __init__(self, count: int) -> None:
        self.driver: GatewayDriver  # set once the world exists
        self.alive = dict.fromkeys(range(count), True)
        self.in_rotation = dict(self.alive)  # lags behind `alive` until the front notices

    def running(self) -> list[int]:
        """Gateways that are up."""
        return [gateway for gateway, alive in self.alive.items() if alive]

    def kill(self, gateway: int) -> None:
        """End a gateway; the front goes on sending to it until `update_rotation`."""
        self.alive[gateway] = False
        self.driver.kill(gateway)

    def update_rotation(self, gateway: int) -> None:
        """The front has learned whether the gateway is up."""
        self.in_rotation[gateway] = self.alive[gateway]

    def mark_ready(self, gateway: int) -> None:
        """A gateway is up again, and the front sends to it."""
        self.alive[gateway] = True
        self.in_rotation[gateway] = True
