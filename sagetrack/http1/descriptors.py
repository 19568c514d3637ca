"""File descriptors: how many this process may have, how clients and upstream servers share them."""

from __future__ import annotations

import resource
from collections.abc import Callable

from sagetrack.config.platform import Config
from sagetrack.core.log import log
from sagetrack.core.send_rules import CloseReason
from sagetrack.http1.connection_phases import ConnectionPhases
from sagetrack.http1.connection_pool import ConnectionPools

RESERVE = 32  # for all but connections of clients and to upstream servers: discovery, the loop, files
UPSTREAM_FRACTION = 0.35  # of the rest, which clients leave to connections to upstream servers
RECLAIM_IDLE_S = 0.3  # a client that is idle for so long is closed first for one that connects
MANY_CLIENTS_DIVISOR = 3  # of the limit for clients: above this part of it, idle ones are closed sooner


def descriptor_limit(configured: int) -> int:
    """Raise this process's limit to so many descriptors if its hard limit allows, and return the limit."""
    try:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    except OSError:
        return configured
    if soft == resource.RLIM_INFINITY or soft >= configured:
        return configured
    allowed = configured if hard == resource.RLIM_INFINITY else min(configured, hard)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
    except (OSError, ValueError):
        allowed = soft
    if allowed < configured:
        log(f"descriptor limit too low: {configured} configured, {allowed} allowed by the system", "warning")
    return allowed


class DescriptorBudget:
    """Keeps connections within the limit, by closing idle ones where a descriptor is needed."""

    def __init__(
        self,
        config: Config,
        pools: ConnectionPools,
        phases: ConnectionPhases,
        count_clients: Callable[[], int],
        count_processes: Callable[[], int],
    ) -> None:
        self.config = config
        self.pools = pools
        self.phases = phases
        self.count_clients = count_clients
        self.count_processes = count_processes
        self.process_limit = descriptor_limit(config.sockets)

    @property
    def limit(self) -> int:
        """Descriptors for this process: the configured limit is for all processes of the gateway together."""
        return min(self.config.sockets // self.count_processes(), self.process_limit)

    @property
    def max_clients(self) -> int:
        """Connections of clients, so that those to upstream servers keep their part."""
        return int((self.limit - RESERVE) * (1 - UPSTREAM_FRACTION))

    @property
    def has_many_clients(self) -> bool:
        """Whether many clients are connected."""
        return self.count_clients() > self.max_clients / MANY_CLIENTS_DIVISOR

    @property
    def is_full(self) -> bool:
        """Whether only the reserve is left."""
        return self.count_clients() + self.pools.open_connections + RESERVE >= self.limit

    def has_capacity(self) -> bool:
        """Whether one more client may connect."""
        return self.count_clients() < self.max_clients and not self.is_full

    def reclaim_for_client(self) -> bool:
        """Have a descriptor for one more client, if need be by closing another."""
        if self.has_capacity() or self.phases.reclaim(CloseReason.RECLAIM_DESCRIPTOR, RECLAIM_IDLE_S):
            return True
        return not self.is_full or self.phases.reclaim(CloseReason.DESCRIPTORS_EXHAUSTED)

    def reclaim_for_upstream(self) -> None:
        """Have a descriptor for a connection to an upstream server: idle clients are closed first.

        Otherwise idle clients would displace idle connections to servers, and each request would cost a
        handshake.
        """
        if self.is_full and not (
            self.phases.reclaim(CloseReason.RECLAIM_DESCRIPTOR) or self.pools.reclaim_idle()
        ):
            self.phases.reclaim(CloseReason.DESCRIPTORS_EXHAUSTED)

    def shrink_to_limit(self) -> None:
        """Close idle connections where the limit has dropped: a second process of this gateway has started.

        Otherwise both together could hold more than the limit, and the next to open a descriptor, perhaps the
        other process for discovery, would get none.
        """
        over = self.count_clients() + self.pools.open_connections + RESERVE - self.limit
        if over <= 0:
            return
        for _ in range(over - self.phases.count_closing()):
            reclaimed = self.phases.reclaim(CloseReason.RECLAIM_DESCRIPTOR) or self.pools.reclaim_idle()
            if not (reclaimed or self.phases.reclaim(CloseReason.DESCRIPTORS_EXHAUSTED)):
                return
