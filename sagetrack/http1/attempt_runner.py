"""Attempts at upstream servers: each gets a connection, is sent, and ends once with its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sagetrack.core.bodies import BODY_STALL_TIMEOUT_S
from sagetrack.core.clock import now_us
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
    """Carries out attempts. Every attempt that is sent ends once, by its `on_attempt_ended`."""

    def __init__(
        self,
        settings: Settings,
        idle: IdleConnections,
        counts: PoolCounts,
        reclaim_descriptor: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.idle = idle
        self.counts = counts
        self.loop = asyncio.get_running_loop()
        self.reclaim_descriptor = reclaim_descriptor  # called before a connection is opened
        self.connections: set[UpstreamConnection] = set()  # up or coming up, to all servers
        self.buffer = memoryview(bytearray(READ_SIZE))  # of all connections: what is read is copied at once
        self.transferring: set[Attempt] = set()  # with a long body in transfer

    @property
    def open_connections(self) -> int:
        """How many connections are up or coming up, to all servers."""
        return len(self.connections)

    # Sending

    def send(self, attempt: Attempt) -> None:
        """Start an attempt on an idle connection, or on a new one where none is free."""
        attempt.sent_us = now_us()
        call_later = self.loop.call_later
        streamed_body = attempt.streamed_body
        if streamed_body is None or streamed_body.is_complete:
            attempt.timers.append(call_later(attempt.timeout_us / 1e6, self.on_timeout, attempt))
        else:  # the time of a request counts from its last byte
            timeout_s = attempt.timeout_us / 1e6
            streamed_body.on_complete = lambda: attempt.timers.append(
                call_later(timeout_s, self.on_timeout, attempt)
            )
        if streamed_body is not None:
            attempt.record_progress()
            self.transferring.add(attempt)
        self.assign(attempt)

    def assign(self, attempt: Attempt) -> None:
        """Give an attempt an idle connection, now or once it may be reused, or a new one."""
        upstream = attempt.upstream
        if not self.may_send(attempt, upstream.incarnation):
            self.end(attempt, Outcome.NOT_SENT)
            return
        while (connection := self.idle.take(upstream)) is not None:
            if connection.send(attempt):
                self.counts.reused += 1
                return
            # The write itself failed: nothing has reached the server, so the same attempt may start anew.
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
        """Return whether the first byte may be sent to this incarnation, now or once a connection is up.

        Nothing is sent to a server that drains or is gone from the notice on, and not only from the end of
        its grace period on: the notice may have counted as received that long before it came.
        """
        return attempt.may_send(attempt.upstream.state(incarnation))

    def wait_for(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Let an attempt wait until a connection may be reused."""
        connection.await_reuse(attempt)
        wait_s = self.idle.reusable_in_s(connection)
        attempt.timers.append(self.loop.call_later(wait_s, self.on_reusable, connection))

    def on_reusable(self, connection: UpstreamConnection) -> None:
        """Send the attempt that has waited for a connection."""
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
        """Stop waiting, and close the connection: the server notices, and its capacity is free."""
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
        """Cancel an attempt of which nothing has been sent yet; any other goes on."""
        if attempt.connection is None or not attempt.connection.has_sent:
            self.cancel(attempt, Outcome.NOT_SENT)

    def end(self, attempt: Attempt, outcome: Outcome, response: Response | None = None) -> None:
        """End an attempt with its outcome, unless it has ended."""
        if attempt.ended:
            return
        attempt.finish()
        self.transferring.discard(attempt)
        if outcome is Outcome.CONNECT_FAILED:
            self.counts.failed += 1
        attempt.on_attempt_ended(attempt, outcome, response)

    def end_stalled(self) -> None:
        """End attempts whose long body the server has neither taken nor sent for `BODY_STALL_TIMEOUT_S`."""
        oldest_us = now_us() - int(BODY_STALL_TIMEOUT_S * 1e6)
        for attempt in list(self.transferring):
            connection = attempt.connection
            if connection is None or attempt.last_progress_us >= oldest_us or connection.is_paused:
                continue
            if attempt.is_streaming or not connection.is_flushed:
                self.on_timeout(attempt)

    def on_timeout(self, attempt: Attempt) -> None:
        """End an attempt whose response has not come in time."""
        # What was never written cannot have run, also when the time ended while connecting.
        self.cancel(attempt, Outcome.TIMEOUT if attempt.written else Outcome.CONNECT_FAILED)

    def on_connect_timeout(self, attempt: Attempt) -> None:
        """End an attempt whose connection has not come up in time."""
        if attempt.connection is not None and not attempt.connection.is_up:
            self.cancel(attempt, Outcome.CONNECT_FAILED)

    # Events of connections

    def on_connected(self, connection: UpstreamConnection) -> None:
        """A connection is up: send the attempt that it was opened for."""
        attempt = connection.attempt
        if attempt is None or attempt.ended:
            # It was cancelled in the turn in which it came up, and its task closes it next.
            connection.abandon()
            return
        if not self.may_send(attempt, connection.incarnation):
            connection.abandon()
            self.end(attempt, Outcome.NOT_SENT)
        elif not connection.send(attempt):
            self.end(attempt, Outcome.CONNECT_FAILED)

    def on_connect_finished(self, connect_task: asyncio.Task[object], connection: UpstreamConnection) -> None:
        """Account for a connection that did not come up, or was cancelled in the turn in which it did.

        For the latter connection_lost may not be called, and it would count as open for good.
        """
        if connect_task.cancelled() or connect_task.exception() is not None:
            self.on_lost(connection)

    def on_response(self, connection: UpstreamConnection, response: Response) -> None:
        """A response is complete: its connection is kept if it may be, and its attempt ends."""
        attempt = connection.attempt
        connection.attempt = None
        if attempt is None:
            connection.close()
            return
        outcome = outcome_of(response)
        if outcome is Outcome.OK and not attempt.written:
            outcome = Outcome.ERROR  # no success can precede the end of its request
        connection.last_response_us = now_us() - attempt.sent_us
        if response.keep_alive and attempt.written and connection.is_flushed:
            connection.resume()
            self.idle.keep(connection)
        else:
            connection.close()
        self.end(attempt, outcome, response)

    def on_stream_started(self, attempt: Attempt) -> None:
        """The response has begun, in time: from now on only a stall ends it."""
        attempt.start_streaming()
        self.transferring.add(attempt)

    def on_protocol_error(self, connection: UpstreamConnection) -> None:
        """The server sent no valid response: the connection is closed, and its attempt ends."""
        attempt = connection.take_attempt()
        connection.close()
        if attempt is not None:
            self.end(attempt, Outcome.ERROR)

    def on_lost(self, connection: UpstreamConnection) -> None:
        """A connection has ended: an attempt that has waited for it gets another, one on it ends."""
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
