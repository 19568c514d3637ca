"""Routes each attempt to the pools of its server's protocol, and shifts traffic between the protocols."""

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

WeightFactors = dict[int, tuple[float, float]]
"""Factors of the weights of HTTP/1.1 and of gRPC servers, by number of a class or a tenant."""

FAILURES = frozenset({Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED})


class ProtocolAttemptObserver:
    """Observes one attempt ahead of its own observer, and records how its protocol fares."""

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
        """Whether anything may be sent now to the server in this state."""
        return self.observer.may_begin(server)

    def on_first_byte(self) -> None:
        """The first byte of the request goes out."""
        self.observer.on_first_byte()

    def on_request_sent(self) -> None:
        """The last byte of the request went out."""
        self.observer.on_request_sent()

    def on_response_started(self, attempt: Attempt, head: AnyResponse, source: ResponseSource) -> None:
        """The response is streamed."""
        self.streaming = True
        self.observer.on_response_started(attempt, head, source)

    def on_response_data(self, attempt: Attempt, data: bytes) -> None:
        """Part of a streamed response."""
        self.observer.on_response_data(attempt, data)

    def on_attempt_ended(
        self, attempt: Attempt, outcome: Outcome, answer: AnyResponse | None, load: LoadReport | None
    ) -> None:
        """The attempt has ended; a complete response is offered to the mirror after the client has it."""
        self.router.record_outcome(self.is_grpc, outcome)
        self.observer.on_attempt_ended(attempt, outcome, answer, load)
        if outcome is Outcome.OK and not self.streaming and self.router.on_response is not None:
            self.router.on_response(self.request, self.is_grpc, answer)


class ProtocolRouter:
    """Upstream servers of both protocols, told apart by the kind that discovery lists.

    Args:
        http1: Pools to HTTP/1.1 servers.
        grpc: Pools to gRPC servers.
        grpc_kinds: Kinds of the gRPC servers.
        migration: Decides on the share of gRPC.
        on_fallback: Called when gRPC fails so often that its share falls to nothing.
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
        self.endpoints: dict[int, Endpoint] = {}  # with the weights that are listed
        self.factors = (1.0, 1.0)
        self.exceptions: tuple[WeightFactors, WeightFactors] = {}, {}  # by class and by tenant
        self.on_exceptions: Callable[[WeightFactors, WeightFactors], None] | None = None
        self.on_response: Callable[[Request, bool, AnyResponse], None] | None = None
        """Called with each complete response, and whether it is a gRPC server's."""
        self.numbers: dict[int, None] = {}  # of all servers: read at each attempt

    # Weights

    def on_list(self, kind: ListKind, entries: list[Endpoint]) -> list[Endpoint]:
        """Take over a change of the endpoint list.

        Returns:
            The entries, with their weights scaled so that gRPC has its share of the requests.
        """
        if kind is not ListKind.ERROR and kind is not ListKind.DELTA:
            self.endpoints.clear()
        for entry in entries:
            if entry.listed.status is ServerStatus.GONE:
                self.endpoints.pop(entry.listed.server, None)
            else:
                self.endpoints[entry.listed.server] = entry
        return [self.scaled(entry) for entry in entries]

    def scaled(self, entry: Endpoint) -> Endpoint:
        """An endpoint with its weight scaled for its protocol."""
        factor = self.factors[entry.listed.kind in self.grpc_kinds]
        listed = replace(entry.listed, weight=entry.listed.weight * factor)
        return Endpoint(entry.name, entry.address, listed)

    def update_weights(self) -> list[Endpoint]:
        """Recompute the factors; all endpoints with their new weights if these have changed, else none."""
        sums = [0.0, 0.0]
        for entry in self.endpoints.values():
            if entry.listed.status is ServerStatus.READY:
                sums[entry.listed.kind in self.grpc_kinds] += entry.listed.weight
        now = now_us()
        exceptions = self.migration.override_factors(now, *sums)
        if exceptions != self.exceptions:
            self.exceptions = exceptions
            if self.on_exceptions is not None:
                self.on_exceptions(*exceptions)
        factors = self.migration.weight_factors(now, *sums)
        if factors == self.factors:
            return []
        self.factors = factors
        return [self.scaled(entry) for entry in self.endpoints.values()]

    def set_shares(
        self,
        target_share: float | None,
        class_shares: dict[int, float],
        tenant_shares: dict[int, float],
    ) -> bool:
        """Change the share of gRPC in the traffic; False if it is as it was.

        Args:
            target_share: Of all requests, from 0 to 1; None: as the listed weights have it.
            class_shares: Other shares, by number of a class.
            tenant_shares: Other shares, by number of a tenant.
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
        """Count an outcome that says how a protocol fares; the others say nothing of it."""
        significant = outcome is Outcome.OK or outcome in FAILURES
        if significant and self.migration.record(is_grpc, outcome is not Outcome.OK, now_us()):
            self.on_fallback()

    # As the pool of all servers

    def speaks_grpc(self, server: int) -> bool:
        """Whether a server is listed as a gRPC server."""
        return server in self.grpc.pools

    def pool_of(self, server: int) -> UpstreamPool:
        """The pools of the protocol that a server speaks."""
        return self.grpc if self.speaks_grpc(server) else self.http1

    def pool_of_attempt(self, attempt: Attempt) -> UpstreamPool:
        """The pools that carry an attempt."""
        return self.grpc if isinstance(attempt, GrpcAttempt) else self.http1

    def put(self, entry: Endpoint) -> None:
        """Add or update a server; one that changes its protocol moves to the other pools."""
        number = entry.listed.server
        self.numbers[number] = None
        if entry.listed.kind in self.grpc_kinds:
            if number in self.http1.listed:
                self.http1.remove(number)
            self.grpc.put(entry)
        else:
            if number in self.grpc.listed:
                self.grpc.remove(number)
            self.http1.put(entry)

    def remove(self, server: int) -> None:
        """Drop a server."""
        self.numbers.pop(server, None)
        self.pool_of(server).remove(server)

    @property
    def listed(self) -> Collection[int]:
        """Numbers of the listed servers."""
        return self.numbers.keys()

    def server_start_times(self) -> dict[int, int]:
        """When each listed server started."""
        return self.http1.server_start_times() | self.grpc.server_start_times()

    def begin(self, request: Request, server: int, wait_us: int, observer: AttemptObserver) -> Attempt | None:
        """Send a request to a server and wait `wait_us` for its response; None if it is not listed."""
        is_grpc = self.speaks_grpc(server)
        pool: UpstreamPool = self.grpc if is_grpc else self.http1
        return pool.begin(request, server, wait_us, ProtocolAttemptObserver(observer, self, is_grpc, request))

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for a response."""
        self.pool_of_attempt(attempt).cancel(attempt)

    def cancel_unsent(self, attempt: Attempt) -> None:
        """End an attempt if nothing of it has been sent."""
        self.pool_of_attempt(attempt).cancel_unsent(attempt)

    def close_idle(self, server: int) -> None:
        """Close connections to a server's earlier incarnation, as they become idle."""
        self.pool_of(server).close_idle(server)

    def probe(self, server: int, on_result: Callable[[Outcome, int, LoadReport | None], None]) -> None:
        """Ask an HTTP/1.1 server for its load; gRPC servers are not probed."""
        if not self.speaks_grpc(server):
            self.http1.probe(server, on_result)

    def close(self) -> None:
        """Close all connections."""
        self.http1.close()
        self.grpc.close()
