"""Selects the server of an attempt: eligible servers, this gateway's subset and weighted random selection."""

from __future__ import annotations

import math
from collections.abc import Iterable

from sagetrack.policy.circuit_breaker import State
from sagetrack.policy.endpoint_ring import Ring
from sagetrack.policy.events import ListedServer, ServerStatus, TrafficShift
from sagetrack.policy.policy_context import PolicyContext
from sagetrack.policy.settings import Effect, Scope
from sagetrack.policy.slow_start import SlowStart
from sagetrack.policy.state import Request, Server, rendezvous
from sagetrack.policy.subset_size import SubsetSize

# Factor on the weight of a key's home server, which then gets most of the key's requests but not all
HOME_SERVER_WEIGHT_FACTOR = 20.0

Weights = list[tuple[float, Server]]  # selection weights, all above 0


class ServerSelector:
    """Selects a server for each attempt, following the current traffic shift between protocols."""

    def __init__(
        self,
        policy_context: PolicyContext,
        ring: Ring[Server],
        slow_start: SlowStart,
        subset_size: SubsetSize,
    ) -> None:
        self._context = policy_context.event_context
        self._settings = policy_context.settings
        self._fleet = policy_context.fleet
        self._ring = ring
        self._latency = policy_context.latency
        self._slow_start = slow_start
        self._subset_size = subset_size
        self._traffic_shift = TrafficShift({}, {})

    def shift_traffic(self, shift: TrafficShift) -> None:
        """Apply new gRPC traffic shares of tenants and classes."""
        self._traffic_shift = shift

    def select(self, request: Request) -> Server | None:
        """Select a server by weighted random choice, or None if no server may take the request now."""
        weights, total = self._draw_weights(self._candidates(request), request)
        if self._settings.grpc_kinds:
            weights = self._by_protocol(request, weights)
            total = sum(weight for weight, _ in weights)
        if not weights:
            return None
        if self._settings.warm_keys and request.key is not None:
            total += _boost_home_server(request.key, weights)
        point = self._context.random.random() * total
        for weight, server in weights:
            point -= weight
            if point <= 0.0:
                return server
        return weights[-1][1]

    def any_eligible(self, class_index: int) -> bool:
        """Return whether any server is eligible for a class, regardless of its concurrency limit."""
        return any(self.is_eligible(server, class_index) for server in self._ring.ranked)

    def is_eligible(self, server: Server, class_index: int) -> bool:
        """Return whether a server is ready, does not stall, and its breakers allow a request of a class."""
        if server.entry.status is not ServerStatus.READY:
            return False
        now_us = self._context.now_us
        if server.breaker.state is not State.CLOSED:
            # A half-open trial may fail, so requests that cannot be retried are not used as trials.
            if self._settings.classes[class_index].effect is Effect.UNSAFE:
                return False
            if not server.breaker.allows_request(now_us):
                return False
        health = server.health_by_class.get(class_index)
        if health is not None and not health.breaker.allows_request(now_us):
            return False
        if not server.in_flight:
            return True
        oldest_us = next(iter(server.in_flight.values()))
        # If a single attempt may be lost in transit, a later success proves that the server responds.
        if self._settings.lossy and server.last_success_us > oldest_us:
            return True
        return now_us - oldest_us <= self._latency.stall_timeout_us

    def subset(self, class_index: int) -> list[Server]:
        """Return the servers that this gateway distributes requests over: the eligible ones of lowest rank.

        Using all servers would fill the connection tables, need a handshake for each request and leave few
        outcomes per server to judge it by. A server that stalls or whose breaker is open is replaced by the
        next in rank. A server that is warming up is not used as a replacement, because many gateways could
        choose it at the same time.
        """
        size, now_us = self._subset_size.size, self._context.now_us
        is_eligible = self.is_eligible
        subset: list[Server] = []
        for rank, server in enumerate(self._ring.ranked):
            if len(subset) >= size:
                break
            if (rank < size or now_us >= server.warm_at_us) and is_eligible(server, class_index):
                subset.append(server)
        return subset

    def _candidates(self, request: Request) -> list[Server]:
        if request.mirror_target >= 0:
            return [s for s in self._ring.ranked if self.is_eligible(s, request.class_index)]
        if request.attempts:
            return self._retry_candidates(request)
        return self.subset(request.class_index)

    def _retry_candidates(self, request: Request) -> list[Server]:
        """Return the servers that a retry may go to without the risk of running the request twice."""
        tried = [attempt.server for attempt in request.attempts]
        request_class = self._settings.classes[request.class_index]
        possibly_run = [attempt for attempt in request.attempts if attempt.may_have_run]
        servers = [s for s in self.subset(request.class_index) if s not in tried]
        if possibly_run and request_class.effect is Effect.UNSAFE:
            return []
        if possibly_run and request_class.effect is Effect.KEYED:
            now_us = self._context.now_us
            if now_us - possibly_run[0].sent_at_us >= request_class.window_us:
                return []
            in_scope = self._in_scope(request_class.scope, [attempt.server.entry for attempt in possibly_run])
            servers = [s for s in in_scope if s not in tried and self.is_eligible(s, request.class_index)]
            subset = self._ring.ranked[: math.ceil(self._subset_size.size)]
            share = self._slow_start.capacity_share
            servers = [s for s in servers if share(now_us, s) >= 1.0 or s in subset]
        return servers

    def _in_scope(self, scope: Scope, entries: list[ListedServer]) -> Iterable[Server]:
        """Return, by rank, the servers that deduplicate a request that may have run at all `entries`."""
        if scope is Scope.ALL:
            return self._ring.ranked
        scope_ids = {entry.zone if scope is Scope.ZONE else entry.group for entry in entries}
        return self._ring.within((scope, scope_ids.pop())) if len(scope_ids) == 1 else ()

    def _draw_weights(self, candidates: Iterable[Server], request: Request) -> tuple[Weights, float]:
        """Return the candidates with their selection weights, and the sum of the weights.

        The weight is the listed weight times the feedback controller's weights of the server and of the class
        at that server. It is reduced for servers in other zones, by attempts in flight and during warm-up.
        """
        max_in_flight = self._fleet.max_in_flight_per_server()
        class_index = request.class_index
        now_us = self._context.now_us
        weights: Weights = []
        total = 0.0
        for server in candidates:
            in_flight = len(server.in_flight)
            if in_flight >= max_in_flight:
                continue
            share = 1.0
            if now_us < server.warm_at_us:
                if not self._slow_start.has_budget(now_us, server, request):
                    continue
                share = self._slow_start.capacity_share(now_us, server)
            weight = server.entry.weight * server.feedback_weight * server.class_health(class_index).weight
            weight = weight * server.zone_factor * share / (1 + in_flight) ** 2
            if weight > 0.0:
                weights.append((weight, server))
                total += weight
        return weights, total

    def _by_protocol(self, request: Request, weights: Weights) -> Weights:
        """Return the weights adjusted for mirroring or the gRPC share of the request's tenant or class."""
        grpc = self._settings.grpc_kinds
        if request.mirror_target >= 0:
            wants_grpc = bool(request.mirror_target)
            return [(weight, s) for weight, s in weights if (s.entry.kind in grpc) == wants_grpc]
        shift = self._traffic_shift
        factors = shift.tenants.get(request.tenant) or shift.classes.get(request.class_index)
        if factors is None:
            return weights
        return [(weight * factors[s.entry.kind in grpc], s) for weight, s in weights]


def _boost_home_server(key: int, weights: Weights) -> float:
    """Raise the weight of the key's home server among the candidates in place; return the increase."""
    ranks = [rendezvous(key, s.entry.server, s.zone_factor) for _, s in weights]
    home = ranks.index(min(ranks))
    raised = weights[home][0] * (HOME_SERVER_WEIGHT_FACTOR - 1.0)
    weights[home] = (weights[home][0] + raised, weights[home][1])
    return raised
