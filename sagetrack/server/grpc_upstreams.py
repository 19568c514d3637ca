"""gRPC upstream servers beside HTTP/1.1 ones: traffic shares, mirroring and TLS keys.

The operator's file calls them the `newer` servers; docs/protocol-2.md has the protocol.
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
    from sagetrack.grpc.mirroring import ResponseMirror
    from sagetrack.grpc.protocol_router import ProtocolRouter, WeightFactors
    from sagetrack.grpc.request_intake import RequestReader
    from sagetrack.grpc.tls import TlsCredentials

WEIGHT_REFRESH_S = 1.0  # between updates of the listed weights from the traffic share
MICROSECONDS_PER_MS = 1000
NOT_FOUND = 404  # HTTP status of a request for a path that no class has


def request_reader(config: Config) -> RequestReader:
    """What reads a gRPC request as an HTTP/1.1 one is read, so that one set of rules holds for both.

    The function that is returned raises `sagetrack.grpc.errors.RequestReadError` for a request that is
    rejected.
    """
    from sagetrack.grpc.errors import RequestReadError
    from sagetrack.grpc.outcomes import Status

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
            status = Status.UNIMPLEMENTED if error.status == NOT_FOUND else Status.INVALID_ARGUMENT
            raise RequestReadError(status, str(error)) from None

    return read


class GrpcUpstreams:
    """The traffic shares of HTTP/1.1 and gRPC servers, and the mirroring between them."""

    def __init__(self, router: ProtocolRouter, gateway: Gateway) -> None:
        """Begin to refresh the weights; made on a running loop.

        Args:
            router: routes attempts to the pool of a server's protocol.
            gateway: is given the endpoint list with weights that lead to the traffic shares.
        """
        self.router = router
        self.gateway = gateway
        self._publish = gateway.on_endpoint_list
        self.mirror: ResponseMirror | None = None
        self._loop = asyncio.get_running_loop()
        router.on_fallback = self._on_rollback
        router.on_exceptions = self._on_traffic_shift
        self._timer = self._loop.call_later(WEIGHT_REFRESH_S, self._refresh_periodically)

    def on_list(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        """Pass a change of the endpoint list on, with weights adjusted to the traffic share."""
        self._publish(kind, self.router.on_list(kind, endpoints))
        self._refresh_weights()

    def start_mirroring(
        self, settings: GrpcSettings, class_names: list[str], is_active: Callable[[], bool]
    ) -> None:
        """Mirror some requests to a server of the other protocol, and compare the answers.

        Args:
            settings: how many a second, and which headers may differ.
            class_names: the classes in the order of their numbers.
            is_active: whether requests may be mirrored now.
        """
        from sagetrack.grpc.mirroring import ResponseMirror

        self.mirror = ResponseMirror(
            self.gateway, settings.compare_per_s, settings.compare_ignore, class_names, is_active
        )
        self.router.on_response = self.mirror.on_response

    def set_shares(self, config: Config, settings: GrpcSettings) -> None:
        """Change the traffic shares; ConfigError for a class or tenant that is not known."""
        by_class, by_tenant = traffic_shares(config, settings)
        if self.router.set_shares(settings.share, by_class, by_tenant):
            share = "by listed weights" if settings.share is None else settings.share
            log(f"gRPC traffic share changed: {share}")
            self._refresh_weights()

    def metric_values(self) -> dict[str, float]:
        """Metrics of mirroring, of the gRPC pool and of the migration."""
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
        """Refresh the weights no longer."""
        self._timer.cancel()

    def _refresh_periodically(self) -> None:
        self._timer = self._loop.call_later(WEIGHT_REFRESH_S, self._refresh_periodically)
        self._refresh_weights()

    def _refresh_weights(self) -> None:
        changed = self.router.update_weights()
        if changed:
            self._publish(ListKind.DELTA, changed)

    def _on_traffic_shift(self, by_class: WeightFactors, by_tenant: WeightFactors) -> None:
        shift = TrafficShift(by_class, by_tenant)
        self.gateway.post(lambda: shift)

    def _on_rollback(self) -> None:
        """Refresh the weights soon: gRPC servers fail more than the others, and get no share for a while."""
        fallback_s = (self.router.migration.fallback_until_us - now_us()) / 1e6
        log(f"gRPC traffic share rolled back for {fallback_s:.0f} s: gRPC servers fail more than the others")
        self._loop.call_soon(self._refresh_weights)


def load_tls_keys(operator: Operator | None) -> TlsCredentials | None:
    """The TLS keys of the gRPC side; None where it has no TLS, ConfigError for keys that cannot be used."""
    settings = operator.newer if operator is not None else None
    if settings is None or not settings.tls:
        return None
    from sagetrack.grpc.tls import TlsCredentials, TlsFilesError

    try:
        return TlsCredentials(settings.ca, settings.certificate, settings.key)
    except TlsFilesError as error:
        raise ConfigError(f"newer: {error}") from None


def reload_keys(keys: TlsCredentials) -> None:
    """Read the key files again; where they cannot be used that is logged, and the previous keys stay."""
    from sagetrack.grpc.tls import TlsFilesError

    try:
        keys.reload()
    except TlsFilesError as error:
        log(f"TLS key reload failed, keeping the previous keys: {error}")


def build_protocol_router(
    config: Config, operator: Operator | None, http_pools: UpstreamPool, keys: TlsCredentials | None
) -> ProtocolRouter | None:
    """The pool of both protocols; None where the operator has no gRPC servers.

    Args:
        config: the platform's configuration.
        operator: the operator's file; its `newer.types` are those of gRPC servers.
        http_pools: the pools of HTTP/1.1 servers.
        keys: the TLS keys; None for connections without TLS.

    Raises:
        ConfigError: a traffic share is given for a class or tenant that is not known.
    """
    settings = operator.newer if operator is not None else None
    if settings is None or not settings.types:
        return None
    from sagetrack.grpc.connection_pool import GrpcConnectionPools
    from sagetrack.grpc.protocol_router import ProtocolRouter

    grpc_pools = GrpcConnectionPools(config.settings, lambda: keys.context if keys is not None else None)
    kinds = [index_of_name(name, config.names.kinds) for name in settings.types]
    migration = Migration(settings.share, *traffic_shares(config, settings))
    return ProtocolRouter(http_pools, grpc_pools, kinds, migration, lambda: None)


def with_grpc(config: Config, operator: Operator | None) -> Config:
    """The configuration in which the load-balancing policy knows which server types speak gRPC."""
    if operator is None or not operator.newer.types:
        return config
    kinds = frozenset(index_of_name(name, config.names.kinds) for name in operator.newer.types)
    return replace(config, settings=replace(config.settings, grpc_kinds=kinds))


def traffic_shares(config: Config, settings: GrpcSettings) -> tuple[dict[int, float], dict[int, float]]:
    """The gRPC share of the traffic by class number and by tenant number; ConfigError for unknown names."""
    return (
        _numbered("class", settings.share_by_class, config.names.classes),
        _numbered("member", settings.share_by_member, config.names.tenants),
    )


def _numbered(what: str, shares: Mapping[str, float], known: Mapping[bytes, int]) -> dict[int, float]:
    numbers = {name.decode(): number for name, number in known.items()}
    for name in shares:
        if name not in numbers:
            there = ", ".join(numbers)
            raise ConfigError(f"newer.share_by_{what}: no {what} {name!r}; there are {there}")
    return {numbers[name]: share for name, share in shares.items()}
