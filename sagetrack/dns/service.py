"""DNS service of a gateway: a load balancer of its own, upstream servers, cache and listener."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable, Coroutine, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from sagetrack.config.platform import Address, stable_hash
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.gateway import Gateway
from sagetrack.dns.cache import AnswerCache
from sagetrack.dns.limits import AccessRules, QueriesInFlight, ResponseRateLimiter
from sagetrack.dns.listener import ClientLimits, DnsListener
from sagetrack.dns.query_handler import QueryHandler
from sagetrack.dns.upstream import DnsUpstreams
from sagetrack.policy.events import ListedServer, ListKind
from sagetrack.policy.settings import Effect, RequestClass, Settings

if TYPE_CHECKING:
    from sagetrack.dns.zone import LocalZones

CLASS_NAME = "query"
GC_FREEZE_INTERVAL_S = 0.25
GC_FREEZE_ENTRIES = 1000  # new cache entries that are worth a freeze


@dataclass(slots=True, frozen=True)
class ZoneConfig:
    """Zones that the gateway answers itself."""

    origin: str = ""
    ttl_s: int = 5
    gateways: Sequence[tuple[str, Address]] = ()
    files: Sequence[tuple[str, str]] = ()  # origin and path


@dataclass(slots=True, frozen=True)
class SlowStartSettings:
    """Slow start of upstream servers, with the fields of `Settings`."""

    start_capacity: float = 1.0
    warm_after_us: int = 0
    overload_multiple: float = 1.0
    overload_window_us: int = 1_000_000


@dataclass(slots=True, frozen=True)
class DnsConfig:
    """Configuration of the DNS service."""

    listen: Sequence[Address]
    upstreams: Sequence[Address]
    listed: bool = False  # the endpoint list has further ones
    latency_objective_us: int = 500_000
    deadline_us: int = 2_000_000
    cache_bytes: int = 32 * 1024 * 1024
    stale_s: float = 86_400.0
    allowed_prefixes: Sequence[str] = ("127.0.0.0/8", "::1/128")
    denied_prefixes: Sequence[str] = ()
    responses_per_s: float = 0.0  # to one prefix over UDP; 0: no limit
    limits: ClientLimits = field(default_factory=ClientLimits)
    max_concurrency: int = 1000  # attempts in flight at one upstream server
    gateways: int = 1
    gateway: int = 0  # its number among them
    slow_start: SlowStartSettings = field(default_factory=SlowStartSettings)
    zone: ZoneConfig | None = None


def load_balancer_settings(config: DnsConfig) -> Settings:
    """Settings of the load balancer: one class of requests, which are safe to retry."""
    query = RequestClass(
        config.latency_objective_us, config.deadline_us, late_priority_weight=0.5, effect=Effect.SAFE
    )
    return Settings(
        classes=(query,),
        gateway_count=config.gateways,
        gateway_index=config.gateway,
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
    """The DNS service. Needs a running event loop.

    Args:
        config: Its configuration.
        seed: Of the load balancer's and the zones' random draws.
        weights: Current weights of the installation's servers, by name.
        serial: First serial of the installation's zone.
        listed: Upstream servers of the endpoint list, as far as they are known.

    Raises:
        ZoneError: A zone cannot be used.
    """

    def __init__(
        self,
        config: DnsConfig,
        seed: int,
        weights: Callable[[], Mapping[str, float]] = dict,
        serial: int = 1,
        listed: Iterable[Endpoint] = (),
    ) -> None:
        self.config = config
        self.zones = self._build_zones(seed, weights, serial)
        self.freeze_timer: asyncio.TimerHandle | None = None
        self.configured: list[Endpoint] = []  # upstream servers of the operator's file
        self.listed = list(listed)  # upstream servers of the endpoint list, as it was last complete
        self.frozen_entries = 0  # cache entries that the garbage collector no longer scans
        settings = load_balancer_settings(config)
        self.upstreams = DnsUpstreams(settings)
        self.gateway = Gateway(settings, seed, [CLASS_NAME], self.upstreams, {})
        self.cache = AnswerCache(config.cache_bytes, config.stale_s)
        limits = config.limits
        self.handler = QueryHandler(
            self.gateway,
            self.cache,
            AccessRules(config.allowed_prefixes, config.denied_prefixes),
            ResponseRateLimiter(config.responses_per_s),
            QueriesInFlight(limits.queries_per_client, limits.queries),
            config.deadline_us,
            self.zones.answer if self.zones is not None else lambda query: None,
            bool(config.upstreams) or config.listed,
        )
        self.listener = DnsListener(self.handler, limits)

    def _build_zones(
        self, seed: int, weights: Callable[[], Mapping[str, float]], serial: int
    ) -> LocalZones | None:
        """The zones that the gateway answers itself; None if there are none."""
        plan = self.config.zone
        if plan is None:
            return None
        from sagetrack.dns.zone import LocalZones  # loads dnspython, which only zones need
        from sagetrack.dns.zone_records import ZoneMember

        return LocalZones(
            plan.origin,
            seed,
            ttl_s=plan.ttl_s,
            negative_ttl_s=plan.ttl_s,
            gateways=[ZoneMember(name, *address) for name, address in plan.gateways],
            files=plan.files,
            serial=serial,
            weights=weights,
        )

    async def start(self, shared: bool = False) -> list[Address]:
        """Listen, with `SO_REUSEPORT` if `shared`, as during a hot restart.

        Raises:
            OSError: An address cannot be listened on.
        """
        self.list_upstreams(self.config.upstreams)
        self.freeze_cache()
        return await self.listener.start(list(self.config.listen), shared)

    def freeze_cache(self) -> None:
        """Exclude cached answers from garbage collection, periodically.

        Scanning them all would pause the process for tens of milliseconds. None of them is in a reference
        cycle, so that they are freed without the collector.
        """
        self.freeze_timer = asyncio.get_running_loop().call_later(GC_FREEZE_INTERVAL_S, self.freeze_cache)
        entries = len(self.cache.entries)
        if entries - self.frozen_entries >= GC_FREEZE_ENTRIES:
            self.frozen_entries = entries
            gc.collect(1)  # what is garbage by now would stay for good
            gc.freeze()
        self.frozen_entries = min(self.frozen_entries, entries)

    def list_upstreams(self, addresses: Sequence[Address]) -> None:
        """Replace the upstream servers of the operator's file."""
        self.configured = []
        for host, port in addresses:
            name = f"{host}:{port}"
            self.configured.append(Endpoint(name, (host, port), ListedServer(stable_hash(name, 4))))
        self.on_list(ListKind.FULL, self.listed)

    def on_list(self, kind: ListKind, entries: list[Endpoint]) -> None:
        """Take over upstream servers of the endpoint list; those of the operator's file stay beside them."""
        if kind is ListKind.ERROR:
            return
        if kind is not ListKind.DELTA:
            self.listed = entries
            entries = [*self.configured, *entries]
        self.gateway.on_endpoint_list(kind, entries)

    def list_servers(self, servers: Iterable[tuple[str, Address, float]]) -> None:
        """Take over the ready servers (name, address, listed weight) for the installation's zone."""
        if self.zones is not None:
            from sagetrack.dns.zone_records import ZoneMember

            self.zones.update(ZoneMember(name, *address, weight) for name, address, weight in servers)

    def draw_zone_orders(self) -> None:
        """Order the servers of the installation's zone anew, by their current weights."""
        if self.zones is not None:
            self.zones.draw_orders()

    def stand_by_while(self, is_draining: Callable[[], bool]) -> None:
        """Let client connections close once they are answered, while `is_draining` returns true."""
        self.listener.stands_by = is_draining

    def drain(self, until_s: float) -> Coroutine[Any, Any, None]:
        """Answer what is in flight, until `until_s` on the loop's clock at the latest."""
        return self.listener.shut_down(until_s)

    def metric_values(self) -> dict[str, int]:
        """Values for the exported metrics."""
        queries = self.handler.counts
        cache = self.cache
        upstreams = self.upstreams.counts
        return {
            "dns_queries_total": queries.queries,
            "dns_answered_total": queries.answered,
            "dns_refused_total": queries.refused,
            "dns_failed_total": queries.failed,
            "dns_joined_total": queries.joined,
            "dns_shared_total": queries.shared,
            "dns_denied_total": queries.denied,
            "dns_unreadable_total": queries.unreadable,
            "dns_cache_hits_total": cache.counts.hits,
            "dns_cache_misses_total": cache.counts.misses,
            "dns_cache_stale_total": cache.counts.stale,
            "dns_cache_evicted_total": cache.counts.evicted,
            "dns_cache_entries": len(cache.entries),
            "dns_cache_bytes": cache.bytes,
            "dns_upstream_attempts_total": upstreams.udp,
            "dns_upstream_tcp_total": upstreams.tcp,
            "dns_upstream_unmatched_total": upstreams.unmatched,
            "dns_upstream_unhealthy": self.gateway.balancer.unhealthy_count(),
            "dns_current": len(self.handler.waiting),
        }

    def close(self) -> None:
        """Close all sockets at once."""
        if self.freeze_timer is not None:
            self.freeze_timer.cancel()
        self.listener.close()
        self.gateway.close()
