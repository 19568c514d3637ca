"""How many gateways share the servers, and each gateway's share of a server's concurrency limit.

A gateway behind a network partition looks like a dead one, and both sides of a partition go on sending. So
shares grow only on the side of the majority, and by no more than the margin that is planned with: as at most
`MAX_TAKEOVER` of the shares is taken over, a majority that uses all of it and a minority that sends as before
stay within the limit together.
"""

from __future__ import annotations

import math

from sagetrack.policy.settings import Settings

MAX_TAKEOVER = 0.25  # of all shares: the most that is taken over from dead gateways
DEFAULT_MAX_CONCURRENCY = 3.0  # requests in flight at one server, by all gateways: more slow it down for long


def sharing_gateways(alive: int, configured: int) -> int:
    """The number of gateways to divide by.

    Args:
        alive: This gateway and all that are not known to be dead.
        configured: All gateways of the settings.
    """
    if configured < 1 or not 0 < alive <= configured or 2 * alive <= configured:
        return max(1, configured)
    return max(alive, math.ceil((1.0 - MAX_TAKEOVER) * configured))


class FleetSize:
    """The number of gateways that share the servers, and of processes that are this gateway together."""

    def __init__(self, settings: Settings) -> None:
        self._configured = settings.gateway_count
        self.max_concurrency = settings.max_concurrency or DEFAULT_MAX_CONCURRENCY
        self.gateways = settings.gateway_count
        self.processes = 1

    def set_alive(self, alive: int) -> None:
        """Take the number of gateways that are not known to be dead, this one included."""
        self.gateways = sharing_gateways(alive, self._configured)

    def set_processes(self, processes: int) -> None:
        """Take the number of processes, as at a hot restart."""
        self.processes = max(1, processes)

    def is_concurrency_scarce(self) -> bool:
        """Whether a server's concurrency limit is less than one request for each gateway."""
        return self.gateways > self.max_concurrency

    def max_in_flight_per_server(self) -> int:
        """The most requests that this gateway has in flight at one server."""
        return max(1, math.ceil(self.max_concurrency / self.gateways))
