"""Builds a gateway from its components, and starts, drains and closes them in order."""

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
from sagetrack.core.listening_socket import bind_listener, inherit_listener
from sagetrack.core.memory_budget import MemoryBudget
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
from sagetrack.server.observation_exchange import ObservationExchange
from sagetrack.server.protocol_listeners import ProtocolListeners
from sagetrack.server.recent_request_files import RecentRequestFiles
from sagetrack.server.startup_timing import StartupTiming

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator
    from sagetrack.grpc.protocol_router import ProtocolRouter
    from sagetrack.server.persistence import Persistence

DNS = "dns"  # the protocol of servers whose type is `dns.type` in the operator's file


async def _connect_to_discovery(address: tuple[str, int]) -> DiscoveryConnection:
    return await connect(address, DiscoveryCallError)


class GatewayAssembly:
    """The components of a gateway and the connections between them.

    Life cycle: `start`, then `drain` and `close_drained`; or `close` at any time.
    """

    def __init__(
        self, config: Config, operator: Operator | None = None, timing: StartupTiming | None = None
    ) -> None:
        """Build the components; no address is bound before `start`.

        Args:
            config: The platform's configuration.
            operator: The operator's file; without it, all optional features are off.
            timing: Records how long the phases of the start take.

        Raises:
            ConfigError: The operator's file names a class or tenant that is not in the configuration, or TLS
                keys that cannot be used.
            RuntimeError: No event loop is running.
        """
        asyncio.get_running_loop()
        self.timing = timing if timing is not None else StartupTiming()
        config = with_grpc(with_admission(config, operator), operator)
        self.config = config
        self.operator = operator
        self.persistence: Persistence | None = None
        self.recent_request_files: RecentRequestFiles | None = None
        self.pools = ConnectionPools(config.settings, memory_budget=MemoryBudget(config.memory_mb))
        self.tls_keys = load_tls_keys(operator)
        router = build_protocol_router(config, operator, self.pools, self.tls_keys)
        self.gateway = self._build_gateway(self.pools if router is None else router)
        self.http_listener = HttpListener(config, self.gateway, self.pools)
        self.hot_restart = HotRestart(config.shared_folder if config.accept_fd is not None else None)
        self.http_listener.siblings = self.hot_restart
        self.observation_exchange = ObservationExchange(config, operator, self.gateway)
        self.protocol_listeners = ProtocolListeners(config, operator, self.gateway)
        self.endpoints_by_protocol = self._build_endpoints_by_protocol()
        self.grpc_upstreams = self._build_grpc_upstreams(router) if router is not None else None
        self._on_http_list = (
            self.gateway.on_endpoint_list if self.grpc_upstreams is None else self.grpc_upstreams.on_list
        )
        if self.tls_keys is not None:
            self._export_metrics(self.tls_keys.metric_values)
        self.discovery = self._build_discovery()

    def _export_metrics(self, metric_values: Callable[[], Mapping[str, float]]) -> None:
        """Add the metrics of a component to those at the admin address, after the existing ones."""
        self.gateway.metrics.metric_sources.append(metric_values)

    def _build_gateway(self, upstreams: UpstreamPool) -> Gateway:
        config = self.config
        gateway = Gateway(
            config.settings, config.seed, self._class_names(), upstreams, config.known_endpoints
        )
        admission = gateway.balancer.admission
        if admission is not None:
            tenants = [name.decode() for name in config.names.tenants]
            gateway.metrics.metric_sources.append(lambda: admission.metric_values(tenants))
        return gateway

    def _class_names(self) -> list[str]:
        return [name.decode() for name in self.config.names.classes]

    def _build_endpoints_by_protocol(self) -> EndpointsByProtocol | None:
        """Create the division of the endpoint list by protocol; None if it contains no DNS servers."""
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
        self.http_listener.set_head_check(untranslatable_reason)
        self.http_listener.descriptors.upstream_counts.append(lambda: router.grpc.open_connections)
        self.http_listener.memory_budget.sources.append(lambda: router.grpc.held_bytes)
        self._export_metrics(upstreams.metric_values)
        return upstreams

    def _build_discovery(self) -> DiscoveryClient:
        config = self.config
        discovery = DiscoveryClient(
            config.discovery,
            config.names,
            self._on_http_list if self.endpoints_by_protocol is None else self._on_list,
            config.settings.endpoints_are_pushed,
            _connect_to_discovery,
            discovery_timeouts(config.settings),
        )
        self._export_metrics(discovery.history.counts.metric_values)
        return discovery

    async def start(self) -> None:
        """Start to accept clients.

        Before that, the first response of discovery and the store are awaited, concurrently and for a limited
        time; clients wait for nothing else.

        Raises:
            OSError: The listening address of the platform's configuration cannot be bound.
            ConfigError: The inherited socket or an address in the operator's file cannot be used.
        """
        end_phase = self.timing.end_phase
        end_phase("decisions")
        self.start_persistence()
        end_phase("store")
        self._join_siblings()
        listener = await self._listening_socket()
        self.http_listener.prepare(self.discovery)
        end_phase("list")
        await self.discovery.wait_for_first_call()
        end_phase("first call")
        if self.persistence is not None:
            await self.persistence.wait_until_read()
            end_phase("store")
        self.http_listener.start(listener)
        if self.persistence is not None:
            self.persistence.restore()
        self.observation_exchange.start(self.http_listener, self.hot_restart)
        end_phase("peers")
        await self.protocol_listeners.start_dns(self.http_listener, self.pools, self._listed_dns_servers())
        await self.protocol_listeners.start_grpc(self.http_listener, self.tls_keys)
        end_phase("other fronts")

    def start_persistence(self) -> None:
        """Open the store if the operator has configured one."""
        if self.operator is not None and self.operator.store.folder:
            from sagetrack.server.persistence import Persistence

            self.persistence = Persistence(self.config, self.operator.store, self.gateway)

    def _join_siblings(self) -> None:
        """Detect other processes of this gateway, and select the newest available endpoint list."""
        config = self.config
        endpoint_list = self.hot_restart.endpoint_list
        self.hot_restart.join()
        if self.hot_restart.folder is not None:
            self._share_recent_requests(str(self.hot_restart.folder))
        self.gateway.known_endpoints = endpoint_list.select_newest(
            config.discovery,
            self.gateway.known_endpoints,
            lambda raw: bool(parse_endpoint_list(raw, config.names).endpoints),
        )
        self.discovery.on_list_changed = endpoint_list.schedule_write

    def _share_recent_requests(self, folder: str) -> None:
        """Learn from earlier and sibling processes which requests may still run, and tell them of ours."""
        recent_requests = self.gateway.recent_requests
        files = RecentRequestFiles(
            folder, recent_requests.live_entries, lambda: self.hot_restart.sibling_count > 0
        )
        recent_requests.shared = self.recent_request_files = files
        recent_requests.merge_shared()
        files.remove_expired()

    async def _listening_socket(self) -> socket.socket:
        descriptor = self.config.accept_fd
        if descriptor is not None:
            return inherit_listener(descriptor)
        return await retry_while_transient(lambda: bind_listener(self.config.listen))

    def _listed_dns_servers(self) -> Iterable[Endpoint]:
        return (
            self.endpoints_by_protocol.endpoints[DNS].values()
            if self.endpoints_by_protocol is not None
            else ()
        )

    def _on_list(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        """Pass the endpoints of each protocol to the component that uses them."""
        assert self.endpoints_by_protocol is not None
        by_protocol = self.endpoints_by_protocol.update(kind, endpoints)
        self._on_http_list(kind, by_protocol[HTTP])
        self.protocol_listeners.on_dns_list(kind, by_protocol[DNS])

    def apply_operator(self, config: Config, operator: Operator) -> None:
        """Apply the settings of the operator's file that can change at run time: traffic and tenant shares.

        Args:
            config: The reloaded platform configuration, which defines the class and tenant names.
            operator: The reloaded operator's file.

        Raises:
            ConfigError: The operator's file names a class or tenant that is not in the configuration.
        """
        shares = tenant_shares(config, operator)
        if self.grpc_upstreams is not None:
            self.grpc_upstreams.set_shares(config, operator.newer)
        if operator.queues.use:
            self.gateway.post(lambda: TenantSharesChanged(shares))

    def reload_tls_keys(self) -> None:
        """Reload the TLS keys; the previous ones stay in use if the new ones are unusable."""
        if self.tls_keys is not None:
            reload_keys(self.tls_keys)

    async def drain(self) -> None:
        """Shut down gracefully: wait without a time limit until all accepted HTTP requests have a response.

        Returns when no request is in flight. DNS and gRPC are closed shortly before the time at which the
        platform may kill the process.
        """
        self.observation_exchange.close()
        http_drain_task = asyncio.get_running_loop().create_task(self.http_listener.shut_down())
        await asyncio.sleep(0)  # lets `shut_down` begin, which sets `response_cutoff_s`
        other_drain_tasks = self.protocol_listeners.begin_drain(
            self.http_listener.drain.response_cutoff_s + EXIT_MARGIN_S / 2
        )
        # No time limit: it would lose the requests that are still in flight.
        await http_drain_task
        for drain_task in other_drain_tasks:
            await drain_task

    def close_drained(self) -> None:
        """Save state, and close the components that are still open after `drain`."""
        if self.persistence is not None:
            self.persistence.close()
        self.hot_restart.release()
        self._close_recent_requests()
        self.gateway.close()

    def close(self) -> None:
        """Close all components immediately; requests in flight are lost."""
        self.http_listener.close()
        self.observation_exchange.close()
        if self.persistence is not None:
            self.persistence.close()
        if self.grpc_upstreams is not None:
            self.grpc_upstreams.close()
        self.protocol_listeners.close()
        self._close_recent_requests()
        self.gateway.close()

    def _close_recent_requests(self) -> None:
        if self.recent_request_files is not None:
            self.recent_request_files.close()
