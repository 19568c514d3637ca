"""gRPC upstream servers in addition to HTTP/1.1 ones: traffic shares, mirroring and TLS keys.

The operator's file configures them in the table `newer`; docs/protocol-2.md describes the protocol.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING

from sagetrack.config.platform import Config, ConfigError
from sagetrack.core.bodies import StreamedBody
from sagetrack.core.clock import now_us
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.gateway import Gateway
from sagetrack.core.interfaces import UpstreamPool
from sagetrack.core.log import log
from sagetrack.core.requests import Client, Request
from sagetrack.core.responses import Header
from sagetrack.discovery.endpoint_parsing import index_of_name
from sagetrack.http1.requests import HttpRequest, RequestError, read_request
from sagetrack.policy.events import ListKind, TrafficShift
from sagetrack.policy.migration import Migration

if TYPE_CHECKING:
    from sagetrack.config.operator import GrpcSettings, Operator
    from sagetrack.grpc.mirroring import RequestMirror
    from sagetrack.grpc.protocol_router import ProtocolRouter, WeightFactorsByIndex
    from sagetrack.grpc.request_intake import RequestBuilder
    from sagetrack.grpc.tls import TlsCredentials

WEIGHT_REFRESH_S = 1.0  # interval between updates of the server weights from the traffic share
MICROSECONDS_PER_MS = 1000
NOT_FOUND = 404  # HTTP status for a path that no class handles


def create_request_builder(config: Config) -> RequestBuilder:
    """Return a function that converts a gRPC request with the parser and the rules of HTTP/1.1 requests.

    The function raises `sagetrack.grpc.errors.RequestReadError` if the request is rejected.
    """
    from sagetrack.grpc.errors import RequestReadError
    from sagetrack.grpc.outcomes import StatusCode

    def read(
        method: str,
        target: bytes,
        headers: list[Header],
        body: bytes,
        budget_us: int,
        client: Client,
        streamed_body: StreamedBody | None,
    ) -> Request:
        message = HttpRequest()
        message.streamed_body = streamed_body
        message.method = method.encode()
        message.target = target
        message.body = [body] if body else []
        message.headers = list(headers)
        if budget_us:
            message.headers.append((b"X-Budget-Ms", b"%d" % max(1, budget_us // MICROSECONDS_PER_MS)))
        try:
            return read_request(message, target.partition(b"?")[0], config, client)
        except RequestError as error:
            status = StatusCode.UNIMPLEMENTED if error.status == NOT_FOUND else StatusCode.INVALID_ARGUMENT
            raise RequestReadError(status, str(error)) from None

    return read


class GrpcUpstreams:
    """Controls the traffic shares of HTTP/1.1 and gRPC servers, and mirroring between them."""

    def __init__(self, router: ProtocolRouter, gateway: Gateway) -> None:
        """Start to refresh the weights; requires a running event loop.

        Args:
            router: Routes each attempt to the connection pool of the server's protocol.
            gateway: Receives the endpoint list with weights adjusted to the traffic shares.
        """
        self.router = router
        self.gateway = gateway
        self._send_endpoint_list = gateway.on_endpoint_list
        self.mirror: RequestMirror | None = None
        self._loop = asyncio.get_running_loop()
        router.on_fallback = self._on_rollback
        router.on_override_factors = self._on_traffic_shift
        self._refresh_timer = self._loop.call_later(WEIGHT_REFRESH_S, self._refresh_periodically)

    def on_list(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        """Forward a change of the endpoint list with weights adjusted to the traffic shares."""
        self._send_endpoint_list(kind, self.router.on_list(kind, endpoints))
        self._refresh_weights()

    def start_mirroring(
        self, settings: GrpcSettings, class_names: list[str], is_active: Callable[[], bool]
    ) -> None:
        """Mirror some requests to a server of the other protocol, and compare the responses.

        Args:
            settings: The rate of mirrored requests and the headers that are not compared.
            class_names: The names of the classes, in the order of class indices.
            is_active: Returns whether requests may be mirrored now.
        """
        from sagetrack.grpc.mirroring import RequestMirror

        self.mirror = RequestMirror(
            self.gateway, settings.compare_per_s, settings.compare_ignore, class_names, is_active
        )
        self.router.on_response = self.mirror.on_response

    def set_shares(self, config: Config, settings: GrpcSettings) -> None:
        """Change the traffic shares; raises ConfigError for an unknown class or tenant."""
        by_class, by_tenant = traffic_shares(config, settings)
        if self.router.set_shares(settings.share, by_class, by_tenant):
            share = "by listed weights" if settings.share is None else settings.share
            log(f"gRPC traffic share changed: {share}")
            self._refresh_weights()

    def metric_values(self) -> dict[str, float]:
        """Return the metrics of mirroring, of the gRPC pool and of the migration."""
        migration = self.router.migration
        mirroring = self.mirror.metric_values() if self.mirror is not None else {}
        return (
            mirroring
            | self.router.grpc.metric_values()
            | {
                "new_failing": round(migration.new.failure_rate, 4),
                "old_failing": round(migration.old.failure_rate, 4),
                "new_returns_total": migration.fallbacks,
            }
        )

    def close(self) -> None:
        """Stop refreshing the weights."""
        self._refresh_timer.cancel()

    def _refresh_periodically(self) -> None:
        self._refresh_timer = self._loop.call_later(WEIGHT_REFRESH_S, self._refresh_periodically)
        self._refresh_weights()

    def _refresh_weights(self) -> None:
        changed = self.router.update_weights()
        if changed:
            self._send_endpoint_list(ListKind.DELTA, changed)

    def _on_traffic_shift(self, by_class: WeightFactorsByIndex, by_tenant: WeightFactorsByIndex) -> None:
        shift = TrafficShift(by_class, by_tenant)
        self.gateway.post(lambda: shift)

    def _on_rollback(self) -> None:
        """Log the rollback, caused by failures of gRPC servers, and refresh the weights soon."""
        fallback_s = (self.router.migration.fallback_until_us - now_us()) / 1e6
        log(f"gRPC traffic share rolled back for {fallback_s:.0f} s: gRPC servers fail more than the others")
        self._loop.call_soon(self._refresh_weights)


def load_tls_keys(operator: Operator | None) -> TlsCredentials | None:
    """Load the TLS keys for gRPC, or None without TLS; raises ConfigError for unusable keys."""
    settings = operator.newer if operator is not None else None
    if settings is None or not settings.tls:
        return None
    from sagetrack.grpc.tls import TlsCredentials, TlsFilesError

    try:
        return TlsCredentials(settings.ca, settings.certificate, settings.key)
    except TlsFilesError as error:
        raise ConfigError(f"newer: {error}") from None


def reload_keys(keys: TlsCredentials) -> None:
    """Reload the key files; if they are unusable, this is logged and the previous keys stay in use."""
    from sagetrack.grpc.tls import TlsFilesError

    try:
        keys.reload()
    except TlsFilesError as error:
        log(f"TLS key reload failed, keeping the previous keys: {error}")


def build_protocol_router(
    config: Config, operator: Operator | None, http_pools: UpstreamPool, keys: TlsCredentials | None
) -> ProtocolRouter | None:
    """Create the router for both protocols, or None if no gRPC servers are configured.

    Args:
        config: The platform's configuration.
        operator: The operator's file; `newer.types` lists the server types that speak gRPC.
        http_pools: The connection pools of HTTP/1.1 servers.
        keys: The TLS keys; None for connections without TLS.

    Raises:
        ConfigError: A traffic share is configured for an unknown class or tenant.
    """
    settings = operator.newer if operator is not None else None
    if settings is None or not settings.types:
        return None
    from sagetrack.grpc.connection_pool import GrpcConnectionPools
    from sagetrack.grpc.protocol_router import ProtocolRouter

    grpc_pools = GrpcConnectionPools(
        config.settings, lambda: keys.client_context if keys is not None else None
    )
    kinds = [index_of_name(name, config.names.kinds) for name in settings.types]
    migration = Migration(settings.share, *traffic_shares(config, settings))
    return ProtocolRouter(http_pools, grpc_pools, kinds, migration, lambda: None)


def with_grpc(config: Config, operator: Operator | None) -> Config:
    """Return the configuration with the server types that speak gRPC added to the policy settings."""
    if operator is None or not operator.newer.types:
        return config
    kinds = frozenset(index_of_name(name, config.names.kinds) for name in operator.newer.types)
    return replace(config, settings=replace(config.settings, grpc_kinds=kinds))


def traffic_shares(config: Config, settings: GrpcSettings) -> tuple[dict[int, float], dict[int, float]]:
    """Return the gRPC traffic shares by class index and by tenant index; ConfigError for unknown names."""
    return (
        _shares_by_index("class", settings.share_by_class, config.names.classes),
        _shares_by_index("member", settings.share_by_member, config.names.tenants),
    )


def _shares_by_index(kind: str, shares: Mapping[str, float], known: Mapping[bytes, int]) -> dict[int, float]:
    indices = {name.decode(): index for name, index in known.items()}
    for name in shares:
        if name not in indices:
            known_names = ", ".join(indices)
            raise ConfigError(f"newer.share_by_{kind}: no {kind} {name!r}; there are {known_names}")
    return {indices[name]: share for name, share in shares.items()}
