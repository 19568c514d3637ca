"""The current set of servers, maintained from the endpoint lists of service discovery."""

from __future__ import annotations

from sagetrack.policy.circuit_breaker import State
from sagetrack.policy.discovery_backoff import max_first_poll_delay_us, max_poll_delay_us
from sagetrack.policy.endpoint_ring import ExactSum, Ring, RingPosition
from sagetrack.policy.events import EndpointList, ListedServer, ListKind, ServerStatus
from sagetrack.policy.incarnations import Incarnations
from sagetrack.policy.policy_context import PolicyContext
from sagetrack.policy.settings import Scope
from sagetrack.policy.slow_start import SlowStart
from sagetrack.policy.state import MAX_WEIGHT, MIN_WEIGHT, Server, rendezvous

CROSS_ZONE_FACTOR = 80.0  # servers in other zones have their weight divided by 1 + this * prices.cross_zone


class Endpoints:
    """Servers by id, updated from endpoint lists."""

    def __init__(
        self,
        policy_context: PolicyContext,
        ring: Ring[Server],
        slow_start: SlowStart,
    ) -> None:
        self._context = policy_context.event_context
        self._settings = policy_context.settings
        self._ring = ring  # the ready servers
        self._slow_start = slow_start
        self._timers = policy_context.timers
        self.servers: dict[int, Server] = {}
        self.tripped: set[Server] = set()  # ready servers whose breaker is not closed
        self._incarnations = Incarnations()
        self._weights = ExactSum()  # sum of the feedback controller's weights of all servers
        # Time of the last received list. A list from disk does not count, as it may be old.
        self._listed_at_us: int | None = None
        self._failed_polls = 0  # number of consecutive failed polls

    @property
    def usable_count(self) -> int:
        """The number of ready servers whose breaker is closed."""
        return len(self._ring.ranked) - len(self.tripped)

    def open_count(self) -> int:
        """Return the number of listed servers whose breaker is open."""
        return sum(server.breaker.state is State.OPEN for server in self.servers.values())

    def earliest_cooldown_end_us(self) -> int | None:
        """Return the end of the first cooldown if all breakers are open, else None."""
        if not self.servers or any(s.breaker.state is not State.OPEN for s in self.servers.values()):
            return None
        return min(s.breaker.open_until_us for s in self.servers.values())

    def update(self, event: EndpointList) -> bool:
        """Apply an endpoint list. If the event is a failed poll, schedule the next one and return False."""
        if event.kind is ListKind.ERROR:
            self._back_off()
            return False
        if event.kind is ListKind.DISK and not self._settings.endpoints_are_pushed:
            # The delay is random: if hundreds of gateways that start together also polled together, service
            # discovery would reject most of the polls.
            span_us = max_first_poll_delay_us(self._settings.max_poll_interval_us)
            wait_us = self._context.random.random() * span_us
            self._timers.set_for_endpoint_list(self._context.now_us + int(wait_us))
        else:
            self._failed_polls = 0
        changed: set[int] = set()
        if event.kind is not ListKind.DELTA:
            changed = self.servers.keys() - {entry.server for entry in event.servers}
            for number in changed:
                self._detach(self.servers.pop(number))
        first_use_us = self._slow_start.max_initial_use_us()  # the same for all new servers of this list
        changed |= {entry.server for entry in event.servers if self._apply_entry(entry, event, first_use_us)}
        self._ring.change({number: self.ring_position(number) for number in changed})
        if event.kind is not ListKind.DISK:
            self._listed_at_us = self._context.now_us
        return True

    def breaker_changed(self, server: Server) -> None:
        """Update `tripped` after the breaker state or the list entry of a server may have changed."""
        listed = self.servers.get(server.entry.server) is server
        ready = listed and server.entry.status is ServerStatus.READY
        if ready and server.breaker.state is not State.CLOSED:
            self.tripped.add(server)
        else:
            self.tripped.discard(server)

    def ring_position(self, number: int) -> RingPosition[Server] | None:
        """Return the position of a server in the ring, or None if the server is not ready."""
        server = self.servers.get(number)
        if server is None or server.entry.status is not ServerStatus.READY:
            return None
        scopes = (Scope.ZONE, server.entry.zone), (Scope.GROUP, server.entry.group)
        return RingPosition(server.rank, server, scopes)

    def _back_off(self) -> None:
        self._failed_polls += 1
        wait_us = float(max_poll_delay_us(self._failed_polls, self._settings.max_poll_interval_us))
        wait_us *= self._context.random.uniform(0.5, 1.0)  # jitter, as many gateways fail at the same time
        self._context.log("endpoint list poll failed; polling again after a backoff")
        self._timers.set_for_endpoint_list(self._context.now_us + int(wait_us))

    def _apply_entry(self, entry: ListedServer, event: EndpointList, first_use_us: float) -> bool:
        """Apply one list entry; False if it changes nothing."""
        known = self.servers.get(entry.server)
        if known is not None and known.entry == entry:
            return False
        if entry.status is ServerStatus.GONE:
            self._detach(self.servers.pop(entry.server, None))
        elif known is None or known.entry.started_us != entry.started_us:
            self._add(entry, known, event, first_use_us)
        else:
            known.entry, known.zone_factor = entry, self._zone_factor(entry)
            self.breaker_changed(known)
        return True

    def _add(
        self, entry: ListedServer, known: Server | None, event: EndpointList, first_use_us: float
    ) -> None:
        """Add a new incarnation in place of the known one, with the mean weight of the other servers."""
        others = len(self.servers) - (known is not None)
        self._detach(known)
        mean = min(MAX_WEIGHT, max(MIN_WEIGHT, self._weights.total / others)) if others else MAX_WEIGHT
        warm_at_us = self._warm_at_us(entry, event) if entry.started_us else 0
        rank = rendezvous(0, entry.server, 1.0)
        server = Server(entry, 0.0, rank, self._zone_factor(entry), warm_at_us)
        context = self._context
        self._slow_start.start(server, context.now_us, context.random.random() * first_use_us)
        server.weights, server.weight = self._weights, mean
        self.servers[entry.server] = server

    def _warm_at_us(self, entry: ListedServer, event: EndpointList) -> int:
        """Return the end of the warm-up of a newly listed incarnation.

        Its age is limited by the time since the list was last known to be current. That time is 0 for a
        pushed change, which reports what has just happened; a full list may contain changes that were missed.
        """
        now_us = self._context.now_us
        staleness_us = event.staleness_us
        if staleness_us is None and event.kind is ListKind.DELTA and self._settings.endpoints_are_pushed:
            staleness_us = 0
        elif staleness_us is None and self._listed_at_us is not None:
            staleness_us = now_us - self._listed_at_us
        wall_us = event.wall_us or now_us
        started_at_us = self._incarnations.started_at_us(
            entry.server, entry.started_us, now_us, wall_us, staleness_us
        )
        return started_at_us + self._settings.warm_after_us

    def _zone_factor(self, entry: ListedServer) -> float:
        crosses = entry.zone != self._settings.zone
        return 1.0 / (1.0 + CROSS_ZONE_FACTOR * self._settings.prices.cross_zone * crosses)

    def _detach(self, server: Server | None) -> None:
        """Remove a server's weight from the sum, even if an attempt in flight changes that weight later."""
        if server is not None:
            self._weights.change(server.weight, 0.0)
            server.weights = None
            self.tripped.discard(server)
