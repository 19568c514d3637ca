"""Connection pools of the HTTP/1.1 upstream servers, with the requests and probes sent to them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from sagetrack.config.platform import DEFAULT_MEMORY_MB
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.interfaces import AttemptObserver
from sagetrack.core.memory_budget import MemoryBudget
from sagetrack.core.requests import Request
from sagetrack.core.responses import Response
from sagetrack.http1.attempt import Attempt
from sagetrack.http1.attempt_runner import AttemptRunner
from sagetrack.http1.idle_connections import IdleConnections, PoolCounts
from sagetrack.http1.requests import ForwardedRequest
from sagetrack.http1.response_outcome import load_report_of
from sagetrack.http1.upstream_connection import PooledServer
from sagetrack.http1.upstream_server import UpstreamServer
from sagetrack.policy.events import LoadReport, Outcome, ServerStatus
from sagetrack.policy.settings import LoadReporting, Settings

SWEEP_S = 1.0  # interval of checks for expired idle connections and stalled body transfers
PROBE_TIMEOUT_US = 250_000


class ConnectionPools:
    """One connection pool per upstream server; sends the requests of the gateway."""

    def __init__(
        self,
        settings: Settings,
        reclaim_descriptor: Callable[[], None] = lambda: None,
        memory_budget: MemoryBudget | None = None,
    ) -> None:
        """Create pools without servers.

        Args:
            settings: The settings of the load balancer.
            reclaim_descriptor: Frees a descriptor, if necessary, before a connection is opened.
            memory_budget: The memory budget of the process; by default one for the default memory limit.
        """
        self.settings = settings
        self.memory_budget = memory_budget or MemoryBudget(DEFAULT_MEMORY_MB)
        self.loop = asyncio.get_running_loop()
        self.servers: dict[int, PooledServer] = {}
        self.counts = PoolCounts()
        self.idle = IdleConnections(settings, self.counts)
        self.attempts = AttemptRunner(
            settings, self.idle, self.counts, reclaim_descriptor, self.memory_budget
        )
        self.sweep_timer = self.loop.call_later(SWEEP_S, self.sweep)

    # Servers

    @property
    def listed(self) -> Collection[int]:
        """The ids of the listed servers."""
        return self.servers.keys()

    @property
    def open_connections(self) -> int:
        """The number of connections that are open or connecting, to all servers."""
        return self.attempts.open_connections

    def server_start_times(self) -> dict[int, int]:
        """Return the start time of each listed server in microseconds, by server id."""
        return {number: upstream.started_us for number, upstream in self.servers.items()}

    def put(self, entry: Endpoint) -> None:
        """Add a server, or update its address, start time and drain state."""
        listed = entry.listed
        upstream = self.servers.get(listed.server)
        if upstream is None:
            upstream = UpstreamServer(listed.server, entry.name, entry.address, listed.started_us)
            self.servers[listed.server] = upstream
        if upstream.move_to((entry.address, listed.started_us)):
            # A host that crashed may not have closed the connections of its earlier incarnation. Requests
            # sent on them would end with a reset.
            self.idle.close_all(upstream)
        if listed.status is ServerStatus.READY:
            upstream.mark_serving()
        else:
            self.drain(upstream)

    def drain(self, upstream: PooledServer) -> None:
        """Send no new attempts to a server; attempts in flight continue."""
        upstream.mark_withdrawn()
        self.idle.close_all(upstream)

    def remove(self, id_: int) -> None:
        """Remove a server from the list; attempts in flight continue."""
        upstream = self.servers.pop(id_, None)
        if upstream is not None:
            self.drain(upstream)

    def close_idle(self, id_: int) -> None:
        """Close the idle connections to a server."""
        upstream = self.servers.get(id_)
        if upstream is not None:
            self.idle.close_all(upstream)

    # Attempts

    def begin(
        self, request: Request, server: int, timeout_us: int, observer: AttemptObserver
    ) -> Attempt | None:
        """Start an attempt that times out after `timeout_us`; returns None if the server is not listed."""
        upstream = self.servers.get(server)
        if upstream is None:
            return None
        message: ForwardedRequest = request.message

        def payload(remaining_us: int) -> bytes:
            return b"%sX-Budget-Ms: %d\r\n\r\n%s" % (message.head, max(1, remaining_us // 1000), message.body)

        def on_attempt_ended(attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
            observer.on_attempt_ended(attempt, outcome, response, load_report_of(response))

        attempt = Attempt(
            upstream,
            payload,
            timeout_us,
            on_attempt_ended,
            observer.may_begin,
            observer.on_first_byte,
            observer.on_request_sent,
            observer.on_response_started,
            streamed_body=request.streamed_body,
        )
        attempt.on_response_data = lambda data: observer.on_response_data(attempt, data)
        self.attempts.send(attempt)
        return attempt

    def probe(self, server: int, on_result: Callable[[Outcome, int, LoadReport | None], None]) -> None:
        """Send a probe to a server; `on_result` gets the outcome, the latency and the load report."""
        upstream = self.servers.get(server)
        if upstream is None:
            return

        def on_attempt_ended(attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
            on_result(outcome, attempt.latency_us, load_report_of(response))

        path = b"/health/live" if self.settings.reports is LoadReporting.NONE else b"/stats"
        address = f"{upstream.address[0]}:{upstream.address[1]}".encode()
        payload = b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (path, address)
        self.attempts.send(
            Attempt(upstream, lambda remaining_us: payload, PROBE_TIMEOUT_US, on_attempt_ended)
        )

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt and close its connection, which tells the server to stop."""
        self.attempts.cancel(attempt)

    def end(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt whose streamed response cannot be used to its end, and close its connection."""
        self.attempts.cancel(attempt, outcome)

    def cancel_unsent(self, attempt: Attempt) -> None:
        """Cancel an attempt if no byte of it has been sent."""
        self.attempts.cancel_unsent(attempt)

    # Maintenance

    def sweep(self) -> None:
        """Close expired idle connections, and end attempts with a stalled body transfer."""
        self.sweep_timer = self.loop.call_later(SWEEP_S, self.sweep)
        self.attempts.end_stalled()
        self.idle.close_expired(self.servers.values())

    def on_descriptor_needed(self, reclaim_descriptor: Callable[[], None]) -> None:
        """Set the callback that frees a descriptor, if necessary, before a connection is opened."""
        self.attempts.reclaim_descriptor = reclaim_descriptor

    def reclaim_idle(self) -> bool:
        """Close the longest idle connection to free a descriptor; return False if none is idle."""
        return self.idle.reclaim(self.servers.values())

    def close(self) -> None:
        """Close all idle connections, and stop the periodic maintenance."""
        self.sweep_timer.cancel()
        for upstream in self.servers.values():
            self.idle.close_all(upstream)
