"""The optional DNS and gRPC listeners, which the operator can enable in addition to HTTP/1.1."""

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
from sagetrack.server.grpc_upstreams import create_request_builder

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator
    from sagetrack.grpc.listener import GrpcListener
    from sagetrack.grpc.tls import TlsCredentials
    from sagetrack.server.dns_assembly import DnsAssembly


class ProtocolListeners:
    """The DNS service and the gRPC listener of a gateway; each is None if it is disabled."""

    def __init__(self, config: Config, operator: Operator | None, gateway: Gateway) -> None:
        """Open no listener; `start_dns` and `start_grpc` do so.

        Args:
            config: The platform's configuration.
            operator: The operator's file, which enables the listeners.
            gateway: Handles the requests and exports the metrics.
        """
        self.config = config
        self.operator = operator
        self.gateway = gateway
        self.dns: DnsAssembly | None = None
        self.grpc: GrpcListener | None = None

    async def start_dns(self, http: HttpListener, pools: ConnectionPools, listed: Iterable[Endpoint]) -> None:
        """Start the DNS service if the operator has enabled it.

        Args:
            http: The HTTP listener, which owns the budgets that all fronts share; while it is draining, DNS
                connections are closed after a response.
            pools: Connection pools of the servers that the authoritative zone lists.
            listed: DNS servers known so far from the endpoint list.

        Raises:
            ConfigError: An address or a zone is invalid, or an address cannot be bound.
        """
        settings = self.operator.dns if self.operator is not None else None
        if settings is None or not settings.listen:
            return
        from sagetrack.server.dns_assembly import DnsAssembly

        self.dns = DnsAssembly(self.config, settings, self.gateway, pools, http, listed)
        await self.dns.start()
        self.gateway.metrics.metric_sources.append(self.dns.metric_values)

    async def start_grpc(self, http: HttpListener, tls_keys: TlsCredentials | None) -> None:
        """Start the gRPC listener if the operator has enabled it.

        Args:
            http: The HTTP listener; gRPC connections drain while it is draining, and both share the memory
                limit for streamed bodies.
            tls_keys: The TLS keys of the listener; None for a listener without TLS.

        Raises:
            ConfigError: An address is invalid or cannot be bound.
        """
        settings = self.operator.newer if self.operator is not None else None
        if settings is None or not settings.listen:
            return
        from sagetrack.grpc.listener import GrpcListener

        drain = http.drain
        listener = GrpcListener(
            self.gateway,
            create_request_builder(self.config),
            lambda: drain.is_draining,
            http.memory_budget,
            http,
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
        """Apply a change of the DNS servers in the endpoint list."""
        if self.dns is not None:
            self.dns.on_list(kind, endpoints)

    def begin_drain(self, until_s: float) -> list[asyncio.Task[None]]:
        """Start to shut down gracefully.

        Args:
            until_s: The latest time at which both close, on the clock of the event loop.

        Returns:
            Tasks that end when no request is in flight.
        """
        loop = asyncio.get_running_loop()
        tasks: list[asyncio.Task[None]] = []
        if self.dns is not None:
            tasks.append(loop.create_task(self.dns.drain(until_s)))
        if self.grpc is not None:
            tasks.append(loop.create_task(self.grpc.shut_down(until_s)))
        return tasks

    def close(self) -> None:
        """Close both immediately; requests in flight are lost."""
        if self.grpc is not None:
            self.grpc.close()
        if self.dns is not None:
            self.dns.close()
