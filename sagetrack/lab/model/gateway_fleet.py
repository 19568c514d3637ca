"""The gateways as the world sees them: the driver that runs them, and the state of each gateway."""

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
        """Send a client's attempt; calls `Clients.on_response` at most once."""
        ...

    def disconnect(self, attempt: ClientAttempt, /) -> None:
        """Close the connection of an attempt because its client has stopped waiting."""
        ...

    def send_endpoints(self, gateway: int, entries: list[EndpointEntry], is_complete: bool, /) -> None:
        """Send a gateway changed entries of the endpoint list, or all entries (`is_complete`)."""
        ...

    def kill(self, gateway: int, /) -> None:
        """Terminate a gateway at once, without draining."""
        ...

    def restart(self, gateway: int, /) -> None:
        """Restart a killed gateway, with the endpoint list that it had last."""
        ...

    def upgrade(self, gateway: int, /) -> None:
        """Replace the process of a running gateway by a new one (hot restart)."""
        ...

    def set_fault(self, fault: ScheduledFault, is_on: bool, /) -> None:
        """Begin or end a fault that only the driver can inject; unknown kinds are ignored."""
        ...


class GatewayFleet:
    """The driver, and for each gateway whether it is up and whether clients are sent to it."""

    def __init__(self, count: int) -> None:
        self.driver: GatewayDriver  # set before `World.prepare` is called
        self.alive = dict.fromkeys(range(count), True)
        self.in_rotation = dict(self.alive)  # gateways that clients are sent to; follows `alive` with a delay

    def running(self) -> list[int]:
        """Return the gateways that are up."""
        return [gateway for gateway, alive in self.alive.items() if alive]

    def kill(self, gateway: int) -> None:
        """Kill a gateway; it stays in rotation until `update_rotation` is called."""
        self.alive[gateway] = False
        self.driver.kill(gateway)

    def update_rotation(self, gateway: int) -> None:
        """Put the gateway into rotation or take it out, depending on whether it is up."""
        self.in_rotation[gateway] = self.alive[gateway]

    def mark_ready(self, gateway: int) -> None:
        """Mark a gateway as up again and put it into rotation."""
        self.alive[gateway] = True
        self.in_rotation[gateway] = True
