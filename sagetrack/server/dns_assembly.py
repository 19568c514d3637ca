"""Builds the DNS service of a gateway from the operator's settings and updates it from the endpoint list."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable, Mapping
from typing import Any

from sagetrack.config.operator import DnsSettings
from sagetrack.config.platform import Config, ConfigError, parse_address
from sagetrack.core.clock import now_us
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.gateway import Gateway
from sagetrack.dns.listener import ClientLimits
from sagetrack.dns.service import DnsConfig, DnsService, SlowStartSettings, ZoneConfig
from sagetrack.http1.connection_pool import ConnectionPools
from sagetrack.http1.listener import HttpListener
from sagetrack.policy.events import ListKind

MICROSECONDS_PER_S = 1_000_000
ZONE_REFRESH_S = 1.0  # interval between updates of the authoritative zone from the endpoint list
SEED_MASK = 0xD5  # gives DNS a sequence of random numbers different from that of HTTP


class DnsAssembly:
    """The DNS service, whose authoritative zone lists the HTTP servers ordered by weight."""

    def __init__(
        self,
        config: Config,
        settings: DnsSettings,
        gateway: Gateway,
        pools: ConnectionPools,
        http: HttpListener,
        listed: Iterable[Endpoint],
    ) -> None:
        """Build the service; it listens only after `start`.

        Args:
            config: The platform's configuration.
            settings: The operator's `dns` table, with at least one listening address.
            gateway: The gateway whose servers the zone lists.
            pools: The connection pools of these servers.
            http: Knows whether this process is draining, and owns the budgets that all fronts share.
            listed: DNS servers known so far from the endpoint list.

        Raises:
            ConfigError: An address or a zone is invalid.
        """
        self.config = config
        self.settings = settings
        self.gateway = gateway
        self.pools = pools
        self._zone_timer: asyncio.TimerHandle | None = None
        self._has_zone = bool(settings.zone.origin or settings.zone.files)
        self.service = self._build_service(http, listed)
        self.service.set_standby_check(lambda: http.drain.is_draining)
        http.descriptors.upstream_counts.append(lambda: self.service.upstreams.open_sockets)

    def _build_service(self, http: HttpListener, listed: Iterable[Endpoint]) -> DnsService:
        try:
            return DnsService(
                _dns_config(self.config, self.settings),
                self.config.seed ^ SEED_MASK,
                self._server_weights,
                now_us() // MICROSECONDS_PER_S,
                listed_upstreams=listed,
                memory_budget=http.memory_budget,
                admission=http,
            )
        except ValueError as error:  # an invalid zone
            raise ConfigError(f"dns.zone: {error}") from None

    async def start(self) -> None:
        """Listen and keep the zone up to date; raises ConfigError if an address cannot be bound."""
        try:
            await self.service.start(shared=self.config.accept_fd is not None)
        except OSError as error:
            where = ", ".join(self.settings.listen)
            raise ConfigError(f"dns.listen {where}: {error.strerror or error}") from None
        if self._has_zone:
            self._refresh_zone()

    def on_list(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        """Apply a change of the DNS servers in the endpoint list."""
        self.service.on_list(kind, endpoints)

    def metric_values(self) -> Mapping[str, float]:
        """Return the metrics of the DNS service."""
        return self.service.metric_values()

    def drain(self, until_s: float) -> Coroutine[Any, Any, None]:
        """Finish the queries in flight, at the latest at `until_s` on the clock of the event loop."""
        return self.service.drain(until_s)

    def close(self) -> None:
        """Close the service immediately."""
        if self._zone_timer is not None:
            self._zone_timer.cancel()
        self.service.close()

    def _server_weights(self) -> dict[str, float]:
        """Return the load balancer's current weight of each HTTP server, by server name."""
        servers = self.gateway.balancer.servers
        hosts = self.pools.servers.items()
        return {host.name: servers[number].weight for number, host in hosts if number in servers}

    def _refresh_zone(self) -> None:
        """Update the zone with the servers that are not draining, ordered by weight."""
        self._zone_timer = asyncio.get_running_loop().call_later(ZONE_REFRESH_S, self._refresh_zone)
        candidates = [host for host in self.pools.servers.values() if host.withdrawn_since_us is None]
        servers = self.gateway.balancer.servers
        self.service.set_zone_servers(
            (host.name, host.address, servers[host.id].entry.weight)
            for host in candidates
            if host.id in servers
        )
        self.service.reorder_zone_servers()


def _dns_config(config: Config, settings: DnsSettings) -> DnsConfig:
    """Convert the operator's settings; raises ConfigError for an invalid address."""
    zone = _zone_config(settings)
    balancing = config.settings
    return DnsConfig(
        [parse_address(address, "dns.listen") for address in settings.listen],
        [parse_address(address, "dns.upstreams") for address in settings.upstreams],
        uses_endpoint_list=bool(settings.type),
        latency_objective_us=settings.aim_ms * 1000,
        deadline_us=settings.deadline_ms * 1000,
        cache_bytes=int(settings.cache_mb * 1024 * 1024),
        stale_s=settings.stale_s,
        allowed_prefixes=settings.allow,
        denied_prefixes=settings.deny,
        responses_per_s=settings.answers_per_s,
        limits=ClientLimits(
            settings.queries_each, settings.queries, settings.connections, settings.connections_each
        ),
        max_concurrency=settings.crowd,
        gateway_count=balancing.gateway_count,
        gateway_index=balancing.gateway_index,
        zone=zone,
        slow_start=SlowStartSettings(
            balancing.start_capacity,
            balancing.warm_after_us,
            balancing.overload_multiple,
            balancing.overload_window_us,
        ),
    )


def _zone_config(settings: DnsSettings) -> ZoneConfig | None:
    zone = settings.zone
    if not zone.origin and not zone.files:
        return None
    gateways = [(name, parse_address(at, "dns.zone.gateways")) for name, at in zone.gateways.items()]
    return ZoneConfig(zone.origin, zone.ttl_s, gateways, list(zone.files.items()))
