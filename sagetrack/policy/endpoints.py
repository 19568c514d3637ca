"""The endpoint list: which servers there are, since when, and which of them are ready."""

from __future__ import annotations

from sagetrack.policy.circuit_breaker import State
from sagetrack.policy.discovery_backoff import first_call_us, longest_pause_us
from sagetrack.policy.endpoint_ring import ExactSum, Ring, RingPosition
from sagetrack.policy.events import EndpointList, ListedServer, ListKind, ServerStatus
from sagetrack.policy.incarnations import Incarnations
from sagetrack.policy.policy_context import PolicyContext
from sagetrack.policy.settings import Scope
from sagetrack.policy.slow_start import SlowStart
from sagetrack.policy.state import MAX_WEIGHT, MIN_WEIGHT, Server, rendezvous

CROSS_ZONE_FACTOR = 80.0  # how hard the price of crossing zones lowers the weight of servers in other zones


class Endpoints:
    """Servers by number, kept up to date by endpoint lists."""

    def __init__(
        self,
        policy_context: PolicyContext,
        ring: Ring[Server],
        slow_start: SlowStart,
    ) -> None:
        self._context = policy_context.event_context
        self._settings = policy_context.settings
        self._ring = ring  # those that are ready
        self._slow_start = slow_start
        self._timers = policy_context.timers
        self.servers: dict[int, Server] = {}
        self.tripped: set[Server] = set()  # ready ones whose breaker is not closed
        self._incarnations = Incarnations()
        self._weights = ExactSum()  # the controller's, of all servers
        self._listed_at_us: int | None = None  # the last list that was heard; one on disk may be old
        self._failed_polls = 0

    @property
    def usable_count(self) -> int:
        """How many servers are ready with their breaker closed."""
        return len(self._ring.ranked) - len(self.tripped)

    def open_count(self) -> int:
        """How many listed servers get nothing, as their breaker is open."""
        return sum(server.breaker.state is State.OPEN for server in self.servers.values())

    def earliest_close_us(self) -> int | None:
        """When the first cooldown ends if the breakers of all servers are open, else None."""
        if not self.servers or any(s.breaker.state is not State.OPEN for s in self.servers.values()):
            return None
        return min(s.breaker.open_until_us for s in self.servers.values())

    def update(self, event: EndpointList) -> bool:
        """Take an endpoint list or a failed poll; False where servers are as before for a failed poll."""
        if event.kind is ListKind.ERROR:
            self._back_off()
            return False
        if event.kind is ListKind.DISK and not self._settings.endpoints_are_pushed:
            # Hundreds of gateways that start together must not poll together: most would be rejected.
            span_us = first_call_us(self._settings.max_poll_interval_us)
            wait_us = self._context.random.random() * span_us
            self._timers.set_for_endpoint_list(self._context.now_us + int(wait_us))
        else:
            self._failed_polls = 0
        changed: set[int] = set()
        if event.kind is not ListKind.DELTA:
            changed = self.servers.keys() - {entry.server for entry in event.servers}
            for number in changed:
                self._forget(self.servers.pop(number))
        first_use_us = self._slow_start.max_first_use_us()  # the same for all new servers of this list
        changed |= {entry.server for entry in event.servers if self._list(entry, event, first_use_us)}
        self._ring.change({number: self.ring_position(number) for number in changed})
        if event.kind is not ListKind.DISK:
            self._listed_at_us = self._context.now_us
        return True

    def breaker_changed(self, server: Server) -> None:
        """Keep `tripped` after a breaker's state or a server's entry may have changed."""
        listed = self.servers.get(server.entry.server) is server
        ready = listed and server.entry.status is ServerStatus.READY
        if ready and server.breaker.state is not State.CLOSED:
            self.tripped.add(server)
        else:
            self.tripped.discard(server)

    def ring_position(self, number: int) -> RingPosition[Server] | None:
        """Where a server belongs in the ring; None for one that is not ready."""
        server = self.servers.get(number)
        if server is None or server.entry.status is not ServerStatus.READY:
            return None
        scopes = (Scope.ZONE, server.entry.zone), (Scope.GROUP, server.entry.group)
        return RingPosition(server.rank, server, scopes)

    def _back_off(self) -> None:
        self._failed_polls += 1
        wait_us = float(longest_pause_us(self._failed_polls, self._settings.max_poll_interval_us))
        wait_us *= self._context.random.uniform(0.5, 1.0)  # jitter: gateways that failed together
        self._context.log("the endpoint list could not be read; polling again")
        self._timers.set_for_endpoint_list(self._context.now_us + int(wait_us))

    def _list(self, entry: ListedServer, event: EndpointList, first_use_us: float) -> bool:
        """Take one entry; False if nothing follows from it that was not so before."""
        known = self.servers.get(entry.server)
        if known is not None and known.entry == entry:
            return False
        if entry.status is ServerStatus.GONE:
            self._forget(self.servers.pop(entry.server, None))
        elif known is None or known.entry.started_us != entry.started_us:
            self._add(entry, known, event, first_use_us)
        else:
            known.entry, known.zone_factor = entry, self._zone_factor(entry)
            self.breaker_changed(known)
        return True

    def _add(
        self, entry: ListedServer, known: Server | None, event: EndpointList, first_use_us: float
    ) -> None:
        """Add a new incarnation in place of the known one; its weight begins with the mean of the others."""
        others = len(self.servers) - (known is not None)
        self._forget(known)
        mean = min(MAX_WEIGHT, max(MIN_WEIGHT, self._weights.total / others)) if others else MAX_WEIGHT
        warm_at_us = self._warm_at_us(entry, event) if entry.started_us else 0
        rank = rendezvous(0, entry.server, 1.0)
        server = Server(entry, 0.0, rank, self._zone_factor(entry), warm_at_us)
        context = self._context
        self._slow_start.start(server, context.now_us, context.random.random() * first_use_us)
        server.weights, server.weight = self._weights, mean
        self.servers[entry.server] = server

    def _warm_at_us(self, entry: ListedServer, event: EndpointList) -> int:
        """When a server is warm whose incarnation was not listed until now.

        A change that is pushed tells of what has just happened; a complete list may hold what was missed.
        """
        now_us = self._context.now_us
        staleness_us = event.staleness_us
        if staleness_us is None and event.kind is ListKind.DELTA and self._settings.endpoints_are_pushed:
            staleness_us = 0
        elif staleness_us is None and self._listed_at_us is not None:
            staleness_us = now_us - self._listed_at_us
        wall_us = event.wall_us or now_us
        began_us = self._incarnations.began_us(entry.server, entry.started_us, now_us, wall_us, staleness_us)
        return began_us + self._settings.warm_after_us

    def _zone_factor(self, entry: ListedServer) -> float:
        crosses = entry.zone != self._settings.zone
        return 1.0 / (1.0 + CROSS_ZONE_FACTOR * self._settings.prices.cross_zone * crosses)

    def _forget(self, server: Server | None) -> None:
        """Leave a server's weight out of the sum for good, even if an attempt in flight changes it."""
        if server is not None:
            self._weights.change(server.weight, 0.0)
            server.weights = None
            self.tripped.discard(server)
