"""The DNS service of a gateway, with a load balancer, upstream pool, cache and listener of its own."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable, Coroutine, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from sagetrack.config.platform import DEFAULT_MEMORY_MB, Address, stable_hash
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.fronts import ClientAdmission, UnlimitedAdmission
from sagetrack.core.gateway import Gateway
from sagetrack.core.memory_budget import MemoryBudget
from sagetrack.dns.cache import ResponseCache
from sagetrack.dns.limits import AccessRules, QueriesInFlight, ResponseRateLimiter
from sagetrack.dns.listener import ClientLimits, DnsListener
from sagetrack.dns.query_handler import QueryHandler
from sagetrack.dns.upstream import DnsUpstreams
from sagetrack.policy.events import ListedServer, ListKind
from sagetrack.policy.settings import Effect, RequestClass, Settings

if TYPE_CHECKING:
    from sagetrack.dns.zone import LocalZones

CLASS_NAME = "query"  # the only class of requests
GC_FREEZE_INTERVAL_S = 0.25
WAITING_QUERY_BYTES = 2 * 1024  # estimated memory of a query that waits for its response
GC_FREEZE_ENTRIES = 1000  # minimum number of new cache entries for another freeze


@dataclass(slots=True, frozen=True)
class ZoneConfig:
    """Configuration of the zones that the gateway serves itself."""

    origin: str = ""  # origin of the installation's zone; empty if it has none
    ttl_s: int = 5
    gateways: Sequence[tuple[str, Address]] = ()  # name and address of each gateway of the installation
    files: Sequence[tuple[str, str]] = ()  # origin and path of each zone file


@dataclass(slots=True, frozen=True)
class SlowStartSettings:
    """Slow start of upstream servers; the fields are those of the same name in `Settings`."""

    start_capacity: float = 1.0
    warm_after_us: int = 0
    overload_multiple: float = 1.0
    overload_window_us: int = 1_000_000


@dataclass(slots=True, frozen=True)
class DnsConfig:
    """Configuration of the DNS service."""

    listen: Sequence[Address]
    upstreams: Sequence[Address]
    uses_endpoint_list: bool = False  # True if the endpoint list adds to `upstreams`
    latency_objective_us: int = 500_000
    deadline_us: int = 2_000_000
    cache_bytes: int = 32 * 1024 * 1024
    stale_s: float = 86_400.0
    allowed_prefixes: Sequence[str] = ("127.0.0.0/8", "::1/128")
    denied_prefixes: Sequence[str] = ()
    responses_per_s: float = 0.0  # limit for each address prefix over UDP; 0 for no limit
    limits: ClientLimits = field(default_factory=ClientLimits)
    max_concurrency: int = 1000  # limit on the attempts in flight to one upstream server
    gateway_count: int = 1
    gateway_index: int = 0  # number of this gateway among the gateways
    slow_start: SlowStartSettings = field(default_factory=SlowStartSettings)
    zone: ZoneConfig | None = None


def load_balancer_settings(config: DnsConfig) -> Settings:
    """Return the load balancer's settings, which have a single class of requests that are safe to retry."""
    query = RequestClass(
        config.latency_objective_us, config.deadline_us, late_priority_weight=0.5, effect=Effect.SAFE
    )
    return Settings(
        classes=(query,),
        gateway_count=config.gateway_count,
        gateway_index=config.gateway_index,
        max_attempts=4,
        hedging=True,
        max_concurrency=config.max_concurrency,
        lossy=True,
        start_capacity=config.slow_start.start_capacity,
        warm_after_us=config.slow_start.warm_after_us,
        overload_multiple=config.slow_start.overload_multiple,
        overload_window_us=config.slow_start.overload_window_us,
        connect_timeout_us=min(1_000_000, config.latency_objective_us),
        stop_sending_within_us=2_000_000,
        max_retry_after_us=2_000_000,
    )


class DnsService:
    """The DNS service; it can be created only while an event loop is running.

    Args:
        config: The configuration.
        seed: Seed of the random numbers of the load balancer and the zones.
        weights: Returns the current weights of the installation's servers, by name.
        serial: First serial number of the installation's zone.
        listed_upstreams: Upstream servers that are already known from the endpoint list.
        memory_budget: Memory budget of the process; by default one for the default memory limit.
        admission: Decides whether one more client is accepted.

    Raises:
        ZoneError: A zone is invalid.
    """

    def __init__(
        self,
        config: DnsConfig,
        seed: int,
        weights: Callable[[], Mapping[str, float]] = dict,
        serial: int = 1,
        listed_upstreams: Iterable[Endpoint] = (),
        memory_budget: MemoryBudget | None = None,
        admission: ClientAdmission | None = None,
    ) -> None:
        self.config = config
        self.zones = self._build_zones(seed, weights, serial)
        self.freeze_timer: asyncio.TimerHandle | None = None
        self.configured_upstreams: list[Endpoint] = []  # upstream servers in the operator's file
        self.listed_upstreams = list(listed_upstreams)  # upstream servers in the last complete list
        self.frozen_entries = 0  # cache entries that the garbage collector no longer scans
        settings = load_balancer_settings(config)
        self.upstreams = DnsUpstreams(settings)
        self.gateway = Gateway(settings, seed, [CLASS_NAME], self.upstreams, {})
        self.cache = ResponseCache(config.cache_bytes, config.stale_s)
        limits = config.limits
        budget = memory_budget or MemoryBudget(DEFAULT_MEMORY_MB)
        self.handler = QueryHandler(
            self.gateway,
            self.cache,
            AccessRules(config.allowed_prefixes, config.denied_prefixes),
            ResponseRateLimiter(config.responses_per_s),
            QueriesInFlight(limits.max_queries_per_client, limits.max_queries),
            config.deadline_us,
            self.zones.resolve if self.zones is not None else lambda query: None,
            bool(config.upstreams) or config.uses_endpoint_list,
            budget,
        )
        self._charge_memory(budget)
        self.listener = DnsListener(
            self.handler, limits, budget, admission or UnlimitedAdmission(), self.cache.shrink
        )

    def _charge_memory(self, budget: MemoryBudget) -> None:
        """Count the queries in flight and the cache in the memory budget of the process."""
        budget.sources += [
            lambda: self.gateway.in_flight.memory_bytes,
            lambda: len(self.handler.waiting) * WAITING_QUERY_BYTES,
            lambda: self.cache.size_bytes,
        ]

    def _build_zones(
        self, seed: int, weights: Callable[[], Mapping[str, float]], serial: int
    ) -> LocalZones | None:
        """Create the zones that the gateway serves itself; returns None if none is configured."""
        zone_config = self.config.zone
        if zone_config is None:
            return None
        from sagetrack.dns.zone import LocalZones  # loads dnspython, which only zones need
        from sagetrack.dns.zone_records import ZoneMember

        return LocalZones(
            zone_config.origin,
            seed,
            ttl_s=zone_config.ttl_s,
            negative_ttl_s=zone_config.ttl_s,
            gateways=[ZoneMember(name, *address) for name, address in zone_config.gateways],
            files=zone_config.files,
            serial=serial,
            weights=weights,
        )

    async def start(self, shared: bool = False) -> list[Address]:
        """Start listening, with `SO_REUSEPORT` if `shared`, as during a hot restart.

        Returns:
            The bound addresses.

        Raises:
            OSError: An address cannot be bound.
        """
        self.set_configured_upstreams(self.config.upstreams)
        self.freeze_cache()
        return await self.listener.start(list(self.config.listen), shared)

    def freeze_cache(self) -> None:
        """Exclude cached responses from garbage collection, and do so again periodically.

        Scanning them all would pause the process for tens of milliseconds. They need no collection, as none
        of them is part of a reference cycle.
        """
        self.freeze_timer = asyncio.get_running_loop().call_later(GC_FREEZE_INTERVAL_S, self.freeze_cache)
        entries = len(self.cache.entries)
        if entries - self.frozen_entries >= GC_FREEZE_ENTRIES:
            self.frozen_entries = entries
            gc.collect(1)  # frees the garbage first, as frozen objects are never collected
            gc.freeze()
        self.frozen_entries = min(self.frozen_entries, entries)

    def set_configured_upstreams(self, addresses: Sequence[Address]) -> None:
        """Replace the upstream servers that are configured in the operator's file."""
        self.configured_upstreams = []
        for host, port in addresses:
            name = f"{host}:{port}"
            self.configured_upstreams.append(Endpoint(name, (host, port), ListedServer(stable_hash(name, 4))))
        self.on_list(ListKind.FULL, self.listed_upstreams)

    def on_list(self, kind: ListKind, entries: list[Endpoint]) -> None:
        """Apply a change of the endpoint list; upstream servers from the operator's file are kept."""
        if kind is ListKind.ERROR:
            return
        if kind is not ListKind.DELTA:
            self.listed_upstreams = entries
            entries = [*self.configured_upstreams, *entries]
        self.gateway.on_endpoint_list(kind, entries)

    def set_zone_servers(self, servers: Iterable[tuple[str, Address, float]]) -> None:
        """Set the ready servers of the installation's zone, each as name, address and listed weight."""
        if self.zones is not None:
            from sagetrack.dns.zone_records import ZoneMember

            self.zones.update(ZoneMember(name, *address, weight) for name, address, weight in servers)

    def reorder_zone_servers(self) -> None:
        """Draw new random orders of the servers in the installation's zone, by their current weights."""
        if self.zones is not None:
            self.zones.reshuffle()

    def set_standby_check(self, is_draining: Callable[[], bool]) -> None:
        """Set the check for standby: while it returns true, client connections close once answered."""
        self.listener.is_standby = is_draining

    def drain(self, until_s: float) -> Coroutine[Any, Any, None]:
        """Wait for the queries in flight, until `until_s` on the loop's clock at the latest, then close."""
        return self.listener.shut_down(until_s)

    def metric_values(self) -> dict[str, int]:
        """Return the values of the exported metrics, by name."""
        queries = self.handler.counts
        cache = self.cache
        upstreams = self.upstreams.counts
        return {
            "dns_queries_total": queries.queries,
            "dns_answered_total": queries.answered,
            "dns_refused_total": queries.refused,
            "dns_failed_total": queries.failed,
            "dns_joined_total": queries.retransmitted,
            "dns_shared_total": queries.shared,
            "dns_denied_total": queries.denied,
            "dns_unreadable_total": queries.invalid,
            "dns_cache_hits_total": cache.counts.hits,
            "dns_cache_misses_total": cache.counts.misses,
            "dns_cache_stale_total": cache.counts.stale,
            "dns_cache_evicted_total": cache.counts.evicted,
            "dns_cache_entries": len(cache.entries),
            "dns_cache_bytes": cache.size_bytes,
            "dns_upstream_attempts_total": upstreams.udp_attempts,
            "dns_upstream_tcp_total": upstreams.tcp_retries,
            "dns_upstream_unmatched_total": upstreams.unmatched,
            "dns_upstream_unhealthy": self.gateway.balancer.unhealthy_count(),
            "dns_current": len(self.handler.waiting),
        }

    def close(self) -> None:
        """Close all sockets immediately."""
        if self.freeze_timer is not None:
            self.freeze_timer.cancel()
        self.listener.close()
        self.gateway.close()
