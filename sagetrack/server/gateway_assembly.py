"""One gateway in this process, put together from its parts."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from sagetrack.config.platform import Config, ConfigError, parse_address
from sagetrack.core.clock import now_us
from sagetrack.core.deadlines import watching
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.gateway import Gateway
from sagetrack.core.interfaces import UpstreamPool
from sagetrack.core.transient_errors import persist
from sagetrack.discovery.client import CallError, Discovery, number_of, parse_list
from sagetrack.discovery.split import HTTP, Split
from sagetrack.http1.connection_pool import Pools
from sagetrack.http1.discovery_connection import HttpLine, connect
from sagetrack.http1.listener import Server
from sagetrack.policy.interface import ListKind, TenantSharesChanged
from sagetrack.server.admission_settings import shares_in, with_door
from sagetrack.server.fleet import Handover, node_for
from sagetrack.server.grpc_upstreams import Newer, keys_for, mixed_back, reader, renew, with_newer
from sagetrack.server.hot_restart import Overlap
from sagetrack.server.listen import bind, inherit
from sagetrack.server.startup_timing import Startup

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator
    from sagetrack.dns.service import DnsService
    from sagetrack.grpc.listener import GrpcListener
    from sagetrack.peers.node import Node
    from sagetrack.server.persistence import Keeping

DNS = "dns"
ZONE_S = 1.0  # between looks at what our own zone follows


async def _ask_discovery(address: tuple[str, int]) -> HttpLine:
    return await connect(address, CallError)


class Instance:
    """The gateway, its clients' side and where its list of servers comes from. Made on a running loop."""

    def __init__(
        self, config: Config, operator: Operator | None = None, startup: Startup | None = None
    ) -> None:
        asyncio.get_running_loop()  # RuntimeError without one
        self.startup = startup if startup is not None else Startup()
        config = with_newer(with_door(config, operator), operator)
        self.config, self.operator = config, operator
        self.node: Node | None = None
        self.handover: Handover | None = None
        self.dns: DnsService | None = None
        self.zone_timer: asyncio.TimerHandle | None = None
        self.pools = Pools(config.settings)
        names = [name.decode() for name in config.names.classes]
        self.newer: Newer | None = None
        self.new_front: GrpcListener | None = None
        self.keys = keys_for(operator)
        mixed = mixed_back(config, operator, self.pools, self.keys)
        back: UpstreamPool = self.pools if mixed is None else mixed
        self.gateway = Gateway(config.settings, config.seed, names, back, config.known)
        admission = self.gateway.balancer.admission
        if admission is not None:
            members = [name.decode() for name in config.names.tenants]
            self.gateway.metrics.more.append(lambda: admission.figures(members))
        self.server = Server(config, self.gateway, self.pools)
        self.overlap = Overlap(config.folder if config.accept_fd is not None else None)
        self.server.overlap = self.overlap
        pushed = config.settings.endpoints_are_pushed
        asked = operator.dns if operator is not None else None
        self.split: Split | None = None
        if asked is not None and asked.listen and asked.type:
            self.split = Split({number_of(asked.type, config.names.kinds): DNS})
        self.on_http = self.gateway.on_list
        if mixed is not None:
            from sagetrack.grpc.translate import untranslatable_reason

            self.newer = Newer(mixed, self.gateway)
            if operator is not None and operator.newer.compare_per_s:
                self.newer.compare(operator.newer, names, lambda: not self.server.drain.is_on)
            self.on_http = self.newer.on_list
            self.server.objection = untranslatable_reason
            self.gateway.metrics.more.append(self.newer.figures)
        if self.keys is not None:
            self.gateway.metrics.more.append(self.keys.figures)
        self.keeping: Keeping | None = None
        on_list = self.on_http if self.split is None else self.on_list
        limits = watching(config.settings)
        self.discovery = Discovery(config.discovery, config.names, on_list, pushed, _ask_discovery, limits)
        self.gateway.metrics.more.append(self.discovery.calls.figures)

    async def start(self) -> None:
        """Begin to take clients; OSError or ConfigError if the listening socket cannot be had.

        Clients wait for the first list and for what the store knows, both at once and for a bounded time, and
        for nothing else.
        """
        config, overlap, part = self.config, self.overlap, self.startup.done
        part("decisions")
        self.start_store()
        part("store")
        overlap.join()
        self.gateway.known = overlap.newer_list(
            config.discovery, self.gateway.known, lambda raw: bool(parse_list(raw, config.names)[2])
        )
        self.discovery.on_news = overlap.hand_on
        descriptor = config.accept_fd
        listener: socket.socket = (
            await persist(lambda: bind(config.listen)) if descriptor is None else inherit(descriptor)
        )
        self.server.prepare(self.discovery)
        part("list")
        await self.discovery.has_asked()
        part("first call")
        if self.keeping is not None:
            await self.keeping.has_read()
            part("store")
        self.server.start(listener)
        if self.keeping is not None:
            self.keeping.take()
        self.join_peers()
        part("peers")
        await self.start_dns()
        await self.start_new_front()
        part("other fronts")

    def on_operator(self, config: Config, operator: Operator) -> None:
        """The operator's file has been read again: shares count at once; ConfigError for unknown names."""
        shares = shares_in(config, operator)
        if self.newer is not None:
            self.newer.renew(config, operator.newer)
        if operator.queues.use:
            self.gateway.post(lambda: TenantSharesChanged(shares))

    def on_list(self, kind: ListKind, entries: list[Endpoint]) -> None:
        """Tell each protocol of its own servers."""
        assert self.split is not None
        parts = self.split.take(kind, entries)
        self.on_http(kind, parts[HTTP])
        if self.dns is not None:
            self.dns.on_list(kind, parts[DNS])

    async def start_new_front(self) -> None:
        """Take clients of the newer format, where the operator asks for it; ConfigError if that cannot be."""
        asked = self.operator.newer if self.operator is not None else None
        if asked is None or not asked.listen:
            return
        from sagetrack.grpc.listener import GrpcListener

        drain, allowance = self.server.drain, self.server.allowance
        front = GrpcListener(self.gateway, reader(self.config), lambda: drain.is_on, allowance)
        secured = self.keys.create_server_context() if self.keys is not None else None
        places = [parse_address(place, "newer.listen") for place in asked.listen]
        try:
            await front.start(places, secured, shared=self.config.accept_fd is not None)
        except OSError as error:
            raise ConfigError(f"newer.listen {', '.join(asked.listen)}: {error.strerror or error}") from None
        self.new_front = front
        self.gateway.metrics.more.append(front.figures)

    def start_store(self) -> None:
        """Open the store, where the operator has one."""
        if self.operator is not None and self.operator.store.folder:
            from sagetrack.server.persistence import Keeping

            self.keeping = Keeping(self.config, self.operator, self.gateway)

    def renew_keys(self) -> None:
        if self.keys is not None:
            renew(self.keys)

    async def start_dns(self) -> None:
        """Answer DNS too, where the operator asks for it; ConfigError if that cannot be."""
        asked = self.operator.dns if self.operator is not None else None
        if asked is None or not asked.listen:
            return
        from sagetrack.dns.listener import ClientLimits
        from sagetrack.dns.service import DnsConfig, DnsService, SlowStartSettings, ZoneConfig

        own = asked.zone
        zone = None
        if own.origin or own.files:
            places = own.gateways.items()
            gateways = [(name, parse_address(place, "dns.zone.gateways")) for name, place in places]
            zone = ZoneConfig(own.origin, own.ttl_s, gateways, list(own.files.items()))
        limits = ClientLimits(asked.queries_each, asked.queries, asked.connections, asked.connections_each)
        ours = self.config.settings
        plan = DnsConfig(
            [parse_address(place, "dns.listen") for place in asked.listen],
            [parse_address(place, "dns.upstreams") for place in asked.upstreams],
            listed=bool(asked.type),
            latency_objective_us=asked.aim_ms * 1000,
            deadline_us=asked.deadline_ms * 1000,
            cache_bytes=int(asked.cache_mb * 1024 * 1024),
            stale_s=asked.stale_s,
            allowed_prefixes=asked.allow,
            denied_prefixes=asked.deny,
            responses_per_s=asked.answers_per_s,
            limits=limits,
            max_concurrency=asked.crowd,
            gateways=ours.proxies,
            gateway=ours.proxy,
            zone=zone,
            slow_start=SlowStartSettings(
                ours.start_capacity, ours.warm_after_us, ours.overload_multiple, ours.overload_window_us
            ),
        )
        try:
            self.dns = DnsService(plan, self.config.seed ^ 0xD5, self.server_weights, now_us() // 1_000_000)
        except ValueError as error:  # a zone that cannot be read
            raise ConfigError(f"dns.zone: {error}") from None
        self.dns.listener.stands_by = lambda: self.server.drain.is_on
        if self.split is not None:
            self.dns.listed = list(self.split.current[DNS].values())
        try:
            await self.dns.start(shared=self.config.accept_fd is not None)
        except OSError as error:
            raise ConfigError(f"dns.listen {', '.join(asked.listen)}: {error.strerror or error}") from None
        if zone is not None:
            self.follow_zone()
        self.gateway.metrics.more.append(self.dns.figures)

    def server_weights(self) -> dict[str, float]:
        """What the module makes of each server now."""
        known = self.gateway.balancer.servers
        return {
            host.name: known[number].weight for number, host in self.pools.hosts.items() if number in known
        }

    def follow_zone(self) -> None:
        """Let our own zone follow the list of servers, and its order their weights."""
        assert self.dns is not None
        self.zone_timer = asyncio.get_running_loop().call_later(ZONE_S, self.follow_zone)
        ready = [host for host in self.pools.hosts.values() if host.drained_us is None]
        known = self.gateway.balancer.servers
        self.dns.list_servers(
            (host.name, host.address, known[host.id].entry.weight) for host in ready if host.id in known
        )
        if self.dns.zones is not None:
            self.dns.zones.turn_orders()

    def join_peers(self) -> None:
        """Take part in what gateways tell each other, where that is allowed or asked for."""
        config, gateway = self.config, self.gateway
        self.node = node_for(config, self.operator, gateway)
        if self.node is not None:
            gateway.metrics.more.append(self.node.figures)
            self.server.describe_peers = self.node.describe
            self.node.start()
        if self.overlap.folder is not None:
            self.handover = Handover(self.overlap, config, gateway)

    def leave_peers(self) -> None:
        """Say no more to the others, and free the address for a successor."""
        if self.node is not None:
            self.node.close()
        if self.handover is not None:
            self.handover.close()

    def close(self) -> None:
        """Give up everything at once."""
        self.server.close()
        self.leave_peers()
        if self.keeping is not None:
            self.keeping.close()
        if self.zone_timer is not None:
            self.zone_timer.cancel()
        if self.newer is not None:
            self.newer.close()
        if self.new_front is not None:
            self.new_front.close()
        if self.dns is not None:
            self.dns.close()
        self.gateway.close()
