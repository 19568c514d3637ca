"""One gateway in this process, assembled from its components."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from sagetrack.config.platform import Config, ConfigError, parse_address
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
    request_reader,
    with_grpc,
)
from sagetrack.server.health_handover import HealthHandover
from sagetrack.server.hot_restart import HotRestart
from sagetrack.server.listen import bind, inherit
from sagetrack.server.peer_node import build_peer_node
from sagetrack.server.startup_timing import StartupTiming

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator
    from sagetrack.grpc.listener import GrpcListener
    from sagetrack.grpc.protocol_router import ProtocolRouter
    from sagetrack.peers.node import Node
    from sagetrack.server.dns_assembly import DnsAssembly
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
        self.config, self.operator = config, operator
        self.peer_node: Node | None = None
        self.health_handover: HealthHandover | None = None
        self.dns: DnsAssembly | None = None
        self.grpc_listener: GrpcListener | None = None
        self.persistence: Persistence | None = None
        self.pools = ConnectionPools(config.settings)
        self.tls_keys = load_tls_keys(operator)
        router = build_protocol_router(config, operator, self.pools, self.tls_keys)
        self.gateway = self._build_gateway(self.pools if router is None else router)
        self.server = HttpListener(config, self.gateway, self.pools)
        self.hot_restart = HotRestart(config.folder if config.accept_fd is not None else None)
        self.server.siblings = self.hot_restart
        self.split = self._build_protocol_split()
        self.grpc_upstreams = self._build_grpc_upstreams(router) if router is not None else None
        self._on_http_list = (
            self.gateway.on_endpoint_list if self.grpc_upstreams is None else self.grpc_upstreams.on_list
        )
        if self.tls_keys is not None:
            self.gateway.metrics.extra_figures.append(self.tls_keys.figures)
        self.discovery = self._build_discovery()

    def _build_gateway(self, upstreams: UpstreamPool) -> Gateway:
        config = self.config
        gateway = Gateway(config.settings, config.seed, self._class_names(), upstreams, config.known)
        admission = gateway.balancer.admission
        if admission is not None:
            tenants = [name.decode() for name in config.names.tenants]
            gateway.metrics.extra_figures.append(lambda: admission.figures(tenants))
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
                self.operator.newer, self._class_names(), lambda: not self.server.drain.is_draining
            )
        self.server.check_heads(untranslatable_reason)
        self.gateway.metrics.extra_figures.append(upstreams.figures)
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
        self.gateway.metrics.extra_figures.append(discovery.calls.figures)
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
        self.server.prepare(self.discovery)
        phase_done("list")
        await self.discovery.wait_for_first_call()
        phase_done("first call")
        if self.persistence is not None:
            await self.persistence.wait_until_read()
            phase_done("store")
        self.server.start(listener)
        if self.persistence is not None:
            self.persistence.restore()
        self._join_peers()
        phase_done("peers")
        await self._start_dns()
        await self._start_grpc_listener()
        phase_done("other fronts")

    def start_persistence(self) -> None:
        """Open the store, where the operator has one."""
        if self.operator is not None and self.operator.store.folder:
            from sagetrack.server.persistence import Persistence

            self.persistence = Persistence(self.config, self.operator.store, self.gateway)

    def _join_siblings(self) -> None:
        """Find other processes of this gateway, and begin with the newest endpoint list at hand."""
        config, endpoint_list = self.config, self.hot_restart.endpoint_list
        self.hot_restart.join()
        self.gateway.known_endpoints = endpoint_list.newest(
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

    def _join_peers(self) -> None:
        """Exchange observations with other gateways where that is on, and with a sibling process."""
        self.peer_node = build_peer_node(self.config, self.operator, self.gateway)
        if self.peer_node is not None:
            self.gateway.metrics.extra_figures.append(self.peer_node.figures)
            self.server.describe_peers = self.peer_node.describe
            self.peer_node.start()
        if self.hot_restart.folder is not None:
            self.health_handover = HealthHandover(self.hot_restart, self.config, self.gateway)

    async def _start_dns(self) -> None:
        """Answer DNS where the operator asks for it; ConfigError if that cannot be."""
        settings = self.operator.dns if self.operator is not None else None
        if settings is None or not settings.listen:
            return
        from sagetrack.server.dns_assembly import DnsAssembly

        drain = self.server.drain
        listed = self.split.endpoints[DNS].values() if self.split is not None else ()
        self.dns = DnsAssembly(
            self.config, settings, self.gateway, self.pools, lambda: drain.is_draining, listed
        )
        await self.dns.start()
        self.gateway.metrics.extra_figures.append(self.dns.figures)

    async def _start_grpc_listener(self) -> None:
        """Accept gRPC clients where the operator asks for it; ConfigError if that cannot be."""
        settings = self.operator.newer if self.operator is not None else None
        if settings is None or not settings.listen:
            return
        from sagetrack.grpc.listener import GrpcListener

        drain, body_memory = self.server.drain, self.server.body_budget
        listener = GrpcListener(
            self.gateway, request_reader(self.config), lambda: drain.is_draining, body_memory
        )
        tls_context = self.tls_keys.create_server_context() if self.tls_keys is not None else None
        addresses = [parse_address(address, "newer.listen") for address in settings.listen]
        try:
            await listener.start(addresses, tls_context, shared=self.config.accept_fd is not None)
        except OSError as error:
            where = ", ".join(settings.listen)
            raise ConfigError(f"newer.listen {where}: {error.strerror or error}") from None
        self.grpc_listener = listener
        self.gateway.metrics.extra_figures.append(listener.figures)

    def _on_list(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        """Pass each protocol its own endpoints."""
        assert self.split is not None
        by_protocol = self.split.update(kind, endpoints)
        self._on_http_list(kind, by_protocol[HTTP])
        if self.dns is not None:
            self.dns.on_list(kind, by_protocol[DNS])

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
        self._leave_peers()
        loop = asyncio.get_running_loop()
        http_drained = loop.create_task(self.server.leave())
        await asyncio.sleep(0)  # `leave` has begun now, and it is known when the last answers are due
        until_s = self.server.drain.answer_cutoff_s + EXIT_MARGIN_S / 2
        dns_drained = loop.create_task(self.dns.drain(until_s)) if self.dns is not None else None
        grpc_listener = self.grpc_listener
        grpc_drained = (
            loop.create_task(grpc_listener.shut_down(until_s)) if grpc_listener is not None else None
        )
        # No time limit here: what is unanswered at an end by the clock would be lost.
        await http_drained
        if dns_drained is not None:
            await dns_drained
        if grpc_drained is not None:
            await grpc_drained

    def close_drained(self) -> None:
        """Write what is to be kept, and close what `drain` left open."""
        if self.persistence is not None:
            self.persistence.close()
        self.hot_restart.release()
        self.gateway.close()

    def _leave_peers(self) -> None:
        """Exchange no more observations, and free the address for a successor."""
        if self.peer_node is not None:
            self.peer_node.close()
        if self.health_handover is not None:
            self.health_handover.close()

    def close(self) -> None:
        """Close everything at once; requests in flight are lost."""
        self.server.close()
        self._leave_peers()
        if self.persistence is not None:
            self.persistence.close()
        if self.grpc_upstreams is not None:
            self.grpc_upstreams.close()
        if self.grpc_listener is not None:
            self.grpc_listener.close()
        if self.dns is not None:
            self.dns.close()
        self.gateway.close()
