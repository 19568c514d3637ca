"""One attempt of a request at a gRPC upstream server, from its sending to its one outcome."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from sagetrack.core.bodies import BODY_STALL_TIMEOUT_S, do_nothing
from sagetrack.core.clock import now_us
from sagetrack.core.interfaces import AttemptObserver
from sagetrack.core.requests import Request
from sagetrack.core.responses import Response
from sagetrack.core.upstream_server import UpstreamServerRecord
from sagetrack.grpc.errors import MessageError, TranslationError
from sagetrack.grpc.messages import pack
from sagetrack.grpc.response_reader import ResponseReader
from sagetrack.grpc.translate import request_body_message
from sagetrack.grpc.withheld_bytes import WithheldBytes
from sagetrack.policy.events import Outcome


class AttemptConnection(Protocol):
    """What an attempt asks of the connection that carries it."""

    def discard(self, attempt: GrpcAttempt) -> None:
        """Drop an attempt that has ended."""

    def reset_stream(self, attempt: GrpcAttempt) -> None:
        """Cancel its stream, if it has one."""

    def reopen_window(self, attempt: GrpcAttempt) -> None:
        """Let the server send again."""


@dataclass(slots=True, eq=False)
class GrpcAttempt:
    """One attempt. It ends exactly once, by `finish`, which tells its observer."""

    upstream: UpstreamServerRecord
    request: Request
    observer: AttemptObserver
    started_us: int
    timeout_us: int
    headers: list[tuple[str, str]]
    pending: deque[bytes]  # framed messages that are still to be sent
    latency_us: int = 0
    connection: AttemptConnection | None = None
    stream_id: int = 0
    headers_sent: bool = False  # the server may have begun to run it
    request_sent: bool = False  # to its last byte
    ended: bool = False
    streaming: bool = False  # the response goes to the client as it arrives
    paused: bool = False  # the client takes nothing at the moment
    last_progress_us: int = 0
    response_reader: ResponseReader = field(default_factory=ResponseReader)
    withheld: WithheldBytes = field(default_factory=WithheldBytes)
    timers: list[asyncio.TimerHandle] = field(default_factory=list)

    @property
    def server(self) -> int:
        """Number of the server."""
        return self.upstream.id

    @property
    def remaining_us(self) -> int:
        """How long the response is still waited for; the timeout runs from the request's last byte."""
        if self.request.streamed_body is not None and not self.request.streamed_body.is_complete:
            return self.timeout_us
        return self.timeout_us - (now_us() - self.started_us)

    def may_start(self) -> bool:
        """Whether the request may be sent now; asked right before its first byte.

        Once the server is listed as draining or gone, the observer decides by the send rules.
        """
        return self.observer.may_begin(self.upstream.state)

    def set_connection(self, connection: AttemptConnection) -> None:
        """Take the connection that carries the attempt."""
        self.connection = connection

    def add_timer(self, timer: asyncio.TimerHandle) -> None:
        """Take a timer that is cancelled once the response has come or begins to be streamed."""
        self.timers.append(timer)

    def on_headers_sent(self, stream_id: int) -> None:
        """The headers are sent on this stream: the server may run the request from now on."""
        self.stream_id = stream_id
        self.headers_sent = True

    def on_data_sent(self) -> None:
        """A part of the request is sent."""
        self.last_progress_us = now_us()

    def on_request_sent(self) -> None:
        """The request is sent to its last byte."""
        self.request_sent = True

    def load_pending(self) -> bool:
        """Take the next chunk of a streamed body once all before it is sent; False if there is none."""
        streamed_body = self.request.streamed_body
        if not self.pending and streamed_body is not None and streamed_body.chunks:
            self.pending.append(pack(request_body_message(streamed_body.take())))
        return bool(self.pending)

    def take_pending(self, limit: int) -> bytes:
        """The next bytes to send, at most `limit` of them."""
        data = self.pending.popleft()
        if len(data) > limit:
            self.pending.appendleft(data[limit:])
            data = data[:limit]
        return data

    @property
    def all_sent(self) -> bool:
        """Whether nothing of the request is left to send, now or later."""
        streamed_body = self.request.streamed_body
        return not self.pending and (
            streamed_body is None or (streamed_body.is_complete and not streamed_body.chunks)
        )

    def start_streaming(self) -> None:
        """Pass the response on as it arrives, beginning with what was buffered."""
        head = self.response_reader.head
        assert head is not None
        self.streaming = True
        self.latency_us = now_us() - self.started_us
        for timer in self.timers:
            timer.cancel()
        head_with_length = Response(200, head.headers, b"", True, self.response_reader.announced_length)
        self.observer.on_response_started(self, head_with_length, self)
        body = self.response_reader.take_buffered()
        if not self.ended:
            self.observer.on_response_data(self, body)

    def receive(self, data: bytes) -> bool:
        """Buffer or pass on a part of the response; False if it is malformed."""
        self.last_progress_us = now_us()
        try:
            for chunk in self.response_reader.feed(data):
                if self.streaming:
                    self.observer.on_response_data(self, chunk)
                else:
                    self.response_reader.buffer(chunk)
        except (MessageError, TranslationError):
            return False
        return True

    def finish_response(self) -> None:
        """End with the response that is complete now, unless it came before the request was sent."""
        outcome = self.response_reader.outcome()
        if outcome is Outcome.OK and not self.request_sent:
            outcome = Outcome.ERROR
        response = self.response_reader.response() if outcome is Outcome.OK else None
        if not self.request_sent:
            self.cancel_stream()
        self.finish(outcome, response)

    @property
    def should_stream(self) -> bool:
        """Whether the response has become too long to be buffered."""
        return not self.streaming and self.response_reader.exceeds_buffer

    def is_stalled(self, now: int) -> bool:
        """Whether a streamed body, of the request or the response, has made no progress for too long."""
        is_streamed = self.streaming or self.request.streamed_body is not None
        return is_streamed and not self.paused and now - self.last_progress_us > BODY_STALL_TIMEOUT_S * 1e6

    def pause(self) -> None:
        """Client side stopped reading: the stream's flow-control window is left to run out."""
        self.paused = True

    def resume(self) -> None:
        """Client side reads again."""
        self.paused = False
        self.last_progress_us = now_us()
        if self.connection is not None and self.withheld:
            self.connection.reopen_window(self)

    def cancel_stream(self) -> None:
        """Reset its stream, so that its server can stop working on it."""
        if self.connection is not None:
            self.connection.reset_stream(self)

    def finish(self, outcome: Outcome, response: Response | None = None) -> None:
        """End the attempt and tell its observer; any call after the first has no effect."""
        if self.ended:
            return
        self.ended = True
        if not self.streaming:
            self.latency_us = now_us() - self.started_us
        for timer in self.timers:
            timer.cancel()
        if self.request.streamed_body is not None:
            self.request.streamed_body.on_data = do_nothing
            self.request.streamed_body.on_complete = do_nothing
        if self.connection is not None:
            self.connection.discard(self)
        self.observer.on_attempt_ended(self, outcome, response, None)
