"""The DNS service of a gateway: made from the operator's settings, fed with the endpoint list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any

from sagetrack.config.operator import DnsSettings
from sagetrack.config.platform import Config, ConfigError, parse_address
from sagetrack.core.clock import now_us
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.gateway import Gateway
from sagetrack.dns.listener import ClientLimits
from sagetrack.dns.service import DnsConfig, DnsService, SlowStartSettings, ZoneConfig
from sagetrack.http1.connection_pool import ConnectionPools
from sagetrack.policy.events import ListKind

ZONE_REFRESH_S = 1.0  # between updates of our own zone from the endpoint list
SEED_MASK = 0xD5  # so that DNS draws other random numbers than HTTP from the same seed


class DnsAssembly:
    """Answers DNS queries; its own zone lists the HTTP servers in the order of their weights."""

    def __init__(
        self,
        config: Config,
        settings: DnsSettings,
        gateway: Gateway,
        pools: ConnectionPools,
        is_draining: Callable[[], bool],
        listed: Iterable[Endpoint],
    ) -> None:
        """Nothing is listened to before `start`.

        Args:
            config: the platform's configuration.
            settings: the operator's `dns` table, with at least one address to listen at.
            gateway: the gateway whose servers our own zone lists.
            pools: the connection pools of these servers.
            is_draining: whether this process drains.
            listed: DNS servers of the endpoint list, as far as they are known.

        Raises:
            ConfigError: an address or a zone cannot be used.
        """
        self.config = config
        self.settings = settings
        self.gateway = gateway
        self.pools = pools
        self._zone_timer: asyncio.TimerHandle | None = None
        plan = _service_plan(config, settings)
        self._has_zone = plan.zone is not None
        try:
            serial = now_us() // 1_000_000
            self.service = DnsService(
                plan, config.seed ^ SEED_MASK, self._server_weights, serial, listed=listed
            )
        except ValueError as error:  # a zone that cannot be read
            raise ConfigError(f"dns.zone: {error}") from None
        self.service.stand_by_while(is_draining)

    async def start(self) -> None:
        """Listen and keep our own zone up to date; ConfigError if an address cannot be had."""
        try:
            await self.service.start(shared=self.config.accept_fd is not None)
        except OSError as error:
            where = ", ".join(self.settings.listen)
            raise ConfigError(f"dns.listen {where}: {error.strerror or error}") from None
        if self._has_zone:
            self._refresh_zone()

    def on_list(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        """Take a change of the DNS servers in the endpoint list."""
        self.service.on_list(kind, endpoints)

    def metric_values(self) -> Mapping[str, float]:
        """Metrics of the DNS service."""
        return self.service.metric_values()

    def drain(self, until_s: float) -> Coroutine[Any, Any, None]:
        """Answer what is in flight, until `until_s` on the loop's clock at the latest."""
        return self.service.drain(until_s)

    def close(self) -> None:
        """Close everything at once."""
        if self._zone_timer is not None:
            self._zone_timer.cancel()
        self.service.close()

    def _server_weights(self) -> dict[str, float]:
        """The load balancer's weight of each HTTP server, by name."""
        servers = self.gateway.balancer.servers
        hosts = self.pools.servers.items()
        return {host.name: servers[number].weight for number, host in hosts if number in servers}

    def _refresh_zone(self) -> None:
        """List the servers that are not drained in our own zone, and order them by weight."""
        self._zone_timer = asyncio.get_running_loop().call_later(ZONE_REFRESH_S, self._refresh_zone)
        ready = [host for host in self.pools.servers.values() if host.drained_us is None]
        servers = self.gateway.balancer.servers
        self.service.list_servers(
            (host.name, host.address, servers[host.id].entry.weight) for host in ready if host.id in servers
        )
        self.service.draw_zone_orders()


def _service_plan(config: Config, settings: DnsSettings) -> DnsConfig:
    """The operator's settings in the DNS service's terms; ConfigError for an address that cannot be used."""
    zone = _zone_plan(settings)
    balancing = config.settings
    return DnsConfig(
        [parse_address(address, "dns.listen") for address in settings.listen],
        [parse_address(address, "dns.upstreams") for address in settings.upstreams],
        listed=bool(settings.type),
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
        gateways=balancing.gateway_count,
        gateway=balancing.gateway_index,
        zone=zone,
        slow_start=SlowStartSettings(
            balancing.start_capacity,
            balancing.warm_after_us,
            balancing.overload_multiple,
            balancing.overload_window_us,
        ),
    )


def _zone_plan(settings: DnsSettings) -> ZoneConfig | None:
    own = settings.zone
    if not own.origin and not own.files:
        return None
    gateways = [(name, parse_address(at, "dns.zone.gateways")) for name, at in own.gateways.items()]
    return ZoneConfig(own.origin, own.ttl_s, gateways, list(own.files.items()))
