"""One gateway in this process, assembled from its components."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

from sagetrack.config.platform import Config
from sagetrack.core.deadlines import discovery_timeouts
from sagetrack.core.drain import EXIT_MARGIN_S
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.gateway import Gateway
from sagetrack.core.interfaces import UpstreamPool
from sagetrack.core.transient_errors import retry_while_transient
from sagetrack.discovery.client import DiscoveryClient
from sagetrack.discovery.endpoint_parsing import index_of_name, parse_endpoint_list
from sagetrack.discovery.endpoints_by_protocol import HTTP, EndpointsByProtocol
from sagetrack.discovery.errors import DiscoveryCallError
from sagetrack.http1.connection_pool import ConnectionPools
from sagetrack.http1.discovery_connection import DiscoveryConnection, connect
from sagetrack.http1.listener import HttpListener
from sagetrack.policy.events import ListKind, TenantSharesChanged
from sagetrack.server.admission_settings import tenant_shares, with_admission
from sagetrack.server.grpc_upstreams import (
    GrpcUpstreams,
    build_protocol_router,
    load_tls_keys,
    reload_keys,
    with_grpc,
)
from sagetrack.server.hot_restart import HotRestart
from sagetrack.server.listen import bind, inherit
from sagetrack.server.observation_exchange import ObservationExchange
from sagetrack.server.protocol_listeners import ProtocolListeners
from sagetrack.server.startup_timing import StartupTiming

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator
    from sagetrack.grpc.protocol_router import ProtocolRouter
    from sagetrack.server.persistence import Persistence

DNS = "dns"  # the protocol of endpoints whose type is the operator's `dns.type`


async def _connect_to_discovery(address: tuple[str, int]) -> DiscoveryConnection:
    return await connect(address, DiscoveryCallError)


class GatewayAssembly:
    """The components of a gateway, wired to each other.

    Life cycle: `start`, then `drain` and `close_drained`, or `close` at any time.
    """

    def __init__(
        self, config: Config, operator: Operator | None = None, timing: StartupTiming | None = None
    ) -> None:
        """Build the components; nothing is listened to before `start`.

        Args:
            config: the platform's configuration.
            operator: the operator's file; without it all that it switches on is off.
            timing: where the phases of the start are recorded.

        Raises:
            ConfigError: the operator's file names what the platform's configuration does not have.
            RuntimeError: no event loop is running.
        """
        asyncio.get_running_loop()
        self.timing = timing if timing is not None else StartupTiming()
        config = with_grpc(with_admission(config, operator), operator)
        self.config = config
        self.operator = operator
        self.persistence: Persistence | None = None
        self.pools = ConnectionPools(config.settings)
        self.tls_keys = load_tls_keys(operator)
        router = build_protocol_router(config, operator, self.pools, self.tls_keys)
        self.gateway = self._build_gateway(self.pools if router is None else router)
        self.http_listener = HttpListener(config, self.gateway, self.pools)
        self.hot_restart = HotRestart(config.folder if config.accept_fd is not None else None)
        self.http_listener.siblings = self.hot_restart
        self.observations = ObservationExchange(config, operator, self.gateway)
        self.protocol_listeners = ProtocolListeners(config, operator, self.gateway)
        self.split = self._build_protocol_split()
        self.grpc_upstreams = self._build_grpc_upstreams(router) if router is not None else None
        self._on_http_list = (
            self.gateway.on_endpoint_list if self.grpc_upstreams is None else self.grpc_upstreams.on_list
        )
        if self.tls_keys is not None:
            self._publish(self.tls_keys.figures)
        self.discovery = self._build_discovery()

    def _publish(self, figures: Callable[[], Mapping[str, float]]) -> None:
        """Show the metrics of a component at the admin address, after those published before it."""
        self.gateway.metrics.extra_figures.append(figures)

    def _build_gateway(self, upstreams: UpstreamPool) -> Gateway:
        config = self.config
        gateway = Gateway(config.settings, config.seed, self._class_names(), upstreams, config.known)
        admission = gateway.balancer.admission
        if admission is not None:
            tenants = [name.decode() for name in config.names.tenants]
            gateway.metrics.extra_figures.append(lambda: admission.metrics(tenants))
        return gateway

    def _class_names(self) -> list[str]:
        return [name.decode() for name in self.config.names.classes]

    def _build_protocol_split(self) -> EndpointsByProtocol | None:
        """What tells DNS servers in the endpoint list from HTTP ones; None if the list has no DNS servers."""
        settings = self.operator.dns if self.operator is not None else None
        if settings is None or not settings.listen or not settings.type:
            return None
        return EndpointsByProtocol({index_of_name(settings.type, self.config.names.kinds): DNS})

    def _build_grpc_upstreams(self, router: ProtocolRouter) -> GrpcUpstreams:
        from sagetrack.grpc.translate import untranslatable_reason

        upstreams = GrpcUpstreams(router, self.gateway)
        if self.operator is not None and self.operator.newer.compare_per_s:
            upstreams.start_mirroring(
                self.operator.newer, self._class_names(), lambda: not self.http_listener.drain.is_draining
            )
        self.http_listener.check_heads(untranslatable_reason)
        self._publish(upstreams.figures)
        return upstreams

    def _build_discovery(self) -> DiscoveryClient:
        config = self.config
        discovery = DiscoveryClient(
            config.discovery,
            config.names,
            self._on_http_list if self.split is None else self._on_list,
            config.settings.endpoints_are_pushed,
            _connect_to_discovery,
            discovery_timeouts(config.settings),
        )
        self._publish(discovery.history.counts.figures)
        return discovery

    async def start(self) -> None:
        """Accept clients.

        Clients wait for the first answer of discovery and for the store, both at once and for a bounded time,
        and for nothing else.

        Raises:
            OSError: the platform's listening address cannot be had.
            ConfigError: the inherited socket, or an address of the operator's file, cannot be used.
        """
        phase_done = self.timing.done
        phase_done("decisions")
        self.start_persistence()
        phase_done("store")
        self._join_siblings()
        listener = await self._listening_socket()
        self.http_listener.prepare(self.discovery)
        phase_done("list")
        await self.discovery.wait_for_first_call()
        phase_done("first call")
        if self.persistence is not None:
            await self.persistence.wait_until_read()
            phase_done("store")
        self.http_listener.start(listener)
        if self.persistence is not None:
            self.persistence.restore()
        self.observations.start(self.http_listener, self.hot_restart)
        phase_done("peers")
        await self.protocol_listeners.start_dns(self.http_listener, self.pools, self._listed_dns_servers())
        await self.protocol_listeners.start_grpc(self.http_listener, self.tls_keys)
        phase_done("other fronts")

    def start_persistence(self) -> None:
        """Open the store, where the operator has one."""
        if self.operator is not None and self.operator.store.folder:
            from sagetrack.server.persistence import Persistence

            self.persistence = Persistence(self.config, self.operator.store, self.gateway)

    def _join_siblings(self) -> None:
        """Find other processes of this gateway, and begin with the newest endpoint list at hand."""
        config = self.config
        endpoint_list = self.hot_restart.endpoint_list
        self.hot_restart.join()
        self.gateway.known_endpoints = endpoint_list.select_newest(
            config.discovery,
            self.gateway.known_endpoints,
            lambda raw: bool(parse_endpoint_list(raw, config.names).endpoints),
        )
        self.discovery.on_list_changed = endpoint_list.schedule_write

    async def _listening_socket(self) -> socket.socket:
        descriptor = self.config.accept_fd
        if descriptor is not None:
            return inherit(descriptor)
        return await retry_while_transient(lambda: bind(self.config.listen))

    def _listed_dns_servers(self) -> Iterable[Endpoint]:
        return self.split.endpoints[DNS].values() if self.split is not None else ()

    def _on_list(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        """Pass each protocol its own endpoints."""
        assert self.split is not None
        by_protocol = self.split.update(kind, endpoints)
        self._on_http_list(kind, by_protocol[HTTP])
        self.protocol_listeners.on_dns_list(kind, by_protocol[DNS])

    def apply_operator(self, config: Config, operator: Operator) -> None:
        """Apply what may change in the operator's file while requests go on: traffic and tenant shares.

        Args:
            config: the platform's configuration as read again; its names are those that the file may use.
            operator: the operator's file as read again.

        Raises:
            ConfigError: the file names a class or tenant that the platform's configuration does not have.
        """
        shares = tenant_shares(config, operator)
        if self.grpc_upstreams is not None:
            self.grpc_upstreams.set_shares(config, operator.newer)
        if operator.queues.use:
            self.gateway.post(lambda: TenantSharesChanged(shares))

    def reload_tls_keys(self) -> None:
        """Read the TLS keys again; the previous ones stay where these cannot be used."""
        if self.tls_keys is not None:
            reload_keys(self.tls_keys)

    async def drain(self) -> None:
        """Shut down gracefully: every request that was accepted is answered first, however long that takes.

        Returns when no request is in flight. DNS and gRPC answer until shortly before the platform may kill
        the process.
        """
        self.observations.close()
        http_drained = asyncio.get_running_loop().create_task(self.http_listener.leave())
        await asyncio.sleep(0)  # `leave` has begun now, and it is known when the last answers are due
        others_drained = self.protocol_listeners.begin_drain(
            self.http_listener.drain.answer_cutoff_s + EXIT_MARGIN_S / 2
        )
        # No time limit here: what is unanswered at an end by the clock would be lost.
        await http_drained
        for drained in others_drained:
            await drained

    def close_drained(self) -> None:
        """Write what is to be kept, and close what `drain` left open."""
        if self.persistence is not None:
            self.persistence.close()
        self.hot_restart.release()
        self.gateway.close()

    def close(self) -> None:
        """Close everything at once; requests in flight are lost."""
        self.http_listener.close()
        self.observations.close()
        if self.persistence is not None:
            self.persistence.close()
        if self.grpc_upstreams is not None:
            self.grpc_upstreams.close()
        self.protocol_listeners.close()
        self.gateway.close()
