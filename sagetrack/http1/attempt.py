"""The state of one attempt of a request at an upstream server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from sagetrack.core.bodies import StreamedBody, do_nothing
from sagetrack.core.clock import now_us
from sagetrack.core.requests import ResponseSource
from sagetrack.core.responses import Response
from sagetrack.core.send_rules import ServerState
from sagetrack.http1.upstream_server import UpstreamServer
from sagetrack.policy.events import Outcome


def is_serving(server: ServerState) -> bool:
    """Return whether the server is serving; used for attempts without a client request, such as probes."""
    return server is ServerState.SERVING


def ignore_data(data: bytes) -> None:
    """Ignore a part of a streamed response; the default for attempts that are not streamed."""


class AttemptConnection(ResponseSource, Protocol):
    """The interface of the connection that an attempt uses or waits for."""

    @property
    def is_up(self) -> bool:
        """True if the connection has ever been established."""

    @property
    def has_sent(self) -> bool:
        """True if any byte of an attempt may have been sent since the connection was last idle."""

    @property
    def is_flushed(self) -> bool:
        """True if the kernel has accepted all written data."""

    def abandon(self) -> None:
        """Close at once, without reporting an outcome to its attempts."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One request to one upstream server, from its start to its outcome.

    Attributes:
        upstream: The upstream server.
        payload: Returns the bytes to send, given the time in microseconds that remains at the first byte.
        timeout_us: The timeout of the attempt.
        on_attempt_ended: Called once, with the outcome and the response if there is one.
        may_send: Returns whether the first byte may be sent to a server in this state.
        on_first_byte: Called right before the first byte is written, in the same event loop iteration.
        on_request_sent: Called when the kernel has accepted the last byte of the request.
        on_response_started: Called with the head of a streamed response; None if responses may not be
            streamed.
        on_response_data: Called with each part of the body of a streamed response.
        streamed_body: The request body that is sent after the payload; None if the payload contains it.
        written: True if the kernel has accepted the last byte of the request.
        is_streaming: True if the response is being streamed.
        last_progress_us: Time at which a part of the streamed request body was last transferred.
        sent_us: Start time of the attempt.
        latency_us: Duration of the attempt, or the time until a streamed response has started.
        connection: The connection that the attempt uses or waits for.
        connect_task: The task that opens a connection for the attempt.
        timers: The timeouts, and the timer of a wait for a connection that may be reused soon.
        ended: True if the attempt has an outcome.
    """

    upstream: UpstreamServer[Any]
    payload: Callable[[int], bytes]
    timeout_us: int
    on_attempt_ended: Callable[[Attempt, Outcome, Response | None], None]
    may_send: Callable[[ServerState], bool] = is_serving
    on_first_byte: Callable[[], None] = do_nothing
    on_request_sent: Callable[[], None] = do_nothing
    on_response_started: Callable[[Attempt, Response, ResponseSource], None] | None = None
    on_response_data: Callable[[bytes], None] = ignore_data
    streamed_body: StreamedBody | None = None
    written: bool = False
    is_streaming: bool = False
    last_progress_us: int = 0
    sent_us: int = 0
    latency_us: int = 0
    connection: AttemptConnection | None = None
    connect_task: asyncio.Task[object] | None = None
    timers: list[asyncio.TimerHandle] = field(default_factory=list)
    timeout_timer: asyncio.TimerHandle | None = None
    ended: bool = False

    @property
    def server(self) -> int:
        """The id of the server."""
        return self.upstream.id

    @property
    def remaining_us(self) -> int:
        """Time until the timeout, which does not start before the last byte of the request."""
        since_us = self.sent_us
        if self.streamed_body is not None:
            since_us = max(since_us, self.streamed_body.arrived_us or now_us())
        return self.timeout_us - (now_us() - since_us)

    def cancel_timers(self) -> None:
        """Cancel all timers of the attempt."""
        self.stop_timeout()
        for timer in self.timers:
            timer.cancel()

    def stop_timeout(self) -> None:
        """Cancel the timer of the timeout, if it runs."""
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
            self.timeout_timer = None

    def record_progress(self) -> None:
        """Record that a part of the request body was transferred, so that the attempt has not stalled."""
        self.last_progress_us = now_us()

    def start_streaming(self) -> None:
        """Mark the response as streamed and cancel the timeouts; the gateway limits its time from now on."""
        self.is_streaming = True
        self.latency_us = now_us() - self.sent_us
        self.cancel_timers()

    def finish(self) -> None:
        """Mark the attempt as ended, and release its timers, connection and body callbacks."""
        self.ended = True
        if not self.is_streaming:
            self.latency_us = now_us() - self.sent_us
        self.cancel_timers()
        if self.streamed_body is not None:
            self.streamed_body.on_data = do_nothing
            self.streamed_body.on_arrived = do_nothing
            self.streamed_body.on_not_arrived = do_nothing
        self.connection = None
        self.connect_task = None
