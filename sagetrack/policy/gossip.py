"""Gossip of server health: collects this gateway's observations and applies those of its peers."""

from __future__ import annotations

from sagetrack.policy.circuit_breaker import MAX_COOLDOWN_US, State
from sagetrack.policy.endpoint_ring import Ring
from sagetrack.policy.endpoints import Endpoints
from sagetrack.policy.events import ObservationsReceived
from sagetrack.policy.peer_observations import (
    CLOSED,
    HALF_OPEN,
    MAX_EJECTED_FRACTION,
    MAX_OBSERVATION_AGE_US,
    OPEN,
    Observation,
    ServerAdvice,
    merge_observations,
    weigh_observations,
)
from sagetrack.policy.policy_context import PolicyContext
from sagetrack.policy.slow_start import SlowStart
from sagetrack.policy.state import MAX_WEIGHT, MIN_WEIGHT, Server

OWN_OUTCOME_PRECEDENCE_US = 2_000_000  # peers' observations are ignored for this long after a local outcome
GOSSIP_STATES = {State.CLOSED: CLOSED, State.OPEN: OPEN, State.HALF_OPEN: HALF_OPEN}


class HealthGossip:
    """Merges peers' observations and applies them to servers without a recent outcome at this gateway."""

    def __init__(
        self,
        policy_context: PolicyContext,
        endpoints: Endpoints,
        ring: Ring[Server],
        slow_start: SlowStart,
    ) -> None:
        self._context = policy_context.event_context
        self._gateway = policy_context.settings.gateway_index
        self._endpoints = endpoints
        self._ranked = ring.ranked
        self._latency = policy_context.latency
        self._slow_start = slow_start
        self.received: dict[tuple[int, int], Observation] = {}  # observations by server id and gateway

    def own_observations(self) -> list[Observation]:
        """Return this gateway's own observations of servers."""
        observed = []
        now_us, stall_us = self._context.now_us, self._latency.stall_timeout_us
        for number, server in self._endpoints.servers.items():
            used_us = int(server.slow_start_used_us) if now_us < server.warm_at_us else 0
            if not server.last_outcome_us and not used_us:
                continue
            oldest_us = next(iter(server.in_flight.values())) if server.in_flight else now_us
            stalled = now_us - oldest_us > stall_us
            seen_us = server.last_outcome_us
            observed.append(
                Observation(
                    number,
                    server.entry.started_us,
                    self._gateway,
                    max(seen_us, oldest_us + int(stall_us)) if stalled else seen_us,
                    GOSSIP_STATES[server.breaker.state],
                    server.breaker.open_until_us,
                    server.weight,
                    stalled,
                    used_us,
                )
            )
        return observed

    def receive(self, event: ObservationsReceived) -> None:
        """Apply peers' observations to servers of which this gateway has no recent outcome.

        Older observations count less. Without gossip, a gateway that has just started would keep sending to a
        slow server until its own breaker has enough outcomes.
        """
        now_us = self._context.now_us
        ready = {s.entry.server: s.entry.started_us for s in self._ranked}
        merged = merge_observations(self.received.values(), event.observations)
        changed = {key[0] for key, observation in merged.items() if self.received.get(key) != observation}
        oldest_us = now_us - MAX_OBSERVATION_AGE_US
        listed = self._endpoints.servers
        self.received = {
            key: seen for key, seen in merged.items() if key[0] in listed and seen.seen_us > oldest_us
        }
        # If one observation of a server has changed, all observations of that server are weighed again.
        affected = [seen for seen in self.received.values() if seen.server in changed]
        ejected = sum(s.breaker.state is not State.CLOSED for s in self._ranked)
        self._restore_slow_start_usage(event)
        for advice in weigh_observations(
            affected, ready, now_us, max(0, int(MAX_EJECTED_FRACTION * len(ready)) - ejected)
        ):
            self._apply_advice(advice)
        self._latency.apply_peer_latencies(event.latencies)

    def _restore_slow_start_usage(self, event: ObservationsReceived) -> None:
        """Restore how much of the slow-start budgets this gateway had used before it was restarted."""
        for observation in event.observations:
            server = self._endpoints.servers.get(observation.server)
            if server is None or observation.by != self._gateway:
                continue
            if server.entry.started_us == observation.started_us:
                self._slow_start.restore_used(server, observation.slow_start_used_us)

    def _apply_advice(self, advice: ServerAdvice) -> None:
        server, now_us = self._endpoints.servers[advice.server], self._context.now_us
        if server.last_outcome_us and now_us - server.last_outcome_us < OWN_OUTCOME_PRECEDENCE_US:
            return
        advised_weight = min(MAX_WEIGHT, max(MIN_WEIGHT, advice.weight))
        server.weight += advice.confidence * (advised_weight - server.weight)
        if advice.open_us > 0 and server.breaker.state is State.CLOSED:
            server.breaker.open(now_us)
            server.breaker.open_until_us = now_us + min(advice.open_us, MAX_COOLDOWN_US)
            self._endpoints.breaker_changed(server)
