"""Connection pools to gRPC upstream servers, and the attempts that are sent over them.

A connection carries as many streams as its server's SETTINGS allow (RFC 9113, 5.1.2), so a slow response
holds up no other; further connections are opened only where all streams are taken.
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
from sagetrack.grpc.messages import pack
from sagetrack.grpc.translate import request_to_grpc
from sagetrack.grpc.upstream_attempt import GrpcAttempt
from sagetrack.grpc.upstream_connection import GrpcUpstreamConnection, UpstreamCounts
from sagetrack.policy.events import LoadReport, Outcome
from sagetrack.policy.settings import Settings

MAX_CONNECTIONS_PER_SERVER = 4  # those that drain do not count
SWEEP_INTERVAL_S = 0.5


class GrpcConnectionPool:
    """The connections to one server.

    Args:
        server: The server.
        counts: Where events of its connections are counted.
        connect: Starts to connect a new connection to an address.
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
        """The connection with the most free streams, or a new one; None if every allowed stream is taken."""
        best = max(self.connections, key=lambda connection: connection.capacity, default=None)
        if best is not None and best.capacity > 0:
            return best
        if sum(not connection.draining for connection in self.connections) >= MAX_CONNECTIONS_PER_SERVER:
            return None
        connection = GrpcUpstreamConnection(self.counts, self.discard)
        self.connections.append(connection)
        self.counts.opened += 1
        self.connect(connection, self.server.address)
        return connection

    def discard(self, connection: GrpcUpstreamConnection) -> None:
        """Drop a connection that has closed."""
        if connection in self.connections:
            self.connections.remove(connection)

    def drain(self) -> None:
        """Open no stream on today's connections; close each once its streams have ended."""
        for connection in list(self.connections):
            connection.drain()

    def sweep(self, now: int) -> None:
        """Check the timeouts of each connection."""
        for connection in list(self.connections):
            connection.sweep(now)

    def close(self) -> None:
        """Close all connections at once."""
        for connection in list(self.connections):
            connection.fail(None)


class GrpcConnectionPools:
    """The gRPC servers of the endpoint list. Every attempt ends once, by its observer's `on_attempt_ended`.

    Args:
        settings: Timeouts of the platform.
        tls_context: Gives the TLS context for a new connection, None for plain text.
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
        """Numbers of the listed servers."""
        return self.pools.keys()

    def server_start_times(self) -> dict[int, int]:
        """When each listed server started."""
        return {number: pool.server.started_us for number, pool in self.pools.items()}

    def put(self, entry: Endpoint) -> None:
        """Add a server, or take over its new address, start time or status."""
        listed = entry.listed
        if listed.server not in self.pools:
            self.add_server(UpstreamServerRecord.from_endpoint(entry))
        server = self.pools[listed.server].server
        if not server.is_same_incarnation(entry):
            server.update_incarnation(entry)
            self.close_idle(server.id)
        server.update_status(listed.status)

    def add_server(self, server: UpstreamServerRecord) -> GrpcConnectionPool:
        """Make an empty pool for a server."""
        pool = self.pools[server.id] = GrpcConnectionPool(server, self.counts, self.start_connect)
        return pool

    def remove(self, server: int) -> None:
        """Drop a server; requests in flight there end as they would."""
        pool = self.pools.pop(server, None)
        if pool is not None:
            pool.server.mark_withdrawn()
            pool.drain()

    def close_idle(self, server: int) -> None:
        """Drain the connections to a server's earlier incarnation."""
        pool = self.pools.get(server)
        if pool is not None:
            pool.drain()

    def probe(self, server: int, on_result: Callable[[Outcome, int, LoadReport | None], None]) -> None:
        """Do nothing: gRPC servers are never probed."""

    # Attempts

    def begin(
        self, request: Request, server: int, wait_us: int, observer: AttemptObserver
    ) -> GrpcAttempt | None:
        """Send a request to a server and wait `wait_us` for its response; None if it is not listed."""
        pool = self.pools.get(server)
        if pool is None:
            return None
        now = now_us()
        attempt = self.prepare(request, pool.server, wait_us, observer, now)
        if attempt is None:
            self.counts.untranslated += 1
            attempt = GrpcAttempt(pool.server, request, observer, now, wait_us, [], deque())
            attempt.finish(Outcome.NOT_SENT)
            return attempt
        if not attempt.may_start():
            attempt.finish(Outcome.NOT_SENT)
            return attempt
        self.start_timeout(attempt, wait_us)
        connection = pool.connection_with_capacity()
        if connection is None:
            attempt.finish(Outcome.NOT_SENT)
            return attempt
        connection.send(attempt)
        return attempt

    def prepare(
        self,
        request: Request,
        server: UpstreamServerRecord,
        wait_us: int,
        observer: AttemptObserver,
        now: int,
    ) -> GrpcAttempt | None:
        """Translate a request; None if it has no counterpart in gRPC.

        Downstream rejects such a request with the reason; this is for what is not known there.
        """
        authority = f"{server.address[0]}:{server.address[1]}"
        length = request.streamed_body.length if request.streamed_body is not None else None
        try:
            headers, first = request_to_grpc(
                request.message.head, request.message.body, length, wait_us, authority
            )
        except TranslationError:
            return None
        pending = deque([pack(first)])
        return GrpcAttempt(server, request, observer, now, wait_us, headers, pending, last_progress_us=now)

    def start_timeout(self, attempt: GrpcAttempt, wait_us: int) -> None:
        """Let the timeout run from the request's last byte."""

        def start() -> None:
            attempt.add_timer(self.loop.call_later(wait_us / 1e6, self.on_timeout, attempt))

        streamed_body = attempt.request.streamed_body
        if streamed_body is None or streamed_body.is_complete:
            start()
        else:
            streamed_body.on_complete = start

    def on_timeout(self, attempt: GrpcAttempt) -> None:
        """End an attempt whose response did not come in time."""
        attempt.cancel_stream()
        attempt.finish(outcomes.of_deadline(attempt.headers_sent))

    def cancel(self, attempt: GrpcAttempt) -> None:
        """Stop waiting; the stream is reset, so that the server can stop too."""
        if attempt.ended:
            return
        attempt.cancel_stream()
        attempt.finish(Outcome.CANCELLED)

    def cancel_unsent(self, attempt: GrpcAttempt) -> None:
        """End an attempt if nothing of it has been sent."""
        if not attempt.headers_sent:
            attempt.finish(Outcome.NOT_SENT)

    # Connections

    def start_connect(self, connection: GrpcUpstreamConnection, address: Address) -> None:
        """Connect in a task of its own."""
        task: asyncio.Task[object] = self.loop.create_task(self.connect(connection, address))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    async def connect(self, connection: GrpcUpstreamConnection, address: Address) -> None:
        """Connect within the connect timeout, or fail the connection."""
        context = self.tls_context()
        name = address[0] if context is not None else None
        try:
            async with asyncio.timeout(self.settings.connect_timeout_us / 1e6):
                await self.loop.create_connection(
                    lambda: connection, *address, ssl=context, server_hostname=name
                )
        except (OSError, TimeoutError, ssl.SSLError):
            connection.fail(None)

    def sweep(self) -> None:
        """Check the timeouts of each connection, periodically."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        now = now_us()
        for pool in list(self.pools.values()):
            pool.sweep(now)

    def metric_values(self) -> dict[str, float]:
        """Values for the exported metrics."""
        counts = self.counts
        connections = [connection for pool in self.pools.values() for connection in pool.connections]
        return {
            "new_servers": len(self.pools),
            "new_connections": len(connections),
            "new_streams": sum(connection.attempts.open_count for connection in connections),
            "new_opened_total": counts.opened,
            "new_streams_total": counts.streams,
            "new_streams_refused_total": counts.refused_streams,
            "new_resets_total": counts.resets,
            "new_goaways_total": counts.goaways,
            "new_broken_total": counts.broken,
            "new_untranslated_total": counts.untranslated,
        }

    def close(self) -> None:
        """Close all connections at once; requests in flight end as their connections do."""
        self.sweep_timer.cancel()
        for task in self.connecting:
            task.cancel()
        for pool in self.pools.values():
            pool.close()
