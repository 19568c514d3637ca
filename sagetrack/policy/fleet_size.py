"""The number of gateways that share the servers, and a gateway's share of a server's concurrency limit.

During a network partition the gateways on the other side look dead, but both sides keep sending. So shares
grow only on the majority's side, and by no more than the margin that is planned for this. At most
`MAX_TAKEOVER` of all shares is taken over. A majority that uses all of that and a minority that sends as
before therefore stay within the limit together.
"""

from __future__ import annotations

import math

from sagetrack.policy.settings import Settings

MAX_TAKEOVER = 0.25  # largest fraction of all shares that is taken over from dead gateways
# Requests in flight at one server, from all gateways. More would slow the server down for a long time.
DEFAULT_MAX_CONCURRENCY = 3.0


def effective_gateway_count(alive: int, configured: int) -> int:
    """Return the number of gateways by which limits are divided.

    Args:
        alive: Number of gateways that are not known to be dead, this one included.
        configured: Number of gateways in the settings.
    """
    if configured < 1 or not 0 < alive <= configured or 2 * alive <= configured:
        return max(1, configured)
    return max(alive, math.ceil((1.0 - MAX_TAKEOVER) * configured))


class FleetSize:
    """The number of gateways that share the servers, and of processes that run as this gateway."""

    def __init__(self, settings: Settings) -> None:
        self._configured = settings.gateway_count
        self.max_concurrency = settings.max_concurrency or DEFAULT_MAX_CONCURRENCY
        self.gateways = settings.gateway_count
        self.processes = 1

    def set_alive(self, alive: int) -> None:
        """Set the number of gateways that are not known to be dead, this one included."""
        self.gateways = effective_gateway_count(alive, self._configured)

    def set_processes(self, processes: int) -> None:
        """Set the number of processes of this gateway, which is two during a hot restart."""
        self.processes = max(1, processes)

    def is_concurrency_scarce(self) -> bool:
        """Return whether a server's concurrency limit is less than one request per gateway."""
        return self.gateways > self.max_concurrency

    def max_in_flight_per_server(self) -> int:
        """Return the maximum number of requests that this gateway may have in flight at one server."""
        return max(1, math.ceil(self.max_concurrency / self.gateways))
