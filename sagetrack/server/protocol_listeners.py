"""The listeners beside the HTTP/1.1 one that the operator may switch on: DNS and gRPC."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import TYPE_CHECKING

from sagetrack.config.platform import Config, ConfigError, parse_address
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.gateway import Gateway
from sagetrack.http1.connection_pool import ConnectionPools
from sagetrack.http1.listener import HttpListener
from sagetrack.policy.events import ListKind
from sagetrack.server.grpc_upstreams import request_reader

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator
    from sagetrack.grpc.listener import GrpcListener
    from sagetrack.grpc.tls import TlsCredentials
    from sagetrack.server.dns_assembly import DnsAssembly


class ProtocolListeners:
    """The DNS service and the gRPC listener of one gateway; each is None where it is off."""

    def __init__(self, config: Config, operator: Operator | None, gateway: Gateway) -> None:
        """Nothing is listened to before `start_dns` and `start_grpc`.

        Args:
            config: the platform's configuration.
            operator: the operator's file, which says which listeners are on.
            gateway: where requests go, and where the metrics are registered.
        """
        self.config = config
        self.operator = operator
        self.gateway = gateway
        self.dns: DnsAssembly | None = None
        self.grpc: GrpcListener | None = None

    async def start_dns(self, http: HttpListener, pools: ConnectionPools, listed: Iterable[Endpoint]) -> None:
        """Answer DNS queries where the operator switches that on.

        Args:
            http: the HTTP listener; while it drains, DNS connections close once they are answered.
            pools: connection pools of the servers that our own zone lists.
            listed: the DNS servers of the endpoint list, as far as they are known.

        Raises:
            ConfigError: an address or a zone cannot be used.
        """
        settings = self.operator.dns if self.operator is not None else None
        if settings is None or not settings.listen:
            return
        from sagetrack.server.dns_assembly import DnsAssembly

        drain = http.drain
        self.dns = DnsAssembly(self.config, settings, self.gateway, pools, lambda: drain.is_draining, listed)
        await self.dns.start()
        self.gateway.metrics.metric_sources.append(self.dns.metric_values)

    async def start_grpc(self, http: HttpListener, tls_keys: TlsCredentials | None) -> None:
        """Accept gRPC clients where the operator switches that on.

        Args:
            http: the HTTP listener; while it drains, so do gRPC connections, and both share the memory for
                streamed bodies.
            tls_keys: the keys of the listener; without them it has no TLS.

        Raises:
            ConfigError: an address cannot be used.
        """
        settings = self.operator.newer if self.operator is not None else None
        if settings is None or not settings.listen:
            return
        from sagetrack.grpc.listener import GrpcListener

        drain = http.drain
        listener = GrpcListener(
            self.gateway, request_reader(self.config), lambda: drain.is_draining, http.body_budget
        )
        tls_context = tls_keys.create_server_context() if tls_keys is not None else None
        addresses = [parse_address(address, "newer.listen") for address in settings.listen]
        try:
            await listener.start(addresses, tls_context, shared=self.config.accept_fd is not None)
        except OSError as error:
            where = ", ".join(settings.listen)
            raise ConfigError(f"newer.listen {where}: {error.strerror or error}") from None
        self.grpc = listener
        self.gateway.metrics.metric_sources.append(listener.metric_values)

    def on_dns_list(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        """Take a change of the DNS servers in the endpoint list."""
        if self.dns is not None:
            self.dns.on_list(kind, endpoints)

    def begin_drain(self, until_s: float) -> list[asyncio.Task[None]]:
        """Begin to shut down gracefully.

        Args:
            until_s: when both close at the latest, by the clock of the event loop.

        Returns:
            The tasks that end when the requests in flight are answered.
        """
        loop = asyncio.get_running_loop()
        draining: list[asyncio.Task[None]] = []
        if self.dns is not None:
            draining.append(loop.create_task(self.dns.drain(until_s)))
        if self.grpc is not None:
            draining.append(loop.create_task(self.grpc.shut_down(until_s)))
        return draining

    def close(self) -> None:
        """Close both at once; requests in flight are lost."""
        if self.grpc is not None:
            self.grpc.close()
        if self.dns is not None:
            self.dns.close()
