"""Connection pools of gRPC upstream servers, and the attempts that are sent over them.

A connection multiplexes as many streams as the server's SETTINGS allow (RFC 9113, section 5.1.2), so a slow
response does not delay others. Another connection is opened only if all streams are in use.
"""

from __future__ import annotations

import asyncio
import ssl
from collections import deque
from collections.abc import Callable, Collection

from sagetrack.config.platform import Address
from sagetrack.core.clock import now_us
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.interfaces import AttemptObserver
from sagetrack.core.requests import Request
from sagetrack.core.upstream_server import UpstreamServerRecord
from sagetrack.grpc import outcomes
from sagetrack.grpc.errors import TranslationError
from sagetrack.grpc.http2_protocol import CONNECTION_BYTES
from sagetrack.grpc.messages import pack
from sagetrack.grpc.translate import request_to_grpc
from sagetrack.grpc.upstream_attempt import GrpcAttempt
from sagetrack.grpc.upstream_connection import GrpcUpstreamConnection, UpstreamCounts
from sagetrack.policy.events import LoadReport, Outcome
from sagetrack.policy.settings import Settings

MAX_CONNECTIONS_PER_SERVER = 4  # draining connections are not counted
SWEEP_INTERVAL_S = 0.5


class GrpcConnectionPool:
    """The connections to one server.

    Args:
        server: The server.
        counts: Counters that the connections increment.
        connect: Starts to establish a new connection to an address, without waiting for it.
    """

    def __init__(
        self,
        server: UpstreamServerRecord,
        counts: UpstreamCounts,
        connect: Callable[[GrpcUpstreamConnection, Address], None],
    ) -> None:
        self.server = server
        self.counts = counts
        self.connect = connect
        self.connections: list[GrpcUpstreamConnection] = []

    def connection_with_capacity(self) -> GrpcUpstreamConnection | None:
        """Return the connection with the most free streams, or a new one; None at the connection limit."""
        best = max(self.connections, key=lambda connection: connection.capacity, default=None)
        if best is not None and best.capacity > 0:
            return best
        if sum(not connection.draining for connection in self.connections) >= MAX_CONNECTIONS_PER_SERVER:
            return None
        connection = GrpcUpstreamConnection(self.counts, self.discard)
        self.connections.append(connection)
        self.counts.opened_connections += 1
        self.connect(connection, self.server.address)
        return connection

    def discard(self, connection: GrpcUpstreamConnection) -> None:
        """Remove a connection that has closed."""
        if connection in self.connections:
            self.connections.remove(connection)

    def drain(self) -> None:
        """Open no new streams on the existing connections; each closes when its streams have ended."""
        for connection in list(self.connections):
            connection.drain()

    def sweep(self, now: int) -> None:
        """Check the timeouts of the connections."""
        for connection in list(self.connections):
            connection.sweep(now)

    def close(self) -> None:
        """Close all connections immediately."""
        for connection in list(self.connections):
            connection.close(None)


class GrpcConnectionPools:
    """The connection pools of all listed gRPC servers.

    Every attempt ends with exactly one call of its observer's `on_attempt_ended`.

    Args:
        settings: The timeouts.
        tls_context: Returns the TLS context for a new connection, or None for a connection without TLS.
    """

    def __init__(
        self, settings: Settings, tls_context: Callable[[], ssl.SSLContext | None] = lambda: None
    ) -> None:
        self.settings = settings
        self.tls_context = tls_context
        self.loop = asyncio.get_running_loop()
        self.pools: dict[int, GrpcConnectionPool] = {}
        self.counts = UpstreamCounts()
        self.connecting: set[asyncio.Task[object]] = set()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    # Endpoint list

    @property
    def listed(self) -> Collection[int]:
        """The ids of the listed servers."""
        return self.pools.keys()

    @property
    def open_connections(self) -> int:
        """The number of connections that are open or connecting, to all servers."""
        return sum(len(pool.connections) for pool in self.pools.values())

    @property
    def held_bytes(self) -> int:
        """Estimated memory of all connections, and of the responses that they have buffered."""
        connections = [connection for pool in self.pools.values() for connection in pool.connections]
        return sum(CONNECTION_BYTES + connection.attempts.held_bytes for connection in connections)

    def server_start_times(self) -> dict[int, int]:
        """Return the start time of each listed server in microseconds, by server id."""
        return {server_id: pool.server.started_us for server_id, pool in self.pools.items()}

    def put(self, entry: Endpoint) -> None:
        """Add a server, or update its address, start time and status."""
        listed = entry.listed
        if listed.server not in self.pools:
            self.add_server(UpstreamServerRecord.from_endpoint(entry))
        server = self.pools[listed.server].server
        if not server.is_same_incarnation(entry):
            server.update_incarnation(entry)
            self.close_idle(server.id)
        server.update_status(listed.status)

    def add_server(self, server: UpstreamServerRecord) -> GrpcConnectionPool:
        """Create an empty pool for a server."""
        pool = self.pools[server.id] = GrpcConnectionPool(server, self.counts, self.start_connecting)
        return pool

    def remove(self, server: int) -> None:
        """Remove a server; requests that are in flight to it continue."""
        pool = self.pools.pop(server, None)
        if pool is not None:
            pool.server.mark_withdrawn()
            pool.drain()

    def close_idle(self, server: int) -> None:
        """Drain the connections to the previous incarnation of a server."""
        pool = self.pools.get(server)
        if pool is not None:
            pool.drain()

    def probe(self, server: int, on_result: Callable[[Outcome, int, LoadReport | None], None]) -> None:
        """Do nothing: gRPC servers are not probed."""

    # Attempts

    def begin(
        self, request: Request, server: int, timeout_us: int, observer: AttemptObserver
    ) -> GrpcAttempt | None:
        """Start an attempt that times out after `timeout_us`; returns None if the server is not listed."""
        pool = self.pools.get(server)
        if pool is None:
            return None
        now = now_us()
        attempt = self.create_attempt(request, pool.server, timeout_us, observer, now)
        if attempt is None:
            self.counts.untranslatable_requests += 1
            attempt = GrpcAttempt(pool.server, request, observer, now, timeout_us, [], deque())
            attempt.finish(Outcome.NOT_SENT)
            return attempt
        if not attempt.may_start():
            attempt.finish(Outcome.NOT_SENT)
            return attempt
        self.start_timeout(attempt, timeout_us)
        connection = pool.connection_with_capacity()
        if connection is None:
            attempt.finish(Outcome.NOT_SENT)
            return attempt
        connection.send(attempt)
        return attempt

    def create_attempt(
        self,
        request: Request,
        server: UpstreamServerRecord,
        timeout_us: int,
        observer: AttemptObserver,
        now: int,
    ) -> GrpcAttempt | None:
        """Create an attempt with the request translated to gRPC; None if it cannot be translated.

        The downstream side already rejects requests that cannot be translated, with the reason, so this is
        only reached if it did not check.
        """
        authority = f"{server.address[0]}:{server.address[1]}"
        length = request.streamed_body.length if request.streamed_body is not None else None
        try:
            headers, first_message = request_to_grpc(
                request.message.head, request.message.body, length, timeout_us, authority
            )
        except TranslationError:
            return None
        pending = deque([pack(first_message)])
        return GrpcAttempt(server, request, observer, now, timeout_us, headers, pending, last_progress_us=now)

    def start_timeout(self, attempt: GrpcAttempt, timeout_us: int) -> None:
        """Start the timeout when the last byte of the request has been received from the client."""

        def start() -> None:
            attempt.add_timer(self.loop.call_later(timeout_us / 1e6, self.on_timeout, attempt))

        streamed_body = attempt.request.streamed_body
        if streamed_body is None or streamed_body.is_complete:
            start()
        else:
            streamed_body.on_complete = start

    def on_timeout(self, attempt: GrpcAttempt) -> None:
        """End an attempt that has timed out, and reset its stream."""
        self.end(attempt, outcomes.of_deadline(attempt.headers_sent))

    def cancel(self, attempt: GrpcAttempt) -> None:
        """Cancel an attempt and reset its stream, so that the server can stop processing it."""
        self.end(attempt, Outcome.CANCELLED)

    def end(self, attempt: GrpcAttempt, outcome: Outcome) -> None:
        """End an attempt with this outcome and reset its stream."""
        if attempt.ended:
            return
        attempt.cancel_stream()
        attempt.finish(outcome)

    def cancel_unsent(self, attempt: GrpcAttempt) -> None:
        """End an attempt if none of it has been sent."""
        if not attempt.headers_sent:
            attempt.finish(Outcome.NOT_SENT)

    # Connections

    def start_connecting(self, connection: GrpcUpstreamConnection, address: Address) -> None:
        """Start a task that establishes a connection."""
        task: asyncio.Task[object] = self.loop.create_task(self.connect(connection, address))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    async def connect(self, connection: GrpcUpstreamConnection, address: Address) -> None:
        """Establish a connection within the connect timeout, or close it as failed."""
        tls_context = self.tls_context()
        server_hostname = address[0] if tls_context is not None else None
        try:
            async with asyncio.timeout(self.settings.connect_timeout_us / 1e6):
                await self.loop.create_connection(
                    lambda: connection, *address, ssl=tls_context, server_hostname=server_hostname
                )
        except (OSError, TimeoutError, ssl.SSLError):
            connection.close(None)

    def sweep(self) -> None:
        """Check the timeouts of all connections, and schedule the next check."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        now = now_us()
        for pool in list(self.pools.values()):
            pool.sweep(now)

    def metric_values(self) -> dict[str, float]:
        """Return the values of the exported metrics."""
        counts = self.counts
        connections = [connection for pool in self.pools.values() for connection in pool.connections]
        return {
            "new_servers": len(self.pools),
            "new_connections": len(connections),
            "new_streams": sum(connection.attempts.open_count for connection in connections),
            "new_opened_total": counts.opened_connections,
            "new_streams_total": counts.opened_streams,
            "new_streams_refused_total": counts.refused_streams,
            "new_resets_total": counts.reset_streams,
            "new_goaways_total": counts.goaways,
            "new_broken_total": counts.broken_connections,
            "new_untranslated_total": counts.untranslatable_requests,
        }

    def close(self) -> None:
        """Close all connections immediately, which ends the attempts in flight."""
        self.sweep_timer.cancel()
        for task in self.connecting:
            task.cancel()
        for pool in self.pools.values():
            pool.close()
