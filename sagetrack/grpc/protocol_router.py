"""Routes each attempt to the connection pools of its server's protocol, and shifts traffic between both."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import replace

from sagetrack.core.clock import now_us
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.interfaces import AnyResponse, Attempt, AttemptObserver, UpstreamPool
from sagetrack.core.requests import Request, ResponseSource
from sagetrack.core.send_rules import ServerState
from sagetrack.grpc.connection_pool import GrpcConnectionPools
from sagetrack.grpc.upstream_attempt import GrpcAttempt
from sagetrack.policy.events import ListKind, LoadReport, Outcome, ServerStatus
from sagetrack.policy.migration import Migration

WeightFactorsByIndex = dict[int, tuple[float, float]]
"""Weight factors of HTTP/1.1 and of gRPC servers, by the index of a class or a tenant."""

FAILURES = frozenset({Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED})


class ProtocolAttemptObserver:
    """Forwards the events of an attempt to its observer, and counts its outcome for its protocol."""

    __slots__ = ("is_grpc", "observer", "request", "router", "streaming")

    def __init__(
        self, observer: AttemptObserver, router: ProtocolRouter, is_grpc: bool, request: Request
    ) -> None:
        self.observer = observer
        self.router = router
        self.is_grpc = is_grpc
        self.request = request
        self.streaming = False

    def may_begin(self, server: ServerState) -> bool:
        """Return whether the request may be sent now to a server in this state."""
        return self.observer.may_begin(server)

    def on_first_byte(self) -> None:
        """Forward that the first byte of the request is sent."""
        self.observer.on_first_byte()

    def on_request_sent(self) -> None:
        """Forward that the last byte of the request has been sent."""
        self.observer.on_request_sent()

    def on_response_started(self, attempt: Attempt, head: AnyResponse, source: ResponseSource) -> None:
        """Forward the head of a streamed response."""
        self.streaming = True
        self.observer.on_response_started(attempt, head, source)

    def on_response_progress(self, size: int) -> None:
        """Forward that bytes of a streamed response have arrived."""
        self.observer.on_response_progress(size)

    def on_response_data(self, attempt: Attempt, data: bytes) -> None:
        """Forward a part of a streamed response."""
        self.observer.on_response_data(attempt, data)

    def on_attempt_ended(
        self, attempt: Attempt, outcome: Outcome, response: AnyResponse | None, load: LoadReport | None
    ) -> None:
        """Record the outcome, forward it, and then pass a complete response on for mirroring."""
        self.router.record_outcome(self.is_grpc, outcome)
        self.observer.on_attempt_ended(attempt, outcome, response, load)
        if outcome is Outcome.OK and not self.streaming and self.router.on_response is not None:
            self.router.on_response(self.request, self.is_grpc, response)


class ProtocolRouter:
    """The upstream servers of both protocols; the kind in the endpoint list determines a server's protocol.

    Args:
        http1: The connection pools of HTTP/1.1 servers.
        grpc: The connection pools of gRPC servers.
        grpc_kinds: The kinds of servers that speak gRPC.
        migration: Computes the weight factors for the gRPC share of the traffic.
        on_fallback: Called when gRPC servers fail so often that all traffic falls back to HTTP/1.1.
    """

    def __init__(
        self,
        http1: UpstreamPool,
        grpc: GrpcConnectionPools,
        grpc_kinds: Collection[int],
        migration: Migration,
        on_fallback: Callable[[], None],
    ) -> None:
        self.http1 = http1
        self.grpc = grpc
        self.grpc_kinds = frozenset(grpc_kinds)
        self.migration = migration
        self.on_fallback = on_fallback
        self.endpoints: dict[int, Endpoint] = {}  # listed endpoints with unscaled weights, by server id
        self.weight_factors = (1.0, 1.0)  # weight factors of HTTP/1.1 and of gRPC servers
        # Additional factors by class and by tenant, on top of `weight_factors`
        self.override_factors: tuple[WeightFactorsByIndex, WeightFactorsByIndex] = {}, {}
        self.on_override_factors: Callable[[WeightFactorsByIndex, WeightFactorsByIndex], None] | None = None
        self.on_response: Callable[[Request, bool, AnyResponse], None] | None = None
        """Called with each complete response, and whether a gRPC server sent it."""
        # The server ids of both protocols, kept in one dict because each attempt reads them
        self.listed_servers: dict[int, None] = {}

    # Weights

    def on_list(self, kind: ListKind, entries: list[Endpoint]) -> list[Endpoint]:
        """Apply a change of the endpoint list.

        Returns:
            The entries, with weights scaled so that gRPC servers get their share of the traffic.
        """
        if kind is not ListKind.ERROR and kind is not ListKind.DELTA:
            self.endpoints.clear()
        for entry in entries:
            if entry.listed.status is ServerStatus.GONE:
                self.endpoints.pop(entry.listed.server, None)
            else:
                self.endpoints[entry.listed.server] = entry
        return [self.with_scaled_weight(entry) for entry in entries]

    def with_scaled_weight(self, entry: Endpoint) -> Endpoint:
        """Return a copy of an endpoint with its weight scaled by the factor of its protocol."""
        factor = self.weight_factors[entry.listed.kind in self.grpc_kinds]
        listed = replace(entry.listed, weight=entry.listed.weight * factor)
        return Endpoint(entry.name, entry.address, listed)

    def update_weights(self) -> list[Endpoint]:
        """Recompute the factors; returns all endpoints with new weights, or an empty list if unchanged."""
        weight_sums = [0.0, 0.0]
        for entry in self.endpoints.values():
            if entry.listed.status is ServerStatus.READY:
                weight_sums[entry.listed.kind in self.grpc_kinds] += entry.listed.weight
        now = now_us()
        override_factors = self.migration.override_factors(now, *weight_sums)
        if override_factors != self.override_factors:
            self.override_factors = override_factors
            if self.on_override_factors is not None:
                self.on_override_factors(*override_factors)
        factors = self.migration.weight_factors(now, *weight_sums)
        if factors == self.weight_factors:
            return []
        self.weight_factors = factors
        return [self.with_scaled_weight(entry) for entry in self.endpoints.values()]

    def set_shares(
        self,
        target_share: float | None,
        class_shares: dict[int, float],
        tenant_shares: dict[int, float],
    ) -> bool:
        """Change the gRPC shares of the traffic; returns False if they are unchanged.

        Args:
            target_share: The share of all requests, from 0 to 1; None keeps the listed weights.
            class_shares: Shares of classes that differ from the target share, by class index.
            tenant_shares: Shares of tenants that differ from the target share, by tenant index.
        """
        migration = self.migration
        if (migration.target_share, migration.class_shares, migration.tenant_shares) == (
            target_share,
            class_shares,
            tenant_shares,
        ):
            return False
        migration.target_share = target_share
        migration.class_shares = class_shares
        migration.tenant_shares = tenant_shares
        return True

    def record_outcome(self, is_grpc: bool, outcome: Outcome) -> None:
        """Count a success or failure for a protocol; other outcomes, such as rejections, are ignored."""
        significant = outcome is Outcome.OK or outcome in FAILURES
        if significant and self.migration.record(is_grpc, outcome is not Outcome.OK, now_us()):
            self.on_fallback()

    # Interface `UpstreamPool`

    def speaks_grpc(self, server: int) -> bool:
        """Return whether a server is listed as a gRPC server."""
        return server in self.grpc.pools

    def pool_for_server(self, server: int) -> UpstreamPool:
        """Return the pools of a server's protocol."""
        return self.grpc if self.speaks_grpc(server) else self.http1

    def pool_for_attempt(self, attempt: Attempt) -> UpstreamPool:
        """Return the pools that carry an attempt."""
        return self.grpc if isinstance(attempt, GrpcAttempt) else self.http1

    def put(self, entry: Endpoint) -> None:
        """Add or update a server; a server that changes its protocol moves to the other pools."""
        server = entry.listed.server
        self.listed_servers[server] = None
        if entry.listed.kind in self.grpc_kinds:
            if server in self.http1.listed:
                self.http1.remove(server)
            self.grpc.put(entry)
        else:
            if server in self.grpc.listed:
                self.grpc.remove(server)
            self.http1.put(entry)

    def remove(self, server: int) -> None:
        """Remove a server."""
        self.listed_servers.pop(server, None)
        self.pool_for_server(server).remove(server)

    @property
    def listed(self) -> Collection[int]:
        """The ids of the listed servers."""
        return self.listed_servers.keys()

    def server_start_times(self) -> dict[int, int]:
        """Return the start time of each listed server in microseconds, by server id."""
        return self.http1.server_start_times() | self.grpc.server_start_times()

    def begin(
        self, request: Request, server: int, timeout_us: int, observer: AttemptObserver
    ) -> Attempt | None:
        """Start an attempt that times out after `timeout_us`; returns None if the server is not listed."""
        is_grpc = self.speaks_grpc(server)
        pool: UpstreamPool = self.grpc if is_grpc else self.http1
        return pool.begin(
            request, server, timeout_us, ProtocolAttemptObserver(observer, self, is_grpc, request)
        )

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt."""
        self.pool_for_attempt(attempt).cancel(attempt)

    def end(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt whose streamed response cannot be used to its end."""
        self.pool_for_attempt(attempt).end(attempt, outcome)

    def cancel_unsent(self, attempt: Attempt) -> None:
        """End an attempt if none of it has been sent."""
        self.pool_for_attempt(attempt).cancel_unsent(attempt)

    def close_idle(self, server: int) -> None:
        """Close the connections to the previous incarnation of a server when they are idle."""
        self.pool_for_server(server).close_idle(server)

    def probe(self, server: int, on_result: Callable[[Outcome, int, LoadReport | None], None]) -> None:
        """Probe an HTTP/1.1 server for its load; gRPC servers are not probed."""
        if not self.speaks_grpc(server):
            self.http1.probe(server, on_result)

    def close(self) -> None:
        """Close all connections immediately."""
        self.http1.close()
        self.grpc.close()
