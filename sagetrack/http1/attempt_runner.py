"""Attempts at upstream servers: each gets a connection, is sent, and ends once with its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sagetrack.core.bodies import BODY_STALL_TIMEOUT_S, do_nothing
from sagetrack.core.clock import now_us
from sagetrack.core.responses import Response
from sagetrack.http1.codec import READ_SIZE
from sagetrack.http1.idle_connections import IdleConnections, PoolCounts
from sagetrack.http1.response_outcome import outcome_of
from sagetrack.http1.upstream_connection import Attempt, Incarnation, UpstreamConnection
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
        self.settings, self.idle, self.counts = settings, idle, counts
        self.loop = asyncio.get_running_loop()
        self.reclaim_descriptor = reclaim_descriptor  # called before a connection is opened
        self.open = 0  # connections up or coming up, to all servers
        self.buffer = memoryview(bytearray(READ_SIZE))  # of all connections: what is read is copied at once
        self.transferring: set[Attempt] = set()  # with a long body under way

    # Sending

    def send(self, attempt: Attempt) -> None:
        """Start an attempt on an idle connection, or on a new one where none is free."""
        attempt.sent_us = now_us()
        call_later = self.loop.call_later
        streamed_body = attempt.streamed_body
        if streamed_body is None or streamed_body.is_complete:
            attempt.timers.append(call_later(attempt.timeout_us / 1e6, self.on_timeout, attempt))
        else:  # the time of a request counts from its last byte
            end_s = attempt.timeout_us / 1e6
            streamed_body.on_complete = lambda: attempt.timers.append(
                call_later(end_s, self.on_timeout, attempt)
            )
        if streamed_body is not None:
            attempt.last_progress_us = now_us()
            self.transferring.add(attempt)
        self.assign(attempt)

    def assign(self, attempt: Attempt) -> None:
        """Give an attempt an idle connection, now or once it may be reused, or a new one."""
        upstream = attempt.upstream
        if not self.may_send(attempt, upstream.incarnation):
            self.end(attempt, Outcome.NOT_SENT)
            return
        while (connection := self.idle.take(upstream)) is not None:
            if self.send_on(connection, attempt):
                self.counts.reused += 1
                return
            # The write itself failed: nothing has reached the server, so the same attempt may start anew.
            self.counts.stale += 1
        recent = self.idle.take_recent(upstream)
        if recent is not None:
            self.wait_for(recent, attempt)
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
        connection.is_counted = True
        upstream.open += 1
        self.open += 1
        self.counts.opened += 1
        opening: asyncio.Task[object] = self.loop.create_task(
            self.loop.create_connection(lambda: connection, *upstream.address)
        )
        attempt.opening = opening
        opening.add_done_callback(lambda task: self.on_opened(task, connection))

    def may_send(self, attempt: Attempt, incarnation: Incarnation) -> bool:
        """Whether the first byte may go out now, to this incarnation: asked again once a connection is up.

        To a server that drains or is gone nothing is sent from the notice on, not from the end of its grace
        period on: the notice may have counted as received that long before it came.
        """
        return attempt.may_send(attempt.upstream.state(incarnation))

    def wait_for(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Let an attempt wait until a connection may be reused."""
        attempt.connection, connection.waiting_attempt = connection, attempt
        wait_s = self.idle.reusable_in_s(connection)
        attempt.timers.append(self.loop.call_later(wait_s, self.on_reusable, connection))

    def on_reusable(self, connection: UpstreamConnection) -> None:
        """Send the attempt that has waited for a connection."""
        attempt, connection.waiting_attempt = connection.waiting_attempt, None
        if attempt is None or attempt.ended:
            return
        attempt.connection = None
        if not self.may_send(attempt, connection.incarnation):
            connection.close()
            self.end(attempt, Outcome.NOT_SENT)
        elif connection.is_usable() and self.send_on(connection, attempt):
            self.counts.reused += 1
        else:
            self.counts.stale += 1
            connection.close()
            self.assign(attempt)

    def send_on(self, connection: UpstreamConnection, attempt: Attempt) -> bool:
        """Write an attempt to a connection; False, with the connection closed, if the write failed."""
        connection.attempt, attempt.connection = attempt, connection
        connection.has_sent = True
        attempt.on_first_byte()
        if connection.write(attempt.payload(attempt.left_us)):
            connection.carry(attempt)
            return True
        connection.attempt = attempt.connection = None
        connection.close()
        return False

    # Ending

    def cancel(self, attempt: Attempt, outcome: Outcome = Outcome.CANCELLED) -> None:
        """Stop waiting: the connection is closed, so that the server can tell, and its capacity is free."""
        if attempt.ended:
            return
        connection, opening = attempt.connection, attempt.opening
        self.end(attempt, outcome)
        if opening is not None and not opening.done():
            opening.cancel()
        if connection is not None:
            connection.attempt = connection.waiting_attempt = None
            connection.close()

    def cancel_unsent(self, attempt: Attempt) -> None:
        """Cancel an attempt of which nothing has been sent yet; any other goes on."""
        if attempt.connection is None or not attempt.connection.has_sent:
            self.cancel(attempt, Outcome.NOT_SENT)

    def end(self, attempt: Attempt, outcome: Outcome, response: Response | None = None) -> None:
        """End an attempt with its outcome, unless it has ended."""
        if attempt.ended:
            return
        attempt.ended = True
        if not attempt.is_streaming:
            attempt.latency_us = now_us() - attempt.sent_us
        attempt.cancel_timers()
        self.transferring.discard(attempt)
        if attempt.streamed_body is not None:
            attempt.streamed_body.on_data = attempt.streamed_body.on_complete = do_nothing
        if outcome is Outcome.CONNECT_FAILED:
            self.counts.failed += 1
        attempt.connection = attempt.opening = None
        attempt.on_attempt_ended(attempt, outcome, response)

    def end_stalled(self) -> None:
        """End attempts whose long body the server has neither taken nor sent for `BODY_STALL_TIMEOUT_S`."""
        oldest_us = now_us() - int(BODY_STALL_TIMEOUT_S * 1e6)
        for attempt in list(self.transferring):
            connection = attempt.connection
            if connection is None or attempt.last_progress_us >= oldest_us or connection.paused:
                continue
            if attempt.is_streaming or not connection.flushed:
                self.on_timeout(attempt)

    def on_timeout(self, attempt: Attempt) -> None:
        """The time for its response is over."""
        # What was never written cannot have run, also when the time ended while connecting.
        self.cancel(attempt, Outcome.TIMEOUT if attempt.written else Outcome.CONNECT_FAILED)

    def on_connect_timeout(self, attempt: Attempt) -> None:
        """The time for connecting is over."""
        if attempt.connection is not None and attempt.connection.transport is None:
            self.cancel(attempt, Outcome.CONNECT_FAILED)

    # Events of connections

    def on_connected(self, connection: UpstreamConnection) -> None:
        """A connection is up: send the attempt that it was opened for."""
        attempt = connection.attempt
        if attempt is None or attempt.ended:
            # Cancelled in the very turn in which it came up: its opening is cancelled, which closes it next.
            connection.attempt = None
            connection.close()
            return
        may = self.may_send(attempt, connection.incarnation)
        if not may or not self.send_on(connection, attempt):
            connection.attempt = None
            connection.close()
            self.end(attempt, Outcome.CONNECT_FAILED if may else Outcome.NOT_SENT)

    def on_opened(self, opening: asyncio.Task[object], connection: UpstreamConnection) -> None:
        """Account for a connection that did not come up, or was cancelled in the turn in which it did.

        Of the latter no connection_lost need follow, and it would count as open for good.
        """
        if opening.cancelled() or opening.exception() is not None:
            self.on_lost(connection)

    def on_response(self, connection: UpstreamConnection, response: Response) -> None:
        """A response is complete: its connection is kept if it may be, and its attempt ends."""
        attempt, connection.attempt = connection.attempt, None
        if attempt is None:
            connection.close()
            return
        outcome = outcome_of(response)
        if outcome is Outcome.OK and not attempt.written:
            outcome = Outcome.ERROR  # no success can precede the end of its request
        connection.last_response_us = now_us() - attempt.sent_us
        if response.keep_alive and attempt.written and connection.flushed:
            connection.resume()
            self.idle.keep(connection)
        else:
            connection.close()
        self.end(attempt, outcome, response)

    def on_stream_started(self, attempt: Attempt) -> None:
        """The response has begun, in time: from now on only a stall ends it."""
        attempt.is_streaming = True
        attempt.last_progress_us = now_us()
        attempt.latency_us = attempt.last_progress_us - attempt.sent_us
        attempt.cancel_timers()
        self.transferring.add(attempt)

    def on_protocol_error(self, connection: UpstreamConnection) -> None:
        """The server sent no valid response: the connection is closed, and its attempt ends."""
        attempt, connection.attempt = connection.attempt, None
        connection.close()
        if attempt is not None:
            self.end(attempt, Outcome.ERROR)

    def on_lost(self, connection: UpstreamConnection) -> None:
        """A connection has ended: an attempt that has waited for it gets another, one on it ends."""
        self._count_closed(connection)
        attempt, connection.attempt = connection.attempt, None
        waiting, connection.waiting_attempt = connection.waiting_attempt, None
        if waiting is not None and not waiting.ended:
            waiting.connection = None
            self.assign(waiting)
        self.idle.forget(connection)
        connection.cancel_stream_timer()
        if attempt is not None:
            self.end(attempt, Outcome.RESET if attempt.written else Outcome.CONNECT_FAILED)

    def _count_closed(self, connection: UpstreamConnection) -> None:
        if connection.is_counted:
            connection.is_counted = False
            connection.upstream.open -= 1
            self.open -= 1
