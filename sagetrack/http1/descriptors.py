"""File descriptor budget: the limit of this process, and its split between clients and upstream servers."""

from __future__ import annotations

import resource
from collections.abc import Callable

from sagetrack.config.platform import Config
from sagetrack.core.fronts import Front
from sagetrack.core.log import log
from sagetrack.core.send_rules import CloseReason
from sagetrack.http1.connection_phases import ConnectionPhases
from sagetrack.http1.connection_pool import ConnectionPools

RESERVE = 32  # descriptors for discovery, the event loop and files
UPSTREAM_FRACTION = 0.35  # fraction of the remaining descriptors that is kept for upstream connections
RECLAIM_IDLE_S = 0.3  # idle time after which a client may be closed in favour of a new one
MANY_CLIENTS_DIVISOR = 3  # above `max_clients` divided by this, idle clients are closed sooner


def descriptor_limit(configured: int) -> int:
    """Raise the soft limit to `configured` descriptors, as far as allowed, and return the usable number."""
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
    """Keeps the number of connections within the limit by closing idle ones when a descriptor is needed."""

    def __init__(
        self,
        config: Config,
        pools: ConnectionPools,
        phases: ConnectionPhases,
        count_clients: Callable[[], int],
        count_processes: Callable[[], int],
        end_stalled_request: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create a budget.

        Args:
            config: The configuration.
            pools: The connections to upstream servers.
            phases: The client connections by phase.
            count_clients: Returns the number of client connections.
            count_processes: Returns the number of processes that share the configured limit.
            end_stalled_request: Ends a request whose client has stopped sending; False if there is none.
        """
        self.config = config
        self.pools = pools
        self.phases = phases
        self.count_clients = count_clients
        self.count_processes = count_processes
        self.end_stalled_request = end_stalled_request
        self.fronts: list[Front] = []  # clients of other protocols
        self.upstream_counts: list[Callable[[], int]] = [lambda: pools.open_connections]
        self.process_limit = descriptor_limit(config.sockets)

    @property
    def limit(self) -> int:
        """The limit of this process; the configured limit is shared by all processes of the gateway."""
        return min(self.config.sockets // self.count_processes(), self.process_limit)

    @property
    def max_clients(self) -> int:
        """The maximum number of client connections, which leaves `UPSTREAM_FRACTION` to upstream ones."""
        return int((self.limit - RESERVE) * (1 - UPSTREAM_FRACTION))

    @property
    def has_many_clients(self) -> bool:
        """True if so many clients are connected that idle ones are closed sooner."""
        return self._client_count > self.max_clients / MANY_CLIENTS_DIVISOR

    @property
    def _client_count(self) -> int:
        """The number of client connections of all fronts."""
        return self.count_clients() + sum(front.count_connections() for front in self.fronts)

    @property
    def _used(self) -> int:
        """Descriptors in use, and those that are kept for other purposes."""
        return self._client_count + sum(count() for count in self.upstream_counts) + RESERVE

    @property
    def is_full(self) -> bool:
        """True if no descriptor is left apart from the reserve."""
        return self._used >= self.limit

    def has_capacity(self) -> bool:
        """Return whether one more client connection can be accepted without closing another."""
        return self._client_count < self.max_clients and not self.is_full

    def reclaim_for_client(self) -> bool:
        """Ensure that one more client can be accepted, if necessary by closing another; False if not."""
        if self.has_capacity() or self.reclaim_idle_client(RECLAIM_IDLE_S):
            return True
        return not self.is_full or self._reclaim_busy()

    def reclaim_idle_client(self, min_idle_s: float = 0.0) -> bool:
        """Close an idle client; first one of the front that has most connections. False if none is idle."""
        reclaims = [(self.count_clients(), self._reclaim_idle_http)]
        reclaims += [(front.count_connections(), front.reclaim_idle) for front in self.fronts]
        reclaims.sort(key=lambda reclaim: reclaim[0], reverse=True)
        return any(reclaim(min_idle_s) for _, reclaim in reclaims)

    def _reclaim_idle_http(self, min_idle_s: float) -> bool:
        return self.phases.reclaim(CloseReason.RECLAIM_DESCRIPTOR, min_idle_s)

    def _reclaim_busy(self) -> bool:
        """End a stalled request, or else close a connection whose first request is not complete.

        A front with more connections than HTTP/1.1 gives up one on which nothing was sent, however new.
        """
        http_count = self.count_clients()
        crowded = (front for front in self.fronts if front.count_connections() > http_count)
        return (
            self.end_stalled_request()
            or any(front.reclaim_idle(0.0) for front in crowded)
            or self.phases.reclaim(CloseReason.DESCRIPTORS_EXHAUSTED)
        )

    def reclaim_for_upstream(self) -> None:
        """Free a descriptor for an upstream connection if none is left; idle clients are closed first.

        Otherwise idle clients would displace idle upstream connections, and each request would need a new
        TCP handshake.
        """
        if self.is_full and not (self.reclaim_idle_client() or self.pools.reclaim_idle()):
            self._reclaim_busy()

    def shrink_to_limit(self) -> None:
        """Close idle connections if the limit has dropped, as another process of this gateway has started.

        Otherwise the processes together could exceed the configured limit, and opening the next descriptor,
        for instance that of a discovery connection, would fail.
        """
        over = self._used - self.limit
        if over <= 0:
            return
        for _ in range(over - self.phases.count_closing()):
            if not (self.reclaim_idle_client() or self.pools.reclaim_idle() or self._reclaim_busy()):
                return
