"""Runs attempts at upstream servers: assigns connections, sends requests and reports outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sagetrack.core.bodies import BODY_STALL_TIMEOUT_S
from sagetrack.core.clock import now_us
from sagetrack.core.memory_budget import MemoryBudget
from sagetrack.core.responses import Response
from sagetrack.http1.attempt import Attempt
from sagetrack.http1.codec import READ_SIZE
from sagetrack.http1.idle_connections import IdleConnections, PoolCounts
from sagetrack.http1.response_outcome import outcome_of
from sagetrack.http1.upstream_connection import UpstreamConnection
from sagetrack.http1.upstream_server import Incarnation
from sagetrack.policy.events import Outcome
from sagetrack.policy.settings import Settings


class AttemptRunner:
    """Runs attempts; calls `on_attempt_ended` exactly once for each attempt that is started."""

    def __init__(
        self,
        settings: Settings,
        idle: IdleConnections,
        counts: PoolCounts,
        reclaim_descriptor: Callable[[], None],
        memory_budget: MemoryBudget,
    ) -> None:
        self.settings = settings
        self.idle = idle
        self.counts = counts
        self.memory_budget = memory_budget
        self.loop = asyncio.get_running_loop()
        self.reclaim_descriptor = reclaim_descriptor  # frees a descriptor before a connection is opened
        self.connections: set[UpstreamConnection] = set()  # open or connecting, to all servers
        # The read buffer of all connections; its content is copied after each read.
        self.buffer = memoryview(bytearray(READ_SIZE))
        self.transferring: set[Attempt] = set()  # attempts with a streamed request body

    @property
    def open_connections(self) -> int:
        """The number of connections that are open or connecting, to all servers."""
        return len(self.connections)

    # Sending

    def send(self, attempt: Attempt) -> None:
        """Start an attempt on an idle connection, or on a new one if none is available."""
        attempt.sent_us = now_us()
        streamed_body = attempt.streamed_body
        if streamed_body is None or streamed_body.arrived_us:
            self.start_timeout(attempt)
        if streamed_body is not None:
            streamed_body.on_arrived = lambda: self.start_timeout(attempt)
            streamed_body.on_not_arrived = attempt.stop_timeout
            attempt.record_progress()
            self.transferring.add(attempt)
        self.assign(attempt)

    def start_timeout(self, attempt: Attempt) -> None:
        """Start the timeout of an attempt, which runs from the last byte of the request."""
        attempt.timeout_timer = self.loop.call_later(attempt.timeout_us / 1e6, self.on_timeout, attempt)

    def assign(self, attempt: Attempt) -> None:
        """Assign a connection to an attempt: an idle one, one that may be reused soon, or a new one."""
        upstream = attempt.upstream
        if not self.may_send(attempt, upstream.incarnation):
            self.end(attempt, Outcome.NOT_SENT)
            return
        while (connection := self.idle.take(upstream)) is not None:
            if connection.send(attempt):
                self.counts.reused += 1
                return
            # The write failed: nothing has reached the server, so the attempt may use another connection.
            self.counts.stale += 1
        reusable_soon = self.idle.take_next_reusable(upstream)
        if reusable_soon is not None:
            self.wait_for(reusable_soon, attempt)
        else:
            self.open_connection(attempt)

    def open_connection(self, attempt: Attempt) -> None:
        """Open a connection for an attempt, within the connect timeout."""
        upstream = attempt.upstream
        self.reclaim_descriptor()
        connect_us = self.settings.connect_timeout_us
        attempt.timers.append(self.loop.call_later(connect_us / 1e6, self.on_connect_timeout, attempt))
        connection = UpstreamConnection(self, upstream, attempt)
        attempt.connection = connection
        self.connections.add(connection)
        upstream.on_connection_opening()
        self.counts.opened += 1
        connect_task: asyncio.Task[object] = self.loop.create_task(
            self.loop.create_connection(lambda: connection, *upstream.address)
        )
        attempt.connect_task = connect_task
        connect_task.add_done_callback(lambda task: self.on_connect_finished(task, connection))

    def may_send(self, attempt: Attempt, incarnation: Incarnation) -> bool:
        """Return whether the first byte of an attempt may be sent to this incarnation of the server.

        Nothing is sent from the moment that this gateway learns that a server is draining or gone. The grace
        period does not postpone that: it may have started before the notice reached this gateway.
        """
        return attempt.may_send(attempt.upstream.state(incarnation))

    def wait_for(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Make an attempt wait until a connection may be reused."""
        connection.await_reuse(attempt)
        wait_s = self.idle.reusable_in_s(connection)
        attempt.timers.append(self.loop.call_later(wait_s, self.on_reusable, connection))

    def on_reusable(self, connection: UpstreamConnection) -> None:
        """Send the attempt that has waited until this connection may be reused."""
        attempt = connection.take_waiting()
        if attempt is None:
            return
        if not self.may_send(attempt, connection.incarnation):
            connection.close()
            self.end(attempt, Outcome.NOT_SENT)
        elif connection.is_usable() and connection.send(attempt):
            self.counts.reused += 1
        else:
            self.counts.stale += 1
            connection.close()
            self.assign(attempt)

    # Ending

    def cancel(self, attempt: Attempt, outcome: Outcome = Outcome.CANCELLED) -> None:
        """End an attempt and close its connection, so that the server can stop working on it."""
        if attempt.ended:
            return
        connection = attempt.connection
        connect_task = attempt.connect_task
        self.end(attempt, outcome)
        if connect_task is not None and not connect_task.done():
            connect_task.cancel()
        if connection is not None:
            connection.abandon()

    def cancel_unsent(self, attempt: Attempt) -> None:
        """Cancel an attempt if no byte of it has been sent."""
        if attempt.connection is None or not attempt.connection.has_sent:
            self.cancel(attempt, Outcome.NOT_SENT)

    def end(self, attempt: Attempt, outcome: Outcome, response: Response | None = None) -> None:
        """End an attempt with this outcome, unless it has already ended."""
        if attempt.ended:
            return
        if attempt.is_streaming:
            self.memory_budget.active_bodies -= 1
        attempt.finish()
        self.transferring.discard(attempt)
        if outcome is Outcome.CONNECT_FAILED:
            self.counts.failed += 1
        attempt.on_attempt_ended(attempt, outcome, response)

    def end_stalled(self) -> None:
        """End attempts of whose request body the server has taken nothing for `BODY_STALL_TIMEOUT_S`."""
        stall_cutoff_us = now_us() - int(BODY_STALL_TIMEOUT_S * 1e6)
        for attempt in list(self.transferring):
            connection = attempt.connection
            if connection is None or attempt.last_progress_us >= stall_cutoff_us:
                continue
            if not connection.is_flushed:
                self.on_timeout(attempt)

    def on_timeout(self, attempt: Attempt) -> None:
        """End an attempt that has timed out."""
        # A request that was not completely written cannot have been executed.
        self.cancel(attempt, Outcome.TIMEOUT if attempt.written else Outcome.CONNECT_FAILED)

    def on_connect_timeout(self, attempt: Attempt) -> None:
        """End an attempt whose connection was not established within the connect timeout."""
        if attempt.connection is not None and not attempt.connection.is_up:
            self.cancel(attempt, Outcome.CONNECT_FAILED)

    # Events of connections

    def on_connected(self, connection: UpstreamConnection) -> None:
        """Send the attempt for which this connection was opened."""
        attempt = connection.attempt
        if attempt is None or attempt.ended:
            # The attempt was cancelled in the event loop iteration in which the connection was established.
            connection.abandon()
            return
        if not self.may_send(attempt, connection.incarnation):
            connection.abandon()
            self.end(attempt, Outcome.NOT_SENT)
        elif not connection.send(attempt):
            self.end(attempt, Outcome.CONNECT_FAILED)

    def on_connect_finished(self, connect_task: asyncio.Task[object], connection: UpstreamConnection) -> None:
        """Remove a connection that failed, or that was cancelled just as it was established.

        In the latter case connection_lost may not be called, and the connection would be counted as open
        forever.
        """
        if connect_task.cancelled() or connect_task.exception() is not None:
            self.on_lost(connection)

    def on_response(self, connection: UpstreamConnection, response: Response) -> None:
        """End the attempt of a complete response, and keep the connection for reuse if possible."""
        attempt = connection.attempt
        connection.attempt = None
        if attempt is None:
            connection.close()
            return
        outcome = outcome_of(response)
        if outcome is Outcome.OK and not attempt.written:
            outcome = Outcome.ERROR  # a response that precedes the end of its request is not a success
        connection.last_response_us = now_us() - attempt.sent_us
        if response.keep_alive and attempt.written and connection.is_flushed:
            connection.resume()
            self.idle.keep(connection)
        else:
            connection.close()
        self.end(attempt, outcome, response)

    def on_stream_started(self, attempt: Attempt) -> None:
        """Handle the start of a streamed response, whose time the gateway limits from now on."""
        attempt.start_streaming()
        self.memory_budget.active_bodies += 1

    def on_protocol_error(self, connection: UpstreamConnection) -> None:
        """Close a connection on which the server sent an invalid response, and end its attempt."""
        attempt = connection.take_attempt()
        connection.close()
        if attempt is not None:
            self.end(attempt, Outcome.ERROR)

    def on_lost(self, connection: UpstreamConnection) -> None:
        """End the attempt on a connection that has ended, and reassign an attempt that waited for it."""
        if connection in self.connections:
            self.connections.remove(connection)
            connection.upstream.on_connection_ended()
        attempt = connection.take_attempt()
        waiting = connection.take_waiting()
        if waiting is not None:
            self.assign(waiting)
        self.idle.discard(connection)
        connection.cancel_stream_timer()
        if attempt is not None:
            self.end(attempt, Outcome.RESET if attempt.written else Outcome.CONNECT_FAILED)
