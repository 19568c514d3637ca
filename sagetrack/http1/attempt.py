"""One attempt of a request at an upstream server, until its outcome."""

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
    """Return whether the server serves: the rule for an attempt without a client, such as a probe."""
    return server is ServerState.SERVING


def ignore_data(data: bytes) -> None:
    """Drop a part of a response that nobody streams."""


class AttemptConnection(ResponseSource, Protocol):
    """What an attempt's end needs of the connection that it is on, or waits for."""

    @property
    def is_up(self) -> bool:
        """Whether the connection has ever been established."""

    @property
    def has_sent(self) -> bool:
        """Whether some of an attempt may have been sent on it since it was last idle."""

    @property
    def is_paused(self) -> bool:
        """Whether it is not read for now, as the client takes no more."""

    @property
    def is_flushed(self) -> bool:
        """Whether the last byte of what was written is with the kernel."""

    def abandon(self) -> None:
        """Close at once, without another word to the attempts on it."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One request to one upstream server, until its outcome.

    Attributes:
        upstream: The upstream server.
        payload: Makes the bytes to send, from the microseconds that are left when the first of them is sent.
        timeout_us: How long the response is waited for.
        on_attempt_ended: Called once, with the outcome and the response if there is one.
        may_send: Whether the first byte may be sent to a server in this state.
        on_first_byte: Called when the first byte is sent, in this turn of the loop.
        on_request_sent: Called when the last byte is with the kernel.
        on_response_started: Called with the head of a response that is streamed; None if none may be.
        on_response_data: Called with each part of such a response.
        streamed_body: What follows the payload.
        written: Whether the last byte is with the kernel.
        is_streaming: Whether its response is passed on as it comes.
        last_progress_us: When a byte of a long body last moved.
        sent_us: When the attempt began.
        latency_us: Its duration, up to the beginning of a response that is streamed.
        connection: The connection that carries it, or that it waits for.
        connect_task: The task that opens a connection for it.
        timers: Its timeouts, and its wait for a connection that may be reused soon.
        ended: Whether it has its outcome.
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
    ended: bool = False

    @property
    def server(self) -> int:
        """The number of the upstream server."""
        return self.upstream.id

    @property
    def remaining_us(self) -> int:
        """How long its response is still waited for; the time of a request counts from its last byte."""
        if self.streamed_body is not None and not self.streamed_body.is_complete:
            return self.timeout_us
        return self.timeout_us - (now_us() - self.sent_us)

    def record_progress(self) -> None:
        """Note that a byte of a long body has moved: the attempt has not stalled."""
        self.last_progress_us = now_us()

    def start_streaming(self) -> None:
        """Pass the response on as it comes: it has begun in time, and from now on only a stall ends it."""
        self.is_streaming = True
        self.last_progress_us = now_us()
        self.latency_us = self.last_progress_us - self.sent_us
        for timer in self.timers:
            timer.cancel()

    def finish(self) -> None:
        """Have no timeout, no connection and no callback of the body any more."""
        self.ended = True
        if not self.is_streaming:
            self.latency_us = now_us() - self.sent_us
        for timer in self.timers:
            timer.cancel()
        if self.streamed_body is not None:
            self.streamed_body.on_data = do_nothing
            self.streamed_body.on_complete = do_nothing
        self.connection = None
        self.connect_task = None
